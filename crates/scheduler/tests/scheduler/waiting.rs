//! Why steps wait: each reason is told, once it has lasted.

use crate::support::bench::{workers, Bench};
use crate::support::{advice, configuration_with, customer, job_of, step};
use ospreywing_scheduler::{
    Action, Decision, DecisionKind, Event, Recovered, StepSpec, WaitReason,
};
use ospreywing_types::Duration;
use rstest::rstest;

/// As long as a wait lasts before it is told, and a little more.
const LONG: Duration = Duration::from_ms(3100);
/// The time between two cycles of these tests.
const PACE: Duration = Duration::from_ms(100);

fn gang(tasks_count: u32) -> StepSpec {
    StepSpec {
        is_gang: true,
        ..step(tasks_count)
    }
}

/// Lets time pass in which nothing is answered; returns the lines on waits.
fn wait_for(bench: &mut Bench, length: Duration) -> Vec<Decision> {
    let until = bench.now + length;
    let mut lines = Vec::new();
    while bench.now < until {
        bench.now = bench.now + PACE;
        bench.tell(Event::Tick);
        for action in core::mem::take(&mut bench.actions) {
            match action {
                Action::Log(line) if line.kind == DecisionKind::StepWaits => lines.push(line),
                other => bench.actions.push(other),
            }
        }
    }
    lines
}

fn told(lines: &[Decision]) -> Vec<&str> {
    lines.iter().map(|line| line.reason).collect()
}

#[test]
fn step_waits_for_room() {
    let mut bench = Bench::new(Recovered::default(), &workers(1));
    // Two fit.
    bench.submit(1, vec![step(3)]);
    bench.commit_all();
    let lines = wait_for(&mut bench, LONG);
    assert_eq!(told(&lines), [WaitReason::Capacity.as_str()]);
    assert!(lines[0].figure >= 3000, "since when it waits");
    let status = bench.scheduler.status(bench.now);
    let room = status.waits[WaitReason::Capacity as usize];
    assert_eq!(room.steps_count, 1);
    assert!(room.oldest_wait >= Duration::from_ms(3000));
}

#[test]
fn step_waits_for_advice() {
    let mut bench = Bench::with_advice(Recovered::default(), &workers(2), Some(advice()));
    bench.tell(Event::NodesListed(vec!["n1".into()]));
    bench.submit(1, vec![step(1)]);
    let lines = wait_for(&mut bench, LONG);
    assert_eq!(told(&lines), [WaitReason::Advice.as_str()]);
}

#[rstest]
#[case::tasks(step(3))]
#[case::gang(gang(3))]
fn step_waits_for_limit(#[case] spec: StepSpec) {
    let mut bench = Bench::new(Recovered::default(), &workers(4));
    let customers = vec![customer("one", 2, 100.0)];
    bench.tell(Event::Configured(configuration_with(2, None, customers)));
    bench.submit_job(job_of("one", 1, vec![spec]));
    bench.commit_all();
    let lines = wait_for(&mut bench, LONG);
    assert_eq!(told(&lines), [WaitReason::Limit.as_str()]);
}

/// Told again each ten seconds, and no more once it has started.
#[test]
fn step_waits_told_again() {
    let mut bench = Bench::new(Recovered::default(), &workers(1));
    bench.submit(1, vec![step(3)]);
    bench.commit_all();
    let lines = wait_for(&mut bench, Duration::from_s(14));
    assert_eq!(lines.len(), 2);
    bench.list_workers(&workers(2));
    let key = bench.scheduler.worker_key("w1").expect("a worker");
    bench.list(key, Vec::new());
    bench.commit_all();
    bench.actions.clear();
    let lines = wait_for(&mut bench, Duration::from_s(14));
    assert_eq!(told(&lines), [] as [&str; 0]);
    let status = bench.scheduler.status(bench.now);
    assert!(status.waits.iter().all(|wait| wait.steps_count == 0));
}
