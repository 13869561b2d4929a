//! Failures by which workers are judged: a worker with consecutive failures is avoided for a while.
//!
//! A run may fail because of its worker or because of its task. The runs of a step that has failed on
//! one worker and then on another, and has not succeeded meanwhile, say nothing about further workers.
//! Otherwise a step that always fails would have each worker avoided that it is started on, and a
//! perpetual step is started again without a limit.
//!
//! Several such steps may each have a worker avoided. Failed runs therefore have at most half of a
//! service's workers avoided; refused and unanswered starts may have all, since repeating these at
//! once would add to the load of workers that are overloaded.

use crate::decision::{Decision, DecisionKind};
use crate::event::{Action, EndKind, EndedRun};
use crate::job::{JobId, StepKey, TaskKey};
use crate::scheduler::Scheduler;
use crate::state::Phase;
use crate::worker::WorkerKey;
use ospreywing_types::{Duration, Instant};
use std::collections::BTreeMap;

/// The consecutive failures after which a worker is avoided.
const AVOID_AFTER_COUNT: u32 = 2;
/// How long a worker is avoided at first; doubled with each further failure.
const AVOID_BASE: Duration = Duration::from_ms(1500);
/// The maximum number of doublings.
const AVOID_DOUBLINGS_COUNT: u32 = 3;
/// A perpetual task that has run for this long was started well, and its worker is sound.
const SOUND_PERPETUAL_RUN: Duration = Duration::from_ms(6000);

/// A step of a job, in any round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct JobStep {
    job: JobId,
    step: u32,
}

impl From<StepKey> for JobStep {
    fn from(key: StepKey) -> Self {
        Self {
            job: key.job,
            step: key.step,
        }
    }
}

/// Where the runs of a step have failed since one of them last succeeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FailedOn {
    OneWorker(WorkerKey),
    SeveralWorkers,
}

/// What a failed run shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// The worker may be the cause.
    AgainstWorker,
    /// The step has failed on a second worker.
    AgainstStep,
    /// It is known that the step fails on several workers.
    Nothing,
}

/// The steps of active jobs whose last runs have failed.
#[derive(Debug, Default)]
pub(crate) struct FailingSteps {
    by_step: BTreeMap<JobStep, FailedOn>,
}

impl FailingSteps {
    /// Records that a run of the step has failed on a worker.
    fn record_failure(&mut self, step: StepKey, worker: WorkerKey) -> Evidence {
        let first = FailedOn::OneWorker(worker);
        let known = self.by_step.entry(step.into()).or_insert(first);
        match *known {
            FailedOn::SeveralWorkers => Evidence::Nothing,
            FailedOn::OneWorker(other) if other == worker => Evidence::AgainstWorker,
            FailedOn::OneWorker(_) => {
                *known = FailedOn::SeveralWorkers;
                Evidence::AgainstStep
            }
        }
    }

    /// Records that a run of the step has succeeded.
    fn record_success(&mut self, step: StepKey) {
        self.by_step.remove(&step.into());
    }

    /// Returns the jobs of the steps, once for each step.
    pub(crate) fn jobs(&self) -> impl Iterator<Item = JobId> + '_ {
        self.by_step.keys().map(|step| step.job)
    }

    /// Removes the steps of a job.
    pub(crate) fn remove_job(&mut self, job: JobId) {
        let steps = JobStep { job, step: 0 }..=JobStep {
            job,
            step: u32::MAX,
        };
        let steps: Vec<JobStep> = self.by_step.range(steps).map(|(step, _)| *step).collect();
        for step in steps {
            self.by_step.remove(&step);
        }
    }
}

impl Scheduler {
    /// Returns whether a task is perpetual and has run on the worker for so long that its start and
    /// the worker are sound.
    pub(crate) fn has_lasted(&self, now: Instant, key: WorkerKey, task: TaskKey) -> bool {
        let run = self.workers[key].runs.get(&task);
        let begun_at = run.and_then(|run| run.begun_at);
        let has_lasted = begun_at.is_some_and(|at| now.since(at) >= SOUND_PERPETUAL_RUN);
        has_lasted && self.is_perpetual(task.step)
    }

    /// Returns whether a job is known and has not ended.
    pub(crate) fn is_active(&self, job: JobId) -> bool {
        let job = self.jobs.get(&job);
        job.is_some_and(|job| job.state.phase == Phase::Active)
    }

    fn is_perpetual(&self, step: StepKey) -> bool {
        let spec = self.step_spec(step);
        spec.is_some_and(|spec| spec.is_perpetual)
    }

    /// Judges a worker by the end of a run. `has_lasted` is the result of [`Self::has_lasted`]
    /// before the run was removed.
    pub(crate) fn record_health(
        &mut self,
        now: Instant,
        key: WorkerKey,
        end: &EndedRun,
        has_lasted: bool,
        out: &mut Vec<Action>,
    ) {
        let step = end.task.step;
        match end.kind {
            EndKind::Done => {
                self.workers[key].failures_count = 0;
                self.failing_steps.record_success(step);
            }
            EndKind::Failed if has_lasted => self.failing_steps.record_success(step),
            EndKind::Failed if self.is_active(step.job) => {
                self.record_failed_run(now, key, step, out);
            }
            _ => {}
        }
    }

    fn record_failed_run(
        &mut self,
        now: Instant,
        key: WorkerKey,
        step: StepKey,
        out: &mut Vec<Action>,
    ) {
        match self.failing_steps.record_failure(step, key) {
            Evidence::AgainstWorker if self.may_avoid_another(now, key) => {
                self.record_failure(now, key, "runs fail", out);
            }
            Evidence::AgainstStep => {
                let line = Decision::new(DecisionKind::StepFails, "on several workers");
                out.push(Action::Log(line.with_job(step.job)));
            }
            Evidence::AgainstWorker | Evidence::Nothing => {}
        }
    }

    /// Returns whether at most half of the workers of a worker's service that accept runs are avoided
    /// if this one is too.
    fn may_avoid_another(&self, now: Instant, key: WorkerKey) -> bool {
        let service = &self.workers[key].facts.service;
        let (mut open_count, mut avoided_count) = (0, 0);
        for (other, worker) in self.workers.iter() {
            if worker.facts.service != *service || !worker.accepts_runs() {
                continue;
            }
            if other == key || !worker.is_placeable(now) {
                avoided_count += 1;
            } else {
                open_count += 1;
            }
        }
        avoided_count <= open_count
    }

    /// Counts a failure of a worker; after a few consecutive ones the worker is avoided.
    pub(crate) fn record_failure(
        &mut self,
        now: Instant,
        key: WorkerKey,
        reason: &'static str,
        out: &mut Vec<Action>,
    ) {
        let worker = &mut self.workers[key];
        worker.failures_count += 1;
        if worker.failures_count < AVOID_AFTER_COUNT {
            return;
        }
        let doublings = (worker.failures_count - AVOID_AFTER_COUNT).min(AVOID_DOUBLINGS_COUNT);
        let duration = AVOID_BASE.times(1 << doublings);
        worker.avoided_until = now + duration;
        let line = Decision::new(DecisionKind::WorkerAvoided, reason)
            .with_worker(&worker.facts.id)
            .with_figure(duration.as_ms());
        out.push(Action::Log(line));
    }
}
