//! The commands `boxes`, `status` and `report burn`.

use crate::client::Daemons;
use crate::print::{columns, print, Format};
use crate::CliError;
use ospreywing_node::{BoxReport, CellReport};
use ospreywing_routing::{BurnReport, Window};
use serde::Serialize;
use std::collections::BTreeMap;

/// Runs `boxes`: lists the boxes and whether they are connected.
pub(crate) async fn boxes(daemons: &Daemons, format: Format) -> Result<(), CliError> {
    let parts: Vec<Vec<BoxReport>> = daemons.get_all("/v1/boxes").await;
    let mut merged: BTreeMap<String, BoxReport> = BTreeMap::new();
    for found in parts.into_iter().flatten() {
        let name = found.facts.name.to_string();
        let known = merged.entry(name).or_insert_with(|| found.clone());
        // Only the owner of a worker's shard knows whether it is connected.
        known.is_connected = known.is_connected.or(found.is_connected);
    }
    let boxes: Vec<BoxReport> = merged.into_values().collect();
    print(format, &boxes, || {
        let lines: Vec<Vec<String>> = boxes.iter().map(box_line).collect();
        let heading = ["BOX", "DATA CENTRE", "RACK", "STATE", "CONNECTED", "HOLDS"];
        columns(&heading, &lines)
    });
    Ok(())
}

fn box_line(report: &BoxReport) -> Vec<String> {
    let connected = match report.is_connected {
        Some(true) => "yes",
        Some(false) => "no",
        None => "not known",
    };
    vec![
        report.facts.name.to_string(),
        report.facts.data_centre.to_string(),
        report.facts.rack.to_string(),
        format!("{:?}", report.facts.state).to_lowercase(),
        connected.to_owned(),
        report.facts.resources.to_string(),
    ]
}

/// Runs `status`: prints the cell as each daemon sees it.
pub(crate) async fn status(daemons: &Daemons, format: Format) -> Result<(), CliError> {
    let reports: Vec<CellReport> = daemons.get_all("/v1/status").await;
    if reports.is_empty() {
        // Returns the error that explains why no daemon answered.
        let _: CellReport = daemons.get("/v1/status").await?;
    }
    print(format, &reports, || {
        let texts: Vec<String> = reports.iter().map(status_text).collect();
        texts.join("\n\n")
    });
    Ok(())
}

fn status_text(report: &CellReport) -> String {
    let head = format!(
        "{}: {}, table {} known by {}; requests: {} open, {} done, {} not run, {} unknown",
        report.name,
        if report.is_ready {
            "ready"
        } else {
            "not ready"
        },
        report.table_revision,
        report.freshness,
        report.requests_open_count,
        report.requests_done_count,
        report.requests_not_run_count,
        report.requests_unknown_count,
    );
    let members: Vec<Vec<String>> = report
        .members
        .iter()
        .map(|member| {
            vec![
                member.name.clone(),
                member.state.clone(),
                format!("{:?}", member.seats),
                format!("{:?}", member.shards),
                member.table_revision.to_string(),
            ]
        })
        .collect();
    let shards: Vec<Vec<String>> = report
        .shards
        .iter()
        .map(|shard| {
            vec![
                shard.shard.to_string(),
                shard.epoch.to_string(),
                shard.workers_count.to_string(),
                shard.waiting_count.to_string(),
                shard.started_count.to_string(),
                shard.requeued_count.to_string(),
                shard.open_epochs_count.to_string(),
                shard.log_bytes.to_string(),
            ]
        })
        .collect();
    let members = columns(&["DAEMON", "STATE", "SEATS", "SHARDS", "TABLE"], &members);
    let shards_heading = [
        "SHARD",
        "EPOCH",
        "WORKERS",
        "WAITING",
        "STARTED",
        "REQUEUED",
        "OPEN EPOCHS",
        "LOG BYTES",
    ];
    format!("{head}\n{members}\n{}", columns(&shards_heading, &shards))
}

