//! Decides where and when the tasks of a shard run.
//!
//! A shard is a fixed part of a cell's workers together with the tasks that
//! run on them. One daemon at a time owns it. The owner records every start in
//! the platform's store before it sends the start, so that the next owner knows
//! which attempts may run on which workers.
//!
//! The crate does no I/O and reads no clock: [`Owner::handle`] processes an
//! [`Event`] at an instant and appends [`Action`]s. Each stage of an ownership
//! has a type of its own: a [`Recovery`] reads the log and becomes an
//! [`Owner`]; an owner that is fenced or hands over becomes a [`Closing`],
//! which is dropped once no start of its epoch is in flight.

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
pub use state::{Epoch, Started, State, TaskData, TaskState};
pub use verifier::{verify, VerifierError};
