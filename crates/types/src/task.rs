//! Tasks as callers describe them and as the log keeps them.

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

/// One attempt at a task, the unit that a worker starts, renews and reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The shard that the task belongs to.
    pub shard: u32,
    /// The task within the shard.
    pub task: TaskId,
    /// The attempt's number, from one.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "shard{}/{}#{}", self.shard, self.task, self.number)
    }
}

/// What a caller asks to have run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSpec {
    /// What the task needs while it runs.
    pub resources: Resources,
    /// The work itself, as the worker understands it.
    pub command: String,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEnd {
    /// The work finished; the text is its result.
    Finished(String),
    /// The work ran and reported a failure.
    Failed(String),
    /// The worker stopped it because its lease lapsed.
    LeaseLapsed,
    /// It was stopped on request.
    Stopped,
    /// Its worker is gone, and with it the attempt.
    WorkerLost,
}

/// Where a task stands, as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// Accepted and waiting for room.
    Waiting,
    /// A start is recorded; the worker has not confirmed it.
    Starting,
    /// A worker has confirmed that it runs.
    Running,
    /// Finished, with its result.
    Finished,
    /// Failed for good.
    Failed,
    /// Cancelled by a caller.
    Cancelled,
    /// Marked unsafe to repeat, and whether it finished can't be proved.
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

    /// Returns the word used on the wire.
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
