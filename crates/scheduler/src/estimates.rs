//! How long tasks and runs should take.

use crate::job::{StepSpec, TaskKey};
use crate::scheduler::Scheduler;
use crate::worker::{Run, RunPhase, WorkerKey};
use ospreywing_types::Duration;

/// The speed of a worker of which nothing else is known; one of 0.5 takes twice as long.
#[allow(dead_code)]
pub(crate) const USUAL_SPEED: f64 = 1.0;

impl Scheduler {
    /// Returns how long a task of a queue's step should take on a worker of usual speed.
    pub(crate) fn task_length(&self, _queue: &str, spec: &StepSpec) -> Duration {
        Duration::from_ms(spec.estimate_ms)
    }

    /// Returns a worker's speed, as a factor on the usual one.
    #[allow(dead_code)]
    pub(crate) fn speed_of(&self, _worker: WorkerKey) -> f64 {
        USUAL_SPEED
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
        let length = self.task_length(&job.record.queue, spec);
        let left_percent = u64::from(100 - run.progress_percent.min(100));
        Some(Duration::from_ms(length.as_ms() * left_percent / 100))
    }
}
