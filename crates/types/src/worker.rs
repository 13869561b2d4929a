//! Messages between a daemon and a worker (JSON-RPC over one WebSocket).
//!
//! A connection belongs to one incarnation of the worker and ends with it. The
//! worker executes every order without checking for duplicates or overcommitment;
//! the sender must avoid both.

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
/// Subscription that sends an [`Ended`] whenever an attempt ends.
pub const SUBSCRIBE_ENDS: &str = "worker_subscribe_ends";
/// Name of the notifications sent for [`SUBSCRIBE_ENDS`].
pub const ENDS: &str = "worker_ends";
/// Method that cancels the subscription of [`SUBSCRIBE_ENDS`].
pub const UNSUBSCRIBE_ENDS: &str = "worker_unsubscribe_ends";

/// The state of all attempts on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The random number of this incarnation of the worker.
    pub incarnation: u64,
    /// The attempts that are running.
    pub running: Vec<AttemptId>,
    /// The ended attempts that no [`Renew`] has told the worker to forget.
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
    /// The resources that the attempt occupies.
    pub resources: Resources,
    /// The command to run.
    pub command: String,
    /// The lease from the worker's receipt of the order, in milliseconds.
    pub lease_ms: u64,
}

/// An order to renew leases and to forget ended attempts whose end is recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// The attempts whose leases are renewed.
    pub attempts: Vec<AttemptId>,
    /// The new lease from the worker's receipt of the order, in milliseconds.
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

/// An order from a shard's owner to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Start an attempt. The order is sent at most once, over the open connection,
    /// and only to this incarnation of the worker.
    Start {
        /// The only incarnation of the worker that may receive the order.
        incarnation: u64,
        /// The attempt to start.
        start: Start,
    },
    /// Renew leases and forget ended attempts.
    Renew(Renew),
    /// Stop an attempt.
    Stop(Stop),
    /// Request a report.
    Report,
}
