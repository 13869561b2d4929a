//! Group commits: writes changed job states to the store and then applies the effects that
//! depended on the write.
//!
//! Each lane has at most one open transaction, and a job is in at most one open
//! transaction, so a later state of a job never reaches the store before an earlier one.
//! Commits begin at a fixed interval in any free lane; when the store is slow all lanes
//! fill and the batches grow.

use crate::config::LANES_COUNT;
use crate::decision::{Decision, DecisionKind};
use crate::event::{Action, Change, ChangeKind};
use crate::job::{JobId, TaskKey};
use crate::jobs::Job;
use crate::scheduler::Scheduler;
use crate::state::{JobOutcome, Phase};
use crate::worker::WorkerKey;
use ospreywing_types::Instant;
use std::collections::VecDeque;

/// The number of keys removed when a job is removed from the store.
const FORGET_ENTRIES_COUNT: usize = 3;
/// The number of keys written and removed when a job's outcome is stored.
const OUTCOME_ENTRIES_COUNT: usize = 2;

/// An effect that takes place once a job's state is committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    /// Sends a recorded start.
    Start {
        worker: WorkerKey,
        task: TaskKey,
        run: u32,
    },
    /// Lets the worker discard an end.
    AckEnd { worker: WorkerKey, number: u64 },
    /// Shows the phase to clients.
    PublishPhase(Phase),
    /// Removes the job.
    Forget,
}

/// The queue of changed jobs and the open transactions.
#[derive(Debug, Default)]
pub(crate) struct CommitQueue {
    /// Jobs whose state has changed, the longest waiting first.
    dirty: VecDeque<JobId>,
    /// The open transaction of each lane.
    lanes: [Option<Vec<OpenChange>>; LANES_COUNT as usize],
    /// When the next transaction may begin.
    next_at: Instant,
}

impl CommitQueue {
    /// Returns the jobs of all open transactions.
    pub(crate) fn open_jobs(&self) -> impl Iterator<Item = JobId> + '_ {
        let open = self.lanes.iter().flatten().flatten();
        open.map(|change| change.job)
    }
}

/// A change in an open transaction.
#[derive(Clone, Copy, Debug)]
struct OpenChange {
    job: JobId,
    /// The version of the job's state in the transaction.
    version: u64,
    /// Whether the change stores the outcome, after which only the outcome is kept.
    is_outcome: bool,
}

