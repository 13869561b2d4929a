//! Which jobs are chosen to be in time where not all can be.

use crate::support::bench::{end, workers, Bench};
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

/// Returns a job that needs all of the room for so long.
fn waiting_job(key: u64, whole_ms: u64, time_left_ms: u64) -> WaitingJob<u64> {
    WaitingJob {
        key,
        priority: 1,
        work: ResourceVector::of(&CAPACITY).times(whole_ms as f64),
        critical_path: Duration::from_ms(100),
        time_to_objective: Some(Duration::from_ms(time_left_ms)),
        time_to_worthless: Some(Duration::from_ms(3 * time_left_ms)),
    }
}

fn demand(occupancy: Occupancy, waiting_jobs: &[WaitingJob<u64>]) -> ServiceLoad<u64> {
    let mut demand = ServiceLoad::new(ResourceVector::of(&CAPACITY), occupancy);
    waiting_jobs.iter().for_each(|it| demand.push(*it));
    demand
}

/// Returns the keys of the jobs that are to be in time.
fn in_time(demand: &mut ServiceLoad<u64>) -> Vec<u64> {
    let selected = demand.select().into_iter();
    let is_in_time = |it: &Selection| matches!(it, Selection::OnTime | Selection::OnTimeAfterLate);
    let in_time = selected.filter(|it| is_in_time(&it.selection));
    let mut keys: Vec<u64> = in_time.map(|it| it.key).collect();
    keys.sort_unstable();
    keys
}

#[test]
fn select_keeps_all_that_fit() {
    let jobs = [waiting_job(1, 400, 1000), waiting_job(2, 400, 1000)];
    let mut demand = demand(Occupancy::default(), &jobs);
    assert!(demand.load_percent() < ENTER_LOAD_PERCENT);
    assert_eq!(in_time(&mut demand), [1, 2]);
}

#[test]
fn select_leaves_out_largest() {
    let jobs = [
        waiting_job(1, 800, 1000),
        waiting_job(2, 300, 1100),
        waiting_job(3, 300, 1200),
    ];
    let mut demand = demand(Occupancy::default(), &jobs);
    assert!(demand.load_percent() > ENTER_LOAD_PERCENT);
    assert_eq!(in_time(&mut demand), [2, 3]);
}

/// Of jobs that are as large, the one is left out that is most likely to be late.
#[test]
fn select_leaves_out_soonest_of_equals() {
    let jobs = [1000, 1100, 1200].map(|left_ms| waiting_job(left_ms, 500, left_ms));
    assert_eq!(
        in_time(&mut demand(Occupancy::default(), &jobs)),
        [1100, 1200]
    );
}

#[test]
fn select_leaves_out_less_important_first() {
    let mut important = waiting_job(1, 800, 1000);
    important.priority = 0;
    let jobs = [important, waiting_job(2, 300, 1000)];
    assert_eq!(in_time(&mut demand(Occupancy::default(), &jobs)), [1]);
}

/// Jobs that need different resources don't keep each other out.
#[test]
fn select_tells_resources_apart() {
    let with = |key, resources: Resources| WaitingJob {
        work: ResourceVector::of(&resources).times(800.0),
        ..waiting_job(key, 0, 1000)
    };
    let jobs = [
        with(1, Resources::new(10_000, 0, 0)),
        with(2, Resources::new(0, 0, 10)),
    ];
    assert_eq!(in_time(&mut demand(Occupancy::default(), &jobs)), [1, 2]);
}

/// Room that runs take for longer than a job's objective is not there for it.
#[test]
fn select_counts_what_runs() {
    let mut occupancy = Occupancy::default();
    occupancy.add(ResourceVector::of(&CAPACITY).times(0.5), None);
    occupancy.add(
        ResourceVector::of(&CAPACITY).times(0.4),
        Some(Duration::from_ms(100)),
    );
    let jobs = [waiting_job(1, 400, 1000), waiting_job(2, 200, 1000)];
    assert_eq!(in_time(&mut demand(occupancy, &jobs)), [2]);
}

#[test]
fn select_late_within_worth() {
    let late = |key, whole_ms| WaitingJob {
        time_to_objective: None,
        time_to_worthless: Some(Duration::from_ms(1000)),
        ..waiting_job(key, whole_ms, 1000)
    };
    let mut demand = demand(Occupancy::default(), &[late(1, 800), late(2, 300)]);
    let selections: Vec<(u64, Selection)> = demand
        .select()
        .iter()
        .map(|it| (it.key, it.selection))
        .collect();
    assert!(selections.contains(&(1, Selection::Last)));
    assert!(selections.contains(&(2, Selection::Late)));
}

#[test]
fn select_without_capacity() {
    let mut demand = ServiceLoad::new(ResourceVector::default(), Occupancy::default());
    demand.push(waiting_job(1, 100, 1000));
    assert!(demand.load_percent() > LEAVE_LOAD_PERCENT);
    assert_eq!(demand.select().len(), 1);
}

/// A way to choose the next job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// The one that is due first.
    SoonestDue,
    /// The one that needs least.
    Smallest,
    /// As the module chooses, the one of these first that is due first.
    SelectedJob,
}

/// A job of a load: when it comes, how long it takes all of the room, and when it is due.
#[derive(Clone, Copy, Debug)]
struct LoadJob {
    at_ms: u64,
    whole_ms: u64,
    due_ms: u64,
}

/// Returns a load of twice the room for ten seconds.
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

