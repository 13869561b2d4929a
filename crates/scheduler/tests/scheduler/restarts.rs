//! Workers that start again under the same id.
//!
//! The failures: tasks that were done ran a second time half a second later, and other
//! jobs made no progress though most of the workers' capacity was free.
//!
//! The sequence of events: a worker without runs crashes and is back within a second under its
//! id. It is not polled meanwhile, since nothing runs there. A task starts there and is done;
//! its end gets number 1 of the new incarnation. The leader has seen some ends of the previous
//! incarnation, mistakes number 1 for one of those, and skips it. Its next poll acknowledges
//! the ends of the previous incarnation, so the worker discards them. If that covers number 1,
//! the task seems to have vanished and starts again. If the worker ignores the acknowledgement,
//! it lists the end in every answer, and the task counts as running until the worker's next
//! crash.
//!
//! The evidence: each such task had a run on a worker that had restarted 0.8 to 2.4 s before.
//! Tasks that made no progress resumed within two seconds of their worker's next crash, 12 to
//! 50 s later. No worker was ever considered lost.

use crate::support::harness::{end, workers, Harness};
use crate::support::simulation::{Faults, Simulation};
use crate::support::worker::FakeWorker;
use crate::support::{first_task, job, placed_at_incarnation, placed_state, step};
use ospreywing_scheduler::{
    Action, EndKind, EndedRun, Event, HoldReply, Incarnation, JobId, JobState, Phase, Recovered,
    RunningRun, StartReply, StepSpec, TaskKey, WorkerKey,
};
use ospreywing_types::{Duration, Resources};
use rstest::rstest;
use std::collections::BTreeMap;

/// Long enough for a job, and for a worker to restart.
const JOB_MS: u64 = 4_000;
const OUTCOME_LIMIT_MS: u64 = 20_000;
/// Longer than a leader waits for the answer to a stop.
const STOP_RETRY: Duration = Duration::from_ms(1_000);
/// At least the interval between polls that are not held.
const POLL_INTERVAL: Duration = Duration::from_ms(100);
/// The longest period between stops to a worker that leaves polls unanswered.
const EARLY_STOP_PERIOD: Duration = Duration::from_ms(50);
/// At least the time after which no order is carried out any more.
const LATE_LIMIT: Duration = Duration::from_ms(16_000);

/// Returns a simulation of workers that report their incarnations, in which some jobs have run.
fn simulation_at_work(seed: u64, workers_count: usize) -> Simulation {
    let mut simulation = Simulation::new(seed, workers_count, Faults::default(), None);
    simulation.report_incarnation_starts(false);
    for number in 1..=3 {
        simulation.submit(job(number, vec![step(2 * workers_count as u32)]));
        simulation.run_for(JOB_MS);
    }
    simulation
}

fn gang(tasks_count: u32) -> StepSpec {
    StepSpec {
        is_gang: true,
        ..step(tasks_count)
    }
}

/// The end is forgotten unseen, and the task is started twice, which breaks the simulation's
/// rules.
#[rstest]
#[case::tasks(step(2))]
#[case::gang(gang(2))]
fn handle_end_next_incarnation_forgets_ends(#[case] spec: StepSpec, #[values(1, 2, 3)] seed: u64) {
    let mut simulation = simulation_at_work(seed, 1);
    simulation.restart(0);
    simulation.run_for(JOB_MS);
    simulation.submit(job(9, vec![spec]));
    simulation.run_until_done(OUTCOME_LIMIT_MS);
    assert_eq!(simulation.phase(JobId::new(9)), Some(Phase::Complete));
}

/// The end is listed but skipped, and the job never gets its outcome.
#[rstest]
#[case::tasks(step(2))]
#[case::gang(gang(2))]
fn handle_end_next_incarnation_keeps_listing_ends(
    #[case] spec: StepSpec,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut simulation = simulation_at_work(seed, 1);
    simulation.workers[0].ignores_foreign_acks = true;
    simulation.restart(0);
    simulation.run_for(JOB_MS);
    simulation.submit(job(9, vec![spec]));
    simulation.run_until_done(OUTCOME_LIMIT_MS);
    assert_eq!(simulation.phase(JobId::new(9)), Some(Phase::Complete));
}

