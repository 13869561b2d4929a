//! Fair shares: whose work is placed first, whose runs are preempted, and what a new leader
//! restores.

use crate::support::harness::{end, workers, Harness};
use crate::support::{configuration_with, customer, job_of, step, SERVICE};
use ospreywing_scheduler::{
    EndKind, Event, Feature, Features, JobId, JobRecord, JobState, Recovered, RoundState,
    ShareView, StepSpec, TaskKey, TaskStatus, WorkerKey,
};
use ospreywing_types::Duration;
use rstest::rstest;
use std::sync::Arc;

/// The workers hold two tasks of [`step`] each.
const WORKERS_COUNT: usize = 4;
const CAPACITY_TASKS_COUNT: u32 = 8;
/// How far a customer's tag may be ahead of its service's virtual clock.
const LAG_LIMIT: Duration = Duration::from_ms(2_000);
/// The objective of [`step`]: twice its estimate of a second, and one second.
const OBJECTIVE_MS: u64 = 3_000;
const WITHOUT_SHARES: Features = Features::all().without(Feature::FairShares);
const EQUAL: [(&str, f64); 2] = [("over", 1.0), ("under", 1.0)];

fn configure(harness: &mut Harness, version: u64, weights: &[(&str, f64)]) {
    let customers = weights.iter();
    let customers = customers.map(|(name, weight)| customer(name, CAPACITY_TASKS_COUNT, *weight));
    let configuration = configuration_with(version, None, customers.collect());
    harness.handle(Event::Configured(configuration));
}

fn harness_with(features: Features, weights: &[(&str, f64)]) -> Harness {
    let mut harness = Harness::with_features(features, &workers(WORKERS_COUNT));
    configure(&mut harness, 2, weights);
    harness
}

/// Submits a customer's job of tasks that save checkpoints.
fn submit(harness: &mut Harness, name: &str, number: u64, tasks_count: u32) -> (JobId, JobRecord) {
    let spec = StepSpec {
        saves_progress: true,
        ..step(tasks_count)
    };
    let (id, mut record) = job_of(name, number, vec![spec]);
    record.accepted_ms = harness.now.as_ms();
    harness.handle(Event::WallClock(record.accepted_ms));
    harness.submit_job((id, record.clone()));
    (id, record)
}

/// Starts what fits; returns the runs.
fn start_all(harness: &mut Harness) -> Vec<(WorkerKey, TaskKey, u32)> {
    harness.commit_all();
    let starts = harness.starts();
    starts
        .iter()
        .for_each(|start| harness.answer_started(*start));
    starts
}

fn view(harness: &Harness, name: &str) -> ShareView {
    let view = harness.scheduler.share_of(SERVICE, Some(name));
    view.expect("a customer with open jobs")
}

/// One customer fills the cell and submits more, and another submits a single task.
fn overcommitted(features: Features) -> Harness {
    let mut harness = harness_with(features, &EQUAL);
    submit(&mut harness, "over", 1, CAPACITY_TASKS_COUNT);
    assert_eq!(start_all(&mut harness).len(), CAPACITY_TASKS_COUNT as usize);
    submit(&mut harness, "over", 2, CAPACITY_TASKS_COUNT);
    submit(&mut harness, "under", 3, 1);
    harness
}

/// Advances the time; returns the jobs whose runs are being stopped.
fn stopped_within(harness: &mut Harness, duration_ms: u64) -> Vec<u64> {
    let until_ms = harness.now.as_ms() + duration_ms;
    let mut stopped = Vec::new();
    while harness.now.as_ms() < until_ms {
        harness.commit_all();
        let stops = harness.stops();
        stopped.extend(stops.iter().map(|(_, task, _)| task.step.job.number()));
    }
    stopped
}

/// One run is stopped, which frees capacity for the one task that would otherwise be late.
#[rstest]
#[case::shares(Features::default(), vec![1])]
#[case::without(WITHOUT_SHARES, vec![])]
fn preempt_for_customer_under_share(#[case] features: Features, #[case] expected: Vec<u64>) {
    let mut harness = overcommitted(features);
    let mut stopped = stopped_within(&mut harness, OBJECTIVE_MS);
    // A stop that is not answered is sent again.
    stopped.dedup();
    assert_eq!(stopped, expected);
}

