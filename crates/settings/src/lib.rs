//! The settings of the daemon: declaration, parsing and validation.
//!
//! Each setting is a flag and an environment variable. The daemon and the command-line tool
//! share this crate, so that `check-settings` accepts exactly the settings with which the
//! daemon starts.

mod declare;
mod error;
mod settings;
mod value;

pub use declare::{arguments, ENV_PREFIX};
pub use error::SettingsError;
pub use settings::{LogFormat, Settings};
