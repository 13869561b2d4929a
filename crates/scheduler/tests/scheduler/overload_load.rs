//! A load that exceeds the capacity for some seconds: how many jobs are on time, and that all
//! are done.

use crate::support::simulation::{Faults, Simulation};
use crate::support::{job, step, LOW_PRIORITY_QUEUE, QUEUE, SERVICE};
use ospreywing_scheduler::{
    Configuration, Feature, Features, JobId, JobRecord, Queue, ServicePolicy, StepSpec,
};
use ospreywing_types::Resources;
use rstest::rstest;

const WORKERS_COUNT: usize = 24;
const SEEDS_COUNT: u64 = 4;
/// Phases of the load: before the burst, the burst, and after it.
const BEFORE_MS: u64 = 3_000;
const BURST_MS: u64 = 5_000;
const AFTER_MS: u64 = 6_000;
/// The time after the load within which all jobs are done.
const DONE_WITHIN_MS: u64 = 60_000;
const STEP_MS: u64 = 50;
/// A queue of gangs.
const GANG_QUEUE: &str = "mosaic";

/// A kind of job, one of which is submitted in each period.
struct Kind {
    queue: &'static str,
    period_ms: u64,
    spec: StepSpec,
    stretch: f64,
    objective_ms: u64,
    priority: u32,
}

/// Returns kinds of jobs that together take nine tenths of the capacity.
fn kinds() -> [Kind; 3] {
    let spec = |tasks_count, cores_milli, estimate_ms| StepSpec {
        demand: Resources::new(cores_milli, 500, 0),
        estimate_ms,
        ..step(tasks_count)
    };
    let gang = StepSpec {
        is_gang: true,
        ..spec(4, 1500, 1000)
    };
    [
        Kind {
            queue: QUEUE,
            period_ms: 66,
            spec: spec(4, 2000, 560),
            stretch: 1.5,
            objective_ms: 250,
            priority: 1,
        },
        Kind {
            queue: GANG_QUEUE,
            period_ms: 1200,
            spec: gang,
            stretch: 2.0,
            objective_ms: 1000,
            priority: 2,
        },
        Kind {
            queue: LOW_PRIORITY_QUEUE,
            period_ms: 2400,
            spec: spec(12, 1000, 3000),
            stretch: 4.0,
            objective_ms: 3000,
            priority: 3,
        },
    ]
}

fn configuration() -> Configuration {
    let queue = |kind: &Kind| Queue {
        name: kind.queue.to_owned(),
        service: SERVICE.to_owned(),
        priority: kind.priority,
        attempts_limit_count: 3,
        stretch: kind.stretch,
        objective_ms: kind.objective_ms,
        advice: None,
    };
    let queues = kinds().map(|kind| (kind.queue.to_owned(), queue(&kind)));
    Configuration {
        version: 2,
        queues: queues.into(),
        services: vec![ServicePolicy {
            name: SERVICE.to_owned(),
        }],
        ..Configuration::default()
    }
}

impl Kind {
    fn job(&self, number: u64, now_ms: u64) -> (JobId, JobRecord) {
        let (id, mut record) = job(number, vec![self.spec.clone()]);
        record.queue = self.queue.to_owned();
        record.accepted_ms = now_ms;
        (id, record)
    }

    fn limit_ms(&self) -> u64 {
        (self.spec.estimate_ms as f64 * self.stretch) as u64 + self.objective_ms
    }
}

/// Returns a job's value: 1 on time, a fifth if late, and nothing after three times its
/// objective.
fn value_of(took_ms: u64, limit_ms: u64) -> f64 {
    match took_ms {
        took_ms if took_ms <= limit_ms => 1.0,
        took_ms if took_ms <= 3 * limit_ms => 0.2,
        _ => 0.0,
    }
}

/// The outcome of a scenario's jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Outcome {
    jobs_count: usize,
    on_time_count: usize,
    /// Jobs done within three times their objective.
    with_value_count: usize,
    /// The sum of the jobs' values.
    value: f64,
    longest_ms: u64,
}

struct Scenario {
    features: Features,
    burst_percent: u64,
    durations_percent: core::ops::Range<u64>,
    /// Whether the leader is replaced in the middle of the burst.
    has_takeover: bool,
}

impl Scenario {
    fn new(features: Features, burst_percent: u64) -> Self {
        Self {
            features,
            burst_percent,
            durations_percent: 60..140,
            has_takeover: false,
        }
    }

    fn with_durations(self, durations_percent: core::ops::Range<u64>) -> Self {
        Self {
            durations_percent,
            ..self
        }
    }

    fn with_takeover(self) -> Self {
        Self {
            has_takeover: true,
            ..self
        }
    }

