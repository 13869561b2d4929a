//! Errors of the shard's log.

use thiserror::Error;

/// Why a batch of the log can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LogError {
    /// The bytes are not a batch of this version.
    #[error("batch {seq}: not readable: {reason}")]
    Malformed {
        /// The batch's number.
        seq: u64,
        /// What the decoder said.
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
    /// The batch's number does not follow the one before it.
    #[error("batch {seq}: stands after batch {previous}")]
    OutOfOrder {
        /// The batch's number.
        seq: u64,
        /// The number of the batch before it.
        previous: u64,
    },
}