/// Nothing is stopped while there is time to spare, nor for a customer that uses half of its
/// share.
#[rstest]
#[case::has_time(0, 600)]
#[case::has_half(2, OBJECTIVE_MS)]
fn preempt_not_needed(#[case] running_count: u32, #[case] duration_ms: u64) {
    let mut harness = harness_with(Features::default(), &EQUAL);
    if running_count > 0 {
        submit(&mut harness, "under", 9, running_count);
        start_all(&mut harness);
    }
    submit(&mut harness, "over", 1, CAPACITY_TASKS_COUNT);
    start_all(&mut harness);
    submit(&mut harness, "under", 3, 1);
    assert_eq!(stopped_within(&mut harness, duration_ms), []);
}

fn id_of(harness: &Harness, worker: WorkerKey) -> Arc<str> {
    let mut listed = harness.scheduler.listed_workers();
    let (_, facts) = listed.find(|(key, _)| *key == worker).expect("a worker");
    facts.id.clone()
}

/// Returns the state of a job with these runs.
fn running_state(
    runs: &[(WorkerKey, TaskKey, u32)],
    harness: &Harness,
    record: &JobRecord,
) -> JobState {
    let mut round = RoundState::new(0, record);
    for (worker, task, run) in runs {
        let task = &mut round.steps[0].tasks[task.index as usize];
        task.last_run = *run;
        task.status = TaskStatus::Placed {
            worker: id_of(harness, *worker).to_string(),
            incarnation: None,
        };
    }
    JobState {
        next_round: 1,
        rounds: vec![round],
        ..JobState::default()
    }
}

/// A new leader rebuilds the same accounts from the records. Only the tags start at the virtual
/// clock, and none was ahead of it by more than the limit.
#[test]
fn rebuild_shares_after_takeover() {
    let weights = [("over", 1.0), ("under", 3.0)];
    let mut harness = harness_with(Features::default(), &weights);
    let first = submit(&mut harness, "over", 1, CAPACITY_TASKS_COUNT);
    let runs = start_all(&mut harness);
    let second = submit(&mut harness, "over", 2, 2);
    let third = submit(&mut harness, "under", 3, 2);
    harness.commit_all();
    let state = running_state(&runs, &harness, &first.1);
    let recovered = Recovered {
        states: vec![(first.0, state)],
        jobs: vec![first, second, third],
        wall_ms: harness.now.as_ms(),
        ..Recovered::default()
    };
    let mut next = Harness::new(recovered, &[]);
    configure(&mut next, 2, &weights);
    next.list_workers(&workers(WORKERS_COUNT));
    let key_of = |worker| next.scheduler.worker_key(&id_of(&harness, worker));
    let alive = runs.into_iter().map(|(worker, task, run)| {
        let key = key_of(worker).expect("a worker that is listed again");
        (key, task, run)
    });
    let alive: Vec<_> = alive.collect();
    next.answer_polls_with_progress(&alive, 0);
    next.commit_all();
    let (original, rebuilt) = (view(&harness, "over"), view(&next, "over"));
    assert_eq!(original.share_per_mille, 4_000);
    assert!(original.lag > Duration::ZERO && original.lag <= LAG_LIMIT);
    assert!(rebuilt.lag <= LAG_LIMIT);
    let without_tag = |view: ShareView| (view.share_per_mille, view.open_jobs_count, view.is_short);
    assert_eq!(without_tag(original), without_tag(rebuilt));
    assert_eq!(
        view(&harness, "under").open_jobs_count,
        view(&next, "under").open_jobs_count
    );
}

/// Shares follow changed weights; a customer that was removed keeps its last weight.
#[rstest]
#[case::raised(&[("over", 3.0), ("under", 1.0)], 1_333)]
#[case::lowered(&[("over", 1.0), ("under", 3.0)], 4_000)]
#[case::removed(&[("under", 1.0)], 2_000)]
fn share_of_weights_changed(#[case] weights: &[(&str, f64)], #[case] share_per_mille: u64) {
    let mut harness = overcommitted(Features::default());
    harness.commit_all();
    assert_eq!(view(&harness, "over").share_per_mille, 2_000);
    configure(&mut harness, 5, weights);
    harness.commit_all();
    assert_eq!(view(&harness, "over").share_per_mille, share_per_mille);
}

