//! When a job that is handed in now would be done at the best, by queue.
//!
//! A forecast is for those who refuse jobs, so it only counts what is sure: runs of work that
//! is at least as important and can't be over yet, and waiting jobs that are more important,
//! due sooner and to be in time. Of all estimates the part is counted that is surely needed.

use crate::admission::{Forecast, QueueForecast};
use crate::deadline_selection::{
    OccupyingRun, ResourceVector, SelectedJob, Selection, ServiceLoad, WaitingJob,
};
use crate::job::{JobId, TaskKey};
use crate::scheduler::Scheduler;
use crate::worker::{Run, RunPhase};
use ospreywing_types::{Duration, Instant};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The time between two forecasts: each goes over the runs of the overloaded services.
const FORECAST_PERIOD: Duration = Duration::from_ms(250);
/// A new leader tells no forecast for so long: it has not heard of all runs. Nor is one told
/// for so long after the store was in trouble, when jobs may be in it that nobody knows of.
const UNSURE_TIME: Duration = Duration::from_s(5);
/// The part of an estimate that is surely needed, in percent: estimates may be two and a half
/// times too long.
const SURE_PERCENT: u64 = 40;
/// The queues of a service that a forecast names, at most.
const QUEUES_LIMIT_COUNT: usize = 16;
/// The latest time that is told.
const LATEST: Duration = Duration::from_s(600);

/// The forecasts of the leader.
#[derive(Debug, Default)]
pub(crate) struct Forecasts {
    made_at: Instant,
    /// Until when none is told.
    unsure_until: Instant,
    queues: Vec<QueueForecast>,
}

impl Forecasts {
    /// Creates those of a leader whose term begins.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            unsure_until: now + UNSURE_TIME,
            ..Self::default()
        }
    }

    /// Notes that nothing is sure for a while.
    pub(crate) fn suspend(&mut self, now: Instant) {
        self.unsure_until = now + UNSURE_TIME;
        self.queues.clear();
    }

    /// Forgets all forecasts.
    pub(crate) fn clear(&mut self) {
        self.queues.clear();
    }

    /// Returns how many queues have one.
    pub(crate) const fn len(&self) -> usize {
        self.queues.len()
    }

    /// Returns whether new ones are to be made.
    pub(crate) fn are_due(&self, now: Instant) -> bool {
        now >= self.unsure_until && now >= self.made_at + FORECAST_PERIOD
    }

    /// Takes in new ones.
    pub(crate) fn replace(&mut self, now: Instant, queues: Vec<QueueForecast>) {
        self.made_at = now;
        self.queues = queues;
    }
}

/// The job of a queue that needs least, and when it would be worth nothing.
#[derive(Clone, Copy, Debug)]
struct LeastJob {
    priority: u32,
    objective: Duration,
    work: ResourceVector,
}

impl Scheduler {
    /// Returns the forecast that other nodes may use, where there is one.
    pub fn forecast(&self, now: Instant) -> Option<Forecast> {
        let forecasts = &self.forecasts;
        (!forecasts.queues.is_empty()).then(|| Forecast {
            age_ms: now.since(forecasts.made_at).as_ms(),
            queues: forecasts.queues.clone(),
        })
    }

    /// Returns when each queue with waiting jobs of an overloaded service could do another.
    pub(crate) fn queue_forecasts(
        &self,
        now: Instant,
        service: &Arc<str>,
        load: &ServiceLoad<JobId>,
        selected: &[SelectedJob<JobId>],
    ) -> Vec<QueueForecast> {
        let runs = self.sure_runs(now, service);
        let least = self.least_jobs(load);
        let forecasts = least.into_iter().take(QUEUES_LIMIT_COUNT);
        let forecasts = forecasts.map(|(queue, least)| {
            // The runs of less important work may be stopped for it.
            let lasting = runs.iter().filter(|run| run.priority <= least.priority);
            let waiting_jobs = load.waiting_jobs().iter().zip(selected);
            let ahead = waiting_jobs
                .filter(|(waiting_job, selected)| {
                    selected.selection == Selection::OnTime && is_before(waiting_job, &least)
                })
                .map(|(waiting_job, _)| waiting_job.work);
            let mut needed = least.work;
            ahead.for_each(|work| needed.add(work));
            let needed = needed.times(SURE_PERCENT as f64 / 100.0);
            QueueForecast {
                queue: queue.to_owned(),
                objective_ms: least.objective.as_ms(),
                work: least.work,
                done_ms: load.earliest_completion(lasting, needed, LATEST).as_ms(),
            }
        });
        forecasts.collect()
    }

    /// Returns the least job of each queue that has jobs waiting.
    fn least_jobs(&self, load: &ServiceLoad<JobId>) -> BTreeMap<&str, LeastJob> {
        let mut least: BTreeMap<&str, LeastJob> = BTreeMap::new();
        for waiting_job in load.waiting_jobs() {
            let Some(job) = self.jobs.get(&waiting_job.key) else {
                continue;
            };
            let own = LeastJob {
                priority: job.rank.0,
                objective: job.objective,
                work: waiting_job.work,
            };
            let entry = least.entry(&job.record.queue).or_insert(own);
            entry.objective = entry.objective.min(own.objective);
            entry.work = entry.work.min(own.work);
        }
        least
    }

    fn sure_runs(&self, now: Instant, service: &Arc<str>) -> Vec<OccupyingRun> {
        let workers = self.workers.values();
        let workers = workers.filter(|it| it.facts.service == *service && it.is_placeable(now));
        let runs = workers.flat_map(|worker| &worker.runs);
        let lasting = runs.filter_map(|(task, run)| self.sure_run(now, *task, run));
        let mut lasting: Vec<OccupyingRun> = lasting.collect();
        lasting.sort_unstable_by_key(|run| run.left);
        lasting
    }

    /// Returns for how long a run surely takes room yet, if at all.
    fn sure_run(&self, now: Instant, task: TaskKey, run: &Run) -> Option<OccupyingRun> {
        if !matches!(run.phase, RunPhase::Running { .. }) {
            return None;
        }
        let job = self.jobs.get(&task.step.job)?;
        let spec = job.record.spec.steps.get(task.step.step as usize)?;
        let left = if spec.is_perpetual {
            LATEST
        } else {
            let length_ms = self.expected_task_duration(&job.record.queue, spec).as_ms();
            let by_progress_ms = self.remaining_time(task, run)?.as_ms() * SURE_PERCENT / 100;
            let sure_ms = length_ms * SURE_PERCENT / 100;
            let by_age_ms = sure_ms.saturating_sub(now.since(run.placed_at).as_ms());
            Duration::from_ms(by_progress_ms.min(by_age_ms))
        };
        Some(OccupyingRun {
            priority: job.rank.0,
            rate: ResourceVector::of(&run.demand),
            left,
        })
    }
}

/// Returns whether a waiting job surely comes before one that is handed in now: of jobs that
/// are as important the later may be chosen to be in time.
fn is_before(waiting_job: &WaitingJob<JobId>, least: &LeastJob) -> bool {
    let is_sooner = waiting_job
        .time_to_objective
        .is_some_and(|left| left < least.objective);
    waiting_job.priority < least.priority && is_sooner
}
