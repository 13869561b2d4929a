//! The command `replay`.

use crate::input::{read_table, read_text};
use crate::print::{columns, print, Format};
use crate::CliError;
use clap::ArgMatches;
use ospreywing_replay::{replay_first_fit, replay_trace, Quantiles, ReplayReport, Trace};
use serde::Serialize;

/// One replay with the name of its table or policy.
#[derive(Clone, Debug, Serialize)]
struct LabelledReport {
    under: String,
    #[serde(flatten)]
    report: ReplayReport,
}

/// Replays a trace under one or two tables and, on request, under the baseline.
pub(crate) fn run(format: Format, matches: &ArgMatches) -> Result<(), CliError> {
    let path = |name: &str| matches.get_one::<String>(name).cloned();
    let trace_path = path("trace").unwrap_or_default();
    let trace = Trace::parse(&read_text(&trace_path)?)
        .map_err(|error| CliError::Usage(format!("{trace_path}: {error}")))?;
    let mut reports = Vec::new();
    for table_path in [path("table"), path("other-table")].into_iter().flatten() {
        let table = read_table(&table_path)?;
        reports.push(LabelledReport {
            under: table_path,
            report: replay_trace(&trace, &table),
        });
    }
    if matches.get_flag("baseline") {
        reports.push(LabelledReport {
            under: "first fit".to_owned(),
            report: replay_first_fit(&trace),
        });
    }
    match (format, reports.as_slice()) {
        (Format::Json, [one]) => print(format, one, String::new),
        _ => print(format, &reports, || to_text(&reports)),
    }
    Ok(())
}

fn quantiles(quantiles: &Quantiles) -> String {
    let Quantiles { p50, p99, max } = quantiles;
    format!("{p50:.0} / {p99:.0} / {max:.0}")
}

fn to_text(reports: &[LabelledReport]) -> String {
    let mut heading = vec!["MEASURE"];
    heading.extend(reports.iter().map(|labelled| labelled.under.as_str()));
    let line = |name: &str, cell: &dyn Fn(&ReplayReport) -> String| {
        let mut line = vec![name.to_owned()];
        line.extend(reports.iter().map(|labelled| cell(&labelled.report)));
        line
    };
    let mut lines = vec![
        line("tasks", &|r| r.tasks.to_string()),
        line("refused / lost / run twice", &|r| {
            format!("{} / {} / {}", r.refused, r.lost, r.run_twice)
        }),
        line("overcommits", &|r| r.overcommits.to_string()),
        line("restarted", &|r| r.restarted.to_string()),
        line("wait ms p50 / p99 / max", &|r| quantiles(&r.wait_ms)),
        line("cores in use", &|r| format!("{:.3}", r.packing_ratio)),
        line("  at most, were tasks divisible", &|r| {
            format!("{:.3}", r.packing_bound_ratio)
        }),
        line("memory in use", &|r| format!("{:.3}", r.packing.memory)),
        line("accelerators in use", &|r| {
            format!("{:.3}", r.packing.accelerators)
        }),
        line("decisions a second of deciding", &|r| {
            format!("{:.0}", r.decisions_per_s)
        }),
        line("decision us p50 / p99", &|r| {
            format!("{:.1} / {:.1}", r.decision_us.p50, r.decision_us.p99)
        }),
        line("commits a second", &|r| {
            format!("{:.1}", r.store_calls_per_s)
        }),
        line("bytes committed a start", &|r| {
            format!("{:.0}", r.store_bytes_per_start)
        }),
    ];
    let rows = reports.first().map(|labelled| &labelled.report.wait_by_row);
    for row in rows.into_iter().flatten() {
        lines.push(line(&format!("wait ms of {}", row.row), &|r| {
            let same = r.wait_by_row.iter().find(|other| other.row == row.row);
            same.map_or(String::new(), |same| quantiles(&same.wait_ms))
        }));
    }
    columns(&heading, &lines)
}
