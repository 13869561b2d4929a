//! Rounds of scheduled jobs: when they begin, and how many at once.

use super::support::harness::{end, workers, Harness};
use super::support::{job, step};
use ospreywing_scheduler::{
    EndKind, Event, JobId, JobRecord, JobState, Phase, Recovered, RoundState, Schedule, StepSpec,
};
use ospreywing_types::Resources;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};

/// The wall-clock time in these tests, in milliseconds since 1970.
const WALL_MS: u64 = 1_700_000_000_000;
/// The time between rounds, in milliseconds.
const INTERVAL_MS: u64 = 60_000;
/// The value that a platform's store holds at most, in bytes.
const VALUE_LIMIT_BYTES: usize = 1_048_576;

/// Returns a job whose rounds are all due.
fn overdue_job(number: u64, rounds_count: u32, step: StepSpec) -> (JobId, JobRecord) {
    let (id, mut record) = job(number, vec![step]);
    record.spec.schedule = Some(Schedule {
        rounds_count,
        first_due_ms: WALL_MS - u64::from(rounds_count) * INTERVAL_MS,
        interval_ms: INTERVAL_MS,
    });
    (id, record)
}

fn small_step() -> StepSpec {
    StepSpec {
        demand: Resources::new(100, 64, 0),
        ..step(1)
    }
}

fn filling_step() -> StepSpec {
    StepSpec {
        demand: Resources::new(4000, 1000, 0),
        ..step(1)
    }
}

fn largest_state(states: &[JobState]) -> usize {
    let sizes = states.iter().map(|state| state.to_bytes().len());
    sizes.max().unwrap_or(0)
}

/// Guards against a cell that stops because a leader begins every due round of a job at once.
#[rstest]
#[case::accepted(false)]
#[case::recovered(true)]
fn begin_due_rounds_many_due(#[case] is_recovered: bool) {
    let (id, record) = overdue_job(1, 5000, small_step());
    let mut recovered = Recovered {
        wall_ms: WALL_MS,
        ..Recovered::default()
    };
    if is_recovered {
        recovered.jobs.push((id, record.clone()));
    }
    let mut harness = Harness::new(recovered, &workers(2));
    if !is_recovered {
        harness.submit_job((id, record));
    }
    harness.submit(2, vec![small_step()]);
    let states = harness.commit_all();
    let rounds_counts = states.iter().map(|state| state.rounds.len());
    assert!(rounds_counts.max() < Some(200));
    assert!(largest_state(&states) < 10_000);
    let started: BTreeSet<JobId> = harness
        .starts()
        .iter()
        .map(|(_, task, _)| task.step.job)
        .collect();
    assert_eq!(started, BTreeSet::from([id, JobId::new(2)]));
}

/// Guards against due rounds that never begin because others began first.
#[test]
fn begin_due_rounds_until_complete() {
    const ROUNDS_COUNT: u32 = 300;
    let recovered = Recovered {
        wall_ms: WALL_MS,
        ..Recovered::default()
    };
    let mut harness = Harness::new(recovered, &workers(2));
    let (id, record) = overdue_job(1, ROUNDS_COUNT, small_step());
    harness.submit_job((id, record));
    let mut rounds = BTreeSet::new();
    let mut ends_counts = BTreeMap::new();
    for _ in 0..ROUNDS_COUNT {
        harness.handle(Event::WallClock(WALL_MS));
        harness.commit_all();
        let mut ended = BTreeMap::new();
        for start in harness.starts() {
            let (worker, task, run) = start;
            harness.answer_started(start);
            assert!(rounds.insert(task.step.round), "{task} starts twice");
            let number = ends_counts.entry(worker).or_insert(0);
            *number += 1;
            let done = end(*number, task, run, EndKind::Done);
            ended.entry(worker).or_insert_with(Vec::new).push(done);
        }
        for (worker, ended) in ended {
            harness.answer_poll(worker, ended);
        }
        let view = harness.scheduler.job(id).expect("a known job");
        if view.phase == Phase::Complete {
            break;
        }
    }
    assert_eq!(rounds, (0..ROUNDS_COUNT).collect());
    let view = harness.scheduler.job(id).expect("a known job");
    assert_eq!(view.phase, Phase::Complete);
}

/// Guards against progress that outgrows a value of the store: rounds overlap, none ends.
#[test]
fn begin_due_rounds_overlapping() {
    let recovered = Recovered {
        wall_ms: WALL_MS,
        ..Recovered::default()
    };
    let mut large_workers = workers(50);
    for worker in &mut large_workers {
        worker.set_capacity(Resources::new(128_000, 512_000, 0));
    }
    let mut harness = Harness::new(recovered, &large_workers);
    let tiny = StepSpec {
        tasks_count: 40,
        demand: Resources::new(10, 1, 0),
        ..step(1)
    };
    harness.submit_job(overdue_job(1, 1000, tiny));
    let mut largest = 0;
    for _ in 0..8 {
        harness.handle(Event::WallClock(WALL_MS));
        let states = harness.commit_all();
        largest = largest.max(largest_state(&states));
    }
    let started_count = harness.starts().len();
    assert!(started_count >= 4000, "{started_count} tasks started");
    assert!(largest < VALUE_LIMIT_BYTES / 4, "{largest} bytes");
}

/// Guards against a leader that examines every round which a leader of an earlier version began.
#[test]
fn ready_steps_many_rounds_begun() {
    let (id, record) = overdue_job(1, 5000, filling_step());
    let rounds = (0..5000).map(|number| RoundState::new(number, &record));
    let state = JobState {
        next_round: 5000,
        rounds: rounds.collect(),
        ..JobState::default()
    };
    let recovered = Recovered {
        wall_ms: WALL_MS,
        jobs: vec![(id, record)],
        states: vec![(id, state)],
        ..Recovered::default()
    };
    let harness = Harness::new(recovered, &workers(2));
    let waits = harness.scheduler.status(harness.now).waits;
    let waiting_count: usize = waits.iter().map(|it| it.steps_count).sum();
    assert!((1..100).contains(&waiting_count), "{waiting_count} steps");
}

/// Guards against a due time that wraps around and begins a round far too early.
#[rstest]
#[case::late_first(u64::MAX - 1, 60_000, 0)]
#[case::long_interval(WALL_MS, u64::MAX, 1)]
fn begin_due_rounds_beyond_clock(
    #[case] first_due_ms: u64,
    #[case] interval_ms: u64,
    #[case] expected_count: usize,
) {
    let recovered = Recovered {
        wall_ms: WALL_MS,
        ..Recovered::default()
    };
    let mut harness = Harness::new(recovered, &workers(2));
    let (id, mut record) = job(1, vec![small_step()]);
    record.spec.schedule = Some(Schedule {
        rounds_count: 5,
        first_due_ms,
        interval_ms,
    });
    harness.submit_job((id, record));
    harness.commit_all();
    assert_eq!(harness.starts().len(), expected_count);
}

/// Rounds that are held back are shown to operators.
#[rstest]
#[case::interval(INTERVAL_MS)]
#[case::all_due_at_once(0)]
fn status_overdue_rounds(#[case] interval_ms: u64) {
    let recovered = Recovered {
        wall_ms: WALL_MS,
        ..Recovered::default()
    };
    let mut harness = Harness::new(recovered, &workers(1));
    let (id, mut record) = overdue_job(1, 500, filling_step());
    if let Some(schedule) = &mut record.spec.schedule {
        schedule.interval_ms = interval_ms;
    }
    harness.submit_job((id, record));
    let status = harness.scheduler.status(harness.now);
    assert!((400..500).contains(&status.overdue_rounds_count));
}
