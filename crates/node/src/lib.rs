//! The state machine of one daemon, composed of membership, router and shards.
//!
//! [`Node`] holds the membership, the router, the current table and the shards
//! that the daemon owns. It performs no I/O and reads no clock: the daemon
//! turns network input into [`Event`]s and executes [`Action`]s; tests and
//! replays do the same with fakes.

mod action;
mod config;
mod event;
mod node;
mod report;
mod requests;
mod shard_slot;
mod shards;
mod table_view;
mod workers;

pub use action::{Action, Answer, Forward};
pub use config::NodeConfig;
pub use event::{Change, ClaimedLog, Event, Poll};
pub use node::Node;
pub use report::{BoxReport, CellReport, MemberReport, ShardReport};
