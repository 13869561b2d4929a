//! Minions crash, and an accepted job whose tasks last is shown as failed and runs no more.

use crate::cell::Cell;
use crate::client::Client;
use crate::workers::Fleet;
use crate::{Case, CaseResult, Verdict};
use serde_json::json;
use std::time::Duration;

/// The minions, and how many crash at a time: less than 0.14 of them.
const WORKERS_COUNT: usize = 48;
const CRASHED_COUNT: usize = 6;
/// How long a crashed minion is down.
const DOWN: Duration = Duration::from_millis(3000);
/// How long the tasks work between two crashes, at least.
const WORKED_MS: u64 = 1500;
const WAVES_COUNT: usize = 5;
/// The tasks that last: as many as a job has on the users' sheet.
const WATCH_COUNT: usize = 6;
const ID: &str = "5c0e7a21d94b36f8";
/// The time for which the case looks on.
const STEP: Duration = Duration::from_millis(500);
const STEPS_COUNT: usize = 120;

/// Runs the case.
pub async fn run(case: Case) -> CaseResult {
    let record = case.record.clone();
    let mut cell = Cell::start(&case, 3, Fleet::usual(WORKERS_COUNT)).await?;
    let client = Client::new(&record);
    let fronts = cell.fronts();
    let body = json!({
        "spec": "1000000",
        "steps": [{
            "count": WATCH_COUNT, "cpu": 8100, "memMb": 17000, "estimateMs": 500,
            "perpetual": true,
        }],
    });
    if !client.submit(&fronts, ID, &body).await {
        return Err("the job was not accepted".into());
    }
    let mut waves_count = 0;
    let mut last_state = None;
    for _ in 0..STEPS_COUNT {
        tokio::time::sleep(STEP).await;
        let running = cell.workers.worker_of(ID);
        let began_ms = cell.workers.seen(ID).last().map(|seen| seen.at_ms);
        let has_worked = began_ms.is_some_and(|at_ms| record.now_ms() >= at_ms + WORKED_MS);
        if let Some(worker) = running.filter(|_| has_worked && waves_count < WAVES_COUNT) {
            waves_count += 1;
            if case.has_trouble {
                let text =
                    format!("crash {waves_count}: {CRASHED_COUNT} of {WORKERS_COUNT} minions");
                record.say(&text);
                for offset in 0..CRASHED_COUNT {
                    let rack_offset = offset * 8;
                    cell.workers
                        .crash((worker + rack_offset) % WORKERS_COUNT, DOWN);
                }
            }
        }
        let state = client.state(&fronts, ID).await;
        if state != last_state {
            record.say(&format!("the job shows as {state:?}"));
            last_state.clone_from(&state);
        }
    }
    let seen = cell.workers.seen(ID);
    let count = |how: &str| seen.iter().filter(|seen| seen.how == Some(how)).count();
    let running_count = seen.iter().filter(|seen| seen.how.is_none()).count();
    record.say(&format!(
        "{} runs: {} failed, {} lost with their minion, {running_count} at work; last state \
         {last_state:?}; nodes that ended: {:?}",
        seen.len(),
        count("failed"),
        count("crashed"),
        cell.ended()
    ));
    let is_failed = last_state.as_deref() == Some("failed");
    Ok(if is_failed && count("failed") == 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
