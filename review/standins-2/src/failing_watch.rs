//! A lasting job whose tasks fail soon after each start, beside small jobs.

use crate::cell::Cell;
use crate::client::Client;
use crate::small_jobs::SmallJobs;
use crate::workers::Fleet;
use crate::{Case, CaseResult, Verdict};
use serde_json::json;

/// The minions: as many as a service of the users' sheet has.
const WORKERS_COUNT: usize = 13;
/// The tasks that last: as many as a job has on the users' sheet.
const WATCH_COUNT: usize = 6;
/// The small jobs before and after the lasting one.
const BEFORE_COUNT: usize = 10;
const AFTER_COUNT: usize = 70;

/// Runs the case.
pub async fn run(case: Case) -> CaseResult {
    let record = case.record.clone();
    let mut cell = Cell::start(&case, 3, Fleet::usual(WORKERS_COUNT)).await?;
    let client = Client::new(&record);
    let fronts = cell.fronts();
    let mut small_jobs = SmallJobs::new(&client, &record, &fronts, 200);
    small_jobs.send(BEFORE_COUNT).await;
    // Without the disruption its tasks work on.
    let spec = match case.has_trouble {
        true => "fail 300",
        false => "1000000",
    };
    let body = json!({
        "spec": spec,
        "steps": [{
            "count": WATCH_COUNT, "cpu": 1000, "memMb": 512, "estimateMs": 500,
            "perpetual": true,
        }],
    });
    let is_accepted = client.submit(&fronts, "5c0e7a21d94b36f8", &body).await;
    record.say(&format!(
        "lasting job of {WATCH_COUNT} tasks: accepted {is_accepted}"
    ));
    small_jobs.send(AFTER_COUNT).await;
    let seen = cell.workers.seen("5c0e7a21d94b36f8");
    record.say(&format!("{} runs of the lasting job", seen.len()));
    Ok(match small_jobs.judge(&mut cell).await? {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}
