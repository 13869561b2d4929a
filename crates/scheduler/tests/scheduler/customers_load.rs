//! A load of many customers, one of which submits a multiple of its usual load: what the others
//! get.

use crate::support::simulation::{Faults, Simulation};
use crate::support::{advice, configuration_with, customer, job_of, step};
use ospreywing_scheduler::{AdvicePolicy, Customer, Feature, Features, JobId, StepSpec};
use ospreywing_types::Resources;
use rstest::rstest;

/// The number of customers, the first of which submits a burst.
const CUSTOMERS_COUNT: u64 = 8;
/// The jobs a second that each customer may submit, and the period at which it does.
const JOBS_PER_S: f64 = 3.0;
const PERIOD_MS: u64 = 500;
/// The tasks that each customer may have running; the first one may fill the whole cell.
const LIMIT_TASKS_COUNT: u32 = 20;
const BURST_LIMIT_TASKS_COUNT: u32 = 48;
const LOAD_MS: u64 = 12_000;
const WORKERS_COUNT: usize = 12;
/// How much the others' share of jobs on time may decrease.
const SHARE_LOST_LIMIT: f64 = 0.02;
const SEEDS_COUNT: u64 = 6;
const DISRUPTION_SEEDS_COUNT: u64 = 3;
/// The longest that a job of a customer under its share waits while a customer over its own
/// share gets capacity: until a run of the longest duration ends, and its successor is placed.
const WAIT_LIMIT_MS: u64 = 2_000;
/// How far a customer within its rate and share may be ahead of the virtual clock: less
/// than what delays its work.
const LAG_LIMIT_MS: u64 = 1_000;
/// The percentage of the jobs done without fair shares that must be done with them.
const DONE_PERCENT: usize = 97;
/// A job's objective: twice its task's estimate of a second, and one second.
const OBJECTIVE_MS: u64 = 3_000;

/// What the first customer submits, in multiples of its usual load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Burst {
    /// More jobs of the usual size.
    Many,
    /// As many jobs as usual, within its rate, of more tasks.
    Wide,
    /// The same, with tasks each of which fills a worker.
    Huge,
}

impl Burst {
    /// Returns how many jobs are submitted at a time, and the step of each.
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

/// What else is disrupted during a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disruption {
    Nothing,
    /// The leader is replaced in the middle of the burst, and again soon after.
    LeadersLost,
    /// The weight of the customer with the burst is raised in the middle.
    WeightRaised,
    /// The customer with the burst is removed in the middle.
    CustomerRemoved,
    /// The customer with the burst is idle before it.
    IdleBefore,
    /// Tasks take 2.5 times as long as estimated, or are estimated at 2.5 times their duration.
    EstimatesLow,
    EstimatesHigh,
}

impl Disruption {
    const fn estimate_ms(self) -> u64 {
        match self {
            Self::EstimatesLow => 400,
            Self::EstimatesHigh => 2_500,
            _ => 1_000,
        }
    }

    /// Returns whether the customer with the burst submits anything at this time after
    /// the start of the load.
    const fn sends_burst_at(self, at_ms: u64) -> bool {
        !matches!(self, Self::IdleBefore) || at_ms >= LOAD_MS / 2
    }

    /// Applies the disruption if it is due.
    fn inject(self, at_ms: u64, simulation: &mut Simulation, load: &Load) {
        let is_middle = at_ms == LOAD_MS / 2;
        match self {
            Self::LeadersLost if is_middle || at_ms == LOAD_MS * 2 / 3 => simulation.elect(),
            Self::WeightRaised if is_middle => {
                let mut customers = customers();
                customers[0].jobs_per_s *= 2.0;
                simulation.configure(configuration_with(3, load.policy, customers));
            }
            Self::CustomerRemoved if is_middle => {
                let customers = customers().split_off(1);
                simulation.configure(configuration_with(3, load.policy, customers));
            }
            _ => {}
        }
    }
}

