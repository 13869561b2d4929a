//! Customers: limits on what each may have running, access to their jobs, and stored records.

use crate::support::harness::{end, workers, Harness};
use crate::support::{configuration_with, customer, job_of, step, LOW_PRIORITY_QUEUE};
use ospreywing_scheduler::{
    Action, Customer, CustomerUsage, DecisionKind, EndKind, Event, JobOutcome, JobRecord, JobState,
    Phase, Recovered, RoundState, StepSpec, StoredJob, TaskStatus,
};
use ospreywing_types::Resources;
use rstest::rstest;
use std::sync::Arc;

/// The workers of these tests hold two tasks each.
const WORKERS_COUNT: usize = 10;

fn harness_with(tasks_count: u32) -> Harness {
    let mut harness = Harness::new(Recovered::default(), &workers(WORKERS_COUNT));
    limit(&mut harness, 2, tasks_count);
    harness
}

fn limit(harness: &mut Harness, version: u64, tasks_count: u32) {
    let customers = vec![customer("one", tasks_count, 100.0)];
    harness.handle(Event::Configured(configuration_with(
        version, None, customers,
    )));
}

/// Drains the starts that were sent and answers them; returns how many there were.
fn start_all(harness: &mut Harness) -> usize {
    harness.commit_all();
    let starts = harness.starts();
    for start in &starts {
        harness.answer_started(*start);
    }
    starts.len()
}

fn gang(tasks_count: u32) -> StepSpec {
    StepSpec {
        is_gang: true,
        ..step(tasks_count)
    }
}

#[test]
fn place_within_limit() {
    let mut harness = harness_with(3);
    harness.submit_job(job_of("one", 1, vec![step(5)]));
    harness.commit_all();
    let starts = harness.starts();
    assert_eq!(starts.len(), 3);
    for start in &starts {
        harness.answer_started(*start);
    }
    // Other work is not held back by the limit.
    harness.submit(2, vec![step(4)]);
    assert_eq!(start_all(&mut harness), 4);
    let (worker, task, run) = starts[0];
    harness.answer_poll(worker, vec![end(1, task, run, EndKind::Done)]);
    assert_eq!(start_all(&mut harness), 1);
}

/// A job that is held back is logged once, with its customer's use and limit.
#[test]
fn place_beyond_limit_logged() {
    let mut harness = harness_with(2);
    harness.submit_job(job_of("one", 1, vec![step(5)]));
    harness.commit_all();
    harness.commit_all();
    let held = harness.actions.iter().filter_map(|action| match action {
        Action::Log(line) if line.kind == DecisionKind::JobHeldByLimit => line.customer.clone(),
        _ => None,
    });
    let held: Vec<CustomerUsage> = held.collect();
    let two = step(1).demand.times(2);
    let expected = CustomerUsage {
        name: Arc::from("one"),
        used: two,
        limit: two,
    };
    assert_eq!(held, [expected]);
}

/// A gang that has lost a member waits for the other members to end, not for its customer's
/// limit.
#[test]
fn place_broken_gang_not_held_by_limit() {
    let mut harness = harness_with(3);
    harness.submit_job(job_of("one", 1, vec![gang(3)]));
    harness.commit_all();
    let starts = harness.starts();
    starts
        .iter()
        .for_each(|start| harness.answer_started(*start));
    let (worker, task, run) = starts[0];
    harness.answer_poll(worker, vec![end(1, task, run, EndKind::Broken)]);
    harness.commit_all();
    let is_held = |action: &Action| matches!(action, Action::Log(line) if line.kind == DecisionKind::JobHeldByLimit);
    assert!(!harness.actions.iter().any(is_held));
}

#[rstest]
#[case::fits_beside(1, 3)]
#[case::waits(2, 0)]
fn place_gang_within_limit(#[case] before_count: u32, #[case] started_count: usize) {
    let mut harness = harness_with(4);
    harness.submit_job(job_of("one", 1, vec![step(before_count)]));
    assert_eq!(start_all(&mut harness), before_count as usize);
    harness.submit_job(job_of("one", 2, vec![gang(3)]));
    assert_eq!(start_all(&mut harness), started_count);
}

/// Less urgent tasks of the same customer don't overtake a gang that waits for the customer's
/// limit. If less than half of the limit is in use, they start nevertheless.
#[rstest]
#[case::most_is_in_use(3, 0)]
#[case::little_is_in_use(1, 2)]
fn place_behind_gang_at_limit(#[case] before_count: u32, #[case] started_count: usize) {
    let mut harness = harness_with(4);
    harness.submit_job(job_of("one", 1, vec![step(before_count)]));
    start_all(&mut harness);
    harness.submit_job(job_of("one", 2, vec![gang(4)]));
    let (id, mut less_urgent) = job_of("one", 3, vec![step(2)]);
    less_urgent.queue = LOW_PRIORITY_QUEUE.to_owned();
    harness.submit_job((id, less_urgent));
    assert_eq!(start_all(&mut harness), started_count);
}

#[test]
fn place_limit_lowered_and_raised() {
    let mut harness = harness_with(4);
    harness.submit_job(job_of("one", 1, vec![step(6)]));
    assert_eq!(start_all(&mut harness), 4);
    limit(&mut harness, 5, 1);
    harness.submit_job(job_of("one", 2, vec![step(2)]));
    assert_eq!(start_all(&mut harness), 0);
    assert!(
        harness.stops().is_empty(),
        "runs beyond the limit keep running"
    );
    limit(&mut harness, 9, 7);
    assert_eq!(start_all(&mut harness), 3);
}

