//! Workers whose capacity changes while runs are on them.

use crate::support::harness::{workers, Harness};
use crate::support::step;
use crate::support::worker::FakeWorker;
use ospreywing_scheduler::{Event, Recovered, StartReply, TaskKey, WorkerKey};

/// Lists `count` workers, the first of which is reduced to `per_mille` of its capacity.
fn list_workers_resized(harness: &mut Harness, count: usize, per_mille: u32) {
    let mut listed: Vec<FakeWorker> = workers(count);
    listed[0].resize(harness.now.as_ms(), per_mille);
    harness.list_workers(&listed);
}

fn submit_to_one_worker(tasks_count: u32) -> Harness {
    let mut harness = Harness::new(Recovered::default(), &workers(1));
    harness.submit(1, vec![step(tasks_count)]);
    harness
}

fn starts_after_commit(harness: &mut Harness) -> Vec<(WorkerKey, TaskKey, u32)> {
    harness.commit_all();
    harness.starts()
}

/// A start is checked against the capacity at the time it is sent: its record takes a while to
/// reach the store.
#[test]
fn send_start_capacity_shrank() {
    let mut harness = submit_to_one_worker(2);
    list_workers_resized(&mut harness, 1, 500);
    assert_eq!(starts_after_commit(&mut harness).len(), 1, "one fits");
    list_workers_resized(&mut harness, 1, 1000);
    assert_eq!(
        starts_after_commit(&mut harness).len(),
        1,
        "the other, later"
    );
}

/// Runs on a worker whose capacity shrank below them keep running, and no other run is placed
/// there.
#[test]
fn list_workers_capacity_below_running() {
    let mut harness = submit_to_one_worker(2);
    for start in starts_after_commit(&mut harness) {
        harness.answer_started(start);
    }
    list_workers_resized(&mut harness, 1, 250);
    harness.submit(2, vec![step(1)]);
    assert_eq!(starts_after_commit(&mut harness), Vec::new());
    assert_eq!(harness.stops(), Vec::new());
}

/// An unanswered start may not have arrived. Sent again, it could begin on a worker whose
/// capacity no longer suffices, so it is stopped instead.
#[test]
fn on_start_answered_capacity_shrank() {
    let mut harness = submit_to_one_worker(2);
    let starts = starts_after_commit(&mut harness);
    list_workers_resized(&mut harness, 1, 250);
    let (worker, task, run) = starts[0];
    let reply = StartReply::Unanswered;
    harness.handle(Event::StartAnswered {
        worker,
        task,
        run,
        reply,
    });
    assert_eq!(harness.starts(), Vec::new(), "not sent again");
    assert_eq!(harness.stops(), vec![(worker, task, run)]);
}
