//! Traces: text files of events with stated outcomes.
//!
//! One step a line; `#` begins a comment. Times are as `90s` or `1500ms`.
//! Daemons are `d0` to `d2`, workers `w0` to `w2`, tasks `k0`, `k1` and so on
//! in the order of their submission.

use super::world::{Op, StepError, World};
use ospreywing_filetest::{index, ms};

/// Plays a trace.
///
/// # Errors
///
/// Returns what went wrong, with the line's number.
pub fn run_script(text: &str) -> Result<(), StepError> {
    let mut world = World::new();
    ospreywing_filetest::run_script(text, |words| step(&mut world, words))
}

fn step(world: &mut World, words: &[&str]) -> Result<(), StepError> {
    match words {
        ["expect", rest @ ..] => expect(world, rest),
        ["heal"] => world.heal(),
        ["flow", length] => {
            let ms = ms(length);
            world.step(&Op::Run { ms })
        }
        _ => world.step(&op(words)?),
    }
}

fn op(words: &[&str]) -> Result<Op, StepError> {
    Ok(match *words {
        ["submit", "safe"] => Op::Submit { row: true },
        ["submit", "unsafe"] => Op::Submit { row: false },
        ["cancel", key] => Op::Cancel { index: index(key) },
        ["pass", length] => Op::Pass { ms: ms(length) },
        ["commit", daemon] => Op::Commit {
            daemon: index(daemon),
        },
        ["commit-lost-answer", daemon] => Op::CommitLostAnswer {
            daemon: index(daemon),
        },
        ["hand-over", daemon] => Op::HandOver {
            daemon: index(daemon),
        },
        ["claim", daemon] => Op::Claim {
            daemon: index(daemon),
        },
        ["ask-closed", daemon] => Op::AskClosed {
            daemon: index(daemon),
        },
        ["poll", daemon] => Op::Poll {
            daemon: index(daemon),
        },
        ["connect", daemon, worker] => Op::Connect {
            daemon: index(daemon),
            worker: index(worker),
        },
        ["cut", daemon, worker] => Op::Cut {
            daemon: index(daemon),
            worker: index(worker),
        },
        ["send", daemon] => Op::Send {
            daemon: index(daemon),
            index: 0,
        },
        ["arrive"] => Op::Arrive { index: 0 },
        ["answer"] => Op::Answer { index: 0 },
        ["finish", worker] => Op::Finish {
            worker: index(worker),
            index: 0,
            is_good: true,
        },
        ["fail", worker] => Op::Finish {
            worker: index(worker),
            index: 0,
            is_good: false,
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
        ["lag", daemon] => Op::Lag {
            daemon: index(daemon),
            is_on: true,
        },
        ["unlag", daemon] => Op::Lag {
            daemon: index(daemon),
            is_on: false,
        },
        ["freeze", worker] => Op::Freeze {
            worker: index(worker),
        },
        ["thaw", worker] => Op::Thaw {
            worker: index(worker),
        },
        ["restart", worker] => Op::RestartWorker {
            worker: index(worker),
        },
        ["delist", worker] => Op::Delist {
            worker: index(worker),
        },
        ["relist"] => Op::Relist,
        ["take-key", daemon, key, nonce] => Op::TakeKey {
            daemon: index(daemon),
            number: index(key) as u64,
            nonce: nonce.parse().expect("a nonce"),
        },
        _ => return Err(StepError("no such step".to_owned())),
    })
}

fn expect(world: &World, words: &[&str]) -> Result<(), StepError> {
    let (found, wanted) = match *words {
        ["said", key, wanted] => (world.said(key).to_owned(), wanted),
        ["phase", key, wanted] => (world.phase(key), wanted),
        ["runs", key, wanted] => (world.runs_count(key).to_string(), wanted),
        ["running", worker, wanted] => (world.running_count(index(worker)).to_string(), wanted),
        ["held-starts", daemon, wanted] => {
            (world.held_starts_count(index(daemon)).to_string(), wanted)
        }
        ["batches", wanted] => (world.batches_count().to_string(), wanted),
        _ => return Err(StepError("no such outcome".to_owned())),
    };
    ospreywing_filetest::expect(&found, wanted)
}
