//! Reads a job's state from the store, for when the leader can't be asked.

use crate::caller::Caller;
use crate::keys;
use crate::recovery::{self, parse_stored_job, parse_stored_state};
use crate::store::{Item, Store, StoreError};
use ospreywing_scheduler::{JobId, JobState, JobView, Phase, StateError, StoredJob, TaskStatus};
use slog::Logger;

/// A job's state as read from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoredView {
    /// The job's state.
    Known(JobView),
    /// The job does not exist, or the caller may not see it.
    NoJob,
    /// The stored items can't be parsed.
    Unreadable,
}

/// Whether a caller may access a stored job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// The caller may access it, and it has not ended.
    Open,
    /// The caller may access it, and it has ended.
    Ended,
    /// The job belongs to another customer.
    Closed,
    /// The job can't be parsed; a node of a later version may have written it.
    Unreadable,
}

/// Returns whether a caller may access the job of a stored item.
pub fn access(item: &Item, caller: &Caller) -> Access {
    match parse_stored_job(item) {
        Ok(stored) if !stored.is_visible_to(caller.customer()) => Access::Closed,
        Ok(StoredJob::Accepted(_)) => Access::Open,
        Ok(StoredJob::Ended(_)) => Access::Ended,
        Err(_) => Access::Unreadable,
    }
}

/// Reads a job's state from the store.
///
/// The progress is read before the job, since a job's outcome replaces its progress in
/// one transaction. So if there is no progress, either the job has not started, or the
/// read that follows finds the outcome.
///
/// # Errors
///
/// Returns a [`StoreError`] if the store does not answer.
pub async fn read_view<S: Store>(
    store: &S,
    log: &Logger,
    job: JobId,
    caller: &Caller,
) -> Result<StoredView, StoreError> {
    let state = store.get(&keys::state(job)).await?;
    let Some(record) = store.get(&keys::job(job)).await? else {
        return Ok(StoredView::NoJob);
    };
    let view = match parse_stored_job(&record) {
        Ok(stored) if !stored.is_visible_to(caller.customer()) => return Ok(StoredView::NoJob),
        Ok(StoredJob::Ended(outcome)) => Ok(ended(outcome.phase)),
        Ok(StoredJob::Accepted(_)) => read_progress(state.as_ref()),
        Err(error) => Err((&record, error)),
    };
    match view {
        Ok(view) => Ok(StoredView::Known(view)),
        Err((item, error)) => {
            recovery::log_unreadable_item(log, &item.key, &error.to_string());
            Ok(StoredView::Unreadable)
        }
    }
}

fn read_progress(state: Option<&Item>) -> Result<JobView, (&Item, StateError)> {
    let Some(item) = state else {
        return Ok(progress(&JobState::default()));
    };
    let state = parse_stored_state(item).map_err(|error| (item, error))?;
    Ok(progress(&state))
}

const fn ended(phase: Phase) -> JobView {
    JobView {
        phase,
        has_begun: true,
        is_settled: true,
    }
}

fn progress(state: &JobState) -> JobView {
    let steps = state.rounds.iter().flat_map(|round| &round.steps);
    let mut tasks = steps.flat_map(|step| &step.tasks);
    let has_run = tasks.any(|task| task.status != TaskStatus::Waiting);
    JobView {
        phase: state.phase,
        has_begun: state.phase != Phase::Active || has_run,
        is_settled: true,
    }
}
