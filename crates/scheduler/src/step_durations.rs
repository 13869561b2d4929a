//! What the tasks of one step take: they are about alike, so those that are done sample_speeds of the
//! others, and each tells of the machine that did it.

use ospreywing_types::Duration;
use std::sync::Arc;

/// The tasks that are recent of a step; of a larger one the last.
const RECENT_TASKS_COUNT: usize = 32;
/// The tasks that must be done before they sample_speeds of the others.
const MIN_TASKS_COUNT: usize = 3;

/// A task that is done.
#[derive(Clone, Debug)]
pub(crate) struct FinishedTask {
    pub(crate) machine: Arc<str>,
    /// The service that the machine belongs to.
    pub(crate) service: Arc<str>,
    pub(crate) duration: Duration,
    /// The same on a worker of usual speed.
    pub(crate) typical_duration: Duration,
}

/// How fast a machine did a task, beside the others of its step.
#[derive(Clone, Debug)]
pub(crate) struct SpeedSample {
    pub(crate) machine: Arc<str>,
    pub(crate) speed: f64,
}

/// What the tasks of a step take.
#[derive(Clone, Debug)]
pub(crate) struct StepDurations {
    tasks_count: usize,
    done_count: usize,
    recent: Vec<FinishedTask>,
    /// How many of those that are recent have told of their machines.
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

    /// Takes in a task that is done; returns what is now known of machines.
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

    /// Returns what the step's tasks take on a worker of usual speed, where some are done.
    pub(crate) fn likely(&self) -> Option<Duration> {
        let is_known = self.recent.len() >= MIN_TASKS_COUNT;
        is_known.then_some(Duration::from_ms(self.median_ms))
    }

    /// Returns whether the task that was taken in last was the first that made the duration
    /// known, or made it known for good.
    pub(crate) const fn should_update_estimates(&self) -> bool {
        self.done_count == MIN_TASKS_COUNT || self.done_count == self.half_count()
    }

    /// Takes in that no further task will be done; returns what is now known of machines.
    pub(crate) fn finish(&mut self) -> Vec<SpeedSample> {
        // Some tasks may have been done in ways that sample_speeds nothing.
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

    /// Returns the tasks that have not told of their machines.
    pub(crate) fn unsampled(&self) -> &[FinishedTask] {
        &self.recent[self.sampled_count..]
    }

    /// Returns the median of those that are done, of however few.
    pub(crate) fn median(&self) -> Option<Duration> {
        (!self.recent.is_empty()).then_some(Duration::from_ms(self.median_ms))
    }

    const fn half_count(&self) -> usize {
        self.tasks_count / 2 + 1
    }

    /// Returns whether the median of those that are done is that of all. The first that are
    /// done are the fastest, and beside these alone every machine would seem slow.
    const fn is_median_representative(&self) -> bool {
        let is_half_done = self.done_count >= self.half_count();
        self.recent.len() >= MIN_TASKS_COUNT
            && (is_half_done || self.done_count >= RECENT_TASKS_COUNT)
    }

    fn compute_median_ms(&self) -> u64 {
        let durations = self.recent.iter().map(|task| task.typical_duration.as_ms());
        let mut durations: Vec<u64> = durations.collect();
        // Tasks that are not done yet are longer, as far as they began together.
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
