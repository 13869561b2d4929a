//! Runs traces: text files of steps with expected outcomes.
//!
//! Each line holds one step; `#` begins a comment. Durations are written as `90s`
//! or `1500ms`.
//! Daemons are `d0` to `d2`, workers `w0` to `w2`, tasks `k0`, `k1` and so on
//! in the order of their submission.

use super::simulation::{Op, Simulation, StepError};
use ospreywing_filetest::{index, ms};

/// Runs a trace.
///
/// # Errors
///
/// Returns the first failed step or outcome, with its line number.
pub fn run_trace(text: &str) -> Result<(), StepError> {
    let mut simulation = Simulation::new();
    ospreywing_filetest::run_script(text, |words| step(&mut simulation, words))
}

fn step(simulation: &mut Simulation, words: &[&str]) -> Result<(), StepError> {
    match words {
        ["expect", rest @ ..] => expect(simulation, rest),
        ["heal"] => simulation.heal(),
        ["flow", length] => {
            let ms = ms(length);
            simulation.step(&Op::Run { ms })
        }
        _ => simulation.step(&op(words)?),
    }
}

fn op(words: &[&str]) -> Result<Op, StepError> {
    Ok(match *words {
        ["submit", "safe"] => Op::Submit { is_safe: true },
        ["submit", "unsafe"] => Op::Submit { is_safe: false },
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
            nonce: nonce.parse().expect("the nonce is a number"),
        },
        _ => return Err(StepError("no such step".to_owned())),
    })
}

fn expect(simulation: &Simulation, words: &[&str]) -> Result<(), StepError> {
    let (found, wanted) = match *words {
        ["said", key, wanted] => (simulation.last_reply(key).to_owned(), wanted),
        ["phase", key, wanted] => (simulation.phase(key), wanted),
        ["runs", key, wanted] => (simulation.runs_count(key).to_string(), wanted),
        ["running", worker, wanted] => {
            (simulation.running_count(index(worker)).to_string(), wanted)
        }
        ["held-starts", daemon, wanted] => (
            simulation.held_starts_count(index(daemon)).to_string(),
            wanted,
        ),
        ["batches", wanted] => (simulation.batches_count().to_string(), wanted),
        _ => return Err(StepError("no such outcome".to_owned())),
    };
    ospreywing_filetest::expect(&found, wanted)
}
