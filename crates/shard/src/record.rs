//! What is written to a shard's log.

use crate::state::Position;
use crate::LogError;
use ospreywing_types::{DaemonIdentity, Key, Name, TaskId, TaskPhase, TaskSpec};
use serde::{Deserialize, Serialize};

/// One durable fact.
///
/// A record about a task that is not known is skipped over on replay: a later
/// [`Record::Task`] then holds the whole of it, written when the batch with
/// the earlier records was cleaned away.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A daemon began to own the shard; the first record of each epoch.
    Open {
        /// The epoch.
        epoch: u64,
        /// The process that owns it.
        owner: DaemonIdentity,
    },
    /// No start of the epoch is on its way or will be sent.
    Close {
        /// The epoch.
        epoch: u64,
    },
    /// A task was accepted.
    Submit {
        /// Its number in the shard.
        id: TaskId,
        /// The caller's key.
        key: Key,
        /// The workload row.
        row: Name,
        /// What to run.
        spec: TaskSpec,
    },
    /// An attempt may be sent to a worker from now on.
    Start {
        /// The task.
        id: TaskId,
        /// The attempt's number.
        number: u32,
        /// The worker.
        worker: Name,
        /// The run of the worker that alone may receive it.
        incarnation: u64,
        /// The epoch that may send it.
        epoch: u64,
    },
    /// The worker said that it runs the attempt.
    ///
    /// It rides along with other records and never causes a commit: it only
    /// lets a later owner rely on the lapse of the attempt's lease.
    Confirm {
        /// The task.
        id: TaskId,
        /// The attempt's number.
        number: u32,
    },
    /// An attempt is over and the task waits again.
    Requeue {
        /// The task.
        id: TaskId,
        /// The attempt's number.
        number: u32,
        /// Whether the attempt counts against the retry limit.
        is_failure: bool,
    },
    /// A caller asked for the task to be stopped.
    Cancel {
        /// The task.
        id: TaskId,
    },
    /// The task will never run again.
    End {
        /// The task.
        id: TaskId,
        /// Its last phase.
        phase: TaskPhase,
        /// The result or the reason.
        result: Option<String>,
    },
    /// The task and its result are dropped.
    Forget {
        /// The task.
        id: TaskId,
    },
    /// The whole of a task, written again by the cleaner.
    Task(TaskImage),
    /// The one run of a request that is unsafe to repeat was granted.
    TakeKey {
        /// The caller's key.
        key: Key,
        /// The claim that got it.
        nonce: u64,
    },
    /// The key is dropped; it is too old to be asked again.
    ForgetKey {
        /// The caller's key.
        key: Key,
    },
}

impl Record {
    /// Returns whether the record waits for others rather than cause a commit.
    pub const fn is_deferrable(&self) -> bool {
        matches!(
            self,
            Self::Confirm { .. } | Self::Forget { .. } | Self::ForgetKey { .. }
        )
    }
}

/// All that the log knows of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskImage {
    /// Its number in the shard.
    pub id: TaskId,
    /// The caller's key.
    pub key: Key,
    /// The workload row.
    pub row: Name,
    /// What to run; dropped once the task has ended.
    pub spec: Option<TaskSpec>,
    /// The number of attempts so far.
    pub attempts_count: u32,
    /// The number of attempts that failed.
    pub failures_count: u32,
    /// Whether a caller asked for it to be stopped.
    pub is_cancelled: bool,
    /// Where it stands.
    pub position: Position,
}

/// The value of one key of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The shard.
    pub shard: u32,
    /// The epoch that wrote it.
    pub epoch: u64,
    /// Its place in the log.
    pub seq: u64,
    /// The next task number that is free after this batch.
    pub next_id: u64,
    /// The facts, in order.
    pub records: Vec<Record>,
}

impl Batch {
    /// Encodes the batch.
    pub fn encode(&self) -> Vec<u8> {
        // Writing plain data to memory does not fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes the batch stored under `seq`.
    ///
    /// # Errors
    ///
    /// Returns [`LogError::Malformed`] where the bytes are not a batch.
    pub fn decode(seq: u64, bytes: &[u8]) -> Result<Self, LogError> {
        postcard::from_bytes(bytes).map_err(|error| LogError::Malformed {
            seq,
            reason: error.to_string(),
        })
    }
}
