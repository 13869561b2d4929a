//! How long tasks and runs should take.
//!
//! The nearest evidence counts: a run's own pace, then the tasks of its step that are done,
//! then what steps of its queue took, then the client's estimate.

use crate::durations::{LengthForecast, LengthKind};
use crate::job::{JobId, StepKey, StepSpec, TaskKey};
use crate::jobs::Job;
use crate::learning::scaled;
use crate::scheduler::Scheduler;
use crate::scheduling_order::{critical_path, MIN_DURATION_PERCENT};
use crate::state::RoundState;
use crate::worker::{Run, RunPhase, WorkerKey};
use ospreywing_types::{Duration, Instant};

/// How far tasks of one step lie from their median, in percent of it.
const STEP_SURE_PERCENT: u64 = 75;
const STEP_LATE_PERCENT: u64 = 130;
/// A run must have come so far since it began for its pace to tell when it ends.
const PACE_PERCENT: u32 = 5;
/// For how long before others' work is planned by it: progress is told in steps, and a run
/// may have been listed just after one.
const STEADY_TIME: Duration = Duration::from_ms(500);
/// The part of an estimate that a run surely needs, in percent, where nothing else is known:
/// a run that would have ended before its worker leaves is stopped for nothing.
const DEPARTURE_SURE_PERCENT: u64 = 70;

/// What a step's tasks take on a worker of usual speed, as far as that was learned.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LearnedLength {
    pub(crate) sure: Duration,
    pub(crate) likely: Duration,
    /// The time in which nine of ten are done.
    pub(crate) late: Duration,
}

impl From<LengthForecast> for LearnedLength {
    fn from(forecast: LengthForecast) -> Self {
        Self {
            sure: forecast.sure,
            likely: forecast.likely,
            late: forecast.late,
        }
    }
}

impl LengthKind {
    /// Returns the kind of a step.
    pub(crate) const fn of(spec: &StepSpec) -> Self {
        Self {
            is_gang: spec.is_gang,
            estimate: Duration::from_ms(spec.estimate_ms),
        }
    }
}

impl Scheduler {
    /// Returns how long a task of a queue's step should take on a worker of usual speed.
    pub(crate) fn task_length(&self, queue: &str, spec: &StepSpec) -> Duration {
        let estimate = Duration::from_ms(spec.estimate_ms);
        let learned = self.queue_length(queue, spec);
        learned.map_or(estimate, |length| length.likely)
    }

    fn queue_length(&self, queue: &str, spec: &StepSpec) -> Option<LearnedLength> {
        if !self.is_learning() || spec.is_perpetual {
            return None;
        }
        let learning = &self.learning;
        let kind = LengthKind::of(spec);
        let forecast = learning.durations.forecast(learning.now, queue, kind)?;
        Some(forecast.into())
    }

    /// Returns what was learned of the tasks of a step.
    pub(crate) fn step_length(
        &self,
        queue: &str,
        step: StepKey,
        spec: &StepSpec,
    ) -> Option<LearnedLength> {
        let pace = self.learning.paces.get(&step);
        if let Some(likely) = pace.and_then(|pace| pace.likely()) {
            let part = |percent| Duration::from_ms(likely.as_ms() * percent / 100);
            return Some(LearnedLength {
                sure: part(STEP_SURE_PERCENT),
                likely,
                late: part(STEP_LATE_PERCENT),
            });
        }
        self.queue_length(queue, spec)
    }

    /// Returns a worker's speed, as a factor on the usual one.
    pub(crate) fn speed_of(&self, worker: WorkerKey) -> f64 {
        self.workers[worker].speed.factor
    }

    /// Returns how long a run should still take; `None` where it does not end by itself.
    pub(crate) fn time_left(&self, task: TaskKey, run: &Run) -> Option<Duration> {
        let job = self.jobs.get(&task.step.job)?;
        let spec = job.record.spec.steps.get(task.step.step as usize)?;
        if matches!(run.phase, RunPhase::Stopping { .. }) {
            return Some(Duration::ZERO);
        }
        if spec.is_perpetual {
            return None;
        }
        if let Some(left) = run.left_by_steady_pace().filter(|_| self.is_learning()) {
            return Some(left);
        }
        let learned = self.step_length(&job.record.queue, task.step, spec);
        let estimate = Duration::from_ms(spec.estimate_ms);
        let length = learned.map_or(estimate, |length| length.likely);
        Some(run.left_of(self.on_worker_of(task, length)))
    }

