//! Request bodies while they arrive.

use ospreywing_control::body_buffer::{BodyBuffer, SEGMENT_BYTES};
use rstest::rstest;

#[rstest]
#[case::empty(0, 1)]
#[case::one_byte_chunks(3 * SEGMENT_BYTES + 1, 1)]
#[case::odd_chunks(3 * SEGMENT_BYTES + 1, 1000)]
#[case::full_segment(SEGMENT_BYTES, SEGMENT_BYTES)]
#[case::long_chunks(5 * SEGMENT_BYTES, 2 * SEGMENT_BYTES + 7)]
fn into_bytes_appended(#[case] body_bytes: usize, #[case] chunk_bytes: usize) {
    let body: Vec<u8> = (0..body_bytes).map(|index| index as u8).collect();
    let mut buffer = BodyBuffer::default();
    for chunk in body.chunks(chunk_bytes) {
        buffer.append(chunk);
    }
    assert_eq!(buffer.len_bytes(), body_bytes);
    assert!(buffer.into_bytes() == body);
}
