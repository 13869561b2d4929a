//! What an owner wants done.

use ospreywing_types::peer::{SubmitReply, TakeKeyReply};
use ospreywing_types::{AttemptId, Duration, Name, Resources};

/// Stands for a caller that waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Token(pub u64);

/// An answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// To a submission or a cancellation.
    Submit(SubmitReply),
    /// To a claim on a request key.
    TakeKey(TakeKeyReply),
}

/// One thing to do. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Answer a caller.
    Reply {
        /// The caller.
        token: Token,
        /// The answer.
        reply: Reply,
    },
    /// Send a start over the open connection to this run of the worker, once.
    SendStart {
        /// The worker.
        worker: Name,
        /// The run of the worker that alone may receive it.
        incarnation: u64,
        /// The attempt.
        attempt: AttemptId,
        /// What it needs.
        resources: Resources,
        /// The work itself.
        command: String,
        /// How long it may run without a renewal.
        lease: Duration,
    },
    /// Renew leases and let the worker forget what is on record.
    SendRenew {
        /// The worker.
        worker: Name,
        /// The attempts to renew.
        attempts: Vec<AttemptId>,
        /// The lease from the worker's receipt on.
        lease: Duration,
        /// The ended attempts to forget.
        forget: Vec<AttemptId>,
    },
    /// Ask a worker to stop an attempt.
    SendStop {
        /// The worker.
        worker: Name,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Ask a worker for its report.
    AskReport {
        /// The worker.
        worker: Name,
    },
}
