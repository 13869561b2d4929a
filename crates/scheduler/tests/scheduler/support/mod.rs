//! A cell in miniature: fake workers, a fake store and an adviser, driven
//! through time by a seed, with every rule checked from the outside.

pub mod cordons;
pub mod harness;
pub mod limits;
pub mod rules;
pub mod simulation;
pub mod worker;

use ospreywing_scheduler::{
    AdvicePolicy, Configuration, Customer, JobId, JobRecord, JobSpec, JobState, LifeStart, Queue,
    RoundState, ServicePolicy, StepKey, StepSpec, TaskKey, TaskStatus,
};
use ospreywing_types::{Duration, Resources};
use std::collections::HashMap;
use std::sync::Arc;

/// The queue of most jobs in these tests.
pub const QUEUE: &str = "render";
/// A queue that is less urgent.
pub const LOW_PRIORITY_QUEUE: &str = "bundle";
/// The service of all workers in these tests.
pub const SERVICE: &str = "gallery";
/// A queue of another service, and that service.
pub const OTHER_QUEUE: &str = "restore";
pub const OTHER_SERVICE: &str = "attic";
/// How often a task may fail.
pub const ATTEMPTS_COUNT: u32 = 3;

/// Returns a configuration with an urgent queue and a patient one.
pub fn configuration(advice: Option<AdvicePolicy>) -> Configuration {
    let queue = |name: &str, priority| Queue {
        name: name.to_owned(),
        service: SERVICE.to_owned(),
        priority,
        attempts_limit_count: ATTEMPTS_COUNT,
        stretch: 2.0,
        objective_ms: 1000,
        advice,
    };
    Configuration {
        version: 1,
        queues: [queue(QUEUE, 1), queue(LOW_PRIORITY_QUEUE, 2)]
            .map(|queue| (queue.name.clone(), queue))
            .into(),
        services: vec![ServicePolicy {
            name: SERVICE.to_owned(),
        }],
        customers: HashMap::new(),
    }
}

/// Returns an adviser's policy with short calls.
pub fn advice() -> AdvicePolicy {
    AdvicePolicy {
        decision_ms: 40.0,
        per_worker_ms: 1.0,
        validity: Duration::from_ms(1500),
    }
}

/// Returns a step of tasks that take half a worker each.
pub fn step(tasks_count: u32) -> StepSpec {
    StepSpec {
        tasks_count,
        demand: Resources::new(2000, 1000, 0),
        estimate_ms: 1000,
        ..StepSpec::default()
    }
}

/// Returns a job of the steps.
pub fn job(number: u64, steps: Vec<StepSpec>) -> (JobId, JobRecord) {
    let record = JobRecord {
        queue: QUEUE.to_owned(),
        service: SERVICE.to_owned(),
        accepted_ms: 0,
        spec: JobSpec {
            payload: format!("job {number}"),
            steps,
            schedule: None,
        },
        customer: None,
    };
    (JobId::new(number), record)
}

/// Returns a job of the patient queue: tasks that save checkpoints and have
/// time to spare.
pub fn low_priority_job(number: u64, tasks_count: u32) -> (JobId, JobRecord) {
    let saving = StepSpec {
        saves_progress: true,
        estimate_ms: 10_000,
        ..step(tasks_count)
    };
    let (id, mut record) = job(number, vec![saving]);
    record.queue = LOW_PRIORITY_QUEUE.to_owned();
    (id, record)
}

/// Returns the first task of a job.
pub const fn first_task(job: JobId) -> TaskKey {
    TaskKey {
        step: StepKey {
            job,
            round: 0,
            step: 0,
        },
        index: 0,
    }
}

/// Returns the state of a job whose only task was given to a worker.
pub fn placed_state(worker: &str, run: u32) -> JobState {
    let (_, record) = job(1, vec![step(1)]);
    let mut round = RoundState::new(0, &record);
    let task = &mut round.steps[0].tasks[0];
    task.last_run = run;
    task.status = TaskStatus::Placed {
        worker: worker.to_owned(),
        life_start: None,
    };
    JobState {
        next_round: 1,
        rounds: vec![round],
        ..JobState::default()
    }
}

/// Returns the same, given to the life of the worker with this start.
pub fn placed_at_incarnation(worker: &str, life_start_ms: u64, run: u32) -> JobState {
    let mut state = placed_state(worker, run);
    let status = &mut state.rounds[0].steps[0].tasks[0].status;
    *status = TaskStatus::Placed {
        worker: worker.to_owned(),
        life_start: Some(LifeStart::from_ms(life_start_ms)),
    };
    state
}

/// Returns a customer that may have so many tasks of [`step`] running, and hand in so many
/// jobs a second.
pub fn customer(name: &str, tasks_count: u32, jobs_per_s: f64) -> Customer {
    Customer {
        name: Arc::from(name),
        jobs_per_s,
        limit: step(1).demand.times(tasks_count),
    }
}

/// Returns a configuration with these customers.
pub fn configuration_with(
    version: u64,
    advice: Option<AdvicePolicy>,
    customers: Vec<Customer>,
) -> Configuration {
    let customers = customers.into_iter();
    Configuration {
        version,
        customers: customers.map(|it| (it.name.clone(), it)).collect(),
        ..configuration(advice)
    }
}

/// Returns a job of a customer.
pub fn job_of(customer: &str, number: u64, steps: Vec<StepSpec>) -> (JobId, JobRecord) {
    let (id, mut record) = job(number, steps);
    record.customer = Some(customer.to_owned());
    (id, record)
}

/// Adds a queue of another service, which comes before the others.
pub fn with_other_service(mut configuration: Configuration) -> Configuration {
    let queue = Queue {
        name: OTHER_QUEUE.to_owned(),
        service: OTHER_SERVICE.to_owned(),
        priority: 0,
        ..configuration.queues[LOW_PRIORITY_QUEUE].clone()
    };
    configuration.queues.insert(queue.name.clone(), queue);
    configuration.services.push(ServicePolicy {
        name: OTHER_SERVICE.to_owned(),
    });
    configuration
}
