//! Errors of the shard's log.

use thiserror::Error;

/// The reason why a batch of the log can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LogError {
    /// The bytes can't be decoded as a batch of this version.
    #[error("batch {seq}: can't be decoded: {reason}")]
    Malformed {
        /// The batch's number.
        seq: u64,
        /// The decoder's error message.
        reason: String,
    },
    /// The batch belongs to another shard.
    #[error("batch {seq}: belongs to shard {found}, not {expected}")]
    OtherShard {
        /// The batch's number.
        seq: u64,
        /// The shard named in it.
        found: u32,
        /// The shard that is being recovered.
        expected: u32,
    },
    /// The batch's number is not greater than that of the batch before it.
    #[error("batch {seq}: out of order after batch {previous}")]
    OutOfOrder {
        /// The batch's number.
        seq: u64,
        /// The number of the batch before it.
        previous: u64,
    },
}
