//! Which jobs are told to wait.

use crate::support::bench::{end, workers, Bench};
use crate::support::{job, step, QUEUE};
use ospreywing_scheduler::{EndKind, Event, JobId, Phase, Recovered, StepKey, TaskKey};
use ospreywing_types::Duration;

/// Returns a term that begins where an earlier leader recorded a start, and the
/// task.
fn after_recorded_start() -> (Bench, TaskKey) {
    let (id, record) = job(1, vec![step(1)]);
    let mut bench = Bench::new(Recovered::default(), &workers(1));
    bench.submit(1, vec![step(1)]);
    let state = bench.commit_all().pop().expect("a recorded start");
    let kept = Recovered {
        jobs: vec![(id, record)],
        states: vec![(id, state)],
        ..Recovered::default()
    };
    // Without a worker the run can't be asked for, so it stays in doubt.
    let next = Bench::new(kept, &[]);
    let step = StepKey {
        job: id,
        round: 0,
        step: 0,
    };
    (next, step.task(0))
}

/// Found on bluemahoe-ops trouble-2: after a takeover beside a slow store many
/// starts were recorded and never sent, and their jobs counted as begun.
#[test]
fn pending_count_start_never_sent() {
    let (bench, _) = after_recorded_start();
    assert_eq!(bench.scheduler.pending_count(QUEUE), 1);
}

#[test]
fn pending_count_run_listed_to_next_leader() {
    let (mut bench, task) = after_recorded_start();
    bench.list_worker(&workers(1)[0]);
    let worker = bench.scheduler.worker_key("w0").expect("a listed worker");
    bench.list_running(worker, task);
    assert_eq!(bench.scheduler.pending_count(QUEUE), 0);
}

#[test]
fn pending_count_end_listed_to_next_leader() {
    let (mut bench, task) = after_recorded_start();
    bench.list_worker(&workers(1)[0]);
    let worker = bench.scheduler.worker_key("w0").expect("a listed worker");
    bench.list(worker, vec![end(1, task, 1, EndKind::Stopped)]);
    let view = bench.scheduler.job(JobId::new(1)).expect("a known job");
    assert!(view.has_begun);
}

/// Found by the soak, seed 8019: the store had a job's outcome and its answer was lost.
/// A node that read the store showed `canceled`, and the leader, which shows an outcome
/// once it knows that it is stored, showed `queued` 30 ms later. While such a commit is
/// open the leader does not know.
#[test]
fn job_outcome_on_its_way() {
    let mut bench = Bench::new(Recovered::default(), &workers(1));
    bench.submit(1, vec![step(1)]);
    bench.commit_all();
    let id = JobId::new(1);
    let is_settled = |bench: &Bench| bench.scheduler.job(id).map(|view| view.is_settled);
    assert_eq!(is_settled(&bench), Some(true));
    bench.tell(Event::CancelAccepted { job: id });
    bench.now = bench.now + Duration::from_ms(30);
    bench.tell(Event::Tick);
    assert_eq!(is_settled(&bench), Some(false), "its commit is open");
    bench.answer_commits();
    let view = bench.scheduler.job(id).expect("a known job");
    assert_eq!((view.phase, view.is_settled), (Phase::Canceled, true));
}
