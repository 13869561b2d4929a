//! The table, and the checks that involve several rows or the whole cell.

use crate::row::{Policy, Row, RowKind};
use crate::TableError;
use ospreywing_types::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The name of the row that holds the cell's policy.
pub const CELL_ROW: &str = "cell";

/// A version of the table: all rows by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// The store's revision of the latest change to this table.
    pub revision: u64,
    rows: BTreeMap<Name, Row>,
}

impl Table {
    /// Creates an empty table at revision zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or replaces a row.
    pub fn put(&mut self, row: Row) {
        self.rows.insert(row.name.clone(), row);
    }

    /// Removes a row and returns it, if there was one.
    pub fn remove(&mut self, name: &Name) -> Option<Row> {
        self.rows.remove(name)
    }

    /// Returns the row named `name`, if there is one.
    pub fn get(&self, name: &Name) -> Option<&Row> {
        self.rows.get(name)
    }

    /// Returns the row named `name`, if it is of kind `kind`.
    pub fn workload(&self, name: &Name, kind: RowKind) -> Option<&Row> {
        self.rows.get(name).filter(|row| row.kind == kind)
    }

    /// Iterates over the rows in the order of their names.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// Returns the cell's policy, or the default if there is no row of kind cell.
    pub fn policy(&self) -> Policy {
        let cell = self.rows().find(|row| row.kind == RowKind::Cell);
        cell.map_or(Policy::default(), |row| row.policy)
    }

    /// Checks the names of teams and of the cell's row, and that caps can be
    /// divided between `shards_count` shards.
    ///
    /// # Errors
    ///
    /// Returns every error found; each names its row.
    pub fn check(&self, shards_count: u32) -> Result<(), Vec<TableError>> {
        let mut errors = Vec::new();
        for row in self.rows() {
            self.check_team(row, &mut errors);
            check_cell_name(row, &mut errors);
            check_caps(row, shards_count, &mut errors);
        }
        if errors.is_empty() {
            Ok(())
        } else {
            Err(errors)
        }
    }

    fn check_team(&self, row: &Row, errors: &mut Vec<TableError>) {
        let Some(team) = &row.team else { return };
        if self.workload(team, RowKind::Team).is_none() {
            errors.push(TableError::UnknownTeam {
                row: row.name.to_string(),
                team: team.to_string(),
            });
        }
    }
}

fn check_cell_name(row: &Row, errors: &mut Vec<TableError>) {
    if (row.kind == RowKind::Cell) != (row.name.as_str() == CELL_ROW) {
        errors.push(TableError::CellRowName {
            row: row.name.to_string(),
        });
    }
}

/// Checks that each shard gets at least one unit of a cap.
///
/// A shard with no unit of a cap could never run the tasks that the cap limits.
fn check_caps(row: &Row, shards_count: u32, errors: &mut Vec<TableError>) {
    let caps = [
        ("cap_running_count", row.caps.running_count),
        ("cap_accelerators_count", row.caps.accelerators_count),
    ];
    for (column, value) in caps {
        if value > 0 && value < shards_count {
            errors.push(TableError::CapBelowShards {
                row: row.name.to_string(),
                column,
                value: u64::from(value),
                shards_count,
            });
        }
    }
}
