//! A load of many customers, one of which sends many times its usual: what the others get.

use crate::support::world::{Faults, World};
use crate::support::{advice, configuration_with, customer, job_of, step};
use ospreywing_scheduler::{AdvicePolicy, Feature, Features, JobId, StepSpec};
use ospreywing_types::Resources;
use rstest::rstest;

/// The customers of the cell, the first of which floods it.
const CUSTOMERS_COUNT: u64 = 8;
/// The jobs a second that each may hand in, and how often each does, in milliseconds.
const JOBS_PER_S: f64 = 3.0;
const PERIOD_MS: u64 = 500;
/// The tasks that each may have running: the first may take the whole cell.
const LIMIT_TASKS_COUNT: u32 = 20;
const FLOOD_LIMIT_TASKS_COUNT: u32 = 48;
const LOAD_MS: u64 = 12_000;
const WORKERS_COUNT: usize = 12;
/// What the others' share of jobs in time may fall by.
const SHARE_LOST_LIMIT: f64 = 0.02;
const SEEDS_COUNT: u64 = 6;
/// A job's objective: twice its task's second, and one more.
const OBJECTIVE_MS: u64 = 3_000;

/// What the flooding customer sends, so many times its usual.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flood {
    /// Jobs as before, more of them.
    Many,
    /// As many jobs, within its rate, of more tasks.
    Wide,
    /// The same, each task of which fills a worker.
    Huge,
}

impl Flood {
    /// Returns how many jobs come at a time, and the step of each.
    fn jobs(self, factor: u64) -> (u64, StepSpec) {
        let small = StepSpec {
            estimate_ms: 1_000,
            ..step(1)
        };
        let wide = StepSpec {
            tasks_count: factor as u32,
            ..small.clone()
        };
        match self {
            Self::Many => (factor, small),
            Self::Wide => (1, wide),
            Self::Huge => (
                1,
                StepSpec {
                    demand: Resources::new(4000, 4000, 0),
                    ..wide
                },
            ),
        }
    }
}

/// A load to be played.
#[derive(Clone, Copy, Debug)]
struct Load {
    flood: Flood,
    factor: u64,
    policy: Option<AdvicePolicy>,
    features: Features,
}

/// What came of a load.
struct Outcome {
    /// The share of the others' jobs that had their outcome within their objective.
    others_share: f64,
    /// The flooding customer's jobs that were done by the end of the load.
    flood_done_count: usize,
    /// The longest that a job of the others waited for its first start.
    longest_wait_ms: u64,
}

fn name_of(customer: u64) -> String {
    format!("c{customer}")
}

fn world_of(seed: u64, load: Load) -> World {
    let mut world = World::new(seed, WORKERS_COUNT, Faults::default(), load.policy);
    world.elect_with_features(load.features);
    world.run_lengths_ms = 600..1_200;
    let customers = (0..CUSTOMERS_COUNT).map(|number| {
        let tasks_count = if number == 0 {
            FLOOD_LIMIT_TASKS_COUNT
        } else {
            LIMIT_TASKS_COUNT
        };
        customer(&name_of(number), tasks_count, JOBS_PER_S)
    });
    world.configure(configuration_with(2, load.policy, customers.collect()));
    world
}

/// Plays a load.
fn play(seed: u64, load: Load) -> Outcome {
    let mut world = world_of(seed, load);
    let begun_ms = world.now_ms;
    let mut handed_in: Vec<(JobId, u64, u64)> = Vec::new();
    for at_ms in (0..LOAD_MS).step_by(50) {
        for number in 0..CUSTOMERS_COUNT {
            let is_due = (at_ms + 50 * number).is_multiple_of(PERIOD_MS);
            let flood = if number == 0 { load.flood } else { Flood::Many };
            let (count, spec) = flood.jobs(if number == 0 { load.factor } else { 1 });
            for _ in 0..count * u64::from(is_due) {
                let id = handed_in.len() as u64 + 1;
                let (id, mut record) = job_of(&name_of(number), id, vec![spec.clone()]);
                record.accepted_ms = world.now_ms;
                handed_in.push((id, number, world.now_ms));
                world.submit((id, record));
            }
        }
        world.run_for(begun_ms + at_ms + 50 - world.now_ms.min(begun_ms + at_ms + 50));
        world.note_outcomes();
    }
    let flood = handed_in.iter().filter(|(_, by, _)| *by == 0);
    let flood_done_count = flood
        .filter(|(id, ..)| world.done_ms.contains_key(id))
        .count();
    for _ in 0..100 {
        world.run_for(50);
        world.note_outcomes();
    }
    let others: Vec<_> = handed_in.iter().filter(|(_, by, _)| *by != 0).collect();
    let in_time = others.iter().filter(|(id, _, since_ms)| {
        let done_ms = world.done_ms.get(id);
        done_ms.is_some_and(|done_ms| done_ms - since_ms <= OBJECTIVE_MS)
    });
    let end_ms = world.now_ms;
    let waits_ms = others.iter().map(|(id, _, since_ms)| {
        let started_ms = world.started_ms.get(id).copied();
        started_ms.unwrap_or(end_ms) - since_ms
    });
    Outcome {
        others_share: in_time.count() as f64 / others.len() as f64,
        flood_done_count,
        longest_wait_ms: waits_ms.max().unwrap_or(0),
    }
}

/// Returns what the others lose of their share beside a flood, the mean of all seeds.
fn share_lost(load: Load) -> f64 {
    let mut lost = 0.0;
    for seed in 0..SEEDS_COUNT {
        let usual = Load {
            flood: Flood::Many,
            factor: 1,
            ..load
        };
        let before = play(seed, usual);
        let beside = play(seed, load);
        println!(
            "seed {seed}: {:.3} alone, {:.3} beside a flood, of which {} jobs were done; waits {} ms",
            before.others_share, beside.others_share, beside.flood_done_count, beside.longest_wait_ms
        );
        lost += (before.others_share - beside.others_share) / SEEDS_COUNT as f64;
    }
    println!("lost {lost:.3}");
    lost
}

/// One customer's flood costs the others next to nothing.
#[rstest]
fn place_beside_flood(
    #[values(Flood::Many, Flood::Wide, Flood::Huge)] flood: Flood,
    #[values(2, 5, 10)] factor: u64,
    #[values(false, true)] has_advice: bool,
) {
    let lost = share_lost(Load {
        flood,
        factor,
        policy: has_advice.then(advice),
        features: Features::default(),
    });
    assert!(
        lost <= SHARE_LOST_LIMIT,
        "the others lose {lost:.3} of their share"
    );
}
