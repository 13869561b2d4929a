//! Messages between a daemon and a worker (JSON-RPC over one WebSocket).
//!
//! A connection is bound to one incarnation of the worker: it ends with it.
//! The worker has no guards; it does what it is told.

use crate::{AttemptId, Resources, TaskEnd};
use serde::{Deserialize, Serialize};

/// Method that returns a [`Report`].
pub const REPORT: &str = "worker_report";
/// Method that takes a [`Start`] and returns nothing.
pub const START: &str = "worker_start";
/// Method that takes a [`Renew`] and returns nothing.
pub const RENEW: &str = "worker_renew";
/// Method that takes a [`Stop`] and returns nothing.
pub const STOP: &str = "worker_stop";
/// Subscription that yields an [`Ended`] as each attempt ends.
pub const SUBSCRIBE_ENDS: &str = "worker_subscribe_ends";
/// Name of the notifications of [`SUBSCRIBE_ENDS`].
pub const ENDS: &str = "worker_ends";
/// Method that ends [`SUBSCRIBE_ENDS`].
pub const UNSUBSCRIBE_ENDS: &str = "worker_unsubscribe_ends";

/// All that a worker knows of its attempts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The random number of this run of the worker.
    pub incarnation: u64,
    /// The attempts that run now.
    pub running: Vec<AttemptId>,
    /// The attempts that ended and were not yet forgotten.
    pub ended: Vec<Ended>,
}

/// An attempt that ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// The attempt.
    pub attempt: AttemptId,
    /// How it ended.
    pub end: TaskEnd,
}

/// An order to start an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The attempt.
    pub attempt: AttemptId,
    /// What it needs.
    pub resources: Resources,
    /// The work itself.
    pub command: String,
    /// How long it may run without a renewal, in milliseconds.
    pub lease_ms: u64,
}

/// An order that renews leases and drops reports that are on record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// The attempts whose leases are renewed.
    pub attempts: Vec<AttemptId>,
    /// The lease from the worker's receipt on, in milliseconds.
    pub lease_ms: u64,
    /// The ended attempts that the worker may forget.
    pub forget: Vec<AttemptId>,
}

/// An order to stop an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// The attempt.
    pub attempt: AttemptId,
}

/// One thing that an owner wants of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Start an attempt: over the open connection, to this run of the worker
    /// and no other, once.
    Start {
        /// The run of the worker that alone may receive it.
        incarnation: u64,
        /// The order itself.
        start: Start,
    },
    /// Renew leases and drop reports.
    Renew(Renew),
    /// Stop an attempt.
    Stop(Stop),
    /// Give a report.
    Report,
}
