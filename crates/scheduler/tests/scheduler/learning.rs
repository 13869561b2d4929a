//! Learned durations and speeds as plain values: their accuracy, and data that could mislead
//! them.

use crate::support::harness::{end, workers, Harness};
use crate::support::{deferrable_job, job, placed_state, step};
use ospreywing_scheduler::{
    DurationForecast, Durations, Ejection, EndKind, Event, Feature, Features, JobId, JobRecord,
    Learned, LearnedQuantiles, LearnedSize, LearnedSpeed, Recovered, Speeds, StartReply, StepClass,
    StepSpec, TaskStatus, WorkerChange,
};
use ospreywing_types::{Duration, Instant};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;
use std::sync::Arc;

const QUEUE: &str = "render";
/// The standard deviation of the logarithm of a queue's task durations.
const DURATION_LOG_STD_DEV: f64 = 0.5;
/// The maximum factor by which an estimate is wrong.
const ESTIMATE_ERROR_FACTOR: f64 = 2.5;
const TYPICAL_MS: f64 = 1_500.0;
const SEED: u64 = 20;

/// Returns an approximately normally distributed number.
fn normal(rng: &mut Pcg64) -> f64 {
    let sum: f64 = (0..12).map(|_| rng.random::<f64>()).sum();
    sum - 6.0
}

/// A step's class, with its estimate, and its actual duration.
#[derive(Clone, Copy)]
struct Sample {
    kind: StepClass,
    actual: Duration,
}

fn draw_sample(rng: &mut Pcg64, typical_ms: f64, estimate_factor: f64) -> Sample {
    let actual_ms = typical_ms * (DURATION_LOG_STD_DEV * normal(rng)).exp();
    let off = estimate_factor.powf(rng.random_range(-1.0..=1.0));
    Sample {
        kind: StepClass {
            is_gang: false,
            estimate: Duration::from_ms((actual_ms * off) as u64),
        },
        actual: Duration::from_ms(actual_ms as u64),
    }
}

fn at(step: u64) -> Instant {
    Instant::from_ms(1_000 + step * 500)
}

/// Returns the durations learned from `count` steps, and the forecasts for the last half of
/// them.
fn learn(count: u64, estimate_factor: f64) -> (Durations, Vec<(Sample, Option<DurationForecast>)>) {
    let mut rng = Pcg64::seed_from_u64(SEED);
    let mut durations = Durations::default();
    let mut forecasts = Vec::new();
    for step in 0..count {
        let sample = draw_sample(&mut rng, TYPICAL_MS, estimate_factor);
        if step >= count / 2 {
            forecasts.push((sample, durations.forecast(at(step), QUEUE, sample.kind)));
        }
        durations.record(at(step), QUEUE, sample.kind, sample.actual);
    }
    (durations, forecasts)
}

fn error(forecast: Duration, actual: Duration) -> f64 {
    let ratio = forecast.as_ms().max(1) as f64 / actual.as_ms().max(1) as f64;
    ratio.ln().abs()
}

/// A forecast is more accurate than the estimate, and its bounds hold as often as they claim.
#[test]
fn durations_forecast_better_than_estimate() {
    let (durations, forecasts) = learn(800, ESTIMATE_ERROR_FACTOR);
    let with_forecast: Vec<(Sample, DurationForecast)> = forecasts
        .into_iter()
        .filter_map(|(sample, forecast)| Some((sample, forecast?)))
        .collect();
    assert!(with_forecast.len() >= 380, "forecasts after 400 steps");
    let count = with_forecast.len() as f64;
    let mean = |duration: fn(&(Sample, DurationForecast)) -> Duration| {
        let errors = with_forecast
            .iter()
            .map(|it| error(duration(it), it.0.actual));
        errors.sum::<f64>() / count
    };
    let (by_forecast, by_estimate) = (mean(|it| it.1.likely), mean(|it| it.0.kind.estimate));
    println!("mean error: forecast {by_forecast:.3}, estimate {by_estimate:.3}");
    assert!(
        by_forecast <= 0.8 * by_estimate,
        "{by_forecast} {by_estimate}"
    );
    let part = |predicate: fn(&(Sample, DurationForecast)) -> bool| {
        with_forecast.iter().filter(|it| predicate(it)).count() as f64 / count
    };
    let (below, above) = (
        part(|it| it.0.actual < it.1.sure),
        part(|it| it.0.actual > it.1.late),
    );
    println!("{below:.3} shorter than sure, {above:.3} longer than late");
    // Jobs that could be on time must not be treated as late, and no capacity may be expected
    // that won't be free.
    assert!(below <= 0.15 && above <= 0.15, "{below} {above}");
    let errors = durations.error();
    assert!(errors.forecast_percent < errors.estimate_percent);
}

