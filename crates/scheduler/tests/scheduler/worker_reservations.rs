//! Steps that wait for capacity on workers known to be suitable, which is reserved for them.

use crate::support::harness::{end, workers, Harness};
use crate::support::{advice, deferrable_job, step};
use ospreywing_scheduler::{EndKind, Event, JobId, Recovered, StepSpec, TaskKey, WorkerKey};
use ospreywing_types::{Duration, Resources};

/// The number of workers in these tests.
const WORKERS_COUNT: usize = 6;
/// The number of the job whose task fills a worker.
const LARGE_JOB: u64 = 99;

/// Returns a step of one task that fills a worker.
fn filling_step() -> StepSpec {
    StepSpec {
        demand: Resources::new(4000, 2000, 0),
        estimate_ms: 20_000,
        ..step(1)
    }
}

/// Returns a harness whose workers are filled by tasks of a deferrable job at this progress,
/// and the starts of these.
fn full_workers(progress_percent: u32) -> (Harness, Vec<(WorkerKey, TaskKey, u32)>) {
    let mut harness = Harness::with_advice(
        Recovered::default(),
        &workers(WORKERS_COUNT),
        Some(advice()),
    );
    let nodes = (0..4).map(|number| format!("n{number}").into());
    harness.handle(Event::NodesListed(nodes.collect()));
    harness.submit_job(deferrable_job(1, 2 * WORKERS_COUNT as u32));
    let ids: Vec<String> = (0..WORKERS_COUNT)
        .map(|number| format!("w{number}"))
        .collect();
    let suitable: Vec<&str> = ids.iter().map(String::as_str).collect();
    harness.answer_advice_requests(&suitable);
    harness.commit_all();
    let starts = harness.starts();
    assert_eq!(starts.len(), 2 * WORKERS_COUNT);
    for start in &starts {
        harness.answer_started(*start);
    }
    harness.answer_polls_with_progress(&starts, progress_percent);
    (harness, starts)
}

fn tick(harness: &mut Harness, suitable: &[&str]) -> Vec<usize> {
    harness.now = harness.now + Duration::from_ms(20);
    harness.handle(Event::Tick);
    harness.answer_advice_requests(suitable)
}

/// A task that needs a whole worker once asked only about workers with free capacity, one at a
/// time, and never began.
#[test]
fn request_advice_for_tasks_about_all_workers_at_once() {
    let (mut harness, _) = full_workers(80);
    harness.submit(LARGE_JOB, vec![filling_step()]);
    let queried: usize = harness.answer_advice_requests(&["w4"]).into_iter().sum();
    assert_eq!(queried, WORKERS_COUNT, "also those without free capacity");
}

#[test]
fn reserve_expected_capacity_on_suitable_worker() {
    let (mut harness, starts) = full_workers(80);
    harness.submit(LARGE_JOB, vec![filling_step()]);
    harness.answer_advice_requests(&["w4"]);
    // One half of the suitable worker is free, and a small task could use it.
    let w4 = harness.scheduler.worker_key("w4").expect("a listed worker");
    let mut on_w4 = starts.iter().filter(|(worker, ..)| *worker == w4);
    let (_, first, run) = *on_w4.next().expect("a run");
    let (_, second, second_run) = *on_w4.next().expect("another run");
    harness.answer_poll(w4, vec![end(1, first, run, EndKind::Done)]);
    harness.submit_job(deferrable_job(2, 1));
    for _ in 0..5 {
        tick(&mut harness, &["w4"]);
    }
    harness.commit_all();
    assert_eq!(harness.starts(), vec![], "the capacity is reserved");
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
fn preempt_for_tasks_runs_that_lose_little() {
    let (mut harness, _) = full_workers(10);
    harness.submit(LARGE_JOB, vec![filling_step()]);
    harness.answer_advice_requests(&["w4"]);
    tick(&mut harness, &["w4"]);
    let w4 = harness.scheduler.worker_key("w4").expect("a listed worker");
    let stops = harness.stops();
    assert_eq!(stops.len(), 2, "both runs of the suitable worker");
    assert!(stops.iter().all(|(worker, ..)| *worker == w4));
}

#[test]
fn preempt_for_tasks_runs_nearly_done() {
    let (mut harness, _) = full_workers(80);
    harness.submit(LARGE_JOB, vec![filling_step()]);
    harness.answer_advice_requests(&["w4"]);
    tick(&mut harness, &["w4"]);
    assert_eq!(harness.stops(), vec![]);
}
