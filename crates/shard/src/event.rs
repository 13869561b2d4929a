//! Events: the inputs of an owner.

use crate::action::Token;
use ospreywing_table::Table;
use ospreywing_types::worker::{Ended, Report};
use ospreywing_types::{AttemptId, BoxFacts, Instant, Key, Name, TaskSpec};
use std::sync::Arc;

/// An event that an owner handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// The shard's workers in the newest box list.
    Boxes(Vec<BoxFacts>),
    /// The current table.
    Table(Arc<Table>),
    /// A caller submits a task.
    Submit {
        /// The caller that waits for the reply.
        token: Token,
        /// The caller's key.
        key: Key,
        /// The workload row.
        row: Name,
        /// What to run.
        spec: TaskSpec,
    },
    /// A caller cancels a task.
    Cancel {
        /// The caller that waits for the reply.
        token: Token,
        /// The task's key.
        key: Key,
    },
    /// A daemon claims the only run of a request that is unsafe to repeat.
    TakeKey {
        /// The caller that waits for the reply.
        token: Token,
        /// The caller's key.
        key: Key,
        /// The nonce that identifies the claim.
        nonce: u64,
    },
    /// The store has applied the latest commit.
    CommitDone,
    /// A read of the store confirmed that this owner still owns the shard.
    OwnershipConfirmed {
        /// When the read was sent.
        asked_at: Instant,
    },
    /// A connection to a worker was opened and returned its first report.
    SessionOpened {
        /// The worker.
        worker: Name,
        /// The connection's number; the process uses each number once.
        session: u64,
        /// The worker's report.
        report: Report,
    },
    /// A worker returned a report over its open connection.
    Reported {
        /// The worker.
        worker: Name,
        /// The connection.
        session: u64,
        /// When the report was requested.
        asked_at: Instant,
        /// The worker's report.
        report: Report,
    },
    /// The connection to a worker was closed.
    SessionClosed {
        /// The worker.
        worker: Name,
        /// The connection.
        session: u64,
    },
    /// A worker acknowledged a start.
    StartAcked {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A start was not sent and won't be.
    StartNotSent {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A start was sent, and its connection broke before the worker acknowledged it.
    StartUnconfirmed {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A worker reported the end of an attempt.
    Ended {
        /// The worker.
        worker: Name,
        /// The attempt and how it ended.
        ended: Ended,
    },
    /// No start of a former epoch is in flight, and none will be sent.
    EpochClosed {
        /// The epoch.
        epoch: u64,
    },
    /// Whether the daemon's table is known to be current; starts are placed
    /// only while it is.
    Deciding(bool),
    /// Time has passed; handles whatever is due.
    Tick,
}