/// One row of the burn report, summed over all daemons.
#[derive(Clone, Debug, Serialize)]
struct BurnLine {
    row: String,
    objective_permille: u32,
    deadline_ms: u64,
    met_permille: u64,
    budget_left_permille: i64,
    burn_short: f64,
    burn_long: f64,
    requests_count: u64,
    advice: &'static str,
}

/// Burn rate that, in the short window, would use up a month's error budget within days.
const FAST_BURN_RATE: f64 = 14.0;
/// Burn rate above which the error budget is used faster than it is replenished.
const SLOW_BURN_RATE: f64 = 1.0;

/// Runs `report burn`: prints how fast each service row uses its error budget.
pub(crate) async fn burn(daemons: &Daemons, format: Format) -> Result<(), CliError> {
    let parts: Vec<Vec<BurnReport>> = daemons.get_all("/v1/burn").await;
    if parts.is_empty() {
        let _: Vec<BurnReport> = daemons.get("/v1/burn").await?;
    }
    let mut merged: BTreeMap<String, BurnReport> = BTreeMap::new();
    for part in parts.into_iter().flatten() {
        match merged.get_mut(&part.row) {
            Some(sum) => {
                add_window(&mut sum.short, part.short);
                add_window(&mut sum.long, part.long);
            }
            None => {
                merged.insert(part.row.clone(), part);
            }
        }
    }
    let lines: Vec<BurnLine> = merged.values().map(burn_line).collect();
    print(format, &lines, || burn_text(&lines));
    Ok(())
}

fn add_window(sum: &mut Window, part: Window) {
    sum.total_count += part.total_count;
    sum.good_count += part.good_count;
}

fn burn_line(report: &BurnReport) -> BurnLine {
    let objective = report.objective_permille;
    let burn_short = report.short.burn_rate(objective);
    let burn_long = report.long.burn_rate(objective);
    let total = report.long.total_count.max(1);
    let good = if report.long.total_count == 0 {
        1
    } else {
        report.long.good_count
    };
    BurnLine {
        row: report.row.clone(),
        objective_permille: objective,
        deadline_ms: report.deadline_ms,
        met_permille: good * 1000 / total,
        budget_left_permille: ((1.0 - burn_long) * 1000.0) as i64,
        burn_short,
        burn_long,
        requests_count: report.long.total_count,
        advice: advice(burn_short, burn_long),
    }
}

fn advice(burn_short: f64, burn_long: f64) -> &'static str {
    if burn_short >= FAST_BURN_RATE && burn_long >= FAST_BURN_RATE {
        "act now: add minions, raise the row's priority or cap its neighbours"
    } else if burn_short >= FAST_BURN_RATE {
        "just began: look at `ospreywing status` and the minions of the row"
    } else if burn_long >= SLOW_BURN_RATE {
        "too slow a leak to wake for: raise the row's share or its deadline"
    } else {
        "nothing to do"
    }
}

const BAR_WIDTH: usize = 20;

fn bar(budget_left_permille: i64) -> String {
    let left = budget_left_permille.clamp(0, 1000) as usize;
    let filled = left * BAR_WIDTH / 1000;
    format!("[{}{}]", "#".repeat(filled), ".".repeat(BAR_WIDTH - filled))
}

fn burn_text(lines: &[BurnLine]) -> String {
    let cells: Vec<Vec<String>> = lines
        .iter()
        .map(|line| {
            vec![
                line.row.clone(),
                format!(
                    "{:.1}% in {}ms",
                    f64::from(line.objective_permille) / 10.0,
                    line.deadline_ms
                ),
                format!("{:.1}%", line.met_permille as f64 / 10.0),
                bar(line.budget_left_permille),
                format!("{:.1}", line.burn_short),
                format!("{:.1}", line.burn_long),
                line.requests_count.to_string(),
                line.advice.to_owned(),
            ]
        })
        .collect();
    let heading = [
        "ROW",
        "OBJECTIVE",
        "MET",
        "BUDGET LEFT",
        "BURN 5M",
        "BURN 1H",
        "REQUESTS",
        "ADVICE",
    ];
    columns(&heading, &cells)
}
