//! What the store keeps of a job's progress.

use crate::evidence::CrashRecord;
use crate::job::JobRecord;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The version of the stored form, its first byte.
const FORM_VERSION: u8 = 1;
/// The first byte of what stands for a job that has its outcome.
const OUTCOME_FORM: u8 = 2;
/// The first byte of progress with crash records behind it. Progress without any is
/// written as before, so that nodes of the version before read it.
const CRASHES_FORM: u8 = 3;

/// The phase of a job's life that clients are shown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Work is left.
    #[default]
    Active,
    /// Every task has ended well.
    Complete,
    /// A task, or a gang, has failed too often.
    Failed,
    /// The job was cancelled.
    Canceled,
}

/// Where a task stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskStatus {
    /// No run of it can be alive.
    #[default]
    Waiting,
    /// A run may be alive on a worker.
    Placed {
        /// The worker's id.
        worker: String,
    },
    /// A run has ended well.
    Done,
}

/// A task's progress.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskState {
    /// The number of the last run that was recorded; 0 for none.
    pub last_run: u32,
    /// The runs that have failed; a worker lists an end until it is told that
    /// it was noted, so the same end may come more than once.
    pub failed_runs: Vec<u32>,
    /// Where the task stands.
    pub status: TaskStatus,
    /// The newest checkpoint that was reported for the task; that of a gang
    /// stands at its first member.
    pub checkpoint: Option<String>,
}

/// A step's progress.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepState {
    /// The runs of a gang that have failed.
    pub gang_failed_runs: Vec<u32>,
    /// The tasks.
    pub tasks: Vec<TaskState>,
}

/// The progress of one round.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoundState {
    /// The round's number, from 0.
    pub number: u32,
    /// The steps.
    pub steps: Vec<StepState>,
}

/// A job's progress.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobState {
    /// The job's life.
    pub phase: Phase,
    /// The next round that is not yet due.
    pub next_round: u32,
    /// The rounds that have begun and have work left.
    pub rounds: Vec<RoundState>,
    /// The crashes of workers under the job's tasks; stored behind the rest.
    #[serde(skip)]
    pub crashes: Vec<CrashRecord>,
}

/// The stored bytes are not a job's state.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StateError {
    /// The form is of another version.
    #[error("the stored form has version {0}")]
    Version(u8),
    /// The bytes are damaged.
    #[error("the stored form can't be read: {0}")]
    Malformed(String),
}

impl StepState {
    /// Returns whether every task has ended well.
    pub fn is_done(&self) -> bool {
        self.tasks
            .iter()
            .all(|task| task.status == TaskStatus::Done)
    }
}

impl TaskState {
    /// Returns whether a run of the task has left a trace. A start that was
    /// recorded may never have been sent.
    fn has_certainly_begun(&self) -> bool {
        let is_done = self.status == TaskStatus::Done;
        is_done || !self.failed_runs.is_empty() || self.checkpoint.is_some()
    }
}

impl RoundState {
    /// Creates the state of a round in which nothing has begun.
    pub fn new(number: u32, record: &JobRecord) -> Self {
        let steps = record.spec.steps.iter().map(|step| StepState {
            tasks: vec![TaskState::default(); step.tasks_count as usize],
            ..StepState::default()
        });
        Self {
            number,
            steps: steps.collect(),
        }
    }

    /// Returns whether every step has ended well.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepState::is_done)
    }
}

impl JobState {
    /// Returns whether a task has begun, as far as the state tells.
    pub fn has_certainly_begun(&self) -> bool {
        let mut steps = self.rounds.iter().flat_map(|round| &round.steps);
        let has_begun = |step: &StepState| {
            let mut tasks = step.tasks.iter();
            !step.gang_failed_runs.is_empty() || tasks.any(TaskState::has_certainly_begun)
        };
        self.phase != Phase::Active || steps.any(has_begun)
    }

    /// Returns the round with this number, where it has begun and has work left.
    pub fn round(&self, number: u32) -> Option<&RoundState> {
        self.rounds.iter().find(|round| round.number == number)
    }

    /// Returns the round with this number, to be changed.
    pub fn round_mut(&mut self, number: u32) -> Option<&mut RoundState> {
        self.rounds.iter_mut().find(|round| round.number == number)
    }

    /// Returns the stored form.
    pub fn to_bytes(&self) -> Vec<u8> {
        if self.crashes.is_empty() {
            return to_stored(self);
        }
        let parts = (self, &self.crashes);
        postcard::to_extend(&parts, vec![CRASHES_FORM]).unwrap_or_default()
    }

    /// Reads the stored form.
    ///
    /// # Errors
    ///
    /// Returns a [`StateError`] where the bytes are of another version or damaged.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, StateError> {
        match bytes.split_first() {
            Some((&CRASHES_FORM, rest)) => {
                let (state, crashes): (Self, Vec<CrashRecord>) = read_postcard(rest)?;
                Ok(Self { crashes, ..state })
            }
            _ => from_stored(bytes),
        }
    }
}

impl JobRecord {
    /// Returns the stored form.
    pub fn to_bytes(&self) -> Vec<u8> {
        to_stored(self)
    }
}

/// What the store keeps under an accepted job's key.
///
/// The key stays for as long as the job may be asked for or handed in again.
/// What was accepted is of no use once the job has its outcome, and a new
/// leader would have to read it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredJob {
    /// What was accepted.
    Accepted(Box<JobRecord>),
    /// The job's outcome; nothing of it runs any more.
    Ended(Phase),
}

impl StoredJob {
    /// Returns the stored form of an outcome.
    pub fn outcome_bytes(phase: Phase) -> Vec<u8> {
        postcard::to_extend(&phase, vec![OUTCOME_FORM]).unwrap_or_default()
    }

    /// Reads the stored form.
    ///
    /// # Errors
    ///
    /// Returns a [`StateError`] where the bytes are of another version or damaged.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, StateError> {
        match bytes.split_first() {
            Some((&OUTCOME_FORM, rest)) => read_postcard(rest).map(Self::Ended),
            _ => from_stored(bytes).map(|record| Self::Accepted(Box::new(record))),
        }
    }
}

fn to_stored<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_extend(value, vec![FORM_VERSION]).unwrap_or_default()
}

fn from_stored<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, StateError> {
    match bytes.split_first() {
        Some((&FORM_VERSION, rest)) => read_postcard(rest),
        Some((&version, _)) => Err(StateError::Version(version)),
        None => Err(StateError::Malformed("it is empty".to_owned())),
    }
}

fn read_postcard<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, StateError> {
    postcard::from_bytes(bytes).map_err(|error| StateError::Malformed(error.to_string()))
}
