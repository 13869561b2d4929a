//! Decoding of stored records whose bytes are damaged.

use crate::support::{
    accepted_under, configuration, job, job_of, placed_at_incarnation, placed_state, step, QUEUE,
};
use ospreywing_scheduler::{
    CrashRecord, JobOutcome, JobState, Phase, StoredJob, Suspicion, TaskKey,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

/// Inputs for each record in CI; `OSPREYWING_FUZZ_INPUTS` overrides the number.
const DEFAULT_FUZZ_INPUTS_COUNT: u64 = 20_000;
const FUZZ_INPUTS_VARIABLE: &str = "OSPREYWING_FUZZ_INPUTS";

fn fuzz_inputs_count() -> u64 {
    let set = std::env::var(FUZZ_INPUTS_VARIABLE);
    let set = set.ok().and_then(|text| text.parse().ok());
    set.unwrap_or(DEFAULT_FUZZ_INPUTS_COUNT)
}

/// Changes a byte, inserts one or cuts off the rest, one to three times.
fn mutate(rng: &mut Pcg64, bytes: &[u8]) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    for _ in 0..rng.random_range(1..4) {
        let at = rng.random_range(0..=bytes.len());
        match rng.random_range(0..3) {
            0 if at < bytes.len() => bytes[at] = rng.random(),
            1 => bytes.insert(at, rng.random()),
            _ => bytes.truncate(at),
        }
    }
    bytes
}

fn with_crash(mut state: JobState) -> JobState {
    let (id, _) = job(1, vec![step(1)]);
    let task: TaskKey = crate::support::first_task(id);
    state.record_crash(CrashRecord {
        task,
        run: 1,
        suspicion: Suspicion::Suspect,
        is_confirmed: true,
    });
    state
}

fn with_policy(mut state: JobState) -> JobState {
    state.policy = configuration(None).policy(QUEUE, None).map(Box::new);
    state
}

/// Decoding a job's progress terminates without a panic, whatever its bytes.
#[rstest]
#[case::plain(placed_state("w0", 1))]
#[case::crashes(with_crash(placed_state("w0", 1)))]
#[case::incarnations(placed_at_incarnation("w0", 7, 1))]
#[case::incarnations_and_crashes(with_crash(placed_at_incarnation("w0", 7, 1)))]
#[case::policy(with_policy(placed_state("w0", 1)))]
fn job_state_any_bytes(#[case] state: JobState) {
    let mut rng = Pcg64::seed_from_u64(4);
    let valid = state.to_bytes();
    assert_eq!(JobState::from_bytes(&valid), Ok(state));
    for _ in 0..fuzz_inputs_count() {
        let _ = JobState::from_bytes(&mutate(&mut rng, &valid));
    }
}

/// The same for accepted jobs and for outcomes.
#[rstest]
#[case::job(job(1, vec![step(3)]).1.to_bytes())]
#[case::job_of_customer(job_of("one", 1, vec![step(3)]).1.to_bytes())]
#[case::job_with_policy(
    accepted_under(&configuration(None), job_of("one", 1, vec![step(3)])).1.to_bytes()
)]
#[case::outcome(JobOutcome::new(Phase::Complete).to_bytes())]
#[case::outcome_of_customer(
    JobOutcome::new(Phase::Failed).with_customer(Some("one".to_owned())).to_bytes()
)]
fn stored_job_any_bytes(#[case] valid: Vec<u8>) {
    let mut rng = Pcg64::seed_from_u64(5);
    assert!(StoredJob::from_bytes(&valid).is_ok());
    for _ in 0..fuzz_inputs_count() {
        let _ = StoredJob::from_bytes(&mutate(&mut rng, &valid));
    }
}
