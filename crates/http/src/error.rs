//! Errors of a call.

use thiserror::Error;

/// Why a call has no answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    /// The address or a header can't be put into a request.
    #[error("the request can't be made: {0}")]
    Invalid(String),
    /// No connection was made: nothing was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The connection broke: the request may have been received.
    #[error("broken off: {0}")]
    Broken(String),
    /// The time was up: the request may have been received.
    #[error("no answer within {limit_ms} ms, {received_bytes} bytes of it received")]
    TimedOut {
        /// The time limit.
        limit_ms: u64,
        /// How much of the answer's body had come.
        received_bytes: usize,
    },
    /// The answer is larger than allowed.
    #[error("the answer has more than {limit_bytes} bytes")]
    TooLarge {
        /// The size limit.
        limit_bytes: usize,
    },
    /// The answer is not the JSON that was expected.
    #[error("the answer is not as expected: {0}")]
    Malformed(String),
}

impl HttpError {
    /// Returns whether the request was certainly not received.
    pub const fn is_not_sent(&self) -> bool {
        matches!(self, Self::Invalid(_) | Self::NotSent(_))
    }
}
