//! The stored state of a job: its progress, its outcome, and their encodings.
//!
//! The first byte of every stored value identifies its format.

use crate::crash_records::CrashRecord;
use crate::incarnation::Incarnation;
use crate::job::{is_visible_to, JobRecord, JobSpec};
use crate::placed_incarnations::PlacedIncarnation;
use crate::policies::JobPolicy;
use crate::trailing::Trailing;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The format of an accepted job without a customer, and of progress without crash records
/// and incarnations.
const FORMAT_VERSION: u8 = 1;
/// The format of the outcome of a job without a customer.
const OUTCOME_FORMAT: u8 = 2;
/// The format of progress with crash records. Progress without them keeps
/// [`FORMAT_VERSION`], which nodes of the previous version can read.
const CRASHES_FORMAT: u8 = 3;
/// The format of an accepted job of a customer. A job without a customer keeps
/// [`FORMAT_VERSION`]; nodes of the previous version set aside jobs in a format they can't
/// read and don't change them.
const CUSTOMERS_JOB_FORMAT: u8 = 4;
/// The format of the outcome of a customer's job.
const CUSTOMERS_OUTCOME_FORMAT: u8 = 5;
/// The format of progress with crash records and the incarnations of workers. It is used
/// only where workers report their incarnations; nodes of the previous version don't change
/// a job whose progress they can't read.
const INCARNATIONS_FORMAT: u8 = 6;

/// The phase of a job, as clients see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The job has work left.
    #[default]
    Active,
    /// Every task has succeeded.
    Complete,
    /// A task or a gang has used up its attempts, or workers crashed under a task too
    /// often.
    Failed,
    /// The job was cancelled.
    Canceled,
}

/// The status of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskStatus {
    /// No run of the task can be alive.
    #[default]
    Waiting,
    /// A run may be alive on a worker.
    Placed {
        /// The worker's id.
        worker: String,
        /// The incarnation to which the task was assigned, if known. It is stored
        /// separately, after the rest of the progress.
        #[serde(skip, rename = "life_start")]
        incarnation: Option<Incarnation>,
    },
    /// A run has succeeded.
    Done,
}

/// A task's progress.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskState {
    /// The number of the last recorded run; 0 if there is none.
    pub last_run: u32,
    /// The runs that have failed. A worker lists an end until the leader acknowledges it,
    /// so the same end may be reported more than once.
    pub failed_runs: Vec<u32>,
    /// The task's status.
    pub status: TaskStatus,
    /// The newest reported checkpoint; for a gang it is stored at its first member.
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
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobState {
    /// The job's phase.
    pub phase: Phase,
    /// The first round that is not yet due.
    pub next_round: u32,
    /// The rounds that have begun and have work left, by ascending number.
    pub rounds: Vec<RoundState>,
    /// The worker crashes attributed to the job's tasks. They are stored separately, after
    /// the rest of the progress.
    #[serde(skip)]
    pub crashes: Vec<CrashRecord>,
    /// What a later configuration than that of the job's acceptance says for the job. It is
    /// the last part of the encoding, and nodes of the previous version ignore it.
    #[serde(skip)]
    pub policy: Option<Box<JobPolicy>>,
}

/// The stored bytes are not a valid job state.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StateError {
    /// The format is unknown.
    #[error("unsupported format {0} of a stored value")]
    Version(u8),
    /// The bytes are damaged.
    #[error("malformed stored value: {0}")]
    Malformed(String),
}

impl StepState {
    /// Returns whether every task has succeeded.
    pub fn is_done(&self) -> bool {
        self.tasks
            .iter()
            .all(|task| task.status == TaskStatus::Done)
    }
}

impl TaskState {
    /// Returns whether the state proves that a run of the task has begun. A recorded start
    /// is no proof, since it may never have been sent.
    fn has_certainly_begun(&self) -> bool {
        let is_done = self.status == TaskStatus::Done;
        is_done || !self.failed_runs.is_empty() || self.checkpoint.is_some()
    }
}

impl RoundState {
    /// Creates the state of a round in which no task has begun.
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

    /// Returns whether every step has succeeded.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepState::is_done)
    }

    /// Returns whether no start of any task has been recorded.
    pub fn is_unstarted(&self) -> bool {
        let mut tasks = self.steps.iter().flat_map(|step| &step.tasks);
        tasks.all(|task| task.last_run == 0)
    }
}

impl JobState {
    /// Returns whether the state proves that a task of the job has begun.
    pub fn has_certainly_begun(&self) -> bool {
        let mut steps = self.rounds.iter().flat_map(|round| &round.steps);
        let has_begun = |step: &StepState| {
            let mut tasks = step.tasks.iter();
            !step.gang_failed_runs.is_empty() || tasks.any(TaskState::has_certainly_begun)
        };
        self.phase != Phase::Active || steps.any(has_begun)
    }

    /// Returns the round with this number if it has begun and has work left.
    pub fn round(&self, number: u32) -> Option<&RoundState> {
        let index = self.round_index(number)?;
        self.rounds.get(index)
    }

    /// Returns a mutable reference to the round with this number.
    pub fn round_mut(&mut self, number: u32) -> Option<&mut RoundState> {
        let index = self.round_index(number)?;
        self.rounds.get_mut(index)
    }

    fn round_index(&self, number: u32) -> Option<usize> {
        let found = self.rounds.binary_search_by_key(&number, |it| it.number);
        found.ok()
    }

