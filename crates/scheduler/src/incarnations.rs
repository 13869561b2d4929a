//! Workers that restart under the same id.
//!
//! Each [`WorkerKey`] identifies one incarnation. What is known of an incarnation (its
//! clock, the numbers of its ends, its leases, its advice) does not apply to any other, so
//! the next one under the same id gets a new key. Only the worker's own answers show which
//! incarnation runs: its entry in the store may be written late, and the start time that
//! identifies it is wall-clock time, which may be set back.

use crate::decision::{Decision, DecisionKind};
use crate::event::Action;
use crate::incarnation::Incarnation;
use crate::job::TaskKey;
use crate::scheduler::Scheduler;
use crate::worker::{lease_bound, Run, RunPhase, Worker, WorkerFacts, WorkerKey};
use ospreywing_types::Instant;
use std::collections::BTreeSet;

/// The runs that an answer lists, alive or ended.
pub(crate) type ListedRuns = BTreeSet<(TaskKey, u32)>;

/// What happens to a run when another incarnation answers under its worker's id.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Disposition {
    /// The new incarnation has the run, or the answer to its start will show whether it has.
    Kept,
    /// The run was lost with the previous incarnation, but an unanswered start of it may
    /// still be carried out.
    Open,
    /// The run was lost with the previous incarnation, or its start was never sent.
    Lost,
}

impl Worker {
    /// Returns whether an answer comes from an incarnation other than the known one.
    pub(crate) fn is_other_incarnation(&self, incarnation: Option<Incarnation>) -> bool {
        matches!((self.incarnation, incarnation), (Some(known), Some(other)) if known != other)
    }

    /// Returns whether an entry may describe the incarnation that answers.
    pub(crate) fn may_be_own_entry(&self, facts: &WorkerFacts) -> bool {
        !self.is_other_incarnation(facts.incarnation)
    }

    /// Sets the incarnation that answers. The entry of another one is ignored from then on,
    /// since its capacity may differ.
    pub(crate) fn set_incarnation(&mut self, incarnation: Option<Incarnation>) {
        self.incarnation = self.incarnation.or(incarnation);
        self.is_listed &= !self.is_other_incarnation(self.facts.incarnation);
    }
}

impl Scheduler {
    /// Handles an entry that names another incarnation than the one that answers: no run is
    /// placed on the worker, and it is polled at once.
    pub(crate) fn on_other_entry(&mut self, now: Instant, key: WorkerKey, facts: WorkerFacts) {
        let worker = &mut self.workers[key];
        worker.is_listed = false;
        let is_new = worker
            .other_entry
            .as_ref()
            .is_none_or(|known| known.incarnation != facts.incarnation);
        worker.other_entry = Some(facts);
        if is_new {
            self.doubt_incarnation(now, key);
        }
    }

    /// Polls a worker at once, and places no run on it until its incarnation has answered a
    /// poll that was sent after this.
    pub(crate) fn doubt_incarnation(&mut self, now: Instant, key: WorkerKey) {
        let worker = &mut self.workers[key];
        worker.unconfirmed_since = Some(now);
        worker.next_poll_at = now;
        self.next_poll_scan_at = now;
    }

    /// Ends an incarnation because another one has answered under its id, and returns the
    /// key of the new one.
    ///
    /// Starts meant for the previous incarnation may have been carried out in the new one,
    /// so runs that may be there are moved to it.
    pub(crate) fn begin_next_incarnation(
        &mut self,
        now: Instant,
        key: WorkerKey,
        incarnation: Option<Incarnation>,
        sent_at: Instant,
        listed: &ListedRuns,
        out: &mut Vec<Action>,
    ) -> WorkerKey {
        let runs_count = self.workers[key].runs.len() as u64;
        let line = Decision::new(DecisionKind::WorkerRestarted, "another start answers");
        let line = line.with_worker(&self.workers[key].facts.id);
        out.push(Action::Log(line.with_figure(runs_count)));
        let next = self.add_next_incarnation(now, key, incarnation);
        let moved = self.runs_with_disposition(key, Disposition::Kept, sent_at, listed);
        self.move_runs(key, next, moved);
        self.mark_gone(now, key, out);
        let open = self.runs_with_disposition(key, Disposition::Open, sent_at, listed);
        self.move_runs(key, next, open.clone());
        self.release_all_runs(now, key, "another start answers", out);
        self.stop_in_next_incarnation(now, next, &open, out);
        self.move_open_starts(key, next);
        self.send_due_stops_of_open_starts(now, next, out);
        next
    }

