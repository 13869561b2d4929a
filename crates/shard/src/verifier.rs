//! Checks the invariants of an owner's data; each error names the entity at
//! fault.

use crate::entity::{Task, Team, Worker, Workload};
use crate::owner::Owner;
use crate::presence::Presence;
use crate::workload::Usage;
use cranelift_entity::SecondaryMap;
use ospreywing_types::Resources;
use std::collections::BTreeSet;
use thiserror::Error;

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum VerifierError {
    /// A worker's recorded starts need more than its capacity.
    #[error("{worker}: usage {used} exceeds capacity {capacity}")]
    Overcommitted {
        /// The worker.
        worker: Worker,
        /// What its recorded starts need.
        used: Resources,
        /// The worker's capacity.
        capacity: Resources,
    },
    /// A worker's usage differs from the sum of its tasks.
    #[error("{worker}: usage is {used}, but its tasks need {sum}")]
    WorkerSum {
        /// The worker.
        worker: Worker,
        /// The usage that is kept for the worker.
        used: Resources,
        /// The sum of its tasks.
        sum: Resources,
    },
    /// A workload's usage differs from the sum of its tasks.
    #[error("{workload}: usage differs from the sum of its tasks")]
    WorkloadSum {
        /// The workload.
        workload: Workload,
    },
    /// A team's usage differs from the sum of its workloads.
    #[error("{team}: usage differs from the sum of its workloads")]
    TeamSum {
        /// The team.
        team: Team,
    },
    /// A waiting task is not queued exactly once, or another task is queued.
    #[error("{task}: is_waiting is {is_waiting}, but it is queued {queued_count} times")]
    Queued {
        /// The task.
        task: Task,
        /// Whether it waits.
        is_waiting: bool,
        /// How often it is queued.
        queued_count: usize,
    },
    /// A started task is not among its worker's tasks, or another task is.
    #[error("{task}: the tasks of workers don't match its recorded start")]
    Misplaced {
        /// The task.
        task: Task,
    },
    /// The presence of a start contradicts the state.
    #[error("{task}: presence {presence:?} contradicts the state")]
    Presence {
        /// The task.
        task: Task,
        /// The presence.
        presence: Presence,
    },
    /// The state's maps don't contain the task.
    #[error("{task}: not found by its id or key")]
    Unreachable {
        /// The task.
        task: Task,
    },
}

/// Checks every invariant.
///
/// # Errors
///
/// Returns every violated invariant.
pub fn verify(owner: &Owner) -> Result<(), Vec<VerifierError>> {
    let mut errors = Vec::new();
    verify_workers(owner, &mut errors);
    verify_tasks(owner, &mut errors);
    verify_workloads(owner, &mut errors);
    if errors.is_empty() {
        Ok(())
    } else {
        Err(errors)
    }
}

fn verify_workers(owner: &Owner, errors: &mut Vec<VerifierError>) {
    for (worker, data) in owner.workers.iter() {
        let demands = data.tasks.iter();
        let sum = demands
            .map(|&task| owner.state.tasks[task].resources())
            .fold(Resources::ZERO, |sum, demand| sum + demand);
        if sum != data.used {
            let used = data.used;
            errors.push(VerifierError::WorkerSum { worker, used, sum });
        }
        // A worker that no box list has named yet has an unknown capacity.
        let is_known = !data.capacity.is_zero();
        if is_known && !data.used.fits_in(&data.capacity) {
            errors.push(VerifierError::Overcommitted {
                worker,
                used: data.used,
                capacity: data.capacity,
            });
        }
    }
}

fn verify_tasks(owner: &Owner, errors: &mut Vec<VerifierError>) {
    let mut queued_count: SecondaryMap<Task, usize> = SecondaryMap::new();
    for (_, data) in owner.workloads.iter() {
        for task in data.queue.iter() {
            queued_count[task] += 1;
        }
    }
    let mut placed = BTreeSet::new();
    for (worker, data) in owner.workers.iter() {
        placed.extend(data.tasks.iter().map(|&task| (task, worker)));
    }
    for (task, data) in owner.state.tasks.iter() {
        let is_waiting = data.is_waiting();
        if queued_count[task] != usize::from(is_waiting) {
            errors.push(VerifierError::Queued {
                task,
                is_waiting,
                queued_count: queued_count[task],
            });
        }
        if data.is_vacant {
            continue;
        }
        verify_start(owner, task, &mut placed, errors);
        let by_id = owner.state.by_id(data.image.id);
        let by_key = owner.state.by_key(&data.image.key);
        if by_id != Some(task) || by_key != Some(task) {
            errors.push(VerifierError::Unreachable { task });
        }
    }
    for (task, _) in placed {
        errors.push(VerifierError::Misplaced { task });
    }
}

fn verify_start(
    owner: &Owner,
    task: Task,
    placed: &mut BTreeSet<(Task, Worker)>,
    errors: &mut Vec<VerifierError>,
) {
    let started = owner.state.tasks[task].started();
    let presence = owner.presence[task];
    if let Some(started) = started {
        let worker = owner.workers.by_name(&started.worker);
        let is_placed = worker.is_some_and(|worker| placed.remove(&(task, worker)));
        if !is_placed {
            errors.push(VerifierError::Misplaced { task });
        }
    }
    let is_own = started.is_some_and(|started| started.epoch == owner.config.epoch);
    let is_sound = match presence {
        Presence::None => started.is_none(),
        Presence::Recording | Presence::Sent => is_own,
        Presence::Confirmed { .. } | Presence::Unconfirmed { .. } => started.is_some(),
    };
    if !is_sound {
        errors.push(VerifierError::Presence { task, presence });
    }
}

fn verify_workloads(owner: &Owner, errors: &mut Vec<VerifierError>) {
    let mut sums: SecondaryMap<Workload, Usage> = SecondaryMap::new();
    for (task, data) in owner.state.live_tasks() {
        if data.started().is_some() {
            let sum = &mut sums[owner.workload_of(task)];
            sum.resources += data.resources();
            sum.running_count += 1;
        }
    }
    let mut team_sums: SecondaryMap<Team, Usage> = SecondaryMap::new();
    for (workload, data) in owner.workloads.iter() {
        if sums[workload] != data.usage {
            errors.push(VerifierError::WorkloadSum { workload });
        }
        if let Some(team) = data.team {
            team_sums[team].resources += data.usage.resources;
            team_sums[team].running_count += data.usage.running_count;
        }
    }
    for (team, data) in owner.workloads.teams() {
        if team_sums[team] != data.usage {
            errors.push(VerifierError::TeamSum { team });
        }
    }
}
