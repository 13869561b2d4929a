//! A load of short urgent jobs beside low_priority work, on workers some of which take twice as
//! long: how many of the short jobs are in time.

use crate::support::simulation::{Faults, Simulation};
use crate::support::{configuration, job, low_priority_job, step, LOW_PRIORITY_QUEUE, QUEUE};
use ospreywing_scheduler::{Configuration, Feature, Features, JobId, JobRecord, StepSpec};
use std::collections::BTreeMap;

const WORKERS_COUNT: usize = 40;
/// One worker of so many works at half the usual speed.
const SLOW_ONE_IN: usize = 7;
const SLOW_PER_MILLE: u64 = 500;
const SEEDS_COUNT: u64 = 6;
/// Speeds are learned in the first part, and what comes then counts.
const LEARN_MS: u64 = 8_000;
const LOAD_MS: u64 = 20_000;
const URGENT_PERIOD_MS: u64 = 100;
const LOW_PRIORITY_PERIOD_MS: u64 = 500;
/// An urgent job's estimate, what it really takes on a worker of usual speed, and the time
/// that it has in all: its estimate and half a second.
const URGENT_ESTIMATE_MS: u64 = 700;
const URGENT_MS: core::ops::Range<u64> = 600..800;
const URGENT_OBJECTIVE_MS: u64 = 1_200;
const LOW_PRIORITY_TASKS_COUNT: u32 = 12;
const LOW_PRIORITY_MS: core::ops::Range<u64> = 800..1_200;

/// Returns a configuration in which urgent jobs have half a second beside their estimate.
fn strict_configuration() -> Configuration {
    let mut strict = Configuration {
        version: 2,
        ..configuration(None)
    };
    let urgent = strict.queues.get_mut(QUEUE).expect("the urgent queue");
    urgent.stretch = 1.0;
    urgent.objective_ms = 500;
    let low_priority = strict
        .queues
        .get_mut(LOW_PRIORITY_QUEUE)
        .expect("the low-priority queue");
    low_priority.objective_ms = 15_000;
    strict
}

fn urgent_job(number: u64) -> (JobId, JobRecord) {
    let spec = StepSpec {
        estimate_ms: URGENT_ESTIMATE_MS,
        ..step(1)
    };
    job(number, vec![spec])
}

fn small_low_priority_job(number: u64) -> (JobId, JobRecord) {
    let (id, mut record) = low_priority_job(number, LOW_PRIORITY_TASKS_COUNT);
    record.spec.steps[0].estimate_ms = 1_000;
    record.spec.steps[0].saves_progress = false;
    (id, record)
}

/// A scenario: the world, and when each urgent job came.
struct Scenario {
    simulation: Simulation,
    next_number: u64,
    urgent: BTreeMap<JobId, u64>,
}

impl Scenario {
    fn new(seed: u64, features: Features) -> Self {
        let mut simulation = Simulation::new(seed, WORKERS_COUNT, Faults::default(), None);
        simulation.elect_with_features(features);
        simulation.configure(strict_configuration());
        Self {
            simulation,
            next_number: 1,
            urgent: BTreeMap::new(),
        }
    }

    fn with_slow_workers(mut self) -> Self {
        let workers = self.simulation.workers.iter_mut();
        for worker in workers.skip(1).step_by(SLOW_ONE_IN) {
            worker.speed_per_mille = SLOW_PER_MILLE;
        }
        self
    }

    fn submit(&mut self, (id, mut record): (JobId, JobRecord), lengths: core::ops::Range<u64>) {
        record.accepted_ms = self.simulation.now_ms;
        self.simulation.job_run_durations_ms.insert(id, lengths);
        self.simulation.submit((id, record));
        self.next_number += 1;
    }

    fn run(&mut self, length_ms: u64) {
        let begun_ms = self.simulation.now_ms;
        for at_ms in (0..length_ms).step_by(50) {
            if at_ms.is_multiple_of(URGENT_PERIOD_MS) {
                let job = urgent_job(self.next_number);
                self.urgent.insert(job.0, self.simulation.now_ms);
                self.submit(job, URGENT_MS);
            }
            if at_ms.is_multiple_of(LOW_PRIORITY_PERIOD_MS) {
                self.submit(small_low_priority_job(self.next_number), LOW_PRIORITY_MS);
            }
            let until_ms = begun_ms + at_ms + 50;
            self.simulation
                .run_for(until_ms.saturating_sub(self.simulation.now_ms));
            self.simulation.record_outcomes();
        }
    }

    /// Lets all jobs end; none comes any more.
    fn finish(&mut self) {
        for _ in 0..URGENT_OBJECTIVE_MS / 50 {
            self.simulation.run_for(50);
            self.simulation.record_outcomes();
        }
        self.simulation.run_until_done(60_000);
        self.simulation.assert_no_strays();
    }

    /// Returns the share of the urgent jobs that came since then and were done in time.
    fn urgent_share(&self, since_ms: u64) -> f64 {
        let counted = self.urgent.iter();
        let counted: Vec<_> = counted.filter(|(_, at_ms)| **at_ms >= since_ms).collect();
        let in_time = counted.iter().filter(|(id, at_ms)| {
            let done_ms = self.simulation.done_ms.get(id);
            done_ms.is_some_and(|done_ms| done_ms - **at_ms <= URGENT_OBJECTIVE_MS)
        });
        in_time.count() as f64 / counted.len() as f64
    }
}