impl Scheduler {
    /// Queues a commit of a job's changed state, with an effect that waits for it.
    pub(crate) fn queue_commit(&mut self, id: JobId, effect: Option<Effect>) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.version += 1;
        job.clear_derived();
        self.stale_demands.insert(id);
        if let Some(effect) = effect {
            job.effects.push((job.version, effect));
        }
        if !job.is_dirty {
            job.is_dirty = true;
            self.commits.dirty.push_back(id);
        }
    }

    /// Begins a commit if one is due and a lane is free.
    pub(crate) fn flush_commits(&mut self, now: Instant, out: &mut Vec<Action>) {
        // A full transaction gains nothing from waiting for more changes.
        let is_full = self.commits.dirty.len() >= self.config.commit_limit_count;
        if self.commits.dirty.is_empty() || now < self.commits.next_at && !is_full {
            return;
        }
        let Some(lane) = self.commits.lanes.iter().position(Option::is_none) else {
            return;
        };
        let ids = self.next_batch();
        if !ids.is_empty() {
            self.commits.next_at = now + self.config.commit_interval;
            self.commit(lane, ids, out);
        }
    }

    /// Removes as many changed jobs from the queue as one transaction holds; jobs in an
    /// open transaction remain queued.
    fn next_batch(&mut self) -> Vec<JobId> {
        let mut remaining_count = self.config.commit_limit_count;
        let mut ids = Vec::new();
        let mut skipped = Vec::new();
        while let Some(id) = self.commits.dirty.pop_front() {
            let job = self.jobs.get(&id);
            let entries_count = job.map_or(0, entries_count);
            if job.is_some_and(|job| job.is_in_flight) {
                skipped.push(id);
            } else if entries_count <= remaining_count {
                remaining_count -= entries_count;
                ids.push(id);
            } else {
                skipped.push(id);
                break;
            }
        }
        for id in skipped.into_iter().rev() {
            self.commits.dirty.push_front(id);
        }
        ids
    }

    fn commit(&mut self, lane: usize, ids: Vec<JobId>, out: &mut Vec<Action>) {
        let mut changes = Vec::with_capacity(ids.len());
        let mut open = Vec::with_capacity(ids.len());
        for id in ids {
            let has_runs = self.has_runs(id);
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.is_dirty = false;
            job.is_in_flight = true;
            let kind = next_change(job, has_runs);
            if matches!(kind, ChangeKind::Progress(_)) {
                job.is_policy_unsaved = false;
            }
            open.push(OpenChange {
                job: id,
                version: job.version,
                is_outcome: matches!(kind, ChangeKind::Outcome(_)),
            });
            changes.push(Change { job: id, kind });
        }
        if changes.is_empty() {
            return;
        }
        self.commits.lanes[lane] = Some(open);
        out.push(Action::Commit {
            lane: lane as u32,
            changes,
        });
    }

    pub(crate) fn on_committed(&mut self, now: Instant, lane: usize, out: &mut Vec<Action>) {
        let lane = self.commits.lanes.get_mut(lane);
        let open = lane.and_then(Option::take).unwrap_or_default();
        for change in open {
            let id = change.job;
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.is_in_flight = false;
            if change.is_outcome {
                job.retain_outcome_only();
                self.unsettled.remove(&id);
            }
            let due = job.effects.iter().take_while(|(v, _)| *v <= change.version);
            let due_count = due.count();
            let due: Vec<_> = job.effects.drain(..due_count).collect();
            for (_, effect) in due {
                self.apply_effect(now, id, effect, out);
            }
        }
        self.is_cycle_due = true;
    }

    fn apply_effect(&mut self, now: Instant, id: JobId, effect: Effect, out: &mut Vec<Action>) {
        match effect {
            Effect::Start { worker, task, run } => self.send_start(now, worker, task, run, out),
            Effect::AckEnd { worker, number } => self.ack_end(worker, number),
            Effect::PublishPhase(phase) => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.committed_phase = phase;
                }
                let line = Decision::new(DecisionKind::JobEnded, "shown").with_job(id);
                out.push(Action::Log(line));
            }
            Effect::Forget => {
                self.jobs.remove(&id);
            }
        }
    }

    /// Queues the outcomes of ended jobs without runs, unless a commit of the job is queued
    /// or open already.
    pub(crate) fn queue_outcomes(&mut self) {
        let is_idle = |id: &&JobId| {
            let job = self.jobs.get(id);
            job.is_some_and(|job| !job.is_dirty && !job.is_in_flight)
        };
        let ended: Vec<JobId> = self.unsettled.iter().filter(is_idle).copied().collect();
        for id in ended {
            if !self.has_runs(id) {
                self.queue_commit(id, None);
            }
        }
    }

    /// Lets the worker discard an end that is in the store.
    pub(crate) fn ack_end(&mut self, key: WorkerKey, number: u64) {
        let worker = &mut self.workers[key];
        worker.uncommitted_ends.retain(|end| *end != number);
        if worker.uncommitted_ends.is_empty() {
            worker.acked_end = worker.ackable_end();
        }
    }
}

/// Returns the number of transaction entries for a job's change.
fn entries_count(job: &Job) -> usize {
    if job.is_forgotten() {
        FORGET_ENTRIES_COUNT
    } else if job.state.phase != Phase::Active {
        OUTCOME_ENTRIES_COUNT
    } else {
        1
    }
}

/// Returns the change to store for a job's current state.
fn next_change(job: &Job, has_runs: bool) -> ChangeKind {
    if job.is_forgotten() {
        ChangeKind::Forget
    } else if job.state.phase != Phase::Active && !has_runs {
        let outcome = JobOutcome::new(job.state.phase);
        let outcome = outcome.with_customer(job.record.customer.clone());
        ChangeKind::Outcome(outcome.to_bytes())
    } else {
        ChangeKind::Progress(job.state.to_bytes())
    }
}