/// Answers a poll as the incarnation that started at this time, without runs.
fn answer_poll_as(harness: &mut Harness, key: WorkerKey, life_start_ms: u64, ended: Vec<EndedRun>) {
    let sent_at = harness.now;
    harness.now = harness.now + Duration::from_ms(20);
    let reply = HoldReply::Listed {
        incarnation: Some(Incarnation::from_ms(life_start_ms)),
        clock_ms: harness.now.as_ms(),
        running: Vec::new(),
        ended,
    };
    harness.handle(Event::HoldAnswered {
        worker: key,
        sent_at,
        reply,
    });
}

/// Returns a harness whose only worker, in its first incarnation, has been sent a start.
fn harness_with_start() -> (Harness, (WorkerKey, TaskKey, u32)) {
    let workers = workers(1);
    let mut harness = Harness::new(Recovered::default(), &workers);
    let first = harness.scheduler.worker_key("w0").expect("a worker");
    answer_poll_as(&mut harness, first, 1, Vec::new());
    harness.submit(1, vec![step(1)]);
    harness.commit_all();
    let start = harness.starts()[0];
    (harness, start)
}

/// An unanswered start may be carried out after its run was released. The incarnation that
/// received the stop refuses it; the next incarnation needs a stop of its own.
#[test]
fn begin_next_incarnation_refuses_open_start() {
    let (mut harness, (first, task, run)) = harness_with_start();
    // Each repeat is lost too.
    for _ in 0..3 {
        harness.handle(Event::StartAnswered {
            worker: first,
            task,
            run,
            reply: StartReply::Unanswered,
        });
    }
    assert_eq!(harness.stops(), [(first, task, run)]);
    harness.cancel(1);
    answer_poll_as(&mut harness, first, 1, Vec::new());
    harness.actions.clear();
    answer_poll_as(&mut harness, first, 2, Vec::new());
    let next = harness.scheduler.worker_key("w0").expect("a worker");
    assert_ne!(next, first);
    assert_eq!(harness.stops(), [(next, task, run)]);
}

/// The stop that makes the next incarnation refuse an unanswered start is repeated until it is
/// answered. Otherwise the start may be carried out there after its run has ended.
#[test]
fn begin_next_incarnation_refuses_open_start_until_answered() {
    let (mut harness, start) = harness_with_start();
    let (first, task, run) = start;
    answer_repeated_start(&mut harness, start);
    // The run ends as done.
    answer_poll_as(
        &mut harness,
        first,
        1,
        vec![end(1, task, run, EndKind::Done)],
    );
    harness.commit_all();
    harness.actions.clear();
    answer_poll_as(&mut harness, first, 2, Vec::new());
    let next = harness.scheduler.worker_key("w0").expect("a worker");
    assert_eq!(drain_stops(&mut harness), [(next, task, run)]);
    harness.now = harness.now + STOP_RETRY;
    harness.handle(Event::Tick);
    assert_eq!(
        harness.stops(),
        [(next, task, run)],
        "the stop is repeated, and answered this time"
    );
    // A worker that leaves polls unanswered would be sent stops, since it may be restarting.
    answer_poll_as(&mut harness, next, 2, Vec::new());
    harness.now = harness.now + STOP_RETRY;
    harness.handle(Event::Tick);
    assert!(
        harness.stops().is_empty(),
        "the stop is repeated after its answer"
    );
}

/// Leaves a start unanswered, and answers its repeat.
fn answer_repeated_start(harness: &mut Harness, start: (WorkerKey, TaskKey, u32)) {
    let (worker, task, run) = start;
    harness.handle(Event::StartAnswered {
        worker,
        task,
        run,
        reply: StartReply::Unanswered,
    });
    harness.answer_started(start);
}

/// Returns a harness whose only worker has ended a run, of which an earlier copy of the start was
/// never answered.
fn harness_with_open_start() -> (Harness, (WorkerKey, TaskKey, u32)) {
    let (mut harness, start) = harness_with_start();
    let (worker, task, run) = start;
    answer_repeated_start(&mut harness, start);
    let ended = vec![end(1, task, run, EndKind::Done)];
    answer_poll_as(&mut harness, worker, 1, ended);
    harness.commit_all();
    // The poll that acknowledges the end.
    answer_poll_as(&mut harness, worker, 1, Vec::new());
    harness.actions.clear();
    (harness, start)
}

