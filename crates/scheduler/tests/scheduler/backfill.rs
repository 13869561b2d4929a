//! Customers' limits count only what runs, and a step that waits for a limit gets a reservation
//! on it.

use crate::support::harness::{end, workers, Harness};
use crate::support::{
    configuration_with, customer, job_of, step, with_other_service, LOW_PRIORITY_QUEUE, OTHER_QUEUE,
};
use ospreywing_scheduler::{
    Action, Decision, DecisionKind, EndKind, EndedRun, Event, Feature, Features, StepSpec, TaskKey,
    WorkerKey,
};
use ospreywing_types::{Duration, Resources};
use rstest::rstest;
use std::collections::BTreeMap;

/// The workers of these tests hold two tasks each.
const WORKERS_COUNT: usize = 8;
/// A duration that surely ends within a second.
const BRIEF_MS: u64 = 200;

type Start = (WorkerKey, TaskKey, u32);

fn harness_with(tasks_count: u32, is_on: bool) -> Harness {
    let features = match is_on {
        true => Features::all(),
        false => Features::all().without(Feature::Backfill),
    };
    let mut harness = Harness::with_features(features, &workers(WORKERS_COUNT));
    limit(&mut harness, 2, tasks_count);
    harness
}

fn limit(harness: &mut Harness, version: u64, tasks_count: u32) {
    let customers = vec![customer("one", tasks_count, 100.0)];
    let configuration = configuration_with(version, None, customers);
    harness.handle(Event::Configured(with_other_service(configuration)));
}

/// Drains the starts that were sent and answers them.
fn start_all(harness: &mut Harness) -> Vec<Start> {
    for _ in 0..6 {
        harness.now = harness.now + Duration::from_ms(10);
        harness.handle(Event::Tick);
        harness.answer_commits();
    }
    let starts = harness.starts();
    for start in &starts {
        harness.answer_started(*start);
    }
    starts
}

/// Advances the time; returns how many starts were sent meanwhile.
fn wait(harness: &mut Harness, duration_ms: u64) -> usize {
    let until = harness.now + Duration::from_ms(duration_ms);
    let mut started_count = 0;
    while harness.now < until {
        started_count += start_all(harness).len();
    }
    started_count
}

/// Has the workers list the ends of these runs.
fn end_all(harness: &mut Harness, starts: &[Start]) {
    let mut by_worker: BTreeMap<WorkerKey, Vec<EndedRun>> = BTreeMap::new();
    for (worker, task, run) in starts {
        let ended = by_worker.entry(*worker).or_default();
        let number = task.step.job.number() * 100 + u64::from(task.index);
        ended.push(end(number, *task, *run, EndKind::Done));
    }
    for (worker, ended) in by_worker {
        harness.answer_poll_after(Duration::from_ms(1), worker, ended);
    }
}

fn gang(tasks_count: u32) -> StepSpec {
    StepSpec {
        is_gang: true,
        ..step(tasks_count)
    }
}

fn brief(tasks_count: u32) -> StepSpec {
    StepSpec {
        estimate_ms: BRIEF_MS,
        ..step(tasks_count)
    }
}

/// Submits a job of the low-priority queue, which is served after the other one.
fn submit_low_priority(harness: &mut Harness, number: u64, spec: StepSpec) {
    let (id, mut record) = job_of("one", number, vec![spec]);
    record.queue = LOW_PRIORITY_QUEUE.to_owned();
    harness.submit_job((id, record));
}

fn held_lines(harness: &Harness) -> Vec<Decision> {
    let lines = harness.actions.iter().filter_map(|action| match action {
        Action::Log(line) if line.kind == DecisionKind::JobHeldByLimit => Some(line.clone()),
        _ => None,
    });
    lines.collect()
}

/// A step that waits for workers of one service does not count against its customer's limit at
/// another service that has free capacity.
#[rstest]
#[case::off(false, 0)]
#[case::on(true, 3)]
fn place_gang_beside_other_service_without_capacity(
    #[case] is_on: bool,
    #[case] started_count: usize,
) {
    let mut harness = harness_with(10, is_on);
    let (id, mut record) = job_of("one", 1, vec![step(10)]);
    record.queue = OTHER_QUEUE.to_owned();
    harness.submit_job((id, record));
    submit_low_priority(&mut harness, 2, gang(3));
    assert_eq!(start_all(&mut harness).len(), started_count);
}

