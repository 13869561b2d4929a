//! The queue of one workload's waiting tasks.

use crate::entity::Task;
use ospreywing_types::{Instant, TaskId};
use std::collections::BTreeMap;

/// A waiting task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Waiting {
    /// The task.
    pub(crate) task: Task,
    /// When it began to wait.
    pub(crate) since: Instant,
}

/// Waiting tasks in the order of submission.
///
/// A task that is requeued after its worker was lost keeps its position.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    tasks: BTreeMap<TaskId, Waiting>,
}

impl Queue {
    /// Adds a task.
    pub(crate) fn push(&mut self, id: TaskId, task: Task, since: Instant) {
        self.tasks.insert(id, Waiting { task, since });
    }

    /// Removes a task and returns whether it was there.
    pub(crate) fn remove(&mut self, id: TaskId) -> bool {
        self.tasks.remove(&id).is_some()
    }

    /// Returns the first task.
    pub(crate) fn first(&self) -> Option<Waiting> {
        self.tasks.values().next().copied()
    }

    /// Iterates over the tasks in order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = Task> + '_ {
        self.tasks.values().map(|waiting| waiting.task)
    }
}