fn tick_after(harness: &mut Harness, duration: Duration) {
    harness.now = harness.now + duration;
    harness.handle(Event::Tick);
}

/// A worker without runs was not polled, so its next incarnation went unnoticed until its entry
/// changed, and carried out an unanswered start meanwhile.
#[test]
fn poll_idle_worker_with_unanswered_start() {
    let (mut harness, (worker, ..)) = harness_with_open_start();
    for _ in 0..3 {
        tick_after(&mut harness, POLL_INTERVAL);
        let polled = core::mem::take(&mut harness.actions);
        let polled = polled.iter().any(|action| {
            matches!(action, Action::Hold { to, wait, .. }
                if to.worker == worker && *wait == Duration::ZERO)
        });
        assert!(polled, "polled at {} ms", harness.now.as_ms());
        answer_poll_as(&mut harness, worker, 1, Vec::new());
    }
    // After this time no order is carried out any more.
    tick_after(&mut harness, LATE_LIMIT);
    harness.actions.clear();
    answer_poll_as(&mut harness, worker, 1, Vec::new());
    tick_after(&mut harness, POLL_INTERVAL);
    let is_poll = |action: &Action| matches!(action, Action::Hold { .. });
    assert!(!harness.actions.iter().any(is_poll), "polled for ever");
}

/// The next incarnation carried out an unanswered start before the leader had heard of it. While
/// a worker does not answer, stops of such starts go out at short intervals, so that one of them
/// arrives there first.
#[test]
fn stop_open_starts_poll_overdue() {
    let (mut harness, start) = harness_with_open_start();
    tick_after(&mut harness, POLL_INTERVAL);
    assert!(drain_stops(&mut harness).is_empty(), "it may still answer");
    for _ in 0..10 {
        tick_after(&mut harness, EARLY_STOP_PERIOD);
        assert_eq!(drain_stops(&mut harness), [start]);
    }
    tick_after(&mut harness, LATE_LIMIT);
    assert!(drain_stops(&mut harness).is_empty(), "stopped for ever");
}

/// A run that may be alive must not be stopped only because its worker does not answer.
#[test]
fn stop_open_starts_run_alive() {
    let (mut harness, start) = harness_with_start();
    answer_repeated_start(&mut harness, start);
    harness.actions.clear();
    for _ in 0..10 {
        tick_after(&mut harness, EARLY_STOP_PERIOD);
        assert!(drain_stops(&mut harness).is_empty());
    }
}

/// Drains the stops that were sent without answering them.
fn drain_stops(harness: &mut Harness) -> Vec<(WorkerKey, TaskKey, u32)> {
    let actions = core::mem::take(&mut harness.actions);
    let stops = actions.into_iter().filter_map(|action| match action {
        Action::Stop { to, task, run } => Some((to.worker, task, run)),
        _ => None,
    });
    stops.collect()
}

/// An incarnation's ends do not count as seen because an earlier incarnation listed as many,
/// and the earlier one's ends are not acknowledged to it.
#[test]
fn begin_next_incarnation_acknowledges_no_earlier_ends() {
    let workers = workers(1);
    let mut harness = Harness::new(Recovered::default(), &workers);
    let first = harness.scheduler.worker_key("w0").expect("a worker");
    answer_poll_as(
        &mut harness,
        first,
        1,
        vec![end(7, unrelated_task(), 1, EndKind::Done)],
    );
    answer_poll_as(&mut harness, first, 2, Vec::new());
    let next = harness.scheduler.worker_key("w0").expect("a worker");
    harness.list_incarnation(&workers[0], 2);
    harness.submit(1, vec![step(1)]);
    harness.commit_all();
    let start = harness.starts()[0];
    assert_eq!(start.0, next);
    harness.answer_started(start);
    answer_poll_as(
        &mut harness,
        next,
        2,
        vec![end(1, start.1, 1, EndKind::Done)],
    );
    harness.commit_all();
    let phase = harness.scheduler.job(JobId::new(1)).map(|job| job.phase);
    assert_eq!(phase, Some(Phase::Complete));
    let acknowledged = harness.actions.iter().filter_map(|action| match action {
        Action::Hold { to, last_seen, .. } if to.worker == next => Some(*last_seen),
        _ => None,
    });
    assert!(
        acknowledged.max() <= Some(1),
        "an end of the previous incarnation is acknowledged"
    );
}

