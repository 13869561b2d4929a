//! What must always hold in a world, and the way back to health.

use super::world::{reader, Op, StepError, World, DAEMONS_COUNT, WORKERS_COUNT};
use ospreywing_shard::{verify, Owner, Position};
use ospreywing_types::{Key, Resources, TaskId};
use std::collections::{BTreeMap, BTreeSet};

impl World {
    /// Checks what must always hold, in the owners and in the world.
    pub(super) fn check(&mut self) -> Result<(), StepError> {
        for (daemon, state) in self.daemons.iter().enumerate() {
            let Some(owner) = &state.owner else { continue };
            if let Err(errors) = verify(owner) {
                return Err(StepError(format!("daemon {daemon}: {}", errors[0])));
            }
        }
        if let Some(attempt) = self.off_log.take() {
            return Err(StepError(format!(
                "{attempt}: began while the log was past it"
            )));
        }
        self.check_granted()?;
        self.check_runs()?;
        self.check_capacity()?;
        self.check_unsafe()
    }

    /// The one run of a request is granted to one claim.
    fn check_granted(&self) -> Result<(), StepError> {
        match self.granted.iter().find(|(_, nonces)| nonces.len() > 1) {
            Some((key, nonces)) => Err(StepError(format!("{key}: granted to {nonces:?}"))),
            None => Ok(()),
        }
    }

    fn check_runs(&self) -> Result<(), StepError> {
        let mut places: BTreeMap<TaskId, usize> = BTreeMap::new();
        for (worker, state) in self.workers.iter().enumerate() {
            for running in state.live(self.now) {
                let task = running.attempt.task;
                if let Some(other) = places.insert(task, worker) {
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
            let needs = state.live(self.now).map(|running| running.resources);
            let used = needs.fold(Resources::ZERO, |sum, need| sum + need);
            if !used.fits_in(&state.capacity) {
                return Err(StepError(format!("worker {worker}: runs {used}")));
            }
        }
        Ok(())
    }

    fn check_unsafe(&self) -> Result<(), StepError> {
        let mut begun: BTreeMap<TaskId, u32> = BTreeMap::new();
        for state in &self.workers {
            for attempt in &state.begun {
                *begun.entry(attempt.task).or_default() += 1;
            }
        }
        // What a fenced owner has not committed is nothing.
        let owners = self.daemons.iter().filter_map(|d| d.owner.as_ref());
        for owner in owners.filter(|owner| owner.config().epoch == self.store.epoch) {
            for (_, data) in owner.state().live_tasks() {
                let is_unsafe = self.unsafe_keys.contains(&data.image.key);
                let count = begun.get(&data.image.id).copied().unwrap_or(0);
                // A failed run is not repeated either.
                if is_unsafe && count > 1 {
                    let id = data.image.id;
                    return Err(StepError(format!(
                        "{id}: unsafe to repeat, ran {count} times"
                    )));
                }
            }
        }
        Ok(())
    }

    /// What was refused is not on record: "not run" means that it will not run.
    fn check_refused(&self, reader: &Owner) -> Result<(), StepError> {
        let waits: BTreeSet<&Key> = self.tokens.values().collect();
        let mut refused = self.said.iter().filter(|(key, &word)| {
            let is_settled = !self.doubtful.contains(key) && !self.accepted.contains(key);
            word == "refused" && is_settled && !waits.contains(key)
        });
        match refused.find(|(key, _)| reader.state().by_key(key).is_some()) {
            Some((key, _)) => Err(StepError(format!("{key}: was refused and is on record"))),
            None => Ok(()),
        }
    }

    /// Every task that was acknowledged is in the log with an end.
    fn check_accepted(&mut self) -> Result<(), StepError> {
        let reader = reader(&self.store);
        self.check_refused(&reader)?;
        self.tally.requeues_count += self
            .daemons
            .iter()
            .filter_map(|d| d.owner.as_ref())
            .map(|owner| owner.counts().requeued_count)
            .sum::<u64>();
        for key in &self.accepted {
            let Some(task) = reader.state().by_key(key) else {
                return Err(StepError(format!("{key}: was acknowledged and is lost")));
            };
            let position = &reader.state().tasks[task].image.position;
            if !matches!(position, Position::Ended { .. }) {
                return Err(StepError(format!("{key}: has no end on record")));
            }
        }
        Ok(())
    }

    /// Mends everything and lets the world run until all tasks have ended.
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
            Some(format!("{}: {:?}", task.1.image.id, task.1.image.position))
        });
        Err(StepError(format!("stuck: {stuck:?}")))
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
        for _ in 0..self.backs.len() {
            self.step(&Op::Answer { index: 0 })?;
        }
        let owner = self.owners().first().copied();
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
        let Some(daemon) = self.owners().first().copied() else {
            return self.keys.is_empty();
        };
        let Some(owner) = &self.daemons[daemon].owner else {
            return false;
        };
        let is_committed = self.daemons[daemon].commit.is_none() && !owner.wants_commit();
        let is_owner = self.store.owner == Some(daemon) && is_committed;
        let mut tasks = owner.state().live_tasks();
        is_owner && tasks.all(|(_, data)| data.is_ended())
    }
}
