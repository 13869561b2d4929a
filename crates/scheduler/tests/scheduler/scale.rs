//! How a leader of many workers and waiting steps limits its load.

use crate::support::harness::{end, workers, Harness};
use crate::support::{advice, job, step};
use ospreywing_scheduler::{Action, DecisionKind, EndKind, Event, Recovered, StepSpec};
use ospreywing_types::Duration;
use rstest::rstest;

/// Returns a step of one task that fills a worker.
fn filling_step() -> StepSpec {
    let mut spec = step(1);
    spec.demand.cores_milli = 4000;
    spec
}

/// Returns the longest time for which the polls sent so far may wait at their workers.
fn longest_poll_wait(harness: &Harness) -> Duration {
    let waits = harness.actions.iter().filter_map(|action| match action {
        Action::Hold { wait, .. } => Some(*wait),
        _ => None,
    });
    waits.max().unwrap_or_default()
}

/// Polls of 600 busy workers give 600 answers every 1.2 s. At 600 answers every 0.8 s they took
/// a third more of the leader's time.
#[rstest]
#[case(2, 800)]
#[case(400, 800)]
#[case(600, 1200)]
fn send_due_polls_wait_by_busy_workers(#[case] workers_count: u32, #[case] expected_ms: u64) {
    let mut harness = Harness::new(Recovered::default(), &workers(workers_count as usize));
    let mut spec = filling_step();
    spec.tasks_count = workers_count;
    harness.submit(1, vec![spec]);
    harness.commit_all();
    let starts = harness.starts();
    assert_eq!(starts.len(), workers_count as usize);
    harness.actions.clear();
    for start in starts {
        harness.answer_poll_running(start.0, start.1);
    }
    harness.commit_all();
    assert_eq!(longest_poll_wait(&harness), Duration::from_ms(expected_ms));
}

fn placed_count(harness: &Harness) -> usize {
    let is_placed = |action: &&Action| match action {
        Action::Log(decision) => decision.kind == DecisionKind::Placed,
        _ => false,
    };
    harness.actions.iter().filter(is_placed).count()
}

/// After a scheduling cycle over 300 waiting steps the leader leaves 30 ms to everything else. It
/// once ran three more cycles over these steps in that time.
#[test]
fn place_pauses_after_many_waiting_steps() {
    let mut harness = Harness::new(Recovered::default(), &workers(1));
    for number in 1..=301 {
        harness.submit(number, vec![filling_step()]);
    }
    harness.commit_all();
    let first = harness.starts()[0];
    harness.answer_started(first);
    harness.commit_all();
    assert_eq!(placed_count(&harness), 1);
    // A scheduling cycle over all waiting steps that places none.
    harness.handle(Event::Tick);
    let ended = vec![end(1, first.1, first.2, EndKind::Done)];
    harness.answer_poll_after(Duration::from_ms(15), first.0, ended);
    assert_eq!(placed_count(&harness), 1, "15 ms after a cycle");
    harness.now = harness.now + Duration::from_ms(20);
    harness.handle(Event::Tick);
    assert_eq!(placed_count(&harness), 2, "35 ms after a cycle");
}

/// Returns how many changes each commit sent so far contains.
fn commit_sizes(harness: &Harness) -> Vec<usize> {
    let sizes = harness.actions.iter().filter_map(|action| match action {
        Action::Commit { changes, .. } => Some(changes.len()),
        _ => None,
    });
    sizes.collect()
}

/// When full groups were not committed at once, the last of 70 simultaneous changes waited for
/// 44 ms.
#[test]
fn flush_commits_full_groups_at_once() {
    let mut harness = Harness::new(Recovered::default(), &workers(70));
    for number in 1..=70 {
        let (job, record) = job(number, vec![filling_step()]);
        let record = Box::new(record);
        harness.handle(Event::JobAccepted { job, record });
    }
    harness.now = harness.now + Duration::from_ms(50);
    harness.handle(Event::Tick);
    harness.handle(Event::Tick);
    harness.handle(Event::Tick);
    assert_eq!(
        commit_sizes(&harness),
        [30, 30],
        "two full commits, and ten changes that wait"
    );
    harness.now = harness.now + Duration::from_ms(22);
    harness.handle(Event::Tick);
    assert_eq!(commit_sizes(&harness), [30, 30, 10]);
}

/// Lists `nodes_count` nodes that can make advice requests.
fn list_nodes(harness: &mut Harness, nodes_count: usize) {
    let nodes = (0..nodes_count).map(|number| format!("n{number}").into());
    harness.handle(Event::NodesListed(nodes.collect()));
}

/// Returns a gang each of whose members fills a worker.
fn filling_gang(members_count: u32) -> StepSpec {
    StepSpec {
        tasks_count: members_count,
        is_gang: true,
        ..filling_step()
    }
}

/// A request names at most 100 workers; a gang of more members gets its tickets from several
/// requests.
#[rstest]
#[case::one_node(1)]
#[case::many_nodes(40)]
fn request_advice_gang_wider_than_a_request(#[case] nodes_count: usize) {
    let workers = workers(130);
    let ids: Vec<String> = workers.iter().map(|worker| worker.id.to_string()).collect();
    let suitable: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut harness = Harness::with_advice(Recovered::default(), &workers, Some(advice()));
    list_nodes(&mut harness, nodes_count);
    harness.submit(1, vec![filling_gang(120)]);
    let mut starts = Vec::new();
    for _ in 0..40 {
        harness.now = harness.now + Duration::from_ms(50);
        harness.handle(Event::Tick);
        let named_counts = harness.answer_advice_requests(&suitable);
        assert!(
            named_counts.iter().all(|count| *count <= 100),
            "{named_counts:?}"
        );
        harness.answer_commits();
        starts.extend(harness.starts());
    }
    assert_eq!(starts.len(), 120, "the whole gang");
}

/// A gang that needs many workers once queried 100 of them at a time, in one request after the
/// other. With many idle nodes it queries all at once, and each node requests a part.
#[rstest]
#[case::few_nodes(8, 1, 100)]
#[case::many_nodes(64, 8, 300)]
fn find_capacity_for_gang_splits_query(
    #[case] nodes_count: usize,
    #[case] calls_count: usize,
    #[case] named_count: usize,
) {
    let mut harness = Harness::with_advice(Recovered::default(), &workers(300), Some(advice()));
    list_nodes(&mut harness, nodes_count);
    harness.submit(1, vec![filling_gang(120)]);
    let queried = harness.answer_advice_requests(&[]);
    assert_eq!(queried.len(), calls_count, "{queried:?}");
    assert_eq!(queried.iter().sum::<usize>(), named_count, "{queried:?}");
}
