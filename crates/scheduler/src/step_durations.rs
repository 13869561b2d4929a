//! Durations of the tasks of one step.
//!
//! The tasks of a step take about equally long, so the finished ones predict the others, and
//! each is a sample of its machine's speed.

use ospreywing_types::Duration;
use std::sync::Arc;

/// Maximum number of finished tasks that are kept per step, the most recent ones.
const RECENT_TASKS_COUNT: usize = 32;
/// Minimum number of finished tasks that predict the others.
const MIN_TASKS_COUNT: usize = 3;

/// A finished task.
#[derive(Clone, Debug)]
pub(crate) struct FinishedTask {
    pub(crate) machine: Arc<str>,
    /// The service that the machine belongs to.
    pub(crate) service: Arc<str>,
    pub(crate) duration: Duration,
    /// The duration on a worker of typical speed.
    pub(crate) typical_duration: Duration,
}

/// The speed of a machine in one task, relative to the median of its step.
#[derive(Clone, Debug)]
pub(crate) struct SpeedSample {
    pub(crate) machine: Arc<str>,
    pub(crate) speed: f64,
}

/// The durations of a step's finished tasks.
#[derive(Clone, Debug)]
pub(crate) struct StepDurations {
    tasks_count: usize,
    done_count: usize,
    recent: Vec<FinishedTask>,
    /// How many of the recent tasks have been used as speed samples.
    sampled_count: usize,
    median_ms: u64,
}

impl StepDurations {
    pub(crate) const fn new(tasks_count: usize) -> Self {
        Self {
            tasks_count,
            done_count: 0,
            recent: Vec::new(),
            sampled_count: 0,
            median_ms: 0,
        }
    }

    /// Records a finished task; returns the speed samples that this yields.
    pub(crate) fn record(&mut self, task: FinishedTask) -> Vec<SpeedSample> {
        if self.recent.len() == RECENT_TASKS_COUNT {
            self.recent.remove(0);
            self.sampled_count = self.sampled_count.saturating_sub(1);
        }
        self.recent.push(task);
        self.done_count += 1;
        self.median_ms = self.compute_median_ms();
        if self.is_median_representative() {
            self.sample_speeds()
        } else {
            Vec::new()
        }
    }

    /// Returns the expected duration of the step's tasks on a worker of typical speed; `None`
    /// while too few are finished.
    pub(crate) fn likely(&self) -> Option<Duration> {
        let is_known = self.recent.len() >= MIN_TASKS_COUNT;
        is_known.then_some(Duration::from_ms(self.median_ms))
    }

    /// Returns whether the last recorded task was the first that made the duration known, or
    /// the one that completed half of the step.
    pub(crate) const fn should_update_estimates(&self) -> bool {
        self.done_count == MIN_TASKS_COUNT || self.done_count == self.majority_count()
    }

    /// Records that no more tasks of the step will finish; returns the speed samples that
    /// this yields.
    pub(crate) fn finish(&mut self) -> Vec<SpeedSample> {
        // Some tasks may have finished without being recorded.
        self.tasks_count = self.done_count;
        if self.recent.is_empty() {
            return Vec::new();
        }
        self.median_ms = self.compute_median_ms();
        if self.is_median_representative() {
            self.sample_speeds()
        } else {
            Vec::new()
        }
    }

    /// Returns the recent tasks that haven't been used as speed samples.
    pub(crate) fn unsampled(&self) -> &[FinishedTask] {
        &self.recent[self.sampled_count..]
    }

    /// Returns the median duration of the recorded tasks, however few; `None` without any.
    pub(crate) fn median(&self) -> Option<Duration> {
        (!self.recent.is_empty()).then_some(Duration::from_ms(self.median_ms))
    }

    const fn majority_count(&self) -> usize {
        self.tasks_count / 2 + 1
    }

    /// Returns whether the median of the finished tasks is the median of all tasks. The first
    /// to finish are the fastest, and compared with these alone every machine would seem
    /// slow.
    const fn is_median_representative(&self) -> bool {
        let is_half_done = self.done_count >= self.majority_count();
        self.recent.len() >= MIN_TASKS_COUNT
            && (is_half_done || self.done_count >= RECENT_TASKS_COUNT)
    }

    fn compute_median_ms(&self) -> u64 {
        let durations = self.recent.iter().map(|task| task.typical_duration.as_ms());
        let mut durations: Vec<u64> = durations.collect();
        // Unfinished tasks take longer, if all started together.
        let are_all_recent = self.tasks_count <= RECENT_TASKS_COUNT;
        let median_of_count = if are_all_recent {
            self.tasks_count
        } else {
            durations.len()
        };
        let middle = (median_of_count / 2).min(durations.len() - 1);
        *durations.select_nth_unstable(middle).1
    }

    fn sample_speeds(&mut self) -> Vec<SpeedSample> {
        let samples = self.unsampled().iter().map(|task| SpeedSample {
            machine: task.machine.clone(),
            speed: self.median_ms as f64 / task.duration.as_ms().max(1) as f64,
        });
        let samples = samples.collect();
        self.sampled_count = self.recent.len();
        samples
    }
}
