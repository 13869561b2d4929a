//! Holds a request body while it arrives.

/// The size of a segment, which holds an ordinary body whole.
pub const SEGMENT_BYTES: usize = 16 * 1024;

/// The received part of a body, in segments of [`SEGMENT_BYTES`].
///
/// Growing moves nothing. A single buffer that doubles leaves gaps of all its earlier sizes behind,
/// which took up more memory than the bodies.
#[derive(Debug, Default)]
pub struct BodyBuffer {
    segments: Vec<Vec<u8>>,
}

impl BodyBuffer {
    /// Returns the number of bytes.
    pub fn len_bytes(&self) -> usize {
        let Some((last, full)) = self.segments.split_last() else {
            return 0;
        };
        full.len() * SEGMENT_BYTES + last.len()
    }

    /// Returns the number of segments that it will have after more data is appended.
    pub fn segments_count_with(&self, data_bytes: usize) -> usize {
        (self.len_bytes() + data_bytes).div_ceil(SEGMENT_BYTES)
    }

    /// Appends a copy of the data.
    pub fn append(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            let segment = self.writable_segment(data.len());
            let room_bytes = SEGMENT_BYTES - segment.len();
            let (head, rest) = data.split_at(room_bytes.min(data.len()));
            segment.extend_from_slice(head);
            data = rest;
        }
    }

    /// Returns the body in one piece.
    pub fn into_bytes(mut self) -> Vec<u8> {
        if self.segments.len() > 1 {
            return self.segments.concat();
        }
        self.segments.pop().unwrap_or_default()
    }

    /// Returns a segment that is not full; the first one is only as large as the data needs.
    fn writable_segment(&mut self, data_bytes: usize) -> &mut Vec<u8> {
        let is_full = |segment: &Vec<u8>| segment.len() == SEGMENT_BYTES;
        if self.segments.last().is_none_or(is_full) {
            let is_first = self.segments.is_empty();
            let first_bytes = data_bytes.min(SEGMENT_BYTES);
            let capacity_bytes = if is_first { first_bytes } else { SEGMENT_BYTES };
            self.segments.push(Vec::with_capacity(capacity_bytes));
        }
        let last = self.segments.len() - 1;
        &mut self.segments[last]
    }
}
