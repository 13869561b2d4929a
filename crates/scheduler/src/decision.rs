//! What is logged: one entry per decision.

use crate::customers::CustomerUsage;
use crate::job::{JobId, StepKey, TaskKey};
use ospreywing_types::Duration;
use std::sync::Arc;

/// What was decided or came to be believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecisionKind {
    /// A job came in.
    JobTaken,
    /// A job's work is held back by its customer's limit.
    JobHeld,
    /// A step has waited for long.
    StepWaits,
    /// A run was given to a worker.
    Placed,
    /// A start was sent.
    StartSent,
    /// The worker began the run.
    Started,
    /// The run can't have begun.
    NotStarted,
    /// Whether the run began is not known; it is being stopped.
    StartUnknown,
    /// A run is being stopped.
    StopSent,
    /// A run's end was noted.
    Ended,
    /// A run was given up for lost.
    RunLost,
    /// A job reached its outcome.
    JobEnded,
    /// A worker became known.
    WorkerListed,
    /// A worker is leaving.
    WorkerDraining,
    /// A worker is not listed any more.
    WorkerUnlisted,
    /// A worker's list of runs was taken over.
    WorkerSynced,
    /// A worker did not answer.
    WorkerSilent,
    /// A worker's life is over.
    WorkerGone,
    /// A worker is heard of under its id with another start than before.
    WorkerRestarted,
    /// A worker was lost with a run on it.
    WorkerCrashed,
    /// A worker's room has changed while work is there.
    WorkerResized,
    /// A worker is avoided for a while.
    WorkerAvoided,
    /// Advice was asked for.
    AdviceAsked,
    /// Advice came, or did not.
    AdviceAnswered,
    /// A configuration came into force.
    Configured,
    /// A customer went over its share of a service's room, or came back.
    Share,
    /// A data centre was cordoned, or is not any more.
    Cordon,
    /// A service is short of room, or is not any more.
    Overload,
}

impl DecisionKind {
    /// Returns the word for the log.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::JobTaken => "job taken",
            Self::JobHeld => "job held",
            Self::StepWaits => "step waits",
            Self::Placed => "placed",
            Self::StartSent => "start sent",
            Self::Started => "started",
            Self::NotStarted => "not started",
            Self::StartUnknown => "start unknown",
            Self::StopSent => "stop sent",
            Self::Ended => "run ended",
            Self::RunLost => "run lost",
            Self::JobEnded => "job ended",
            Self::WorkerListed => "worker listed",
            Self::WorkerDraining => "worker draining",
            Self::WorkerUnlisted => "worker unlisted",
            Self::WorkerSynced => "worker synced",
            Self::WorkerSilent => "worker silent",
            Self::WorkerGone => "worker gone",
            Self::WorkerRestarted => "worker restarted",
            Self::WorkerCrashed => "worker crashed under run",
            Self::WorkerResized => "worker resized",
            Self::WorkerAvoided => "worker avoided",
            Self::AdviceAsked => "advice asked",
            Self::AdviceAnswered => "advice answered",
            Self::Configured => "configured",
            Self::Share => "share",
            Self::Cordon => "cordon",
            Self::Overload => "overload",
        }
    }
}

/// A reservation of a customer's limit, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReservedLimit {
    /// The step that it is for.
    pub step: StepKey,
    /// How long until the limit should hold that, where it is known.
    pub due_in: Option<Duration>,
}

/// One entry for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// What was decided.
    pub kind: DecisionKind,
    /// The job, where one is concerned.
    pub job: Option<JobId>,
    /// The task, where one is concerned.
    pub task: Option<TaskKey>,
    /// The run, where one is concerned; 0 otherwise.
    pub run: u32,
    /// The worker's id, where one is concerned.
    pub worker: Option<Arc<str>>,
    /// The data centre, where one is concerned.
    pub data_centre: Option<Arc<str>>,
    /// The job's queue, where the job is named for the first time in a term.
    pub queue: Option<Arc<str>>,
    /// The service, where a whole one is concerned.
    pub service: Option<Arc<str>>,
    /// The customer, and what it has running and may have, where that decides.
    pub customer: Option<CustomerUsage>,
    /// The reservation of the customer's limit, where there is one.
    pub reserved: Option<ReservedLimit>,
    /// Why, or how it came out.
    pub reason: &'static str,
    /// The age of the belief or the size that decided, by kind.
    pub figure: u64,
    /// How many workers were found good, where advice was answered.
    pub good_count: usize,
}

impl Decision {
    /// Creates an entry.
    pub const fn new(kind: DecisionKind, reason: &'static str) -> Self {
        Self {
            kind,
            job: None,
            task: None,
            run: 0,
            worker: None,
            data_centre: None,
            queue: None,
            service: None,
            customer: None,
            reserved: None,
            reason,
            figure: 0,
            good_count: 0,
        }
    }

    /// Names the job.
    pub const fn with_job(mut self, job: JobId) -> Self {
        self.job = Some(job);
        self
    }

    /// Names the task and its run.
    pub const fn with_run(mut self, task: TaskKey, run: u32) -> Self {
        self.task = Some(task);
        self.run = run;
        self
    }

    /// Names the worker.
    pub fn with_worker(mut self, worker: &Arc<str>) -> Self {
        self.worker = Some(worker.clone());
        self
    }

    /// Names the data centre.
    pub fn with_data_centre(mut self, data_centre: &Arc<str>) -> Self {
        self.data_centre = Some(data_centre.clone());
        self
    }

    /// Names the job's queue.
    pub fn with_queue(mut self, queue: &str) -> Self {
        self.queue = Some(Arc::from(queue));
        self
    }

    /// Names the service.
    pub fn with_service(mut self, service: &Arc<str>) -> Self {
        self.service = Some(service.clone());
        self
    }

    /// Names the customer and its use.
    pub fn with_customer(mut self, customer: CustomerUsage) -> Self {
        self.customer = Some(customer);
        self
    }

    /// Names the reservation of the customer's limit.
    pub const fn with_reserved(mut self, reserved: Option<ReservedLimit>) -> Self {
        self.reserved = reserved;
        self
    }

    /// Sets how many workers were found good.
    pub const fn with_good_count(mut self, good_count: usize) -> Self {
        self.good_count = good_count;
        self
    }

    /// Sets the figure.
    pub const fn with_figure(mut self, figure: u64) -> Self {
        self.figure = figure;
        self
    }
}
