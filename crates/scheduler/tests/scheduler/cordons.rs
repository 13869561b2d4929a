//! Cordoned data centres: nothing new starts there, and what runs goes on.

use crate::support::bench::{workers, Bench};
use crate::support::worker::FakeWorker;
use crate::support::{placed_state, step};
use ospreywing_scheduler::{
    Action, DecisionKind, Event, JobId, Recovered, StartReply, StepSpec, TaskKey, WaitReason,
    WorkerKey,
};
use ospreywing_types::Duration;
use std::collections::BTreeSet;
use std::sync::Arc;

/// As long as a wait lasts before it is told, and a little more.
const LONG: Duration = Duration::from_ms(3100);

/// Returns workers that stand in the data centres `a` and `b` by turns.
fn spread_workers(count: usize) -> Vec<FakeWorker> {
    let mut spread = workers(count);
    for (number, worker) in spread.iter_mut().enumerate() {
        worker.data_centre = Arc::from(["a", "b"][number % 2]);
    }
    spread
}

fn cordon(bench: &mut Bench, data_centres: &[&str]) {
    let data_centres: BTreeSet<Arc<str>> = data_centres.iter().map(|it| Arc::from(*it)).collect();
    bench.tell(Event::CordonsListed(data_centres));
}

fn starts_after_commit(bench: &mut Bench) -> Vec<(WorkerKey, TaskKey, u32)> {
    bench.commit_all();
    bench.starts()
}

#[test]
fn place_beside_cordon() {
    let mut bench = Bench::new(Recovered::default(), &spread_workers(2));
    let open = bench.scheduler.worker_key("w1").expect("a worker in b");
    cordon(&mut bench, &["a"]);
    // Each worker holds two.
    bench.submit(1, vec![step(4)]);
    let starts = starts_after_commit(&mut bench);
    assert_eq!(starts.len(), 2);
    assert!(starts.iter().all(|(worker, ..)| *worker == open));
    cordon(&mut bench, &[]);
    assert_eq!(
        starts_after_commit(&mut bench).len(),
        2,
        "the others, later"
    );
}

/// A record takes a while to reach the store; its start is looked at again then.
#[test]
fn send_start_cordoned_since_placed() {
    let mut bench = Bench::new(Recovered::default(), &spread_workers(1));
    bench.submit(1, vec![step(2)]);
    cordon(&mut bench, &["a"]);
    assert_eq!(starts_after_commit(&mut bench), Vec::new());
    cordon(&mut bench, &[]);
    assert_eq!(starts_after_commit(&mut bench).len(), 2);
}

/// An unanswered start may not have arrived; a repeat would be the one that begins the run.
#[test]
fn on_start_answered_cordoned() {
    let mut bench = Bench::new(Recovered::default(), &spread_workers(1));
    bench.submit(1, vec![step(1)]);
    let starts = starts_after_commit(&mut bench);
    cordon(&mut bench, &["a"]);
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

#[test]
fn set_cordons_run_goes_on() {
    let mut bench = Bench::new(Recovered::default(), &spread_workers(1));
    bench.submit(1, vec![step(1)]);
    for start in starts_after_commit(&mut bench) {
        bench.started(start);
    }
    cordon(&mut bench, &["a"]);
    bench.now = bench.now + LONG;
    bench.tell(Event::Tick);
    assert_eq!(bench.stops(), Vec::new());
    let is_renewal =
        |action: &Action| matches!(action, Action::Hold { until_ms, .. } if until_ms.is_some());
    assert!(bench.actions.iter().any(is_renewal), "its lease is renewed");
}

/// A term begins with the cordons that the store kept.
#[test]
fn new_term_cordoned() {
    let recovered = Recovered {
        cordons: [Arc::from("a")].into(),
        ..Recovered::default()
    };
    let mut bench = Bench::new(recovered, &spread_workers(2));
    let open = bench.scheduler.worker_key("w1").expect("a worker in b");
    bench.submit(1, vec![step(4)]);
    let starts = starts_after_commit(&mut bench);
    assert_eq!(starts.len(), 2);
    assert!(starts.iter().all(|(worker, ..)| *worker == open));
}

/// What an earlier leader recorded and did not send is placed anew elsewhere.
#[test]
fn inherited_start_cordoned() {
    let (job, record) = crate::support::job(1, vec![step(1)]);
    let recovered = Recovered {
        jobs: vec![(job, record)],
        states: vec![(job, placed_state("w0", 1))],
        cordons: [Arc::from("a")].into(),
        ..Recovered::default()
    };
    let mut bench = Bench::new(recovered, &spread_workers(2));
    let open = bench.scheduler.worker_key("w1").expect("a worker in b");
    bench.stops();
    bench.list(
        bench.scheduler.worker_key("w0").expect("listed"),
        Vec::new(),
    );
    let starts = starts_after_commit(&mut bench);
    assert!(
        starts.iter().all(|(worker, ..)| *worker == open),
        "{starts:?}"
    );
}

#[test]
fn place_starts_held() {
    let mut bench = Bench::new(Recovered::default(), &spread_workers(2));
    bench.submit(1, vec![step(1)]);
    bench.tell(Event::StartsPaused(true));
    bench.submit(2, vec![step(1)]);
    assert_eq!(starts_after_commit(&mut bench), Vec::new());
    bench.tell(Event::StartsPaused(false));
    assert_eq!(starts_after_commit(&mut bench).len(), 2);
}

#[test]
fn step_waits_for_cordon() {
    let mut bench = Bench::new(Recovered::default(), &spread_workers(1));
    cordon(&mut bench, &["a"]);
    bench.submit(1, vec![step(1)]);
    for _ in 0..32 {
        bench.now = bench.now + Duration::from_ms(100);
        bench.tell(Event::Tick);
    }
    let status = bench.scheduler.status(bench.now);
    assert_eq!(status.waits[WaitReason::Cordon as usize].steps_count, 1);
    assert_eq!(status.cordons_count, 1);
    let is_told = |action: &Action| match action {
        Action::Log(line) => {
            line.kind == DecisionKind::StepWaits && line.reason == WaitReason::Cordon.as_str()
        }
        _ => false,
    };
    assert!(bench.actions.iter().any(is_told));
}

/// All members of a gang start together or not at all.
#[test]
fn send_start_gang_cordoned_since_placed() {
    let mut bench = Bench::new(Recovered::default(), &spread_workers(4));
    let gang = StepSpec {
        is_gang: true,
        ..step(8)
    };
    bench.submit(1, vec![gang]);
    cordon(&mut bench, &["a"]);
    let starts = starts_after_commit(&mut bench);
    let in_a: Vec<WorkerKey> = ["w0", "w2"]
        .iter()
        .filter_map(|id| bench.scheduler.worker_key(id))
        .collect();
    assert!(starts.iter().all(|(worker, ..)| !in_a.contains(worker)));
    let job = bench.scheduler.job(JobId::new(1));
    assert!(job.is_some(), "the gang waits");
}
