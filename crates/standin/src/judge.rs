//! Checks the records for work that ran twice and for overcommitted boxes.

use crate::record::{MinionRecord, Run, WorkerRecord};
use http::Method;
use ospreywing_clock as clock;
use ospreywing_http::{Call, HttpClient, HttpError};
use ospreywing_types::TaskId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// The findings from the records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Judgement {
    /// The number of task runs.
    pub task_runs_count: u64,
    /// The number of task runs that finished.
    pub task_runs_finished_count: u64,
    /// Tasks with overlapping runs or more than one finished run.
    pub tasks_run_twice: u64,
    /// The names of these tasks.
    pub tasks_at_fault: Vec<String>,
    /// Starts and requests that exceeded the capacity of a box.
    pub overcommits: u64,
    /// The number of requests that minions ran.
    pub request_runs_count: u64,
    /// Keys that are unsafe to repeat and ran more than once.
    pub unsafe_run_twice: u64,
    /// The maximum number of concurrent requests on one minion.
    pub peak_slots_count: u64,
}

/// Identifies a task among all shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TaskKey {
    shard: u32,
    task: TaskId,
}

/// Checks the records of workers and minions.
///
/// Keys that start with `repeatable-` are safe to repeat and may run more than once.
pub fn judge(workers: &[WorkerRecord], minions: &[MinionRecord]) -> Judgement {
    let mut judgement = Judgement::default();
    let mut tasks: BTreeMap<TaskKey, Vec<&Run>> = BTreeMap::new();
    for run in workers.iter().flat_map(|record| &record.runs) {
        let key = TaskKey {
            shard: run.attempt.shard,
            task: run.attempt.task,
        };
        tasks.entry(key).or_default().push(run);
        judgement.task_runs_count += 1;
        judgement.task_runs_finished_count += u64::from(run.is_finished);
    }
    for (key, runs) in &mut tasks {
        runs.sort_by_key(|run| run.began_at_ms);
        let finished_count = runs.iter().filter(|run| run.is_finished).count();
        if finished_count > 1 || has_overlap(runs) {
            judgement.tasks_run_twice += 1;
            let name = format!("shard{}/{}", key.shard, key.task);
            judgement.tasks_at_fault.push(name);
        }
    }
    for record in workers {
        judgement.overcommits += record.overcommits_count;
    }
    for record in minions {
        judgement.overcommits += record.overcommits_count;
        judgement.request_runs_count += record.runs_count;
        judgement.peak_slots_count = judgement.peak_slots_count.max(record.peak_slots_count);
        let twice = record
            .keys
            .iter()
            .filter(|key| key.runs_count > 1 && !key.key.starts_with("repeatable-"));
        judgement.unsafe_run_twice += twice.count() as u64;
    }
    judgement
}

/// Returns whether any two runs overlap. The runs must be sorted by start time.
fn has_overlap(runs: &[&Run]) -> bool {
    let now = clock::now().as_ms();
    let mut latest_end_ms = 0;
    for run in runs {
        if run.began_at_ms < latest_end_ms {
            return true;
        }
        latest_end_ms = latest_end_ms.max(run.ended_at_ms.unwrap_or(now));
    }
    false
}

/// Fetches the records from the hosts' admin endpoints and checks them.
///
/// # Errors
///
/// Returns an error if a host does not answer or its record can't be parsed.
pub async fn fetch(workers: &[String], minions: &[String]) -> Result<Judgement, HttpError> {
    let http = HttpClient::new(1);
    let limit = Duration::from_secs(10);
    let mut worker_records = Vec::new();
    for addr in workers {
        let call = Call::new(Method::GET, addr, "/admin/record", limit);
        worker_records.push(http.call(call).await?.json()?);
    }
    let mut minion_records = Vec::new();
    for addr in minions {
        let call = Call::new(Method::GET, addr, "/admin/record", limit);
        minion_records.push(http.call(call).await?.json()?);
    }
    Ok(judge(&worker_records, &minion_records))
}
