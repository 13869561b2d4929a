//! Errors of the daemon.

use ospreywing_settings::SettingsError;
use ospreywing_store::StoreError;
use thiserror::Error;

/// Why the daemon can't start or go on.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The settings are wrong.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// A socket can't be opened.
    #[error("{what} {addr}: {source}")]
    Socket {
        /// Which socket.
        what: &'static str,
        /// Its address.
        addr: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The store said what the daemon can't work with.
    #[error("store: {0}")]
    Store(#[from] StoreError),
    /// The runtime can't be set up.
    #[error("runtime: {0}")]
    Runtime(std::io::Error),
    /// The cell in the store has another number of shards.
    #[error("--shards: {setting} given, the cell has {cell}")]
    ShardsCount {
        /// The setting.
        setting: u32,
        /// What the store says.
        cell: u32,
    },
}
