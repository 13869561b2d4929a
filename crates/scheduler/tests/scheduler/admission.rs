//! Which jobs are refused at once, and that only those are which would be done too late.

use crate::support::world::{Faults, World};
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
/// A short job comes each so many milliseconds, for so long.
const PERIOD_MS: u64 = 250;
const LOAD_MS: u64 = 8_000;
const TURN_MS: u64 = 50;
const SHORT_MS: u64 = 500;
/// The estimate of long tasks, of which the first take all of the room.
const LONG_MS: u64 = 30_000;
/// A short job's objective: twice its estimate, and one second.
const SHORT_OBJECTIVE_MS: u64 = 2_000;
/// Everything is done within this time after the load.
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

/// How a play came out.
#[derive(Default)]
struct Outcome {
    /// The jobs that were refused, and when that was for the first time, from the begin of the
    /// load.
    refused_ms: BTreeMap<JobId, u64>,
    /// When refused callers came back.
    returns_ms: Vec<u64>,
    /// How long each job took from when it was first handed in.
    took_ms: BTreeMap<JobId, u64>,
}

struct Play {
    features: Features,
    lengths_percent: core::ops::Range<u64>,
    /// A new leader begins at this time.
    takeover_at_ms: Option<u64>,
}

impl Play {
    fn new(features: Features) -> Self {
        Self {
            features,
            lengths_percent: 80..120,
            takeover_at_ms: None,
        }
    }

    /// Plays a load of short jobs beside long tasks that take all room.
    fn run(&self, seed: u64) -> Outcome {
        let mut world = World::new(seed, WORKERS_COUNT, Faults::default(), None);
        world.run_lengths_percent = Some(self.lengths_percent.clone());
        world.elect_with_features(self.features);
        world.run_for(8_000);
        let long = StepSpec {
            estimate_ms: LONG_MS,
            ..step(2 * WORKERS_COUNT as u32)
        };
        let (id, mut record) = job(1_000_000, vec![long]);
        record.accepted_ms = world.now_ms;
        world.submit((id, record));
        world.run_for(500);
        let begun_ms = world.now_ms;
        let mut outcome = Outcome::default();
        // The jobs by when they are handed in, and when that was for the first time.
        let mut callers: BTreeMap<(u64, u64), u64> = (0..LOAD_MS / PERIOD_MS)
            .map(|number| {
                let at_ms = begun_ms + number * PERIOD_MS;
                ((at_ms, number + 1), at_ms)
            })
            .collect();
        let mut handed_in: BTreeMap<JobId, u64> = BTreeMap::new();
        while !callers.is_empty() || world.done_ms.len() < handed_in.len() + 1 {
            assert!(world.now_ms < begun_ms + LOAD_MS + DONE_WITHIN_MS);
            let is_due = self.takeover_at_ms == Some(world.now_ms - begun_ms);
            if is_due {
                world.elect();
            }
            let later = callers.split_off(&(world.now_ms + 1, 0));
            for ((at_ms, number), first_ms) in core::mem::replace(&mut callers, later) {
                let (id, record) = short_job(number, world.now_ms);
                let draw = number * 7919;
                match rejection(&world, &record) {
                    Some(rejection) => {
                        let since_ms = at_ms - begun_ms;
                        outcome.refused_ms.entry(id).or_insert(since_ms);
                        let back_ms = world.now_ms + rejection.retry_after(draw).as_ms();
                        outcome.returns_ms.push(back_ms);
                        callers.insert((back_ms, number), first_ms);
                    }
                    None => {
                        handed_in.insert(id, first_ms);
                        world.submit((id, record));
                    }
                }
            }
            world.run_for(TURN_MS);
            world.note_outcomes();
        }
        let took = handed_in
            .iter()
            .map(|(id, at_ms)| (*id, world.done_ms[id] - at_ms));
        outcome.took_ms = took.collect();
        outcome
    }
}

fn rejection(world: &World, record: &JobRecord) -> Option<ospreywing_scheduler::Rejection> {
    let forecast = world.forecast()?;
    forecast.rejection(record, &configuration(None), Duration::ZERO)
}

fn without_admission() -> Features {
    Features::default().without(Feature::Admission)
}

/// Where long work takes all room, short jobs are refused at once that would be worth nothing;
/// their callers come back at different times, and all are served.
#[test]
fn refuse_only_what_would_be_late() {
    let mut refused_count = 0;
    for seed in 0..SEEDS_COUNT {
        let with = Play::new(Features::default()).run(seed);
        let without = Play::new(without_admission()).run(seed);
        assert!(without.refused_ms.is_empty());
        assert_eq!(with.took_ms.len(), without.took_ms.len(), "all are served");
        refused_count += with.refused_ms.len();
        for id in with.refused_ms.keys() {
            let took_ms = without.took_ms[id];
            assert!(
                took_ms > 3 * SHORT_OBJECTIVE_MS,
                "seed {seed}: job {id} was refused and would have taken {took_ms} ms"
            );
        }
        let moments: BTreeSet<u64> = with.returns_ms.iter().map(|at_ms| at_ms / 100).collect();
        assert!(
            2 * moments.len() > with.returns_ms.len().min(40),
            "callers come back at once"
        );
    }
    println!("{refused_count} refused");
    assert!(refused_count > 0);
}

