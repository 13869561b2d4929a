//! Errors of the store.

use ospreywing_http::HttpError;
use thiserror::Error;

/// Why a call of the store failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// Nothing was sent: a write has certainly had no effect.
    #[error("the store can't be reached: {0}")]
    Unreachable(String),
    /// No answer came: a write may have taken effect.
    #[error("the store did not answer: {0}")]
    Unanswered(String),
    /// The store refused the call because too many came: it had no effect.
    #[error("the store's rate limit is reached")]
    RateLimited,
    /// The store refused the call: it had no effect.
    #[error("the store refused with status {status}: {message}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// What the store said.
        message: String,
    },
    /// The answer is not in the store's protocol: a write may have taken effect.
    #[error("the store's answer is not readable: {0}")]
    Malformed(String),
}

impl StoreError {
    /// Returns whether a write certainly had no effect.
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
