//! Errors of the table, each naming the row and the column.

use thiserror::Error;

/// What is wrong with the text of one cell.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CellError {
    /// The text is not a whole number in the allowed range.
    #[error("{text:?} is not a whole number from {min} to {max}")]
    Number {
        /// The text.
        text: String,
        /// The least value allowed.
        min: u64,
        /// The greatest value allowed.
        max: u64,
    },
    /// The text is none of the allowed words.
    #[error("{text:?} is none of {allowed}")]
    Word {
        /// The text.
        text: String,
        /// The words allowed.
        allowed: &'static str,
    },
    /// The text is not a name.
    #[error("{text:?} {reason}")]
    Name {
        /// The text.
        text: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The column has no meaning for a row of this kind.
    #[error("a row of kind {kind} has no such column")]
    NotForKind {
        /// The row's kind.
        kind: &'static str,
    },
}

/// What is wrong with a table.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TableError {
    /// One cell is wrong.
    #[error("row {row:?}, column {column}: {source}")]
    Cell {
        /// The row's name.
        row: String,
        /// The column's name.
        column: &'static str,
        /// What is wrong.
        source: CellError,
    },
    /// A column of the CSV's heading is unknown.
    #[error("line 1: unknown column {column:?}")]
    UnknownColumn {
        /// The heading's text.
        column: String,
    },
    /// A column stands twice, or one that every row needs is missing.
    #[error("line 1: column {column} must stand exactly once")]
    ColumnCount {
        /// The column's name.
        column: &'static str,
    },
    /// The CSV can't be read at all.
    #[error("line {line}: {reason}")]
    Csv {
        /// The line in the file, from one.
        line: u64,
        /// What the reader said.
        reason: String,
    },
    /// Two rows have the same name.
    #[error("row {row:?} stands twice")]
    DuplicateRow {
        /// The row's name.
        row: String,
    },
    /// A row names a team that has no row.
    #[error("row {row:?}, column team: no row of kind team is named {team:?}")]
    UnknownTeam {
        /// The row's name.
        row: String,
        /// The team's name.
        team: String,
    },
    /// A cap is too small to be divided between the shards.
    #[error(
        "row {row:?}, column {column}: {value} is less than the cell's {shards_count} shards; \
         give 0 for no cap or at least {shards_count}"
    )]
    CapBelowShards {
        /// The row's name.
        row: String,
        /// The column's name.
        column: &'static str,
        /// The cap.
        value: u64,
        /// How many shards the cell has.
        shards_count: u32,
    },
    /// The row of the cell's policy has another name.
    #[error("row {row:?}: the row of kind cell must be named \"cell\", and only that row")]
    CellRowName {
        /// The row's name.
        row: String,
    },
}
