//! The policy at the end of stored records and progress, for nodes of this version and of the
//! previous one.

use crate::support::{
    accepted_under, configuration, configuration_with, customer, job, job_of,
    placed_at_incarnation, placed_state, step,
};
use ospreywing_scheduler::{
    CrashRecord, JobId, JobPolicy, JobRecord, JobSpec, JobState, StoredJob, Suspicion, Trailing,
};
use rstest::rstest;
use serde::{Deserialize, Serialize};

/// A record of a customer's job, as the previous version declared it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct PreviousRecord {
    queue: String,
    service: String,
    accepted_ms: u64,
    spec: JobSpec,
    customer: Option<String>,
}

/// A record without a customer, as the previous version stored it.
type PreviousOpenRecord = (String, String, u64, JobSpec);

fn policy() -> JobPolicy {
    let configuration = configuration_with(4, None, vec![customer("one", 2, 1.0)]);
    let (_, record) = accepted_under(&configuration, job_of("one", 1, vec![step(1)]));
    *record.policy.expect("a configured queue")
}

fn with_crash(mut state: JobState) -> JobState {
    state.record_crash(CrashRecord {
        task: crate::support::first_task(JobId::new(1)),
        run: 1,
        suspicion: Suspicion::Suspect,
        is_confirmed: true,
    });
    state
}

#[rstest]
#[case::open(job(1, vec![step(2)]))]
#[case::customers(job_of("one", 1, vec![step(2)]))]
fn stored_job_with_policy(#[case] accepted: (JobId, JobRecord)) {
    let configuration = configuration_with(4, None, vec![customer("one", 2, 1.0)]);
    let (_, record) = accepted_under(&configuration, accepted);
    assert!(record.policy.is_some());
    let read = StoredJob::from_bytes(&record.to_bytes());
    assert_eq!(read, Ok(StoredJob::Accepted(Box::new(record))));
}

/// Guards against jobs that the previous version can't read and so sets aside.
#[test]
fn stored_job_read_by_previous_version() {
    let (_, open) = accepted_under(&configuration(None), job(1, vec![step(2)]));
    let bytes = open.to_bytes();
    let read: PreviousOpenRecord = postcard::from_bytes(&bytes[1..]).expect("a record");
    assert_eq!((bytes[0], read.0, read.3), (1, open.queue, open.spec));
    let (_, owned) = accepted_under(&configuration(None), job_of("one", 1, vec![step(2)]));
    let bytes = owned.to_bytes();
    let read: PreviousRecord = postcard::from_bytes(&bytes[1..]).expect("a record");
    let fields = (bytes[0], read.queue, read.customer);
    assert_eq!(fields, (4, owned.queue, owned.customer));
}

/// Guards against jobs of the previous version that can't be read.
#[test]
fn stored_job_written_by_previous_version() {
    let (_, record) = job_of("one", 1, vec![step(2)]);
    let previous = PreviousRecord {
        queue: record.queue.clone(),
        service: record.service.clone(),
        accepted_ms: record.accepted_ms,
        spec: record.spec.clone(),
        customer: record.customer.clone(),
    };
    let bytes = postcard::to_extend(&previous, vec![4]).expect("an encoding");
    let read = StoredJob::from_bytes(&bytes);
    assert_eq!(read, Ok(StoredJob::Accepted(Box::new(record))));
}

/// Guards against progress that one of two versions can't read.
#[rstest]
#[case::plain(placed_state("w0", 1))]
#[case::crashes(with_crash(placed_state("w0", 1)))]
#[case::incarnations(placed_at_incarnation("w0", 7, 1))]
fn job_state_with_policy(#[case] state: JobState) {
    let without = state.to_bytes();
    let mut with = state.clone();
    with.policy = Some(Box::new(policy()));
    let bytes = with.to_bytes();
    assert_eq!(JobState::from_bytes(&bytes), Ok(with));
    assert_eq!(bytes[..without.len()], without, "the policy comes last");
    assert_eq!(JobState::from_bytes(&without), Ok(state));
}

/// A damaged policy makes the whole value unreadable; it is not taken to be absent.
#[test]
fn stored_job_policy_cut_off() {
    let (_, record) = accepted_under(&configuration(None), job(1, vec![step(2)]));
    let bytes = record.to_bytes();
    assert!(StoredJob::from_bytes(&bytes[..bytes.len() - 1]).is_err());
}

#[rstest]
#[case::absent(None, &[5])]
#[case::present(Some(7), &[5, 1, 7])]
fn trailing_encoding(#[case] part: Option<u64>, #[case] bytes: &[u8]) {
    let value = (5_u8, Trailing(part));
    assert_eq!(
        postcard::to_extend(&value, Vec::new()).as_deref(),
        Ok(bytes)
    );
    assert_eq!(postcard::from_bytes(bytes), Ok(value));
}

/// A part of a form that only later versions know is taken to be absent.
#[test]
fn trailing_of_later_version() {
    let read: Result<(u8, Trailing<u64>), _> = postcard::from_bytes(&[5, 2, 7]);
    assert_eq!(read, Ok((5, Trailing(None))));
}
