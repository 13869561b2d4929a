//! Which nodes make calls for advice, and which calls wait.

use crate::support::harness::{workers, Harness};
use crate::support::{configuration, job, low_priority_job, step, LOW_PRIORITY_QUEUE, QUEUE};
use ospreywing_scheduler::{
    Action, AdvicePolicy, AdviceReply, Configuration, Event, JobId, Recovered, StepSpec,
};
use ospreywing_types::{Duration, Resources};
use rstest::rstest;
use std::collections::BTreeSet;
use std::sync::Arc;

const NODES_COUNT: usize = 8;
const WORKERS_COUNT: usize = 40;
/// A call about any number of workers takes this long.
const LONG: Duration = Duration::from_ms(600);
const SHORT: Duration = Duration::from_ms(30);

fn policy(cost: Duration) -> AdvicePolicy {
    AdvicePolicy {
        decision_ms: cost.as_ms() as f64,
        per_worker_ms: 0.0,
        validity: Duration::from_ms(1500),
    }
}

/// Returns a configuration with an urgent queue and a patient one, whose calls take so long.
fn queues(urgent: Duration, patient: Duration) -> Configuration {
    let mut configuration = configuration(None);
    configuration.version = 2;
    for (name, cost) in [(QUEUE, urgent), (LOW_PRIORITY_QUEUE, patient)] {
        let queue = configuration.queues.get_mut(name).expect("the queue");
        queue.advice = Some(policy(cost));
    }
    configuration
}

fn harness_with(nodes_count: usize, configuration: Configuration) -> Harness {
    let mut harness = Harness::new(Recovered::default(), &workers(WORKERS_COUNT));
    let nodes = (0..nodes_count).map(|number| Arc::from(format!("n{number}")));
    harness.tell(Event::NodesListed(nodes.collect()));
    harness.tell(Event::Configured(configuration));
    harness
}

/// Takes the calls that were made: whose each is, and which node makes it.
fn calls(harness: &mut Harness) -> Vec<(JobId, Arc<str>)> {
    let taken = core::mem::take(&mut harness.actions);
    let mut calls = Vec::new();
    for action in taken {
        match action {
            Action::Advise { step, node, .. } => calls.push((step.job, node)),
            other => harness.actions.push(other),
        }
    }
    calls
}

fn nodes_of(calls: &[(JobId, Arc<str>)]) -> usize {
    let nodes: BTreeSet<&Arc<str>> = calls.iter().map(|(_, node)| node).collect();
    nodes.len()
}

/// Answers a call that named whatever it did: nothing is good.
fn answer_nothing(harness: &mut Harness) {
    let taken = core::mem::take(&mut harness.actions);
    for action in taken {
        match action {
            Action::Advise { step, workers, .. } => {
                let named = workers.iter().map(|to| to.worker).collect();
                let reply = AdviceReply::Good {
                    tickets: Vec::new(),
                    validity: Duration::from_ms(1500),
                };
                harness.tell(Event::AdviceAnswered { step, named, reply });
            }
            other => harness.actions.push(other),
        }
    }
}

/// Long calls have all nodes but one while there are no short ones, and five of eight
/// beside many.
#[rstest]
#[case::no_short_calls(0, 7)]
#[case::many_short_calls(60, 5)]
fn ask_on_nodes_by_load(#[case] short_calls_count: u64, #[case] nodes_count: usize) {
    let mut harness = harness_with(NODES_COUNT, queues(SHORT, LONG));
    for number in 0..short_calls_count {
        harness.submit_job(job(1000 + number, vec![step(1)]));
        answer_nothing(&mut harness);
    }
    harness.commit_all();
    calls(&mut harness);
    for number in 0..12 {
        harness.submit_job(low_priority_job(number, 1));
    }
    harness.commit_all();
    let made = calls(&mut harness);
    let long: Vec<_> = made
        .into_iter()
        .filter(|(job, _)| job.number() < 1000)
        .collect();
    assert_eq!(nodes_of(&long), nodes_count);
}

/// A patient step's long call is made where a node has nothing to do, an urgent one's waits
/// there for its turn.
#[test]
fn ask_patient_calls_do_not_wait_at_nodes() {
    let mut harness = harness_with(2, queues(LONG, LONG));
    let urgent = StepSpec {
        estimate_ms: 1_000,
        ..step(1)
    };
    for number in 1..=2 {
        harness.submit_job(low_priority_job(number, 1));
    }
    harness.submit_job(job(3, vec![urgent]));
    harness.commit_all();
    let made = calls(&mut harness);
    let by: Vec<u64> = made.iter().map(|(job, _)| job.number()).collect();
    assert_eq!(by, [1, 3], "one node takes long calls, and has one to make");
}

/// Returns how many workers each call names that a wide step makes in a cell of so many nodes.
fn named_in_cell(nodes_count: usize) -> Vec<usize> {
    let mut configuration = queues(SHORT, LONG);
    let queue = configuration.queues.get_mut(QUEUE).expect("the queue");
    queue.advice = Some(AdvicePolicy {
        decision_ms: 200.0,
        per_worker_ms: 5.0,
        validity: Duration::from_ms(1500),
    });
    let mut harness = harness_with(nodes_count, configuration);
    harness.submit_job(job(1, vec![step(60)]));
    harness.commit_all();
    let made = harness.actions.iter().filter_map(|action| match action {
        Action::Advise { workers, .. } => Some(workers.len()),
        _ => None,
    });
    made.collect()
}

/// Where many nodes have nothing to do, several ask about fewer workers each: the answer to
/// the longest part is there in less than half of the time. In a small cell the others stay
/// free.
#[rstest]
#[case::small(7, 1)]
#[case::large(64, 4)]
#[case::larger(640, 4)]
fn ask_in_parts_where_nodes_are_idle(#[case] nodes_count: usize, #[case] parts_count: usize) {
    let named = named_in_cell(nodes_count);
    assert_eq!(named.iter().sum::<usize>(), WORKERS_COUNT);
    assert_eq!(named.len(), parts_count, "{named:?}");
}

/// The room on which a job counts whose call for advice is open is others' as soon as the job
/// is cancelled, also where the call is answered much later.
#[test]
fn cancel_frees_room_counted_on_at_once() {
    let mut harness = harness_with(NODES_COUNT, queues(LONG, LONG));
    // Eight of them fill a worker, so that nothing is learned ahead.
    let small = |tasks_count| StepSpec {
        demand: Resources::new(500, 100, 0),
        ..step(tasks_count)
    };
    // It counts on all workers.
    harness.submit(1, vec![small(8 * WORKERS_COUNT as u32)]);
    assert!(!calls(&mut harness).is_empty());
    harness.submit(2, vec![small(4)]);
    assert!(
        calls(&mut harness).is_empty(),
        "no room is left to ask about"
    );
    harness.now = harness.now + Duration::from_ms(20);
    harness.cancel(1);
    let calls = calls(&mut harness);
    assert!(calls.iter().any(|(job, _)| *job == JobId::new(2)));
}
