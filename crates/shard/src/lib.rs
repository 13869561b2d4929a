//! The decisions of a shard's owner.
//!
//! A shard is a fixed part of a cell's workers together with the tasks that
//! run on them. One daemon at a time owns it. The owner records every start in
//! the platform's store before it sends it, so that whoever takes over knows
//! what may run where.
//!
//! The crate does no I/O and reads no clock: [`Owner::handle`] takes an
//! [`Event`] and an instant and appends [`Action`]s. The life cycle is typed:
//! a [`Recovery`] reads the log and becomes an [`Owner`]; an owner that is
//! fenced or hands over becomes a [`Closing`] and then is dropped.

mod action;
mod closing;
mod commit;
mod config;
mod entity;
mod error;
mod event;
mod free_index;
mod intake;
mod log;
mod owner;
mod presence;
mod queue;
mod record;
mod recovery;
mod resolve;
mod state;
mod verifier;
mod worker;
mod workload;

pub use action::{Action, Reply, Token};
pub use closing::Closing;
pub use config::OwnerConfig;
pub use entity::{Task, Team, Worker, Workload};
pub use error::LogError;
pub use event::Event;
pub use log::Commit;
pub use owner::{Counts, Owner};
pub use presence::{Absence, Presence};
pub use record::{Batch, Record, TaskImage};
pub use recovery::Recovery;
pub use state::{Epoch, Position, Started, State, TaskData};
pub use verifier::{verify, VerifierError};
