//! A route is removed while a job of its queue runs. Is a task started again after as many of
//! its runs have ended `failed` as the queue's `maxAttempts` allows?
//!
//! Usage: attempts RECORD FOLDER; the variable TROUBLE=0 leaves the change out. Ends with 1 if
//! the rule was broken, 0 if it held, 2 if the case could not run.

use review_standins::cell::{configuration, route, Cell};
use review_standins::minion::What;
use review_standins::record::Record;
use serde_json::json;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

const MAX_ATTEMPTS: usize = 1;
const JOBS_COUNT: u64 = 6;

#[tokio::main]
async fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(record), Some(dir)) = (args.next(), args.next()) else {
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(&record) else {
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let kept = route("previews", "/previews/", 0, 3);
    let removed = route("bundles", "/bundles/", 1, MAX_ATTEMPTS as u32);
    let first = configuration(3, &[kept.clone(), removed]);
    let started = Cell::start(Path::new(&dir), &record, 8, (16_000, 64_000), 3, &first).await;
    let Some(cell) = started else {
        record.line("the nodes were not ready in time");
        return ExitCode::from(2);
    };
    let mut jobs = Vec::new();
    for index in 0..JOBS_COUNT {
        let id = format!("{:016x}", 0xb0d1_0000_0000_0000 + index * 0x1_0001);
        let body = json!({
            "spec": json!({ "work": 4000, "fails": true }).to_string(),
            "steps": [{ "count": 1, "cpu": 2000, "memMb": 2000, "estimateMs": 4000 }],
        });
        let path = format!("/bundles/{id}");
        let body = body.to_string();
        let answer = cell.call(index as usize % 3, "POST", &path, &body).await;
        if !matches!(answer, Some((200, _))) {
            record.line("a job was not accepted");
            return ExitCode::from(2);
        }
        jobs.push(id);
    }
    tokio::time::sleep(Duration::from_millis(1000)).await;
    let pending = cell.call(0, "GET", "/bundles/", "").await;
    if has_trouble {
        record.line(&format!(
            "operator: pending is {pending:?}; version 7 removes the route"
        ));
        cell.store.write("op/config", &configuration(7, &[kept]));
    }
    tokio::time::sleep(Duration::from_millis(20_000)).await;
    check(&cell, &jobs)
}

/// BUDGET: a task starts after `maxAttempts` of its runs have ended `failed`, and these ends
/// are taken note of.
fn check(cell: &Cell, jobs: &[String]) -> ExitCode {
    let mut broken_count = 0;
    for id in jobs {
        let events = cell.history.of_job(id);
        let is_noted = |run: u64| {
            let mut events = events.iter();
            events.any(|event| event.run == run && event.what == What::Noted("failed"))
        };
        for (index, start) in events.iter().enumerate() {
            if start.what != What::Began {
                continue;
            }
            let earlier = events[..index].iter();
            let failed = earlier.filter(|it| it.what == What::Ended("failed") && is_noted(it.run));
            let failed_count = failed.count();
            if failed_count >= MAX_ATTEMPTS {
                broken_count += 1;
                cell.record.line(&format!(
                    "BUDGET: {} run {} began at {} ms, after {failed_count} of its runs had \
                     ended `failed`; maxAttempts is {MAX_ATTEMPTS}",
                    start.task, start.run, start.at_ms
                ));
            }
        }
    }
    cell.record.line(&format!(
        "{} jobs; BUDGET broken by {broken_count} starts",
        jobs.len()
    ));
    ExitCode::from(u8::from(broken_count > 0))
}
