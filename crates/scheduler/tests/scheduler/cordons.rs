//! Cordoned data centres: no run starts there, and those that run there keep running.

use crate::support::harness::{workers, Harness};
use crate::support::worker::FakeWorker;
use crate::support::{placed_state, step};
use ospreywing_scheduler::{
    Action, DecisionKind, Event, JobId, Recovered, StartReply, StepSpec, TaskKey, WaitReason,
    WorkerKey,
};
use ospreywing_types::Duration;
use std::collections::BTreeSet;
use std::sync::Arc;

/// A little longer than a wait lasts before it is logged.
const LOGGED_AFTER: Duration = Duration::from_ms(3100);

/// Returns workers that are alternately in the data centres `a` and `b`.
fn spread_workers(count: usize) -> Vec<FakeWorker> {
    let mut spread = workers(count);
    for (number, worker) in spread.iter_mut().enumerate() {
        worker.data_centre = Arc::from(["a", "b"][number % 2]);
    }
    spread
}

fn cordon(harness: &mut Harness, data_centres: &[&str]) {
    let data_centres: BTreeSet<Arc<str>> = data_centres.iter().map(|it| Arc::from(*it)).collect();
    harness.handle(Event::CordonsListed(data_centres));
}

fn starts_after_commit(harness: &mut Harness) -> Vec<(WorkerKey, TaskKey, u32)> {
    harness.commit_all();
    harness.starts()
}

#[test]
fn place_beside_cordon() {
    let mut harness = Harness::new(Recovered::default(), &spread_workers(2));
    let open = harness.scheduler.worker_key("w1").expect("a worker in b");
    cordon(&mut harness, &["a"]);
    // Each worker holds two tasks.
    harness.submit(1, vec![step(4)]);
    let starts = starts_after_commit(&mut harness);
    assert_eq!(starts.len(), 2);
    assert!(starts.iter().all(|(worker, ..)| *worker == open));
    cordon(&mut harness, &[]);
    assert_eq!(
        starts_after_commit(&mut harness).len(),
        2,
        "the others start once the cordon is lifted"
    );
}

/// Storing the record of a start takes a while, so cordons are checked again before it is sent.
#[test]
fn send_start_cordoned_after_placement() {
    let mut harness = Harness::new(Recovered::default(), &spread_workers(1));
    harness.submit(1, vec![step(2)]);
    cordon(&mut harness, &["a"]);
    assert_eq!(starts_after_commit(&mut harness), Vec::new());
    cordon(&mut harness, &[]);
    assert_eq!(starts_after_commit(&mut harness).len(), 2);
}

/// An unanswered start may not have arrived, and its repeat would begin the run.
#[test]
fn on_start_answered_cordoned() {
    let mut harness = Harness::new(Recovered::default(), &spread_workers(1));
    harness.submit(1, vec![step(1)]);
    let starts = starts_after_commit(&mut harness);
    cordon(&mut harness, &["a"]);
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

#[test]
fn set_cordons_run_continues() {
    let mut harness = Harness::new(Recovered::default(), &spread_workers(1));
    harness.submit(1, vec![step(1)]);
    for start in starts_after_commit(&mut harness) {
        harness.answer_started(start);
    }
    cordon(&mut harness, &["a"]);
    harness.now = harness.now + LOGGED_AFTER;
    harness.handle(Event::Tick);
    assert_eq!(harness.stops(), Vec::new());
    let is_renewal =
        |action: &Action| matches!(action, Action::Hold { until_ms, .. } if until_ms.is_some());
    assert!(
        harness.actions.iter().any(is_renewal),
        "its lease is renewed"
    );
}

/// A new term begins with the stored cordons.
#[test]
fn new_term_cordoned() {
    let recovered = Recovered {
        cordons: [Arc::from("a")].into(),
        ..Recovered::default()
    };
    let mut harness = Harness::new(recovered, &spread_workers(2));
    let open = harness.scheduler.worker_key("w1").expect("a worker in b");
    harness.submit(1, vec![step(4)]);
    let starts = starts_after_commit(&mut harness);
    assert_eq!(starts.len(), 2);
    assert!(starts.iter().all(|(worker, ..)| *worker == open));
}

/// A start that an earlier leader recorded and did not send is placed elsewhere.
#[test]
fn recovered_start_cordoned() {
    let (job, record) = crate::support::job(1, vec![step(1)]);
    let recovered = Recovered {
        jobs: vec![(job, record)],
        states: vec![(job, placed_state("w0", 1))],
        cordons: [Arc::from("a")].into(),
        ..Recovered::default()
    };
    let mut harness = Harness::new(recovered, &spread_workers(2));
    let open = harness.scheduler.worker_key("w1").expect("a worker in b");
    harness.stops();
    harness.answer_poll(
        harness.scheduler.worker_key("w0").expect("listed"),
        Vec::new(),
    );
    let starts = starts_after_commit(&mut harness);
    assert!(
        starts.iter().all(|(worker, ..)| *worker == open),
        "{starts:?}"
    );
}

#[test]
fn place_while_starts_paused() {
    let mut harness = Harness::new(Recovered::default(), &spread_workers(2));
    harness.submit(1, vec![step(1)]);
    harness.handle(Event::StartsPaused(true));
    harness.submit(2, vec![step(1)]);
    assert_eq!(starts_after_commit(&mut harness), Vec::new());
    harness.handle(Event::StartsPaused(false));
    assert_eq!(starts_after_commit(&mut harness).len(), 2);
}

#[test]
fn step_waits_for_cordon() {
    let mut harness = Harness::new(Recovered::default(), &spread_workers(1));
    cordon(&mut harness, &["a"]);
    harness.submit(1, vec![step(1)]);
    for _ in 0..32 {
        harness.now = harness.now + Duration::from_ms(100);
        harness.handle(Event::Tick);
    }
    let status = harness.scheduler.status(harness.now);
    assert_eq!(status.waits[WaitReason::Cordon as usize].steps_count, 1);
    assert_eq!(status.cordons_count, 1);
    let is_logged = |action: &Action| match action {
        Action::Log(line) => {
            line.kind == DecisionKind::StepWaits && line.reason == WaitReason::Cordon.as_str()
        }
        _ => false,
    };
    assert!(harness.actions.iter().any(is_logged));
}

/// The members of a gang start together or not at all.
#[test]
fn send_start_gang_cordoned_after_placement() {
    let mut harness = Harness::new(Recovered::default(), &spread_workers(4));
    let gang = StepSpec {
        is_gang: true,
        ..step(8)
    };
    harness.submit(1, vec![gang]);
    cordon(&mut harness, &["a"]);
    let starts = starts_after_commit(&mut harness);
    let in_a: Vec<WorkerKey> = ["w0", "w2"]
        .iter()
        .filter_map(|id| harness.scheduler.worker_key(id))
        .collect();
    assert!(starts.iter().all(|(worker, ..)| !in_a.contains(worker)));
    let job = harness.scheduler.job(JobId::new(1));
    assert!(job.is_some(), "the gang waits");
}