/// Nine in ten of the jobs that a forecast calls surely late are late.
#[test]
fn durations_forecast_surely_late() {
    let (_, forecasts) = learn(800, ESTIMATE_ERROR_FACTOR);
    let limit = Duration::from_ms(TYPICAL_MS as u64);
    let called_late = forecasts
        .iter()
        .filter(|(_, forecast)| forecast.is_some_and(|forecast| forecast.sure > limit));
    let called_late: Vec<Sample> = called_late.map(|(sample, _)| *sample).collect();
    let late = called_late.iter().filter(|sample| sample.actual > limit);
    let late_count = late.count();
    let share = late_count as f64 / called_late.len() as f64;
    println!("{share:.3} of {} are late", called_late.len());
    assert!(late_count >= 20 && share >= 0.9);
}

/// Accurate estimates are not made worse.
#[test]
fn durations_forecast_accurate_estimates() {
    let (_, forecasts) = learn(800, 1.0);
    for (sample, forecast) in forecasts {
        let forecast = forecast.map_or(sample.kind.estimate, |forecast| forecast.likely);
        let off = error(forecast, sample.actual);
        assert!(off <= 0.15, "{forecast} for {}", sample.actual);
    }
}

#[test]
fn durations_forecast_none_without_data() {
    let mut durations = Durations::default();
    let mut rng = Pcg64::seed_from_u64(SEED);
    let sample = draw_sample(&mut rng, TYPICAL_MS, ESTIMATE_ERROR_FACTOR);
    assert_eq!(durations.forecast(at(0), QUEUE, sample.kind), None);
    for step in 0..8 {
        durations.record(at(step), QUEUE, sample.kind, sample.actual);
    }
    assert!(durations.forecast(at(8), QUEUE, sample.kind).is_some());
    assert_eq!(durations.forecast(at(8), "other", sample.kind), None);
    let much_later = at(8) + Duration::from_s(700);
    assert_eq!(durations.forecast(much_later, QUEUE, sample.kind), None);
}

/// When a queue's tasks become three times as long, the earlier durations are forgotten within
/// two windows.
#[test]
fn durations_forecast_follows_change() {
    let mut rng = Pcg64::seed_from_u64(SEED);
    let mut durations = Durations::default();
    let same_estimate = StepClass {
        is_gang: false,
        estimate: Duration::from_ms(1_500),
    };
    for step in 0..1_500 {
        let typical_ms = if step < 750 { 1_500.0 } else { 4_500.0 };
        let sample = draw_sample(&mut rng, typical_ms, 1.0);
        durations.record(at(step), QUEUE, same_estimate, sample.actual);
    }
    let forecast = durations.forecast(at(1_500), QUEUE, same_estimate);
    let likely = forecast.expect("a forecast").likely;
    assert!(error(likely, Duration::from_ms(4_500)) < 0.2, "{likely}");
}

/// The memory is bounded, however many queues there are.
#[test]
fn durations_keep_bounded_memory() {
    let mut durations = Durations::default();
    let mut rng = Pcg64::seed_from_u64(SEED);
    for step in 0..2_000 {
        let sample = draw_sample(&mut rng, TYPICAL_MS, ESTIMATE_ERROR_FACTOR);
        durations.record(at(step), &format!("q{step}"), sample.kind, sample.actual);
    }
    assert!(durations.classes_count() <= 1_024);
    assert!(
        durations.sketches_bytes() <= 8 << 20,
        "{}",
        durations.sketches_bytes()
    );
}