/// Jobs from open queues share one account, with the customers' mean weight.
#[test]
fn share_of_open_queues() {
    let mut harness = harness_with(Features::default(), &[("over", 1.0), ("under", 3.0)]);
    harness.submit(1, vec![step(CAPACITY_TASKS_COUNT)]);
    start_all(&mut harness);
    submit(&mut harness, "under", 2, 1);
    harness.commit_all();
    let view = harness.scheduler.share_of(SERVICE, None);
    // Its share is two fifths, and it uses the whole capacity.
    assert_eq!(view.expect("open jobs").share_per_mille, 2_500);
}

/// What a customer runs while no other customer needs the capacity is not charged later, and
/// one that was idle has accumulated no credit.
#[test]
fn borrow_free_capacity_not_charged() {
    let mut harness = harness_with(Features::default(), &EQUAL);
    submit(&mut harness, "over", 1, CAPACITY_TASKS_COUNT);
    start_all(&mut harness);
    for _ in 0..10 {
        harness.commit_all();
    }
    submit(&mut harness, "under", 2, CAPACITY_TASKS_COUNT);
    assert_eq!(view(&harness, "over").lag, Duration::ZERO);
    assert_eq!(view(&harness, "under").lag, Duration::ZERO);
}

/// Demand beyond a customer's own limit does not make a service's capacity short: there is
/// enough for all that may start.
#[test]
fn demand_beyond_limit_not_short() {
    let mut harness = harness_with(Features::default(), &[]);
    let customers = vec![customer("over", 2, 1.0), customer("under", 8, 1.0)];
    let configuration = configuration_with(5, None, customers);
    harness.handle(Event::Configured(configuration));
    submit(&mut harness, "over", 1, 20);
    assert_eq!(start_all(&mut harness).len(), 2);
    submit(&mut harness, "under", 2, 4);
    start_all(&mut harness);
    harness.commit_all();
    let view = view(&harness, "under");
    assert!(!view.is_short);
    assert_eq!(view.lag, Duration::ZERO);
}

/// The virtual clock of a service never goes back.
#[test]
fn virtual_time_never_decreases() {
    let mut harness = overcommitted(Features::default());
    let mut last = Duration::ZERO;
    for number in 0..20_u32 {
        if number % 5 == 0 {
            let weights = [("over", f64::from(number + 1)), ("under", 2.0)];
            configure(&mut harness, 10 + u64::from(number), &weights);
        }
        harness.commit_all();
        let view = view(&harness, "over");
        assert!(view.virtual_time >= last && view.lag <= LAG_LIMIT);
        last = view.virtual_time;
    }
}

/// A task of perpetual work that has run before, or one of an open queue, is placed again
/// before the work of customers within their shares.
#[rstest]
#[case::perpetual("over", true)]
#[case::open_queue("", false)]
fn place_again_over_share(#[case] name: &str, #[case] is_perpetual: bool) {
    let others = ["under", "third", "fourth", "fifth"];
    let mut weights = others.map(|name| (name, 1.0)).to_vec();
    weights.push(("over", 1.0));
    let mut harness = harness_with(Features::default(), &weights);
    let spec = StepSpec {
        is_perpetual,
        ..step(CAPACITY_TASKS_COUNT)
    };
    let (id, mut record) = job_of(name, 1, vec![spec]);
    record.customer = record.customer.filter(|name| !name.is_empty());
    harness.submit_job((id, record));
    let starts = start_all(&mut harness);
    for (name, number) in others.into_iter().zip(3..) {
        submit(&mut harness, name, number, 1);
    }
    let (worker, task, run) = starts[0];
    harness.answer_poll(worker, vec![end(1, task, run, EndKind::Failed)]);
    let again: Vec<TaskKey> = start_all(&mut harness).iter().map(|it| it.1).collect();
    assert_eq!(again, [task]);
}
