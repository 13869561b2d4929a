//! Runs each trace of `tests/traces` and checks its expected outcomes.
//!
//! A trace has one step per line; `#` begins a comment. Daemons are `d0` to `d2`.

use crate::simulation::{Op, Simulation, StepError};
use ospreywing_filetest::{index, ms};
use rstest::rstest;
use std::path::PathBuf;

#[rstest]
fn trace_matches_expected_outcome(#[files("tests/traces/*.trace")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).expect("the trace file can be read");
    if let Err(violation) = run_trace(&text) {
        panic!("{}: {}", path.display(), violation.0);
    }
}

fn run_trace(text: &str) -> Result<(), StepError> {
    let mut simulation = Simulation::new();
    ospreywing_filetest::run_script(text, |words| step(&mut simulation, words))
}

fn step(simulation: &mut Simulation, words: &[&str]) -> Result<(), StepError> {
    match words {
        ["expect", rest @ ..] => expect(simulation, rest),
        ["heal"] => simulation.recover(),
        _ => simulation.step(&op(words)?),
    }
}

const STEP_MS: u64 = 100;

fn op(words: &[&str]) -> Result<Op, StepError> {
    Ok(match *words {
        ["run", length] => Op::Run {
            steps: ms(length) / STEP_MS,
        },
        ["pass", length] => Op::Pass { ms: ms(length) },
        ["ask", daemon, safety, key] => Op::Submit {
            daemon: index(daemon),
            key: index(key) as u64,
            is_safe: safety == "safe",
        },
        ["burst", daemon] => Op::Burst {
            daemon: index(daemon),
        },
        ["edit", daemon] => Op::Edit {
            daemon: index(daemon),
        },
        ["answer"] => Op::Answer { index: 0 },
        ["break"] => Op::Break { index: 0 },
        ["cut-store", daemon] => Op::CutStore {
            daemon: index(daemon),
        },
        ["mend-store", daemon] => Op::MendStore {
            daemon: index(daemon),
        },
        ["store-down"] => Op::StoreDown,
        ["store-up"] => Op::StoreUp,
        ["cut-peers", daemon] => Op::CutPeers {
            daemon: index(daemon),
        },
        ["mend-peers", daemon] => Op::MendPeers {
            daemon: index(daemon),
        },
        ["pause", daemon] => Op::Pause {
            daemon: index(daemon),
        },
        ["resume", daemon] => Op::Resume {
            daemon: index(daemon),
        },
        ["kill", daemon] => Op::Kill {
            daemon: index(daemon),
        },
        ["leave", daemon] => Op::Leave {
            daemon: index(daemon),
        },
        _ => return Err(StepError("unknown step".to_owned())),
    })
}

fn expect(simulation: &Simulation, words: &[&str]) -> Result<(), StepError> {
    let (found, wanted) = match *words {
        ["said", wanted] => (simulation.newest_outcome().to_owned(), wanted),
        ["ready", daemon, wanted] => (simulation.is_ready(index(daemon)).to_string(), wanted),
        ["knows-by", daemon, wanted] => (simulation.freshness(index(daemon)).to_owned(), wanted),
        ["seats", daemon, wanted] => (simulation.seats_count(index(daemon)).to_string(), wanted),
        ["shards", daemon, wanted] => (simulation.shards_count(index(daemon)).to_string(), wanted),
        ["current", daemon, wanted] => (simulation.is_current(index(daemon)).to_string(), wanted),
        ["working", wanted] => (simulation.working_count().to_string(), wanted),
        ["left", daemon, wanted] => (
            simulation.is_shutdown_complete(index(daemon)).to_string(),
            wanted,
        ),
        _ => return Err(StepError("unknown outcome".to_owned())),
    };
    ospreywing_filetest::expect(&found, wanted)
}
