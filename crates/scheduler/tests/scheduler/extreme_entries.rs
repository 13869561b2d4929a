//! Workers whose entries or answers have the largest figures that their types hold. These tests
//! check for overflows, since debug builds end at one.

use super::support::harness::{end, workers, Harness};
use super::support::step;
use ospreywing_scheduler::{
    EndKind, Event, HoldReply, Incarnation, JobId, Recovered, RunningRun, StepKey, TaskKey,
    WorkerFacts,
};
use ospreywing_types::{Duration, Resources};
use rstest::rstest;

const LARGEST: Resources = Resources::new(u32::MAX, u32::MAX, u32::MAX);

fn facts(id: &str) -> WorkerFacts {
    let mut facts = workers(1)[0].facts();
    facts.id = id.into();
    facts.address = format!("at {id}").into();
    facts
}

/// Work goes on beside entries with the largest figures, many of them or one.
#[rstest]
#[case::capacities(20, |facts: &mut WorkerFacts| facts.capacity = LARGEST)]
#[case::no_capacity(1, |facts: &mut WorkerFacts| facts.capacity = Resources::ZERO)]
#[case::start(1, |facts: &mut WorkerFacts| facts.incarnation = Some(Incarnation::from_ms(u64::MAX)))]
#[case::departure(1, |facts: &mut WorkerFacts| {
    facts.is_draining = true;
    facts.departs_at_clock_ms = Some(u64::MAX);
})]
fn list_workers_extreme_figures(
    #[case] count: usize,
    #[case] change: impl Fn(&mut WorkerFacts),
    #[values(0, u64::MAX)] clock_ms: u64,
) {
    let mut harness = Harness::new(Recovered::default(), &workers(1));
    let mut list = vec![workers(1)[0].facts()];
    for number in 0..count {
        let mut odd = facts(&format!("odd{number}"));
        change(&mut odd);
        list.push(odd);
    }
    harness.handle(Event::WorkersListed(list.clone()));
    for facts in &list[1..] {
        let Some(worker) = harness.scheduler.worker_key(&facts.id) else {
            continue;
        };
        let sent_at = harness.now;
        harness.now = harness.now + Duration::from_ms(20);
        harness.handle(Event::HoldAnswered {
            worker,
            sent_at,
            reply: HoldReply::Listed {
                incarnation: facts.incarnation,
                clock_ms,
                running: Vec::new(),
                ended: Vec::new(),
            },
        });
    }
    harness.submit(1, vec![step(1)]);
    harness.submit(2, vec![step(1)]);
    harness.commit_all();
    assert_eq!(harness.starts().len(), 2);
}

/// A worker may list runs and ends with the largest numbers.
#[test]
fn answer_poll_extreme_figures() {
    let mut harness = Harness::new(Recovered::default(), &workers(2));
    let odd = harness.scheduler.worker_key("w1").expect("a worker");
    let largest = StepKey {
        job: JobId::new(u64::MAX),
        round: u32::MAX,
        step: u32::MAX,
    };
    let task: TaskKey = largest.task(u32::MAX);
    let sent_at = harness.now;
    harness.now = harness.now + Duration::from_ms(20);
    harness.handle(Event::HoldAnswered {
        worker: odd,
        sent_at,
        reply: HoldReply::Listed {
            incarnation: None,
            clock_ms: u64::MAX,
            running: vec![RunningRun {
                task,
                run: u32::MAX,
                checkpoint: None,
                progress_percent: u32::MAX,
                usage_figure: u32::MAX,
            }],
            ended: vec![end(u64::MAX, task, u32::MAX, EndKind::Failed)],
        },
    });
    harness.submit(1, vec![step(2)]);
    harness.commit_all();
    assert_eq!(harness.starts().len(), 2);
}
