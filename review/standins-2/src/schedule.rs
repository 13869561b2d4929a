//! A scheduled job whose first times lie in the past, beside small jobs.

use crate::cell::Cell;
use crate::client::Client;
use crate::small_jobs::SmallJobs;
use crate::workers::Fleet;
use crate::{Case, CaseResult, Verdict};
use serde_json::json;
use std::time::{SystemTime, UNIX_EPOCH};

/// The small jobs before and after the scheduled one.
const BEFORE_COUNT: usize = 10;
const AFTER_COUNT: usize = 50;
/// The scheduled job: once a minute, from 30 days ago until now.
const INTERVAL_MS: u64 = 60_000;
const ROUNDS_COUNT: u64 = 43_200;
/// Without the disruption: from half an hour ago.
const FEW_ROUNDS_COUNT: u64 = 30;

/// Runs the case.
pub async fn run(case: Case) -> CaseResult {
    let record = case.record.clone();
    let mut cell = Cell::start(&case, 3, Fleet::usual(12)).await?;
    let client = Client::new(&record);
    let fronts = cell.fronts();
    let mut small_jobs = SmallJobs::new(&client, &record, &fronts, 200);
    small_jobs.send(BEFORE_COUNT).await;
    let rounds_count = match case.has_trouble {
        true => ROUNDS_COUNT,
        false => FEW_ROUNDS_COUNT,
    };
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64;
    let body = json!({
        "spec": "100",
        "steps": [{ "count": 1, "cpu": 100, "memMb": 64, "estimateMs": 100 }],
        "repeats": rounds_count, "intervalMs": INTERVAL_MS,
        "firstRunMs": now_ms - rounds_count * INTERVAL_MS,
    });
    let is_accepted = client.submit(&fronts, "5c0e7a21d94b36f8", &body).await;
    record.say(&format!(
        "scheduled job of {rounds_count} times: accepted {is_accepted}"
    ));
    small_jobs.send(AFTER_COUNT).await;
    Ok(match small_jobs.judge(&mut cell).await? {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}
