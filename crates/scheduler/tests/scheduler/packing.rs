//! Placement of tasks that need more than cores and memory.

use crate::support::harness::Harness;
use crate::support::step;
use crate::support::worker::FakeWorker;
use ospreywing_scheduler::{Recovered, StepSpec};
use ospreywing_types::Resources;

const WITH_ACCELERATORS: Resources = Resources::new(128_000, 524_288, 8);
const WITHOUT_ACCELERATORS: Resources = Resources::new(128_000, 524_288, 0);
const LARGE: Resources = Resources::new(62_000, 133_120, 8);
const SMALL: Resources = Resources::new(11_000, 32_768, 1);

fn harness(capacities: &[Resources]) -> Harness {
    let workers = capacities.iter().enumerate().map(|(number, capacity)| {
        let mut worker = FakeWorker::new(&format!("w{number}"), 1000);
        worker.set_capacity(*capacity);
        worker
    });
    let workers: Vec<FakeWorker> = workers.collect();
    Harness::new(Recovered::default(), &workers)
}

fn tasks(tasks_count: u32, demand: Resources) -> Vec<StepSpec> {
    vec![StepSpec {
        demand,
        ..step(tasks_count)
    }]
}

/// Submits a job and returns the workers that start its tasks.
fn start(harness: &mut Harness, number: u64, tasks_count: u32, demand: Resources) -> Vec<String> {
    harness.submit(number, tasks(tasks_count, demand));
    harness.commit_all();
    let starts = harness.starts();
    for start in &starts {
        harness.answer_started(*start);
    }
    let listed: Vec<_> = harness.scheduler.listed_workers().collect();
    let id_of = |key| listed.iter().find(|(other, _)| *other == key);
    let ids = starts.iter().map(|(key, ..)| id_of(*key));
    ids.map(|found| found.expect("a listed worker").1.id.to_string())
        .collect()
}

/// A task that needs no accelerator goes to a worker without any, though a worker with
/// accelerators has less free capacity.
#[test]
fn candidates_no_accelerator_needed() {
    let with_accelerators = Resources::new(64_000, 524_288, 8);
    let mut harness = harness(&[with_accelerators, WITHOUT_ACCELERATORS]);
    let plain = Resources::new(30_000, 32_768, 0);
    assert_eq!(start(&mut harness, 1, 1, plain), ["w1"]);
}

/// A small task goes where no larger task fits, though another worker has fewer cores.
#[test]
fn candidates_capacity_for_larger_left() {
    let whole = Resources::new(64_000, 524_288, 8);
    let partly_used = Resources::new(117_000, 524_288, 7);
    let mut harness = harness(&[whole, partly_used]);
    // A larger task was submitted and cancelled.
    harness.submit(1, tasks(1, LARGE));
    harness.cancel(1);
    assert_eq!(start(&mut harness, 2, 1, SMALL), ["w1"]);
}

/// While less than half of a service is in use, every task that fits starts, even on empty
/// workers.
#[test]
fn place_small_little_used() {
    let mut harness = harness(&[WITH_ACCELERATORS; 8]);
    harness.submit(1, tasks(8, LARGE));
    harness.cancel(1);
    assert_eq!(start(&mut harness, 2, 64, SMALL).len(), 64);
}

/// A task that needs nothing starts, and no capacity is kept for its shape.
#[test]
fn place_nothing_needed() {
    let mut harness = harness(&[WITH_ACCELERATORS, WITHOUT_ACCELERATORS]);
    assert_eq!(start(&mut harness, 1, 1, LARGE), ["w0"]);
    assert_eq!(start(&mut harness, 2, 1, Resources::ZERO).len(), 1);
    assert_eq!(start(&mut harness, 3, 1, SMALL), Vec::<String>::new());
}

/// The number of recorded shapes is bounded, however many are submitted; the verifier checks
/// it.
#[test]
fn accept_job_many_shapes() {
    let mut harness = harness(&[WITH_ACCELERATORS]);
    for number in 1..=60 {
        let cores_milli = 1 << (number % 15);
        let accelerators_count = 1 << (number / 15);
        let demand = Resources::new(cores_milli, 1, accelerators_count);
        harness.submit(number, tasks(1, demand));
    }
    let status = harness.scheduler.status(harness.now);
    assert_eq!(status.fragmentation.len(), 1);
}

/// The status shows the largest of the submitted shapes that still fits, and in what part of
/// the free capacity.
#[test]
fn status_capacity_fragmented() {
    let mut harness = harness(&[WITH_ACCELERATORS; 2]);
    assert_eq!(start(&mut harness, 1, 1, LARGE).len(), 1);
    assert_eq!(start(&mut harness, 2, 4, SMALL).len(), 4);
    let status = harness.scheduler.status(harness.now);
    let fragmentation = &status.fragmentation[0];
    assert_eq!(fragmentation.largest_fit, SMALL);
    assert_eq!(
        (fragmentation.fit_count, fragmentation.usable_percent),
        (4, 0)
    );
}

/// In a service that is half used, small tasks with time to spare leave capacity free for the
/// largest shape; urgent ones use it.
#[test]
fn place_small_half_used() {
    let mut harness = harness(&[WITH_ACCELERATORS; 4]);
    let whole = Resources::new(100_000, 133_120, 8);
    harness.submit(1, tasks(8, whole));
    harness.cancel(1);
    assert_eq!(start(&mut harness, 2, 3, whole).len(), 3);
    let deferrable = StepSpec {
        demand: SMALL,
        estimate_ms: 60_000,
        ..step(1)
    };
    harness.submit(3, vec![deferrable]);
    harness.commit_all();
    assert_eq!(
        harness.starts(),
        Vec::new(),
        "the last empty worker is kept free"
    );
    // Once an urgent task runs on it, no capacity is left to keep free.
    assert_eq!(start(&mut harness, 4, 1, SMALL), ["w3", "w3"]);
}
