//! Which jobs are selected to finish on time when not all can.

use crate::support::harness::{end, workers, Harness};
use crate::support::{job, step};
use ospreywing_scheduler::deadline_selection::{
    Occupancy, ResourceVector, Selection, ServiceLoad, WaitingJob, ENTER_LOAD_PERCENT,
    LEAVE_LOAD_PERCENT,
};
use ospreywing_scheduler::{EndKind, EndedRun, Event, Feature, Features};
use ospreywing_types::{Duration, Instant, Resources};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const CAPACITY: Resources = Resources::new(10_000, 10_000, 10);

/// Returns a job that needs the whole capacity for `whole_ms`.
fn waiting_job(key: u64, whole_ms: u64, time_to_objective_ms: u64) -> WaitingJob<u64> {
    WaitingJob {
        key,
        priority: 1,
        work: ResourceVector::of(&CAPACITY).times(whole_ms as f64),
        critical_path: Duration::from_ms(100),
        time_to_objective: Some(Duration::from_ms(time_to_objective_ms)),
        time_to_worthless: Some(Duration::from_ms(3 * time_to_objective_ms)),
    }
}

fn service_load(occupancy: Occupancy, waiting_jobs: &[WaitingJob<u64>]) -> ServiceLoad<u64> {
    let mut service_load = ServiceLoad::new(ResourceVector::of(&CAPACITY), occupancy);
    waiting_jobs.iter().for_each(|it| service_load.push(*it));
    service_load
}

/// Returns the keys of the jobs that are selected to finish on time.
fn on_time(service_load: &mut ServiceLoad<u64>) -> Vec<u64> {
    let selected = service_load.select().into_iter();
    let is_on_time = |it: &Selection| matches!(it, Selection::OnTime | Selection::OnTimeAfterLate);
    let on_time = selected.filter(|it| is_on_time(&it.selection));
    let mut keys: Vec<u64> = on_time.map(|it| it.key).collect();
    keys.sort_unstable();
    keys
}

#[test]
fn select_all_jobs_fit() {
    let jobs = [waiting_job(1, 400, 1000), waiting_job(2, 400, 1000)];
    let mut service_load = service_load(Occupancy::default(), &jobs);
    assert!(service_load.load_percent() < ENTER_LOAD_PERCENT);
    assert_eq!(on_time(&mut service_load), [1, 2]);
}

#[test]
fn select_excludes_largest() {
    let jobs = [
        waiting_job(1, 800, 1000),
        waiting_job(2, 300, 1100),
        waiting_job(3, 300, 1200),
    ];
    let mut service_load = service_load(Occupancy::default(), &jobs);
    assert!(service_load.load_percent() > ENTER_LOAD_PERCENT);
    assert_eq!(on_time(&mut service_load), [2, 3]);
}

/// Of jobs of equal size, the one that is most likely to be late is excluded.
#[test]
fn select_excludes_soonest_due_of_equals() {
    let jobs = [1000, 1100, 1200].map(|remaining_ms| waiting_job(remaining_ms, 500, remaining_ms));
    assert_eq!(
        on_time(&mut service_load(Occupancy::default(), &jobs)),
        [1100, 1200]
    );
}

#[test]
fn select_excludes_lower_priority_first() {
    let mut important = waiting_job(1, 800, 1000);
    important.priority = 0;
    let jobs = [important, waiting_job(2, 300, 1000)];
    assert_eq!(on_time(&mut service_load(Occupancy::default(), &jobs)), [1]);
}

/// Jobs that need different resources don't compete.
#[test]
fn select_different_resources() {
    let with = |key, resources: Resources| WaitingJob {
        work: ResourceVector::of(&resources).times(800.0),
        ..waiting_job(key, 0, 1000)
    };
    let jobs = [
        with(1, Resources::new(10_000, 0, 0)),
        with(2, Resources::new(0, 0, 10)),
    ];
    assert_eq!(
        on_time(&mut service_load(Occupancy::default(), &jobs)),
        [1, 2]
    );
}

/// Capacity that runs occupy for longer than a job's objective is not available to it.
#[test]
fn select_with_running_tasks() {
    let mut occupancy = Occupancy::default();
    occupancy.add(ResourceVector::of(&CAPACITY).times(0.5), None);
    occupancy.add(
        ResourceVector::of(&CAPACITY).times(0.4),
        Some(Duration::from_ms(100)),
    );
    let jobs = [waiting_job(1, 400, 1000), waiting_job(2, 200, 1000)];
    assert_eq!(on_time(&mut service_load(occupancy, &jobs)), [2]);
}

