//! Earlier runs of a task that a worker lists though the leader has not placed them there: their
//! starts went unanswered and were carried out late.

use crate::support::harness::{end, workers, Harness};
use crate::support::{first_task, job, placed_at_incarnation, placed_state, step};
use ospreywing_scheduler::{
    EndKind, EndedRun, Event, HoldReply, Incarnation, JobId, Phase, Recovered, RunningRun,
    StepSpec, TaskKey, WorkerKey,
};
use ospreywing_types::{Duration, Resources};
use rstest::rstest;

/// Returns a new leader that runs the only task of job 1 as run 2 on the second of two workers,
/// while the first one has run 1, which is stopped.
fn harness_with_earlier_run_elsewhere() -> (Harness, TaskKey, [WorkerKey; 2]) {
    let (id, record) = job(1, vec![step(1)]);
    let recovered = Recovered {
        jobs: vec![(id, record)],
        states: vec![(id, placed_state("w1", 2))],
        ..Recovered::default()
    };
    let mut harness = Harness::after_evicted_leader(recovered);
    harness.list_workers(&workers(2));
    let task = first_task(id);
    let keys = ["w0", "w1"].map(|id| harness.scheduler.worker_key(id).expect("a worker"));
    harness.answer_polls_with_progress(&[(keys[1], task, 2)], 0);
    harness.answer_polls_with_progress(&[(keys[0], task, 1)], 0);
    assert_eq!(harness.stops(), [(keys[0], task, 1)]);
    (harness, task, keys)
}

fn stopped(task: TaskKey, run: u32) -> Vec<EndedRun> {
    vec![end(1, task, run, EndKind::Stopped)]
}

/// The end of the earlier run set the task to waiting, so it was started a second time beside
/// its current run.
#[test]
fn handle_end_earlier_run_placed_elsewhere() {
    let (mut harness, task, [first, second]) = harness_with_earlier_run_elsewhere();
    harness.answer_poll(first, stopped(task, 1));
    harness.commit_all();
    assert_eq!(harness.starts(), [], "the task is started twice");
    let done = vec![end(1, task, 2, EndKind::Done)];
    harness.answer_poll(second, done);
    harness.commit_all();
    let phase = harness.scheduler.job(JobId::new(1)).map(|job| job.phase);
    assert_eq!(phase, Some(Phase::Complete));
}

/// Answers a poll as the incarnation that started at this time.
fn answer_poll_as(
    harness: &mut Harness,
    worker: WorkerKey,
    life_start_ms: u64,
    running: &[(TaskKey, u32)],
    ended: Vec<EndedRun>,
) {
    let sent_at = harness.now;
    harness.now = harness.now + Duration::from_ms(60);
    let running = running.iter().map(|(task, run)| RunningRun {
        task: *task,
        run: *run,
        checkpoint: None,
        progress_percent: 0,
        usage_figure: 0,
    });
    let reply = HoldReply::Listed {
        incarnation: Some(Incarnation::from_ms(life_start_ms)),
        clock_ms: harness.now.as_ms(),
        running: running.collect(),
        ended,
    };
    harness.handle(Event::HoldAnswered {
        worker,
        sent_at,
        reply,
    });
}

/// Returns a new leader with two workers, and the first one's key. Run 2 of the only task of
/// job 1 is recorded for the incarnation of that worker that started at this time.
fn harness_with_recorded_run(spec: StepSpec, life_start_ms: u64) -> (Harness, WorkerKey, TaskKey) {
    let (id, record) = job(1, vec![spec]);
    let recovered = Recovered {
        jobs: vec![(id, record)],
        states: vec![(id, placed_at_incarnation("w0", life_start_ms, 2))],
        ..Recovered::default()
    };
    let mut harness = Harness::after_evicted_leader(recovered);
    harness.list_workers(&workers(2));
    let [first, second] =
        ["w0", "w1"].map(|id| harness.scheduler.worker_key(id).expect("a worker"));
    answer_poll_as(&mut harness, second, 1, &[], Vec::new());
    (harness, first, first_task(id))
}

/// The task was started again while an earlier run of it was alive, and on the same worker the
/// earlier run's capacity counted as used for ever.
#[rstest]
#[case::fits_beside(2000)]
#[case::fits_elsewhere(4000)]
fn handle_running_earlier_run_of_waiting_task(
    #[case] cores_milli: u32,
    #[values(1, 2)] recorded_life_start_ms: u64,
) {
    let spec = StepSpec {
        demand: Resources::new(cores_milli, 1000, 0),
        ..step(1)
    };
    let (mut harness, worker, task) = harness_with_recorded_run(spec, recorded_life_start_ms);
    answer_poll_as(&mut harness, worker, 2, &[(task, 1)], Vec::new());
    assert_eq!(harness.stops(), [(worker, task, 1)]);
    harness.commit_all();
    assert_eq!(harness.starts(), [], "the earlier run has not ended");
    answer_poll_as(&mut harness, worker, 2, &[], stopped(task, 1));
    harness.commit_all();
    let runs: Vec<u32> = harness.starts().iter().map(|(_, _, run)| *run).collect();
    assert_eq!(runs, [3]);
}
