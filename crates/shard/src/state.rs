//! The durable state of a shard, the result of applying its log.

use crate::entity::Task;
use crate::record::{Record, TaskImage};
use cranelift_entity::PrimaryMap;
use ospreywing_types::{
    AttemptId, DaemonIdentity, Key, Name, Resources, TaskId, TaskPhase, TaskSpec,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// A recorded attempt that is not over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Started {
    /// The worker.
    pub worker: Name,
    /// The only incarnation of the worker that may receive the start.
    pub incarnation: u64,
    /// The epoch that recorded the start.
    pub epoch: u64,
    /// The attempt's number.
    pub number: u32,
    /// Whether the worker confirmed that it runs the attempt.
    pub is_confirmed: bool,
}

/// The recorded state of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Waiting to be placed on a worker.
    Waiting,
    /// A start is recorded and its attempt is not over.
    Started(Started),
    /// It will never run again.
    Ended {
        /// The phase in which it ended.
        phase: TaskPhase,
        /// The result, or the reason for a failure.
        result: Option<String>,
    },
}

/// A slot of the task table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskData {
    /// All that is recorded of the task.
    pub image: TaskImage,
    /// Whether the task was removed and the slot may be reused.
    pub is_vacant: bool,
}

impl TaskData {
    /// Returns the current attempt, if a start is recorded.
    pub const fn started(&self) -> Option<&Started> {
        match &self.image.state {
            TaskState::Started(started) => Some(started),
            TaskState::Waiting | TaskState::Ended { .. } => None,
        }
    }

    /// Returns whether the task waits to be placed.
    pub const fn is_waiting(&self) -> bool {
        matches!(self.image.state, TaskState::Waiting) && !self.is_vacant
    }

    /// Returns whether the task will never run again.
    pub const fn is_ended(&self) -> bool {
        matches!(self.image.state, TaskState::Ended { .. })
    }

    /// Returns what the task needs while it runs.
    pub fn resources(&self) -> Resources {
        let spec = self.image.spec.as_ref();
        spec.map_or(Resources::ZERO, |spec| spec.resources)
    }
}

/// A former ownership of the shard that may still have starts in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Epoch {
    /// The epoch.
    pub epoch: u64,
    /// The daemon process that owned the shard.
    pub owner: DaemonIdentity,
}

/// The durable state of a shard.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Every task slot, including vacant ones.
    pub tasks: PrimaryMap<Task, TaskData>,
    /// Epochs that are not closed, and their owners.
    pub open_epochs: BTreeMap<u64, DaemonIdentity>,
    /// Granted request keys, each with the nonce of the claim that got it.
    pub taken_keys: HashMap<Key, u64>,
    /// The next free task number.
    pub next_id: u64,
    by_id: HashMap<TaskId, Task>,
    by_key: HashMap<Key, Task>,
    vacant: Vec<Task>,
}

impl State {
    /// Creates the state of a shard with an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the task with the id `id`.
    pub fn by_id(&self, id: TaskId) -> Option<Task> {
        self.by_id.get(&id).copied()
    }

    /// Returns the task submitted under `key`.
    pub fn by_key(&self, key: &Key) -> Option<Task> {
        self.by_key.get(key).copied()
    }

    /// Iterates over the tasks that exist.
    pub fn live_tasks(&self) -> impl Iterator<Item = (Task, &TaskData)> {
        self.tasks.iter().filter(|(_, data)| !data.is_vacant)
    }

    /// Returns the number of tasks that exist.
    pub fn tasks_count(&self) -> usize {
        self.by_id.len()
    }

    /// Returns the id of the current attempt of `task` in `shard`, if it has one.
    pub fn attempt(&self, shard: u32, task: Task) -> Option<AttemptId> {
        let data = &self.tasks[task];
        data.started().map(|started| AttemptId {
            shard,
            task: data.image.id,
            number: started.number,
        })
    }

    /// Applies one record and returns the task it concerns, if it is known.
    pub fn apply(&mut self, record: &Record) -> Option<Task> {
        match record {
            Record::Open { epoch, owner } => {
                self.open_epochs.insert(*epoch, owner.clone());
                None
            }
            Record::Close { epoch } => {
                self.open_epochs.remove(epoch);
                None
            }
            Record::TakeKey { key, nonce } => {
                self.taken_keys.insert(key.clone(), *nonce);
                None
            }
            Record::ForgetKey { key } => {
                self.taken_keys.remove(key);
                None
            }
            Record::Submit { id, key, row, spec } => Some(self.put(new_image(*id, key, row, spec))),
            Record::Task(image) => Some(self.put(image.clone())),
            Record::Start { id, .. }
            | Record::Confirm { id, .. }
            | Record::Requeue { id, .. }
            | Record::Cancel { id }
            | Record::End { id, .. }
            | Record::Forget { id } => {
                let task = self.by_id(*id)?;
                self.apply_to(task, record);
                Some(task)
            }
        }
    }

    fn apply_to(&mut self, task: Task, record: &Record) {
        let image = &mut self.tasks[task].image;
        match record {
            Record::Start {
                number,
                worker,
                incarnation,
                epoch,
                ..
            } => {
                image.attempts_count = *number;
                image.state = TaskState::Started(Started {
                    worker: worker.clone(),
                    incarnation: *incarnation,
                    epoch: *epoch,
                    number: *number,
                    is_confirmed: false,
                });
            }
            Record::Confirm { number, .. } => {
                if let TaskState::Started(started) = &mut image.state {
                    started.is_confirmed |= started.number == *number;
                }
            }
            Record::Requeue { is_failure, .. } => {
                image.failures_count += u32::from(*is_failure);
                image.state = TaskState::Waiting;
            }
            Record::Cancel { .. } => image.is_cancelled = true,
            Record::End { phase, result, .. } => {
                image.spec = None;
                image.state = TaskState::Ended {
                    phase: *phase,
                    result: result.clone(),
                };
            }
            Record::Forget { .. } => self.vacate(task),
            _ => {}
        }
    }

    fn put(&mut self, image: TaskImage) -> Task {
        if let Some(task) = self.by_id(image.id) {
            self.tasks[task].image = image;
            return task;
        }
        self.next_id = self.next_id.max(image.id.0 + 1);
        let (id, key) = (image.id, image.key.clone());
        let data = TaskData {
            image,
            is_vacant: false,
        };
        let task = match self.vacant.pop() {
            Some(task) => {
                self.tasks[task] = data;
                task
            }
            None => self.tasks.push(data),
        };
        self.by_id.insert(id, task);
        self.by_key.insert(key, task);
        task
    }

    fn vacate(&mut self, task: Task) {
        let data = &mut self.tasks[task];
        data.is_vacant = true;
        self.by_id.remove(&data.image.id);
        self.by_key.remove(&data.image.key);
        self.vacant.push(task);
    }
}

fn new_image(id: TaskId, key: &Key, row: &Name, spec: &TaskSpec) -> TaskImage {
    TaskImage {
        id,
        key: key.clone(),
        row: row.clone(),
        spec: Some(spec.clone()),
        attempts_count: 0,
        failures_count: 0,
        is_cancelled: false,
        state: TaskState::Waiting,
    }
}
