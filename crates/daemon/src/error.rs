//! Errors that stop the daemon.

use ospreywing_settings::SettingsError;
use ospreywing_store::StoreError;
use thiserror::Error;

/// The reason why the daemon can't start or continue.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The settings are invalid.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// A socket can't be opened.
    #[error("{what} {addr}: {source}")]
    Socket {
        /// The setting that names the address.
        what: &'static str,
        /// The socket's address.
        addr: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The store returned an error that the daemon can't handle.
    #[error("store: {0}")]
    Store(#[from] StoreError),
    /// The async runtime can't be created.
    #[error("runtime: {0}")]
    Runtime(std::io::Error),
    /// The cell in the store has a different number of shards.
    #[error("--shards: {setting} configured, but the cell has {cell}")]
    ShardsCount {
        /// The configured number.
        setting: u32,
        /// The number in the store.
        cell: u32,
    },
}
