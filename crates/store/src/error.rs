//! Errors of store calls, by whether a write may have taken effect.

use ospreywing_http::HttpError;
use thiserror::Error;

/// The reason why a store call failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The request was not sent, so a write had no effect.
    #[error("the store can't be reached: {0}")]
    Unreachable(String),
    /// No response arrived, so a write may have taken effect.
    #[error("the store did not answer: {0}")]
    Unanswered(String),
    /// The store refused the call due to its rate limit, so a write had no effect.
    #[error("the store's rate limit is reached")]
    RateLimited,
    /// The store refused the call, so a write had no effect.
    #[error("the store refused with status {status}: {message}")]
    Refused {
        /// The HTTP status code.
        status: u16,
        /// The store's error message.
        message: String,
    },
    /// The response can't be decoded, so a write may have taken effect.
    #[error("the store's answer is not readable: {0}")]
    Malformed(String),
}

impl StoreError {
    /// Returns whether it is certain that a write had no effect.
    pub const fn is_without_effect(&self) -> bool {
        matches!(
            self,
            Self::Unreachable(_) | Self::RateLimited | Self::Refused { .. }
        )
    }
}

impl From<HttpError> for StoreError {
    fn from(error: HttpError) -> Self {
        if error.is_not_sent() {
            return Self::Unreachable(error.to_string());
        }
        match error {
            HttpError::Malformed(reason) => Self::Malformed(reason),
            other => Self::Unanswered(other.to_string()),
        }
    }
}
