//! Searches interleavings of the events of daemons, workers and the store for one
//! that violates an invariant.
//!
//! The scenarios include delayed, lost and reordered messages, pauses between a
//! check and the send that depends on it, killed daemons, takeovers and lost
//! answers of the store. The seed is fixed.

use crate::support::simulation::{Op, Simulation, StepError, Tally, DAEMONS_COUNT, WORKERS_COUNT};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use std::sync::Mutex;

const CASES_COUNT: u32 = 1500;
const STEPS_COUNT: usize = 160;

fn daemon() -> impl Strategy<Value = usize> {
    0..DAEMONS_COUNT
}

fn worker() -> impl Strategy<Value = usize> {
    0..WORKERS_COUNT
}

fn any_index() -> impl Strategy<Value = usize> {
    0..64usize
}

fn ordinary() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => any::<bool>().prop_map(|is_safe| Op::Submit { is_safe }),
        8 => (10u64..6000).prop_map(|ms| Op::Pass { ms }),
        2 => (4000u64..200_000).prop_map(|ms| Op::Run { ms }),
        8 => daemon().prop_map(|daemon| Op::Commit { daemon }),
        3 => daemon().prop_map(|daemon| Op::Claim { daemon }),
        3 => daemon().prop_map(|daemon| Op::AskClosed { daemon }),
        3 => daemon().prop_map(|daemon| Op::Poll { daemon }),
        4 => (daemon(), worker()).prop_map(|(daemon, worker)| Op::Connect { daemon, worker }),
        10 => (daemon(), any_index()).prop_map(|(daemon, index)| Op::Send { daemon, index }),
        10 => any_index().prop_map(|index| Op::Arrive { index }),
        8 => any_index().prop_map(|index| Op::Answer { index }),
        4 => (worker(), any_index(), any::<bool>()).prop_map(|(worker, index, is_good)| {
            Op::Finish { worker, index, is_good }
        }),
        1 => any_index().prop_map(|index| Op::Cancel { index }),
        2 => (daemon(), 0u64..3, 0u64..4).prop_map(|(daemon, number, nonce)| Op::TakeKey {
            daemon,
            number,
            nonce,
        }),
    ]
}

fn fault() -> impl Strategy<Value = Op> {
    prop_oneof![
        3 => daemon().prop_map(|daemon| Op::CommitLostAnswer { daemon }),
        3 => (daemon(), worker()).prop_map(|(daemon, worker)| Op::Cut { daemon, worker }),
        4 => daemon().prop_map(|daemon| Op::Pause { daemon }),
        6 => daemon().prop_map(|daemon| Op::Resume { daemon }),
        2 => daemon().prop_map(|daemon| Op::Kill { daemon }),
        4 => (daemon(), any::<bool>()).prop_map(|(daemon, is_on)| Op::Lag { daemon, is_on }),
        2 => worker().prop_map(|worker| Op::Freeze { worker }),
        4 => worker().prop_map(|worker| Op::Thaw { worker }),
        1 => worker().prop_map(|worker| Op::RestartWorker { worker }),
        1 => worker().prop_map(|worker| Op::Delist { worker }),
        1 => Just(Op::Relist),
        2 => (60_000u64..20_000_000).prop_map(|ms| Op::Pass { ms }),
    ]
}

fn steps() -> impl Strategy<Value = Vec<Op>> {
    let step = prop_oneof![5 => ordinary(), 1 => fault()];
    proptest::collection::vec(step, 1..STEPS_COUNT)
}

fn run_scenario(ops: &[Op], tally: &Mutex<Tally>) -> Result<(), StepError> {
    let mut simulation = Simulation::new();
    simulation.step(&Op::Claim { daemon: 0 })?;
    for op in ops {
        simulation.step(op)?;
    }
    simulation.heal()?;
    let mut sum = tally.lock().unwrap_or_else(|e| e.into_inner());
    sum.interleavings_count += 1;
    sum.steps_count += simulation.tally.steps_count;
    sum.faults_count += simulation.tally.faults_count;
    sum.runs_count += simulation.tally.runs_count;
    sum.finished_count += simulation.tally.finished_count;
    sum.claims_count += simulation.tally.claims_count;
    sum.requeues_count += simulation.tally.requeues_count;
    Ok(())
}

#[test]
fn owner_handle_interleavings_keep_invariants() {
    let config = Config {
        cases: CASES_COUNT,
        failure_persistence: None,
        max_shrink_iters: 4000,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let tally = Mutex::new(Tally::default());
    let found = runner.run(&steps(), |ops| {
        run_scenario(&ops, &tally).map_err(|StepError(reason)| TestCaseError::fail(reason))
    });
    println!("{:?}", tally.lock().unwrap_or_else(|e| e.into_inner()));
    if let Err(error) = found {
        panic!("{error}");
    }
}