fn machines(count: usize) -> Vec<Arc<str>> {
    (0..count)
        .map(|number| Arc::from(format!("m{number}")))
        .collect()
}

/// Records `count` runs of each machine, whose speeds vary as those of a step's tasks do.
fn run(speeds: &mut Speeds, rng: &mut Pcg64, now: Instant, fleet: &[(Arc<str>, f64)], count: u32) {
    for _ in 0..count {
        for (machine, speed) in fleet {
            let off = rng.random_range(0.7..1.3);
            speeds.record(now, machine, speed * off);
        }
    }
}

fn fleet_of(machines: &[Arc<str>], speed: fn(usize) -> f64) -> Vec<(Arc<str>, f64)> {
    let numbered = machines.iter().cloned().enumerate();
    numbered.map(|(number, id)| (id, speed(number))).collect()
}

/// After ten runs nine of ten machines are classified correctly as slow, typical or fast.
#[test]
fn speeds_classify_machines() {
    let mut rng = Pcg64::seed_from_u64(SEED);
    let machines = machines(200);
    let fleet = fleet_of(&machines, |number| [0.77, 1.0, 2.0][number % 3]);
    let mut speeds = Speeds::default();
    run(&mut speeds, &mut rng, at(0), &fleet, 10);
    let kind = |speed: f64| usize::from(speed > 0.87) + usize::from(speed > 1.41);
    let correct = fleet.iter().filter(|(id, speed)| {
        let learned = speeds.speed(at(1), id).expect("a speed after ten runs");
        kind(learned) == kind(*speed)
    });
    let right = correct.count();
    println!("{right} of 200 machines are classified correctly");
    assert!(right >= 180);
}

/// If one report in ten is wrong by a factor of a hundred, no speed changes by a quarter.
#[test]
fn speeds_ignore_outliers() {
    let mut rng = Pcg64::seed_from_u64(SEED);
    let machines = machines(20);
    let fleet = fleet_of(&machines, |_| 1.0);
    let mut speeds = Speeds::default();
    for round in 0..10 {
        run(&mut speeds, &mut rng, at(round), &fleet, 9);
        for (number, machine) in machines.iter().enumerate() {
            let outlier = if number % 2 == 0 { 100.0 } else { 0.01 };
            speeds.record(at(round), machine, outlier);
            speeds.record(at(round), machine, f64::NAN);
        }
    }
    for machine in &machines {
        let learned = speeds.speed(at(10), machine).expect("a speed");
        assert!((0.75..1.34).contains(&learned), "{learned}");
    }
    assert_eq!(speeds.eject_slow(at(10), &machines), vec![]);
}

/// Returns speeds learned from machines that all have the typical speed.
fn typical_speeds(rng: &mut Pcg64, machines: &[Arc<str>], runs_count: u32) -> Speeds {
    let mut speeds = Speeds::default();
    let typical = fleet_of(machines, |_| 1.0);
    run(&mut speeds, rng, at(0), &typical, runs_count);
    speeds
}

/// A changed speed is learned within five runs, even after a hundred runs at another one.
#[test]
fn speeds_follow_change() {
    let mut rng = Pcg64::seed_from_u64(SEED);
    let machines = machines(1);
    let mut speeds = typical_speeds(&mut rng, &machines, 100);
    run(
        &mut speeds,
        &mut rng,
        at(1),
        &fleet_of(&machines, |_| 0.4),
        5,
    );
    let learned = speeds.speed(at(2), "m0").expect("a speed");
    assert!(learned < 0.6, "{learned}");
    let (runs_count, age) = speeds.evidence(at(2), "m0").expect("evidence");
    assert_eq!((runs_count, age), (105, Duration::from_ms(500)));
}

