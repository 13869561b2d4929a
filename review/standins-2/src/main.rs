//! The cases of `review/4` to `review/8` that are scripts: starts the project's nodes, plays
//! clients, minions and the platform around them, and judges what these saw.

#![recursion_limit = "256"]

mod cell;
mod client;
mod failing_watch;
mod hopeless_gang;
mod node;
mod record;
mod scarce;
mod schedule;
mod small_jobs;
mod takeover;
mod workers;

use std::path::PathBuf;
use std::process::ExitCode;

/// The store's `value_bytes`.
pub const VALUE_BYTES: usize = 1_048_576;

/// The longest time that a case may take.
const TIME_LIMIT: std::time::Duration = std::time::Duration::from_secs(112);

/// The result of a case.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// The arguments of a case.
pub struct Case {
    /// Whether the disruption takes place.
    pub has_trouble: bool,
    /// The node's program.
    pub binary: PathBuf,
    /// A folder for the nodes' settings and logs.
    pub dir: PathBuf,
    /// The record.
    pub record: record::Record,
}

type CaseResult = Result<Verdict, Box<dyn std::error::Error>>;

async fn stop_signal() {
    use tokio::signal::unix::{signal, SignalKind};
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    );
    let (Ok(mut terminate), Ok(mut interrupt)) = signals else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, binary, dir, record] = arguments.as_slice() else {
        eprintln!("usage: CASE NODE-PROGRAM FOLDER RECORD");
        return ExitCode::from(2);
    };
    let record = match record::Record::create(&PathBuf::from(record)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("the record can't be written: {error}");
            return ExitCode::from(2);
        }
    };
    let case = Case {
        has_trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
        binary: binary.into(),
        dir: dir.into(),
        record: record.clone(),
    };
    record.say(&format!("case {name}, trouble {}", case.has_trouble));
    let played = async {
        match name.as_str() {
            "failing-watch" => failing_watch::run(case).await,
            "hopeless-gang" => hopeless_gang::run(case).await,
            "takeover" => takeover::run(case).await,
            "scarce" => scarce::run(case).await,
            "schedule" => schedule::run(case).await,
            _ => Err("no such case".into()),
        }
    };
    // The nodes end with the case, whatever ends it.
    let result = tokio::select! {
        result = played => result,
        () = tokio::time::sleep(TIME_LIMIT) => Err("it took too long".into()),
        () = stop_signal() => Err("it was stopped".into()),
    };
    match result {
        Ok(Verdict::Held) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.say(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