/// A gang that lacks capacity but fits the limit holds back no less urgent work by that limit.
#[rstest]
#[case::off(false, 0)]
#[case::on(true, 3)]
fn place_behind_gang_without_capacity(#[case] is_on: bool, #[case] started_count: usize) {
    let mut harness = harness_with(7, is_on);
    harness.submit(1, vec![step(12)]);
    assert_eq!(start_all(&mut harness).len(), 12);
    harness.submit_job(job_of("one", 2, vec![gang(6)]));
    submit_low_priority(&mut harness, 3, gang(3));
    assert_eq!(start_all(&mut harness).len(), started_count);
}

/// Behind a gang that waits for the limit, tasks start that surely end before its turn, or that
/// fit alongside it.
#[rstest]
#[case::too_long(5, step(1), 0)]
#[case::brief(5, brief(1), 1)]
#[case::of_unknown_duration(5, StepSpec { estimate_ms: 0, ..step(1) }, 0)]
#[case::perpetual(5, StepSpec { is_perpetual: true, ..brief(1) }, 0)]
#[case::fits_beside(4, step(1), 1)]
#[case::fits_beside_in_part(4, step(2), 1)]
fn place_behind_reservation(
    #[case] members_count: u32,
    #[case] behind: StepSpec,
    #[case] started_count: usize,
) {
    let mut harness = harness_with(5, true);
    harness.submit_job(job_of("one", 1, vec![step(3)]));
    start_all(&mut harness);
    harness.submit_job(job_of("one", 2, vec![gang(members_count)]));
    submit_low_priority(&mut harness, 3, behind);
    assert_eq!(start_all(&mut harness).len(), started_count);
}

/// The customer's other tasks don't take the part of the limit that a gang waits for when it
/// becomes free.
#[test]
fn place_gang_at_end_of_reservation() {
    let mut harness = harness_with(5, true);
    harness.submit_job(job_of("one", 1, vec![step(3)]));
    let first = start_all(&mut harness);
    harness.submit_job(job_of("one", 2, vec![gang(5)]));
    submit_low_priority(&mut harness, 3, step(4));
    assert_eq!(start_all(&mut harness).len(), 0);
    end_all(&mut harness, &first);
    let started = start_all(&mut harness);
    assert_eq!(started.len(), 5);
    assert!(started
        .iter()
        .all(|(_, task, _)| task.step.job.number() == 2));
    assert_eq!(
        harness
            .scheduler
            .status(harness.now)
            .limit_reservations_count,
        1
    );
    end_all(&mut harness, &started);
    assert_eq!(start_all(&mut harness).len(), 4);
}

/// Runs that take far longer than estimated don't hold back the customer's other work without
/// end.
#[test]
fn place_behind_reservation_estimates_wrong() {
    let mut harness = harness_with(5, true);
    harness.submit_job(job_of("one", 1, vec![step(3)]));
    start_all(&mut harness);
    harness.submit_job(job_of("one", 2, vec![gang(5)]));
    submit_low_priority(&mut harness, 3, step(1));
    assert_eq!(start_all(&mut harness).len(), 0);
    // The reservation is due after a second, and holds for two more.
    assert_eq!(wait(&mut harness, 3_200), 1);
}

/// More urgent work is placed first, until a gang has waited for long.
#[rstest]
#[case::soon(400, 1)]
#[case::late(2_400, 0)]
fn place_before_reservation(#[case] after_ms: u64, #[case] started_count: usize) {
    let mut harness = harness_with(4, true);
    let long = StepSpec {
        estimate_ms: 4_000,
        ..step(3)
    };
    harness.submit_job(job_of("one", 1, vec![long]));
    start_all(&mut harness);
    submit_low_priority(&mut harness, 2, gang(4));
    wait(&mut harness, after_ms);
    let urgent = StepSpec {
        estimate_ms: 2_900,
        ..step(1)
    };
    harness.submit_job(job_of("one", 3, vec![urgent]));
    assert_eq!(start_all(&mut harness).len(), started_count);
}