/// A machine that becomes slow is ejected, i.e. used last. After a while it is used again, and
/// ejected for longer if it is still slow. A machine whose baseline speed is slow is not
/// ejected.
#[test]
fn speeds_eject_recently_slow() {
    let mut rng = Pcg64::seed_from_u64(SEED);
    let machines = machines(20);
    let mut speeds = Speeds::default();
    let baseline_speed = |number| if number == 1 { 0.5 } else { 1.0 };
    run(
        &mut speeds,
        &mut rng,
        at(0),
        &fleet_of(&machines, baseline_speed),
        20,
    );
    assert_eq!(speeds.eject_slow(at(1), &machines), vec![]);
    let slowed = |number| [0.25, 0.5].get(number).copied().unwrap_or(1.0);
    run(
        &mut speeds,
        &mut rng,
        at(1),
        &fleet_of(&machines, slowed),
        5,
    );
    let expected = |duration| {
        vec![Ejection {
            machine: machines[0].clone(),
            duration,
        }]
    };
    let first = speeds.eject_slow(at(2), &machines);
    assert_eq!(first, expected(Duration::from_s(5)));
    assert!(speeds.is_ejected(at(3), "m0") && !speeds.is_ejected(at(3), "m1"));
    let after = at(2) + Duration::from_s(5);
    assert!(!speeds.is_ejected(after, "m0"));
    assert_eq!(speeds.eject_slow(after, &machines), vec![]);
    run(
        &mut speeds,
        &mut rng,
        after,
        &fleet_of(&machines, slowed),
        5,
    );
    let second = speeds.eject_slow(after, &machines);
    assert_eq!(second, expected(Duration::from_s(10)));
}

/// Only a part of a service's machines is ejected at a time, and none if all become slow.
#[test]
fn speeds_eject_limited() {
    let mut rng = Pcg64::seed_from_u64(SEED);
    let machines = machines(40);
    let mut speeds = typical_speeds(&mut rng, &machines, 20);
    let mut others = speeds.clone();
    let third = |number| if number % 3 == 0 { 0.3 } else { 1.0 };
    run(&mut speeds, &mut rng, at(1), &fleet_of(&machines, third), 5);
    assert_eq!(speeds.eject_slow(at(2), &machines).len(), 4);
    run(&mut speeds, &mut rng, at(2), &fleet_of(&machines, third), 5);
    assert_eq!(
        speeds.eject_slow(at(3), &machines),
        vec![],
        "a tenth is ejected already"
    );
    run(
        &mut others,
        &mut rng,
        at(1),
        &fleet_of(&machines, |_| 0.3),
        5,
    );
    assert_eq!(others.eject_slow(at(2), &machines), vec![], "all are slow");
}

/// The ways in which a run differs from those from which durations are learned.
#[derive(Clone, Copy, Debug, Default)]
struct RunKind {
    is_failed: bool,
    is_seen_late: bool,
    has_checkpoint: bool,
    is_repeated: bool,
    is_away_from_data: bool,
    is_filler: bool,
}

/// Returns how many step sizes are learned from a run.
fn learned_count(run_kind: RunKind) -> usize {
    let mut state = placed_state("w0", 1);
    let task = &mut state.rounds[0].steps[0].tasks[0];
    task.status = TaskStatus::Waiting;
    task.checkpoint = run_kind.has_checkpoint.then(|| "half".to_owned());
    let mut spec = step(1);
    spec.data_rack = run_kind.is_away_from_data.then(|| "r9".to_owned());
    spec.is_filler = run_kind.is_filler;
    let recovered = Recovered {
        jobs: vec![job(1, vec![spec])],
        states: vec![(JobId::new(1), state)],
        ..Recovered::default()
    };
    let mut harness = Harness::new(recovered, &workers(1));
    harness.commit_all();
    let start = harness.starts()[0];
    let (worker, task, run) = start;
    if run_kind.is_repeated {
        let reply = StartReply::Unanswered;
        harness.handle(Event::StartAnswered {
            worker,
            task,
            run,
            reply,
        });
        harness.commit_all();
    }
    harness.answer_started(start);
    harness.now = harness.now + Duration::from_ms(900);
    if !run_kind.is_seen_late {
        harness.answer_polls_with_progress(&[start], 90);
    }
    let kind = if run_kind.is_failed {
        EndKind::Failed
    } else {
        EndKind::Done
    };
    harness.answer_poll(worker, vec![end(1, task, run, kind)]);
    harness.scheduler.status(harness.now).learned_sizes_count
}

