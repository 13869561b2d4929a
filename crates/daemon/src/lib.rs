//! The daemon: the I/O layer around [`ospreywing_node::Node`].
//!
//! It converts network input into events and executes the actions that the node
//! returns. All decisions are made by the node, which a single task, the
//! [`engine`], owns.

pub mod api;
pub mod body_memory;
pub mod box_entries;
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
