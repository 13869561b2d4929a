//! Steps that wait for room on workers known to be good.

use crate::support::harness::{end, workers, Harness};
use crate::support::{advice, low_priority_job, step};
use ospreywing_scheduler::{EndKind, Event, JobId, Recovered, StepSpec, TaskKey, WorkerKey};
use ospreywing_types::{Duration, Resources};

/// The workers of these tests.
const WORKERS_COUNT: usize = 6;
/// The job that fills a worker.
const LARGE_JOB: u64 = 99;

/// Returns the step of one task that fills a worker.
fn filling_step() -> StepSpec {
    StepSpec {
        demand: Resources::new(4000, 2000, 0),
        estimate_ms: 20_000,
        ..step(1)
    }
}

/// Returns a scheduler whose workers are filled by a patient job's tasks that are
/// so far on, and the starts of these.
fn full_workers(progress_percent: u32) -> (Harness, Vec<(WorkerKey, TaskKey, u32)>) {
    let mut harness = Harness::with_advice(
        Recovered::default(),
        &workers(WORKERS_COUNT),
        Some(advice()),
    );
    let nodes = (0..4).map(|number| format!("n{number}").into());
    harness.handle(Event::NodesListed(nodes.collect()));
    harness.submit_job(low_priority_job(1, 2 * WORKERS_COUNT as u32));
    let ids: Vec<String> = (0..WORKERS_COUNT)
        .map(|number| format!("w{number}"))
        .collect();
    let good: Vec<&str> = ids.iter().map(String::as_str).collect();
    harness.answer_advice_requests(&good);
    harness.commit_all();
    let starts = harness.starts();
    assert_eq!(starts.len(), 2 * WORKERS_COUNT);
    for start in &starts {
        harness.answer_started(*start);
    }
    harness.answer_polls_with_progress(&starts, progress_percent);
    (harness, starts)
}

fn tick(harness: &mut Harness, good: &[&str]) -> Vec<usize> {
    harness.now = harness.now + Duration::from_ms(20);
    harness.handle(Event::Tick);
    harness.answer_advice_requests(good)
}

/// Found on bluemahoe-ops trouble-1 and scale-1: a task that needs a whole worker
/// asked about one worker with room at a time, and never began.
#[test]
fn seek_for_tasks_learns_of_all_workers_at_once() {
    let (mut harness, _) = full_workers(80);
    harness.submit(LARGE_JOB, vec![filling_step()]);
    let named: usize = harness.answer_advice_requests(&["w4"]).into_iter().sum();
    assert_eq!(named, WORKERS_COUNT, "also those without room");
}

#[test]
fn await_workers_keeps_later_work_off() {
    let (mut harness, starts) = full_workers(80);
    harness.submit(LARGE_JOB, vec![filling_step()]);
    harness.answer_advice_requests(&["w4"]);
    // One half of the good worker is free, and something small wants it.
    let w4 = harness.scheduler.worker_key("w4").expect("a listed worker");
    let mut on_w4 = starts.iter().filter(|(worker, ..)| *worker == w4);
    let (_, first, run) = *on_w4.next().expect("a run");
    let (_, second, second_run) = *on_w4.next().expect("another run");
    harness.answer_poll(w4, vec![end(1, first, run, EndKind::Done)]);
    harness.submit_job(low_priority_job(2, 1));
    for _ in 0..5 {
        tick(&mut harness, &["w4"]);
    }
    harness.commit_all();
    assert_eq!(harness.starts(), vec![], "the room is kept");
    harness.answer_poll(w4, vec![end(2, second, second_run, EndKind::Done)]);
    for _ in 0..5 {
        tick(&mut harness, &["w4"]);
    }
    harness.commit_all();
    let starts = harness.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].0, w4);
    assert_eq!(starts[0].1.step.job, JobId::new(LARGE_JOB));
}

#[test]
fn preempt_for_tasks_stops_what_loses_little() {
    let (mut harness, _) = full_workers(10);
    harness.submit(LARGE_JOB, vec![filling_step()]);
    harness.answer_advice_requests(&["w4"]);
    tick(&mut harness, &["w4"]);
    let w4 = harness.scheduler.worker_key("w4").expect("a listed worker");
    let stops = harness.stops();
    assert_eq!(stops.len(), 2, "both runs of the good worker");
    assert!(stops.iter().all(|(worker, ..)| *worker == w4));
}

#[test]
fn preempt_for_tasks_spares_what_is_nearly_done() {
    let (mut harness, _) = full_workers(80);
    harness.submit(LARGE_JOB, vec![filling_step()]);
    harness.answer_advice_requests(&["w4"]);
    tick(&mut harness, &["w4"]);
    assert_eq!(harness.stops(), vec![]);
}
