//! The jobs and cancels of the intake, when it was read whole.
//!
//! The items are read in the order of their keys, in which a cancel comes before its job. Here
//! each cancel is matched with its job, by the revisions of both.

use crate::keys::{self, IntakeKey};
use crate::recovery::{log_unreadable_item, parse_stored_job};
use crate::store::{Item, Revision};
use ospreywing_scheduler::{JobId, JobOutcome, JobRecord, StoredJob};
use slog::{warn, Logger};
use std::collections::HashMap;

/// A job that has not ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedJob {
    /// The job's id.
    pub id: JobId,
    /// The accepted job.
    pub record: JobRecord,
}

/// A job of which only the outcome is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedJob {
    /// The job's id.
    pub id: JobId,
    /// The outcome.
    pub outcome: JobOutcome,
}

/// The content of the intake.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct IntakeSnapshot {
    /// The jobs that have not ended, in the order in which they were accepted.
    pub accepted: Vec<AcceptedJob>,
    /// The ended jobs.
    pub ended: Vec<EndedJob>,
    /// The jobs with an item that can't be parsed.
    pub unreadable: Vec<JobId>,
    /// The jobs of `accepted` and `unreadable` that are cancelled.
    pub cancelled: Vec<JobId>,
}

/// What a cancel needs to know about its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CancelTarget {
    /// The job was accepted at this revision and has not ended.
    Accepted(Revision),
    Ended,
    Unreadable,
}

impl IntakeSnapshot {
    /// Assembles the jobs and cancels from the intake's items. Logs the items that can't be
    /// parsed, and the cancels without a job.
    pub fn new(log: &Logger, mut items: Vec<Item>) -> Self {
        items.sort_by_key(|item| item.revision);
        let mut snapshot = Self::default();
        let mut targets = HashMap::new();
        let mut cancels = Vec::new();
        for item in &items {
            match keys::parse_intake(&item.key) {
                Some(IntakeKey::Job(job)) => {
                    targets.insert(job, snapshot.add_job(log, job, item));
                }
                Some(IntakeKey::Cancel(job)) => cancels.push((job, item)),
                None => log_unreadable_item(log, &item.key, "unknown key"),
            }
        }
        for (job, item) in cancels {
            if is_effective(log, item, targets.get(&job).copied()) {
                snapshot.cancelled.push(job);
            }
        }
        snapshot
    }

    fn add_job(&mut self, log: &Logger, id: JobId, item: &Item) -> CancelTarget {
        match parse_stored_job(item) {
            Ok(StoredJob::Accepted(record)) => {
                let record = *record;
                self.accepted.push(AcceptedJob { id, record });
                CancelTarget::Accepted(item.revision)
            }
            Ok(StoredJob::Ended(outcome)) => {
                self.ended.push(EndedJob { id, outcome });
                CancelTarget::Ended
            }
            Err(error) => {
                log_unreadable_item(log, &item.key, &error.to_string());
                self.unreadable.push(id);
                CancelTarget::Unreadable
            }
        }
    }
}

/// Returns whether a cancel concerns the job that is stored under its id.
///
/// A cancel that is older than the job was for an earlier job with the same id. The revision of
/// an accepted job is that of its acceptance, since only the outcome replaces the item.
fn is_effective(log: &Logger, cancel: &Item, target: Option<CancelTarget>) -> bool {
    let reason = match target {
        Some(CancelTarget::Accepted(accepted_at)) if cancel.revision > accepted_at => return true,
        Some(CancelTarget::Unreadable) => return true,
        Some(CancelTarget::Ended) => return false,
        Some(CancelTarget::Accepted(_)) => "older than the job",
        None => "no such job",
    };
    warn!(log, "cancel ignored"; "key" => &cancel.key, "reason" => reason);
    false
}
