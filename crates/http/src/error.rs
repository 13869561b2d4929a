//! Errors of calls, by whether the peer may have received the request.

use thiserror::Error;

/// The reason why a call has no complete response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    /// The request can't be built: the address, the path or the body is invalid.
    #[error("the request can't be made: {0}")]
    Invalid(String),
    /// The request was not sent, mostly because no connection was established.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request was not sent, since this process held it for too long.
    #[error("not sent: held for too long")]
    Expired,
    /// The request was not sent, since the probe before it has no complete response.
    #[error("not sent after a probe: {0}")]
    ProbeFailed(String),
    /// The connection failed; the peer may have received the request.
    #[error("broken off: {0}")]
    Broken(String),
    /// The call timed out; the peer may have received the request.
    #[error("no answer within {limit_ms} ms, {received_bytes} bytes of it received")]
    TimedOut {
        /// The timeout, in milliseconds.
        limit_ms: u64,
        /// The number of bytes of the response body received so far.
        received_bytes: usize,
    },
    /// The response body exceeds the size limit.
    #[error("the answer has more than {limit_bytes} bytes")]
    TooLarge {
        /// The size limit, in bytes.
        limit_bytes: usize,
    },
    /// The response body is not the expected JSON.
    #[error("the answer is not as expected: {0}")]
    Malformed(String),
}

impl HttpError {
    /// Returns whether no connection to the peer was established, or it was closed.
    pub const fn is_unreachable(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }

    /// Returns whether it is certain that the peer did not receive the request.
    pub const fn is_not_sent(&self) -> bool {
        matches!(
            self,
            Self::Invalid(_) | Self::NotSent(_) | Self::Expired | Self::ProbeFailed(_)
        )
    }
}
