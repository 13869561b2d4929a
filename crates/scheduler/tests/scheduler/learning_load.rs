//! A load of short urgent jobs alongside deferrable work, on workers some of which take twice as
//! long: how many of the urgent jobs are on time.

use crate::support::simulation::{Faults, Simulation};
use crate::support::{configuration, deferrable_job, job, step, LOW_PRIORITY_QUEUE, QUEUE};
use ospreywing_scheduler::{Configuration, Feature, Features, JobId, JobRecord, StepSpec};
use std::collections::BTreeMap;

const WORKERS_COUNT: usize = 40;
/// One worker in this many runs at half the typical speed.
const SLOW_ONE_IN: usize = 7;
const SLOW_PER_MILLE: u64 = 500;
const SEEDS_COUNT: u64 = 6;
/// Speeds are learned in a first phase; only jobs submitted after it are measured.
const LEARN_MS: u64 = 8_000;
const LOAD_MS: u64 = 20_000;
const URGENT_PERIOD_MS: u64 = 100;
const DEFERRABLE_PERIOD_MS: u64 = 500;
/// An urgent job's estimate, its actual duration at typical speed, and its objective, which is
/// its estimate and half a second.
const URGENT_ESTIMATE_MS: u64 = 700;
const URGENT_MS: core::ops::Range<u64> = 600..800;
const URGENT_OBJECTIVE_MS: u64 = 1_200;
const DEFERRABLE_TASKS_COUNT: u32 = 12;
const DEFERRABLE_MS: core::ops::Range<u64> = 800..1_200;

/// Returns a configuration in which urgent jobs have half a second beyond their estimate.
fn strict_configuration() -> Configuration {
    let mut strict = Configuration {
        version: 2,
        ..configuration(None)
    };
    let urgent = strict.queues.get_mut(QUEUE).expect("the urgent queue");
    urgent.stretch = 1.0;
    urgent.objective_ms = 500;
    let deferrable = strict
        .queues
        .get_mut(LOW_PRIORITY_QUEUE)
        .expect("the low-priority queue");
    deferrable.objective_ms = 15_000;
    strict
}

fn urgent_job(number: u64) -> (JobId, JobRecord) {
    let spec = StepSpec {
        estimate_ms: URGENT_ESTIMATE_MS,
        ..step(1)
    };
    job(number, vec![spec])
}

fn small_deferrable_job(number: u64) -> (JobId, JobRecord) {
    let (id, mut record) = deferrable_job(number, DEFERRABLE_TASKS_COUNT);
    record.spec.steps[0].estimate_ms = 1_000;
    record.spec.steps[0].saves_progress = false;
    (id, record)
}

/// A simulation, and when each urgent job was submitted.
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

    fn submit(
        &mut self,
        (id, mut record): (JobId, JobRecord),
        durations_ms: core::ops::Range<u64>,
    ) {
        record.accepted_ms = self.simulation.now_ms;
        self.simulation
            .job_run_durations_ms
            .insert(id, durations_ms);
        self.simulation.submit((id, record));
        self.next_number += 1;
    }

    fn run(&mut self, duration_ms: u64) {
        let began_ms = self.simulation.now_ms;
        for at_ms in (0..duration_ms).step_by(50) {
            if at_ms.is_multiple_of(URGENT_PERIOD_MS) {
                let job = urgent_job(self.next_number);
                self.urgent.insert(job.0, self.simulation.now_ms);
                self.submit(job, URGENT_MS);
            }
            if at_ms.is_multiple_of(DEFERRABLE_PERIOD_MS) {
                self.submit(small_deferrable_job(self.next_number), DEFERRABLE_MS);
            }
            let until_ms = began_ms + at_ms + 50;
            self.simulation
                .run_for(until_ms.saturating_sub(self.simulation.now_ms));
            self.simulation.record_outcomes();
        }
    }

    /// Runs until all jobs are done, without submitting more.
    fn finish(&mut self) {
        for _ in 0..URGENT_OBJECTIVE_MS / 50 {
            self.simulation.run_for(50);
            self.simulation.record_outcomes();
        }
        self.simulation.run_until_done(60_000);
        self.simulation.assert_no_strays();
    }

    /// Returns the share of jobs on time of the urgent jobs submitted since this time.
    fn urgent_share(&self, since_ms: u64) -> f64 {
        let counted = self.urgent.iter();
        let counted: Vec<_> = counted.filter(|(_, at_ms)| **at_ms >= since_ms).collect();
        let on_time = counted.iter().filter(|(id, at_ms)| {
            let done_ms = self.simulation.done_ms.get(id);
            done_ms.is_some_and(|done_ms| done_ms - **at_ms <= URGENT_OBJECTIVE_MS)
        });
        on_time.count() as f64 / counted.len() as f64
    }
}