/// A start that was recorded before its customer's limit was lowered is not sent afterwards.
#[test]
fn send_start_limit_lowered() {
    let mut harness = harness_with(4);
    harness.submit_job(job_of("one", 1, vec![step(4)]));
    limit(&mut harness, 3, 1);
    harness.commit_all();
    assert_eq!(harness.starts().len(), 1);
}

/// Runs that an earlier leader recorded count against the limit from the start of the term,
/// even if their worker has not answered a poll.
#[test]
fn place_after_takeover_unresponsive_worker() {
    let (id, record) = job_of("one", 1, vec![step(2)]);
    let mut round = RoundState::new(0, &record);
    let task = &mut round.steps[0].tasks[0];
    task.last_run = 1;
    task.status = TaskStatus::Placed {
        worker: "silent".to_owned(),
        incarnation: None,
    };
    let state = JobState {
        next_round: 1,
        rounds: vec![round],
        ..JobState::default()
    };
    let recovered = Recovered {
        jobs: vec![(id, record)],
        states: vec![(id, state)],
        ..Recovered::default()
    };
    let mut harness = Harness::new(recovered, &workers(WORKERS_COUNT));
    limit(&mut harness, 2, 1);
    assert_eq!(start_all(&mut harness), 0);
    limit(&mut harness, 3, 2);
    assert_eq!(start_all(&mut harness), 1);
}

/// A customer that operators have removed keeps its last limit, and its jobs run.
#[test]
fn place_customer_removed() {
    let mut harness = harness_with(2);
    harness.submit_job(job_of("one", 1, vec![step(3)]));
    harness.handle(Event::Configured(configuration_with(3, None, Vec::new())));
    assert_eq!(start_all(&mut harness), 2);
}

#[rstest]
#[case::part_without_limit(Resources::new(4000, 0, 0), step(2), None)]
#[case::task_too_large(Resources::new(1000, 0, 0), step(1), Some(1))]
#[case::gang_too_wide(Resources::new(4000, 0, 0), gang(3), Some(1))]
#[case::wide_step_in_waves(Resources::new(4000, 0, 0), step(30), None)]
fn impossible_step_forms(
    #[case] limit: Resources,
    #[case] spec: StepSpec,
    #[case] expected: Option<usize>,
) {
    let customer = Customer {
        name: Arc::from("one"),
        jobs_per_s: 1.0,
        limit,
    };
    let small = StepSpec {
        demand: Resources::new(500, 500, 0),
        ..step(1)
    };
    let (_, record) = job_of("one", 1, vec![small, spec]);
    assert_eq!(customer.impossible_step(&record), expected);
}

#[rstest]
#[case::own(Some("one"), Some("one"), true)]
#[case::other_customers(Some("one"), Some("two"), false)]
#[case::no_caller(Some("one"), None, false)]
#[case::open_to_all(None, Some("two"), true)]
#[case::open_to_no_caller(None, None, true)]
fn job_for_caller(
    #[case] owner: Option<&str>,
    #[case] caller: Option<&str>,
    #[case] is_open: bool,
) {
    let mut harness = harness_with(4);
    let (id, mut record) = job_of("one", 1, vec![step(1)]);
    record.customer = owner.map(str::to_owned);
    harness.submit_job((id, record));
    assert_eq!(harness.scheduler.job_for(caller, id).is_some(), is_open);
    // Its owner stays the same once only its outcome is kept.
    harness.handle(Event::CancelAccepted { job: id });
    harness.commit_all();
    assert_eq!(harness.scheduler.job_for(caller, id).is_some(), is_open);
}

#[rstest]
#[case::customers(Some("one"))]
#[case::no_customer(None)]
fn stored_job_forms(#[case] owner: Option<&str>) {
    let (_, mut record) = job_of("one", 1, vec![step(2)]);
    record.customer = owner.map(str::to_owned);
    let read = StoredJob::from_bytes(&record.to_bytes());
    assert_eq!(read, Ok(StoredJob::Accepted(Box::new(record))));
    let outcome = JobOutcome::new(Phase::Failed).with_customer(owner.map(str::to_owned));
    let read = StoredJob::from_bytes(&outcome.to_bytes());
    assert_eq!(read, Ok(StoredJob::Ended(outcome)));
}

/// A record as written by the version that preceded customers.
#[test]
fn stored_job_earlier_format() {
    // Its format, a queue, a service, the time 5, a text, no steps, no schedule.
    let bytes = [1, 1, b'q', 1, b's', 5, 1, b't', 0, 0];
    let Ok(StoredJob::Accepted(record)) = StoredJob::from_bytes(&bytes) else {
        panic!("a record of the earlier version is not readable");
    };
    assert_eq!((record.queue.as_str(), record.accepted_ms), ("q", 5));
    assert_eq!(record.customer, None);
    assert_eq!(JobRecord::to_bytes(&record), bytes);
    let ended = StoredJob::from_bytes(&[2, 1]);
    let outcome = JobOutcome::new(Phase::Complete);
    assert_eq!(ended, Ok(StoredJob::Ended(outcome)));
}

/// Nothing is placed on a worker whose service is not configured, even if it was listed before
/// the service was removed.
#[test]
fn place_worker_without_service() {
    let mut harness = harness_with(4);
    let mut configuration = configuration_with(5, None, Vec::new());
    configuration.services.clear();
    harness.handle(Event::Configured(configuration));
    harness.submit(1, vec![step(1)]);
    assert_eq!(start_all(&mut harness), 0);
    harness.handle(Event::Configured(configuration_with(6, None, Vec::new())));
    assert_eq!(start_all(&mut harness), 1);
}
