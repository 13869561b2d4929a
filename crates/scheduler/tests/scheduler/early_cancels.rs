//! Cancels and jobs that reach the leader in any order.

use crate::support::harness::{workers, Harness};
use crate::support::{job, step};
use ospreywing_scheduler::{Event, JobId, Phase, Recovered};
use ospreywing_types::Duration;
use rstest::rstest;

/// An event about the only job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Arrival {
    Job,
    Cancel,
    /// A new leader is elected that has read the job.
    TakeoverWithJob,
    /// A new leader is elected that has read the cancel.
    TakeoverWithCancel,
    /// A new leader is elected that has read neither.
    Takeover,
}

use Arrival::{Cancel, Job, Takeover, TakeoverWithCancel, TakeoverWithJob};

const NUMBER: u64 = 1;

fn leader(recovered: Recovered) -> Harness {
    Harness::new(recovered, &workers(1))
}

fn play(arrivals: &[Arrival]) -> Harness {
    let mut harness = leader(Recovered::default());
    for arrival in arrivals {
        match arrival {
            Job => harness.submit(NUMBER, vec![step(1)]),
            Cancel => harness.cancel(NUMBER),
            TakeoverWithJob => {
                harness = leader(Recovered {
                    jobs: vec![job(NUMBER, vec![step(1)])],
                    ..Recovered::default()
                });
            }
            TakeoverWithCancel => {
                harness = leader(Recovered {
                    cancels: vec![JobId::new(NUMBER)],
                    ..Recovered::default()
                });
            }
            Takeover => harness = leader(Recovered::default()),
        }
    }
    harness
}

fn phase(harness: &Harness) -> Option<Phase> {
    let view = harness.scheduler.job(JobId::new(NUMBER));
    view.map(|view| view.phase)
}

/// Lets the leader place, start and commit what it will.
fn run_on(harness: &mut Harness) {
    for _ in 0..20 {
        harness.now = harness.now + Duration::from_ms(20);
        harness.handle(Event::Tick);
        harness.commit_all();
    }
}

/// A cancel that arrived before its job was once dropped, and the job was started.
#[rstest]
#[case::cancel_first(&[Cancel, Job])]
#[case::job_first(&[Job, Cancel])]
#[case::cancel_repeated(&[Cancel, Cancel, Job])]
#[case::job_repeated(&[Cancel, Job, Job])]
#[case::both_repeated(&[Cancel, Job, Cancel, Job])]
#[case::takeover_before(&[Takeover, Cancel, Job])]
#[case::takeover_between(&[Cancel, Takeover, Cancel, Job])]
#[case::takeover_with_cancel(&[Cancel, TakeoverWithCancel, Job])]
#[case::takeover_with_job(&[Job, TakeoverWithJob, Cancel])]
#[case::takeover_after(&[Cancel, Job, TakeoverWithJob, Cancel])]
fn cancel_job_in_any_order(#[case] arrivals: &[Arrival]) {
    let mut harness = play(arrivals);
    run_on(&mut harness);
    assert_eq!(harness.starts(), vec![], "a run of the cancelled job");
    assert_eq!(phase(&harness), Some(Phase::Canceled));
}

/// A job whose id had a cancel long before is another job.
#[test]
fn cancel_long_before_other_job() {
    let mut harness = play(&[Cancel]);
    harness.now = harness.now + Duration::from_s(30);
    harness.submit(NUMBER, vec![step(1)]);
    run_on(&mut harness);
    assert_eq!(harness.starts().len(), 1);
    assert_eq!(phase(&harness), Some(Phase::Active));
}

/// A cancel ends only the job that it names.
#[test]
fn cancel_before_other_job() {
    let mut harness = play(&[Cancel]);
    harness.submit(NUMBER + 1, vec![step(1)]);
    run_on(&mut harness);
    assert_eq!(harness.starts().len(), 1);
}

/// Cancels of unknown jobs use a bounded amount of memory, and are dropped after a while.
#[test]
fn cancel_many_unknown_jobs() {
    let mut harness = leader(Recovered::default());
    for number in 1..=20_000 {
        harness.cancel(number);
    }
    let count = |harness: &Harness| harness.scheduler.status(harness.now).early_cancels_count;
    assert_eq!(count(&harness), 10_000);
    harness.now = harness.now + Duration::from_s(30);
    harness.handle(Event::Tick);
    assert_eq!(count(&harness), 0);
}

/// The cancel of a job whose record can't be read is not kept: this leader will not learn more
/// about the job.
#[test]
fn cancel_unreadable_job() {
    let mut harness = leader(Recovered {
        unreadable: vec![JobId::new(NUMBER)],
        ..Recovered::default()
    });
    harness.cancel(NUMBER);
    let status = harness.scheduler.status(harness.now);
    assert_eq!(status.early_cancels_count, 0);
}
