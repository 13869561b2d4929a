//! The state that a new leader recovers from the stored items.

use crate::support::{discarding_log, stored_item};
use ospreywing_control::recovery::assemble_recovered;
use ospreywing_control::{keys, Item};
use ospreywing_scheduler::{JobId, JobOutcome, JobRecord, JobState, Phase};

const WALL_MS: u64 = 1_000;
/// The first byte of an encoding of a later version.
const LATER_FORMAT: u8 = 99;

fn id(number: u64) -> JobId {
    format!("{number:016x}").parse().expect("an id")
}

fn accepted(number: u64, revision: u64) -> Item {
    let record = JobRecord::default();
    stored_item(keys::job(id(number)), record.to_bytes(), revision)
}

#[test]
fn assemble_recovered_in_acceptance_order() {
    let outcome = JobOutcome::new(Phase::Complete).to_bytes();
    let intake = vec![
        accepted(1, 9),
        accepted(2, 4),
        stored_item(keys::job(id(3)), outcome, 2),
        stored_item(keys::cancel(id(1)), Vec::new(), 10),
    ];
    let state = JobState::default().to_bytes();
    let states = [stored_item(keys::state(id(1)), state, 11)];
    let recovered = assemble_recovered(&discarding_log(), intake, &states, WALL_MS);
    let jobs: Vec<JobId> = recovered.jobs.iter().map(|(id, _)| *id).collect();
    assert_eq!(jobs, [id(2), id(1)]);
    assert_eq!(recovered.ended, [(id(3), JobOutcome::new(Phase::Complete))]);
    assert_eq!(recovered.cancels, [id(1)]);
    assert_eq!(recovered.states.len(), 1);
}

/// A state that can't be parsed, such as one of a later version, may contain finished tasks.
/// The job must not be recovered without it, since it would start from the beginning.
#[test]
fn assemble_recovered_unreadable_state() {
    let unreadable = stored_item(keys::job(id(3)), vec![LATER_FORMAT, 1], 5);
    let intake = vec![accepted(1, 3), accepted(2, 4), unreadable];
    let states = [stored_item(keys::state(id(2)), vec![LATER_FORMAT, 1], 5)];
    let recovered = assemble_recovered(&discarding_log(), intake, &states, WALL_MS);
    let jobs: Vec<JobId> = recovered.jobs.iter().map(|(id, _)| *id).collect();
    assert_eq!(jobs, [id(1)]);
    assert_eq!(recovered.unreadable, [id(3), id(2)]);
}
