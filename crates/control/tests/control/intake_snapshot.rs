//! Jobs and cancels of an intake that was read whole, in the order of the keys.

use crate::support::{discarding_log, stored_item};
use ospreywing_control::intake_snapshot::IntakeSnapshot;
use ospreywing_control::recovery::assemble_recovered;
use ospreywing_control::{keys, Item};
use ospreywing_scheduler::{JobId, JobOutcome, JobRecord, Phase};
use rstest::rstest;

const JOB: JobId = JobId::new(7);
/// The first byte of an encoding of a later version.
const LATER_FORMAT: u8 = 99;

/// What is stored under the job's key.
#[derive(Clone, Copy, Debug)]
enum Stored {
    Accepted { revision: u64 },
    Ended { revision: u64 },
    Unreadable { revision: u64 },
    Nothing,
}

fn job_item(stored: Stored) -> Option<Item> {
    let accepted = JobRecord::default().to_bytes();
    let outcome = JobOutcome::new(Phase::Complete).to_bytes();
    let key = keys::job(JOB);
    match stored {
        Stored::Accepted { revision } => Some(stored_item(key, accepted, revision)),
        Stored::Ended { revision } => Some(stored_item(key, outcome, revision)),
        Stored::Unreadable { revision } => Some(stored_item(key, vec![LATER_FORMAT], revision)),
        Stored::Nothing => None,
    }
}

/// Returns the items in the order in which the store returns them: the cancel first.
fn intake(stored: Stored, cancelled_at: u64) -> Vec<Item> {
    let cancel = stored_item(keys::cancel(JOB), Vec::new(), cancelled_at);
    [cancel].into_iter().chain(job_item(stored)).collect()
}

/// A cancel concerns the job that was accepted before it. That of an earlier job with the same
/// id once ended the later one.
#[rstest]
#[case::of_the_job(Stored::Accepted { revision: 4 }, &[JOB])]
#[case::of_an_earlier_job(Stored::Accepted { revision: 9 }, &[])]
#[case::of_an_ended_job(Stored::Ended { revision: 9 }, &[])]
#[case::of_an_unreadable_job(Stored::Unreadable { revision: 4 }, &[JOB])]
#[case::of_no_job(Stored::Nothing, &[])]
fn intake_snapshot_cancelled(#[case] stored: Stored, #[case] expected: &[JobId]) {
    let items = intake(stored, 5);
    let snapshot = IntakeSnapshot::new(&discarding_log(), items.clone());
    assert_eq!(snapshot.cancelled, expected);
    let recovered = assemble_recovered(&discarding_log(), items, &[], 0);
    assert_eq!(recovered.cancels, expected);
}
