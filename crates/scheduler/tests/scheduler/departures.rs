//! Planned departures of workers: runs that would be lost are stopped before and resume
//! elsewhere.

use crate::support::harness::{end, workers, Harness};
use crate::support::step;
use crate::support::worker::FakeWorker;
use ospreywing_scheduler::{
    Action, EndKind, EndedRun, Event, Recovered, StepSpec, TaskKey, WorkerChange, WorkerKey,
};
use ospreywing_types::Duration;
use rstest::rstest;

type Start = (WorkerKey, TaskKey, u32);

fn saving(tasks_count: u32) -> StepSpec {
    StepSpec {
        saves_progress: true,
        ..long(tasks_count)
    }
}

/// Returns a step whose tasks take ten seconds by their estimate.
fn long(tasks_count: u32) -> StepSpec {
    StepSpec {
        estimate_ms: 10_000,
        ..step(tasks_count)
    }
}

fn gang(spec: StepSpec) -> StepSpec {
    StepSpec {
        is_gang: true,
        ..spec
    }
}

fn start_step(harness: &mut Harness, spec: StepSpec) -> Vec<Start> {
    harness.submit(1, vec![spec]);
    harness.commit_all();
    let starts = harness.starts();
    for start in &starts {
        harness.answer_started(*start);
    }
    starts
}

/// Lists a worker with an entry that it departs after this time.
fn list_departure(harness: &mut Harness, worker: &FakeWorker, after_ms: u64) {
    let mut departing = FakeWorker::new(&worker.id, 1000);
    departing.is_draining = true;
    // These workers' clocks show the harness's time.
    departing.departs_at_clock_ms = Some(harness.now.as_ms() + after_ms);
    let change = WorkerChange::Listed(departing.facts());
    harness.handle(Event::WorkersChanged(vec![change]));
}

fn wait(harness: &mut Harness, duration_ms: u64) {
    for _ in 0..duration_ms / 100 {
        harness.now = harness.now + Duration::from_ms(100);
        harness.handle(Event::Tick);
    }
}

fn stops_after(harness: &mut Harness, duration_ms: u64) -> usize {
    wait(harness, duration_ms);
    harness.stops().len()
}

/// A run that saves checkpoints loses nothing if it is stopped just before its worker departs.
#[test]
fn stop_before_departures_saving_run() {
    let listed = workers(1);
    let mut harness = Harness::new(Recovered::default(), &listed);
    start_step(&mut harness, saving(1));
    list_departure(&mut harness, &listed[0], 5000);
    assert_eq!(stops_after(&mut harness, 3000), 0, "it keeps running");
    assert_eq!(
        stops_after(&mut harness, 1000),
        1,
        "early enough to end in time"
    );
}

/// A run that saves no checkpoints would lose all further work, so it is stopped at once.
#[test]
fn stop_before_departures_run_without_checkpoints() {
    let listed = workers(1);
    let mut harness = Harness::new(Recovered::default(), &listed);
    start_step(&mut harness, long(1));
    list_departure(&mut harness, &listed[0], 5000);
    assert_eq!(stops_after(&mut harness, 200), 1);
}

/// A run that ends in time by its progress is not stopped, whatever its estimate.
#[rstest]
#[case::ends_in_time(60, 0)]
#[case::too_slow(20, 1)]
fn stop_before_departures_by_pace(#[case] percent: u32, #[case] stops_count: usize) {
    let listed = workers(1);
    let mut harness = Harness::new(Recovered::default(), &listed);
    let starts = start_step(&mut harness, long(1));
    wait(&mut harness, 3000);
    harness.answer_polls_with_progress(&starts, percent);
    list_departure(&mut harness, &listed[0], 4000);
    assert_eq!(stops_after(&mut harness, 200), stops_count);
}

#[test]
fn stop_before_departures_short_run() {
    let listed = workers(1);
    let mut harness = Harness::new(Recovered::default(), &listed);
    start_step(&mut harness, step(2));
    list_departure(&mut harness, &listed[0], 5000);
    assert_eq!(stops_after(&mut harness, 500), 0, "it ends in time");
}

/// The members of a gang are stopped together: if one ends alone, the others break off.
#[test]
fn stop_before_departures_gang() {
    let listed = workers(3);
    let mut harness = Harness::new(Recovered::default(), &listed);
    let starts = start_step(&mut harness, gang(saving(5)));
    assert_eq!(starts.len(), 5);
    list_departure(&mut harness, &listed[0], 5000);
    assert_eq!(stops_after(&mut harness, 3000), 0);
    assert_eq!(stops_after(&mut harness, 1000), 5);
}

/// A member that was broken off lists an older checkpoint than one that was stopped.
#[test]
fn record_end_gang_stopped_then_broken() {
    let listed = workers(3);
    let mut harness = Harness::new(Recovered::default(), &listed);
    let starts = start_step(&mut harness, gang(saving(5)));
    list_departure(&mut harness, &listed[0], 1000);
    assert_eq!(stops_after(&mut harness, 200), 5);
    for (number, (worker, task, run)) in starts.iter().enumerate() {
        let kind = if number == 0 {
            EndKind::Stopped
        } else {
            EndKind::Broken
        };
        let ended = EndedRun {
            checkpoint: Some(format!("{kind:?}")),
            ..end(number as u64 + 1, *task, *run, kind)
        };
        harness.answer_poll(*worker, vec![ended]);
    }
    harness.commit_all();
    let again = harness.actions.iter().filter_map(|action| match action {
        Action::Start { order, .. } => Some(order.checkpoint.clone()),
        _ => None,
    });
    let checkpoints: Vec<Option<String>> = again.collect();
    // Two of three workers hold four tasks: the gang waits until another worker joins.
    assert!(checkpoints.is_empty());
    let joined = FakeWorker::new("w9", 1000);
    let change = WorkerChange::Listed(joined.facts());
    harness.handle(Event::WorkersChanged(vec![change]));
    let key = harness.scheduler.worker_key("w9").expect("it has joined");
    harness.answer_poll(key, Vec::new());
    harness.commit_all();
    let again = harness.actions.iter().filter_map(|action| match action {
        Action::Start { order, .. } => order.checkpoint.clone(),
        _ => None,
    });
    let checkpoints: Vec<String> = again.collect();
    assert_eq!(checkpoints, vec!["Stopped".to_owned(); 5]);
}

/// A run that was placed on a worker before its departure was announced is not sent there.
#[test]
fn send_start_worker_departing() {
    let listed = workers(1);
    let mut harness = Harness::new(Recovered::default(), &listed);
    harness.submit(1, vec![step(1)]);
    list_departure(&mut harness, &listed[0], 5000);
    harness.commit_all();
    assert_eq!(harness.starts(), Vec::new());
}
