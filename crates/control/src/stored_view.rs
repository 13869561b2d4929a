//! What the store tells of a job, where the leader can't be asked.

use crate::caller::Caller;
use crate::keys;
use crate::recovery::{self, stored_job, stored_state};
use crate::store::{Item, Store, StoreError};
use ospreywing_scheduler::{JobId, JobState, JobView, Phase, StateError, StoredJob, TaskStatus};
use slog::Logger;

/// What the store tells of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoredView {
    /// The job's state.
    Known(JobView),
    /// There is no such job, or none that is open to the caller.
    NoJob,
    /// What is stored can't be read.
    Unreadable,
}

/// Whether a caller may touch a job that the store keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// It may.
    Open,
    /// The job is another customer's.
    Closed,
    /// Whose job it is can't be read: a node of a later version may have written it.
    Unreadable,
}

/// Returns whether a caller may touch the job of a stored item.
pub fn access(item: &Item, caller: &Caller) -> Access {
    match stored_job(item) {
        Ok(stored) if stored.is_visible_to(caller.customer()) => Access::Open,
        Ok(_) => Access::Closed,
        Err(_) => Access::Unreadable,
    }
}

/// Reads what the store keeps of a job.
///
/// The progress is read first: a job's outcome takes its place in one
/// transaction, so a progress that is gone by then is either that of a job of
/// which nothing has begun, or followed by the outcome.
///
/// # Errors
///
/// Returns a [`StoreError`] where the store does not answer.
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
    let view = match stored_job(&record) {
        Ok(stored) if !stored.is_visible_to(caller.customer()) => return Ok(StoredView::NoJob),
        Ok(StoredJob::Ended(outcome)) => Ok(ended(outcome.phase)),
        Ok(StoredJob::Accepted(_)) => read_progress(state.as_ref()),
        Err(error) => Err((&record, error)),
    };
    match view {
        Ok(view) => Ok(StoredView::Known(view)),
        Err((item, error)) => {
            recovery::damaged(log, &item.key, &error.to_string());
            Ok(StoredView::Unreadable)
        }
    }
}

fn read_progress(state: Option<&Item>) -> Result<JobView, (&Item, StateError)> {
    let Some(item) = state else {
        return Ok(progress(&JobState::default()));
    };
    let state = stored_state(item).map_err(|error| (item, error))?;
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
