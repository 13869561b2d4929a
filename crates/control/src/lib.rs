//! A node of the cell.
//!
//! All nodes run the same code. Each accepts client requests and writes accepted
//! jobs and cancels to the store itself. One node holds the leader lease and runs
//! the [`ospreywing_scheduler::Scheduler`]; the others forward queries to it and
//! call the adviser on its behalf. This crate does the I/O around the scheduler's
//! decisions: sockets, clocks and store calls. It reaches external systems only
//! through the [`Platform`] and [`Store`] traits.

pub mod admission;
pub mod body_buffer;
pub mod body_pool;
mod body_reader;
mod caller;
mod cancels;
mod cell_follow;
pub mod cell_view;
mod client_connections;
pub mod client_limits;
mod client_requests;
pub mod commit;
pub mod configuration;
pub mod configuration_sharing;
pub mod connection_table;
pub mod cordons;
mod credentials;
mod decision_log;
mod decision_loop;
pub mod election;
pub mod failure_detector;
pub mod follow;
pub mod freshness;
pub mod front;
pub mod handover;
pub mod intake;
pub mod intake_snapshot;
pub mod job_room;
pub mod keys;
mod large_jobs;
pub mod lateness;
pub mod layered;
pub mod leader;
mod leader_lease;
mod leader_probe;
pub mod log;
mod membership;
pub mod metered;
pub mod metrics;
pub mod node;
pub mod orders;
pub mod peer;
pub mod platform;
pub mod probed;
pub mod recovery;
pub mod refusal_log;
pub mod relay;
pub mod requests;
pub mod stable_hash;
mod step_down;
pub mod store;
pub mod stored_view;
pub mod watches;
pub mod worker_entries;

pub use ospreywing_clock as clock;

pub use caller::Caller;
pub use client_limits::{BoxSize, ClientLimits};
pub use credentials::{Credentials, KeyHasher};
pub use node::{run, NodeError, NodeSettings};
pub use platform::{
    Call, CallError, CordonError, CordonFault, Platform, Reply, RequestHead, RequestLimits, Retry,
    WorkerEntryError, WorkerEntryFault, WorkerPoll,
};
pub use store::{
    transfer_time, CommitError, Committed, Item, LeaseGrant, LeaseId, Page, Revision, Store,
    StoreError, Transaction, UnreadableValue, Watched, WatchedChange, Write,
};
