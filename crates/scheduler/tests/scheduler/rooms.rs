//! Workers whose room changes while work is there.

use crate::support::bench::{workers, Bench};
use crate::support::step;
use crate::support::worker::FakeWorker;
use ospreywing_scheduler::{Event, Recovered, StartReply, TaskKey, WorkerKey};

/// Lists the workers, the first of which has so many thousandths of its room left.
fn list_resized(bench: &mut Bench, count: usize, per_mille: u32) {
    let mut listed: Vec<FakeWorker> = workers(count);
    listed[0].resize(bench.now.as_ms(), per_mille);
    bench.list_workers(&listed);
}

fn submit_to_one_worker(tasks_count: u32) -> Bench {
    let mut bench = Bench::new(Recovered::default(), &workers(1));
    bench.submit(1, vec![step(tasks_count)]);
    bench
}

fn starts_after_commit(bench: &mut Bench) -> Vec<(WorkerKey, TaskKey, u32)> {
    bench.commit_all();
    bench.starts()
}

/// A start is checked against the room as it is when it is sent: the record takes a
/// while to reach the store.
#[test]
fn send_start_room_shrank() {
    let mut bench = submit_to_one_worker(2);
    list_resized(&mut bench, 1, 500);
    assert_eq!(starts_after_commit(&mut bench).len(), 1, "one fits");
    list_resized(&mut bench, 1, 1000);
    assert_eq!(starts_after_commit(&mut bench).len(), 1, "the other, later");
}

/// What runs on a worker whose room shrank below it runs on, and nothing joins it.
#[test]
fn list_workers_room_below_what_runs() {
    let mut bench = submit_to_one_worker(2);
    for start in starts_after_commit(&mut bench) {
        bench.started(start);
    }
    list_resized(&mut bench, 1, 250);
    bench.submit(2, vec![step(1)]);
    assert_eq!(starts_after_commit(&mut bench), Vec::new());
    assert_eq!(bench.stops(), Vec::new());
}

/// An unanswered start may not have arrived: sent again, it could begin beside more than
/// the worker now holds. It is stopped instead.
#[test]
fn on_start_answered_room_shrank() {
    let mut bench = submit_to_one_worker(2);
    let starts = starts_after_commit(&mut bench);
    list_resized(&mut bench, 1, 250);
    let (worker, task, run) = starts[0];
    let reply = StartReply::Unanswered;
    bench.tell(Event::StartAnswered {
        worker,
        task,
        run,
        reply,
    });
    assert_eq!(bench.starts(), Vec::new(), "not sent again");
    assert_eq!(bench.stops(), vec![(worker, task, run)]);
}