/// While less than half of the limit is in use, a gang holds other work back for two seconds,
/// and then for a while not at all.
#[test]
fn place_behind_large_gang_below_half() {
    let mut harness = harness_with(6, true);
    harness.submit_job(job_of("one", 1, vec![step(2)]));
    start_all(&mut harness);
    harness.submit_job(job_of("one", 2, vec![gang(6)]));
    assert_eq!(wait(&mut harness, 1_200), 0);
    submit_low_priority(&mut harness, 3, step(1));
    assert_eq!(wait(&mut harness, 1_500), 0);
    assert_eq!(wait(&mut harness, 500), 1);
    submit_low_priority(&mut harness, 4, step(1));
    assert_eq!(wait(&mut harness, 300), 1);
}

/// A gang that can no longer fit the limit, since it was lowered, holds nothing back.
#[test]
fn place_behind_gang_beyond_lowered_limit() {
    let mut harness = harness_with(6, true);
    harness.submit_job(job_of("one", 1, vec![step(3)]));
    start_all(&mut harness);
    harness.submit_job(job_of("one", 2, vec![gang(6)]));
    start_all(&mut harness);
    limit(&mut harness, 3, 5);
    submit_low_priority(&mut harness, 3, step(1));
    assert_eq!(start_all(&mut harness).len(), 1);
}

/// A gang that waits for perpetual runs to end leaves the reservation to a later one.
#[test]
fn place_behind_gang_beside_perpetual_runs() {
    let mut harness = harness_with(5, true);
    let perpetual = StepSpec {
        is_perpetual: true,
        ..step(2)
    };
    harness.submit_job(job_of("one", 1, vec![perpetual]));
    harness.submit_job(job_of("one", 2, vec![step(1)]));
    let running = start_all(&mut harness);
    harness.submit_job(job_of("one", 3, vec![gang(4)]));
    harness.submit_job(job_of("one", 4, vec![gang(3)]));
    // Until the reservations of both have been computed.
    for _ in 0..4 {
        assert_eq!(start_all(&mut harness).len(), 0);
    }
    submit_low_priority(&mut harness, 5, step(1));
    assert_eq!(start_all(&mut harness).len(), 0);
    let of_two: Vec<Start> = running
        .into_iter()
        .filter(|(_, task, _)| task.step.job.number() == 2)
        .collect();
    end_all(&mut harness, &of_two);
    let started = start_all(&mut harness);
    let is_of_gang = |start: &Start| start.1.step.job.number() == 4;
    assert!(started.len() == 3 && started.iter().all(is_of_gang));
}

/// A job that is held back is logged with the reservation that holds it back.
#[test]
fn place_behind_reservation_logged() {
    let mut harness = harness_with(5, true);
    harness.submit_job(job_of("one", 1, vec![step(3)]));
    start_all(&mut harness);
    harness.submit_job(job_of("one", 2, vec![gang(5)]));
    submit_low_priority(&mut harness, 3, step(1));
    start_all(&mut harness);
    let lines = held_lines(&harness);
    let logged: Vec<(u64, &str)> = lines
        .iter()
        .map(|line| (line.job.map_or(0, |job| job.number()), line.reason))
        .collect();
    let behind = "limit reserved for another step of its customer";
    assert_eq!(logged, [(2, "limit of its customer"), (3, behind)]);
    let reserved = lines[1].reserved.expect("a reservation");
    assert_eq!(reserved.step.job.number(), 2);
    assert!(reserved
        .due_in
        .is_some_and(|due_in| due_in > Duration::ZERO));
    let used = lines[1].customer.as_ref().map(|customer| customer.used);
    assert_eq!(used, Some(Resources::new(6000, 3000, 0)));
}

/// While less than half of the limit is in use, a reservation holds work back for a while, but
/// no perpetual work.
#[rstest]
#[case::plain(false, 0)]
#[case::perpetual(true, 1)]
fn place_beside_firm_reservation(#[case] is_perpetual: bool, #[case] started_count: usize) {
    let mut harness = harness_with(8, true);
    let running = StepSpec {
        estimate_ms: 2_500,
        ..step(3)
    };
    harness.submit_job(job_of("one", 1, vec![running]));
    assert_eq!(start_all(&mut harness).len(), 3);
    harness.submit_job(job_of("one", 2, vec![gang(8)]));
    wait(&mut harness, 1_300);
    let late = StepSpec {
        estimate_ms: 5_000,
        is_perpetual,
        ..step(1)
    };
    harness.submit_job(job_of("one", 3, vec![late]));
    assert_eq!(wait(&mut harness, 300), started_count);
}
