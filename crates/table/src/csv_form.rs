//! Converts the table from and to CSV, for editing in a spreadsheet.

use crate::column::{Column, COLUMNS};
use crate::row::{Row, RowKind};
use crate::{CellError, Table, TableError};
use ospreywing_types::Name;

/// Returns the table as CSV with one heading line.
///
/// Cells are empty if rows of that kind don't have the column.
pub fn to_csv(table: &Table) -> String {
    let mut writer = csv::Writer::from_writer(Vec::new());
    let headings = COLUMNS.iter().map(|column| column.name);
    // Writing to memory can't fail.
    let _ = writer.write_record(headings);
    for row in table.rows() {
        let cells = COLUMNS.iter().map(|column| cell_text(column, row));
        let _ = writer.write_record(cells);
    }
    let bytes = writer.into_inner().unwrap_or_default();
    String::from_utf8_lossy(&bytes).into_owned()
}

fn cell_text(column: &Column, row: &Row) -> String {
    if column.is_for(row.kind) {
        (column.get)(row)
    } else {
        String::new()
    }
}

/// Parses a table from CSV; empty cells get the column's default value.
///
/// # Errors
///
/// Returns every error found; each names its row and column, or its line.
pub fn from_csv(text: &str) -> Result<Table, Vec<TableError>> {
    let mut reader = csv::ReaderBuilder::new()
        .trim(csv::Trim::All)
        .from_reader(text.as_bytes());
    let headings = reader.headers().map_err(|error| vec![csv_error(&error)])?;
    let columns = read_headings(headings).map_err(|error| vec![error])?;
    let mut table = Table::new();
    let mut errors = Vec::new();
    for record in reader.records() {
        match record {
            Ok(record) => add_record(&record, &columns, &mut table, &mut errors),
            Err(error) => errors.push(csv_error(&error)),
        }
    }
    if errors.is_empty() {
        Ok(table)
    } else {
        Err(errors)
    }
}

fn csv_error(error: &csv::Error) -> TableError {
    TableError::Csv {
        line: error.position().map_or(0, csv::Position::line),
        reason: error.to_string(),
    }
}

fn read_headings(headings: &csv::StringRecord) -> Result<Vec<&'static Column>, TableError> {
    let mut columns = Vec::new();
    for heading in headings {
        let column = Column::named(heading).ok_or_else(|| TableError::UnknownColumn {
            column: heading.to_owned(),
        })?;
        columns.push(column);
    }
    for column in COLUMNS {
        let count = columns.iter().filter(|c| c.name == column.name).count();
        let is_needed = matches!(column.name, "row" | "kind");
        if count > 1 || (is_needed && count == 0) {
            return Err(TableError::ColumnCount {
                column: column.name,
            });
        }
    }
    Ok(columns)
}

fn add_record(
    record: &csv::StringRecord,
    columns: &[&'static Column],
    table: &mut Table,
    errors: &mut Vec<TableError>,
) {
    let text_of = |name: &str| {
        let index = columns.iter().position(|column| column.name == name);
        index.and_then(|index| record.get(index)).unwrap_or("")
    };
    let label = text_of("row").to_owned();
    let Ok(placeholder) = Name::new("row") else {
        return;
    };
    let mut row = Row::new(placeholder, RowKind::Batch);
    let mut add_error = |column: &'static str, source: CellError| {
        errors.push(TableError::Cell {
            row: label.clone(),
            column,
            source,
        });
    };
    let mut is_valid = true;
    let key_columns = COLUMNS.iter().take_while(|column| column.name != "team");
    for column in key_columns {
        if let Err(error) = (column.set)(&mut row, text_of(column.name)) {
            add_error(column.name, error);
            is_valid = false;
        }
    }
    if !is_valid {
        return;
    }
    let cells = columns.iter().zip(record.iter());
    for (column, text) in cells.filter(|(_, text)| !text.is_empty()) {
        if let Err(error) = set_cell(column, &mut row, text) {
            add_error(column.name, error);
            is_valid = false;
        }
    }
    if table.get(&row.name).is_some() {
        errors.push(TableError::DuplicateRow { row: label });
    } else if is_valid {
        table.put(row);
    }
}

fn set_cell(column: &Column, row: &mut Row, text: &str) -> Result<(), CellError> {
    if column.is_for(row.kind) {
        (column.set)(row, text)
    } else {
        Err(CellError::NotForKind {
            kind: row.kind.as_str(),
        })
    }
}
