//! Group commits: what changed goes to the store, then what waited for it
//! happens.
//!
//! A lane has one transaction open at a time, and a job is in one open
//! transaction at most, so a later state of a job never reaches the store
//! before an earlier one. Commits begin at a pace, in whichever lane is free:
//! a slow store fills the lanes, and the groups grow.

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

/// The keys that are removed where a job is forgotten.
const FORGET_ENTRIES_COUNT: usize = 3;
/// The keys that are written and removed where a job has its outcome.
const OUTCOME_ENTRIES_COUNT: usize = 2;

/// What waits for a job's state to be in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    /// A recorded start may be sent.
    Start {
        worker: WorkerKey,
        task: TaskKey,
        run: u32,
    },
    /// The worker may forget an end.
    AckEnd { worker: WorkerKey, number: u64 },
    /// Clients may be told of the phase.
    Show(Phase),
    /// The job is forgotten.
    Forget,
}

/// What is to be committed, and what is on its way.
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

/// A change that is on its way to the store.
#[derive(Clone, Copy, Debug)]
struct OpenChange {
    job: JobId,
    /// The version of the job's state that it carries.
    version: u64,
    /// Whether only the outcome is kept from then on.
    is_outcome: bool,
}

impl Scheduler {
    /// Notes that a job's state has changed, and what waits for its commit.
    pub(crate) fn touch(&mut self, id: JobId, effect: Option<Effect>) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.version += 1;
        job.clear_derived();
        self.stale_ready_demand.insert(id);
        if let Some(effect) = effect {
            job.effects.push((job.version, effect));
        }
        if !job.is_dirty {
            job.is_dirty = true;
            self.commits.dirty.push_back(id);
        }
    }

    /// Begins a commit where one is due and a lane is free.
    pub(crate) fn flush_commits(&mut self, now: Instant, out: &mut Vec<Action>) {
        // What fills a transaction gains nothing from waiting for more.
        let is_full = self.commits.dirty.len() >= self.config.commit_limit_count;
        if self.commits.dirty.is_empty() || now < self.commits.next_at && !is_full {
            return;
        }
        let Some(lane) = self.commits.lanes.iter().position(Option::is_none) else {
            return;
        };
        let ids = self.next_group();
        if !ids.is_empty() {
            self.commits.next_at = now + self.config.commit_pace;
            self.commit(lane, ids, out);
        }
    }

    /// Takes as many changed jobs off the list as one transaction holds; those
    /// that are on their way have to wait.
    fn next_group(&mut self) -> Vec<JobId> {
        let mut left_count = self.config.commit_limit_count;
        let mut ids = Vec::new();
        let mut passed = Vec::new();
        while let Some(id) = self.commits.dirty.pop_front() {
            let job = self.jobs.get(&id);
            let entries_count = job.map_or(0, entries_count);
            if job.is_some_and(|job| job.is_in_flight) {
                passed.push(id);
            } else if entries_count <= left_count {
                left_count -= entries_count;
                ids.push(id);
            } else {
                passed.push(id);
                break;
            }
        }
        for id in passed.into_iter().rev() {
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
                self.take_effect(now, id, effect, out);
            }
        }
        self.is_place_due = true;
    }

    fn take_effect(&mut self, now: Instant, id: JobId, effect: Effect, out: &mut Vec<Action>) {
        match effect {
            Effect::Start { worker, task, run } => self.send_start(now, worker, task, run, out),
            Effect::AckEnd { worker, number } => self.ack_end(worker, number),
            Effect::Show(phase) => {
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

    /// Has the outcomes written of jobs whose last run is over, unless they wait
    /// to be written or are on their way already.
    pub(crate) fn settle_ended_jobs(&mut self) {
        let is_idle = |id: &&JobId| {
            let job = self.jobs.get(id);
            job.is_some_and(|job| !job.is_dirty && !job.is_in_flight)
        };
        let ended: Vec<JobId> = self.unsettled.iter().filter(is_idle).copied().collect();
        for id in ended {
            if !self.has_runs(id) {
                self.touch(id, None);
            }
        }
    }

    /// Lets the worker forget an end that is in the store.
    pub(crate) fn ack_end(&mut self, key: WorkerKey, number: u64) {
        let worker = &mut self.workers[key];
        worker.uncommitted_ends.retain(|end| *end != number);
        if worker.uncommitted_ends.is_empty() {
            worker.acked_end = worker.ackable_end();
        }
    }
}

/// Returns how many entries of a transaction a job's change takes.
fn entries_count(job: &Job) -> usize {
    if job.is_forgotten() {
        FORGET_ENTRIES_COUNT
    } else if job.state.phase != Phase::Active {
        OUTCOME_ENTRIES_COUNT
    } else {
        1
    }
}

/// Returns what the store is to keep of a job now.
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
