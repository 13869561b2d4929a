//! Errors of the settings.

use thiserror::Error;

/// What is wrong with the settings.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// An environment variable has the project's prefix and no meaning.
    #[error("unknown environment variable {name}; known are: {known}")]
    UnknownVariable {
        /// The variable.
        name: String,
        /// The variables that exist.
        known: String,
    },
    /// A setting is too small or too large beside another.
    #[error("{setting}: {value} is not allowed: {reason}")]
    OutOfRange {
        /// The setting's flag.
        setting: &'static str,
        /// Its value.
        value: String,
        /// What is allowed.
        reason: String,
    },
}
