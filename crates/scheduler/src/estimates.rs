//! Expected durations of tasks and remaining times of runs and jobs.
//!
//! The closest evidence is used: the progress of the run itself, then the finished tasks of
//! its step, then the finished steps of its queue, then the client's estimate.

use crate::durations::{DurationForecast, StepClass};
use crate::job::{JobId, StepKey, StepSpec, TaskKey};
use crate::jobs::Job;
use crate::learning::scaled;
use crate::scheduler::Scheduler;
use crate::scheduling_order::{critical_path, MIN_DURATION_PERCENT};
use crate::state::RoundState;
use crate::worker::{Run, RunPhase, WorkerKey};
use ospreywing_types::{Duration, Instant};

/// Bounds of the durations of a step's tasks, in percent of their median.
const STEP_SURE_PERCENT: u64 = 75;
const STEP_LATE_PERCENT: u64 = 130;
/// Minimum progress since the start for which a run's own progress predicts its end.
const MIN_PROGRESS_PERCENT: u32 = 5;
/// Minimum time for which a run must have made progress before other work is planned by it:
/// progress is reported in steps, and the run may have been listed just after one.
const MIN_PROGRESS_TIME: Duration = Duration::from_ms(500);
/// Percentage of an estimate that a run certainly needs, where nothing else is known. If this
/// were too high, runs would be stopped that would have ended before their worker's
/// departure.
const DEPARTURE_MIN_PERCENT: u64 = 70;

/// The learned duration of a step's tasks on a worker of typical speed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LearnedDuration {
    pub(crate) sure: Duration,
    pub(crate) likely: Duration,
    /// The 0.9 quantile.
    pub(crate) late: Duration,
}

impl From<DurationForecast> for LearnedDuration {
    fn from(forecast: DurationForecast) -> Self {
        Self {
            sure: forecast.sure,
            likely: forecast.likely,
            late: forecast.late,
        }
    }
}

impl StepClass {
    /// Returns the class of a step.
    pub(crate) const fn of(spec: &StepSpec) -> Self {
        Self {
            is_gang: spec.is_gang,
            estimate: Duration::from_ms(spec.estimate_ms),
        }
    }
}

impl Scheduler {
    /// Returns the expected duration of a step's task on a worker of typical speed.
    pub(crate) fn expected_task_duration(&self, queue: &str, spec: &StepSpec) -> Duration {
        let estimate = Duration::from_ms(spec.estimate_ms);
        let learned = self.learned_queue_duration(queue, spec);
        learned.map_or(estimate, |duration| duration.likely)
    }

    fn learned_queue_duration(&self, queue: &str, spec: &StepSpec) -> Option<LearnedDuration> {
        if !self.is_learning() || spec.is_perpetual {
            return None;
        }
        let learning = &self.learning;
        let kind = StepClass::of(spec);
        let forecast = learning.durations.forecast(learning.now, queue, kind)?;
        Some(forecast.into())
    }

    /// Returns the learned duration of a step's tasks: from the step itself if possible,
    /// otherwise from its queue.
    pub(crate) fn learned_task_duration(
        &self,
        queue: &str,
        step: StepKey,
        spec: &StepSpec,
    ) -> Option<LearnedDuration> {
        let step_durations = self.learning.step_durations.get(&step);
        if let Some(likely) = step_durations.and_then(|step_durations| step_durations.likely()) {
            let part = |percent| Duration::from_ms(likely.as_ms() * percent / 100);
            return Some(LearnedDuration {
                sure: part(STEP_SURE_PERCENT),
                likely,
                late: part(STEP_LATE_PERCENT),
            });
        }
        self.learned_queue_duration(queue, spec)
    }

    /// Returns a worker's speed as a factor of the typical one.
    pub(crate) fn speed_of(&self, worker: WorkerKey) -> f64 {
        self.workers[worker].speed.factor
    }

    /// Returns the expected remaining time of a run; `None` if it doesn't end by itself.
    pub(crate) fn remaining_time(&self, task: TaskKey, run: &Run) -> Option<Duration> {
        let job = self.jobs.get(&task.step.job)?;
        let spec = job.record.spec.steps.get(task.step.step as usize)?;
        if matches!(run.phase, RunPhase::Stopping { .. }) {
            return Some(Duration::ZERO);
        }
        if spec.is_perpetual {
            return None;
        }
        if let Some(remaining) = run
            .remaining_by_steady_progress()
            .filter(|_| self.is_learning())
        {
            return Some(remaining);
        }
        let learned = self.learned_task_duration(&job.record.queue, task.step, spec);
        let estimate = Duration::from_ms(spec.estimate_ms);
        let duration = learned.map_or(estimate, |duration| duration.likely);
        Some(run.remaining_of(self.scaled_to_worker(task, duration)))
    }

