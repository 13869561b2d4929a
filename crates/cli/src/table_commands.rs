//! The command `table` with its subcommands.

use crate::client::{parse_answer, refusal_error, Daemons};
use crate::input::read_table;
use crate::print::{columns, print, Format};
use crate::CliError;
use clap::ArgMatches;
use http::{Method, StatusCode};
use ospreywing_http::Answer;
use ospreywing_table::{differences, to_csv, CellChange, Column, Row, RowKind, Table, COLUMNS};
use ospreywing_types::Name;
use serde::{Deserialize, Serialize};

/// A row and the revision that an edit of it must name.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct VersionedRow {
    row: Option<Row>,
    revision: u64,
}

/// The response to an accepted edit.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Accepted {
    revision: u64,
    is_in_force: bool,
    lagging: Vec<Name>,
}

/// The response to an edit that was refused because another edit came first.
#[derive(Clone, Debug, Deserialize)]
struct Conflict {
    reason: String,
    changes: Vec<CellChange>,
}

/// One edit in the history of a row.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct HistoryEntry {
    unix_s: u64,
    daemon: Name,
    changes: Vec<CellChange>,
}

/// The result of `apply`.
#[derive(Clone, Debug, Serialize)]
struct Applied {
    changes: Vec<CellChange>,
    is_written: bool,
    is_in_force: bool,
    lagging: Vec<Name>,
}

/// Runs `table`.
pub(crate) async fn run(
    daemons: &Daemons,
    format: Format,
    matches: &ArgMatches,
) -> Result<(), CliError> {
    match matches.subcommand() {
        Some(("get", matches)) => get(daemons, format, &row_name(matches)?).await,
        Some(("set", matches)) => set(daemons, format, matches).await,
        Some(("export", _)) => export(daemons, format).await,
        Some(("apply", matches)) => apply(daemons, format, matches).await,
        Some(("remove", matches)) => remove(daemons, format, &row_name(matches)?).await,
        Some(("history", matches)) => history(daemons, format, &row_name(matches)?).await,
        _ => {
            explain_columns();
            Ok(())
        }
    }
}

fn row_name(matches: &ArgMatches) -> Result<Name, CliError> {
    let name = matches.get_one::<Name>("row").cloned();
    name.ok_or_else(|| CliError::Usage("row: missing".to_owned()))
}

async fn read_row(daemons: &Daemons, name: &Name) -> Result<VersionedRow, CliError> {
    daemons.get(&format!("/v1/table/rows/{name}")).await
}

async fn get(daemons: &Daemons, format: Format, name: &Name) -> Result<(), CliError> {
    let found = read_row(daemons, name).await?;
    let Some(row) = &found.row else {
        return Err(CliError::Usage(format!("row {name:?} does not exist")));
    };
    print(format, &found, || {
        let cells = COLUMNS.iter().filter(|column| column.is_for(row.kind));
        let lines: Vec<Vec<String>> = cells
            .map(|column| vec![column.name.to_owned(), (column.get)(row)])
            .collect();
        columns(&["COLUMN", "VALUE"], &lines)
    });
    Ok(())
}

async fn set(daemons: &Daemons, format: Format, matches: &ArgMatches) -> Result<(), CliError> {
    let name = row_name(matches)?;
    let text = |arg: &str| matches.get_one::<String>(arg).cloned().unwrap_or_default();
    let (column_name, value) = (text("column"), text("value"));
    let found = read_row(daemons, &name).await?;
    let Some(mut row) = found.row else {
        return Err(CliError::Usage(format!("row {name:?} does not exist")));
    };
    let column = Column::named(&column_name).filter(|column| column.is_for(row.kind));
    let Some(column) = column.filter(|column| !matches!(column.name, "row" | "kind")) else {
        let reason = format!(
            "column {column_name:?} can't be set in a {} row",
            row.kind.as_str()
        );
        return Err(CliError::Usage(reason));
    };
    (column.set)(&mut row, &value)
        .map_err(|error| CliError::Usage(format!("row {name:?}, column {column_name}: {error}")))?;
    let accepted = put_row(daemons, &row, found.revision, true).await?;
    print_accepted(format, &accepted);
    Ok(())
}

async fn put_row(
    daemons: &Daemons,
    row: &Row,
    revision: u64,
    should_wait: bool,
) -> Result<Accepted, CliError> {
    let path = format!("/v1/table/rows/{}{}", row.name, wait_query(should_wait));
    let revision = revision.to_string();
    let answer = daemons
        .call(Method::PUT, &path, |call| {
            call.with_header("if-match", &revision).with_json(row)
        })
        .await?;
    accepted(&answer)
}

async fn delete_row(
    daemons: &Daemons,
    name: &Name,
    revision: u64,
    should_wait: bool,
) -> Result<Accepted, CliError> {
    let path = format!("/v1/table/rows/{name}{}", wait_query(should_wait));
    let revision = revision.to_string();
    let answer = daemons
        .call(Method::DELETE, &path, |call| {
            Ok(call.with_header("if-match", &revision))
        })
        .await?;
    accepted(&answer)
}

const fn wait_query(should_wait: bool) -> &'static str {
    if should_wait {
        ""
    } else {
        "?wait=no"
    }
}

fn accepted(answer: &Answer) -> Result<Accepted, CliError> {
    if answer.status != StatusCode::CONFLICT {
        return parse_answer(answer);
    }
    let Ok(conflict) = answer.json::<Conflict>() else {
        return Err(refusal_error(answer));
    };
    let lines = conflict
        .changes
        .iter()
        .map(|change| format!("\n  {change}"));
    let differs: String = lines.collect();
    let reason = format!(
        "{}; differences from the current row to yours:{differs}",
        conflict.reason
    );
    Err(CliError::Conflict(reason))
}

