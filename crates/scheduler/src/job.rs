//! The definition of jobs, steps and tasks, as submitted and stored.

use crate::policies::JobPolicy;
use core::fmt;
use core::str::FromStr;
use ospreywing_types::Resources;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The number of hexadecimal digits of a job's id.
const ID_DIGITS_COUNT: usize = 16;

/// A job's id, chosen by its client.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct JobId(u64);

/// The error for a text that isn't a job's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a job's id must be 16 lower-case hexadecimal digits")]
pub struct JobIdError;

impl JobId {
    /// Creates an id from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the id's number.
    pub const fn number(self) -> u64 {
        self.0
    }
}

impl FromStr for JobId {
    type Err = JobIdError;

    fn from_str(text: &str) -> Result<Self, JobIdError> {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != ID_DIGITS_COUNT || !text.bytes().all(is_digit) {
            return Err(JobIdError);
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| JobIdError)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A step in one round of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepKey {
    /// The job.
    pub job: JobId,
    /// The round, from 0; always 0 without a schedule.
    pub round: u32,
    /// The index of the step in the job, from 0.
    pub step: u32,
}

impl StepKey {
    /// Returns the key of one of the step's tasks.
    pub const fn task(self, index: u32) -> TaskKey {
        TaskKey { step: self, index }
    }
}

/// A task of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// The step.
    pub step: StepKey,
    /// The index of the task in the step, from 0.
    pub index: u32,
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.round, self.step)
    }
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

/// The definition of a step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// The number of tasks.
    pub tasks_count: u32,
    /// The demand of each task.
    pub demand: Resources,
    /// The client's estimate of a task's duration, in milliseconds; 0 if there is none.
    pub estimate_ms: u64,
    /// The indices of the steps that must complete before this one; these precede it.
    pub depends_on: Vec<u32>,
    /// Whether the tasks save checkpoints.
    pub saves_progress: bool,
    /// Whether the tasks are a gang, which works only if all of them run.
    pub is_gang: bool,
    /// Whether a gang is slower on more than one rack.
    pub is_same_rack: bool,
    /// The label that a worker must have.
    pub required_label: Option<String>,
    /// The rack where the step's data is.
    pub data_rack: Option<String>,
    /// The largest number of the step's tasks on one worker; 0 for no limit.
    pub per_worker_limit_count: u32,
    /// Whether copies of a task may run side by side.
    pub is_speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub is_perpetual: bool,
    /// Whether the tasks use only resources that others leave unused.
    pub is_filler: bool,
    /// The image that the tasks run.
    pub image: Option<String>,
    /// The target for the tail latency of a serving task, in milliseconds; 0 if there is
    /// none.
    pub target_ms: u64,
    /// The number of tasks that the scheduler may have down at the same time, if the step has
    /// such a limit.
    pub away_limit_count: u32,
}

/// The rounds of a job whose steps run repeatedly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// The number of rounds.
    pub rounds_count: u32,
    /// The time at which the first round is due, in milliseconds since 1970.
    pub first_due_ms: u64,
    /// The time between rounds, in milliseconds.
    pub interval_ms: u64,
}

/// The definition of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The text that is passed to every task.
    pub payload: String,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// The rounds, if the steps run repeatedly or at a later time.
    pub schedule: Option<Schedule>,
}

/// An accepted job as it is stored.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The queue to which the job was submitted.
    pub queue: String,
    /// The service of the queue when the job was accepted.
    pub service: String,
    /// When the job was accepted, in milliseconds since 1970 by the clock of the node that
    /// accepted it.
    pub accepted_ms: u64,
    /// The definition of the job.
    pub spec: JobSpec,
    /// The customer that submitted the job; `None` for an open queue.
    pub customer: Option<String>,
    /// What the configuration said for the job when it was accepted; `None` if a node of an
    /// earlier version accepted it. It is encoded separately, after the rest of the record.
    #[serde(skip)]
    pub policy: Option<Box<JobPolicy>>,
}

impl JobRecord {
    /// Returns whether `caller` may see and cancel the job.
    pub fn is_visible_to(&self, caller: Option<&str>) -> bool {
        is_visible_to(self.customer.as_deref(), caller)
    }
}

/// Returns whether `caller` may see and cancel a job of `owner`.
///
/// A job without an owner was submitted to an open queue, or before records contained the
/// customer.
pub(crate) fn is_visible_to(owner: Option<&str>, caller: Option<&str>) -> bool {
    owner.is_none_or(|owner| caller == Some(owner))
}
