//! Compares two tables cell by cell.

use crate::column::COLUMNS;
use crate::row::Row;
use crate::Table;
use core::fmt;
use serde::{Deserialize, Serialize};

/// A cell that differs between two tables.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellChange {
    /// The row's name.
    pub row: String,
    /// The column's name.
    pub column: String,
    /// The text in the first table; `None` if the row is new.
    pub before: Option<String>,
    /// The text in the second table; `None` if the row was removed.
    pub after: Option<String>,
}

impl fmt::Display for CellChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let before = self.before.as_deref().unwrap_or("(none)");
        let after = self.after.as_deref().unwrap_or("(none)");
        write!(f, "{}.{}: {before} -> {after}", self.row, self.column)
    }
}

/// Returns the cells that differ between two tables.
pub fn differences(before: &Table, after: &Table) -> Vec<CellChange> {
    let mut changes = Vec::new();
    for row in before.rows() {
        compare(Some(row), after.get(&row.name), &mut changes);
    }
    let added = after.rows().filter(|row| before.get(&row.name).is_none());
    for row in added {
        compare(None, Some(row), &mut changes);
    }
    changes
}

fn compare(before: Option<&Row>, after: Option<&Row>, changes: &mut Vec<CellChange>) {
    let Some(row) = before.or(after) else { return };
    for column in COLUMNS {
        let text = |row: &Row| column.is_for(row.kind).then(|| (column.get)(row));
        let (before, after) = (before.and_then(text), after.and_then(text));
        if before != after {
            changes.push(CellChange {
                row: row.name.to_string(),
                column: column.name.to_owned(),
                before,
                after,
            });
        }
    }
}