/// An entry that names another incarnation stops placing on the worker until the worker itself
/// has answered: its capacity may differ, and the entry may be of an earlier incarnation.
#[rstest]
#[case::entry_is_newer(2)]
#[case::entry_is_stale(1)]
fn handle_entry_of_other_incarnation(#[case] answering_start_ms: u64) {
    let workers = workers(1);
    let mut harness = Harness::new(Recovered::default(), &workers);
    let first = harness.scheduler.worker_key("w0").expect("a worker");
    answer_poll_as(&mut harness, first, 1, Vec::new());
    harness.list_incarnation(&workers[0], 2);
    harness.submit(1, vec![step(1)]);
    harness.commit_all();
    assert_eq!(
        harness.starts(),
        [],
        "nothing starts there before it has answered"
    );
    let is_poll = |action: &Action| matches!(action, Action::Hold { to, .. } if to.worker == first);
    assert!(harness.actions.iter().any(is_poll), "it is polled at once");
    answer_poll_as(&mut harness, first, answering_start_ms, Vec::new());
    harness.commit_all();
    let is_used = !harness.starts().is_empty();
    assert_eq!(is_used, answering_start_ms == 2);
    // The incarnation that answers updates its entry at some time.
    harness.list_incarnation(&workers[0], answering_start_ms);
    harness.commit_all();
    let key = harness.scheduler.worker_key("w0").expect("a worker");
    answer_poll_as(&mut harness, key, answering_start_ms, Vec::new());
    harness.commit_all();
    assert!(is_used || !harness.starts().is_empty());
}

/// Returns a new leader that has polled no worker, and whose worker's entry names the
/// incarnation that started at this time.
fn harness_with_entry(worker: &FakeWorker, life_start_ms: u64) -> Harness {
    let mut harness = Harness::after_evicted_leader(Recovered::default());
    harness.list_incarnation(worker, life_start_ms);
    harness
}

/// Commits and places what is waiting; returns how many starts were sent.
fn commit_and_count_starts(harness: &mut Harness) -> usize {
    harness.commit_all();
    harness.starts().len()
}

/// An incarnation's capacity is known only from its own entry: another incarnation's may be
/// larger.
#[rstest]
#[case::first_answer(&[2])]
#[case::later_answer(&[1, 2])]
fn begin_incarnation_entry_not_written_yet(#[case] answering_start_ms: &[u64]) {
    let worker = &workers(1)[0];
    let mut harness = harness_with_entry(worker, 1);
    for life_start_ms in answering_start_ms {
        let key = harness.scheduler.worker_key("w0").expect("a worker");
        answer_poll_as(&mut harness, key, *life_start_ms, Vec::new());
    }
    harness.submit(1, vec![step(1)]);
    assert_eq!(commit_and_count_starts(&mut harness), 0);
    harness.list_incarnation(worker, 2);
    assert_eq!(commit_and_count_starts(&mut harness), 1);
}

/// A start whose lease was computed on the previous incarnation's clock may have leased the
/// next one for the longest time that a worker accepts, longer than the leader grants.
#[test]
fn release_expired_runs_lease_by_clock_of_previous_incarnation() {
    let mut harness = Harness::new(Recovered::default(), &workers(1));
    let first = harness.scheduler.worker_key("w0").expect("a worker");
    answer_poll_as(&mut harness, first, 1, Vec::new());
    harness.submit(1, vec![step(1)]);
    harness.commit_all();
    let start = harness.starts()[0];
    harness.answer_started(start);
    let (_, task, run) = start;
    let sent_at = harness.now;
    harness.now = harness.now + Duration::from_ms(20);
    harness.handle(Event::HoldAnswered {
        worker: first,
        sent_at,
        reply: HoldReply::Listed {
            incarnation: Some(Incarnation::from_ms(2)),
            clock_ms: 0,
            running: vec![RunningRun {
                task,
                run,
                checkpoint: None,
                progress_percent: 0,
                usage_figure: 0,
            }],
            ended: Vec::new(),
        },
    });
    let next = harness.scheduler.worker_key("w0").expect("a worker");
    harness.list_workers(&workers(2));
    let other = harness.scheduler.worker_key("w1").expect("a worker");
    harness.answer_poll(other, Vec::new());
    let mut waited_s = 0;
    while commit_and_count_starts(&mut harness) == 0 {
        harness.leave_poll_unanswered(next);
        waited_s += 1;
        assert!(waited_s < 12, "the run is never released");
    }
    // Each round of unanswered polls and commits takes 1.6 s.
    assert!(waited_s >= 4, "released after {waited_s} rounds");
}

