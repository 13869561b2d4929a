//! Tasks that disturb one another: fillers are kept off workers on which a task
//! serves users of its own.
//!
//! A filler takes what others leave unused, and by that slows the answers of a
//! serving task, by an amount that nobody can tell beforehand.

use crate::event::Action;
use crate::job::{StepSpec, TaskKey};
use crate::scheduler::Scheduler;
use crate::worker::{RunPhase, Worker};
use ospreywing_types::Instant;

/// What a run does to its neighbours, or suffers from them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum RunRole {
    /// Neither.
    #[default]
    Plain,
    /// Its answers have a target that fillers may break.
    Serving,
    /// It takes what others leave unused.
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
    /// Stops fillers that run beside serving tasks, whether a serving task has
    /// come or an earlier leader's stop did not arrive.
    pub(crate) fn evict_fillers(&mut self, now: Instant, out: &mut Vec<Action>) {
        let shared = self.workers.values().filter(|worker| worker.is_shared());
        let fillers: Vec<TaskKey> = shared.flat_map(working_fillers).collect();
        for task in fillers {
            self.stop_task(now, task, "evicted for a serving task", out);
        }
    }
}

fn working_fillers(worker: &Worker) -> impl Iterator<Item = TaskKey> + '_ {
    let fillers = worker.runs.iter().filter(|(_, run)| {
        run.role == RunRole::Filler && !matches!(run.phase, RunPhase::Stopping { .. })
    });
    fillers.map(|(task, _)| *task)
}
