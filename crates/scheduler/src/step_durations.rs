//! What the tasks of one step take: they are about alike, so those that are done tell of the
//! others, and each tells of the machine that did it.

use ospreywing_types::Duration;
use std::sync::Arc;

/// The tasks that are kept of a step; of a larger one the last.
const KEPT_COUNT: usize = 32;
/// The tasks that must be done before they tell of the others.
const LEAST_COUNT: usize = 3;

/// A task that is done.
#[derive(Clone, Debug)]
pub(crate) struct DoneTask {
    pub(crate) machine: Arc<str>,
    /// The service that the machine belongs to.
    pub(crate) service: Arc<str>,
    pub(crate) length: Duration,
    /// The same on a worker of usual speed.
    pub(crate) usual_length: Duration,
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
    kept: Vec<DoneTask>,
    /// How many of those that are kept have told of their machines.
    told_count: usize,
    median_ms: u64,
}

impl StepDurations {
    pub(crate) const fn new(tasks_count: usize) -> Self {
        Self {
            tasks_count,
            done_count: 0,
            kept: Vec::new(),
            told_count: 0,
            median_ms: 0,
        }
    }

    /// Takes in a task that is done; returns what is now known of machines.
    pub(crate) fn record(&mut self, task: DoneTask) -> Vec<SpeedSample> {
        if self.kept.len() == KEPT_COUNT {
            self.kept.remove(0);
            self.told_count = self.told_count.saturating_sub(1);
        }
        self.kept.push(task);
        self.done_count += 1;
        self.median_ms = self.work_out_median_ms();
        if self.is_median_known() {
            self.tell()
        } else {
            Vec::new()
        }
    }

    /// Returns what the step's tasks take on a worker of usual speed, where some are done.
    pub(crate) fn likely(&self) -> Option<Duration> {
        let is_known = self.kept.len() >= LEAST_COUNT;
        is_known.then_some(Duration::from_ms(self.median_ms))
    }

    /// Returns whether the task that was taken in last was the first that made the length
    /// known, or made it known for good.
    pub(crate) const fn has_news(&self) -> bool {
        self.done_count == LEAST_COUNT || self.done_count == self.half_count()
    }

    /// Takes in that no further task will be done; returns what is now known of machines.
    pub(crate) fn finish(&mut self) -> Vec<SpeedSample> {
        // Some tasks may have been done in ways that tell nothing.
        self.tasks_count = self.done_count;
        if self.kept.is_empty() {
            return Vec::new();
        }
        self.median_ms = self.work_out_median_ms();
        if self.is_median_known() {
            self.tell()
        } else {
            Vec::new()
        }
    }

    /// Returns the tasks that have not told of their machines.
    pub(crate) fn untold(&self) -> &[DoneTask] {
        &self.kept[self.told_count..]
    }

    /// Returns the median of those that are done, of however few.
    pub(crate) fn median(&self) -> Option<Duration> {
        (!self.kept.is_empty()).then_some(Duration::from_ms(self.median_ms))
    }

    const fn half_count(&self) -> usize {
        self.tasks_count / 2 + 1
    }

    /// Returns whether the median of those that are done is that of all. The first that are
    /// done are the fastest, and beside these alone every machine would seem slow.
    const fn is_median_known(&self) -> bool {
        let is_half_done = self.done_count >= self.half_count();
        self.kept.len() >= LEAST_COUNT && (is_half_done || self.done_count >= KEPT_COUNT)
    }

    fn work_out_median_ms(&self) -> u64 {
        let lengths = self.kept.iter().map(|task| task.usual_length.as_ms());
        let mut lengths: Vec<u64> = lengths.collect();
        // Tasks that are not done yet are longer, as far as they began together.
        let is_whole = self.tasks_count <= KEPT_COUNT;
        let of_count = if is_whole {
            self.tasks_count
        } else {
            lengths.len()
        };
        let middle = (of_count / 2).min(lengths.len() - 1);
        *lengths.select_nth_unstable(middle).1
    }

    fn tell(&mut self) -> Vec<SpeedSample> {
        let samples = self.untold().iter().map(|task| SpeedSample {
            machine: task.machine.clone(),
            speed: self.median_ms as f64 / task.length.as_ms().max(1) as f64,
        });
        let samples = samples.collect();
        self.told_count = self.kept.len();
        samples
    }
}