/// The state of a start when another incarnation answers.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StartState {
    /// It is in flight.
    InFlight,
    /// It was answered after the poll was sent.
    AnsweredAfterPoll,
    /// It was answered before the poll, and the worker has not listed its run since.
    Answered,
    /// Its first copy was not answered, its second one was.
    AnsweredOnRepeat,
    /// None of its copies was answered, so it is being stopped.
    Unanswered,
}

/// A run that an incarnation does not list in its first answer may have begun there, may still
/// begin, or is lost. Accordingly the leader waits, stops it there, or starts the task again at
/// once.
#[rstest]
#[case::in_flight(StartState::InFlight, 0, 0)]
#[case::answered_after_poll(StartState::AnsweredAfterPoll, 0, 0)]
#[case::answered(StartState::Answered, 0, 1)]
#[case::answered_on_repeat(StartState::AnsweredOnRepeat, 1, 0)]
#[case::unanswered(StartState::Unanswered, 1, 0)]
fn begin_next_incarnation_unlisted_run(
    #[case] before: StartState,
    #[case] stops_count: usize,
    #[case] starts_count: usize,
) {
    let worker = &workers(1)[0];
    let mut harness = harness_with_entry(worker, 1);
    let first = harness.scheduler.worker_key("w0").expect("a worker");
    answer_poll_as(&mut harness, first, 1, Vec::new());
    harness.submit(1, vec![step(1)]);
    harness.commit_all();
    let start = harness.starts()[0];
    let unanswered = |harness: &mut Harness| {
        harness.handle(Event::StartAnswered {
            worker: start.0,
            task: start.1,
            run: start.2,
            reply: StartReply::Unanswered,
        });
    };
    let poll_sent_at = harness.now;
    harness.now = harness.now + Duration::from_ms(20);
    match before {
        StartState::InFlight => {}
        StartState::AnsweredAfterPoll | StartState::Answered => harness.answer_started(start),
        StartState::AnsweredOnRepeat => {
            unanswered(&mut harness);
            harness.answer_started(start);
        }
        StartState::Unanswered => (0..3).for_each(|_| unanswered(&mut harness)),
    }
    harness.now = harness.now + Duration::from_ms(20);
    let sent_at = match before {
        StartState::AnsweredAfterPoll => poll_sent_at,
        _ => harness.now,
    };
    harness.list_incarnation(worker, 2);
    harness.actions.clear();
    harness.handle(Event::HoldAnswered {
        worker: first,
        sent_at,
        reply: HoldReply::Listed {
            incarnation: Some(Incarnation::from_ms(2)),
            clock_ms: 0,
            running: Vec::new(),
            ended: Vec::new(),
        },
    });
    let next = harness.scheduler.worker_key("w0").expect("a worker");
    let stops = harness.stops();
    assert_eq!(stops.len(), stops_count);
    assert!(stops.iter().all(|stop| *stop == (next, start.1, start.2)));
    harness.commit_all();
    assert_eq!(harness.starts().len(), starts_count);
    if before == StartState::InFlight {
        // The answer counts for the incarnation that may have the run: not listed from then on,
        // the run is lost.
        harness.answer_started(start);
        harness.now = harness.now + Duration::from_ms(20);
        answer_poll_as(&mut harness, next, 2, Vec::new());
        assert_eq!(harness.stops(), [(next, start.1, start.2)]);
    }
}

