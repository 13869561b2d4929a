//! The table and the checks that span rows.

use crate::row::{Policy, Row, RowKind};
use crate::TableError;
use ospreywing_types::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The name of the row that holds the cell's policy.
pub const CELL_ROW: &str = "cell";

/// Every row, by name, at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// The store's revision of the newest change in this table.
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

    /// Removes a row and returns it.
    pub fn remove(&mut self, name: &Name) -> Option<Row> {
        self.rows.remove(name)
    }

    /// Returns a row.
    pub fn get(&self, name: &Name) -> Option<&Row> {
        self.rows.get(name)
    }

    /// Returns the workload row named `name`, of kind `kind`.
    pub fn workload(&self, name: &Name, kind: RowKind) -> Option<&Row> {
        self.rows.get(name).filter(|row| row.kind == kind)
    }

    /// Iterates over the rows in the order of their names.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// Returns the cell's policy, or the default where no row gives it.
    pub fn policy(&self) -> Policy {
        let cell = self.rows().find(|row| row.kind == RowKind::Cell);
        cell.map_or(Policy::default(), |row| row.policy)
    }

    /// Checks what spans rows, for a cell of `shards_count` shards.
    ///
    /// # Errors
    ///
    /// Returns every fault found, each naming its row and column.
    pub fn check(&self, shards_count: u32) -> Result<(), Vec<TableError>> {
        let mut faults = Vec::new();
        for row in self.rows() {
            self.check_team(row, &mut faults);
            check_cell_name(row, &mut faults);
            check_caps(row, shards_count, &mut faults);
        }
        if faults.is_empty() {
            Ok(())
        } else {
            Err(faults)
        }
    }

    fn check_team(&self, row: &Row, faults: &mut Vec<TableError>) {
        let Some(team) = &row.team else { return };
        if self.workload(team, RowKind::Team).is_none() {
            faults.push(TableError::UnknownTeam {
                row: row.name.to_string(),
                team: team.to_string(),
            });
        }
    }
}

fn check_cell_name(row: &Row, faults: &mut Vec<TableError>) {
    if (row.kind == RowKind::Cell) != (row.name.as_str() == CELL_ROW) {
        faults.push(TableError::CellRowName {
            row: row.name.to_string(),
        });
    }
}

/// A cap that some shard could not get one whole unit of would stop that
/// shard's tasks for ever, so such a cap is refused.
fn check_caps(row: &Row, shards_count: u32, faults: &mut Vec<TableError>) {
    let caps = [
        ("cap_running_count", row.caps.running_count),
        ("cap_accelerators_count", row.caps.accelerators_count),
    ];
    for (column, value) in caps {
        if value > 0 && value < shards_count {
            faults.push(TableError::CapBelowShards {
                row: row.name.to_string(),
                column,
                value: u64::from(value),
                shards_count,
            });
        }
    }
}