/// Durations are learned only from runs whose whole time is known and was spent on the work.
#[rstest]
#[case::whole(RunKind::default(), 2)]
#[case::failed(RunKind { is_failed: true, ..RunKind::default() }, 0)]
#[case::seen_late(RunKind { is_seen_late: true, ..RunKind::default() }, 0)]
#[case::from_checkpoint(RunKind { has_checkpoint: true, ..RunKind::default() }, 0)]
#[case::start_repeated(RunKind { is_repeated: true, ..RunKind::default() }, 0)]
#[case::away_from_data(RunKind { is_away_from_data: true, ..RunKind::default() }, 0)]
#[case::filler(RunKind { is_filler: true, ..RunKind::default() }, 0)]
fn learn_from_whole_runs_only(#[case] run_kind: RunKind, #[case] sizes_count: usize) {
    assert_eq!(learned_count(run_kind), sizes_count);
}

/// Returns how many runs are stopped on workers that depart in 4 s, where a step's tasks take
/// ten seconds by their estimate and four of them have taken one second.
fn stopped_count(features: Features) -> usize {
    let departing = workers(2);
    let mut harness = Harness::with_features(features, &departing);
    let short = StepSpec {
        estimate_ms: 10_000,
        ..step(8)
    };
    harness.submit(1, vec![short]);
    harness.commit_all();
    let first = harness.starts();
    assert_eq!(first.len(), 4);
    for start in &first {
        harness.answer_started(*start);
    }
    harness.now = harness.now + Duration::from_ms(900);
    harness.answer_polls_with_progress(&first, 0);
    for pair in first.chunks(2) {
        let ends = (1..).zip(pair);
        let ends = ends.map(|(number, (_, task, run))| end(number, *task, *run, EndKind::Done));
        harness.answer_poll(pair[0].0, ends.collect());
    }
    harness.commit_all();
    let second = harness.starts();
    assert_eq!(second.len(), 4);
    for start in &second {
        harness.answer_started(*start);
    }
    for mut worker in departing {
        worker.is_draining = true;
        worker.departs_at_clock_ms = Some(harness.now.as_ms() + 4_000);
        let change = WorkerChange::Listed(worker.facts());
        harness.handle(Event::WorkersChanged(vec![change]));
    }
    harness.now = harness.now + Duration::from_ms(200);
    harness.handle(Event::Tick);
    harness.stops().len()
}

/// A run that ends in time by the durations of its step's other tasks is not stopped for its
/// estimate.
#[test]
fn stop_before_departures_by_tasks_of_step() {
    assert_eq!(stopped_count(Features::default()), 0);
    let without = Features::default().without(Feature::Learning);
    assert_eq!(stopped_count(without), 4);
}

/// Returns a harness whose scheduler has restored what an earlier one learned.
fn scheduler_with(learned: &Learned) -> Harness {
    let mut harness = Harness::new(Recovered::default(), &workers(2));
    harness.scheduler.restore_learned(harness.now, learned);
    harness
        .scheduler
        .verify()
        .expect("the scheduler's invariants hold");
    harness
}

fn learned_size(likely: u64, age_ms: u64) -> LearnedSize {
    let lengths = LearnedQuantiles {
        sure: likely / 2,
        likely,
        late: likely * 2,
        spread_milli: 500,
    };
    LearnedSize {
        queue: Arc::from(QUEUE),
        is_gang: false,
        size: Some(9),
        ratios: Some(lengths),
        lengths,
        count: 16,
        age_ms,
    }
}

