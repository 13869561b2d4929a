//! Plays each trace of `tests/traces` against its stated outcomes.
//!
//! One step a line; `#` begins a comment. Daemons are `d0` to `d2`.

use crate::world::{Op, StepError, World};
use ospreywing_filetest::{index, ms};
use rstest::rstest;
use std::path::PathBuf;

#[rstest]
fn trace_has_its_outcome(#[files("tests/traces/*.trace")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).expect("the trace can be read");
    if let Err(broken) = run_script(&text) {
        panic!("{}: {}", path.display(), broken.0);
    }
}

fn run_script(text: &str) -> Result<(), StepError> {
    let mut world = World::new();
    ospreywing_filetest::run_script(text, |words| step(&mut world, words))
}

fn step(world: &mut World, words: &[&str]) -> Result<(), StepError> {
    match words {
        ["expect", rest @ ..] => expect(world, rest),
        ["heal"] => world.heal(),
        _ => world.step(&op(words)?),
    }
}

const STEP_MS: u64 = 100;

fn op(words: &[&str]) -> Result<Op, StepError> {
    Ok(match *words {
        ["run", length] => Op::Run {
            steps: ms(length) / STEP_MS,
        },
        ["pass", length] => Op::Pass { ms: ms(length) },
        ["ask", daemon, safety, key] => Op::Ask {
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
        _ => return Err(StepError("no such step".to_owned())),
    })
}

fn expect(world: &World, words: &[&str]) -> Result<(), StepError> {
    let (found, wanted) = match *words {
        ["said", wanted] => (world.said().to_owned(), wanted),
        ["ready", daemon, wanted] => (world.is_ready(index(daemon)).to_string(), wanted),
        ["knows-by", daemon, wanted] => (world.freshness(index(daemon)).to_owned(), wanted),
        ["seats", daemon, wanted] => (world.seats_count(index(daemon)).to_string(), wanted),
        ["shards", daemon, wanted] => (world.shards_count(index(daemon)).to_string(), wanted),
        ["current", daemon, wanted] => (world.is_current(index(daemon)).to_string(), wanted),
        ["working", wanted] => (world.working_count().to_string(), wanted),
        ["left", daemon, wanted] => (world.has_left(index(daemon)).to_string(), wanted),
        _ => return Err(StepError("no such outcome".to_owned())),
    };
    ospreywing_filetest::expect(&found, wanted)
}