    fn run(&self, seed: u64) -> Outcome {
        let mut simulation = Simulation::new(seed, WORKERS_COUNT, Faults::default(), None);
        simulation.run_durations_percent = Some(self.durations_percent.clone());
        simulation.configure(configuration());
        simulation.elect_with_features(self.features);
        // Whatever an earlier leader may have started is over by then.
        simulation.run_for(8_000);
        let submitted = self.submit_load(&mut simulation);
        let until_ms = simulation.now_ms + DONE_WITHIN_MS;
        while simulation.done_ms.len() < submitted.len() {
            assert!(simulation.now_ms < until_ms, "a job was not done");
            simulation.run_for(STEP_MS);
            simulation.record_outcomes();
        }
        let mut outcome = Outcome::default();
        for (id, since_ms, limit_ms) in submitted {
            let took_ms = simulation.done_ms[&id] - since_ms;
            outcome.jobs_count += 1;
            outcome.on_time_count += usize::from(took_ms <= limit_ms);
            outcome.with_value_count += usize::from(took_ms <= 3 * limit_ms);
            outcome.value += value_of(took_ms, limit_ms);
            outcome.longest_ms = outcome.longest_ms.max(took_ms);
        }
        outcome
    }

    /// Submits the load; returns each job with the time when it was submitted and its
    /// objective.
    fn submit_load(&self, simulation: &mut Simulation) -> Vec<(JobId, u64, u64)> {
        let kinds = kinds();
        let mut due_percent = [0; 3];
        let mut submitted = Vec::new();
        for at_ms in (0..BEFORE_MS + BURST_MS + AFTER_MS).step_by(STEP_MS as usize) {
            if self.has_takeover && at_ms == BEFORE_MS + BURST_MS / 2 {
                simulation.elect();
            }
            let is_burst = (BEFORE_MS..BEFORE_MS + BURST_MS).contains(&at_ms);
            let rate_percent = if is_burst { self.burst_percent } else { 50 };
            for (kind, due) in kinds.iter().zip(&mut due_percent) {
                *due += rate_percent * STEP_MS;
                while *due >= kind.period_ms * 100 {
                    *due -= kind.period_ms * 100;
                    let (id, record) = kind.job(submitted.len() as u64 + 1, simulation.now_ms);
                    submitted.push((id, simulation.now_ms, kind.limit_ms()));
                    simulation.submit((id, record));
                }
            }
            simulation.run_for(STEP_MS);
            simulation.record_outcomes();
        }
        submitted
    }

    /// Returns the sum of the outcomes of all seeds.
    fn run_all(&self) -> Outcome {
        let mut sum = Outcome::default();
        for seed in 0..SEEDS_COUNT {
            let outcome = self.run(seed);
            sum.jobs_count += outcome.jobs_count;
            sum.on_time_count += outcome.on_time_count;
            sum.with_value_count += outcome.with_value_count;
            sum.value += outcome.value;
            sum.longest_ms = sum.longest_ms.max(outcome.longest_ms);
        }
        sum
    }
}

/// Returns the outcomes of a load without the feature and with it.
fn compare(scenario: impl Fn(Features) -> Scenario) -> (Outcome, Outcome) {
    let off = Features::default().without(Feature::OverloadOrder);
    let before = scenario(off).run_all();
    let after = scenario(Features::default()).run_all();
    println!("{before:?} without the feature\n{after:?} with it");
    (before, after)
}

/// In a burst more jobs are on time, their total value is no less, and all are done.
#[rstest]
fn place_in_burst_more_on_time(#[values(150, 200, 300)] burst_percent: u64) {
    let (before, after) = compare(|features| Scenario::new(features, burst_percent));
    assert!(after.on_time_count > before.on_time_count);
    assert!(after.value >= before.value);
}

/// With estimates that are wrong by a factor of up to 2.5 the total value is no less than
/// without the feature. The number of jobs on time is no measure if all tasks take too long
/// for that.
#[rstest]
fn place_in_burst_wrong_estimates(#[values(24..56, 150..350)] durations: core::ops::Range<u64>) {
    let scenario = |features| Scenario::new(features, 200).with_durations(durations.clone());
    let (before, after) = compare(scenario);
    assert!(after.value >= before.value);
}

/// A leader that takes over in the middle of the burst orders the work as well as its
/// predecessor.
#[test]
fn place_in_burst_takeover() {
    let (before, after) = compare(|features| Scenario::new(features, 200).with_takeover());
    assert!(after.on_time_count >= before.on_time_count);
    assert!(after.value >= before.value);
}

/// Without a burst the feature changes nothing.
#[test]
fn place_without_burst_unchanged() {
    let (before, after) = compare(|features| Scenario::new(features, 50));
    assert_eq!(before, after);
}

/// The capacity that a burst of jobs took is free as soon as they are cancelled.
#[test]
fn cancel_burst_frees_capacity() {
    let mut simulation = Simulation::new(1, WORKERS_COUNT, Faults::default(), None);
    simulation.run_durations_percent = Some(60..140);
    simulation.configure(configuration());
    let short = &kinds()[0];
    let burst: Vec<JobId> = (1..400)
        .map(|number| {
            let (id, record) = short.job(number, simulation.now_ms);
            simulation.submit((id, record));
            id
        })
        .collect();
    simulation.run_for(200);
    burst.into_iter().for_each(|id| simulation.cancel(id));
    let began_ms = simulation.now_ms;
    let (id, record) = short.job(400, began_ms);
    simulation.submit((id, record));
    while !simulation.done_ms.contains_key(&id) {
        simulation.run_for(STEP_MS);
        simulation.record_outcomes();
        assert!(simulation.now_ms < began_ms + short.limit_ms() + STEP_MS);
    }
}
