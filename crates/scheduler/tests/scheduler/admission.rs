//! Which jobs are rejected at once, and that these are only jobs that would have finished too
//! late.

use crate::support::simulation::{Faults, Simulation};
use crate::support::{configuration, job, step, QUEUE};
use ospreywing_scheduler::deadline_selection::{
    Occupancy, OccupyingRun, ResourceVector, ServiceLoad,
};
use ospreywing_scheduler::{
    Feature, Features, Forecast, JobId, JobRecord, QueueForecast, Schedule, StepSpec,
    FORECAST_AGE_LIMIT,
};
use ospreywing_types::{Duration, Resources};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BTreeSet};

const WORKERS_COUNT: usize = 4;
const SEEDS_COUNT: u64 = 2;
/// The time between two short jobs.
const PERIOD_MS: u64 = 250;
const LOAD_MS: u64 = 8_000;
const STEP_MS: u64 = 50;
const SHORT_MS: u64 = 500;
/// The estimate of long tasks, which occupy the whole capacity.
const LONG_MS: u64 = 30_000;
/// A short job's objective: twice its estimate, and one second.
const SHORT_OBJECTIVE_MS: u64 = 2_000;
/// The time after the load within which all jobs are done.
const DONE_WITHIN_MS: u64 = 120_000;

fn short_job(number: u64, now_ms: u64) -> (JobId, JobRecord) {
    let short = StepSpec {
        estimate_ms: SHORT_MS,
        ..step(1)
    };
    let (id, mut record) = job(number, vec![short]);
    record.accepted_ms = now_ms;
    (id, record)
}

/// The outcome of a scenario.
#[derive(Default)]
struct Outcome {
    /// When each rejected job was rejected first, since the start of the load.
    rejected_ms: BTreeMap<JobId, u64>,
    /// When the callers of rejected jobs submit them again.
    retries_ms: Vec<u64>,
    /// How long each job took since it was first submitted.
    took_ms: BTreeMap<JobId, u64>,
}

struct Scenario {
    features: Features,
    durations_percent: core::ops::Range<u64>,
    /// When a new leader takes over, since the start of the load.
    takeover_at_ms: Option<u64>,
}

impl Scenario {
    fn new(features: Features) -> Self {
        Self {
            features,
            durations_percent: 80..120,
            takeover_at_ms: None,
        }
    }

    /// Runs a load of short jobs alongside long tasks that occupy the whole capacity.
    fn run(&self, seed: u64) -> Outcome {
        let mut simulation = Simulation::new(seed, WORKERS_COUNT, Faults::default(), None);
        simulation.run_durations_percent = Some(self.durations_percent.clone());
        simulation.elect_with_features(self.features);
        simulation.run_for(8_000);
        let long = StepSpec {
            estimate_ms: LONG_MS,
            ..step(2 * WORKERS_COUNT as u32)
        };
        let (id, mut record) = job(1_000_000, vec![long]);
        record.accepted_ms = simulation.now_ms;
        simulation.submit((id, record));
        simulation.run_for(500);
        let began_ms = simulation.now_ms;
        let mut outcome = Outcome::default();
        // When each job is submitted next, with its number, and when it was first due.
        let mut callers: BTreeMap<(u64, u64), u64> = (0..LOAD_MS / PERIOD_MS)
            .map(|number| {
                let at_ms = began_ms + number * PERIOD_MS;
                ((at_ms, number + 1), at_ms)
            })
            .collect();
        let mut submitted_ms: BTreeMap<JobId, u64> = BTreeMap::new();
        while !callers.is_empty() || simulation.done_ms.len() < submitted_ms.len() + 1 {
            assert!(simulation.now_ms < began_ms + LOAD_MS + DONE_WITHIN_MS);
            let is_due = self.takeover_at_ms == Some(simulation.now_ms - began_ms);
            if is_due {
                simulation.elect();
            }
            let later = callers.split_off(&(simulation.now_ms + 1, 0));
            for ((at_ms, number), first_ms) in core::mem::replace(&mut callers, later) {
                let (id, record) = short_job(number, simulation.now_ms);
                let draw = number * 7919;
                match rejection(&simulation, &record) {
                    Some(rejection) => {
                        let since_ms = at_ms - began_ms;
                        outcome.rejected_ms.entry(id).or_insert(since_ms);
                        let retry_ms = simulation.now_ms + rejection.retry_after(draw).as_ms();
                        outcome.retries_ms.push(retry_ms);
                        callers.insert((retry_ms, number), first_ms);
                    }
                    None => {
                        submitted_ms.insert(id, first_ms);
                        simulation.submit((id, record));
                    }
                }
            }
            simulation.run_for(STEP_MS);
            simulation.record_outcomes();
        }
        let took = submitted_ms
            .iter()
            .map(|(id, at_ms)| (*id, simulation.done_ms[id] - at_ms));
        outcome.took_ms = took.collect();
        outcome
    }
}

