//! A gang that can never be placed whole, beside usual jobs of the same service.

use crate::cell::Cell;
use crate::client::{Client, ADVISED_PREFIX};
use crate::small_jobs::SmallJobs;
use crate::workers::Fleet;
use crate::{Case, CaseResult, Verdict};
use serde_json::json;

/// The minions of the service, and those of another one.
const FLEET: Fleet = Fleet {
    usual_count: 13,
    scarce_count: 0,
    other_count: 35,
};
/// The members of the gang. Two fit on each minion, so 27 never do.
const HOPELESS_COUNT: usize = 27;
/// Without the disruption.
const FITTING_COUNT: usize = 4;
const MEMBER_CPU: u64 = 30_000;
const GANG_WORK_MS: u64 = 5_000;
/// The usual jobs, before and after the gang, and their work.
const BEFORE_COUNT: usize = 10;
const AFTER_COUNT: usize = 60;
const WORK_MS: u64 = 4_000;

/// Runs the case.
pub async fn run(case: Case) -> CaseResult {
    let record = case.record.clone();
    let mut cell = Cell::start(&case, 3, FLEET).await?;
    let client = Client::new(&record);
    let fronts = cell.fronts();
    let mut small_jobs = SmallJobs::new(&client, &record, &fronts, WORK_MS);
    small_jobs.send(BEFORE_COUNT).await;
    let count = match case.has_trouble {
        true => HOPELESS_COUNT,
        false => FITTING_COUNT,
    };
    let body = json!({
        "spec": format!("gang {count} {GANG_WORK_MS}"),
        "steps": [{
            "count": count, "cpu": MEMBER_CPU, "memMb": 26000, "estimateMs": GANG_WORK_MS,
            "gang": true,
        }],
    });
    let id = "5c0e7a21d94b36f8";
    let is_accepted = client.submit_to(&fronts, ADVISED_PREFIX, id, &body).await;
    record.say(&format!("gang of {count} members: accepted {is_accepted}"));
    small_jobs.send(AFTER_COUNT).await;
    record.say(&format!("{} runs of the gang", cell.workers.seen(id).len()));
    Ok(match small_jobs.judge(&mut cell).await? {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}
