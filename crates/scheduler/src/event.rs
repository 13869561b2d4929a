//! The scheduler's input events and output actions.

use crate::config::Configuration;
use crate::decision::Decision;
use crate::incarnation::Incarnation;
use crate::job::{JobId, JobRecord, StepKey, TaskKey};
use crate::worker::{WorkerFacts, WorkerKey};
use ospreywing_types::{Duration, Instant};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// The run succeeded.
    Done,
    /// The run failed, through its own fault or the worker's.
    Failed,
    /// The leader stopped the run.
    Stopped,
    /// The run's lease expired.
    Lapsed,
    /// Another member of the run's gang ended.
    Broken,
    /// The other members of the run's gang did not start in time.
    Alone,
}

impl EndKind {
    /// Returns the value for log entries.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Broken => "broken",
            Self::Alone => "alone",
        }
    }
}

/// A run that a worker lists as alive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningRun {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: u32,
    /// Its newest checkpoint.
    pub checkpoint: Option<String>,
    /// The completed part of its work, in percent.
    pub progress_percent: u32,
    /// For a serving task, a high quantile of its response times in milliseconds; otherwise
    /// its CPU use in thousandths of a core. Measured over the last half second.
    pub usage_figure: u32,
}

/// A run that a worker lists as ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// The end's sequence number within the worker's incarnation.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: u32,
    /// How it ended.
    pub kind: EndKind,
    /// Its newest checkpoint.
    pub checkpoint: Option<String>,
}

/// The result of a poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HoldReply {
    /// The worker listed its runs.
    Listed {
        /// The incarnation of the worker that answered, if the platform reports it.
        #[serde(rename = "life_start")]
        incarnation: Option<Incarnation>,
        /// The worker's clock, in milliseconds.
        clock_ms: u64,
        /// The runs that are alive.
        running: Vec<RunningRun>,
        /// The runs that have ended and whose ends are not yet acknowledged.
        ended: Vec<EndedRun>,
    },
    /// A newer leader has polled the worker.
    Fenced,
    /// Another incarnation answered at the address.
    #[serde(rename = "OtherLife")]
    OtherIncarnation,
    /// There was no usable answer.
    Unanswered,
}

/// The reason why a worker has certainly not started a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusedStart {
    /// A newer leader has contacted the worker.
    Fence,
    /// The run's number does not exceed that of a run of the task that was stopped or has
    /// ended there.
    Old,
    /// The lease in the order had expired.
    Late,
    /// The worker has too little free capacity.
    Room,
    /// The ticket is missing or has expired.
    Ticket,
    /// The worker is unhealthy.
    Unhealthy,
    /// The worker found the order malformed.
    Invalid,
    /// The order was never sent.
    NotSent,
}

impl RefusedStart {
    /// Returns the value for log entries.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Fence => "fence",
            Self::Old => "old run",
            Self::Late => "late",
            Self::Room => "no room",
            Self::Ticket => "ticket",
            Self::Unhealthy => "unhealthy",
            Self::Invalid => "invalid",
            Self::NotSent => "not sent",
        }
    }
}

/// The result of a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartReply {
    /// The worker has the run.
    Started,
    /// The worker does not have the run.
    Refused(RefusedStart),
    /// Another incarnation answered at the address.
    #[serde(rename = "OtherLife")]
    OtherIncarnation,
    /// There was no usable answer; the worker may still start the run.
    Unanswered,
}

/// The result of a stop order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopReply {
    /// The run ends soon or can no longer start.
    Stopping,
    /// A newer leader has contacted the worker.
    Fenced,
    /// Another incarnation answered at the address.
    #[serde(rename = "OtherLife")]
    OtherIncarnation,
    /// There was no usable answer.
    Unanswered,
}

/// An adviser's permission to run a step's tasks on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The worker's id.
    pub worker: Arc<str>,
    /// The adviser's text, which a start order carries to the worker.
    pub text: Arc<str>,
}

/// The result of an advice request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdviceReply {
    /// The adviser returned the workers that may run the step.
    Answered {
        /// One ticket for each suitable worker.
        tickets: Vec<Ticket>,
        /// How long the tickets are valid.
        validity: Duration,
    },
    /// There was no usable answer.
    Unanswered,
}

/// The address of a worker's agent and the incarnation that is expected there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The scheduler's key of the worker.
    pub worker: WorkerKey,
    /// The worker's id. Every order carries it, so that another worker at the address
    /// refuses the order.
    pub id: Arc<str>,
    /// The incarnation that the order is meant for, if known. Ends are acknowledged only to
    /// this incarnation.
    #[serde(rename = "life_start")]
    pub incarnation: Option<Incarnation>,
    /// The agent's address.
    pub address: Arc<str>,
}

/// A change to the list of live workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerChange {
    /// A worker was added, or its entry has changed.
    Listed(WorkerFacts),
    /// The worker with this id was removed from the list.
    Unlisted(Arc<str>),
}

