//! What the store tells of a job, where the leader can't be asked.

use crate::store::{Store, StoreError};
use crate::{keys, recovery};
use ospreywing_scheduler::{JobId, JobState, JobView, Phase, StoredJob, TaskStatus};
use slog::Logger;

/// What the store tells of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoredView {
    /// The job's state.
    Known(JobView),
    /// There is no such job.
    NoJob,
    /// What is stored can't be read.
    Unreadable,
}

/// Reads what the store keeps of a job.
///
/// # Errors
///
/// Returns a [`StoreError`] where the store does not answer.
pub async fn read_view<S: Store>(
    store: &S,
    log: &Logger,
    job: JobId,
) -> Result<StoredView, StoreError> {
    let Some(item) = store.get(&keys::job(job)).await? else {
        return Ok(StoredView::NoJob);
    };
    match StoredJob::from_bytes(&item.value) {
        Ok(StoredJob::Ended(phase)) => return Ok(StoredView::Known(ended(phase))),
        Ok(StoredJob::Accepted(_)) => {}
        Err(error) => {
            recovery::damaged(log, &item.key, &error.to_string());
            return Ok(StoredView::Unreadable);
        }
    }
    let Some(item) = store.get(&keys::state(job)).await? else {
        return Ok(StoredView::Known(progress(&JobState::default())));
    };
    match JobState::from_bytes(&item.value) {
        Ok(state) => Ok(StoredView::Known(progress(&state))),
        Err(error) => {
            recovery::damaged(log, &item.key, &error.to_string());
            Ok(StoredView::Unreadable)
        }
    }
}

const fn ended(phase: Phase) -> JobView {
    JobView {
        phase,
        has_begun: true,
    }
}

fn progress(state: &JobState) -> JobView {
    let steps = state.rounds.iter().flat_map(|round| &round.steps);
    let mut tasks = steps.flat_map(|step| &step.tasks);
    let has_run = tasks.any(|task| task.status != TaskStatus::Waiting);
    JobView {
        phase: state.phase,
        has_begun: state.phase != Phase::Active || has_run,
    }
}