    /// Returns when a run ends at the earliest: by its pace where that is known, otherwise by
    /// the least that is known of its step.
    pub(crate) fn expected_end(&self, task: TaskKey, spec: &StepSpec, run: &Run) -> Instant {
        let left = run.left_by_pace().unwrap_or_else(|| {
            let job = self.jobs.get(&task.step.job);
            let learned = job.and_then(|job| self.step_length(&job.record.queue, task.step, spec));
            match learned {
                Some(length) => run.left_of(self.on_worker_of(task, length.sure)),
                None => {
                    let left_percent = u64::from(run.left_percent());
                    let sure_ms = spec.estimate_ms * left_percent * DEPARTURE_SURE_PERCENT;
                    Duration::from_ms(sure_ms / (100 * 100))
                }
            }
        });
        run.listed_at + left
    }

    /// Returns how long a task takes on the worker that it was given to.
    fn on_worker_of(&self, task: TaskKey, length: Duration) -> Duration {
        match self.placements.get(&task) {
            Some(worker) if self.workers[*worker].speed.is_known() => {
                scaled(length, 1.0 / self.speed_of(*worker))
            }
            _ => length,
        }
    }

    /// Works out anew what is left of a job.
    pub(crate) fn note_left(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let rounds = job.state.rounds.iter();
        let left = rounds.map(|round| self.left_of_round(id, job, round));
        let (mut left_ms, mut sure_ms) = (0, 0);
        for round in left {
            left_ms = left_ms.max(round.left_ms);
            sure_ms = sure_ms.max(round.sure_ms);
        }
        let objective = self.learned_objective(id, job);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.left_ms = left_ms;
            job.sure_ms = sure_ms;
            job.objective = objective;
        }
    }

    /// Returns the time within which a job should be done: by what its steps that are done
    /// took, by what the others should take.
    fn learned_objective(&self, id: JobId, job: &Job) -> Duration {
        let record = &job.record;
        let length_ms = |number: usize| {
            let spec = &record.spec.steps[number];
            let step = StepKey {
                job: id,
                round: 0,
                step: number as u32,
            };
            let done = job.done_lengths.get(&step).copied();
            let likely = || Some(self.step_length(&record.queue, step, spec)?.likely);
            let known = done.filter(|_| self.is_learning()).or_else(likely);
            known.map_or(spec.estimate_ms, Duration::as_ms)
        };
        self.objective(record, length_ms)
    }

    fn left_of_round(&self, id: JobId, job: &Job, round: &RoundState) -> RoundLeft {
        let learned = |number: usize| {
            let step = StepKey {
                job: id,
                round: round.number,
                step: number as u32,
            };
            let spec = &job.record.spec.steps[number];
            self.step_length(&job.record.queue, step, spec)
        };
        let steps = &job.record.spec.steps;
        let learned: Vec<Option<LearnedLength>> = (0..steps.len()).map(learned).collect();
        let likely_ms = |number: usize| {
            let likely = learned[number].map(|length| length.likely.as_ms());
            likely.unwrap_or(steps[number].estimate_ms)
        };
        // In hundredths, so that parts of estimates are not rounded one by one.
        let sure = |number: usize| {
            let sure = learned[number].map(|length| length.sure.as_ms() * 100);
            sure.unwrap_or(steps[number].estimate_ms * MIN_DURATION_PERCENT)
        };
        RoundLeft {
            left_ms: critical_path(&job.record, Some(round), likely_ms),
            sure_ms: critical_path(&job.record, Some(round), sure) / 100,
        }
    }
}

/// What is left of a round's longest chain.
struct RoundLeft {
    left_ms: u64,
    sure_ms: u64,
}

impl Run {
    fn left_percent(&self) -> u32 {
        100_u32.saturating_sub(self.progress_percent)
    }

    /// Returns what is left of a length.
    fn left_of(&self, length: Duration) -> Duration {
        Duration::from_ms(length.as_ms() * u64::from(self.left_percent()) / 100)
    }

    /// Returns how long the run still takes by its own pace, where it has come far enough.
    pub(crate) fn left_by_pace(&self) -> Option<Duration> {
        let from = self.pace_from?;
        let came_percent = self.progress_percent.saturating_sub(from.percent);
        if came_percent < PACE_PERCENT {
            return None;
        }
        let spent_ms = self.listed_at.since(from.at).as_ms();
        let percent_ms = spent_ms / u64::from(came_percent);
        Some(Duration::from_ms(
            percent_ms * u64::from(self.left_percent()),
        ))
    }

    /// Returns the same where that pace has lasted.
    pub(crate) fn left_by_steady_pace(&self) -> Option<Duration> {
        let spent = self.listed_at.since(self.pace_from?.at);
        let is_steady = spent >= STEADY_TIME;
        self.left_by_pace().filter(|_| is_steady)
    }
}
