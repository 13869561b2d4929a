//! The records of a shard's log and their encoding.

use crate::state::TaskState;
use crate::LogError;
use ospreywing_types::{DaemonIdentity, Key, Name, TaskId, TaskPhase, TaskSpec};
use serde::{Deserialize, Serialize};

/// One record of the log.
///
/// Replay skips a record about an unknown task. The batch with the task's
/// earlier records was deleted by the log cleaner; if the task still exists, a
/// later [`Record::Task`] holds all of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A daemon became the owner of the shard; the first record of each epoch.
    Open {
        /// The epoch.
        epoch: u64,
        /// The daemon process that owns the shard.
        owner: DaemonIdentity,
    },
    /// No start of the epoch is in flight, and none will be sent.
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
        /// The only incarnation of the worker that may receive the start.
        incarnation: u64,
        /// The epoch that may send the start.
        epoch: u64,
    },
    /// The worker confirmed that it runs the attempt.
    ///
    /// The record is written with others and never causes a commit by itself: it
    /// only lets a later owner rely on the expiry of the attempt's lease.
    Confirm {
        /// The task.
        id: TaskId,
        /// The attempt's number.
        number: u32,
    },
    /// An attempt is over and its task is waiting again.
    Requeue {
        /// The task.
        id: TaskId,
        /// The attempt's number.
        number: u32,
        /// Whether the attempt counts against the retry limit.
        is_failure: bool,
    },
    /// A caller cancelled the task.
    Cancel {
        /// The task.
        id: TaskId,
    },
    /// The task will never run again.
    End {
        /// The task.
        id: TaskId,
        /// The phase in which it ended.
        phase: TaskPhase,
        /// The result, or the reason for a failure.
        result: Option<String>,
    },
    /// The task and its result are removed from the state.
    Forget {
        /// The task.
        id: TaskId,
    },
    /// All that is recorded of a task, rewritten by the log cleaner.
    Task(TaskImage),
    /// The only run of a request that is unsafe to repeat was granted to a claim.
    TakeKey {
        /// The caller's key.
        key: Key,
        /// The nonce of the claim.
        nonce: u64,
    },
    /// The key is removed from the state: its retention period is over.
    ForgetKey {
        /// The caller's key.
        key: Key,
    },
}

impl Record {
    /// Returns whether the record causes no commit by itself and waits for the next.
    pub const fn is_deferrable(&self) -> bool {
        matches!(
            self,
            Self::Confirm { .. } | Self::Forget { .. } | Self::ForgetKey { .. }
        )
    }
}

/// All that is recorded of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskImage {
    /// Its number in the shard.
    pub id: TaskId,
    /// The caller's key.
    pub key: Key,
    /// The workload row.
    pub row: Name,
    /// What to run; `None` once the task has ended.
    pub spec: Option<TaskSpec>,
    /// The number of attempts so far.
    pub attempts_count: u32,
    /// The number of attempts that failed.
    pub failures_count: u32,
    /// Whether a caller cancelled it.
    pub is_cancelled: bool,
    /// Its state.
    #[serde(rename = "position")]
    pub state: TaskState,
}

/// A batch of records, stored as the value of one key of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The shard.
    pub shard: u32,
    /// The epoch in which it was written.
    pub epoch: u64,
    /// Its sequence number in the log.
    pub seq: u64,
    /// The next task number that is free after this batch.
    pub next_id: u64,
    /// The records, in order.
    pub records: Vec<Record>,
}

impl Batch {
    /// Encodes the batch.
    pub fn encode(&self) -> Vec<u8> {
        // Serializing plain data into memory does not fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes the batch stored under `seq`.
    ///
    /// # Errors
    ///
    /// Returns [`LogError::Malformed`] if the bytes are not a batch.
    pub fn decode(seq: u64, bytes: &[u8]) -> Result<Self, LogError> {
        postcard::from_bytes(bytes).map_err(|error| LogError::Malformed {
            seq,
            reason: error.to_string(),
        })
    }
}
