//! What the scheduler is told, and what it wants done.

use crate::config::Configuration;
use crate::decision::Decision;
use crate::job::{JobId, JobRecord, StepKey, TaskKey};
use crate::life::LifeStart;
use crate::worker::{WorkerFacts, WorkerKey};
use ospreywing_types::{Duration, Instant};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// Well.
    Done,
    /// By its own fault or the worker's.
    Failed,
    /// By a stop.
    Stopped,
    /// Its lease was over.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

impl EndKind {
    /// Returns the word for the log.
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
    /// How much of its work is done.
    pub progress_percent: u32,
    /// The tail of a serving task's answers in milliseconds, otherwise the
    /// processors in use in thousandths of a core; over the last half second.
    pub usage_figure: u32,
}

/// A run that a worker lists as ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// The end's number in the worker's life.
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

/// What became of a renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HoldReply {
    /// The worker's lists.
    Listed {
        /// When the life that answers started, where the platform tells.
        life_start: Option<LifeStart>,
        /// The worker's clock, in milliseconds.
        clock_ms: u64,
        /// What is alive.
        running: Vec<RunningRun>,
        /// What has ended and was not yet forgotten.
        ended: Vec<EndedRun>,
    },
    /// A newer leader has been there.
    Fenced,
    /// Another life answers at the address.
    OtherLife,
    /// There was no usable answer.
    Unanswered,
}

/// Why a worker certainly has not started a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusedStart {
    /// A newer leader has been there.
    Fence,
    /// The run is not above one that stopped or ended there.
    Old,
    /// The lease in the order was over.
    Late,
    /// The worker has no room.
    Room,
    /// The ticket is missing or over.
    Ticket,
    /// The worker is not well.
    Unhealthy,
    /// The order was malformed for it.
    Invalid,
    /// The order was never sent.
    NotSent,
}

impl RefusedStart {
    /// Returns the word for the log.
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

/// What became of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartReply {
    /// The run is there.
    Started,
    /// The run is not there.
    Refused(RefusedStart),
    /// Another life answers at the address.
    OtherLife,
    /// Nothing is known; it may start yet.
    Unanswered,
}

/// What became of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopReply {
    /// The run ends soon, or can't start any more.
    Stopping,
    /// A newer leader has been there.
    Fenced,
    /// Another life answers at the address.
    OtherLife,
    /// Nothing is known.
    Unanswered,
}

/// Leave to run a step's tasks on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The worker's id.
    pub worker: Arc<str>,
    /// The ticket itself.
    pub text: Arc<str>,
}

/// What became of a call for advice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdviceReply {
    /// The workers that may run the step.
    Good {
        /// Their tickets.
        tickets: Vec<Ticket>,
        /// How long they hold.
        validity: Duration,
    },
    /// There was no usable answer.
    Unanswered,
}

/// Where a worker's agent is met.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The worker, in this scheduler.
    pub worker: WorkerKey,
    /// The worker's id; every order names the life that is meant.
    pub id: Arc<str>,
    /// When the life started that is meant, where that is known: it alone may be told to
    /// forget ends.
    pub life_start: Option<LifeStart>,
    /// Its address.
    pub address: Arc<str>,
}

