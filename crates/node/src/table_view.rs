//! The table as the store's rows make it up.

use ospreywing_membership::Versioned;
use ospreywing_table::{Row, Table};
use ospreywing_types::Name;
use std::sync::Arc;

/// The table in force. It never goes back to an older version.
#[derive(Clone, Debug, Default)]
pub(crate) struct TableView {
    table: Arc<Table>,
}

impl TableView {
    /// Returns the table in force.
    pub(crate) fn table(&self) -> Arc<Table> {
        Arc::clone(&self.table)
    }

    /// Takes in rows that changed and returns whether the table is another now.
    pub(crate) fn apply(&mut self, rows: Vec<(Name, Versioned<Option<Row>>)>) -> bool {
        let newest = rows.iter().map(|(_, row)| row.revision).max();
        let Some(newest) = newest.filter(|&newest| newest > self.table.revision) else {
            return false;
        };
        let before = self.table.revision;
        let table = Arc::make_mut(&mut self.table);
        for (name, row) in rows {
            if row.revision <= before {
                continue;
            }
            match row.value {
                Some(row) => table.put(row),
                None => {
                    table.remove(&name);
                }
            }
        }
        table.revision = newest;
        true
    }

    /// Takes in a whole table from a peer where it is newer than the one in
    /// force, and returns whether it was.
    pub(crate) fn replace(&mut self, table: &Table) -> bool {
        let is_newer = table.revision > self.table.revision;
        if is_newer {
            self.table = Arc::new(table.clone());
        }
        is_newer
    }
}
