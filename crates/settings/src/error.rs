//! Errors of settings.

use thiserror::Error;

/// The reason why settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// An environment variable has the prefix of the daemon's variables but names no setting.
    #[error("unknown environment variable {name}; known variables: {known}")]
    UnknownVariable {
        /// The name of the variable.
        name: String,
        /// The known variables, separated by commas.
        known: String,
    },
    /// The value of a setting is out of range or conflicts with another setting.
    #[error("{setting}: {value} is not allowed: {reason}")]
    OutOfRange {
        /// The flag of the setting.
        setting: &'static str,
        /// The rejected value.
        value: String,
        /// The rule that the value violates.
        reason: String,
    },
}