/// The parameters of a load.
#[derive(Clone, Copy, Debug)]
struct Load {
    burst: Burst,
    factor: u64,
    policy: Option<AdvicePolicy>,
    features: Features,
    disruption: Disruption,
}

/// Few jobs, within their customer's rate, that need far more than the cell's capacity.
const HUGE_LOAD: Load = Load {
    burst: Burst::Huge,
    factor: 10,
    policy: None,
    features: Features::all(),
    disruption: Disruption::Nothing,
};

/// The outcome of a load.
struct Outcome {
    /// The part of the others' jobs that were done within their objective.
    others_share: f64,
    /// The number of all jobs that were done by the end of the load.
    done_count: usize,
    /// The longest that a job of the others waited for its first start.
    longest_wait_ms: u64,
    /// The furthest that one of the others was ahead of the virtual clock.
    largest_lag_ms: u64,
}

fn name_of(customer: u64) -> String {
    format!("c{customer}")
}

fn customers() -> Vec<Customer> {
    let customers = (0..CUSTOMERS_COUNT).map(|number| {
        let tasks_count = match number {
            0 => BURST_LIMIT_TASKS_COUNT,
            _ => LIMIT_TASKS_COUNT,
        };
        customer(&name_of(number), tasks_count, JOBS_PER_S)
    });
    customers.collect()
}

fn simulation_of(seed: u64, load: &Load) -> Simulation {
    let mut simulation = Simulation::new(seed, WORKERS_COUNT, Faults::default(), load.policy);
    simulation.elect_with_features(load.features);
    simulation.run_durations_ms = 600..1_200;
    simulation.configure(configuration_with(2, load.policy, customers()));
    simulation
}

/// Runs a load.
fn run_load(seed: u64, load: &Load) -> Outcome {
    let mut simulation = simulation_of(seed, load);
    let began_ms = simulation.now_ms;
    let mut submitted: Vec<(JobId, u64, u64)> = Vec::new();
    let mut largest_lag_ms = 0;
    for at_ms in (0..LOAD_MS).step_by(50) {
        load.disruption.inject(at_ms, &mut simulation, load);
        for number in 0..CUSTOMERS_COUNT {
            let is_due = (at_ms + 50 * number).is_multiple_of(PERIOD_MS);
            let (count, mut spec) = match number {
                0 if !load.disruption.sends_burst_at(at_ms) => continue,
                0 => load.burst.jobs(load.factor),
                _ => Burst::Many.jobs(1),
            };
            spec.estimate_ms = load.disruption.estimate_ms();
            for _ in 0..count * u64::from(is_due) {
                let id = submitted.len() as u64 + 1;
                let (id, mut record) = job_of(&name_of(number), id, vec![spec.clone()]);
                record.accepted_ms = simulation.now_ms;
                submitted.push((id, number, simulation.now_ms));
                simulation.submit((id, record));
            }
        }
        simulation.run_for(began_ms + at_ms + 50 - simulation.now_ms.min(began_ms + at_ms + 50));
        simulation.record_outcomes();
        let lags = (1..CUSTOMERS_COUNT).filter_map(|number| simulation.share_of(&name_of(number)));
        let lag_ms = lags.map(|view| view.lag.as_ms()).max();
        largest_lag_ms = largest_lag_ms.max(lag_ms.unwrap_or(0));
    }
    let done_count = simulation.done_ms.len();
    for _ in 0..100 {
        simulation.run_for(50);
        simulation.record_outcomes();
    }
    let others: Vec<_> = submitted.iter().filter(|(_, by, _)| *by != 0).collect();
    let on_time = others.iter().filter(|(id, _, since_ms)| {
        let done_ms = simulation.done_ms.get(id);
        done_ms.is_some_and(|done_ms| done_ms - since_ms <= OBJECTIVE_MS)
    });
    let end_ms = simulation.now_ms;
    let waits_ms = others.iter().map(|(id, _, since_ms)| {
        let started_ms = simulation.started_ms.get(id).copied();
        started_ms.unwrap_or(end_ms) - since_ms
    });
    Outcome {
        others_share: on_time.count() as f64 / others.len() as f64,
        done_count,
        longest_wait_ms: waits_ms.max().unwrap_or(0),
        largest_lag_ms,
    }
}

