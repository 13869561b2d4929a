//! The daemon: a thin shell around [`ospreywing_node::Node`].
//!
//! It turns sockets into events and carries out actions. Everything that is
//! decided is decided in the node, by one task, the [`engine`].

pub mod api;
pub mod box_list;
pub mod daemon;
pub mod engine;
pub mod error;
pub mod layout;
pub mod logging;
pub mod metrics;
pub mod minions;
pub mod peer_client;
pub mod peer_server;
pub mod sessions;
pub mod store_calls;
pub mod store_poll;
pub mod table_edit;

pub use ospreywing_clock as clock;
