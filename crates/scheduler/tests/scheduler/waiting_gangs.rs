//! Gangs that wait for capacity, beside usual work of the same service.

use super::support::harness::{workers, Harness};
use super::support::worker::FakeWorker;
use super::support::{advice, configuration, job, step, with_other_service};
use super::support::{LOW_PRIORITY_QUEUE, OTHER_SERVICE};
use ospreywing_scheduler::{
    AdvicePolicy, Configuration, Event, JobId, JobRecord, Recovered, StepSpec, TaskKey,
};
use ospreywing_types::Duration;
use rstest::rstest;
use std::sync::Arc;

/// The workers of the service, on each of which two members fit.
const SERVICE_WORKERS_COUNT: usize = 4;
/// The workers of another service.
const OTHER_WORKERS_COUNT: usize = 12;

/// Returns a configuration in which the queue of gangs goes first and may need advice.
fn configuration_with_gangs(advice: Option<AdvicePolicy>) -> Configuration {
    let mut configuration = with_other_service(configuration(None));
    let queues = &mut configuration.queues;
    let queue = queues.get_mut(LOW_PRIORITY_QUEUE).expect("a queue");
    queue.priority = 0;
    queue.advice = advice;
    configuration
}

fn all_workers() -> Vec<FakeWorker> {
    let mut all = workers(SERVICE_WORKERS_COUNT + OTHER_WORKERS_COUNT);
    for other in &mut all[SERVICE_WORKERS_COUNT..] {
        other.service = Arc::from(OTHER_SERVICE);
    }
    all
}

fn gang(number: u64, members_count: u32) -> (JobId, JobRecord) {
    let members = StepSpec {
        is_gang: true,
        ..step(members_count)
    };
    let (id, mut record) = job(number, vec![members]);
    record.queue = LOW_PRIORITY_QUEUE.to_owned();
    (id, record)
}

/// Lets time pass; answers commits and advice requests. Returns the tasks that started.
fn pass(harness: &mut Harness, steps_count: usize) -> Vec<TaskKey> {
    let all = all_workers();
    let suitable: Vec<&str> = all.iter().map(|worker| &*worker.id).collect();
    let mut started = Vec::new();
    for _ in 0..steps_count {
        harness.now = harness.now + Duration::from_ms(20);
        harness.handle(Event::Tick);
        harness.answer_advice_requests(&suitable);
        harness.answer_commits();
        for start in harness.starts() {
            harness.answer_started(start);
            started.push(start.1);
        }
    }
    started
}

fn begin(advice: Option<AdvicePolicy>) -> Harness {
    let mut harness = Harness::with_configuration(
        Recovered::default(),
        &all_workers(),
        configuration_with_gangs(advice),
    );
    let nodes = (0..4).map(|number| format!("n{number}").into());
    harness.handle(Event::NodesListed(nodes.collect()));
    harness
}

/// Guards against a gang that is wider than its service and keeps the service's free workers
/// reserved, so that other work never starts.
#[rstest]
#[case::idle_service(0)]
#[case::half_used_service(4)]
fn reserve_expected_capacity_for_gang_too_wide(#[case] running_count: u32) {
    let mut harness = begin(Some(advice()));
    if running_count > 0 {
        harness.submit(3, vec![step(running_count)]);
        pass(&mut harness, 10);
    }
    harness.submit_job(gang(1, 2 * SERVICE_WORKERS_COUNT as u32 + 1));
    assert_eq!(pass(&mut harness, 20), vec![]);
    harness.submit(2, vec![step(2)]);
    let started = pass(&mut harness, 20);
    let jobs: Vec<JobId> = started.iter().map(|task| task.step.job).collect();
    assert_eq!(jobs, [JobId::new(2), JobId::new(2)]);
}

/// Guards against a gang that waits for runs which end late or never, and keeps a service reserved
/// meanwhile of which less than half is in use: other work that fits must start within 3 s there.
#[rstest]
#[case::long_run(60_000, false)]
#[case::perpetual_run(1000, true)]
fn reserve_expected_capacity_for_gang_under_half_used(
    #[case] estimate_ms: u64,
    #[case] is_perpetual: bool,
) {
    let mut harness = begin(Some(advice()));
    let running = StepSpec {
        estimate_ms,
        is_perpetual,
        ..step(1)
    };
    harness.submit(3, vec![running]);
    assert_eq!(pass(&mut harness, 10).len(), 1);
    let (id, mut record) = gang(1, 2 * SERVICE_WORKERS_COUNT as u32);
    record.spec.steps[0].is_perpetual = is_perpetual;
    record.spec.steps[0].estimate_ms = 3000;
    harness.submit_job((id, record));
    assert_eq!(pass(&mut harness, 20), vec![]);
    harness.submit(2, vec![step(2)]);
    // The start itself takes part of the 3 s.
    let started = pass(&mut harness, 120);
    let jobs: Vec<JobId> = started.iter().map(|task| task.step.job).collect();
    assert_eq!(jobs, [JobId::new(2), JobId::new(2)]);
}
