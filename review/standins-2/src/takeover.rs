//! Many scheduled jobs whose first time is far off, the loss of the leader, and small jobs.

use crate::cell::Cell;
use crate::client::Client;
use crate::small_jobs::SmallJobs;
use crate::workers::Fleet;
use crate::{Case, CaseResult, Verdict};
use serde_json::json;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The scheduled jobs: each runs once an hour, for the first time in an hour.
const SCHEDULED_COUNT: u64 = 16_000;
const REPEATS_COUNT: u64 = 24;
const HOUR_MS: u64 = 3_600_000;
/// How many clients hand them in, and the pause of each after each: 400 a second at the most.
const CLIENTS_COUNT: u64 = 40;
const PAUSE: Duration = Duration::from_millis(100);
/// The small jobs before and after the leader is lost.
const BEFORE_COUNT: usize = 6;
const AFTER_COUNT: usize = 40;
/// How long the leader's process is down.
const DOWN: Duration = Duration::from_millis(3000);

/// Runs the case.
pub async fn run(case: Case) -> CaseResult {
    let record = case.record.clone();
    let mut cell = Cell::start(&case, 3, Fleet::usual(48)).await?;
    let client = Client::new(&record);
    let fronts = cell.fronts();
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64;
    let mut handing_in = Vec::new();
    for first in 0..CLIENTS_COUNT {
        let (client, fronts) = (client.clone(), fronts.clone());
        handing_in.push(tokio::spawn(async move {
            let body = json!({
                "spec": "200",
                "steps": [{ "count": 1, "cpu": 500, "memMb": 256, "estimateMs": 200 }],
                "repeats": REPEATS_COUNT, "intervalMs": HOUR_MS, "firstRunMs": now_ms + HOUR_MS,
            });
            let nodes: Vec<_> = fronts
                .iter()
                .cycle()
                .skip(first as usize % 3)
                .take(3)
                .copied()
                .collect();
            let mut accepted_count = 0;
            for number in (first..SCHEDULED_COUNT).step_by(CLIENTS_COUNT as usize) {
                let id = format!("{:016x}", 0xc000_0000_0000_0000 + number);
                accepted_count += u64::from(client.submit(&nodes, &id, &body).await);
                tokio::time::sleep(PAUSE).await;
            }
            accepted_count
        }));
    }
    let mut accepted_count = 0;
    for one in handing_in {
        accepted_count += one.await?;
    }
    record.say(&format!(
        "{accepted_count} of {SCHEDULED_COUNT} scheduled jobs accepted"
    ));
    let mut small_jobs = SmallJobs::new(&client, &record, &fronts, 200);
    small_jobs.send(BEFORE_COUNT).await;
    if case.has_trouble {
        let killed = cell.kill_leader().ok_or("nobody leads")?;
        record.say(&format!("node {killed}, which leads, is killed"));
        tokio::time::sleep(DOWN).await;
        cell.restart(killed, &case)?;
        record.say("it is started again");
    } else {
        tokio::time::sleep(DOWN).await;
    }
    small_jobs.send(AFTER_COUNT).await;
    Ok(match small_jobs.judge(&mut cell).await? {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}
