//! Repeats of calls to workers that were not answered.

use crate::support::harness::{end, workers, Harness};
use crate::support::step;
use ospreywing_scheduler::{
    Action, EndKind, Event, HoldReply, JobId, Phase, Recovered, RefusedStart, StartReply, StepSpec,
    TaskKey, WorkerKey,
};
use rstest::rstest;

/// A start that was sent: worker, task and run.
type Start = (WorkerKey, TaskKey, u32);

/// Returns a harness that has sent one start, and the start.
fn after_start() -> (Harness, Start) {
    let mut harness = Harness::new(Recovered::default(), &workers(2));
    harness.submit(1, vec![step(1)]);
    harness.commit_all();
    let start = harness.starts()[0];
    (harness, start)
}

fn answer(harness: &mut Harness, (worker, task, run): Start, reply: StartReply) {
    harness.handle(Event::StartAnswered {
        worker,
        task,
        run,
        reply,
    });
}

/// Every start whose answer was lost was once stopped and its task started again, though the
/// worker was running it.
#[test]
fn on_start_answered_unanswered_sent_again() {
    let (mut harness, start) = after_start();
    answer(&mut harness, start, StartReply::Unanswered);
    assert_eq!(
        harness.starts(),
        vec![start],
        "the same run, to the same worker"
    );
    assert_eq!(harness.stops(), vec![]);
}

#[test]
fn on_start_answered_unanswered_thrice_stopped() {
    let (mut harness, start) = after_start();
    for _ in 0..2 {
        answer(&mut harness, start, StartReply::Unanswered);
        assert_eq!(harness.starts(), vec![start]);
    }
    answer(&mut harness, start, StartReply::Unanswered);
    assert_eq!(harness.starts(), vec![]);
    assert_eq!(harness.stops(), vec![start]);
}

/// A short run may have ended before the repeat of its start arrived.
#[test]
fn on_start_answered_repeat_refused_as_old() {
    let (mut harness, start) = after_start();
    answer(&mut harness, start, StartReply::Unanswered);
    assert_eq!(harness.starts(), vec![start]);
    answer(&mut harness, start, StartReply::Refused(RefusedStart::Old));
    harness.commit_all();
    assert_eq!(
        harness.starts(),
        vec![],
        "the worker's answer to a poll decides"
    );
    let (worker, task, run) = start;
    harness.answer_poll(worker, vec![end(1, task, run, EndKind::Done)]);
    harness.commit_all();
    let view = harness.scheduler.job(JobId::new(1)).expect("a known job");
    assert_eq!(view.phase, Phase::Complete);
}

/// The copy of the start that was not answered may still be carried out.
#[rstest]
#[case::no_capacity(RefusedStart::Room)]
#[case::unhealthy(RefusedStart::Unhealthy)]
#[case::not_sent(RefusedStart::NotSent)]
fn on_start_answered_repeat_refused_unconfirmed(#[case] why: RefusedStart) {
    let (mut harness, start) = after_start();
    answer(&mut harness, start, StartReply::Unanswered);
    assert_eq!(harness.starts(), vec![start]);
    answer(&mut harness, start, StartReply::Refused(why));
    harness.commit_all();
    let others = harness.starts();
    assert!(others.iter().all(|other| *other == start), "no other run");
}

/// A start is not sent if nothing listens at the worker's address or another incarnation does.
/// Until a poll names that incarnation, late copies of earlier starts can't be refused there, and
/// each further start on the worker would be lost too.
#[test]
fn on_start_answered_not_sent_polled_at_once() {
    let (mut harness, start) = after_start();
    harness.answer_poll(start.0, vec![]);
    harness.actions.clear();
    answer(
        &mut harness,
        start,
        StartReply::Refused(RefusedStart::NotSent),
    );
    harness.handle(Event::Tick);
    let is_poll =
        |action: &Action| matches!(action, Action::Hold { to, .. } if to.worker == start.0);
    assert!(harness.actions.iter().any(is_poll), "polled at once");
    let status = harness.scheduler.status(harness.now);
    assert_eq!(status.placeable_workers_count, 1, "only the other worker");
}

