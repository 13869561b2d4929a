//! A load of gangs, each member of which takes a third of a worker, alongside deferrable work:
//! how many gangs are on time, and whether the deferrable work is done as well.

use crate::support::harness::{workers, Harness};
use crate::support::simulation::{Faults, Simulation};
use crate::support::worker::FakeWorker;
use crate::support::{advice, deferrable_job, job, step};
use ospreywing_scheduler::{JobId, Recovered, StepSpec};
use ospreywing_types::Resources;

const WORKERS_COUNT: usize = 24;
/// One worker in this many is suitable for a job.
const SUITABLE_ONE_IN: u64 = 4;
const SEEDS_COUNT: u64 = 8;
const LOAD_MS: u64 = 16_000;
/// The time between two gangs, and between two deferrable jobs.
const PERIOD_MS: u64 = 500;
const GANG_MEMBERS_COUNT: u32 = 16;
const DEFERRABLE_TASKS_COUNT: u32 = 30;
/// A gang's objective: twice its estimate of a second, and one second.
const GANG_OBJECTIVE_MS: u64 = 3_000;
/// A deferrable job's objective: twice its estimate of 10 s, and one second.
const DEFERRABLE_OBJECTIVE_MS: u64 = 21_000;
/// The lowest share of gangs on time. It is 0.774 where deferrable work leaves capacity to
/// gangs only once less than a third of the cores is free, 0.805 where that limit is half, and
/// 0.820 where it always does.
const GANGS_ON_TIME_MIN: f64 = 0.79;

/// Returns a gang, three members of which fill a worker.
fn gang_job(number: u64) -> (JobId, ospreywing_scheduler::JobRecord) {
    let spec = StepSpec {
        demand: Resources::new(1300, 1000, 0),
        is_gang: true,
        ..step(GANG_MEMBERS_COUNT)
    };
    job(number, vec![spec])
}

fn small_deferrable_job(number: u64) -> (JobId, ospreywing_scheduler::JobRecord) {
    let (id, mut record) = deferrable_job(number, DEFERRABLE_TASKS_COUNT);
    record.spec.steps[0].demand = Resources::new(700, 500, 0);
    (id, record)
}

/// The shares of jobs on time.
struct OnTime {
    gangs: f64,
    deferrable: f64,
}

fn run_load(seed: u64) -> OnTime {
    let mut simulation = Simulation::new(seed, WORKERS_COUNT, Faults::default(), Some(advice()));
    assert_eq!(simulation.workers.len(), WORKERS_COUNT);
    simulation.suitable_one_in = SUITABLE_ONE_IN;
    simulation.run_durations_ms = 600..1_400;
    let mut gangs: Vec<(JobId, u64)> = Vec::new();
    let mut deferrable: Vec<(JobId, u64)> = Vec::new();
    for number in 0..LOAD_MS / PERIOD_MS {
        for (kind, (id, mut record)) in [
            gang_job(2 * number + 1),
            small_deferrable_job(2 * number + 2),
        ]
        .into_iter()
        .enumerate()
        {
            record.accepted_ms = simulation.now_ms;
            let list = if kind == 0 {
                &mut gangs
            } else {
                &mut deferrable
            };
            list.push((id, simulation.now_ms));
            simulation.submit((id, record));
        }
        for _ in 0..PERIOD_MS / 50 {
            simulation.run_for(50);
            simulation.record_outcomes();
        }
    }
    for _ in 0..DEFERRABLE_OBJECTIVE_MS / 100 {
        simulation.run_for(100);
        simulation.record_outcomes();
    }
    OnTime {
        gangs: share(&simulation, &gangs, GANG_OBJECTIVE_MS),
        deferrable: share(&simulation, &deferrable, DEFERRABLE_OBJECTIVE_MS),
    }
}

fn share(simulation: &Simulation, jobs: &[(JobId, u64)], objective_ms: u64) -> f64 {
    let on_time = jobs.iter().filter(|(id, since_ms)| {
        let done_ms = simulation.done_ms.get(id);
        done_ms.is_some_and(|done_ms| done_ms - since_ms <= objective_ms)
    });
    on_time.count() as f64 / jobs.len() as f64
}

#[test]
fn place_gangs_beside_deferrable_work() {
    let mut gangs = 0.0;
    for seed in 0..SEEDS_COUNT {
        let on_time = run_load(seed);
        println!(
            "seed {seed}: {:.3} of the gangs on time, {:.3} of the deferrable jobs",
            on_time.gangs, on_time.deferrable
        );
        assert!(on_time.deferrable >= 0.99, "deferrable work is late");
        gangs += on_time.gangs / SEEDS_COUNT as f64;
    }
    assert!(
        gangs >= GANGS_ON_TIME_MIN,
        "{gangs:.3} of the gangs were on time"
    );
}

/// Each fake worker of this load holds three members.
#[test]
fn fake_worker_holds_three_members() {
    let worker = FakeWorker::new("w0", 1000);
    let member = Resources::new(1300, 1000, 0);
    assert!(member.times(3).fits_in(&worker.capacity));
    assert!(!member.times(4).fits_in(&worker.capacity));
}

/// Of two gangs that are equally urgent and don't both fit, the smaller one is served first,
/// though the larger one was submitted earlier.
#[test]
fn scheduling_order_smaller_gang_first() {
    let mut harness = Harness::new(Recovered::default(), &[]);
    let gang = |tasks_count| StepSpec {
        is_gang: true,
        ..step(tasks_count)
    };
    // Neither gang fits on one worker.
    let smaller = StepSpec {
        demand: Resources::new(1300, 1000, 0),
        per_worker_limit_count: 2,
        ..gang(3)
    };
    harness.submit(1, vec![gang(4)]);
    harness.submit(2, vec![smaller]);
    // Two workers that hold two tasks each join.
    let joining = workers(2);
    harness.list_workers(&joining);
    for worker in &joining {
        let key = harness.scheduler.worker_key(&worker.id);
        harness.answer_poll(key.expect("a listed worker"), Vec::new());
    }
    harness.commit_all();
    let started: Vec<u64> = harness
        .starts()
        .iter()
        .map(|(_, task, _)| task.step.job.number())
        .collect();
    assert_eq!(started, [2, 2, 2]);
}
