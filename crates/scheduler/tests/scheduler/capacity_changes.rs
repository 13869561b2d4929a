//! Workers whose room changes while work is there.

use crate::support::harness::{workers, Harness};
use crate::support::step;
use crate::support::worker::FakeWorker;
use ospreywing_scheduler::{Event, Recovered, StartReply, TaskKey, WorkerKey};

/// Lists the workers, the first of which has so many thousandths of its room left.
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

/// A start is checked against the room as it is when it is sent: the record takes a
/// while to reach the store.
#[test]
fn send_start_room_shrank() {
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

/// What runs on a worker whose room shrank below it runs on, and nothing joins it.
#[test]
fn list_workers_room_below_what_runs() {
    let mut harness = submit_to_one_worker(2);
    for start in starts_after_commit(&mut harness) {
        harness.answer_started(start);
    }
    list_workers_resized(&mut harness, 1, 250);
    harness.submit(2, vec![step(1)]);
    assert_eq!(starts_after_commit(&mut harness), Vec::new());
    assert_eq!(harness.stops(), Vec::new());
}

/// An unanswered start may not have arrived: sent again, it could begin beside more than
/// the worker now holds. It is stopped instead.
#[test]
fn on_start_answered_room_shrank() {
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
