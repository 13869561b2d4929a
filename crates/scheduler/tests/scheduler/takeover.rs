//! How a new leader handles the runs of jobs that have their outcome, or whose records it can't
//! read.

use crate::support::harness::{end, workers, Harness};
use crate::support::{first_task, job, placed_state, step};
use ospreywing_scheduler::{
    Action, EndKind, Event, JobId, JobState, Phase, Recovered, TaskKey, WorkerKey,
};

/// Returns a leader on whose worker a run has begun, and the run.
fn after_start() -> (Harness, TaskKey, u32) {
    let mut harness = Harness::new(Recovered::default(), &workers(1));
    harness.submit(1, vec![step(1)]);
    harness.commit_all();
    let (worker, task, run) = harness.starts()[0];
    harness.answer_started((worker, task, run));
    (harness, task, run)
}

/// Returns the next leader, which has listed the only worker and not polled it yet.
fn next_leader(state: JobState) -> (Harness, WorkerKey) {
    let (id, record) = job(1, vec![step(1)]);
    let recovered = Recovered {
        jobs: vec![(id, record)],
        cancels: vec![id],
        states: vec![(id, state)],
        ..Recovered::default()
    };
    let mut next = Harness::new(recovered, &[]);
    next.list_worker(&workers(1)[0]);
    let worker = next.scheduler.worker_key("w0").expect("a listed worker");
    (next, worker)
}

/// After two leaders were lost in a row, the runs of cancelled jobs once kept running
/// permanently.
#[test]
fn handle_running_cancel_recorded_before() {
    let (mut harness, task, run) = after_start();
    let id = JobId::new(1);
    harness.handle(Event::CancelAccepted { job: id });
    let state = harness.commit_all().pop().expect("a recorded cancel");
    assert_eq!(state.phase, Phase::Canceled);
    let (mut next, worker) = next_leader(state);
    next.answer_poll_running(worker, task);
    assert_eq!(
        next.stops(),
        vec![(worker, task, run)],
        "stopped at the first answer to a poll"
    );
}

/// The stop is sent at once, not after the interval at which stops are repeated.
#[test]
fn handle_running_cancel_not_recorded_before() {
    let (_, task, run) = after_start();
    let state = placed_state("w0", run);
    let (mut next, worker) = next_leader(state);
    next.answer_poll_running(worker, task);
    assert_eq!(
        next.stops(),
        vec![(worker, task, run)],
        "stopped at the first answer to a poll"
    );
}

/// Returns the next leader, which can't read a job, and the job's only task, a run of which an
/// earlier leader started.
fn next_leader_without_state() -> (Harness, WorkerKey, TaskKey) {
    let recovered = Recovered {
        unreadable: vec![JobId::new(1)],
        ..Recovered::default()
    };
    let mut next = Harness::new(recovered, &[]);
    next.list_worker(&workers(1)[0]);
    let worker = next.scheduler.worker_key("w0").expect("a listed worker");
    (next, worker, first_task(JobId::new(1)))
}

#[test]
fn accept_job_unreadable() {
    let (mut next, worker, _) = next_leader_without_state();
    next.answer_poll(worker, Vec::new());
    // The job's client submits it again.
    next.submit(1, vec![step(1)]);
    next.commit_all();
    assert_eq!(next.starts(), vec![]);
}

#[test]
fn handle_running_unreadable_job() {
    let (mut next, worker, task) = next_leader_without_state();
    next.answer_poll_running(worker, task);
    next.submit(2, vec![step(1)]);
    next.commit_all();
    assert_eq!(next.stops(), vec![]);
    assert_eq!(next.starts(), vec![], "its demand is not known");
}

/// The end is not acknowledged: a leader that can read the job needs it.
#[test]
fn handle_end_unreadable_job() {
    let (mut next, worker, task) = next_leader_without_state();
    let ended = vec![end(1, task, 1, EndKind::Done)];
    next.answer_poll(worker, ended);
    next.submit(2, vec![step(1)]);
    next.commit_all();
    let forgets =
        |action: &Action| matches!(action, Action::Hold { last_seen, .. } if *last_seen > 0);
    assert!(!next.actions.iter().any(forgets));
}

/// A worker that lists an end and a run of a job that can't be read is still polled, so that
/// its capacity counts as free once the run is over.
#[test]
fn poll_continues_beside_end_of_unreadable_job() {
    let (mut next, worker, task) = next_leader_without_state();
    let other = TaskKey { index: 1, ..task };
    next.answer_poll_running_and_ended(worker, other, vec![end(1, task, 1, EndKind::Done)]);
    next.actions.clear();
    next.commit_all();
    let is_poll =
        |action: &Action| matches!(action, Action::Hold { to, .. } if to.worker == worker);
    assert!(next.actions.iter().any(is_poll), "it is never polled again");
}
