//! What the store keeps of a job's progress.

use crate::crash_records::CrashRecord;
use crate::incarnation::Incarnation;
use crate::job::{is_visible_to, JobRecord, JobSpec};
use crate::placed_incarnations::PlacedIncarnation;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The version of the stored form, its first byte.
const FORMAT_VERSION: u8 = 1;
/// The first byte of what stands for a job that has its outcome.
const OUTCOME_FORMAT: u8 = 2;
/// The first byte of progress with crash records behind it. Progress without any is
/// written as before, so that nodes of the version before read it.
const CRASHES_FORMAT: u8 = 3;
/// The first byte of an accepted job of a customer. One that is nobody's is written as
/// before; nodes of the version before keep what they can't read apart and leave it alone.
const CUSTOMERS_JOB_FORMAT: u8 = 4;
/// The same of an outcome.
const CUSTOMERS_OUTCOME_FORMAT: u8 = 5;
/// The first byte of progress with crash records and the lives of workers behind it. Where
/// workers tell no starts it is written as before; nodes of the version before leave a job
/// alone whose progress they can't read.
const INCARNATIONS_FORMAT: u8 = 6;

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
        /// The start of the life that was meant, where it is known; stored behind the rest.
        #[serde(skip)]
        incarnation: Option<Incarnation>,
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
        let incarnations = self.placed_incarnations();
        if !incarnations.is_empty() {
            let parts = (self, &self.crashes, incarnations);
            return encode(INCARNATIONS_FORMAT, &parts);
        }
        if self.crashes.is_empty() {
            return encode(FORMAT_VERSION, self);
        }
        let parts = (self, &self.crashes);
        encode(CRASHES_FORMAT, &parts)
    }

    /// Reads the stored form.
    ///
    /// # Errors
    ///
    /// Returns a [`StateError`] where the bytes are of another version or damaged.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, StateError> {
        match bytes.split_first() {
            Some((&CRASHES_FORMAT, rest)) => {
                let (state, crashes): (Self, Vec<CrashRecord>) = decode_postcard(rest)?;
                Ok(Self { crashes, ..state })
            }
            Some((&INCARNATIONS_FORMAT, rest)) => {
                let (state, crashes, incarnations): (
                    Self,
                    Vec<CrashRecord>,
                    Vec<PlacedIncarnation>,
                ) = decode_postcard(rest)?;
                let mut state = Self { crashes, ..state };
                state.set_placed_incarnations(&incarnations);
                Ok(state)
            }
            _ => decode(bytes),
        }
    }
}

impl JobRecord {
    /// Returns the stored form.
    pub fn to_bytes(&self) -> Vec<u8> {
        if self.customer.is_some() {
            return encode(CUSTOMERS_JOB_FORMAT, self);
        }
        let parts = (&self.queue, &self.service, self.accepted_ms, &self.spec);
        encode(FORMAT_VERSION, &parts)
    }

    fn from_parts((queue, service, accepted_ms, spec): RecordParts) -> Self {
        Self {
            queue,
            service,
            accepted_ms,
            spec,
            customer: None,
        }
    }
}

/// The fields of a record that is nobody's, in their order.
type RecordParts = (String, String, u64, JobSpec);

/// A job's outcome, and whose job it was.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobOutcome {
    /// How the job ended.
    pub phase: Phase,
    /// The customer that handed the job in, where it was one.
    pub customer: Option<String>,
}

impl JobOutcome {
    /// Creates the outcome of a job that is nobody's.
    pub const fn new(phase: Phase) -> Self {
        Self {
            phase,
            customer: None,
        }
    }

    /// Sets whose job it was.
    pub fn with_customer(mut self, customer: Option<String>) -> Self {
        self.customer = customer;
        self
    }

    /// Returns whether whoever calls as `caller` may see the outcome.
    pub fn is_visible_to(&self, caller: Option<&str>) -> bool {
        is_visible_to(self.customer.as_deref(), caller)
    }

    /// Returns the stored form.
    pub fn to_bytes(&self) -> Vec<u8> {
        if self.customer.is_some() {
            encode(CUSTOMERS_OUTCOME_FORMAT, self)
        } else {
            encode(OUTCOME_FORMAT, &self.phase)
        }
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
    Ended(JobOutcome),
}

impl StoredJob {
    /// Returns whether whoever calls as `caller` may see the job.
    pub fn is_visible_to(&self, caller: Option<&str>) -> bool {
        match self {
            Self::Accepted(record) => record.is_visible_to(caller),
            Self::Ended(outcome) => outcome.is_visible_to(caller),
        }
    }

    /// Reads the stored form.
    ///
    /// # Errors
    ///
    /// Returns a [`StateError`] where the bytes are of another version or damaged.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, StateError> {
        match bytes.split_first() {
            Some((&OUTCOME_FORMAT, rest)) => {
                let phase = decode_postcard(rest)?;
                Ok(Self::Ended(JobOutcome::new(phase)))
            }
            Some((&CUSTOMERS_OUTCOME_FORMAT, rest)) => decode_postcard(rest).map(Self::Ended),
            Some((&CUSTOMERS_JOB_FORMAT, rest)) => decode_postcard(rest).map(Self::Accepted),
            _ => {
                let record = JobRecord::from_parts(decode(bytes)?);
                Ok(Self::Accepted(Box::new(record)))
            }
        }
    }
}

fn encode<T: Serialize>(format: u8, value: &T) -> Vec<u8> {
    postcard::to_extend(value, vec![format]).unwrap_or_default()
}

fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, StateError> {
    match bytes.split_first() {
        Some((&FORMAT_VERSION, rest)) => decode_postcard(rest),
        Some((&version, _)) => Err(StateError::Version(version)),
        None => Err(StateError::Malformed("it is empty".to_owned())),
    }
}

fn decode_postcard<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, StateError> {
    postcard::from_bytes(bytes).map_err(|error| StateError::Malformed(error.to_string()))
}
