//! A burst of urgent jobs that need the few minions of one kind, beside usual jobs that may run
//! on any minion.

use crate::cell::Cell;
use crate::client::{Client, URGENT_PREFIX};
use crate::small_jobs::SmallJobs;
use crate::workers::Fleet;
use crate::{Case, CaseResult, Verdict};
use serde_json::json;
use std::time::Duration;

/// The minions, and those of the scarce kind.
const FLEET: Fleet = Fleet {
    usual_count: 44,
    scarce_count: SCARCE_COUNT,
    other_count: 0,
};
const SCARCE_COUNT: usize = 4;
/// The small jobs before, while and after the burst comes.
const BEFORE_COUNT: usize = 10;
const AFTER_COUNT: usize = 70;
/// The burst: 2.2 times 48.3 jobs a second for 4 s, the largest of the users' sheet.
const BURST_COUNT: u64 = 424;
const BURST: Duration = Duration::from_millis(4000);
/// Without the disruption.
const FEW_COUNT: u64 = 42;
/// Each has two steps of one task; their work is among the longest of the sheet.
const WORK_MS: u64 = 16_000;
/// The rough guess of it.
const ESTIMATE_MS: u64 = 6_000;

/// Runs the case.
pub async fn run(case: Case) -> CaseResult {
    let record = case.record.clone();
    let mut cell = Cell::start(&case, 3, FLEET).await?;
    let client = Client::new(&record);
    let fronts = cell.fronts();
    let mut small_jobs = SmallJobs::new(&client, &record, &fronts, 200);
    small_jobs.send(BEFORE_COUNT).await;
    let count = match case.has_trouble {
        true => BURST_COUNT,
        false => FEW_COUNT,
    };
    let burst = {
        let (client, fronts, record) = (client.clone(), fronts.clone(), record.clone());
        tokio::spawn(async move {
            let mut submitted = Vec::new();
            for number in 0..count {
                let (client, fronts) = (client.clone(), fronts.clone());
                submitted.push(tokio::spawn(async move {
                    let step = json!({
                        "count": 1, "cpu": 18000, "memMb": 26000, "estimateMs": ESTIMATE_MS,
                        "requires": "b",
                    });
                    let body = json!({ "spec": WORK_MS.to_string(), "steps": [step, step] });
                    let id = format!("{:016x}", 0xb000_0000_0000_0000 + number);
                    let first = number as usize % fronts.len();
                    let nodes: Vec<_> =
                        fronts.iter().cycle().skip(first).take(3).copied().collect();
                    client.submit_to(&nodes, URGENT_PREFIX, &id, &body).await
                }));
                tokio::time::sleep(BURST / count as u32).await;
            }
            let mut accepted_count = 0;
            for one in submitted {
                accepted_count += usize::from(one.await.unwrap_or(false));
            }
            record.say(&format!("urgent jobs for {SCARCE_COUNT} minions of kind b: {accepted_count} of {count} accepted"));
        })
    };
    small_jobs.send(AFTER_COUNT).await;
    burst.await?;
    record.say(&format!(
        "{} runs at the minions",
        cell.workers.runs_count()
    ));
    Ok(match small_jobs.judge(&mut cell).await? {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}