/// Runs a load with and without its burst; returns the decrease of the others' share of jobs on
/// time, averaged over the seeds.
fn share_lost(load: &Load, seeds_count: u64) -> f64 {
    let baseline = Load {
        burst: Burst::Many,
        factor: 1,
        ..*load
    };
    let mut lost = 0.0;
    for seed in 0..seeds_count {
        let before = run_load(seed, &baseline);
        let beside = run_load(seed, load);
        println!(
            "seed {seed}: {:.3} without a burst, {:.3} with one; waits of {} ms, a lag of {} ms",
            before.others_share, beside.others_share, beside.longest_wait_ms, beside.largest_lag_ms
        );
        lost += (before.others_share - beside.others_share) / seeds_count as f64;
        if load.features.has(Feature::FairShares) {
            assert!(
                beside.longest_wait_ms <= WAIT_LIMIT_MS,
                "others wait too long"
            );
            assert!(
                beside.largest_lag_ms < LAG_LIMIT_MS,
                "others are delayed for their lag"
            );
        }
    }
    println!("lost {lost:.3}");
    lost
}

/// One customer's burst costs the others almost nothing.
#[rstest]
fn place_beside_burst(
    #[values(Burst::Many, Burst::Wide, Burst::Huge)] burst: Burst,
    #[values(2, 5, 10)] factor: u64,
    #[values(false, true)] has_advice: bool,
) {
    let load = Load {
        burst,
        factor,
        policy: has_advice.then(advice),
        ..HUGE_LOAD
    };
    let lost = share_lost(&load, SEEDS_COUNT);
    assert!(
        lost <= SHARE_LOST_LIMIT,
        "the others lose {lost:.3} of their share"
    );
}

/// The same with another disruption.
#[rstest]
fn place_beside_burst_with_disruption(
    #[values(
        Disruption::LeadersLost,
        Disruption::WeightRaised,
        Disruption::CustomerRemoved,
        Disruption::IdleBefore,
        Disruption::EstimatesLow,
        Disruption::EstimatesHigh
    )]
    disruption: Disruption,
) {
    let load = Load {
        disruption,
        ..HUGE_LOAD
    };
    let lost = share_lost(&load, DISRUPTION_SEEDS_COUNT);
    assert!(
        lost <= SHARE_LOST_LIMIT,
        "the others lose {lost:.3} of their share"
    );
}

/// Without fair shares a few huge jobs take what others need: this load shows what shares
/// prevent.
#[test]
fn place_beside_burst_without_shares() {
    let load = Load {
        features: Features::all().without(Feature::FairShares),
        ..HUGE_LOAD
    };
    let lost = share_lost(&load, DISRUPTION_SEEDS_COUNT);
    assert!(lost > 0.1, "the others lose only {lost:.3}");
}

/// The customer with the burst still gets the capacity that nobody else needs.
#[rstest]
fn place_burst_in_free_capacity(#[values(Burst::Many, Burst::Wide)] burst: Burst) {
    let shared = Load { burst, ..HUGE_LOAD };
    let unshared = Load {
        features: Features::all().without(Feature::FairShares),
        ..shared
    };
    for seed in 0..DISRUPTION_SEEDS_COUNT {
        let with = run_load(seed, &shared).done_count;
        let without = run_load(seed, &unshared).done_count;
        println!("seed {seed}: {with} jobs done with shares, {without} without");
        assert!(with * 100 >= without * DONE_PERCENT);
    }
}
