//! When a job that is handed in now would be done at the best, by queue.
//!
//! A forecast is for those who refuse jobs, so it only counts what is sure: runs of work that
//! is at smallest as important and can't be over yet, and waiting jobs that are more important,
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
const SUSPENSION: Duration = Duration::from_s(5);
/// The part of an estimate that is surely needed, in percent: estimates may be two and a half
/// times too long.
const MIN_DURATION_PERCENT: u64 = 40;
/// The queues of a service that a forecast names, at most.
const QUEUES_LIMIT_COUNT: usize = 16;
/// The latest time that is told.
const MAX_COMPLETION: Duration = Duration::from_s(600);

/// The forecasts of the leader.
#[derive(Debug, Default)]
pub(crate) struct Forecasts {
    updated_at: Instant,
    /// Until when none is told.
    suspended_until: Instant,
    queues: Vec<QueueForecast>,
}

impl Forecasts {
    /// Creates those of a leader whose term begins.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            suspended_until: now + SUSPENSION,
            ..Self::default()
        }
    }

    /// Notes that nothing is sure for a while.
    pub(crate) fn suspend(&mut self, now: Instant) {
        self.suspended_until = now + SUSPENSION;
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
        now >= self.suspended_until && now >= self.updated_at + FORECAST_PERIOD
    }

    /// Takes in new ones.
    pub(crate) fn replace(&mut self, now: Instant, queues: Vec<QueueForecast>) {
        self.updated_at = now;
        self.queues = queues;
    }
}

/// The job of a queue that needs smallest, and when it would be worth nothing.
#[derive(Clone, Copy, Debug)]
struct SmallestJob {
    priority: u32,
    objective: Duration,
    work: ResourceVector,
}

impl Scheduler {
    /// Returns the forecast that other nodes may use, where there is one.
    pub fn forecast(&self, now: Instant) -> Option<Forecast> {
        let forecasts = &self.forecasts;
        (!forecasts.queues.is_empty()).then(|| Forecast {
            age_ms: now.since(forecasts.updated_at).as_ms(),
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
        let runs = self.blocking_runs(now, service);
        let smallest = self.smallest_jobs(load);
        let forecasts = smallest.into_iter().take(QUEUES_LIMIT_COUNT);
        let forecasts = forecasts.map(|(queue, smallest)| {
            // The runs of less important work may be stopped for it.
            let occupying = runs.iter().filter(|run| run.priority <= smallest.priority);
            let waiting_jobs = load.waiting_jobs().iter().zip(selected);
            let ahead = waiting_jobs
                .filter(|(waiting_job, selected)| {
                    selected.selection == Selection::OnTime && is_ahead_of(waiting_job, &smallest)
                })
                .map(|(waiting_job, _)| waiting_job.work);
            let mut needed = smallest.work;
            ahead.for_each(|work| needed.add(work));
            let needed = needed.times(MIN_DURATION_PERCENT as f64 / 100.0);
            QueueForecast {
                queue: queue.to_owned(),
                objective_ms: smallest.objective.as_ms(),
                work: smallest.work,
                done_ms: load
                    .earliest_completion(occupying, needed, MAX_COMPLETION)
                    .as_ms(),
            }
        });
        forecasts.collect()
    }

    /// Returns the smallest job of each queue that has jobs waiting.
    fn smallest_jobs(&self, load: &ServiceLoad<JobId>) -> BTreeMap<&str, SmallestJob> {
        let mut smallest: BTreeMap<&str, SmallestJob> = BTreeMap::new();
        for waiting_job in load.waiting_jobs() {
            let Some(job) = self.jobs.get(&waiting_job.key) else {
                continue;
            };
            let own = SmallestJob {
                priority: job.rank.0,
                objective: job.objective,
                work: waiting_job.work,
            };
            let entry = smallest.entry(&job.record.queue).or_insert(own);
            entry.objective = entry.objective.min(own.objective);
            entry.work = entry.work.min(own.work);
        }
        smallest
    }

    fn blocking_runs(&self, now: Instant, service: &Arc<str>) -> Vec<OccupyingRun> {
        let workers = self.workers.values();
        let workers = workers.filter(|it| it.facts.service == *service && it.is_placeable(now));
        let runs = workers.flat_map(|worker| &worker.runs);
        let occupying = runs.filter_map(|(task, run)| self.blocking_run(now, *task, run));
        let mut occupying: Vec<OccupyingRun> = occupying.collect();
        occupying.sort_unstable_by_key(|run| run.remaining);
        occupying
    }

    /// Returns for how long a run surely takes room yet, if at all.
    fn blocking_run(&self, now: Instant, task: TaskKey, run: &Run) -> Option<OccupyingRun> {
        if !matches!(run.phase, RunPhase::Running { .. }) {
            return None;
        }
        let job = self.jobs.get(&task.step.job)?;
        let spec = job.record.spec.steps.get(task.step.step as usize)?;
        let remaining = if spec.is_perpetual {
            MAX_COMPLETION
        } else {
            let length_ms = self.expected_task_duration(&job.record.queue, spec).as_ms();
            let by_progress_ms =
                self.remaining_time(task, run)?.as_ms() * MIN_DURATION_PERCENT / 100;
            let min_ms = length_ms * MIN_DURATION_PERCENT / 100;
            let by_age_ms = min_ms.saturating_sub(now.since(run.placed_at).as_ms());
            Duration::from_ms(by_progress_ms.min(by_age_ms))
        };
        Some(OccupyingRun {
            priority: job.rank.0,
            usage: ResourceVector::of(&run.demand),
            remaining,
        })
    }
}

/// Returns whether a waiting job surely comes before one that is handed in now: of jobs that
/// are as important the later may be chosen to be in time.
fn is_ahead_of(waiting_job: &WaitingJob<JobId>, smallest: &SmallestJob) -> bool {
    let is_sooner = waiting_job
        .time_to_objective
        .is_some_and(|remaining| remaining < smallest.objective);
    waiting_job.priority < smallest.priority && is_sooner
}
