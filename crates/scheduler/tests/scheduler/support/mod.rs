//! Test support: a harness that drives one scheduler event by event, and a seeded simulation of
//! a cell (fake workers, store and adviser) whose rules are checked independently of the
//! scheduler.

pub mod cordons;
pub mod harness;
pub mod limits;
pub mod rules;
pub mod simulation;
pub mod worker;

use ospreywing_scheduler::{
    AdvicePolicy, Configuration, Customer, Incarnation, JobId, JobRecord, JobSpec, JobState, Queue,
    RoundState, ServicePolicy, StepKey, StepSpec, TaskKey, TaskStatus,
};
use ospreywing_types::{Duration, Resources};
use std::collections::HashMap;
use std::sync::Arc;

/// The queue of most jobs in these tests.
pub const QUEUE: &str = "render";
/// A less urgent queue, with priority 2 instead of 1.
pub const LOW_PRIORITY_QUEUE: &str = "bundle";
/// The service of most workers in these tests.
pub const SERVICE: &str = "gallery";
/// A queue of another service, and that service.
pub const OTHER_QUEUE: &str = "restore";
pub const OTHER_SERVICE: &str = "attic";
/// The number of times that a task may fail.
pub const ATTEMPTS_COUNT: u32 = 3;

/// Returns a configuration with [`QUEUE`] and [`LOW_PRIORITY_QUEUE`].
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

/// Returns an advice policy with short calls.
pub fn advice() -> AdvicePolicy {
    AdvicePolicy {
        decision_ms: 40.0,
        per_worker_ms: 1.0,
        validity: Duration::from_ms(1500),
    }
}

/// Returns a step of tasks that need half a worker's cores each.
pub fn step(tasks_count: u32) -> StepSpec {
    StepSpec {
        tasks_count,
        demand: Resources::new(2000, 1000, 0),
        estimate_ms: 1000,
        ..StepSpec::default()
    }
}

/// Returns a job with these steps, in [`QUEUE`].
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
        policy: None,
    };
    (JobId::new(number), record)
}

/// Returns the job as a node accepts it under a configuration.
pub fn accepted_under(
    configuration: &Configuration,
    (id, mut record): (JobId, JobRecord),
) -> (JobId, JobRecord) {
    let policy = configuration.policy(&record.queue, record.customer.as_deref());
    record.policy = policy.map(Box::new);
    (id, record)
}

/// Returns a job of one step in [`LOW_PRIORITY_QUEUE`]. Its tasks save checkpoints and have
/// time to spare.
pub fn deferrable_job(number: u64, tasks_count: u32) -> (JobId, JobRecord) {
    let saving = StepSpec {
        saves_progress: true,
        estimate_ms: 10_000,
        ..step(tasks_count)
    };
    let (id, mut record) = job(number, vec![saving]);
    record.queue = LOW_PRIORITY_QUEUE.to_owned();
    (id, record)
}

/// Returns the key of a job's first task.
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

/// Returns the state of a job whose only task is placed on a worker.
pub fn placed_state(worker: &str, run: u32) -> JobState {
    let (_, record) = job(1, vec![step(1)]);
    let mut round = RoundState::new(0, &record);
    let task = &mut round.steps[0].tasks[0];
    task.last_run = run;
    task.status = TaskStatus::Placed {
        worker: worker.to_owned(),
        incarnation: None,
    };
    JobState {
        next_round: 1,
        rounds: vec![round],
        ..JobState::default()
    }
}

/// Returns the same state, with the task placed on the incarnation that started at this time.
pub fn placed_at_incarnation(worker: &str, life_start_ms: u64, run: u32) -> JobState {
    let mut state = placed_state(worker, run);
    let status = &mut state.rounds[0].steps[0].tasks[0].status;
    *status = TaskStatus::Placed {
        worker: worker.to_owned(),
        incarnation: Some(Incarnation::from_ms(life_start_ms)),
    };
    state
}

/// Returns a customer that may run `tasks_count` tasks of [`step`] at once and submit
/// `jobs_per_s` jobs a second.
pub fn customer(name: &str, tasks_count: u32, jobs_per_s: f64) -> Customer {
    Customer {
        name: Arc::from(name),
        jobs_per_s,
        limit: step(1).demand.times(tasks_count),
    }
}

/// Returns [`configuration`] with these customers.
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

/// Adds a queue of another service, with a higher priority than the others.
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
