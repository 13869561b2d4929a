//! A load of many customers, one of which sends many times its usual: what the others get.

use crate::support::world::{Faults, World};
use crate::support::{advice, configuration_with, customer, job_of, step};
use ospreywing_scheduler::{AdvicePolicy, JobId, StepSpec};
use rstest::rstest;

/// The customers of the cell, the first of which floods it.
const CUSTOMERS_COUNT: u64 = 8;
/// The jobs a second that each may hand in, and how often each does, in milliseconds.
const JOBS_PER_S: f64 = 3.0;
const PERIOD_MS: u64 = 500;
const LOAD_MS: u64 = 12_000;
const WORKERS_COUNT: usize = 12;
/// What the others' share of jobs in time may fall by.
const SHARE_LOST_LIMIT: f64 = 0.02;
const SEEDS_COUNT: u64 = 6;
/// A job's objective: twice its task's second, and one more.
const OBJECTIVE_MS: u64 = 3_000;

fn name_of(customer: u64) -> String {
    format!("c{customer}")
}

/// Plays a load in which the first customer sends so many times its usual; returns the
/// share of the others' jobs that had their outcome within their objective.
fn others_share(seed: u64, flood_factor: u64, policy: Option<AdvicePolicy>) -> f64 {
    let mut world = World::new(seed, WORKERS_COUNT, Faults::default(), policy);
    world.run_lengths_ms = 600..1_200;
    let customers = (0..CUSTOMERS_COUNT).map(|number| customer(&name_of(number), 20, JOBS_PER_S));
    world.configure(configuration_with(2, policy, customers.collect()));
    let begun_ms = world.now_ms;
    let mut handed_in: Vec<(JobId, u64, u64)> = Vec::new();
    for at_ms in (0..LOAD_MS).step_by(50) {
        for number in 0..CUSTOMERS_COUNT {
            let count = if number == 0 { flood_factor } else { 1 };
            let is_due = (at_ms + 50 * number).is_multiple_of(PERIOD_MS);
            for _ in 0..count * u64::from(is_due) {
                let id = handed_in.len() as u64 + 1;
                let small = StepSpec {
                    estimate_ms: 1_000,
                    ..step(1)
                };
                let (id, mut record) = job_of(&name_of(number), id, vec![small]);
                record.accepted_ms = world.now_ms;
                handed_in.push((id, number, world.now_ms));
                world.submit((id, record));
            }
        }
        world.run_for(begun_ms + at_ms + 50 - world.now_ms.min(begun_ms + at_ms + 50));
        world.note_outcomes();
    }
    for _ in 0..100 {
        world.run_for(50);
        world.note_outcomes();
    }
    let others: Vec<_> = handed_in.iter().filter(|(_, by, _)| *by != 0).collect();
    let in_time = others.iter().filter(|(id, _, since_ms)| {
        let done_ms = world.done_ms.get(id);
        done_ms.is_some_and(|done_ms| done_ms - since_ms <= OBJECTIVE_MS)
    });
    in_time.count() as f64 / others.len() as f64
}

/// One customer's flood costs the others next to nothing.
#[rstest]
fn place_beside_flood(
    #[values(2, 5, 10)] flood_factor: u64,
    #[values(false, true)] has_advice: bool,
) {
    let policy = has_advice.then(advice);
    let mut lost = 0.0;
    for seed in 0..SEEDS_COUNT {
        let before = others_share(seed, 1, policy);
        let beside = others_share(seed, flood_factor, policy);
        println!("seed {seed}: {before:.3} alone, {beside:.3} beside a flood");
        lost += (before - beside) / SEEDS_COUNT as f64;
    }
    assert!(
        lost <= SHARE_LOST_LIMIT,
        "the others lose {lost:.3} of their share"
    );
}
