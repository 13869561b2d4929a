//! Learned lengths and speeds as plain values: how near they are, and what misleads them.

use crate::support::bench::{end, workers, Bench};
use crate::support::{job, patient_job, placed_state, step};
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
/// The spread of the lengths of a queue's jobs, as a logarithm.
const LENGTH_SPREAD: f64 = 0.5;
/// The factor by which an estimate is off at most.
const ESTIMATE_FACTOR: f64 = 2.5;
const TYPICAL_MS: f64 = 1_500.0;
const SEED: u64 = 20;

/// Returns a number that is spread like the normal distribution.
fn normal(rng: &mut Pcg64) -> f64 {
    let sum: f64 = (0..12).map(|_| rng.random::<f64>()).sum();
    sum - 6.0
}

/// A step's estimate and length.
#[derive(Clone, Copy)]
struct Drawn {
    kind: StepClass,
    actual: Duration,
}

fn draw(rng: &mut Pcg64, typical_ms: f64, estimate_factor: f64) -> Drawn {
    let actual_ms = typical_ms * (LENGTH_SPREAD * normal(rng)).exp();
    let off = estimate_factor.powf(rng.random_range(-1.0..=1.0));
    Drawn {
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

/// Returns the durations after so many steps, and what was told of the last half.
fn learn(count: u64, estimate_factor: f64) -> (Durations, Vec<(Drawn, Option<DurationForecast>)>) {
    let mut rng = Pcg64::seed_from_u64(SEED);
    let mut durations = Durations::default();
    let mut told = Vec::new();
    for step in 0..count {
        let drawn = draw(&mut rng, TYPICAL_MS, estimate_factor);
        if step >= count / 2 {
            told.push((drawn, durations.forecast(at(step), QUEUE, drawn.kind)));
        }
        durations.record(at(step), QUEUE, drawn.kind, drawn.actual);
    }
    (durations, told)
}

fn error(told: Duration, actual: Duration) -> f64 {
    let ratio = told.as_ms().max(1) as f64 / actual.as_ms().max(1) as f64;
    ratio.ln().abs()
}

/// A forecast is nearer than the estimate, and its bounds hold as often as they say.
#[test]
fn durations_forecast_nearer_than_estimate() {
    let (durations, told) = learn(800, ESTIMATE_FACTOR);
    let with_forecast: Vec<(Drawn, DurationForecast)> = told
        .into_iter()
        .filter_map(|(drawn, told)| Some((drawn, told?)))
        .collect();
    assert!(with_forecast.len() >= 380, "forecasts after 400 steps");
    let count = with_forecast.len() as f64;
    let mean = |told: fn(&(Drawn, DurationForecast)) -> Duration| {
        let errors = with_forecast.iter().map(|it| error(told(it), it.0.actual));
        errors.sum::<f64>() / count
    };
    let (by_forecast, by_estimate) = (mean(|it| it.1.likely), mean(|it| it.0.kind.estimate));
    println!("mean error: forecast {by_forecast:.3}, estimate {by_estimate:.3}");
    assert!(
        by_forecast <= 0.8 * by_estimate,
        "{by_forecast} {by_estimate}"
    );
    let part = |is_so: fn(&(Drawn, DurationForecast)) -> bool| {
        with_forecast.iter().filter(|it| is_so(it)).count() as f64 / count
    };
    let (below, above) = (
        part(|it| it.0.actual < it.1.sure),
        part(|it| it.0.actual > it.1.late),
    );
    println!("{below:.3} shorter than sure, {above:.3} longer than late");
    // Jobs must not be given up that could make it, nor room be promised that is not free.
    assert!(below <= 0.15 && above <= 0.15, "{below} {above}");
    let told = durations.error();
    assert!(told.forecast_percent < told.estimate_percent);
}

/// Of the jobs that a forecast calls late for sure nine in ten are.
#[test]
fn durations_forecast_tells_what_is_late() {
    let (_, told) = learn(800, ESTIMATE_FACTOR);
    let room = Duration::from_ms(TYPICAL_MS as u64);
    let called_late = told
        .iter()
        .filter(|(_, told)| told.is_some_and(|told| told.sure > room));
    let called_late: Vec<Drawn> = called_late.map(|(drawn, _)| *drawn).collect();
    let late = called_late.iter().filter(|drawn| drawn.actual > room);
    let late_count = late.count();
    let share = late_count as f64 / called_late.len() as f64;
    println!("{share:.3} of {} are late", called_late.len());
    assert!(late_count >= 20 && share >= 0.9);
}

/// Estimates that are right are not made worse.
#[test]
fn durations_forecast_keeps_right_estimates() {
    let (_, told) = learn(800, 1.0);
    for (drawn, told) in told {
        let told = told.map_or(drawn.kind.estimate, |told| told.likely);
        let off = error(told, drawn.actual);
        assert!(off <= 0.15, "{told} for {}", drawn.actual);
    }
}

#[test]
fn durations_forecast_none_without_data() {
    let mut durations = Durations::default();
    let mut rng = Pcg64::seed_from_u64(SEED);
    let drawn = draw(&mut rng, TYPICAL_MS, ESTIMATE_FACTOR);
    assert_eq!(durations.forecast(at(0), QUEUE, drawn.kind), None);
    for step in 0..8 {
        durations.record(at(step), QUEUE, drawn.kind, drawn.actual);
    }
    assert!(durations.forecast(at(8), QUEUE, drawn.kind).is_some());
    assert_eq!(durations.forecast(at(8), "other", drawn.kind), None);
    let much_later = at(8) + Duration::from_s(700);
    assert_eq!(durations.forecast(much_later, QUEUE, drawn.kind), None);
}

/// A queue whose work becomes three times as long: what was learned before is forgotten
/// within two windows.
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
        let drawn = draw(&mut rng, typical_ms, 1.0);
        durations.record(at(step), QUEUE, same_estimate, drawn.actual);
    }
    let told = durations.forecast(at(1_500), QUEUE, same_estimate);
    let likely = told.expect("a forecast").likely;
    assert!(error(likely, Duration::from_ms(4_500)) < 0.2, "{likely}");
}

