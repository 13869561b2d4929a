//! Cancels that arrive before their jobs.
//!
//! The messages about a job and about its cancel come from different nodes, on different
//! connections, and may overtake each other. A cancel of an unknown job is therefore kept
//! until the job is accepted.
//!
//! It is kept for a limited time only: a job's id may be used again once its outcome has been
//! removed, and the cancel must not end the later job. A cancel that was dropped is read from
//! the store after its job.

use crate::decision::{Decision, DecisionKind};
use crate::event::Action;
use crate::job::JobId;
use crate::scheduler::Scheduler;
use ospreywing_types::{Duration, Instant};
use std::collections::BTreeMap;

/// How long a cancel is kept: many times the timeout of a message between nodes.
const KEPT_TIME: Duration = Duration::from_s(10);
/// The maximum number of cancels that are kept.
const LIMIT_COUNT: usize = 10_000;

/// The cancels of jobs that are not known yet.
#[derive(Debug, Default)]
pub(crate) struct EarlyCancels {
    arrived_at: BTreeMap<JobId, Instant>,
}

impl EarlyCancels {
    /// Keeps a cancel; returns whether there was room for it.
    fn insert(&mut self, now: Instant, job: JobId) -> bool {
        let has_room = self.arrived_at.len() < LIMIT_COUNT;
        if has_room || self.arrived_at.contains_key(&job) {
            self.arrived_at.insert(job, now);
            return true;
        }
        false
    }

    /// Removes the cancel of a job; returns whether there was one that is not too old.
    fn take(&mut self, now: Instant, job: JobId) -> bool {
        let arrived_at = self.arrived_at.remove(&job);
        arrived_at.is_some_and(|at| now.since(at) < KEPT_TIME)
    }

    /// Removes the cancels that are too old, and returns their jobs.
    fn take_expired(&mut self, now: Instant) -> Vec<JobId> {
        let expired = self
            .arrived_at
            .extract_if(.., |_, arrived_at| now.since(*arrived_at) >= KEPT_TIME);
        expired.map(|(job, _)| job).collect()
    }

    /// Returns the number of cancels.
    pub(crate) fn len(&self) -> usize {
        self.arrived_at.len()
    }

    /// Returns whether a job's cancel is kept.
    pub(crate) fn contains(&self, job: JobId) -> bool {
        self.arrived_at.contains_key(&job)
    }
}

impl Scheduler {
    /// Keeps a cancel whose job is not known. The runs of a job whose record can't be read are
    /// not stopped, so its cancel is left to a leader that can read the record.
    pub(crate) fn keep_early_cancel(&mut self, now: Instant, job: JobId, out: &mut Vec<Action>) {
        let reason = if self.unreadable.contains(&job) {
            "job unreadable"
        } else if self.early_cancels.insert(now, job) {
            "job unknown"
        } else {
            "too many cancels of unknown jobs"
        };
        out.push(log_entry(job, reason));
    }

    /// Cancels a job that was just accepted if its cancel arrived before it.
    pub(crate) fn apply_early_cancel(&mut self, now: Instant, job: JobId, out: &mut Vec<Action>) {
        if self.early_cancels.take(now, job) {
            out.push(log_entry(job, "job accepted"));
            self.cancel_job(now, job, out);
        }
    }

    /// Drops the cancels whose jobs were not accepted in time.
    pub(crate) fn drop_expired_cancels(&mut self, now: Instant, out: &mut Vec<Action>) {
        for job in self.early_cancels.take_expired(now) {
            out.push(log_entry(job, "job not accepted in time"));
        }
    }
}

fn log_entry(job: JobId, reason: &'static str) -> Action {
    Action::Log(Decision::new(DecisionKind::EarlyCancel, reason).with_job(job))
}
