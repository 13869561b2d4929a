//! Forecasts of the earliest completion of a job that is submitted now, by queue.
//!
//! Nodes reject jobs by a forecast, so it counts only work that certainly delays the job:
//! runs of queues that are at least as important and that can't have ended yet, and waiting
//! jobs that are more important, have an earlier deadline and are selected to be on time. Of
//! each estimate only the part is counted that is certainly needed.

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

/// Interval between forecasts: each one goes over all runs of the overloaded services.
const FORECAST_PERIOD: Duration = Duration::from_ms(250);
/// A new leader makes no forecast for this long, since it doesn't know all runs yet. The same
/// holds after the store was degraded, since the store may then contain jobs that no node
/// knows of.
const SUSPENSION: Duration = Duration::from_s(5);
/// Percentage of an estimate that a task certainly needs: estimates may be 2.5 times too
/// long.
const MIN_DURATION_PERCENT: u64 = 40;
/// Maximum number of queues per service in a forecast.
const QUEUES_LIMIT_COUNT: usize = 16;
/// Upper bound of a forecast completion.
const MAX_COMPLETION: Duration = Duration::from_s(600);

/// The leader's current forecasts.
#[derive(Debug, Default)]
pub(crate) struct Forecasts {
    updated_at: Instant,
    /// No forecast is made before this.
    suspended_until: Instant,
    queues: Vec<QueueForecast>,
}

impl Forecasts {
    /// Creates the forecasts of a leader whose term begins at `now`.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            suspended_until: now + SUSPENSION,
            ..Self::default()
        }
    }

    /// Drops all forecasts and makes none for [`SUSPENSION`].
    pub(crate) fn suspend(&mut self, now: Instant) {
        self.suspended_until = now + SUSPENSION;
        self.queues.clear();
    }

    /// Drops all forecasts.
    pub(crate) fn clear(&mut self) {
        self.queues.clear();
    }

    /// Returns the number of queues that have a forecast.
    pub(crate) const fn len(&self) -> usize {
        self.queues.len()
    }

    /// Returns whether new forecasts are due.
    pub(crate) fn are_due(&self, now: Instant) -> bool {
        now >= self.suspended_until && now >= self.updated_at + FORECAST_PERIOD
    }

    /// Replaces all forecasts.
    pub(crate) fn replace(&mut self, now: Instant, queues: Vec<QueueForecast>) {
        self.updated_at = now;
        self.queues = queues;
    }
}

/// The component-wise smallest work and the shortest objective of a queue's waiting jobs.
#[derive(Clone, Copy, Debug)]
struct SmallestJob {
    priority: u32,
    objective: Duration,
    work: ResourceVector,
}

impl Scheduler {
    /// Returns the forecast for other nodes, if there is one.
    pub fn forecast(&self, now: Instant) -> Option<Forecast> {
        let forecasts = &self.forecasts;
        (!forecasts.queues.is_empty()).then(|| Forecast {
            age_ms: now.since(forecasts.updated_at).as_ms(),
            queues: forecasts.queues.clone(),
        })
    }

    /// Returns the earliest completion of another job in each queue of an overloaded service
    /// that has waiting jobs.
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
            // Runs of less important queues may be preempted for the job.
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

    /// Returns the smallest job of each queue that has waiting jobs.
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

    /// Returns for how long a run certainly occupies capacity; `None` if it may not be running.
    fn blocking_run(&self, now: Instant, task: TaskKey, run: &Run) -> Option<OccupyingRun> {
        if !matches!(run.phase, RunPhase::Running { .. }) {
            return None;
        }
        let job = self.jobs.get(&task.step.job)?;
        let spec = job.record.spec.steps.get(task.step.step as usize)?;
        let remaining = if spec.is_perpetual {
            MAX_COMPLETION
        } else {
            let duration_ms = self.expected_task_duration(&job.record.queue, spec).as_ms();
            let by_progress_ms =
                self.remaining_time(task, run)?.as_ms() * MIN_DURATION_PERCENT / 100;
            let min_ms = duration_ms * MIN_DURATION_PERCENT / 100;
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

/// Returns whether a waiting job is certainly served before one that is submitted now. Of
/// jobs with the same priority the later one may be selected to be on time, so only more
/// important ones count.
fn is_ahead_of(waiting_job: &WaitingJob<JobId>, smallest: &SmallestJob) -> bool {
    let is_sooner = waiting_job
        .time_to_objective
        .is_some_and(|remaining| remaining < smallest.objective);
    waiting_job.priority < smallest.priority && is_sooner
}
