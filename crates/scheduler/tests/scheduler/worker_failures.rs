//! Workers that are avoided after failures, and failures that are the fault of a task.

use super::support::harness::{end, workers, Harness};
use super::support::step;
use ospreywing_scheduler::{EndKind, Event, JobId, Recovered, StepSpec, TaskKey, WorkerKey};
use ospreywing_types::{Duration, Resources};
use rstest::rstest;
use std::collections::BTreeMap;

const WORKERS_COUNT: usize = 6;
const FAILING_JOB: u64 = 1;

/// A cell in which the runs of some jobs, or on some workers, fail.
struct Cell {
    harness: Harness,
    ends_counts: BTreeMap<WorkerKey, u64>,
    /// The starts so far.
    starts: Vec<(WorkerKey, TaskKey)>,
}

impl Cell {
    fn new() -> Self {
        Self {
            harness: Harness::new(Recovered::default(), &workers(WORKERS_COUNT)),
            ends_counts: BTreeMap::new(),
            starts: Vec::new(),
        }
    }

    /// Lets about 0.1 s pass; each run that starts ends at once, as `end_of` says.
    fn pass(&mut self, end_of: impl Fn(WorkerKey, TaskKey) -> EndKind) {
        let harness = &mut self.harness;
        harness.now = harness.now + Duration::from_ms(40);
        harness.handle(Event::Tick);
        harness.answer_commits();
        let mut ended: BTreeMap<WorkerKey, Vec<_>> = BTreeMap::new();
        for start in harness.starts() {
            let (worker, task, run) = start;
            harness.answer_started(start);
            let number = self.ends_counts.entry(worker).or_default();
            *number += 1;
            let end = end(*number, task, run, end_of(worker, task));
            ended.entry(worker).or_default().push(end);
            self.starts.push((worker, task));
        }
        for (worker, ended) in ended {
            harness.answer_poll(worker, ended);
        }
        harness.answer_commits();
    }

    fn placeable_count(&self) -> usize {
        let status = self.harness.scheduler.status(self.harness.now);
        status.placeable_workers_count
    }

    fn starts_of(&self, job: u64) -> usize {
        let starts = self.starts.iter();
        starts
            .filter(|(_, task)| task.step.job == JobId::new(job))
            .count()
    }
}

fn perpetual(tasks_count: u32) -> StepSpec {
    StepSpec {
        demand: Resources::new(500, 100, 0),
        is_perpetual: true,
        ..step(tasks_count)
    }
}

/// Guards against a job whose runs always fail and that has every worker avoided.
#[rstest]
#[case::perpetual_tasks(6)]
#[case::perpetual_task(1)]
fn record_failure_task_fails_everywhere(#[case] tasks_count: u32) {
    let mut cell = Cell::new();
    cell.harness
        .submit(FAILING_JOB, vec![perpetual(tasks_count)]);
    let mut lowest = WORKERS_COUNT;
    for _ in 0..60 {
        cell.pass(|_, _| EndKind::Failed);
        lowest = lowest.min(cell.placeable_count());
    }
    assert!(cell.starts_of(FAILING_JOB) > 30, "it is started again");
    assert!(
        lowest >= WORKERS_COUNT - 1,
        "{lowest} workers accepted runs"
    );
}

/// A worker on which everything fails is found, beside a job whose runs fail everywhere.
#[rstest]
#[case::alone(false)]
#[case::beside_failing_job(true)]
fn record_failure_worker_fails_everything(#[case] has_failing_job: bool) {
    let mut cell = Cell::new();
    let bad = cell.harness.scheduler.worker_key("w0").expect("a worker");
    let failing = JobId::new(FAILING_JOB);
    let end_of = |worker: WorkerKey, task: TaskKey| {
        if worker == bad || task.step.job == failing {
            EndKind::Failed
        } else {
            EndKind::Done
        }
    };
    if has_failing_job {
        cell.harness.submit(FAILING_JOB, vec![perpetual(1)]);
        (0..20).for_each(|_| cell.pass(end_of));
    }
    // Each job fills all workers.
    let mut starts_there = Vec::new();
    for number in 10..16 {
        cell.harness
            .submit(number, vec![step(2 * WORKERS_COUNT as u32)]);
        let before = cell.starts.len();
        (0..4).for_each(|_| cell.pass(end_of));
        let new = cell.starts[before..].iter();
        let usual = new.filter(|(worker, task)| *worker == bad && task.step.job != failing);
        starts_there.push(usual.count());
    }
    let total: usize = starts_there.iter().sum();
    assert!(total <= 6, "{starts_there:?} starts on the worker");
}

/// Guards against several failing jobs that together have every worker of a service avoided.
#[test]
fn record_failure_many_tasks_fail() {
    let mut cell = Cell::new();
    let filling = StepSpec {
        demand: Resources::new(4000, 100, 0),
        ..perpetual(1)
    };
    for number in 0..WORKERS_COUNT as u64 {
        cell.harness.submit(number, vec![filling.clone()]);
    }
    let mut lowest = WORKERS_COUNT;
    for _ in 0..60 {
        cell.pass(|_, _| EndKind::Failed);
        lowest = lowest.min(cell.placeable_count());
    }
    assert!(
        lowest >= WORKERS_COUNT / 2,
        "{lowest} workers accepted runs"
    );
}

/// Guards against failures that are kept for a job which has ended; the harness verifies this.
#[test]
fn record_failure_job_ended() {
    let mut cell = Cell::new();
    cell.harness.submit(FAILING_JOB, vec![perpetual(1)]);
    cell.harness.commit_all();
    let start = cell.harness.starts()[0];
    let (worker, task, run) = start;
    cell.harness.answer_started(start);
    cell.harness.cancel(FAILING_JOB);
    let end = end(1, task, run, EndKind::Failed);
    cell.harness.answer_poll(worker, vec![end]);
}
