//! What the leader reports of jobs: which count as pending, and whether a phase is settled.

use crate::support::harness::{end, workers, Harness};
use crate::support::{job, step, QUEUE};
use ospreywing_scheduler::{EndKind, Event, JobId, Phase, Recovered, StepKey, TaskKey};
use ospreywing_types::Duration;

/// Returns a term that begins after an earlier leader recorded a start, and the task.
fn after_recorded_start() -> (Harness, TaskKey) {
    let (id, record) = job(1, vec![step(1)]);
    let mut harness = Harness::new(Recovered::default(), &workers(1));
    harness.submit(1, vec![step(1)]);
    let state = harness.commit_all().pop().expect("a recorded start");
    let recovered = Recovered {
        jobs: vec![(id, record)],
        states: vec![(id, state)],
        ..Recovered::default()
    };
    // No worker is listed that could be polled, so it stays unconfirmed whether the run began.
    let next = Harness::new(recovered, &[]);
    let step = StepKey {
        job: id,
        round: 0,
        step: 0,
    };
    (next, step.task(0))
}

/// After a takeover with a slow store many starts were recorded and never sent; their jobs once
/// counted as begun.
#[test]
fn pending_count_start_not_sent() {
    let (harness, _) = after_recorded_start();
    assert_eq!(harness.scheduler.pending_count(QUEUE), 1);
}

#[test]
fn pending_count_run_listed_to_next_leader() {
    let (mut harness, task) = after_recorded_start();
    harness.list_worker(&workers(1)[0]);
    let worker = harness.scheduler.worker_key("w0").expect("a listed worker");
    harness.answer_poll_running(worker, task);
    assert_eq!(harness.scheduler.pending_count(QUEUE), 0);
}

#[test]
fn pending_count_end_listed_to_next_leader() {
    let (mut harness, task) = after_recorded_start();
    harness.list_worker(&workers(1)[0]);
    let worker = harness.scheduler.worker_key("w0").expect("a listed worker");
    harness.answer_poll(worker, vec![end(1, task, 1, EndKind::Stopped)]);
    let view = harness.scheduler.job(JobId::new(1)).expect("a known job");
    assert!(view.has_begun);
}

/// While the commit of an outcome is in flight the leader can't know whether it is stored. Once
/// the store had a job's outcome and its answer was lost: a node that read the store reported
/// `canceled`, and 30 ms later the leader, which reports an outcome only when it knows that it
/// is stored, reported `queued` (soak seed 8019).
#[test]
fn job_outcome_in_flight() {
    let mut harness = Harness::new(Recovered::default(), &workers(1));
    harness.submit(1, vec![step(1)]);
    harness.commit_all();
    let id = JobId::new(1);
    let is_settled = |harness: &Harness| harness.scheduler.job(id).map(|view| view.is_settled);
    assert_eq!(is_settled(&harness), Some(true));
    harness.handle(Event::CancelAccepted { job: id });
    harness.now = harness.now + Duration::from_ms(30);
    harness.handle(Event::Tick);
    assert_eq!(is_settled(&harness), Some(false), "its commit is open");
    harness.answer_commits();
    let view = harness.scheduler.job(id).expect("a known job");
    assert_eq!((view.phase, view.is_settled), (Phase::Canceled, true));
}
