//! The platform's list of workers, and what it tells of those that are known.

use crate::decision::{Decision, DecisionKind};
use crate::event::Action;
use crate::scheduler::Scheduler;
use crate::worker::{Worker, WorkerFacts, WorkerKey};
use ospreywing_types::Instant;
use std::collections::BTreeSet;
use std::sync::Arc;

impl Scheduler {
    /// Takes in the list of workers.
    pub(crate) fn list_workers(
        &mut self,
        now: Instant,
        list: Vec<WorkerFacts>,
        out: &mut Vec<Action>,
    ) {
        let ids: BTreeSet<_> = list.iter().map(|facts| facts.id.clone()).collect();
        for worker in self.workers.values_mut() {
            worker.is_listed = !worker.is_gone && ids.contains(&worker.facts.id);
        }
        self.doubt_shared_places(now, &list);
        for mut facts in list {
            self.names.keep_all(&mut facts);
            match self.workers_by_id.get(&facts.id) {
                Some(&key) => self.take_entry(now, key, facts, out),
                None => self.add_worker(facts, out),
            }
        }
        self.note_services();
        self.is_place_due = true;
    }

    /// Notes which workers belong to a service that the operators have set: an entry that
    /// names another one names no worker to use. What runs there runs on.
    pub(crate) fn note_services(&mut self) {
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
    fn doubt_shared_places(&mut self, now: Instant, list: &[WorkerFacts]) {
        let new: Vec<&WorkerFacts> = list
            .iter()
            .filter(|facts| !self.is_met(&facts.id))
            .collect();
        let is_shared = |worker: &Worker| {
            let mut new = new.iter();
            !worker.is_gone && new.any(|facts| is_same_place(&worker.facts, facts))
        };
        let mut is_any = false;
        for worker in self.workers.values_mut().filter(|w| is_shared(w)) {
            worker.doubted_at = Some(now);
            worker.next_hold_at = now;
            is_any = true;
        }
        if is_any {
            self.next_renewal_at = now;
        }
    }

    /// Returns whether a worker has been listed in this term.
    fn is_met(&self, id: &Arc<str>) -> bool {
        let key = self.workers_by_id.get(id);
        key.is_some_and(|key| !self.workers[*key].facts.address.is_empty())
    }

    /// Takes in the entry of a known worker, which may be that of another life.
    fn take_entry(
        &mut self,
        now: Instant,
        key: WorkerKey,
        facts: WorkerFacts,
        out: &mut Vec<Action>,
    ) {
        let worker = &mut self.workers[key];
        if worker.is_own_entry(&facts) {
            worker.other_entry = None;
            self.update_facts(key, facts, out);
        } else if worker.is_gone {
            // The id is in use again.
            self.add_worker(facts, out);
        } else {
            self.doubt_life(now, key, facts);
        }
    }

    /// Takes in what is listed of a known worker now.
    ///
    /// What runs on a worker whose room has shrunk below it runs on: stopping it would
    /// lose work, and nothing more is placed there until enough has ended.
    fn update_facts(&mut self, key: WorkerKey, facts: WorkerFacts, out: &mut Vec<Action>) {
        let worker = &mut self.workers[key];
        let before = worker.facts.capacity;
        worker.set_facts(facts);
        let after = worker.facts.capacity;
        // Of a worker that only the records of an earlier leader name nothing was known.
        let is_news = before != after && !before.is_zero();
        if !is_news || worker.runs.is_empty() {
            return;
        }
        let reason = if worker.is_overfull() {
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
        let key = self.workers.push(Worker::new(facts, self.inherited_until));
        self.workers_by_id.insert(id, key);
    }
}

/// Returns whether both are lives of one machine, or at one address.
fn is_same_place(known: &WorkerFacts, new: &WorkerFacts) -> bool {
    match (&known.machine, &new.machine) {
        (Some(known), Some(new)) => known == new,
        _ => !known.address.is_empty() && known.address == new.address,
    }
}
