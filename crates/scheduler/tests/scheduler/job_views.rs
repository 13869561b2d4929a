//! Which jobs are told to wait.

use crate::support::harness::{end, workers, Harness};
use crate::support::{job, step, QUEUE};
use ospreywing_scheduler::{EndKind, Event, JobId, Phase, Recovered, StepKey, TaskKey};
use ospreywing_types::Duration;

/// Returns a term that begins where an earlier leader recorded a start, and the
/// task.
fn after_recorded_start() -> (Harness, TaskKey) {
    let (id, record) = job(1, vec![step(1)]);
    let mut harness = Harness::new(Recovered::default(), &workers(1));
    harness.submit(1, vec![step(1)]);
    let state = harness.commit_all().pop().expect("a recorded start");
    let kept = Recovered {
        jobs: vec![(id, record)],
        states: vec![(id, state)],
        ..Recovered::default()
    };
    // Without a worker the run can't be asked for, so it stays in doubt.
    let next = Harness::new(kept, &[]);
    let step = StepKey {
        job: id,
        round: 0,
        step: 0,
    };
    (next, step.task(0))
}

/// Found on bluemahoe-ops trouble-2: after a takeover beside a slow store many
/// starts were recorded and never sent, and their jobs counted as begun.
#[test]
fn pending_count_start_never_sent() {
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

/// Found by the soak, seed 8019: the store had a job's outcome and its answer was lost.
/// A node that read the store showed `canceled`, and the leader, which shows an outcome
/// once it knows that it is stored, showed `queued` 30 ms later. While such a commit is
/// open the leader does not know.
#[test]
fn job_outcome_on_its_way() {
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