fn learned_speed(speed_milli: u32) -> LearnedSpeed {
    LearnedSpeed {
        machine: Arc::from("w0"),
        speed_milli,
        runs_count: 9,
        age_ms: 100,
    }
}

/// The learned data is unchanged by a handover.
#[test]
fn restore_learned_unchanged() {
    let learned = Learned {
        sizes: vec![learned_size(700, 100)],
        speeds: vec![learned_speed(500)],
    };
    let harness = scheduler_with(&learned);
    assert_eq!(harness.scheduler.learned(harness.now), learned);
    let bytes = postcard::to_allocvec(&learned).expect("the learned data is serializable");
    assert_eq!(postcard::from_bytes(&bytes), Ok(learned));
}

/// Invalid and outdated data is skipped.
#[rstest]
#[case::too_old(learned_size(700, 700_000))]
#[case::zero(learned_size(0, 0))]
#[case::out_of_order(LearnedSize {
    lengths: LearnedQuantiles { sure: 9, likely: 5, late: 7, spread_milli: 0 },
    ..learned_size(700, 0)
})]
fn restore_learned_skips_invalid(#[case] size: LearnedSize) {
    let learned = Learned {
        sizes: vec![size],
        speeds: vec![learned_speed(0), learned_speed(u32::MAX)],
    };
    let harness = scheduler_with(&learned);
    assert!(harness.scheduler.learned(harness.now).is_empty());
}

/// Returns the ids of the workers on which the tasks of a job are placed, in a service of six
/// workers of which the two numbered `slow` take a third longer.
fn placed_on(features: Features, slow: [usize; 2], job: (JobId, JobRecord)) -> Vec<String> {
    let all = workers(6);
    let mut harness = Harness::with_features(features, &all);
    let speeds = all.iter().enumerate().map(|(number, worker)| LearnedSpeed {
        machine: worker.id.clone(),
        ..learned_speed(if slow.contains(&number) { 750 } else { 1000 })
    });
    let learned = Learned {
        sizes: Vec::new(),
        speeds: speeds.collect(),
    };
    harness.scheduler.restore_learned(harness.now, &learned);
    harness.now = harness.now + Duration::from_ms(20);
    harness.handle(Event::Tick);
    harness.submit_job(job);
    harness.commit_all();
    let mut placed: Vec<String> = Vec::new();
    for (key, ..) in harness.starts() {
        let mut ids = all.iter().map(|worker| worker.id.to_string());
        let id = ids.find(|id| harness.scheduler.worker_key(id) == Some(key));
        placed.extend(id);
    }
    placed.sort();
    placed
}

fn deferrable_gang(tasks_count: u32) -> (JobId, JobRecord) {
    let (id, mut record) = deferrable_job(1, tasks_count);
    record.spec.steps[0].is_gang = true;
    (id, record)
}

/// Urgent work avoids slow workers and deferrable work takes them. A deferrable gang takes
/// workers of one speed that hold all of it. Without learning the first workers are taken.
#[rstest]
#[case::urgent([0, 1], job(1, vec![step(1)]), &["w2"], &["w0"])]
#[case::deferrable([4, 5], deferrable_job(1, 1), &["w4"], &["w0"])]
#[case::deferrable_gang([4, 5], deferrable_gang(4), &["w4", "w4", "w5", "w5"], &["w0", "w0", "w1", "w1"])]
#[case::wide_gang([0, 1], deferrable_gang(6),
    &["w2", "w2", "w3", "w3", "w4", "w4"], &["w0", "w0", "w1", "w1", "w2", "w2"])]
fn candidates_by_speed(
    #[case] slow: [usize; 2],
    #[case] job: (JobId, JobRecord),
    #[case] with: &[&str],
    #[case] without: &[&str],
) {
    assert_eq!(placed_on(Features::default(), slow, job.clone()), with);
    let off = Features::default().without(Feature::Learning);
    assert_eq!(placed_on(off, slow, job), without);
}
