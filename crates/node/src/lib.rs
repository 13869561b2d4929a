//! The decisions of one daemon, put together from those of its parts.
//!
//! [`Node`] holds the membership, the router, the table in force and the
//! shards that the daemon owns. It does no I/O and reads no clock: the daemon
//! turns sockets into [`Event`]s and carries out [`Action`]s; tests and
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