fn rejection(
    simulation: &Simulation,
    record: &JobRecord,
) -> Option<ospreywing_scheduler::Rejection> {
    let forecast = simulation.forecast()?;
    forecast.rejection(record, &configuration(None), Duration::ZERO)
}

fn without_admission() -> Features {
    Features::default().without(Feature::Admission)
}

/// While long tasks occupy the whole capacity, short jobs that would become worthless are
/// rejected at once. Their callers retry at different times, and all are served in the end.
#[test]
fn reject_only_jobs_that_would_be_late() {
    let mut rejected_count = 0;
    for seed in 0..SEEDS_COUNT {
        let with = Scenario::new(Features::default()).run(seed);
        let without = Scenario::new(without_admission()).run(seed);
        assert!(without.rejected_ms.is_empty());
        assert_eq!(with.took_ms.len(), without.took_ms.len(), "all are served");
        rejected_count += with.rejected_ms.len();
        for id in with.rejected_ms.keys() {
            let took_ms = without.took_ms[id];
            assert!(
                took_ms > 3 * SHORT_OBJECTIVE_MS,
                "seed {seed}: job {id} was rejected and would have taken {took_ms} ms"
            );
        }
        let moments: BTreeSet<u64> = with.retries_ms.iter().map(|at_ms| at_ms / 100).collect();
        assert!(
            2 * moments.len() > with.retries_ms.len().min(40),
            "callers retry at the same time"
        );
    }
    println!("{rejected_count} rejected");
    assert!(rejected_count > 0);
}

/// If tasks take a fraction of their estimates, or much longer, no job is rejected that would
/// have been served in time.
#[test]
fn reject_with_wrong_estimates() {
    for durations_percent in [40..60, 230..250] {
        for seed in 0..SEEDS_COUNT {
            let scenario = |features| Scenario {
                durations_percent: durations_percent.clone(),
                ..Scenario::new(features)
            };
            let with = scenario(Features::default()).run(seed);
            let without = scenario(without_admission()).run(seed);
            for id in with.rejected_ms.keys() {
                assert!(without.took_ms[id] > 3 * SHORT_OBJECTIVE_MS);
            }
        }
    }
}

/// With a new leader nothing is rejected until it knows what is running.
#[test]
fn reject_nothing_after_takeover() {
    let takeover_ms = 3_000;
    let without_takeover = Scenario::new(Features::default());
    let scenario = Scenario {
        takeover_at_ms: Some(takeover_ms),
        ..Scenario::new(Features::default())
    };
    let window_ms = takeover_ms..takeover_ms + 4_000;
    let rejected_count = |scenario: &Scenario| {
        let rejected = scenario.run(1).rejected_ms;
        rejected
            .values()
            .filter(|at_ms| window_ms.contains(*at_ms))
            .count()
    };
    assert!(rejected_count(&without_takeover) > 0);
    assert_eq!(rejected_count(&scenario), 0);
}

fn forecast(done_ms: u64) -> Forecast {
    let (_, record) = short_job(1, 0);
    let step = &record.spec.steps[0];
    Forecast {
        age_ms: 200,
        queues: vec![QueueForecast {
            queue: QUEUE.to_owned(),
            objective_ms: SHORT_OBJECTIVE_MS,
            work: ResourceVector::of(&step.demand).times(step.estimate_ms as f64),
            done_ms,
        }],
    }
}

