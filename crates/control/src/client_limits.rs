//! How much of a box clients may take up.

use crate::body_buffer::SEGMENT_BYTES;

/// The part of a box's memory that clients' connections may use: a quarter.
const CONNECTIONS_MEMORY_DIVISOR: u64 = 4;
/// The memory that is set aside for a connection: 16 KiB each for the HTTP library's buffer, for
/// what the kernel has received and is not read yet, and for a short body.
const CONNECTION_BYTES: u64 = 48 * 1024;
/// The eighths of the sockets that clients' connections may use. A leader needs the rest for the
/// store, its workers and other nodes.
const CONNECTIONS_SOCKETS_EIGHTHS: u64 = 3;
/// The part of the connections whose requests are handled at the same time: a quarter. Each may
/// have two calls to the store or to other nodes open, on connections of their own.
const HANDLED_DIVISOR: usize = 4;
/// The part of a box's memory that long bodies may use: a sixteenth.
const BODIES_MEMORY_DIVISOR: u64 = 16;
/// The part of a leader's memory that large jobs may use: an eighth. A leader may be succeeded by
/// the smallest box, which reads all jobs.
const JOBS_MEMORY_DIVISOR: u64 = 8;
const SMALLEST_BOX_BYTES: u64 = 120_000_000;
/// The smallest limits, for boxes that are smaller than any known one.
const MIN_CONNECTIONS_COUNT: usize = 16;
const MIN_BODY_SEGMENTS_COUNT: usize = 64;

/// The resources of a box that its clients and the node share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoxSize {
    /// The memory of the process.
    pub memory_bytes: u64,
    /// The number of sockets that the process may open.
    pub sockets_count: u32,
}

/// Limits on what clients may take up together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// The number of open connections.
    pub connections_count: usize,
    /// The number of requests that are handled at the same time.
    pub handled_count: usize,
    /// The memory of active large jobs, by estimate.
    pub jobs_bytes: usize,
    /// The number of body segments beyond the first one of each body.
    pub body_segments_count: usize,
}

impl ClientLimits {
    /// Returns the limits for a box.
    pub fn of_box(size: BoxSize) -> Self {
        let by_memory = size.memory_bytes / CONNECTIONS_MEMORY_DIVISOR / CONNECTION_BYTES;
        let by_sockets = u64::from(size.sockets_count) * CONNECTIONS_SOCKETS_EIGHTHS / 8;
        let connections_count = by_memory.min(by_sockets) as usize;
        let connections_count = connections_count.max(MIN_CONNECTIONS_COUNT);
        let bodies_bytes = size.memory_bytes / BODIES_MEMORY_DIVISOR;
        let body_segments_count = (bodies_bytes / SEGMENT_BYTES as u64) as usize;
        let jobs_bytes = size.memory_bytes.min(SMALLEST_BOX_BYTES) / JOBS_MEMORY_DIVISOR;
        Self {
            jobs_bytes: jobs_bytes as usize,
            connections_count,
            handled_count: connections_count / HANDLED_DIVISOR,
            body_segments_count: body_segments_count.max(MIN_BODY_SEGMENTS_COUNT),
        }
    }
}
