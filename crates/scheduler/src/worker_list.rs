//! The platform's list of workers, and what it tells of those that are known.

use crate::decision::{Decision, DecisionKind};
use crate::event::{Action, WorkerChange};
use crate::scheduler::Scheduler;
use crate::worker::{Worker, WorkerFacts, WorkerKey};
use ospreywing_types::Instant;
use std::collections::HashSet;
use std::sync::Arc;

impl Scheduler {
    /// Takes in the list of workers.
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

    /// Takes in what has changed of the list of workers.
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

    /// Creates a worker as the operators' settings stand.
    pub(crate) fn new_worker(&self, facts: WorkerFacts, leased_until: Instant) -> Worker {
        let mut worker = Worker::new(facts, leased_until);
        worker.has_service = self.configuration.has_service(&worker.facts.service);
        worker.is_cordoned = self.cordons.contains(&worker.facts.data_centre);
        worker
    }

    /// Notes which workers belong to a service that the operators have set: an entry that
    /// names another one names no worker to use. What runs there runs on.
    pub(crate) fn update_has_service(&mut self) {
        for worker in self.workers.values_mut() {
            worker.has_service = self.configuration.has_service(&worker.facts.service);
        }
    }

    /// Has workers asked at once at whose place another life is listed that was not met
    /// before in this term.
    ///
    /// The entry alone does not tell which life is the later one: a write of an earlier
    /// life may come to the store late. The address answers for the one that is there, to
    /// a call for any other with its refusal.
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
            self.next_renewal_at = now;
        }
    }

    /// Returns whether a worker has been listed in this term.
    fn was_listed(&self, id: &Arc<str>) -> bool {
        let key = self.workers_by_id.get(id);
        key.is_some_and(|key| !self.workers[*key].facts.address.is_empty())
    }

    /// Takes in the entry of a known worker, which may be that of another life.
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

    /// Takes in what is listed of a known worker now.
    ///
    /// What runs on a worker whose room has shrunk below it runs on: stopping it would
    /// lose work, and nothing more is placed there until enough has ended.
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
        // Of a worker that only the records of an earlier leader name nothing was known.
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

/// Takes in that a worker is not listed any more: it has left, or its entry has lapsed.
fn unlist(worker: &mut Worker, out: &mut Vec<Action>) {
    worker.is_listed = false;
    let line = Decision::new(DecisionKind::WorkerUnlisted, "entry gone");
    let line = line.with_worker(&worker.facts.id);
    out.push(Action::Log(line.with_figure(worker.runs.len() as u64)));
}

/// The machines and addresses of workers that were not listed before.
#[derive(Debug, Default)]
struct Hosts<'a> {
    machines: HashSet<&'a str>,
    addresses: HashSet<&'a str>,
    /// The addresses of those whose machine the platform does not tell.
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

    /// Returns whether one of them is a life of the same machine, or at the same address
    /// where the machine of one is not told.
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
