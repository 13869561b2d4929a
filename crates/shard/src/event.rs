//! What an owner is told.

use crate::action::Token;
use ospreywing_table::Table;
use ospreywing_types::worker::{Ended, Report};
use ospreywing_types::{AttemptId, BoxFacts, Instant, Key, Name, TaskSpec};
use std::sync::Arc;

/// One thing that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The shard's workers as the box list has them now.
    Boxes(Vec<BoxFacts>),
    /// The table in force.
    Table(Arc<Table>),
    /// A caller hands in a task.
    Submit {
        /// Whom to answer.
        token: Token,
        /// The caller's key.
        key: Key,
        /// The workload row.
        row: Name,
        /// What to run.
        spec: TaskSpec,
    },
    /// A caller wants a task stopped.
    Cancel {
        /// Whom to answer.
        token: Token,
        /// The task's key.
        key: Key,
    },
    /// A daemon claims the one run of a request that is unsafe to repeat.
    TakeKey {
        /// Whom to answer.
        token: Token,
        /// The caller's key.
        key: Key,
        /// The claim.
        nonce: u64,
    },
    /// The commit last made has taken effect.
    CommitDone,
    /// The store was seen to name this owner, by a call begun at the instant.
    OwnershipConfirmed {
        /// When the call began.
        asked_at: Instant,
    },
    /// A connection to a worker is open and gave its first report.
    SessionOpened {
        /// The worker.
        worker: Name,
        /// The connection's number, never used again by this process.
        session: u64,
        /// Its report.
        report: Report,
    },
    /// A worker answered on its open connection.
    Reported {
        /// The worker.
        worker: Name,
        /// The connection.
        session: u64,
        /// When it was asked.
        asked_at: Instant,
        /// Its report.
        report: Report,
    },
    /// The connection to a worker is gone.
    SessionClosed {
        /// The worker.
        worker: Name,
        /// The connection.
        session: u64,
    },
    /// A worker took a start.
    StartAcked {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A start was certainly not sent and will not be.
    StartNotSent {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A start was sent and its connection broke before an answer.
    StartUnconfirmed {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A worker said that an attempt ended.
    Ended {
        /// The worker.
        worker: Name,
        /// The attempt and its end.
        ended: Ended,
    },
    /// No start of a former epoch is on its way or will be sent.
    EpochClosed {
        /// The epoch.
        epoch: u64,
    },
    /// Whether the daemon knows its table to be current.
    Deciding(bool),
    /// Time has passed.
    Tick,
}
