//! Interference between tasks: fillers are kept off workers on which a serving task runs.
//!
//! A filler uses resources that others leave unused, which increases the latency of a serving
//! task by an unpredictable amount.

use crate::event::Action;
use crate::job::{StepSpec, TaskKey};
use crate::scheduler::Scheduler;
use crate::worker::{RunPhase, Worker};
use ospreywing_types::Instant;

/// How a run interferes with others on its worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum RunRole {
    /// It neither interferes nor suffers from fillers.
    #[default]
    Plain,
    /// It has a latency target, which fillers may make it miss.
    Serving,
    /// It uses only resources that others leave unused.
    Filler,
}

impl RunRole {
    /// Returns the role of a step's runs.
    pub(crate) const fn of(spec: &StepSpec) -> Self {
        if spec.is_filler {
            Self::Filler
        } else if spec.target_ms > 0 {
            Self::Serving
        } else {
            Self::Plain
        }
    }
}

impl Scheduler {
    /// Stops fillers that run alongside serving tasks: a serving task may have started there
    /// since, or an earlier leader's stop may not have arrived.
    pub(crate) fn evict_fillers(&mut self, now: Instant, out: &mut Vec<Action>) {
        let shared = self.workers.values().filter(|worker| worker.is_shared());
        let fillers: Vec<TaskKey> = shared.flat_map(active_fillers).collect();
        for task in fillers {
            self.stop_task(now, task, "evicted for a serving task", out);
        }
    }
}

fn active_fillers(worker: &Worker) -> impl Iterator<Item = TaskKey> + '_ {
    let fillers = worker.runs.iter().filter(|(_, run)| {
        run.role == RunRole::Filler && !matches!(run.phase, RunPhase::Stopping { .. })
    });
    fillers.map(|(task, _)| *task)
}