/// An input event.
#[derive(Clone, Debug)]
pub enum Event {
    /// A job was accepted and is in the store.
    JobAccepted {
        /// The job.
        job: JobId,
        /// The accepted job.
        record: Box<JobRecord>,
    },
    /// A cancellation was accepted and is in the store.
    CancelAccepted {
        /// The job.
        job: JobId,
    },
    /// A new configuration is active.
    Configured(Configuration),
    /// The complete set of cordoned data centres.
    CordonsListed(BTreeSet<Arc<str>>),
    /// Whether starts are paused because the known cordons or workers may be outdated.
    StartsPaused(bool),
    /// The complete list of live workers.
    WorkersListed(Vec<WorkerFacts>),
    /// Changes to the list of live workers, in order.
    WorkersChanged(Vec<WorkerChange>),
    /// A poll was answered, timed out, or failed.
    HoldAnswered {
        /// The worker.
        worker: WorkerKey,
        /// When the poll was sent.
        sent_at: Instant,
        /// The result.
        reply: HoldReply,
    },
    /// A start order was answered, timed out, or failed.
    StartAnswered {
        /// The worker.
        worker: WorkerKey,
        /// The task.
        task: TaskKey,
        /// The run.
        run: u32,
        /// The result.
        reply: StartReply,
    },
    /// A stop order was answered, timed out, or failed.
    StopAnswered {
        /// The worker.
        worker: WorkerKey,
        /// The task.
        task: TaskKey,
        /// The run.
        run: u32,
        /// The result.
        reply: StopReply,
    },
    /// The complete list of nodes that can send advice requests.
    NodesListed(Vec<Arc<str>>),
    /// An advice request was answered, timed out, or failed.
    AdviceAnswered {
        /// The step.
        step: StepKey,
        /// The workers that the request named.
        queried: Vec<WorkerKey>,
        /// The result.
        reply: AdviceReply,
    },
    /// A lane's transaction is committed.
    Committed {
        /// The lane.
        lane: u32,
    },
    /// Whether the store is slow or unavailable.
    StoreDegraded(bool),
    /// The wall-clock time in milliseconds since the Unix epoch, for jobs with a schedule.
    WallClock(u64),
    /// Time has passed; runs periodic work.
    Tick,
}

impl Event {
    /// Returns whether the event carries settings of the operators.
    pub(crate) const fn is_set_by_operators(&self) -> bool {
        matches!(
            self,
            Self::Configured(_) | Self::CordonsListed(_) | Self::StartsPaused(_)
        )
    }
}

/// A change to the stored state of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The job.
    pub job: JobId,
    /// The kind of change.
    pub kind: ChangeKind,
}

/// The kind of a [`Change`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// Writes the job's encoded progress.
    Progress(Vec<u8>),
    /// Replaces the accepted job by its encoded outcome and removes its progress. None of
    /// the job's runs is alive.
    Outcome(Vec<u8>),
    /// Removes everything stored about the job.
    Forget,
}

/// An order to start a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: u32,
    /// The job's payload.
    pub payload: Arc<str>,
    /// The end of the worker's lease, in milliseconds on the worker's clock.
    pub until_ms: u64,
    /// The checkpoint to resume from.
    pub checkpoint: Option<String>,
    /// The ticket, if the queue requires advice.
    pub ticket: Option<Arc<str>>,
}

/// An output action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Writes the changes in one transaction of the lane. [`Event::Committed`] follows once
    /// they are certainly stored.
    Commit {
        /// The lane.
        lane: u32,
        /// The changes.
        changes: Vec<Change>,
    },
    /// Sends a start order.
    Start {
        /// The worker.
        to: Endpoint,
        /// The order.
        order: StartOrder,
    },
    /// Sends a stop order.
    Stop {
        /// The worker.
        to: Endpoint,
        /// The task.
        task: TaskKey,
        /// The run.
        run: u32,
    },
    /// Polls a worker for its runs and may renew its lease.
    Hold {
        /// The worker.
        to: Endpoint,
        /// The end of the renewed lease, in milliseconds on the worker's clock; `None`
        /// polls without renewing.
        until_ms: Option<u64>,
        /// The number up to which the worker may discard its ends.
        last_seen: u64,
        /// How long the worker may hold the poll until a run ends.
        wait: Duration,
        /// The timeout of the answer, in addition to `wait`.
        patience: Duration,
    },
    /// Requests advice.
    Advise {
        /// The step.
        step: StepKey,
        /// The workers to query.
        workers: Vec<Endpoint>,
        /// The node that sends the request.
        node: Arc<str>,
        /// The expected time until the adviser answers, including the requests before this
        /// one.
        expected: Duration,
    },
    /// Steps down: a newer leader exists.
    StepDown,
    /// Writes a log entry.
    Log(Decision),
}