/// The answer to a poll that was sent before another incarnation was listed at the worker's
/// address says nothing about the time since.
#[test]
fn incarnation_unconfirmed_after_answer_of_earlier_poll() {
    let known = FakeWorker::new("w0", 1000);
    let mut other = FakeWorker::new("w1", 1000);
    other.address = known.address.clone();
    let mut harness = Harness::new(Recovered::default(), &[known]);
    let key = harness.scheduler.worker_key("w0").expect("a worker");
    let sent_at = harness.now;
    harness.now = harness.now + Duration::from_ms(20);
    harness.list_workers(&[FakeWorker::new("w0", 1000), other]);
    harness.submit(1, vec![step(1)]);
    harness.handle(Event::HoldAnswered {
        worker: key,
        sent_at,
        reply: HoldReply::Listed {
            incarnation: None,
            clock_ms: harness.now.as_ms(),
            running: Vec::new(),
            ended: Vec::new(),
        },
    });
    assert_eq!(commit_and_count_starts(&mut harness), 0);
    harness.answer_poll(key, Vec::new());
    assert_eq!(commit_and_count_starts(&mut harness), 1);
}

fn unrelated_task() -> TaskKey {
    first_task(JobId::new(99))
}

/// A placement is recorded with the incarnation that it was meant for. A new leader that has
/// polled only a later incarnation still records that the worker crashed under the task.
#[rstest]
#[case::same_incarnation(1, 0)]
#[case::next_incarnation(2, 1)]
fn record_lost_incarnations_after_takeover(
    #[case] answering_start_ms: u64,
    #[case] crashes_count: usize,
) {
    let (id, record) = job(1, vec![step(1)]);
    let bytes = placed_at_incarnation("w0", 1, 1).to_bytes();
    let state = JobState::from_bytes(&bytes).expect("a state that was encoded here");
    let recovered = Recovered {
        jobs: vec![(id, record)],
        states: vec![(id, state)],
        ..Recovered::default()
    };
    let workers = workers(1);
    let mut harness = Harness::after_evicted_leader(recovered);
    harness.list_incarnation(&workers[0], answering_start_ms);
    let key = harness.scheduler.worker_key("w0").expect("a worker");
    answer_poll_as(&mut harness, key, answering_start_ms, Vec::new());
    let states = harness.commit_all();
    let state = states.last().expect("the task is placed again");
    assert_eq!(state.crashes.len(), crashes_count);
}

/// A crash under the runs of an unresponsive worker is recorded as unconfirmed until it
/// answers. The same incarnation was only partitioned; another one confirms the crash.
#[rstest]
#[case::same_incarnation(1, &[])]
#[case::next_incarnation(2, &[true])]
fn retract_unresponsive_after_takeover(
    #[case] answering_start_ms: u64,
    #[case] confirmed: &[bool],
) {
    let (id, record) = job(1, vec![step(1)]);
    let recovered = Recovered {
        jobs: vec![(id, record)],
        states: vec![(id, placed_at_incarnation("w0", 1, 1))],
        ..Recovered::default()
    };
    let workers = workers(1);
    let mut harness = Harness::after_evicted_leader(recovered);
    harness.list_incarnation(&workers[0], answering_start_ms);
    let key = harness.scheduler.worker_key("w0").expect("a worker");
    // Until every lease that an earlier leader may have granted has expired.
    for _ in 0..10 {
        harness.leave_poll_unanswered(key);
    }
    harness.commit_all();
    answer_poll_as(&mut harness, key, answering_start_ms, Vec::new());
    let states = harness.commit_all();
    let state = states.last().expect("the task is placed again");
    let found = state.crashes.iter().map(|crash| crash.is_confirmed);
    assert_eq!(found.collect::<Vec<bool>>(), confirmed);
}

/// If workers report no incarnations, progress is stored in the format that nodes of the
/// previous version read.
#[rstest]
#[case::no_start(placed_state("w0", 1), 1)]
#[case::start(placed_at_incarnation("w0", 7, 1), 6)]
fn job_state_stored_format(#[case] state: JobState, #[case] format: u8) {
    let bytes = state.to_bytes();
    assert_eq!(bytes.first(), Some(&format));
    assert_eq!(JobState::from_bytes(&bytes), Ok(state));
}