    /// Returns the earliest time at which a run ends: by its own progress if that is known,
    /// otherwise by the lower bound for its step.
    pub(crate) fn earliest_end(&self, task: TaskKey, spec: &StepSpec, run: &Run) -> Instant {
        let remaining = run.remaining_by_progress().unwrap_or_else(|| {
            let job = self.jobs.get(&task.step.job);
            let learned =
                job.and_then(|job| self.learned_task_duration(&job.record.queue, task.step, spec));
            match learned {
                Some(duration) => run.remaining_of(self.scaled_to_worker(task, duration.sure)),
                None => {
                    let remaining_percent = u64::from(run.remaining_percent());
                    let min_remaining_ms =
                        spec.estimate_ms * remaining_percent * DEPARTURE_MIN_PERCENT;
                    Duration::from_ms(min_remaining_ms / (100 * 100))
                }
            }
        });
        run.listed_at + remaining
    }

    /// Returns a duration as it is on the worker on which the task is placed.
    fn scaled_to_worker(&self, task: TaskKey, duration: Duration) -> Duration {
        match self.placements.get(&task) {
            Some(worker) if self.workers[*worker].speed.is_known() => {
                scaled(duration, 1.0 / self.speed_of(*worker))
            }
            _ => duration,
        }
    }

    /// Updates the remaining time and the objective of a job.
    pub(crate) fn update_remaining(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let rounds = job.state.rounds.iter();
        let remaining = rounds.map(|round| self.remaining_of_round(id, job, round));
        let (mut remaining_ms, mut min_remaining_ms) = (0, 0);
        for round in remaining {
            remaining_ms = remaining_ms.max(round.remaining_ms);
            min_remaining_ms = min_remaining_ms.max(round.min_remaining_ms);
        }
        let objective = self.learned_objective(id, job);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.remaining_ms = remaining_ms;
            job.min_remaining_ms = min_remaining_ms;
            job.objective = objective;
        }
    }

    /// Returns the time within which a job should complete: by the actual duration of its
    /// finished steps and the expected duration of the others.
    fn learned_objective(&self, id: JobId, job: &Job) -> Duration {
        let record = &job.record;
        let duration_ms = |number: usize| {
            let spec = &record.spec.steps[number];
            let step = StepKey {
                job: id,
                round: 0,
                step: number as u32,
            };
            let done = job.finished_step_durations.get(&step).copied();
            let likely = || {
                Some(
                    self.learned_task_duration(&record.queue, step, spec)?
                        .likely,
                )
            };
            let known = done.filter(|_| self.is_learning()).or_else(likely);
            known.map_or(spec.estimate_ms, Duration::as_ms)
        };
        self.objective(job, duration_ms)
    }

    fn remaining_of_round(&self, id: JobId, job: &Job, round: &RoundState) -> RoundRemaining {
        let learned = |number: usize| {
            let step = StepKey {
                job: id,
                round: round.number,
                step: number as u32,
            };
            let spec = &job.record.spec.steps[number];
            self.learned_task_duration(&job.record.queue, step, spec)
        };
        let steps = &job.record.spec.steps;
        let learned: Vec<Option<LearnedDuration>> = (0..steps.len()).map(learned).collect();
        let likely_ms = |number: usize| {
            let likely = learned[number].map(|duration| duration.likely.as_ms());
            likely.unwrap_or(steps[number].estimate_ms)
        };
        // In hundredths, so that the percentage isn't rounded for each step.
        let min_hundredths_ms = |number: usize| {
            let min_hundredths_ms = learned[number].map(|duration| duration.sure.as_ms() * 100);
            min_hundredths_ms.unwrap_or(steps[number].estimate_ms * MIN_DURATION_PERCENT)
        };
        RoundRemaining {
            remaining_ms: critical_path(&job.record, Some(round), likely_ms),
            min_remaining_ms: critical_path(&job.record, Some(round), min_hundredths_ms) / 100,
        }
    }
}

/// The remaining time of a round's critical path.
struct RoundRemaining {
    remaining_ms: u64,
    min_remaining_ms: u64,
}

impl Run {
    fn remaining_percent(&self) -> u32 {
        100_u32.saturating_sub(self.progress_percent)
    }

    /// Returns the remaining part of a duration.
    fn remaining_of(&self, duration: Duration) -> Duration {
        Duration::from_ms(duration.as_ms() * u64::from(self.remaining_percent()) / 100)
    }

    /// Returns the remaining time by the run's own progress, if it has made enough.
    pub(crate) fn remaining_by_progress(&self) -> Option<Duration> {
        let from = self.pace_from?;
        let done_percent = self.progress_percent.saturating_sub(from.percent);
        if done_percent < MIN_PROGRESS_PERCENT {
            return None;
        }
        let elapsed_ms = self.listed_at.since(from.at).as_ms();
        let percent_ms = elapsed_ms / u64::from(done_percent);
        Some(Duration::from_ms(
            percent_ms * u64::from(self.remaining_percent()),
        ))
    }

    /// Returns the same, if the run has made progress for long enough.
    pub(crate) fn remaining_by_steady_progress(&self) -> Option<Duration> {
        let elapsed = self.listed_at.since(self.pace_from?.at);
        let is_steady = elapsed >= MIN_PROGRESS_TIME;
        self.remaining_by_progress().filter(|_| is_steady)
    }
}