/// A change of the list of live workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerChange {
    /// A worker is listed, or something else is listed of it.
    Listed(WorkerFacts),
    /// The worker with this id is not listed any more.
    Unlisted(Arc<str>),
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A job was accepted and is in the store.
    JobAccepted {
        /// The job.
        job: JobId,
        /// What was accepted.
        record: Box<JobRecord>,
    },
    /// A cancel was accepted and is in the store.
    CancelAccepted {
        /// The job.
        job: JobId,
    },
    /// A configuration came into force.
    Configured(Configuration),
    /// The data centres in which the operators want nothing new started, whole.
    CordonsListed(BTreeSet<Arc<str>>),
    /// Whether nothing new may be started: what was told last of cordons or workers may be
    /// outdated.
    StartsHeld(bool),
    /// The list of live workers, whole.
    WorkersListed(Vec<WorkerFacts>),
    /// What has changed of the list of live workers, in its order.
    WorkersChanged(Vec<WorkerChange>),
    /// A renewal was answered, or not.
    HoldAnswered {
        /// The worker.
        worker: WorkerKey,
        /// When the renewal was sent.
        sent_at: Instant,
        /// What became of it.
        reply: HoldReply,
    },
    /// A start was answered, or not.
    StartAnswered {
        /// The worker.
        worker: WorkerKey,
        /// The task.
        task: TaskKey,
        /// The run.
        run: u32,
        /// What became of it.
        reply: StartReply,
    },
    /// A stop was answered, or not.
    StopAnswered {
        /// The worker.
        worker: WorkerKey,
        /// The task.
        task: TaskKey,
        /// The run.
        run: u32,
        /// What became of it.
        reply: StopReply,
    },
    /// The nodes that can ask the adviser, whole.
    NodesListed(Vec<Arc<str>>),
    /// Advice was answered, or not.
    AdviceAnswered {
        /// The step.
        step: StepKey,
        /// The workers that were named.
        queried: Vec<WorkerKey>,
        /// What became of it.
        reply: AdviceReply,
    },
    /// A lane's commit is in the store.
    Committed {
        /// The lane.
        lane: u32,
    },
    /// Whether the store answers as it should.
    StoreTrouble(bool),
    /// The wall clock, for jobs with a schedule, in milliseconds since 1970.
    WallClock(u64),
    /// Time has passed.
    Tick,
}

impl Event {
    /// Returns whether the event tells what the operators have set.
    pub(crate) const fn is_set_by_operators(&self) -> bool {
        matches!(
            self,
            Self::Configured(_) | Self::CordonsListed(_) | Self::StartsHeld(_)
        )
    }
}

/// A change of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The job.
    pub job: JobId,
    /// What is to become of what the store keeps of it.
    pub kind: ChangeKind,
}

/// What a change does to what the store keeps of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// Writes the job's progress, in its stored form.
    Progress(Vec<u8>),
    /// Writes the job's outcome, in its stored form, in the place of what was
    /// accepted, and removes its progress: nothing of the job runs any more.
    Outcome(Vec<u8>),
    /// Removes everything.
    Forget,
}

/// An order to start a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: u32,
    /// The text of the job.
    pub payload: Arc<str>,
    /// Until when the worker's runs are leased, on its clock.
    pub until_ms: u64,
    /// The checkpoint to go on from.
    pub checkpoint: Option<String>,
    /// The ticket, where the queue needs advice.
    pub ticket: Option<Arc<str>>,
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write these changes in one transaction of the lane; answered by
    /// [`Event::Committed`] once they are certainly there.
    Commit {
        /// The lane.
        lane: u32,
        /// The changes.
        changes: Vec<Change>,
    },
    /// Send a start.
    Start {
        /// The worker.
        to: Endpoint,
        /// The order.
        order: StartOrder,
    },
    /// Send a stop.
    Stop {
        /// The worker.
        to: Endpoint,
        /// The task.
        task: TaskKey,
        /// The run.
        run: u32,
    },
    /// Renew a worker's lease and ask for its lists.
    Hold {
        /// The worker.
        to: Endpoint,
        /// Until when, on the worker's clock; `None` to ask only.
        until_ms: Option<u64>,
        /// The last end that the worker may forget.
        last_seen: u64,
        /// How long the worker may wait for an end.
        wait: Duration,
        /// How long the answer may take beyond that.
        patience: Duration,
    },
    /// Ask for advice.
    Advise {
        /// The step.
        step: StepKey,
        /// The workers to be named.
        workers: Vec<Endpoint>,
        /// The node that asks.
        node: Arc<str>,
        /// How long the adviser will take, with the calls before this one.
        expected: Duration,
    },
    /// A newer leader exists.
    StepDown,
    /// Write a line to the log.
    Log(Decision),
}