    fn add_next_incarnation(
        &mut self,
        now: Instant,
        key: WorkerKey,
        incarnation: Option<Incarnation>,
    ) -> WorkerKey {
        let previous = &mut self.workers[key];
        let entry = previous.other_entry.take();
        let entry = entry.filter(|entry| entry.incarnation == incarnation);
        let is_listed =
            entry.is_some() || previous.facts.incarnation.is_none() && previous.is_listed;
        previous.is_listed = false;
        let facts = entry.unwrap_or_else(|| previous.facts.clone());
        let id = facts.id.clone();
        // The new incarnation cuts a lease granted on the previous one's clock to its limit.
        let mut next = self.new_worker(facts, lease_bound(now, self.config.lease_limit));
        next.is_listed = is_listed;
        next.incarnation = incarnation;
        let next = self.workers.push(next);
        self.workers_by_id.insert(id, next);
        next
    }

    fn runs_with_disposition(
        &self,
        key: WorkerKey,
        disposition: Disposition,
        sent_at: Instant,
        listed: &ListedRuns,
    ) -> Vec<TaskKey> {
        let runs = self.workers[key].runs.iter();
        let placed = runs.filter(|(task, _)| self.placements.get(task) == Some(&key));
        let found = placed.filter(|(task, run)| {
            let is_listed = listed.contains(&(**task, run.run));
            disposition_of(run, is_listed, sent_at) == disposition
        });
        found.map(|(task, _)| *task).collect()
    }

    fn move_runs(&mut self, from: WorkerKey, to: WorkerKey, tasks: Vec<TaskKey>) {
        for task in tasks {
            if let Some(run) = self.workers[from].remove_run(task) {
                self.workers[to].insert_foreign_run(task, run);
                self.placements.insert(task, to);
            }
        }
    }

    /// Stops in the new incarnation the runs that were being stopped in the previous one or
    /// may still begin there. A stop that arrives before the start makes the worker refuse
    /// it.
    fn stop_in_next_incarnation(
        &mut self,
        now: Instant,
        key: WorkerKey,
        open: &[TaskKey],
        out: &mut Vec<Action>,
    ) {
        let to = self.workers[key].endpoint(key);
        for (task, run) in &mut self.workers[key].runs {
            if matches!(run.phase, RunPhase::Stopping { .. }) || open.contains(task) {
                run.phase = RunPhase::Stopping {
                    sent_at: now,
                    accepted_at: None,
                };
                out.push(Action::Stop {
                    to: to.clone(),
                    task: *task,
                    run: run.run,
                });
            }
        }
    }

    /// Returns the incarnation that has a task's run now, given the one to which its start
    /// was sent.
    pub(crate) fn incarnation_with(&self, key: WorkerKey, task: TaskKey) -> WorkerKey {
        let placed = self.placements.get(&task).copied();
        let is_next =
            |other: &WorkerKey| self.workers[*other].facts.id == self.workers[key].facts.id;
        placed.filter(is_next).unwrap_or(key)
    }
}

fn disposition_of(run: &Run, is_listed: bool, sent_at: Instant) -> Disposition {
    if is_listed {
        return Disposition::Kept;
    }
    match run.phase {
        RunPhase::Recording | RunPhase::Recovered => Disposition::Lost,
        RunPhase::Starting => Disposition::Kept,
        RunPhase::Running { since } if since >= sent_at => Disposition::Kept,
        RunPhase::Running { .. } | RunPhase::Stopping { .. } if run.has_unanswered_start() => {
            Disposition::Open
        }
        RunPhase::Running { .. } | RunPhase::Stopping { .. } => Disposition::Lost,
    }
}