/// However many queues there are, what is kept is bounded.
#[test]
fn durations_keep_bounded_memory() {
    let mut durations = Durations::default();
    let mut rng = Pcg64::seed_from_u64(SEED);
    for step in 0..2_000 {
        let drawn = draw(&mut rng, TYPICAL_MS, ESTIMATE_FACTOR);
        durations.record(at(step), &format!("q{step}"), drawn.kind, drawn.actual);
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

/// Has each machine do so many runs at its speed, which differ as those of a step do.
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

/// Nine of ten machines are told slow, usual or fast as they are after ten runs.
#[test]
fn speeds_tell_kinds_of_machines() {
    let mut rng = Pcg64::seed_from_u64(SEED);
    let machines = machines(200);
    let fleet = fleet_of(&machines, |number| [0.77, 1.0, 2.0][number % 3]);
    let mut speeds = Speeds::default();
    run(&mut speeds, &mut rng, at(0), &fleet, 10);
    let kind = |speed: f64| usize::from(speed > 0.87) + usize::from(speed > 1.41);
    let told = fleet.iter().filter(|(id, speed)| {
        let told = speeds.speed(at(1), id).expect("a speed after ten runs");
        kind(told) == kind(*speed)
    });
    let right = told.count();
    println!("{right} of 200 machines are told right");
    assert!(right >= 180);
}

/// One report in ten that is off by a factor of a hundred moves no speed by a quarter.
#[test]
fn speeds_stand_crazy_reports() {
    let mut rng = Pcg64::seed_from_u64(SEED);
    let machines = machines(20);
    let fleet = fleet_of(&machines, |_| 1.0);
    let mut speeds = Speeds::default();
    for round in 0..10 {
        run(&mut speeds, &mut rng, at(round), &fleet, 9);
        for (number, machine) in machines.iter().enumerate() {
            let crazy = if number % 2 == 0 { 100.0 } else { 0.01 };
            speeds.record(at(round), machine, crazy);
            speeds.record(at(round), machine, f64::NAN);
        }
    }
    for machine in &machines {
        let told = speeds.speed(at(10), machine).expect("a speed");
        assert!((0.75..1.34).contains(&told), "{told}");
    }
    assert_eq!(speeds.eject_slow(at(10), &machines), vec![]);
}

/// Returns speeds that were learned from machines which are all as fast as usual.
fn usual_speeds(rng: &mut Pcg64, machines: &[Arc<str>], runs_count: u32) -> Speeds {
    let mut speeds = Speeds::default();
    let usual = fleet_of(machines, |_| 1.0);
    run(&mut speeds, rng, at(0), &usual, runs_count);
    speeds
}

/// A speed that flips is told within five runs, though it was learned from a hundred.
#[test]
fn speeds_follow_flip() {
    let mut rng = Pcg64::seed_from_u64(SEED);
    let machines = machines(1);
    let mut speeds = usual_speeds(&mut rng, &machines, 100);
    run(
        &mut speeds,
        &mut rng,
        at(1),
        &fleet_of(&machines, |_| 0.4),
        5,
    );
    let told = speeds.speed(at(2), "m0").expect("a speed");
    assert!(told < 0.6, "{told}");
    let (runs_count, age) = speeds.evidence(at(2), "m0").expect("evidence");
    assert_eq!((runs_count, age), (105, Duration::from_ms(500)));
}

/// A machine that turns slow comes last, is tried again, and comes last for longer where it
/// still is; one that is slow by nature does not.
#[test]
fn speeds_eject_slow_of_late() {
    let mut rng = Pcg64::seed_from_u64(SEED);
    let machines = machines(20);
    let mut speeds = Speeds::default();
    let nature = |number| if number == 1 { 0.5 } else { 1.0 };
    run(
        &mut speeds,
        &mut rng,
        at(0),
        &fleet_of(&machines, nature),
        20,
    );
    assert_eq!(speeds.eject_slow(at(1), &machines), vec![]);
    let sick = |number| [0.25, 0.5].get(number).copied().unwrap_or(1.0);
    run(&mut speeds, &mut rng, at(1), &fleet_of(&machines, sick), 5);
    let expected = |length| {
        vec![Ejection {
            machine: machines[0].clone(),
            length,
        }]
    };
    let first = speeds.eject_slow(at(2), &machines);
    assert_eq!(first, expected(Duration::from_s(5)));
    assert!(speeds.is_ejected(at(3), "m0") && !speeds.is_ejected(at(3), "m1"));
    let after = at(2) + Duration::from_s(5);
    assert!(!speeds.is_ejected(after, "m0"));
    assert_eq!(speeds.eject_slow(after, &machines), vec![]);
    run(&mut speeds, &mut rng, after, &fleet_of(&machines, sick), 5);
    let second = speeds.eject_slow(after, &machines);
    assert_eq!(second, expected(Duration::from_s(10)));
}

/// A part of a service's machines comes last at most, and none where all turn slow.
#[test]
fn speeds_eject_few() {
    let mut rng = Pcg64::seed_from_u64(SEED);
    let machines = machines(40);
    let mut speeds = usual_speeds(&mut rng, &machines, 20);
    let mut others = speeds.clone();
    let third = |number| if number % 3 == 0 { 0.3 } else { 1.0 };
    run(&mut speeds, &mut rng, at(1), &fleet_of(&machines, third), 5);
    assert_eq!(speeds.eject_slow(at(2), &machines).len(), 4);
    run(&mut speeds, &mut rng, at(2), &fleet_of(&machines, third), 5);
    assert_eq!(
        speeds.eject_slow(at(3), &machines),
        vec![],
        "a tenth is out"
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

/// How a run is done that may tell what its queue's tasks take.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    is_failed: bool,
    is_heard_late: bool,
    has_checkpoint: bool,
    is_repeated: bool,
    is_away_from_data: bool,
    is_filler: bool,
}

/// Returns how many sizes of steps are learned after a run.
fn learned_count(told: Told) -> usize {
    let mut state = placed_state("w0", 1);
    let task = &mut state.rounds[0].steps[0].tasks[0];
    task.status = TaskStatus::Waiting;
    task.checkpoint = told.has_checkpoint.then(|| "half".to_owned());
    let mut spec = step(1);
    spec.data_rack = told.is_away_from_data.then(|| "r9".to_owned());
    spec.is_filler = told.is_filler;
    let recovered = Recovered {
        jobs: vec![job(1, vec![spec])],
        states: vec![(JobId::new(1), state)],
        ..Recovered::default()
    };
    let mut bench = Bench::new(recovered, &workers(1));
    bench.commit_all();
    let start = bench.starts()[0];
    let (worker, task, run) = start;
    if told.is_repeated {
        let reply = StartReply::Unanswered;
        bench.tell(Event::StartAnswered {
            worker,
            task,
            run,
            reply,
        });
        bench.commit_all();
    }
    bench.started(start);
    bench.now = bench.now + Duration::from_ms(900);
    if !told.is_heard_late {
        bench.list_progress(&[start], 90);
    }
    let kind = if told.is_failed {
        EndKind::Failed
    } else {
        EndKind::Done
    };
    bench.list(worker, vec![end(1, task, run, kind)]);
    bench.scheduler.status(bench.now).learned_sizes_count
}

/// Only a run whose whole time is known and was spent on the work tells anything.
#[rstest]
#[case::whole(Told::default(), 2)]
#[case::failed(Told { is_failed: true, ..Told::default() }, 0)]
#[case::heard_late(Told { is_heard_late: true, ..Told::default() }, 0)]
#[case::from_checkpoint(Told { has_checkpoint: true, ..Told::default() }, 0)]
#[case::start_repeated(Told { is_repeated: true, ..Told::default() }, 0)]
#[case::away_from_data(Told { is_away_from_data: true, ..Told::default() }, 0)]
#[case::filler(Told { is_filler: true, ..Told::default() }, 0)]
fn learn_from_whole_runs_only(#[case] told: Told, #[case] sizes_count: usize) {
    assert_eq!(learned_count(told), sizes_count);
}

/// Returns how many runs are stopped on workers that leave in 4 s, where a step's tasks take
/// ten seconds by the estimate and four of them were done in one.
fn stopped_count(features: Features) -> usize {
    let leaving = workers(2);
    let mut bench = Bench::with_features(features, &leaving);
    let short = StepSpec {
        estimate_ms: 10_000,
        ..step(8)
    };
    bench.submit(1, vec![short]);
    bench.commit_all();
    let first = bench.starts();
    assert_eq!(first.len(), 4);
    for start in &first {
        bench.started(*start);
    }
    bench.now = bench.now + Duration::from_ms(900);
    bench.list_progress(&first, 0);
    for pair in first.chunks(2) {
        let ends = (1..).zip(pair);
        let ends = ends.map(|(number, (_, task, run))| end(number, *task, *run, EndKind::Done));
        bench.list(pair[0].0, ends.collect());
    }
    bench.commit_all();
    let second = bench.starts();
    assert_eq!(second.len(), 4);
    for start in &second {
        bench.started(*start);
    }
    for mut worker in leaving {
        worker.is_draining = true;
        worker.departs_at_clock_ms = Some(bench.now.as_ms() + 4_000);
        let change = WorkerChange::Listed(worker.facts());
        bench.tell(Event::WorkersChanged(vec![change]));
    }
    bench.now = bench.now + Duration::from_ms(200);
    bench.tell(Event::Tick);
    bench.stops().len()
}

/// What is done in time by the tasks of its step is not stopped for its estimate.
#[test]
fn stop_before_departures_by_tasks_of_step() {
    assert_eq!(stopped_count(Features::default()), 0);
    let without = Features::default().without(Feature::Learning);
    assert_eq!(stopped_count(without), 4);
}

/// Returns a scheduler that was handed something.
fn scheduler_with(learned: &Learned) -> Bench {
    let mut bench = Bench::new(Recovered::default(), &workers(2));
    bench.scheduler.restore_learned(bench.now, learned);
    bench.scheduler.verify().expect("the invariants hold");
    bench
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

/// What is handed on comes out as it went in.
#[test]
fn take_learned_keeps_all() {
    let learned = Learned {
        sizes: vec![learned_size(700, 100)],
        speeds: vec![learned_speed(500)],
    };
    let bench = scheduler_with(&learned);
    assert_eq!(bench.scheduler.learned(bench.now), learned);
    let bytes = postcard::to_allocvec(&learned).expect("a form");
    assert_eq!(postcard::from_bytes(&bytes), Ok(learned));
}

/// What can't be, and what is too old, is left out.
#[rstest]
#[case::too_old(learned_size(700, 700_000))]
#[case::zero(learned_size(0, 0))]
#[case::out_of_order(LearnedSize {
    lengths: LearnedQuantiles { sure: 9, likely: 5, late: 7, spread_milli: 0 },
    ..learned_size(700, 0)
})]
fn take_learned_leaves_out_what_cannot_be(#[case] size: LearnedSize) {
    let learned = Learned {
        sizes: vec![size],
        speeds: vec![learned_speed(0), learned_speed(u32::MAX)],
    };
    let bench = scheduler_with(&learned);
    assert!(bench.scheduler.learned(bench.now).is_empty());
}

/// Returns the workers, by their numbers, that the tasks of a job are given to, where of six
/// the first two or the last two take a third longer.
fn placed_on(features: Features, slow: [usize; 2], job: (JobId, JobRecord)) -> Vec<String> {
    let all = workers(6);
    let mut bench = Bench::with_features(features, &all);
    let speeds = all.iter().enumerate().map(|(number, worker)| LearnedSpeed {
        machine: worker.id.clone(),
        ..learned_speed(if slow.contains(&number) { 750 } else { 1000 })
    });
    let learned = Learned {
        sizes: Vec::new(),
        speeds: speeds.collect(),
    };
    bench.scheduler.restore_learned(bench.now, &learned);
    bench.now = bench.now + Duration::from_ms(20);
    bench.tell(Event::Tick);
    bench.submit_job(job);
    bench.commit_all();
    let mut placed: Vec<String> = Vec::new();
    for (key, ..) in bench.starts() {
        let mut ids = all.iter().map(|worker| worker.id.to_string());
        let id = ids.find(|id| bench.scheduler.worker_key(id) == Some(key));
        placed.extend(id);
    }
    placed.sort();
    placed
}

fn patient_gang(tasks_count: u32) -> (JobId, JobRecord) {
    let (id, mut record) = patient_job(1, tasks_count);
    record.spec.steps[0].is_gang = true;
    (id, record)
}

/// Pressing work keeps off slow workers, patient work takes them, and a patient gang takes
/// workers of one speed where they hold it whole. Without learning the first ones are taken.
#[rstest]
#[case::pressing([0, 1], job(1, vec![step(1)]), &["w2"], &["w0"])]
#[case::patient([4, 5], patient_job(1, 1), &["w4"], &["w0"])]
#[case::patient_gang([4, 5], patient_gang(4), &["w4", "w4", "w5", "w5"], &["w0", "w0", "w1", "w1"])]
#[case::wide_gang([0, 1], patient_gang(6),
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
