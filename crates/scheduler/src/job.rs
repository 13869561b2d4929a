//! Jobs, steps and tasks as they were submitted.

use core::fmt;
use core::str::FromStr;
use ospreywing_types::Resources;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The number of hexadecimal digits in a job's id.
const ID_DIGITS_COUNT: usize = 16;

/// A job's id, chosen by its client.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct JobId(u64);

/// The text is not a job's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a job's id has 16 lower-case hexadecimal digits")]
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

/// One step of one round of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepKey {
    /// The job.
    pub job: JobId,
    /// The round, from 0; always 0 without a schedule.
    pub round: u32,
    /// The step, from 0.
    pub step: u32,
}

impl StepKey {
    /// Returns the key of one of the step's tasks.
    pub const fn task(self, index: u32) -> TaskKey {
        TaskKey { step: self, index }
    }
}

/// One task of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// The step.
    pub step: StepKey,
    /// The task's number in the step, from 0.
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

/// What a step asks for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// The number of tasks.
    pub tasks_count: u32,
    /// What each task needs.
    pub demand: Resources,
    /// The client's rough guess of a task's time, in milliseconds; 0 without.
    pub estimate_ms: u64,
    /// Earlier steps that must have ended before.
    pub depends_on: Vec<u32>,
    /// Whether the tasks save checkpoints.
    pub saves_progress: bool,
    /// Whether the tasks work only together.
    pub is_gang: bool,
    /// Whether a gang is slower on more than one rack.
    pub is_same_rack: bool,
    /// The label that a worker must have.
    pub required_label: Option<String>,
    /// The rack where the step's data lies.
    pub data_rack: Option<String>,
    /// How many of the step's tasks one worker may hold; 0 for any number.
    pub per_worker_limit_count: u32,
    /// Whether copies of a task may run side by side.
    pub is_speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub is_perpetual: bool,
    /// Whether the tasks take only what others leave unused.
    pub is_filler: bool,
    /// What the tasks run.
    pub image: Option<String>,
    /// The bound on the tail of a serving task's answers; 0 without.
    pub target_ms: u64,
    /// How many tasks may be away at once by the scheduler's doing, where the
    /// step has such a limit.
    pub away_limit_count: u32,
}

/// When a job's steps run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// How many times the steps run.
    pub rounds_count: u32,
    /// When the first round is due, in milliseconds since 1970.
    pub first_due_ms: u64,
    /// The time between rounds, in milliseconds.
    pub interval_ms: u64,
}

/// What a client asks for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The text that is handed to every task.
    pub payload: String,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// When the steps run, where they run more than once or later.
    pub schedule: Option<Schedule>,
}

/// An accepted job as the store keeps it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The queue that took the job.
    pub queue: String,
    /// The service of the queue when the job was accepted.
    pub service: String,
    /// When the job was accepted, in milliseconds since 1970 on the clock of
    /// the node that took it.
    pub accepted_ms: u64,
    /// What the client asks for.
    pub spec: JobSpec,
    /// The customer that handed the job in; `None` where the queue is open to everybody.
    pub customer: Option<String>,
}

impl JobRecord {
    /// Returns whether whoever calls as `caller` may see and cancel the job.
    pub fn is_visible_to(&self, caller: Option<&str>) -> bool {
        is_visible_to(self.customer.as_deref(), caller)
    }
}

/// Returns whether whoever calls as `caller` may see and cancel a job of `owner`.
///
/// A job that is nobody's was handed in on a queue that is open to everybody, or before
/// customers were kept with jobs.
pub(crate) fn is_visible_to(owner: Option<&str>, caller: Option<&str>) -> bool {
    owner.is_none_or(|owner| caller == Some(owner))
}
