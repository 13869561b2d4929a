//! A node of the cell.
//!
//! All nodes are alike. Each takes requests from clients and writes accepted
//! jobs and cancels to the store itself. One of them holds the leader's lease
//! and runs the [`ospreywing_scheduler::Scheduler`]; the others pass questions
//! to it and ask the adviser on its behalf. The crate is the shell around the
//! decisions: it owns sockets, clocks and the store's calls, and speaks to the
//! outside through the [`Platform`] trait alone.

pub mod admission;
mod caller;
mod cell_follow;
pub mod cell_view;
pub mod commit;
pub mod configuration;
pub mod configuration_sharing;
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
pub mod keys;
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
