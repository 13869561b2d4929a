//! Customers: what each may have running, whose job is whose, and stored forms.

use crate::support::bench::{end, workers, Bench};
use crate::support::{configuration_with, customer, job_of, step, PATIENT_QUEUE};
use ospreywing_scheduler::{
    Action, Customer, CustomerUsage, DecisionKind, EndKind, Event, JobOutcome, JobRecord, JobState,
    Phase, Recovered, RoundState, StepSpec, StoredJob, TaskStatus,
};
use ospreywing_types::Resources;
use rstest::rstest;
use std::sync::Arc;

/// The workers in these cases hold two tasks each.
const WORKERS_COUNT: usize = 10;

fn bench_with(tasks_count: u32) -> Bench {
    let mut bench = Bench::new(Recovered::default(), &workers(WORKERS_COUNT));
    limit(&mut bench, 2, tasks_count);
    bench
}

fn limit(bench: &mut Bench, version: u64, tasks_count: u32) {
    let customers = vec![customer("one", tasks_count, 100.0)];
    bench.tell(Event::Configured(configuration_with(
        version, None, customers,
    )));
}

/// Takes the starts that were sent and answers them; returns how many there were.
fn start_all(bench: &mut Bench) -> usize {
    bench.commit_all();
    let starts = bench.starts();
    for start in &starts {
        bench.started(*start);
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
    let mut bench = bench_with(3);
    bench.submit_job(job_of("one", 1, vec![step(5)]));
    bench.commit_all();
    let starts = bench.starts();
    assert_eq!(starts.len(), 3);
    for start in &starts {
        bench.started(*start);
    }
    // Nobody else's work is held back by it.
    bench.submit(2, vec![step(4)]);
    assert_eq!(start_all(&mut bench), 4);
    let (worker, task, run) = starts[0];
    bench.list(worker, vec![end(1, task, run, EndKind::Done)]);
    assert_eq!(start_all(&mut bench), 1);
}

/// What is held back is told once, with what the customer has and may have.
#[test]
fn place_beyond_limit_is_told() {
    let mut bench = bench_with(2);
    bench.submit_job(job_of("one", 1, vec![step(5)]));
    bench.commit_all();
    bench.commit_all();
    let held = bench.actions.iter().filter_map(|action| match action {
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

/// A gang that has lost a member waits for the others to end, not for its customer's limit.
#[test]
fn place_broken_gang_is_not_held() {
    let mut bench = bench_with(3);
    bench.submit_job(job_of("one", 1, vec![gang(3)]));
    bench.commit_all();
    let starts = bench.starts();
    starts.iter().for_each(|start| bench.started(*start));
    let (worker, task, run) = starts[0];
    bench.list(worker, vec![end(1, task, run, EndKind::Broken)]);
    bench.commit_all();
    let is_held = |action: &Action| matches!(action, Action::Log(line) if line.kind == DecisionKind::JobHeldByLimit);
    assert!(!bench.actions.iter().any(is_held));
}

#[rstest]
#[case::fits_beside(1, 3)]
#[case::waits(2, 0)]
fn place_gang_within_limit(#[case] before_count: u32, #[case] started_count: usize) {
    let mut bench = bench_with(4);
    bench.submit_job(job_of("one", 1, vec![step(before_count)]));
    assert_eq!(start_all(&mut bench), before_count as usize);
    bench.submit_job(job_of("one", 2, vec![gang(3)]));
    assert_eq!(start_all(&mut bench), started_count);
}

/// A gang that waits for its customer's limit is not kept out by less urgent tasks of the
/// same customer; where less than half of the limit is in use, these start all the same.
#[rstest]
#[case::most_is_in_use(3, 0)]
#[case::little_is_in_use(1, 2)]
fn place_behind_gang_at_limit(#[case] before_count: u32, #[case] started_count: usize) {
    let mut bench = bench_with(4);
    bench.submit_job(job_of("one", 1, vec![step(before_count)]));
    start_all(&mut bench);
    bench.submit_job(job_of("one", 2, vec![gang(4)]));
    let (id, mut less_urgent) = job_of("one", 3, vec![step(2)]);
    less_urgent.queue = PATIENT_QUEUE.to_owned();
    bench.submit_job((id, less_urgent));
    assert_eq!(start_all(&mut bench), started_count);
}

#[test]
fn place_limit_lowered_and_raised() {
    let mut bench = bench_with(4);
    bench.submit_job(job_of("one", 1, vec![step(6)]));
    assert_eq!(start_all(&mut bench), 4);
    limit(&mut bench, 5, 1);
    bench.submit_job(job_of("one", 2, vec![step(2)]));
    assert_eq!(start_all(&mut bench), 0);
    assert!(bench.stops().is_empty(), "what runs is let run");
    limit(&mut bench, 9, 7);
    assert_eq!(start_all(&mut bench), 3);
}

/// A start that was recorded before its customer's limit was lowered is not sent after it.
#[test]
fn send_start_limit_lowered() {
    let mut bench = bench_with(4);
    bench.submit_job(job_of("one", 1, vec![step(4)]));
    limit(&mut bench, 3, 1);
    bench.commit_all();
    assert_eq!(bench.starts().len(), 1);
}

/// What an earlier leader recorded counts from the first moment, also where its worker has
/// not been heard of.
#[test]
fn place_after_takeover_silent_worker() {
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
    let mut bench = Bench::new(recovered, &workers(WORKERS_COUNT));
    limit(&mut bench, 2, 1);
    assert_eq!(start_all(&mut bench), 0);
    limit(&mut bench, 3, 2);
    assert_eq!(start_all(&mut bench), 1);
}

/// A customer that the operators have removed keeps its last limit, and its jobs run.
#[test]
fn place_customer_removed() {
    let mut bench = bench_with(2);
    bench.submit_job(job_of("one", 1, vec![step(3)]));
    bench.tell(Event::Configured(configuration_with(3, None, Vec::new())));
    assert_eq!(start_all(&mut bench), 2);
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
#[case::others(Some("one"), Some("two"), false)]
#[case::nobody(Some("one"), None, false)]
#[case::open_to_all(None, Some("two"), true)]
#[case::open_to_nobody(None, None, true)]
fn job_for_caller(
    #[case] owner: Option<&str>,
    #[case] caller: Option<&str>,
    #[case] is_open: bool,
) {
    let mut bench = bench_with(4);
    let (id, mut record) = job_of("one", 1, vec![step(1)]);
    record.customer = owner.map(str::to_owned);
    bench.submit_job((id, record));
    assert_eq!(bench.scheduler.job_for(caller, id).is_some(), is_open);
    // It stays whose it is once only its outcome is kept.
    bench.tell(Event::CancelAccepted { job: id });
    bench.commit_all();
    assert_eq!(bench.scheduler.job_for(caller, id).is_some(), is_open);
}

#[rstest]
#[case::customers(Some("one"))]
#[case::nobodys(None)]
fn stored_job_forms(#[case] owner: Option<&str>) {
    let (_, mut record) = job_of("one", 1, vec![step(2)]);
    record.customer = owner.map(str::to_owned);
    let read = StoredJob::from_bytes(&record.to_bytes());
    assert_eq!(read, Ok(StoredJob::Accepted(Box::new(record))));
    let outcome = JobOutcome::new(Phase::Failed).with_customer(owner.map(str::to_owned));
    let read = StoredJob::from_bytes(&outcome.to_bytes());
    assert_eq!(read, Ok(StoredJob::Ended(outcome)));
}

/// A record of the version before customers, as that version wrote it.
#[test]
fn stored_job_earlier_form() {
    // Its form, a queue, a service, the time 5, a text, no step, no schedule.
    let bytes = [1, 1, b'q', 1, b's', 5, 1, b't', 0, 0];
    let Ok(StoredJob::Accepted(record)) = StoredJob::from_bytes(&bytes) else {
        panic!("a record of the version before is read");
    };
    assert_eq!((record.queue.as_str(), record.accepted_ms), ("q", 5));
    assert_eq!(record.customer, None);
    assert_eq!(JobRecord::to_bytes(&record), bytes);
    let ended = StoredJob::from_bytes(&[2, 1]);
    let outcome = JobOutcome::new(Phase::Complete);
    assert_eq!(ended, Ok(StoredJob::Ended(outcome)));
}

/// A worker whose service the operators have not set gets nothing, also where it was listed
/// before the service was dropped.
#[test]
fn place_worker_without_service() {
    let mut bench = bench_with(4);
    let mut configuration = configuration_with(5, None, Vec::new());
    configuration.services.clear();
    bench.tell(Event::Configured(configuration));
    bench.submit(1, vec![step(1)]);
    assert_eq!(start_all(&mut bench), 0);
    bench.tell(Event::Configured(configuration_with(6, None, Vec::new())));
    assert_eq!(start_all(&mut bench), 1);
}