/// Returns a harness with idle workers, each of which has this many unanswered starts whose runs
/// were released; they may still be carried out.
fn harness_with_open_starts(workers_count: usize, starts_per_worker: u32) -> Harness {
    let workers = workers(workers_count);
    let mut harness = Harness::new(Recovered::default(), &workers);
    let keys = keys_of(&harness, &workers);
    for key in &keys {
        answer_poll_as(&mut harness, *key, 1, Vec::new());
    }
    // After this time no start of an earlier leader is carried out.
    tick_after(&mut harness, LATE_LIMIT);
    let share = 4000 / starts_per_worker;
    let tasks = StepSpec {
        demand: Resources::new(share, share, 0),
        ..step(workers_count as u32 * starts_per_worker)
    };
    harness.submit(1, vec![tasks]);
    harness.commit_all();
    loop {
        let starts = harness.starts();
        if starts.is_empty() {
            break;
        }
        for (worker, task, run) in starts {
            harness.handle(Event::StartAnswered {
                worker,
                task,
                run,
                reply: StartReply::Unanswered,
            });
        }
    }
    harness.cancel(1);
    harness.stops();
    // A poll that is sent after the stops.
    harness.now = harness.now + Duration::from_ms(20);
    for key in keys {
        answer_poll_as(&mut harness, key, 1, Vec::new());
    }
    harness.commit_all();
    harness.stops();
    assert_eq!(harness.scheduler.status(harness.now).runs_count, 0);
    harness.actions.clear();
    harness
}

fn keys_of(harness: &Harness, workers: &[FakeWorker]) -> Vec<WorkerKey> {
    let keys = workers
        .iter()
        .map(|it| harness.scheduler.worker_key(&it.id));
    keys.map(|key| key.expect("a listed worker")).collect()
}

/// Callers see tasks that ended well run again on workers late in the scheduler's order: the
/// budget of early stops goes to the first workers again and again, and the others get none.
#[test]
fn send_early_stops_budget_reaches_all_workers() {
    const WORKERS_COUNT: usize = 12;
    let mut harness = harness_with_open_starts(WORKERS_COUNT, 60);
    let keys = keys_of(&harness, &workers(WORKERS_COUNT));
    for key in &keys {
        harness.handle(Event::HoldAnswered {
            worker: *key,
            sent_at: harness.now,
            reply: HoldReply::Unanswered,
        });
    }
    let mut counts: BTreeMap<WorkerKey, usize> = keys.iter().map(|key| (*key, 0)).collect();
    for _ in 0..100 {
        harness.now = harness.now + Duration::from_ms(20);
        harness.handle(Event::Tick);
        for (worker, ..) in drain_stops(&mut harness) {
            *counts.entry(worker).or_default() += 1;
        }
    }
    let counts: Vec<usize> = counts.into_values().collect();
    assert!(counts.iter().all(|count| *count > 0), "{counts:?}");
}

/// The limit on closely watched workers holds for idle ones too: otherwise the polls take the
/// leader's time after a fault that leaves many starts unanswered, and callers wait.
#[test]
fn send_due_polls_idle_workers_with_open_starts_limited() {
    const POLLS_LIMIT_COUNT: usize = 500;
    let mut harness = harness_with_open_starts(100, 1);
    for key in keys_of(&harness, &workers(100)) {
        answer_poll_as(&mut harness, key, 1, Vec::new());
    }
    let mut polls_count = 0;
    for _ in 0..100 {
        harness.now = harness.now + Duration::from_ms(10);
        harness.handle(Event::Tick);
        let actions = core::mem::take(&mut harness.actions);
        for action in actions {
            let Action::Hold { to, wait, .. } = action else {
                continue;
            };
            polls_count += 1;
            // A poll that is held is answered after its wait.
            if wait != Duration::ZERO {
                continue;
            }
            let sent_at = harness.now;
            let reply = HoldReply::Listed {
                incarnation: Some(Incarnation::from_ms(1)),
                clock_ms: sent_at.as_ms(),
                running: Vec::new(),
                ended: Vec::new(),
            };
            harness.handle(Event::HoldAnswered {
                worker: to.worker,
                sent_at,
                reply,
            });
        }
    }
    assert!(
        polls_count <= POLLS_LIMIT_COUNT,
        "{polls_count} polls in 1 s"
    );
}