/// Returns whether a job is rejected by a forecast that was received `since_ms` ago.
fn is_rejected(forecast: &Forecast, record: &JobRecord, since_ms: u64) -> bool {
    let since = Duration::from_ms(since_ms);
    let rejection = forecast.rejection(record, &configuration(None), since);
    rejection.is_some()
}

#[test]
fn rejection_by_age() {
    let forecast = forecast(60_000);
    let (_, record) = short_job(1, 0);
    let limit_ms = FORECAST_AGE_LIMIT.as_ms() - forecast.age_ms;
    assert!(is_rejected(&forecast, &record, limit_ms));
    assert!(!is_rejected(&forecast, &record, limit_ms + 1));
}

#[test]
fn rejection_when_worthless() {
    let (_, record) = short_job(1, 0);
    let worthless_ms = 3 * SHORT_OBJECTIVE_MS + 200;
    assert!(!is_rejected(&forecast(worthless_ms), &record, 0));
    assert!(is_rejected(&forecast(worthless_ms + 1), &record, 0));
}

/// A forecast does not apply to jobs that need less, may take longer, or have no end.
#[test]
fn rejection_of_other_jobs() {
    let forecast = forecast(60_000);
    let (_, record) = short_job(1, 0);
    let mut smaller = record.clone();
    smaller.spec.steps[0].demand = Resources::new(100, 100, 0);
    let mut perpetual = record.clone();
    perpetual.spec.steps[0].is_perpetual = true;
    let mut scheduled = record.clone();
    scheduled.spec.schedule = Some(Schedule {
        rounds_count: 1,
        first_due_ms: 0,
        interval_ms: 0,
    });
    let mut elsewhere = record;
    elsewhere.queue = crate::support::LOW_PRIORITY_QUEUE.to_owned();
    for record in [smaller, perpetual, scheduled, elsewhere] {
        assert!(!is_rejected(&forecast, &record, 0));
    }
}

/// The forecast is never later than an allocation of the free capacity millisecond by
/// millisecond.
#[test]
fn earliest_completion_no_later_than_allocation() {
    for seed in 0..200 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let capacity = Resources::new(16_000, 32_000, 4);
        let service_load: ServiceLoad<JobId> =
            ServiceLoad::new(ResourceVector::of(&capacity), Occupancy::default());
        let mut runs: Vec<(Resources, u64)> = (0..rng.random_range(0..16))
            .map(|_| {
                let usage = Resources::new(rng.random_range(1..1000), 2000, 0);
                (usage, rng.random_range(0..3_000))
            })
            .collect();
        runs.sort_by_key(|(_, left_ms)| *left_ms);
        let occupying: Vec<OccupyingRun> = runs
            .iter()
            .map(|(usage, left_ms)| OccupyingRun {
                priority: 1,
                usage: ResourceVector::of(usage),
                remaining: Duration::from_ms(*left_ms),
            })
            .collect();
        let needed = Resources::new(rng.random_range(1..4_000), rng.random_range(1..8_000), 0);
        let needed_ms = 1_000;
        let mut allocated = [0u64; 2];
        let mut now_ms = 0;
        let is_allocated = |allocated: [u64; 2]| {
            allocated[0] >= u64::from(needed.cores_milli) * needed_ms
                && allocated[1] >= u64::from(needed.memory_mib) * needed_ms
        };
        while !is_allocated(allocated) {
            let mut free = capacity;
            let alive = runs.iter().filter(|(_, left_ms)| now_ms < *left_ms);
            alive.for_each(|(usage, _)| free -= *usage);
            allocated[0] += u64::from(free.cores_milli);
            allocated[1] += u64::from(free.memory_mib);
            now_ms += 1;
        }
        let amount = ResourceVector::of(&needed).times(needed_ms as f64);
        let latest = Duration::from_s(600);
        let done = service_load.earliest_completion(occupying.iter(), amount, latest);
        assert!(
            done.as_ms() <= now_ms && now_ms <= done.as_ms() + 1,
            "seed {seed}"
        );
    }
}