    /// Returns the encoding for the store.
    pub fn to_bytes(&self) -> Vec<u8> {
        let incarnations = self.placed_incarnations();
        let policy = Trailing(self.policy.as_deref());
        if !incarnations.is_empty() {
            let parts = (self, &self.crashes, incarnations, policy);
            return encode(INCARNATIONS_FORMAT, &parts);
        }
        if self.crashes.is_empty() {
            return encode(FORMAT_VERSION, &(self, policy));
        }
        let parts = (self, &self.crashes, policy);
        encode(CRASHES_FORMAT, &parts)
    }

    /// Decodes stored progress.
    ///
    /// # Errors
    ///
    /// Returns a [`StateError`] if the bytes are of an unknown format or malformed.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, StateError> {
        match bytes.split_first() {
            Some((&CRASHES_FORMAT, rest)) => {
                let (state, crashes, policy): CrashesParts = decode_postcard(rest)?;
                let state = Self { crashes, ..state };
                Ok(state.with_policy(policy))
            }
            Some((&INCARNATIONS_FORMAT, rest)) => {
                let (state, crashes, incarnations, policy): IncarnationsParts =
                    decode_postcard(rest)?;
                let mut state = Self { crashes, ..state };
                state.set_placed_incarnations(&incarnations);
                Ok(state.with_policy(policy))
            }
            _ => {
                let (state, policy): (Self, TrailingPolicy) = decode(bytes)?;
                Ok(state.with_policy(policy))
            }
        }
    }

    fn with_policy(mut self, policy: TrailingPolicy) -> Self {
        self.policy = policy.0;
        self
    }
}

impl JobRecord {
    /// Returns the encoding for the store.
    pub fn to_bytes(&self) -> Vec<u8> {
        let policy = Trailing(self.policy.as_deref());
        if self.customer.is_some() {
            return encode(CUSTOMERS_JOB_FORMAT, &(self, policy));
        }
        let (queue, service) = (&self.queue, &self.service);
        let parts = (queue, service, self.accepted_ms, &self.spec, policy);
        encode(FORMAT_VERSION, &parts)
    }

    fn from_parts((queue, service, accepted_ms, spec, policy): RecordParts) -> Self {
        Self {
            queue,
            service,
            accepted_ms,
            spec,
            customer: None,
            policy: policy.0,
        }
    }
}

/// A policy at the end of an encoding.
type TrailingPolicy = Trailing<Box<JobPolicy>>;
/// The fields of a [`JobRecord`] without a customer, in stored order.
type RecordParts = (String, String, u64, JobSpec, TrailingPolicy);
/// The parts of progress with crash records, in stored order.
type CrashesParts = (JobState, Vec<CrashRecord>, TrailingPolicy);
/// The parts of progress with crash records and incarnations, in stored order.
type IncarnationsParts = (
    JobState,
    Vec<CrashRecord>,
    Vec<PlacedIncarnation>,
    TrailingPolicy,
);

/// The outcome of a job and its customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobOutcome {
    /// The job's final phase.
    pub phase: Phase,
    /// The customer that submitted the job, if any.
    pub customer: Option<String>,
}

impl JobOutcome {
    /// Creates the outcome of a job without a customer.
    pub const fn new(phase: Phase) -> Self {
        Self {
            phase,
            customer: None,
        }
    }

    /// Sets the customer.
    pub fn with_customer(mut self, customer: Option<String>) -> Self {
        self.customer = customer;
        self
    }

    /// Returns whether `caller` may see the outcome.
    pub fn is_visible_to(&self, caller: Option<&str>) -> bool {
        is_visible_to(self.customer.as_deref(), caller)
    }

    /// Returns the encoding for the store.
    pub fn to_bytes(&self) -> Vec<u8> {
        if self.customer.is_some() {
            encode(CUSTOMERS_OUTCOME_FORMAT, self)
        } else {
            encode(OUTCOME_FORMAT, &self.phase)
        }
    }
}

/// The value stored under the key of an accepted job.
///
/// The key remains while clients may query or resubmit the job. Once the job has ended, its
/// outcome replaces its specification, which a new leader would otherwise have to read.
#[derive(Clone, Debug, PartialEq)]
pub enum StoredJob {
    /// The accepted job.
    Accepted(Box<JobRecord>),
    /// The outcome of the job; none of its runs is alive.
    Ended(JobOutcome),
}

impl StoredJob {
    /// Returns whether `caller` may see the job.
    pub fn is_visible_to(&self, caller: Option<&str>) -> bool {
        match self {
            Self::Accepted(record) => record.is_visible_to(caller),
            Self::Ended(outcome) => outcome.is_visible_to(caller),
        }
    }

    /// Decodes a stored job.
    ///
    /// # Errors
    ///
    /// Returns a [`StateError`] if the bytes are of an unknown format or malformed.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, StateError> {
        match bytes.split_first() {
            Some((&OUTCOME_FORMAT, rest)) => {
                let phase = decode_postcard(rest)?;
                Ok(Self::Ended(JobOutcome::new(phase)))
            }
            Some((&CUSTOMERS_OUTCOME_FORMAT, rest)) => decode_postcard(rest).map(Self::Ended),
            Some((&CUSTOMERS_JOB_FORMAT, rest)) => {
                let (record, policy): (Box<JobRecord>, TrailingPolicy) = decode_postcard(rest)?;
                let policy = policy.0;
                Ok(Self::Accepted(Box::new(JobRecord { policy, ..*record })))
            }
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