fn print_accepted(format: Format, accepted: &Accepted) {
    print(format, accepted, || {
        in_force_text(accepted.is_in_force, &accepted.lagging)
    });
}

fn in_force_text(is_in_force: bool, lagging: &[Name]) -> String {
    if is_in_force {
        return "in force everywhere".to_owned();
    }
    let names: Vec<&str> = lagging.iter().map(Name::as_str).collect();
    format!(
        "written; not confirmed to be in force at: {}",
        names.join(", ")
    )
}

async fn export(daemons: &Daemons, format: Format) -> Result<(), CliError> {
    let table: Table = daemons.get("/v1/table").await?;
    print(format, &table, || to_csv(&table));
    Ok(())
}

async fn apply(daemons: &Daemons, format: Format, matches: &ArgMatches) -> Result<(), CliError> {
    let path = matches.get_one::<String>("file").cloned();
    let path = path.unwrap_or_default();
    let desired = read_table(&path)?;
    let current: Table = daemons.get("/v1/table").await?;
    let target = target(&current, &desired, matches.get_flag("prune"));
    let mut applied = Applied {
        changes: differences(&current, &target),
        is_written: false,
        is_in_force: true,
        lagging: Vec::new(),
    };
    if format == Format::Text {
        applied
            .changes
            .iter()
            .for_each(|change| println!("{change}"));
    }
    if !matches.get_flag("dry-run") {
        write(daemons, &current, &target, &mut applied).await?;
    }
    print(format, &applied, || {
        if applied.is_written {
            in_force_text(applied.is_in_force, &applied.lagging)
        } else if applied.changes.is_empty() {
            "no differences".to_owned()
        } else {
            "not written".to_owned()
        }
    });
    Ok(())
}

/// Returns the table after `apply`: the rows of `desired`, and without `should_prune` also
/// the other rows of `current`.
fn target(current: &Table, desired: &Table, should_prune: bool) -> Table {
    let mut target = Table::new();
    if !should_prune {
        current.rows().for_each(|row| target.put(row.clone()));
    }
    desired.rows().for_each(|row| target.put(row.clone()));
    target
}

/// Returns the position of a row in the write order. Teams are written before the workloads
/// that reference them, and removed after them.
fn write_order(row: &Row) -> u8 {
    match row.kind {
        RowKind::Cell => 0,
        RowKind::Team => 1,
        RowKind::Service | RowKind::Batch => 2,
    }
}

async fn write(
    daemons: &Daemons,
    current: &Table,
    target: &Table,
    applied: &mut Applied,
) -> Result<(), CliError> {
    let changed = target
        .rows()
        .filter(|row| current.get(&row.name) != Some(row));
    let mut changed: Vec<&Row> = changed.collect();
    changed.sort_by_key(|row| write_order(row));
    let removed = current.rows().filter(|row| target.get(&row.name).is_none());
    let mut removed: Vec<&Row> = removed.collect();
    removed.sort_by_key(|row| core::cmp::Reverse(write_order(row)));
    let last = changed.len() + removed.len();
    for (number, row) in (1..).zip(&changed) {
        let revision = read_row(daemons, &row.name).await?.revision;
        let accepted = put_row(daemons, row, revision, number == last).await?;
        record_accepted(applied, accepted);
    }
    for (number, row) in (changed.len() + 1..).zip(&removed) {
        let revision = read_row(daemons, &row.name).await?.revision;
        let accepted = delete_row(daemons, &row.name, revision, number == last).await?;
        record_accepted(applied, accepted);
    }
    Ok(())
}

fn record_accepted(applied: &mut Applied, accepted: Accepted) {
    applied.is_written = true;
    applied.is_in_force = accepted.is_in_force;
    applied.lagging = accepted.lagging;
}

async fn remove(daemons: &Daemons, format: Format, name: &Name) -> Result<(), CliError> {
    let found = read_row(daemons, name).await?;
    if found.row.is_none() {
        return Err(CliError::Usage(format!("row {name:?} does not exist")));
    }
    let accepted = delete_row(daemons, name, found.revision, true).await?;
    print_accepted(format, &accepted);
    Ok(())
}

async fn history(daemons: &Daemons, format: Format, name: &Name) -> Result<(), CliError> {
    let path = format!("/v1/table/history/{name}");
    let entries: Vec<HistoryEntry> = daemons.get(&path).await?;
    print(format, &entries, || {
        let lines: Vec<Vec<String>> = entries.iter().flat_map(history_lines).collect();
        columns(&["UNIX_S", "DAEMON", "CHANGE"], &lines)
    });
    Ok(())
}

fn history_lines(entry: &HistoryEntry) -> Vec<Vec<String>> {
    let line = |change: &CellChange| {
        vec![
            entry.unix_s.to_string(),
            entry.daemon.to_string(),
            change.to_string(),
        ]
    };
    entry.changes.iter().map(line).collect()
}

fn explain_columns() {
    let lines: Vec<Vec<String>> = COLUMNS
        .iter()
        .map(|column| {
            let kinds: Vec<&str> = column.kinds.iter().map(|kind| kind.as_str()).collect();
            vec![
                column.name.to_owned(),
                kinds.join(","),
                column.help.to_owned(),
            ]
        })
        .collect();
    println!("{}", columns(&["COLUMN", "ROWS", "MEANING"], &lines));
}
