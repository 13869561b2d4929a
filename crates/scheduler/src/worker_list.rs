//! The platform's list of workers and changes to their entries.

use crate::decision::{Decision, DecisionKind};
use crate::event::{Action, WorkerChange};
use crate::scheduler::Scheduler;
use crate::worker::{Worker, WorkerFacts, WorkerKey};
use ospreywing_types::Instant;
use std::collections::HashSet;
use std::sync::Arc;

impl Scheduler {
    /// Handles a complete list of workers.
    pub(crate) fn list_workers(
        &mut self,
        now: Instant,
        list: Vec<WorkerFacts>,
        out: &mut Vec<Action>,
    ) {
        let ids: HashSet<Arc<str>> = list.iter().map(|facts| facts.id.clone()).collect();
        for worker in self.workers.values_mut() {
            if worker.is_listed && !ids.contains(&worker.facts.id) {
                unlist(worker, out);
            }
        }
        let changes = list.into_iter().map(WorkerChange::Listed).collect();
        self.change_workers(now, changes, out);
    }

    /// Handles changes to the list of workers.
    pub(crate) fn change_workers(
        &mut self,
        now: Instant,
        changes: Vec<WorkerChange>,
        out: &mut Vec<Action>,
    ) {
        self.recheck_shared_hosts(now, &changes);
        for change in changes {
            match change {
                WorkerChange::Listed(facts) => self.list_worker(now, facts, out),
                WorkerChange::Unlisted(id) => {
                    if let Some(&key) = self.workers_by_id.get(&id) {
                        unlist(&mut self.workers[key], out);
                    }
                }
            }
        }
        self.is_cycle_due = true;
    }

    fn list_worker(&mut self, now: Instant, mut facts: WorkerFacts, out: &mut Vec<Action>) {
        self.name_interner.intern_all(&mut facts);
        let Some(&key) = self.workers_by_id.get(&facts.id) else {
            return self.add_worker(facts, out);
        };
        let worker = &mut self.workers[key];
        worker.is_listed = !worker.is_gone;
        self.handle_entry(now, key, facts, out);
    }

    /// Creates a worker under the current configuration and cordons.
    pub(crate) fn new_worker(&self, facts: WorkerFacts, leased_until: Instant) -> Worker {
        let mut worker = Worker::new(facts, leased_until);
        worker.has_service = self.configuration.has_service(&worker.facts.service);
        worker.is_cordoned = self.cordons.contains(&worker.facts.data_centre);
        worker
    }

    /// Updates which workers belong to a configured service. No run is placed on the
    /// others; their runs continue.
    pub(crate) fn update_has_service(&mut self) {
        for worker in self.workers.values_mut() {
            worker.has_service = self.configuration.has_service(&worker.facts.service);
        }
    }

    /// Polls known workers at once if an incarnation that is new in this term is listed on
    /// their machine or at their address.
    ///
    /// The entry alone does not show which incarnation is the later one, since a write of
    /// an earlier incarnation may reach the store late. The incarnation that runs answers
    /// polls at the address and refuses those meant for another one.
    fn recheck_shared_hosts(&mut self, now: Instant, changes: &[WorkerChange]) {
        let mut hosts = Hosts::default();
        for change in changes {
            match change {
                WorkerChange::Listed(facts) if !self.was_listed(&facts.id) => hosts.add(facts),
                _ => {}
            }
        }
        if hosts.is_empty() {
            return;
        }
        let is_shared = |worker: &&mut Worker| !worker.is_gone && hosts.has(&worker.facts);
        let mut has_shared = false;
        for worker in self.workers.values_mut().filter(is_shared) {
            worker.unconfirmed_since = Some(now);
            worker.next_poll_at = now;
            has_shared = true;
        }
        if has_shared {
            self.next_poll_scan_at = now;
        }
    }

    /// Returns whether a worker has been listed in this term.
    fn was_listed(&self, id: &Arc<str>) -> bool {
        let key = self.workers_by_id.get(id);
        key.is_some_and(|key| !self.workers[*key].facts.address.is_empty())
    }

