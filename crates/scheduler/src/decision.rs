//! Log entries: one for each decision of the scheduler.

use crate::customers::CustomerUsage;
use crate::job::{JobId, StepKey, TaskKey};
use crate::policies::PolicySource;
use ospreywing_types::Duration;
use std::sync::Arc;

/// The kind of a decision or observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecisionKind {
    /// A job was accepted.
    JobAccepted,
    /// A cancel arrived before its job, was applied to it later, or was dropped.
    EarlyCancel,
    /// A job's work waits for its customer's limit.
    JobHeldByLimit,
    /// A step has waited for a long time.
    StepWaits,
    /// A run was placed on a worker.
    Placed,
    /// A start was sent.
    StartSent,
    /// The worker has started the run.
    Started,
    /// The run can't have started.
    NotStarted,
    /// It is unknown whether the run started; it is sent again or stopped.
    StartUnknown,
    /// A run is being stopped.
    StopSent,
    /// A run's end was handled.
    RunEnded,
    /// A task, or its gang, has failed.
    AttemptFailed,
    /// A run was released as lost.
    RunLost,
    /// A job ended, or clients can see its outcome.
    JobEnded,
    /// A worker was added.
    WorkerListed,
    /// A worker is draining.
    WorkerDraining,
    /// A worker was removed from the list.
    WorkerUnlisted,
    /// A worker listed its runs for the first time under this leader's fencing token.
    WorkerSynced,
    /// A worker is unresponsive.
    WorkerUnresponsive,
    /// A worker's incarnation is over.
    WorkerGone,
    /// A new incarnation answered under a worker's id.
    WorkerRestarted,
    /// A worker was lost with a run on it.
    WorkerCrashed,
    /// A worker's capacity changed while runs occupy it.
    WorkerResized,
    /// A worker is avoided for some time.
    WorkerAvoided,
    /// The runs of a step fail on several workers.
    StepFails,
    /// Advice was requested.
    AdviceRequested,
    /// An advice request was answered or has failed.
    AdviceAnswered,
    /// A new configuration is active.
    Configured,
    /// A customer exceeded its fair share of a service, or returned within it.
    ShareChanged,
    /// A data centre was cordoned or uncordoned.
    CordonChanged,
    /// A service became overloaded or recovered.
    Overload,
}

impl DecisionKind {
    /// Returns the value for log entries.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::JobAccepted => "job taken",
            Self::EarlyCancel => "early cancel",
            Self::JobHeldByLimit => "job held",
            Self::StepWaits => "step waits",
            Self::Placed => "placed",
            Self::StartSent => "start sent",
            Self::Started => "started",
            Self::NotStarted => "not started",
            Self::StartUnknown => "start unknown",
            Self::StopSent => "stop sent",
            Self::RunEnded => "run ended",
            Self::AttemptFailed => "attempt failed",
            Self::RunLost => "run lost",
            Self::JobEnded => "job ended",
            Self::WorkerListed => "worker listed",
            Self::WorkerDraining => "worker draining",
            Self::WorkerUnlisted => "worker unlisted",
            Self::WorkerSynced => "worker synced",
            Self::WorkerUnresponsive => "worker silent",
            Self::WorkerGone => "worker gone",
            Self::WorkerRestarted => "worker restarted",
            Self::WorkerCrashed => "worker crashed under run",
            Self::WorkerResized => "worker resized",
            Self::WorkerAvoided => "worker avoided",
            Self::StepFails => "step fails",
            Self::AdviceRequested => "advice asked",
            Self::AdviceAnswered => "advice answered",
            Self::Configured => "configured",
            Self::ShareChanged => "share",
            Self::CordonChanged => "cordon",
            Self::Overload => "overload",
        }
    }
}

/// A reservation of part of a customer's limit, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReservedLimit {
    /// The step that it is reserved for.
    pub step: StepKey,
    /// The expected time until the limit has enough left for the step, if known.
    pub due_in: Option<Duration>,
}

/// How many of a task's attempts are used, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptsUsed {
    /// The number of runs that have failed.
    pub failed_count: usize,
    /// The number of failures at which the job fails.
    pub limit_count: u32,
    /// Where the limit comes from.
    pub limit_source: PolicySource,
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The kind of decision.
    pub kind: DecisionKind,
    /// The job, if any.
    pub job: Option<JobId>,
    /// The task, if any.
    pub task: Option<TaskKey>,
    /// The run, if any; otherwise 0.
    pub run: u32,
    /// The worker's id, if any.
    pub worker: Option<Arc<str>>,
    /// The data centre, if any.
    pub data_centre: Option<Arc<str>>,
    /// The job's queue, in the job's first entry of a term.
    pub queue: Option<Arc<str>>,
    /// The service, for a decision about a whole service.
    pub service: Option<Arc<str>>,
    /// The customer with its usage and limit, if these were decisive.
    pub customer: Option<CustomerUsage>,
    /// The reservation of the customer's limit, if there is one.
    pub reserved: Option<ReservedLimit>,
    /// The attempts that the task has used, if one of them has failed.
    pub attempts: Option<AttemptsUsed>,
    /// The reason or the result.
    pub reason: &'static str,
    /// A number that depends on the kind, such as an age in milliseconds or a count.
    pub figure: u64,
    /// The number of suitable workers in an adviser's answer.
    pub suitable_count: usize,
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
            attempts: None,
            reason,
            figure: 0,
            suitable_count: 0,
        }
    }

    /// Sets the job.
    pub const fn with_job(mut self, job: JobId) -> Self {
        self.job = Some(job);
        self
    }

    /// Sets the task and its run.
    pub const fn with_run(mut self, task: TaskKey, run: u32) -> Self {
        self.task = Some(task);
        self.run = run;
        self
    }

    /// Sets the worker.
    pub fn with_worker(mut self, worker: &Arc<str>) -> Self {
        self.worker = Some(worker.clone());
        self
    }

    /// Sets the data centre.
    pub fn with_data_centre(mut self, data_centre: &Arc<str>) -> Self {
        self.data_centre = Some(data_centre.clone());
        self
    }

    /// Sets the job's queue.
    pub fn with_queue(mut self, queue: &str) -> Self {
        self.queue = Some(Arc::from(queue));
        self
    }

    /// Sets the service.
    pub fn with_service(mut self, service: &Arc<str>) -> Self {
        self.service = Some(service.clone());
        self
    }

    /// Sets the customer and its usage.
    pub fn with_customer(mut self, customer: CustomerUsage) -> Self {
        self.customer = Some(customer);
        self
    }

    /// Sets the reservation of the customer's limit.
    pub const fn with_reserved(mut self, reserved: Option<ReservedLimit>) -> Self {
        self.reserved = reserved;
        self
    }

    /// Sets the attempts that the task has used.
    pub const fn with_attempts(mut self, attempts: AttemptsUsed) -> Self {
        self.attempts = Some(attempts);
        self
    }

    /// Sets the number of suitable workers.
    pub const fn with_suitable_count(mut self, suitable_count: usize) -> Self {
        self.suitable_count = suitable_count;
        self
    }

    /// Sets the figure.
    pub const fn with_figure(mut self, figure: u64) -> Self {
        self.figure = figure;
        self
    }
}
