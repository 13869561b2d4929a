//! Errors of the table; each names its row and column, or its line.

use thiserror::Error;

/// An error in the text of one cell.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CellError {
    /// The text is not a whole number in the allowed range.
    #[error("{text:?} is not a whole number from {min} to {max}")]
    Number {
        /// The text.
        text: String,
        /// The smallest value allowed.
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
        /// The reason why it is not a name.
        reason: String,
    },
    /// Rows of this kind don't have the column.
    #[error("a row of kind {kind} has no such column")]
    NotForKind {
        /// The row's kind.
        kind: &'static str,
    },
}

/// An error in a table.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TableError {
    /// A cell has an invalid text.
    #[error("row {row:?}, column {column}: {source}")]
    Cell {
        /// The row's name.
        row: String,
        /// The column's name.
        column: &'static str,
        /// The error in its text.
        source: CellError,
    },
    /// The CSV's heading line has an unknown column.
    #[error("line 1: unknown column {column:?}")]
    UnknownColumn {
        /// The heading's text.
        column: String,
    },
    /// A column occurs twice, or a required column is missing.
    #[error("line 1: column {column} must stand exactly once")]
    ColumnCount {
        /// The column's name.
        column: &'static str,
    },
    /// The text is not valid CSV.
    #[error("line {line}: {reason}")]
    Csv {
        /// The line in the file, counted from 1.
        line: u64,
        /// The CSV parser's error message.
        reason: String,
    },
    /// Two rows have the same name.
    #[error("row {row:?} stands twice")]
    DuplicateRow {
        /// The row's name.
        row: String,
    },
    /// A row names a team that is not in the table.
    #[error("row {row:?}, column team: no row of kind team is named {team:?}")]
    UnknownTeam {
        /// The row's name.
        row: String,
        /// The team's name.
        team: String,
    },
    /// A cap is smaller than the number of shards, so that some shard would get no
    /// part of it.
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
        /// The number of shards in the cell.
        shards_count: u32,
    },
    /// The row of kind cell is not named `cell`, or another row is.
    #[error("row {row:?}: the row of kind cell must be named \"cell\", and only that row")]
    CellRowName {
        /// The row's name.
        row: String,
    },
}