    /// Handles the entry of a known worker, which may describe another incarnation.
    fn handle_entry(
        &mut self,
        now: Instant,
        key: WorkerKey,
        facts: WorkerFacts,
        out: &mut Vec<Action>,
    ) {
        let worker = &mut self.workers[key];
        if worker.may_be_own_entry(&facts) {
            worker.other_entry = None;
            self.update_facts(now, key, facts, out);
        } else if worker.is_gone {
            // The id is in use again.
            self.add_worker(facts, out);
        } else {
            self.on_other_entry(now, key, facts);
        }
    }

    /// Updates the entry of a known worker.
    ///
    /// Runs continue when a worker's capacity shrinks below their demand: stopping them
    /// would lose work. No run is placed there until enough of them have ended.
    fn update_facts(
        &mut self,
        now: Instant,
        key: WorkerKey,
        facts: WorkerFacts,
        out: &mut Vec<Action>,
    ) {
        let has_service = self.configuration.has_service(&facts.service);
        let is_cordoned = self.cordons.contains(&facts.data_centre);
        let drain_time = self.config.drain_time;
        let worker = &mut self.workers[key];
        let before = worker.facts.capacity;
        let was_draining = worker.facts.is_draining;
        worker.set_facts(facts);
        worker.update_departure(now, drain_time);
        if let Some(departs_at) = worker.departs_at.filter(|_| !was_draining) {
            let line = Decision::new(DecisionKind::WorkerDraining, "listed as leaving");
            let line = line.with_worker(&worker.facts.id);
            out.push(Action::Log(line.with_figure(departs_at.since(now).as_ms())));
        }
        worker.has_service = has_service;
        worker.is_cordoned = is_cordoned;
        let after = worker.facts.capacity;
        // The capacity was unknown for a worker that only an earlier leader's records name.
        let is_change = before != after && !before.is_zero();
        if !is_change || worker.runs.is_empty() {
            return;
        }
        let reason = if worker.is_overcommitted() {
            "smaller than what runs there"
        } else {
            "room changed"
        };
        let line = Decision::new(DecisionKind::WorkerResized, reason)
            .with_worker(&worker.facts.id)
            .with_figure(u64::from(after.cores_milli));
        out.push(Action::Log(line));
    }

    fn add_worker(&mut self, facts: WorkerFacts, out: &mut Vec<Action>) {
        let line = Decision::new(DecisionKind::WorkerListed, "listed");
        out.push(Action::Log(line.with_worker(&facts.id)));
        let id = facts.id.clone();
        let key = self
            .workers
            .push(self.new_worker(facts, self.recovered_leases_until));
        self.workers_by_id.insert(id, key);
    }
}

/// Marks a worker as unlisted: it has departed, or its entry has expired.
fn unlist(worker: &mut Worker, out: &mut Vec<Action>) {
    worker.is_listed = false;
    let line = Decision::new(DecisionKind::WorkerUnlisted, "entry gone");
    let line = line.with_worker(&worker.facts.id);
    out.push(Action::Log(line.with_figure(worker.runs.len() as u64)));
}

/// The machines and addresses of newly listed workers.
#[derive(Debug, Default)]
struct Hosts<'a> {
    machines: HashSet<&'a str>,
    addresses: HashSet<&'a str>,
    /// The addresses of workers whose machine is not reported.
    addresses_without_machine: HashSet<&'a str>,
}

impl<'a> Hosts<'a> {
    fn add(&mut self, facts: &'a WorkerFacts) {
        self.addresses.insert(&facts.address);
        match &facts.machine {
            Some(machine) => self.machines.insert(machine),
            None => self.addresses_without_machine.insert(&facts.address),
        };
    }

    fn is_empty(&self) -> bool {
        self.addresses.is_empty()
    }

    /// Returns whether one of the workers is on the machine of the known one, or at its
    /// address if either machine is not reported.
    fn has(&self, known: &WorkerFacts) -> bool {
        let is_addressed = !known.address.is_empty();
        match &known.machine {
            Some(machine) => {
                self.machines.contains(&**machine)
                    || is_addressed && self.addresses_without_machine.contains(&*known.address)
            }
            None => is_addressed && self.addresses.contains(&*known.address),
        }
    }
}
