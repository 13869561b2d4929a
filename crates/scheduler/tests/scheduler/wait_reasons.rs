//! The reasons for which steps wait: each is logged once it has lasted.

use crate::support::harness::{workers, Harness};
use crate::support::{advice, configuration_with, customer, job_of, step};
use ospreywing_scheduler::{
    Action, Decision, DecisionKind, Event, Recovered, StepSpec, WaitReason,
};
use ospreywing_types::Duration;
use rstest::rstest;

/// A little longer than a wait lasts before it is logged.
const LOGGED_AFTER: Duration = Duration::from_ms(3100);
/// The time between two cycles in these tests.
const CYCLE: Duration = Duration::from_ms(100);

fn gang(tasks_count: u32) -> StepSpec {
    StepSpec {
        is_gang: true,
        ..step(tasks_count)
    }
}

/// Advances the time without any answer; returns the logged decisions on waits.
fn logged_waits_during(harness: &mut Harness, duration: Duration) -> Vec<Decision> {
    let until = harness.now + duration;
    let mut lines = Vec::new();
    while harness.now < until {
        harness.now = harness.now + CYCLE;
        harness.handle(Event::Tick);
        for action in core::mem::take(&mut harness.actions) {
            match action {
                Action::Log(line) if line.kind == DecisionKind::StepWaits => lines.push(line),
                other => harness.actions.push(other),
            }
        }
    }
    lines
}

fn reasons_of(lines: &[Decision]) -> Vec<&str> {
    lines.iter().map(|line| line.reason).collect()
}

#[test]
fn step_waits_for_capacity() {
    let mut harness = Harness::new(Recovered::default(), &workers(1));
    // Two of three tasks fit.
    harness.submit(1, vec![step(3)]);
    harness.commit_all();
    let lines = logged_waits_during(&mut harness, LOGGED_AFTER);
    assert_eq!(reasons_of(&lines), [WaitReason::Capacity.as_str()]);
    assert!(lines[0].figure >= 3000, "how long it has waited");
    let status = harness.scheduler.status(harness.now);
    let wait = status.waits[WaitReason::Capacity as usize];
    assert_eq!(wait.steps_count, 1);
    assert!(wait.oldest_wait >= Duration::from_ms(3000));
}

#[test]
fn step_waits_for_advice() {
    let mut harness = Harness::with_advice(Recovered::default(), &workers(2), Some(advice()));
    harness.handle(Event::NodesListed(vec!["n1".into()]));
    harness.submit(1, vec![step(1)]);
    let lines = logged_waits_during(&mut harness, LOGGED_AFTER);
    assert_eq!(reasons_of(&lines), [WaitReason::Advice.as_str()]);
}

#[rstest]
#[case::tasks(step(3))]
#[case::gang(gang(3))]
fn step_waits_for_limit(#[case] spec: StepSpec) {
    let mut harness = Harness::new(Recovered::default(), &workers(4));
    let customers = vec![customer("one", 2, 100.0)];
    harness.handle(Event::Configured(configuration_with(2, None, customers)));
    harness.submit_job(job_of("one", 1, vec![spec]));
    harness.commit_all();
    let lines = logged_waits_during(&mut harness, LOGGED_AFTER);
    assert_eq!(reasons_of(&lines), [WaitReason::Limit.as_str()]);
}

/// A wait is logged again every ten seconds, and no more once the step has started.
#[test]
fn step_waits_logged_again() {
    let mut harness = Harness::new(Recovered::default(), &workers(1));
    harness.submit(1, vec![step(3)]);
    harness.commit_all();
    let lines = logged_waits_during(&mut harness, Duration::from_s(14));
    assert_eq!(lines.len(), 2);
    harness.list_workers(&workers(2));
    let key = harness.scheduler.worker_key("w1").expect("a worker");
    harness.answer_poll(key, Vec::new());
    harness.commit_all();
    harness.actions.clear();
    let lines = logged_waits_during(&mut harness, Duration::from_s(14));
    assert_eq!(reasons_of(&lines), [] as [&str; 0]);
    let status = harness.scheduler.status(harness.now);
    assert!(status.waits.iter().all(|wait| wait.steps_count == 0));
}