/// Serves a load job by job; returns how many are in time.
fn serve(jobs: &[LoadJob], way: Way) -> usize {
    let mut waiting: Vec<LoadJob> = Vec::new();
    let mut coming = jobs.iter().copied().peekable();
    let (mut now_ms, mut in_time_count) = (0, 0);
    loop {
        while let Some(job) = coming.next_if(|job| job.at_ms <= now_ms) {
            waiting.push(job);
        }
        let Some(index) = choose(&waiting, now_ms, way) else {
            let Some(next) = coming.peek() else {
                return in_time_count;
            };
            now_ms = next.at_ms;
            continue;
        };
        let job = waiting.swap_remove(index);
        now_ms += job.whole_ms;
        in_time_count += usize::from(now_ms <= job.due_ms);
    }
}

fn choose(waiting: &[LoadJob], now_ms: u64, way: Way) -> Option<usize> {
    let indices = 0..waiting.len();
    match way {
        Way::SoonestDue => indices.min_by_key(|index| waiting[*index].due_ms),
        Way::Smallest => indices.min_by_key(|index| waiting[*index].whole_ms),
        Way::SelectedJob => {
            let mut demand = ServiceLoad::new(ResourceVector::of(&CAPACITY), Occupancy::default());
            for (index, job) in waiting.iter().enumerate() {
                let left_ms = job.due_ms.checked_sub(now_ms);
                demand.push(WaitingJob {
                    key: index,
                    priority: 1,
                    work: ResourceVector::of(&CAPACITY).times(job.whole_ms as f64),
                    critical_path: Duration::from_ms(job.whole_ms),
                    time_to_objective: left_ms.map(Duration::from_ms),
                    time_to_worthless: None,
                });
            }
            let is_in_time =
                |it: &Selection| matches!(it, Selection::OnTime | Selection::OnTimeAfterLate);
            let selected = demand.select();
            let first = selected
                .iter()
                .min_by_key(|it| (!is_in_time(&it.selection), waiting[it.key].due_ms));
            first.map(|it| it.key)
        }
    }
}

/// Under twice the room, what the module chooses has more jobs in time than the one that is
/// due first, and than the smallest first.
#[test]
fn select_beats_other_ways() {
    let served = |way| (0..20).map(|seed| serve(&load(seed), way)).sum::<usize>();
    let [due, smallest, selected] = [Way::SoonestDue, Way::Smallest, Way::SelectedJob].map(served);
    let all: usize = (0..20).map(|seed| load(seed).len()).sum();
    println!("of {all}: {due} soonest due, {smallest} smallest, {selected} selected");
    assert!(selected > due);
    assert!(selected > smallest);
}

/// What the wall clock shows.
const WALL_MS: u64 = 100_000;
/// The age of a job of a second whose objective, 3 s, has been over for longer than any job of
/// an overloaded service should wait; its worth was over after 9.
const AGED_MS: u64 = 34_000;

/// Returns two workers, both taken by four tasks of the first job, of which two end once the
/// jobs are there that are older by so much.
fn started_in_overload(features: Features, ages_ms: &[u64]) -> Vec<u64> {
    let joining = workers(2);
    let mut bench = Bench::with_features(features, &[]);
    // Jobs may be as old as the clock tells.
    bench.now = Instant::from_ms(WALL_MS);
    bench.tell(Event::WallClock(WALL_MS));
    let mut bench = bench.with_workers(&joining);
    let mut jobs = vec![0];
    jobs.extend(ages_ms);
    for (number, age_ms) in jobs.into_iter().enumerate() {
        let (id, mut record) = job(number as u64, vec![step(4)]);
        record.accepted_ms = WALL_MS - age_ms;
        bench.submit_job((id, record));
    }
    bench.commit_all();
    let first = bench.starts();
    for start in first.iter().copied() {
        bench.started(start);
    }
    let worker = first[0].0;
    let here = first.iter().filter(|(at, ..)| *at == worker);
    let ended = here
        .enumerate()
        .map(|(index, (_, task, run))| end(index as u64 + 1, *task, *run, EndKind::Done));
    let ended: Vec<EndedRun> = ended.collect();
    assert_eq!(ended.len(), 2);
    bench.list(worker, ended);
    bench.commit_all();
    let starts = bench.starts();
    let numbers = starts.iter().map(|(_, task, _)| task.step.job.number());
    numbers.collect()
}

/// A job of an overloaded service that is long late comes before those that could be in time,
/// the one that was accepted first at a time. Without the feature it comes last.
#[test]
fn service_order_aged_first() {
    let ages_ms = [0, 0, AGED_MS, AGED_MS + 1000, 0];
    let with = started_in_overload(Features::default(), &ages_ms);
    assert_eq!(with, [4, 4]);
    let off = Features::default().without(Feature::OverloadOrder);
    assert_eq!(started_in_overload(off, &ages_ms), [1, 1]);
}

/// A turn ends, so that a gang that never fits does not keep room from others for ever, and
/// comes again.
#[test]
fn service_order_aged_in_turns() {
    let turn_over_ms = 3_000 + 36_000;
    let next_turn_ms = 3_000 + 61_000;
    let first_started = |aged_ms| started_in_overload(Features::default(), &[0, 0, aged_ms, 0])[0];
    assert_ne!(first_started(turn_over_ms), 3);
    assert_eq!(first_started(next_turn_ms), 3);
}

/// What is past all worth comes after what is late, and that after what can be in time.
#[test]
fn service_order_overdue_last() {
    let overdue_ms = 20_000;
    assert_eq!(
        started_in_overload(Features::default(), &[overdue_ms, 4_000, 0]),
        [3, 3]
    );
    assert_eq!(
        started_in_overload(Features::default(), &[overdue_ms, 4_000, 4_000]),
        [2, 2]
    );
}

/// A service in which what waits has room is not overloaded, however late that is.
#[test]
fn service_order_as_usual_with_room() {
    let overdue_ms = 20_000;
    assert_eq!(
        started_in_overload(Features::default(), &[overdue_ms]),
        [1, 1]
    );
}
