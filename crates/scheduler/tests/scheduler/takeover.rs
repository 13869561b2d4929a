//! What a new leader does with the runs of jobs that have their outcome.

use crate::support::bench::{workers, Bench};
use crate::support::{job, step};
use ospreywing_scheduler::{Event, JobId, Phase, Recovered, TaskKey, WorkerKey};
use ospreywing_types::Duration;

/// Returns a term that begins after an earlier leader recorded a cancel and before
/// the job's run was stopped, with the run.
fn after_recorded_cancel() -> (Bench, WorkerKey, TaskKey, u32) {
    let (id, record) = job(1, vec![step(1)]);
    let mut bench = Bench::new(Recovered::default(), &workers(1));
    bench.submit(1, vec![step(1)]);
    bench.commit_all();
    let (_, task, run) = bench.starts()[0];
    let worker = bench.scheduler.worker_key("w0").expect("a listed worker");
    bench.started((worker, task, run));
    bench.tell(Event::CancelAccepted { job: id });
    let state = bench.commit_all().pop().expect("a recorded cancel");
    assert_eq!(state.phase, Phase::Canceled);
    let kept = Recovered {
        jobs: vec![(id, record)],
        cancels: vec![id],
        states: vec![(id, state)],
        ..Recovered::default()
    };
    // The worker is listed and has not been asked yet.
    let mut next = Bench::new(kept, &[]);
    next.list_worker(&workers(1)[0]);
    let worker = next.scheduler.worker_key("w0").expect("a listed worker");
    (next, worker, task, run)
}

/// Found on bluemahoe-ops hunt-3b0b-11: two leaders were lost one after the other,
/// and the runs of cancelled jobs went on for ever.
#[test]
fn inherit_job_cancelled_run_goes_on() {
    let (mut next, worker, task, run) = after_recorded_cancel();
    next.list_running(worker, task);
    next.now = next.now + Duration::from_ms(20);
    next.tell(Event::Tick);
    assert_eq!(next.stops(), vec![(worker, task, run)]);
}

/// The stop does not wait for the time after which stops are sent again.
#[test]
fn inherit_job_cancelled_is_stopped_at_once() {
    let (mut next, worker, task, run) = after_recorded_cancel();
    next.tell(Event::Tick);
    assert_eq!(next.stops(), vec![(worker, task, run)]);
    let view = next.scheduler.job(JobId::new(1)).expect("a known job");
    assert_eq!(view.phase, Phase::Canceled);
}