fn without_learning() -> Features {
    Features::default().without(Feature::Learning)
}

/// Runs the load with some slow workers; returns the urgent jobs' share on time.
fn slow_share(seed: u64, features: Features) -> f64 {
    let mut scenario = Scenario::new(seed, features).with_slow_workers();
    scenario.run(LEARN_MS);
    let since_ms = scenario.simulation.now_ms;
    scenario.run(LOAD_MS);
    scenario.finish();
    scenario.urgent_share(since_ms)
}

/// Urgent jobs are placed on workers of typical speed and deferrable work on the slow ones,
/// so that nearly all urgent jobs are on time.
#[test]
fn place_urgent_beside_slow_workers() {
    let (mut with, mut without) = (0.0, 0.0);
    for seed in 0..SEEDS_COUNT {
        let shares = [Features::default(), without_learning()].map(|it| slow_share(seed, it));
        println!(
            "seed {seed}: {:.3} with learning, {:.3} without",
            shares[0], shares[1]
        );
        with += shares[0] / SEEDS_COUNT as f64;
        without += shares[1] / SEEDS_COUNT as f64;
    }
    println!("{with:.3} with learning, {without:.3} without");
    assert!(with >= 0.95, "{with:.3} of the urgent jobs were in time");
    assert!(with >= without + 0.03, "{with:.3} and {without:.3} without");
}

/// The slow workers become typical and others become slow, so that the learned speeds are wrong
/// for a while. Jobs are only delayed, and the speeds are learned again.
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

/// When all workers become slow at once, none of them is ejected.
#[test]
fn place_while_all_become_slow() {
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

/// Workers that nearly stop are ejected, only a few of them at a time, and are used again once
/// they recover.
#[test]
fn place_beside_stalled_workers() {
    let mut scenario = Scenario::new(3, Features::default());
    scenario.run(LEARN_MS);
    for worker in scenario.simulation.workers.iter_mut().take(2) {
        worker.speed_per_mille = 100;
    }
    scenario.run(LOAD_MS);
    let ejected_count = scenario.simulation.status().ejected_workers_count;
    assert!(
        (1..=4).contains(&ejected_count),
        "{ejected_count} are ejected"
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
fn place_before_learning_as_without_it() {
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

/// Returns the urgent jobs' share on time right after a takeover.
fn share_after_takeover(seed: u64, hands_over_learned: bool) -> f64 {
    let mut scenario = Scenario::new(seed, Features::default()).with_slow_workers();
    scenario.simulation.hands_over_learned = hands_over_learned;
    scenario.run(LEARN_MS + LOAD_MS);
    scenario.simulation.elect();
    // The first jobs wait until workers have answered a poll under the new fence.
    scenario.run(1_000);
    let since_ms = scenario.simulation.now_ms;
    scenario.run(LEARN_MS);
    scenario.finish();
    scenario.urgent_share(since_ms)
}

/// What was learned persists beyond a leader if it is handed over to the next one.
#[test]
fn place_after_takeover_with_handover() {
    let (mut with, mut without) = (0.0, 0.0);
    for seed in 0..SEEDS_COUNT {
        with += share_after_takeover(seed, true) / SEEDS_COUNT as f64;
        without += share_after_takeover(seed, false) / SEEDS_COUNT as f64;
    }
    println!("{with:.3} with a handover, {without:.3} without");
    assert!(with >= 0.95, "{with:.3} of the urgent jobs were in time");
    assert!(with >= without + 0.03, "{with:.3} and {without:.3} without");
}
