//! The invariants of a simulation, and its repair at the end of a scenario.

use super::simulation::{recovered_owner, Op, Simulation, StepError, DAEMONS_COUNT, WORKERS_COUNT};
use ospreywing_shard::{verify, Owner, TaskState};
use ospreywing_types::{Key, Resources, TaskId};
use std::collections::{BTreeMap, BTreeSet};

impl Simulation {
    /// Checks the invariants of the owners and of the simulation after a step.
    pub(super) fn check(&mut self) -> Result<(), StepError> {
        for (daemon, state) in self.daemons.iter().enumerate() {
            let Some(owner) = &state.owner else { continue };
            if let Err(errors) = verify(owner) {
                return Err(StepError(format!("daemon {daemon}: {}", errors[0])));
            }
        }
        if let Some(attempt) = self.stray_start.take() {
            return Err(StepError(format!(
                "{attempt}: started, but not current in the log"
            )));
        }
        self.check_granted()?;
        self.check_runs()?;
        self.check_capacity()?;
        self.check_unsafe()
    }

    /// Checks that each request key was granted to at most one claim.
    fn check_granted(&self) -> Result<(), StepError> {
        match self.granted.iter().find(|(_, nonces)| nonces.len() > 1) {
            Some((key, nonces)) => Err(StepError(format!("{key}: granted to {nonces:?}"))),
            None => Ok(()),
        }
    }

    fn check_runs(&self) -> Result<(), StepError> {
        let mut worker_of_task: BTreeMap<TaskId, usize> = BTreeMap::new();
        for (worker, state) in self.workers.iter().enumerate() {
            for running in state.live(self.now) {
                let task = running.attempt.task;
                if let Some(other) = worker_of_task.insert(task, worker) {
                    return Err(StepError(format!(
                        "{task}: runs on worker {other} and on worker {worker}"
                    )));
                }
            }
        }
        Ok(())
    }

    fn check_capacity(&self) -> Result<(), StepError> {
        for (worker, state) in self.workers.iter().enumerate() {
            let demands = state.live(self.now).map(|running| running.resources);
            let used = demands.fold(Resources::ZERO, |sum, demand| sum + demand);
            if !used.fits_in(&state.capacity) {
                return Err(StepError(format!(
                    "worker {worker}: usage {used} exceeds capacity"
                )));
            }
        }
        Ok(())
    }

    fn check_unsafe(&self) -> Result<(), StepError> {
        let mut started: BTreeMap<TaskId, u32> = BTreeMap::new();
        for state in &self.workers {
            for attempt in &state.started {
                *started.entry(attempt.task).or_default() += 1;
            }
        }
        // The uncommitted state of a fenced owner has no effect.
        let owners = self.daemons.iter().filter_map(|d| d.owner.as_ref());
        for owner in owners.filter(|owner| owner.config().epoch == self.store.epoch) {
            for (_, data) in owner.state().live_tasks() {
                let is_unsafe = self.unsafe_keys.contains(&data.image.key);
                let count = started.get(&data.image.id).copied().unwrap_or(0);
                // The limit holds for failed runs too.
                if is_unsafe && count > 1 {
                    let id = data.image.id;
                    return Err(StepError(format!(
                        "{id}: unsafe to repeat, but started {count} times"
                    )));
                }
            }
        }
        Ok(())
    }

    /// Checks that no rejected task is recorded: a rejection means that the task
    /// won't run.
    fn check_rejected(&self, recovered_owner: &Owner) -> Result<(), StepError> {
        let waiting_keys: BTreeSet<&Key> = self.tokens.values().collect();
        let mut rejected = self.last_replies.iter().filter(|(key, &outcome)| {
            let is_settled = !self.unconfirmed_keys.contains(key) && !self.accepted.contains(key);
            outcome == "refused" && is_settled && !waiting_keys.contains(key)
        });
        match rejected.find(|(key, _)| recovered_owner.state().by_key(key).is_some()) {
            Some((key, _)) => Err(StepError(format!("{key}: rejected, but recorded"))),
            None => Ok(()),
        }
    }

    /// Checks that the log holds every accepted task with its end.
    fn check_accepted(&mut self) -> Result<(), StepError> {
        let recovered_owner = recovered_owner(&self.store);
        self.check_rejected(&recovered_owner)?;
        self.tally.requeues_count += self
            .daemons
            .iter()
            .filter_map(|d| d.owner.as_ref())
            .map(|owner| owner.counts().requeued_count)
            .sum::<u64>();
        for key in &self.accepted {
            let Some(task) = recovered_owner.state().by_key(key) else {
                return Err(StepError(format!("{key}: accepted, but not recorded")));
            };
            let state = &recovered_owner.state().tasks[task].image.state;
            if !matches!(state, TaskState::Ended { .. }) {
                return Err(StepError(format!("{key}: has no recorded end")));
            }
        }
        Ok(())
    }

    /// Repairs every fault and runs the simulation until all tasks have ended.
    pub fn heal(&mut self) -> Result<(), StepError> {
        for worker in 0..WORKERS_COUNT {
            self.step(&Op::Thaw { worker })?;
        }
        self.step(&Op::Relist)?;
        for daemon in 0..DAEMONS_COUNT {
            self.step(&Op::Resume { daemon })?;
            let is_on = false;
            self.step(&Op::Lag { daemon, is_on })?;
        }
        for round in 0..400 {
            self.heal_round()?;
            if round > 3 && self.is_done() {
                return self.check_accepted();
            }
        }
        let owner = self.daemons.iter().find_map(|d| d.owner.as_ref());
        let stuck = owner.and_then(|owner| {
            let mut tasks = owner.state().live_tasks();
            let task = tasks.find(|(_, data)| !data.is_ended())?;
            Some(format!("{}: {:?}", task.1.image.id, task.1.image.state))
        });
        Err(StepError(format!("a task did not end: {stuck:?}")))
    }

    fn heal_round(&mut self) -> Result<(), StepError> {
        for daemon in 0..DAEMONS_COUNT {
            self.step(&Op::Poll { daemon })?;
            self.step(&Op::Commit { daemon })?;
            for _ in 0..self.daemons[daemon].held.len() {
                self.step(&Op::Send { daemon, index: 0 })?;
            }
        }
        for _ in 0..self.buffers.len() {
            self.step(&Op::Arrive { index: 0 })?;
        }
        for _ in 0..self.worker_messages.len() {
            self.step(&Op::Answer { index: 0 })?;
        }
        let owner = self.running_owners().first().copied();
        match owner {
            Some(daemon) if self.store.owner == Some(daemon) => {
                self.step(&Op::AskClosed { daemon })?;
                for worker in 0..WORKERS_COUNT {
                    self.step(&Op::Connect { daemon, worker })?;
                    let index = 0;
                    let is_good = true;
                    self.step(&Op::Finish {
                        worker,
                        index,
                        is_good,
                    })?;
                }
            }
            _ => self.step(&Op::Claim { daemon: 0 })?,
        }
        self.step(&Op::Pass { ms: 1700 })
    }

    fn is_done(&self) -> bool {
        let Some(daemon) = self.running_owners().first().copied() else {
            return self.keys.is_empty();
        };
        let Some(owner) = &self.daemons[daemon].owner else {
            return false;
        };
        let is_committed = self.daemons[daemon].commit.is_none() && !owner.needs_commit();
        let is_owner = self.store.owner == Some(daemon) && is_committed;
        let mut tasks = owner.state().live_tasks();
        is_owner && tasks.all(|(_, data)| data.is_ended())
    }
}
