//! Tasks as callers submit them and as they are stored in the shard's log.

use crate::Resources;
use core::fmt;
use serde::{Deserialize, Serialize};

/// The serial number of a task within its shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId(pub u64);

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "task{}", self.0)
    }
}

/// Identifies one attempt at a task. Workers start attempts, renew their leases and
/// report them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The shard that the task belongs to.
    pub shard: u32,
    /// The task within the shard.
    pub task: TaskId,
    /// The number of the attempt, starting at one.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "shard{}/{}#{}", self.shard, self.task, self.number)
    }
}

/// The work that a caller submits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSpec {
    /// The resources that the task occupies while it runs.
    pub resources: Resources,
    /// The command, interpreted by the worker.
    pub command: String,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEnd {
    /// The work finished with this result.
    Finished(String),
    /// The work ran and failed with this reason.
    Failed(String),
    /// The worker stopped the attempt because its lease expired.
    LeaseLapsed,
    /// The attempt was stopped on request.
    Stopped,
    /// The attempt was lost with its worker.
    WorkerLost,
}

/// The state of a task as reported to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// Accepted and waiting for capacity.
    Waiting,
    /// A start is recorded but the worker has not confirmed it.
    Starting,
    /// The worker has confirmed that the task runs.
    Running,
    /// Finished with a result.
    Finished,
    /// Failed and will not be retried.
    Failed,
    /// Cancelled by a caller.
    Cancelled,
    /// Unsafe to repeat, and it is unknown whether it finished.
    Unknown,
}

impl TaskPhase {
    /// Returns whether the task will never run again.
    pub const fn is_final(self) -> bool {
        matches!(
            self,
            Self::Finished | Self::Failed | Self::Cancelled | Self::Unknown
        )
    }

    /// Returns the name used on the wire.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Starting => "starting",
            Self::Running => "running",
            Self::Finished => "finished",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for TaskPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
