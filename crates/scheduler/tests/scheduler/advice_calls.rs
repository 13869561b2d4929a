//! Which nodes make advice requests, and which requests wait.

use crate::support::harness::{workers, Harness};
use crate::support::{configuration, deferrable_job, job, step, LOW_PRIORITY_QUEUE, QUEUE};
use ospreywing_scheduler::{
    Action, AdvicePolicy, AdviceReply, Configuration, Event, JobId, Recovered, StepSpec,
};
use ospreywing_types::{Duration, Resources};
use rstest::rstest;
use std::collections::BTreeSet;
use std::sync::Arc;

const NODES_COUNT: usize = 8;
const WORKERS_COUNT: usize = 40;
/// A request takes this long, for any number of workers.
const LONG_REQUEST: Duration = Duration::from_ms(600);
const SHORT_REQUEST: Duration = Duration::from_ms(30);

fn policy(cost: Duration) -> AdvicePolicy {
    AdvicePolicy {
        decision_ms: cost.as_ms() as f64,
        per_worker_ms: 0.0,
        validity: Duration::from_ms(1500),
    }
}

/// Returns a configuration with an urgent and a low-priority queue, whose requests take so
/// long.
fn queues(urgent: Duration, deferrable: Duration) -> Configuration {
    let mut configuration = configuration(None);
    configuration.version = 2;
    for (name, cost) in [(QUEUE, urgent), (LOW_PRIORITY_QUEUE, deferrable)] {
        let queue = configuration.queues.get_mut(name).expect("the queue");
        queue.advice = Some(policy(cost));
    }
    configuration
}

fn harness_with(nodes_count: usize, configuration: Configuration) -> Harness {
    let mut harness = Harness::new(Recovered::default(), &workers(WORKERS_COUNT));
    let nodes = (0..nodes_count).map(|number| Arc::from(format!("n{number}")));
    harness.handle(Event::NodesListed(nodes.collect()));
    harness.handle(Event::Configured(configuration));
    harness
}

/// Drains the requests that were sent; returns the job of each, and the node that makes it.
fn drain_requests(harness: &mut Harness) -> Vec<(JobId, Arc<str>)> {
    let actions = core::mem::take(&mut harness.actions);
    let mut requests = Vec::new();
    for action in actions {
        match action {
            Action::Advise { step, node, .. } => requests.push((step.job, node)),
            other => harness.actions.push(other),
        }
    }
    requests
}

fn nodes_count_of(requests: &[(JobId, Arc<str>)]) -> usize {
    let nodes: BTreeSet<&Arc<str>> = requests.iter().map(|(_, node)| node).collect();
    nodes.len()
}

/// Answers each request with no suitable worker.
fn reject_all_workers(harness: &mut Harness) {
    let actions = core::mem::take(&mut harness.actions);
    for action in actions {
        match action {
            Action::Advise { step, workers, .. } => {
                let queried = workers.iter().map(|to| to.worker).collect();
                let reply = AdviceReply::Answered {
                    tickets: Vec::new(),
                    validity: Duration::from_ms(1500),
                };
                harness.handle(Event::AdviceAnswered {
                    step,
                    queried,
                    reply,
                });
            }
            other => harness.actions.push(other),
        }
    }
}

/// Long requests use all nodes but one while there are no short ones, and five of eight while
/// there are many.
#[rstest]
#[case::no_short_requests(0, 7)]
#[case::many_short_requests(60, 5)]
fn request_advice_on_nodes_by_load(#[case] short_requests_count: u64, #[case] nodes_count: usize) {
    let mut harness = harness_with(NODES_COUNT, queues(SHORT_REQUEST, LONG_REQUEST));
    for number in 0..short_requests_count {
        harness.submit_job(job(1000 + number, vec![step(1)]));
        reject_all_workers(&mut harness);
    }
    harness.commit_all();
    drain_requests(&mut harness);
    for number in 0..12 {
        harness.submit_job(deferrable_job(number, 1));
    }
    harness.commit_all();
    let requests = drain_requests(&mut harness);
    let long: Vec<_> = requests
        .into_iter()
        .filter(|(job, _)| job.number() < 1000)
        .collect();
    assert_eq!(nodes_count_of(&long), nodes_count);
}

/// A deferrable step's long request is made only where a node is idle, an urgent one's is
/// queued at a busy node.
#[test]
fn request_advice_deferrable_not_queued_at_nodes() {
    let mut harness = harness_with(2, queues(LONG_REQUEST, LONG_REQUEST));
    let urgent = StepSpec {
        estimate_ms: 1_000,
        ..step(1)
    };
    for number in 1..=2 {
        harness.submit_job(deferrable_job(number, 1));
    }
    harness.submit_job(job(3, vec![urgent]));
    harness.commit_all();
    let requests = drain_requests(&mut harness);
    let requesting_jobs: Vec<u64> = requests.iter().map(|(job, _)| job.number()).collect();
    assert_eq!(
        requesting_jobs,
        [1, 3],
        "one node makes long requests, and one urgent request is queued there"
    );
}

/// Returns how many workers each request of a wide step names, in a cell of
/// `nodes_count` nodes.
fn named_in_cell(nodes_count: usize) -> Vec<usize> {
    let mut configuration = queues(SHORT_REQUEST, LONG_REQUEST);
    let queue = configuration.queues.get_mut(QUEUE).expect("the queue");
    queue.advice = Some(AdvicePolicy {
        decision_ms: 200.0,
        per_worker_ms: 5.0,
        validity: Duration::from_ms(1500),
    });
    let mut harness = harness_with(nodes_count, configuration);
    harness.submit_job(job(1, vec![step(60)]));
    harness.commit_all();
    let requests = harness.actions.iter().filter_map(|action| match action {
        Action::Advise { workers, .. } => Some(workers.len()),
        _ => None,
    });
    requests.collect()
}

/// If many nodes are idle, several query fewer workers each, so that the answer for the
/// largest part takes less than half of the time. In a small cell the other nodes stay idle.
#[rstest]
#[case::small(7, 1)]
#[case::large(64, 4)]
#[case::larger(640, 4)]
fn request_advice_in_parts_on_idle_nodes(#[case] nodes_count: usize, #[case] parts_count: usize) {
    let queried = named_in_cell(nodes_count);
    assert_eq!(queried.iter().sum::<usize>(), WORKERS_COUNT);
    assert_eq!(queried.len(), parts_count, "{queried:?}");
}

/// When a job is cancelled while its advice request is open, the capacity that it counted on is
/// available to others at once, even if the request is answered much later.
#[test]
fn cancel_frees_counted_capacity_at_once() {
    let mut harness = harness_with(NODES_COUNT, queues(LONG_REQUEST, LONG_REQUEST));
    // Eight tasks fill a worker, so that no worker is queried in advance.
    let small = |tasks_count| StepSpec {
        demand: Resources::new(500, 100, 0),
        ..step(tasks_count)
    };
    // The job counts on all workers.
    harness.submit(1, vec![small(8 * WORKERS_COUNT as u32)]);
    assert!(!drain_requests(&mut harness).is_empty());
    harness.submit(2, vec![small(4)]);
    assert!(
        drain_requests(&mut harness).is_empty(),
        "no free capacity is left to query"
    );
    harness.now = harness.now + Duration::from_ms(20);
    harness.cancel(1);
    let requests = drain_requests(&mut harness);
    assert!(requests.iter().any(|(job, _)| *job == JobId::new(2)));
}
