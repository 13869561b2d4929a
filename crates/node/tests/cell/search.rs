//! Explores random interleavings of several daemons, the store and minions.

use crate::simulation::{Op, Simulation, StepError, Tally, DAEMONS_COUNT};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use std::sync::Mutex;

const CASES_COUNT: u32 = 120;
const STEPS_COUNT: usize = 120;
const KEYS_COUNT: u64 = 6;

fn daemon() -> impl Strategy<Value = usize> {
    0..DAEMONS_COUNT
}

fn any_index() -> impl Strategy<Value = usize> {
    0..256usize
}

fn ordinary() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (1u64..40).prop_map(|steps| Op::Run { steps }),
        1 => (40u64..200).prop_map(|steps| Op::Run { steps }),
        12 => (daemon(), 0..KEYS_COUNT, any::<bool>()).prop_map(|(daemon, key, is_safe)| {
            Op::Submit { daemon, key, is_safe }
        }),
        2 => daemon().prop_map(|daemon| Op::Edit { daemon }),
        4 => daemon().prop_map(|daemon| Op::Burst { daemon }),
        4 => any_index().prop_map(|index| Op::Answer { index }),
        3 => daemon().prop_map(|daemon| Op::Poll { daemon }),
        10 => any_index().prop_map(|index| Op::Deliver { index }),
        3 => daemon().prop_map(|daemon| Op::Tick { daemon }),
    ]
}

fn fault() -> impl Strategy<Value = Op> {
    prop_oneof![
        2 => (100u64..12_000).prop_map(|ms| Op::Pass { ms }),
        2 => any_index().prop_map(|index| Op::Break { index }),
        2 => any_index().prop_map(|index| Op::Lose { index }),
        1 => daemon().prop_map(|daemon| Op::CutStore { daemon }),
        2 => daemon().prop_map(|daemon| Op::MendStore { daemon }),
        1 => Just(Op::StoreDown),
        2 => Just(Op::StoreUp),
        1 => daemon().prop_map(|daemon| Op::CutPeers { daemon }),
        2 => daemon().prop_map(|daemon| Op::MendPeers { daemon }),
        2 => daemon().prop_map(|daemon| Op::Pause { daemon }),
        3 => daemon().prop_map(|daemon| Op::Resume { daemon }),
        1 => daemon().prop_map(|daemon| Op::Kill { daemon }),
        1 => daemon().prop_map(|daemon| Op::Leave { daemon }),
    ]
}

fn steps() -> impl Strategy<Value = Vec<Op>> {
    let step = prop_oneof![4 => ordinary(), 1 => fault()];
    proptest::collection::vec(step, 1..STEPS_COUNT)
}

fn run_ops(ops: &[Op], tally: &Mutex<Tally>) -> Result<(), StepError> {
    let mut simulation = Simulation::new();
    simulation.step(&Op::Run { steps: 60 })?;
    for op in ops {
        simulation.step(op)?;
    }
    simulation.recover()?;
    let mut sum = tally.lock().unwrap_or_else(|e| e.into_inner());
    sum.interleavings_count += 1;
    sum.steps_count += simulation.tally.steps_count;
    sum.faults_count += simulation.tally.faults_count;
    sum.runs_count += simulation.tally.runs_count;
    sum.done_count += simulation.tally.done_count;
    sum.edits_count += simulation.tally.edits_count;
    sum.peak_slots_count = sum.peak_slots_count.max(simulation.tally.peak_slots_count);
    Ok(())
}

#[test]
fn cell_invariants_hold_in_every_interleaving() {
    let config = Config {
        cases: CASES_COUNT,
        failure_persistence: None,
        max_shrink_iters: 2000,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let tally = Mutex::new(Tally::default());
    let found = runner.run(&steps(), |ops| {
        run_ops(&ops, &tally).map_err(|StepError(reason)| TestCaseError::fail(reason))
    });
    println!("{:?}", tally.lock().unwrap_or_else(|e| e.into_inner()));
    if let Err(error) = found {
        panic!("{error}");
    }
}
