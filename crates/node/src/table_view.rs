//! Builds the current table from versioned rows.

use ospreywing_membership::Versioned;
use ospreywing_table::{Row, Table};
use ospreywing_types::{stable_hash, Name};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A row with the store revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RowVersion {
    name: Name,
    row: Option<Row>,
    revision: u64,
}

/// The current table. A row never returns to an older version.
///
/// The version is kept for each row: a row can arrive, in the answer to its edit
/// or from a peer, before an older change of another row.
#[derive(Clone, Debug, Default)]
pub(crate) struct TableView {
    table: Arc<Table>,
    revisions: BTreeMap<Name, u64>,
    digest: u64,
}

impl TableView {
    /// Returns the current table.
    pub(crate) fn table(&self) -> Arc<Table> {
        Arc::clone(&self.table)
    }

    /// Returns a hash of the versions of all rows.
    pub(crate) const fn digest(&self) -> u64 {
        self.digest
    }

    /// Applies the rows that are newer than the known ones and returns whether
    /// there were any.
    pub(crate) fn apply(&mut self, rows: Vec<(Name, Versioned<Option<Row>>)>) -> bool {
        let mut is_changed = false;
        for (name, row) in rows {
            let known = self.revisions.get(&name).copied().unwrap_or(0);
            if row.revision > known {
                self.put(name, row);
                is_changed = true;
            }
        }
        if is_changed {
            self.digest = digest(&self.revisions);
        }
        is_changed
    }

    fn put(&mut self, name: Name, row: Versioned<Option<Row>>) {
        let table = Arc::make_mut(&mut self.table);
        table.revision = table.revision.max(row.revision);
        match row.value {
            Some(row) => table.put(row),
            None => {
                table.remove(&name);
            }
        }
        self.revisions.insert(name, row.revision);
    }

    /// Serializes all rows and their versions for a peer.
    pub(crate) fn to_json(&self) -> String {
        let versions = self.revisions.iter().map(|(name, &revision)| RowVersion {
            name: name.clone(),
            row: self.table.get(name).cloned(),
            revision,
        });
        let versions: Vec<RowVersion> = versions.collect();
        serde_json::to_string(&versions).unwrap_or_default()
    }

    /// Merges a peer's rows and returns whether any was newer; `None` if the text
    /// can't be parsed.
    pub(crate) fn merge_json(&mut self, json: &str) -> Option<bool> {
        let versions: Vec<RowVersion> = serde_json::from_str(json).ok()?;
        let rows = versions.into_iter().map(|version| {
            let row = Versioned {
                value: version.row,
                revision: version.revision,
            };
            (version.name, row)
        });
        Some(self.apply(rows.collect()))
    }
}

fn digest(revisions: &BTreeMap<Name, u64>) -> u64 {
    let mut digest = 0;
    for (name, revision) in revisions {
        digest ^= stable_hash(&format!("{name}@{revision}"));
    }
    digest
}
