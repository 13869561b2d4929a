//! Earlier runs of a task that a worker lists though the leader has not placed them there: their
//! starts went unanswered and were carried out late.

use crate::support::harness::{end, workers, Harness};
use crate::support::{first_task, job, placed_state, step};
use ospreywing_scheduler::{EndKind, EndedRun, JobId, Phase, Recovered, TaskKey, WorkerKey};

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