#[test]
fn select_late_before_worthless() {
    let late = |key, whole_ms| WaitingJob {
        time_to_objective: None,
        time_to_worthless: Some(Duration::from_ms(1000)),
        ..waiting_job(key, whole_ms, 1000)
    };
    let mut service_load = service_load(Occupancy::default(), &[late(1, 800), late(2, 300)]);
    let selections: Vec<(u64, Selection)> = service_load
        .select()
        .iter()
        .map(|it| (it.key, it.selection))
        .collect();
    assert!(selections.contains(&(1, Selection::Last)));
    assert!(selections.contains(&(2, Selection::Late)));
}

#[test]
fn select_without_capacity() {
    let mut service_load = ServiceLoad::new(ResourceVector::default(), Occupancy::default());
    service_load.push(waiting_job(1, 100, 1000));
    assert!(service_load.load_percent() > LEAVE_LOAD_PERCENT);
    assert_eq!(service_load.select().len(), 1);
}

/// A policy to choose the next job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// The job that is due first.
    SoonestDue,
    /// The job that needs least.
    Smallest,
    /// Of the jobs that the module selects, the one that is due first.
    SelectedJob,
}

/// A job of a load: when it arrives, how long it occupies the whole capacity, and when it is
/// due.
#[derive(Clone, Copy, Debug)]
struct LoadJob {
    at_ms: u64,
    whole_ms: u64,
    due_ms: u64,
}

/// Returns a load of twice the capacity for ten seconds.
fn load(seed: u64) -> Vec<LoadJob> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut jobs = Vec::new();
    let mut at_ms = 0;
    while at_ms < 10_000 {
        let whole_ms = [20, 20, 20, 60, 200][rng.random_range(0..5)];
        let due_ms = at_ms + 100 + whole_ms * 3;
        jobs.push(LoadJob {
            at_ms,
            whole_ms,
            due_ms,
        });
        at_ms += rng.random_range(0..64);
    }
    jobs
}

/// Serves a load job by job; returns how many jobs are on time.
fn serve(jobs: &[LoadJob], policy: Policy) -> usize {
    let mut waiting: Vec<LoadJob> = Vec::new();
    let mut arriving = jobs.iter().copied().peekable();
    let (mut now_ms, mut on_time_count) = (0, 0);
    loop {
        while let Some(job) = arriving.next_if(|job| job.at_ms <= now_ms) {
            waiting.push(job);
        }
        let Some(index) = next_job(&waiting, now_ms, policy) else {
            let Some(next) = arriving.peek() else {
                return on_time_count;
            };
            now_ms = next.at_ms;
            continue;
        };
        let job = waiting.swap_remove(index);
        now_ms += job.whole_ms;
        on_time_count += usize::from(now_ms <= job.due_ms);
    }
}

fn next_job(waiting: &[LoadJob], now_ms: u64, policy: Policy) -> Option<usize> {
    let indices = 0..waiting.len();
    match policy {
        Policy::SoonestDue => indices.min_by_key(|index| waiting[*index].due_ms),
        Policy::Smallest => indices.min_by_key(|index| waiting[*index].whole_ms),
        Policy::SelectedJob => {
            let mut service_load =
                ServiceLoad::new(ResourceVector::of(&CAPACITY), Occupancy::default());
            for (index, job) in waiting.iter().enumerate() {
                let remaining_ms = job.due_ms.checked_sub(now_ms);
                service_load.push(WaitingJob {
                    key: index,
                    priority: 1,
                    work: ResourceVector::of(&CAPACITY).times(job.whole_ms as f64),
                    critical_path: Duration::from_ms(job.whole_ms),
                    time_to_objective: remaining_ms.map(Duration::from_ms),
                    time_to_worthless: None,
                });
            }
            let is_on_time =
                |it: &Selection| matches!(it, Selection::OnTime | Selection::OnTimeAfterLate);
            let selected = service_load.select();
            let first = selected
                .iter()
                .min_by_key(|it| (!is_on_time(&it.selection), waiting[it.key].due_ms));
            first.map(|it| it.key)
        }
    }
}