/// Tasks that take a fraction of their estimates, or many times as long, don't have anything
/// refused that would have been served.
#[test]
fn refuse_with_wrong_estimates() {
    for lengths_percent in [40..60, 230..250] {
        for seed in 0..SEEDS_COUNT {
            let play = |features| Play {
                lengths_percent: lengths_percent.clone(),
                ..Play::new(features)
            };
            let with = play(Features::default()).run(seed);
            let without = play(without_admission()).run(seed);
            for id in with.refused_ms.keys() {
                assert!(without.took_ms[id] > 3 * SHORT_OBJECTIVE_MS);
            }
        }
    }
}

/// A new leader has nothing refused before it knows what runs.
#[test]
fn refuse_nothing_after_takeover() {
    let takeover_ms = 3_000;
    let calm = Play::new(Features::default());
    let play = Play {
        takeover_at_ms: Some(takeover_ms),
        ..Play::new(Features::default())
    };
    let unsure = takeover_ms..takeover_ms + 4_000;
    let refused_count = |play: &Play| {
        let refused = play.run(1).refused_ms;
        refused
            .values()
            .filter(|at_ms| unsure.contains(*at_ms))
            .count()
    };
    assert!(refused_count(&calm) > 0);
    assert_eq!(refused_count(&play), 0);
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

/// Returns whether a job is refused by a forecast that came so long ago.
fn is_refused(forecast: &Forecast, record: &JobRecord, since_ms: u64) -> bool {
    let since = Duration::from_ms(since_ms);
    let rejection = forecast.rejection(record, &configuration(None), since);
    rejection.is_some()
}

#[test]
fn refusal_by_age() {
    let forecast = forecast(60_000);
    let (_, record) = short_job(1, 0);
    let limit_ms = FORECAST_AGE_LIMIT.as_ms() - forecast.age_ms;
    assert!(is_refused(&forecast, &record, limit_ms));
    assert!(!is_refused(&forecast, &record, limit_ms + 1));
}

#[test]
fn refusal_by_worth() {
    let (_, record) = short_job(1, 0);
    let worthless_ms = 3 * SHORT_OBJECTIVE_MS + 200;
    assert!(!is_refused(&forecast(worthless_ms), &record, 0));
    assert!(is_refused(&forecast(worthless_ms + 1), &record, 0));
}

/// A forecast tells nothing of jobs that need less, may take longer, or have no end.
#[test]
fn refusal_of_others() {
    let forecast = forecast(60_000);
    let (_, record) = short_job(1, 0);
    let mut smaller = record.clone();
    smaller.spec.steps[0].demand = Resources::new(100, 100, 0);
    let mut endless = record.clone();
    endless.spec.steps[0].is_perpetual = true;
    let mut scheduled = record.clone();
    scheduled.spec.schedule = Some(Schedule {
        rounds_count: 1,
        first_due_ms: 0,
        interval_ms: 0,
    });
    let mut elsewhere = record;
    elsewhere.queue = crate::support::PATIENT_QUEUE.to_owned();
    for record in [smaller, endless, scheduled, elsewhere] {
        assert!(!is_refused(&forecast, &record, 0));
    }
}

/// What is forecast is never later than room that is handed out millisecond by millisecond.
#[test]
fn done_after_is_no_later_than_room() {
    for seed in 0..200 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let capacity = Resources::new(16_000, 32_000, 4);
        let demand: ServiceLoad<JobId> =
            ServiceLoad::new(ResourceVector::of(&capacity), Occupancy::default());
        let mut runs: Vec<(Resources, u64)> = (0..rng.random_range(0..16))
            .map(|_| {
                let usage = Resources::new(rng.random_range(1..1000), 2000, 0);
                (usage, rng.random_range(0..3_000))
            })
            .collect();
        runs.sort_by_key(|(_, left_ms)| *left_ms);
        let lasting: Vec<OccupyingRun> = runs
            .iter()
            .map(|(usage, left_ms)| OccupyingRun {
                priority: 1,
                usage: ResourceVector::of(usage),
                remaining: Duration::from_ms(*left_ms),
            })
            .collect();
        let needed = Resources::new(rng.random_range(1..4_000), rng.random_range(1..8_000), 0);
        let needed_ms = 1_000;
        let mut given = [0u64; 2];
        let mut now_ms = 0;
        let is_given = |given: [u64; 2]| {
            given[0] >= u64::from(needed.cores_milli) * needed_ms
                && given[1] >= u64::from(needed.memory_mib) * needed_ms
        };
        while !is_given(given) {
            let mut free = capacity;
            let alive = runs.iter().filter(|(_, left_ms)| now_ms < *left_ms);
            alive.for_each(|(usage, _)| free -= *usage);
            given[0] += u64::from(free.cores_milli);
            given[1] += u64::from(free.memory_mib);
            now_ms += 1;
        }
        let amount = ResourceVector::of(&needed).times(needed_ms as f64);
        let latest = Duration::from_s(600);
        let done = demand.earliest_completion(lasting.iter(), amount, latest);
        assert!(
            done.as_ms() <= now_ms && now_ms <= done.as_ms() + 1,
            "seed {seed}"
        );
    }
}