fn without_learning() -> Features {
    Features::default().without(Feature::Learning)
}

/// Plays the load on workers some of which are slow; returns the urgent jobs' share.
fn slow_share(seed: u64, features: Features) -> f64 {
    let mut scenario = Scenario::new(seed, features).with_slow_workers();
    scenario.run(LEARN_MS);
    let since_ms = scenario.simulation.now_ms;
    scenario.run(LOAD_MS);
    scenario.finish();
    scenario.urgent_share(since_ms)
}

/// Short jobs go to workers of usual speed and low_priority work to the slow ones: nearly all of
/// the short ones are in time.
#[test]
fn place_urgent_beside_slow_workers() {
    let (mut with, mut without) = (0.0, 0.0);
    for seed in 0..SEEDS_COUNT {
        let shares = [Features::default(), without_learning()].map(|it| slow_share(seed, it));
        println!(
            "seed {seed}: {:.3} with, {:.3} without",
            shares[0], shares[1]
        );
        with += shares[0] / SEEDS_COUNT as f64;
        without += shares[1] / SEEDS_COUNT as f64;
    }
    println!("{with:.3} with, {without:.3} without");
    assert!(with >= 0.95, "{with:.3} of the urgent jobs were in time");
    assert!(with >= without + 0.03, "{with:.3} and {without:.3} without");
}

/// The slow workers become usual ones and others slow: for a while the belief is wrong.
/// Nothing is lost but time, and it is learned anew.
#[test]
fn place_urgent_after_speeds_flip() {
    let mut scenario = Scenario::new(1, Features::default()).with_slow_workers();
    scenario.run(LEARN_MS);
    for (number, worker) in scenario.simulation.workers.iter_mut().enumerate() {
        let is_slow = number % SLOW_ONE_IN == 4;
        worker.speed_per_mille = if is_slow { SLOW_PER_MILLE } else { 1000 };
    }
    scenario.run(LOAD_MS);
    let since_ms = scenario.simulation.now_ms;
    scenario.run(LOAD_MS);
    scenario.finish();
    let share = scenario.urgent_share(since_ms);
    assert!(share >= 0.9, "{share:.3} of the urgent jobs were in time");
}

/// All workers turn slow at once: none of them comes last for it.
#[test]
fn place_while_all_turn_slow() {
    let mut scenario = Scenario::new(2, Features::default());
    scenario.run(LEARN_MS);
    for worker in &mut scenario.simulation.workers {
        worker.speed_per_mille = SLOW_PER_MILLE;
    }
    for _ in 0..10 {
        scenario.run(1_000);
        assert_eq!(scenario.simulation.status().ejected_workers_count, 0);
        assert_eq!(scenario.simulation.status().slow_workers_count, 0);
    }
    scenario.finish();
}

/// Workers that stand still for a while come last, a few of them at a time, and work again
/// once they do.
#[test]
fn place_beside_workers_that_stand_still() {
    let mut scenario = Scenario::new(3, Features::default());
    scenario.run(LEARN_MS);
    for worker in scenario.simulation.workers.iter_mut().take(2) {
        worker.speed_per_mille = 100;
    }
    scenario.run(LOAD_MS);
    let ejected_count = scenario.simulation.status().ejected_workers_count;
    assert!(
        (1..=4).contains(&ejected_count),
        "{ejected_count} come last"
    );
    for worker in &mut scenario.simulation.workers {
        worker.speed_per_mille = 1000;
    }
    scenario.run(3 * LOAD_MS);
    assert_eq!(scenario.simulation.status().ejected_workers_count, 0);
    scenario.finish();
}

/// Before anything is learned, and right after a takeover, the decisions are those without
/// learning: the same jobs are done at the same times.
#[test]
fn place_without_knowledge_as_without_learning() {
    let done = |features| {
        let mut scenario = Scenario::new(4, features).with_slow_workers();
        scenario.run(1_000);
        scenario.simulation.elect();
        scenario.run(1_000);
        scenario.simulation.done_ms.clone()
    };
    let with = done(Features::default());
    assert!(!with.is_empty());
    assert_eq!(with, done(without_learning()));
}

/// Returns the share of the urgent jobs in time right after a takeover.
fn share_after_takeover(seed: u64, hands_over_learned: bool) -> f64 {
    let mut scenario = Scenario::new(seed, Features::default()).with_slow_workers();
    scenario.simulation.hands_over_learned = hands_over_learned;
    scenario.run(LEARN_MS + LOAD_MS);
    scenario.simulation.elect();
    // The first jobs wait until workers were heard of under the new fence.
    scenario.run(1_000);
    let since_ms = scenario.simulation.now_ms;
    scenario.run(LEARN_MS);
    scenario.finish();
    scenario.urgent_share(since_ms)
}

/// What was learned outlasts the leader, where it is handed on.
#[test]
fn place_after_takeover_by_what_was_handed_on() {
    let (mut with, mut without) = (0.0, 0.0);
    for seed in 0..SEEDS_COUNT {
        with += share_after_takeover(seed, true) / SEEDS_COUNT as f64;
        without += share_after_takeover(seed, false) / SEEDS_COUNT as f64;
    }
    println!("{with:.3} with what was handed on, {without:.3} without");
    assert!(with >= 0.95, "{with:.3} of the urgent jobs were in time");
    assert!(with >= without + 0.03, "{with:.3} and {without:.3} without");
}