/// Under a load of twice the capacity, the module's selection has more jobs on time than
/// serving the soonest due first, or the smallest first.
#[test]
fn select_beats_other_policies() {
    let served = |policy| {
        (0..20)
            .map(|seed| serve(&load(seed), policy))
            .sum::<usize>()
    };
    let [due, smallest, selected] =
        [Policy::SoonestDue, Policy::Smallest, Policy::SelectedJob].map(served);
    let all: usize = (0..20).map(|seed| load(seed).len()).sum();
    println!("of {all}: {due} soonest due, {smallest} smallest, {selected} selected");
    assert!(selected > due);
    assert!(selected > smallest);
}

/// The time of day in these tests.
const WALL_CLOCK_MS: u64 = 100_000;
/// The age of a job that takes a second and has been past its objective of 3 s for longer than
/// any job of an overloaded service should wait; it is worthless after 9 s.
const AGED_MS: u64 = 34_000;

/// Fills two workers with four tasks of a first job, submits jobs of these ages, and ends two
/// of the tasks; returns the numbers of the jobs that are started in their place.
fn started_in_overload(features: Features, ages_ms: &[u64]) -> Vec<u64> {
    let joining = workers(2);
    let mut harness = Harness::with_features(features, &[]);
    // Jobs may be accepted at any time since the clock's zero.
    harness.now = Instant::from_ms(WALL_CLOCK_MS);
    harness.handle(Event::WallClock(WALL_CLOCK_MS));
    let mut harness = harness.with_workers(&joining);
    let mut jobs = vec![0];
    jobs.extend(ages_ms);
    for (number, age_ms) in jobs.into_iter().enumerate() {
        let (id, mut record) = job(number as u64, vec![step(4)]);
        record.accepted_ms = WALL_CLOCK_MS - age_ms;
        harness.submit_job((id, record));
    }
    harness.commit_all();
    let first = harness.starts();
    for start in first.iter().copied() {
        harness.answer_started(start);
    }
    let worker = first[0].0;
    let here = first.iter().filter(|(at, ..)| *at == worker);
    let ended = here
        .enumerate()
        .map(|(index, (_, task, run))| end(index as u64 + 1, *task, *run, EndKind::Done));
    let ended: Vec<EndedRun> = ended.collect();
    assert_eq!(ended.len(), 2);
    harness.answer_poll(worker, ended);
    harness.commit_all();
    let starts = harness.starts();
    let numbers = starts.iter().map(|(_, task, _)| task.step.job.number());
    numbers.collect()
}

/// A job of an overloaded service that has been late for long precedes those that could be on
/// time; of several such jobs the one
/// accepted first starts first. Without the feature it comes last.
#[test]
fn scheduling_order_aged_first() {
    let ages_ms = [0, 0, AGED_MS, AGED_MS + 1000, 0];
    let with = started_in_overload(Features::default(), &ages_ms);
    assert_eq!(with, [4, 4]);
    let off = Features::default().without(Feature::OverloadOrder);
    assert_eq!(started_in_overload(off, &ages_ms), [1, 1]);
}

/// A long-late job has precedence for a limited time, so that a gang that never fits does not
/// keep capacity from others permanently, and again some time later.
#[test]
fn scheduling_order_aged_alternately() {
    let past_precedence_ms = 3_000 + 36_000;
    let next_precedence_ms = 3_000 + 61_000;
    let first_started = |aged_ms| started_in_overload(Features::default(), &[0, 0, aged_ms, 0])[0];
    assert_ne!(first_started(past_precedence_ms), 3);
    assert_eq!(first_started(next_precedence_ms), 3);
}

/// Worthless jobs come after late ones, and these after jobs that can be on time.
#[test]
fn scheduling_order_worthless_last() {
    let worthless_ms = 20_000;
    assert_eq!(
        started_in_overload(Features::default(), &[worthless_ms, 4_000, 0]),
        [3, 3]
    );
    assert_eq!(
        started_in_overload(Features::default(), &[worthless_ms, 4_000, 4_000]),
        [2, 2]
    );
}

/// A service with free capacity for all that waits is not overloaded, however late the jobs
/// are.
#[test]
fn scheduling_order_unchanged_with_free_capacity() {
    let worthless_ms = 20_000;
    assert_eq!(
        started_in_overload(Features::default(), &[worthless_ms]),
        [1, 1]
    );
}
