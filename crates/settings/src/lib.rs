//! The daemon's settings, declared once and typed.
//!
//! Each setting is a flag and an environment variable. Both the daemon and the
//! operators' tool read them from here, so that what `check-settings` accepts
//! is what the daemon starts with.

mod declare;
mod error;
mod settings;
mod value;

pub use declare::{arguments, ENV_PREFIX};
pub use error::SettingsError;
pub use settings::{LogFormat, Settings};
