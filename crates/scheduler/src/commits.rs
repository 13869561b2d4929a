//! Group commits: what changed goes to the store, then what waited for it
//! happens.
//!
//! A job belongs to one lane. A lane has one transaction open at a time, so a
//! later state of a job never reaches the store before an earlier one.

use crate::decision::{Decision, DecisionKind};
use crate::event::{Action, Change, ChangeKind};
use crate::job::{JobId, TaskKey};
use crate::jobs::Job;
use crate::scheduler::Scheduler;
use crate::state::{Phase, StoredJob};
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

/// A lane of commits.
#[derive(Debug, Default)]
pub(crate) struct Lane {
    dirty: VecDeque<JobId>,
    open: Option<Vec<OpenChange>>,
    next_at: Instant,
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
        job.ready = None;
        if let Some(effect) = effect {
            job.effects.push((job.version, effect));
        }
        if !job.is_dirty {
            job.is_dirty = true;
            let lane = (id.number() % u64::from(self.config.lanes_count)) as usize;
            self.lanes[lane].dirty.push_back(id);
        }
    }

    pub(crate) fn flush_commits(&mut self, now: Instant, out: &mut Vec<Action>) {
        for number in 0..self.lanes.len() {
            let lane = &mut self.lanes[number];
            if lane.open.is_some() || lane.dirty.is_empty() || now < lane.next_at {
                continue;
            }
            lane.next_at = now + self.config.commit_pace;
            let ids = self.next_group(number);
            self.commit(number, ids, out);
        }
    }

    /// Takes as many changed jobs off a lane's list as one transaction holds.
    fn next_group(&mut self, number: usize) -> Vec<JobId> {
        let mut left_count = self.config.commit_limit_count;
        let mut ids = Vec::new();
        while let Some(id) = self.lanes[number].dirty.front() {
            let entries_count = match self.jobs.get(id) {
                Some(job) if job.is_forgotten() => FORGET_ENTRIES_COUNT,
                Some(job) if job.state.phase != Phase::Active => OUTCOME_ENTRIES_COUNT,
                _ => 1,
            };
            if entries_count > left_count {
                break;
            }
            left_count -= entries_count;
            ids.extend(self.lanes[number].dirty.pop_front());
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
        self.lanes[lane].open = Some(open);
        out.push(Action::Commit {
            lane: lane as u32,
            changes,
        });
    }

    pub(crate) fn on_committed(&mut self, now: Instant, lane: u32, out: &mut Vec<Action>) {
        let open = self.lanes[lane as usize].open.take().unwrap_or_default();
        for change in open {
            let id = change.job;
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if change.is_outcome {
                job.keep_outcome_only();
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
                    job.shown = phase;
                }
                let line = Decision::new(DecisionKind::JobEnded, "shown").with_job(id);
                out.push(Action::Log(line));
            }
            Effect::Forget => {
                self.jobs.remove(&id);
            }
        }
    }

    /// Has the outcomes written of jobs whose last run is over.
    pub(crate) fn settle_ended_jobs(&mut self) {
        let ended: Vec<JobId> = self.unsettled.iter().copied().collect();
        for id in ended {
            if !self.has_runs(id) {
                self.unsettled.remove(&id);
                self.touch(id, None);
            }
        }
    }

    /// Lets the worker forget an end that is in the store.
    pub(crate) fn ack_end(&mut self, key: WorkerKey, number: u64) {
        let worker = &mut self.workers[key];
        worker.uncommitted_ends.retain(|end| *end != number);
        if worker.uncommitted_ends.is_empty() {
            worker.acked_end = worker.seen_end;
        }
    }
}

/// Returns what the store is to keep of a job now.
fn next_change(job: &Job, has_runs: bool) -> ChangeKind {
    if job.is_forgotten() {
        ChangeKind::Forget
    } else if job.state.phase != Phase::Active && !has_runs {
        ChangeKind::Outcome(StoredJob::outcome_bytes(job.state.phase))
    } else {
        ChangeKind::Progress(job.state.to_bytes())
    }
}