/// One lost answer once left the ends of a worker's runs unknown for two seconds.
#[test]
fn on_poll_answered_unanswered_polled_again_at_once() {
    let (mut harness, start) = after_start();
    harness.answer_started(start);
    harness.actions.clear();
    let sent_at = harness.now;
    harness.handle(Event::HoldAnswered {
        worker: start.0,
        sent_at,
        reply: HoldReply::Unanswered,
    });
    let poll = harness.actions.iter().find_map(|action| match action {
        Action::Hold { to, until_ms, .. } if to.worker == start.0 => Some(*until_ms),
        _ => None,
    });
    assert_eq!(poll, Some(None), "polled at once, without a lease renewal");
}

#[test]
fn on_poll_answered_one_unanswered_keeps_worker() {
    let mut harness = Harness::new(Recovered::default(), &workers(1));
    let worker = harness.scheduler.worker_key("w0").expect("a listed worker");
    for (expected_count, reply_count) in [(1, 1), (0, 2)] {
        let sent_at = harness.now;
        harness.handle(Event::HoldAnswered {
            worker,
            sent_at,
            reply: HoldReply::Unanswered,
        });
        let status = harness.scheduler.status(harness.now);
        assert_eq!(
            status.placeable_workers_count, expected_count,
            "after {reply_count} unanswered polls"
        );
    }
}

/// If a poll were repeated with the same timeout, each answer would be too late where this node
/// or a link is slow.
#[test]
fn on_poll_answered_unresponsive_worker_longer_timeout() {
    let (mut harness, start) = after_start();
    harness.answer_started(start);
    let mut timeouts_ms = Vec::new();
    for _ in 0..4 {
        harness.actions.clear();
        let sent_at = harness.now;
        harness.handle(Event::HoldAnswered {
            worker: start.0,
            sent_at,
            reply: HoldReply::Unanswered,
        });
        harness.commit_all();
        let poll = harness.actions.iter().find_map(|action| match action {
            Action::Hold { to, patience, .. } if to.worker == start.0 => Some(patience.as_ms()),
            _ => None,
        });
        timeouts_ms.push(poll.expect("it is polled again"));
    }
    assert_eq!(timeouts_ms, [250, 500, 1000, 1000]);
}

/// When no start is answered, for example because this node or its link is overloaded, repeats
/// must not add to the load: they are limited to a fifth of what is sent, and to a hundred at once.
#[test]
fn repeat_start_budget_used_up() {
    const STARTS_COUNT: usize = 160;
    let mut harness = Harness::new(Recovered::default(), &workers(STARTS_COUNT / 2));
    harness.submit(1, vec![step(STARTS_COUNT as u32)]);
    harness.commit_all();
    let mut open = harness.starts();
    assert_eq!(open.len(), STARTS_COUNT);
    let mut repeats_count = 0;
    while !open.is_empty() {
        for start in open {
            answer(&mut harness, start, StartReply::Unanswered);
        }
        open = harness.starts();
        repeats_count += open.len();
    }
    assert_eq!(
        repeats_count, 100,
        "the whole budget is used, and none is earned"
    );
    assert_eq!(
        harness.stops().len(),
        STARTS_COUNT,
        "the starts are stopped once the budget is used up"
    );
}

/// A gang on an unresponsive worker was released and started again elsewhere. Then the worker
/// answered and listed the first run as done. The second run once kept running, and
/// an unanswered start of it was sent again after the end had been acknowledged (search for
/// gangs on few suitable workers with all faults, seed 502288).
#[test]
fn handle_end_gang_done_in_earlier_run() {
    let gang = StepSpec {
        is_gang: true,
        ..step(2)
    };
    let mut harness = Harness::new(Recovered::default(), &workers(2));
    harness.submit(1, vec![gang]);
    harness.commit_all();
    let first = harness.starts();
    for start in &first {
        harness.answer_started(*start);
    }
    for _ in 0..8 {
        harness.leave_poll_unanswered(first[0].0);
    }
    harness.commit_all();
    let second = harness.starts();
    assert_eq!(second.len(), 2, "the gang is started again elsewhere");
    harness.answer_started(second[0]);
    let done = |number: u64, start: &Start| end(number, start.1, start.2, EndKind::Done);
    let ends = vec![done(1, &first[0]), done(2, &first[1])];
    harness.answer_poll(first[0].0, ends);
    answer(&mut harness, second[1], StartReply::Unanswered);
    assert_eq!(harness.starts(), vec![], "its task is done");
    assert_eq!(
        harness.stops(),
        second,
        "the second run is stopped, as its task is done"
    );
}
