//! Edits of the table: each changes one row, if it is still at the revision that the operator
//! read.

use crate::clock;
use crate::engine::EngineHandle;
use crate::layout::{Layout, StoredRow};
use crate::metrics::StoreCounts;
use crate::store_calls::Backoff;
use ospreywing_membership::{EditBlocked, Versioned};
use ospreywing_node::Event;
use ospreywing_store::{Compare, KeyValue, Op, Page, StoreClient, StoreError, Txn, TxnReply};
use ospreywing_table::{differences, CellChange, Row, Table};
use ospreywing_types::Name;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::Notify;

/// Timeout of an edit's write, after which its outcome is reported as unknown.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long an edit waits until all daemons use the new revision.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(7);
const IN_FORCE_CHECK_PERIOD: Duration = Duration::from_millis(50);
/// How long an edit waits for newly discovered daemons to respond. Pings are sent every 500 ms,
/// and a starting daemon may refuse the connection at first.
const EDITABLE_TIMEOUT: Duration = Duration::from_secs(4);
const EDITABLE_CHECK_PERIOD: Duration = Duration::from_millis(20);
/// Number of edits kept in the history of a row.
const HISTORY_LIMIT: usize = 20;

/// A row with its revision, which an edit must specify.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedRow {
    /// The row, or `None` if it doesn't exist.
    pub row: Option<Row>,
    /// The revision; zero if the row never existed.
    pub revision: u64,
}

/// An edit that was written to the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The row's new revision.
    pub revision: u64,
    /// Whether all daemons use the new revision.
    pub is_in_force: bool,
    /// The daemons that are not known to use the new revision.
    pub lagging: Vec<Name>,
}

/// An edit in the history of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The time of the edit, in seconds since the Unix epoch.
    pub unix_s: u64,
    /// The daemon that wrote the edit.
    pub daemon: Name,
    /// The cells that changed.
    pub changes: Vec<CellChange>,
}

/// The reason why an edit failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EditError {
    /// The table would be invalid after the edit.
    #[error("{}", .0.join("; "))]
    Invalid(Vec<String>),
    /// The row has changed since the operator read it.
    #[error("the row was changed by another; it is at revision {}", .newer.revision)]
    Conflict {
        /// The current row.
        newer: Box<VersionedRow>,
        /// The differences from the current row to the rejected one.
        changes: Vec<CellChange>,
    },
    /// This daemon can't write edits now; nothing was written.
    #[error("no edit can be taken now: {0}")]
    Unavailable(String),
    /// The store did not respond in time, so the edit may have been written.
    #[error("whether the edit was taken is unknown; read the row again")]
    Unknown,
}

/// Reads and writes rows of the table in the store.
#[derive(Clone)]
pub struct TableEdits {
    store: StoreClient,
    layout: Layout,
    engine: EngineHandle,
    counts: Arc<StoreCounts>,
    daemon: Name,
    wake: Arc<Notify>,
}

/// The stored row and its history.
struct Stored {
    row: VersionedRow,
    history: Vec<HistoryEntry>,
}

impl TableEdits {
    /// Creates the editor; it notifies `wake` after a write, so that the poller polls at once.
    pub fn new(
        store: StoreClient,
        layout: Layout,
        engine: EngineHandle,
        counts: Arc<StoreCounts>,
        daemon: Name,
        wake: Arc<Notify>,
    ) -> Self {
        Self {
            store,
            layout,
            engine,
            counts,
            daemon,
            wake,
        }
    }

    /// Reads a row with its revision from the store.
    ///
    /// # Errors
    ///
    /// Returns [`EditError::Unavailable`] if the store call fails.
    pub async fn read(&self, name: &Name) -> Result<VersionedRow, EditError> {
        let stored = self.read_stored(name).await.map_err(unavailable_error)?;
        Ok(stored.row)
    }

    /// Reads the edit history of a row from the store, newest last.
    ///
    /// # Errors
    ///
    /// Returns [`EditError::Unavailable`] if the store call fails.
    pub async fn history(&self, name: &Name) -> Result<Vec<HistoryEntry>, EditError> {
        let stored = self.read_stored(name).await.map_err(unavailable_error)?;
        Ok(stored.history)
    }

    async fn read_stored(&self, name: &Name) -> Result<Stored, StoreError> {
        let txn = Txn::new()
            .with_then(Op::Get {
                key: self.layout.row(name),
            })
            .with_then(Op::Get {
                key: self.layout.history(name),
            });
        StoreCounts::add(&self.counts.edits_count);
        let reply = self.store.txn(&txn).await?;
        let mut pages = reply.pages.into_iter();
        let row = pages.next().and_then(first_key_value);
        let history = pages.next().and_then(first_key_value);
        let history = history.and_then(|found| serde_json::from_slice(&found.value).ok());
        Ok(Stored {
            row: row.map_or(absent_row(), |found| versioned_row(&found)),
            history: history.unwrap_or_default(),
        })
    }

    /// Writes a row, or removes it if `row` is `None`, if it is still at `revision`.
    ///
    /// With `wait_for_all`, waits up to [`IN_FORCE_TIMEOUT`] until all daemons use the edit.
    ///
    /// # Errors
    ///
    /// Returns the reason why the edit was not written, or may not have been; see
    /// [`EditError`].
    pub async fn edit(
        &self,
        name: &Name,
        row: Option<Row>,
        revision: u64,
        wait_for_all: bool,
    ) -> Result<Accepted, EditError> {
        self.check_edit(name, row.as_ref()).await?;
        let before = self.read_stored(name).await.map_err(unavailable_error)?;
        if before.row.revision != revision {
            return Err(conflict(before.row, row.as_ref()));
        }
        let stored = StoredRow {
            row: row.clone(),
            edit_id: rand::random(),
        };
        let txn = self.txn(name, &stored, &before, revision);
        let written = tokio::time::timeout(WRITE_TIMEOUT, self.write(&txn)).await;
        let reply = written.map_err(|_| EditError::Unknown)?;
        self.wake.notify_one();
        let revision = self.resolve(&reply, &stored, row.as_ref())?;
        let name = name.clone();
        let row = Versioned {
            value: row,
            revision,
        };
        self.engine
            .send_event(Event::RowWritten { name, row })
            .await;
        Ok(self.wait_until_in_force(revision, wait_for_all).await)
    }

    /// Checks an edit; first waits for a while if this or other daemons have just started.
    async fn check_edit(&self, name: &Name, row: Option<&Row>) -> Result<(), EditError> {
        let editable = self.wait_until_editable();
        // After a timeout, the check below returns the reason.
        let _ = tokio::time::timeout(EDITABLE_TIMEOUT, editable).await;
        let (name, row) = (name.clone(), row.cloned());
        let checked = self.engine.query_node(move |node, now| {
            node.check_edit(now).map_err(blocked_error)?;
            let mut table = (*node.table()).clone();
            match row {
                Some(row) => table.put(row),
                None => {
                    table.remove(&name);
                }
            }
            table.check(node.shards_count()).map_err(|faults| {
                EditError::Invalid(faults.iter().map(ToString::to_string).collect())
            })
        });
        checked
            .await
            .unwrap_or_else(|gone| Err(EditError::Unavailable(gone.to_string())))
    }

    /// Waits while edits are blocked for a temporary reason.
    async fn wait_until_editable(&self) {
        loop {
            let checked = self
                .engine
                .query_node(|node, now| node.check_edit(now))
                .await;
            match checked {
                Ok(Err(blocked)) if blocked.is_transient() => {}
                _ => return,
            }
            tokio::time::sleep(EDITABLE_CHECK_PERIOD).await;
        }
    }

    fn txn(&self, name: &Name, stored: &StoredRow, before: &Stored, revision: u64) -> Txn {
        let key = self.layout.row(name);
        let mut history = before.history.clone();
        history.push(HistoryEntry {
            unix_s: unix_s(),
            daemon: self.daemon.clone(),
            changes: changed_cells(before.row.row.as_ref(), stored.row.as_ref()),
        });
        let surplus = history.len().saturating_sub(HISTORY_LIMIT);
        history.drain(..surplus);
        Txn::new()
            .with_compare(Compare::ModRevision {
                key: key.clone(),
                revision,
            })
            .with_then(Op::Put {
                key: key.clone(),
                value: serde_json::to_vec(stored).unwrap_or_default(),
                lease: 0,
            })
            .with_then(Op::Put {
                key: self.layout.history(name),
                value: serde_json::to_vec(&history).unwrap_or_default(),
                lease: 0,
            })
            .with_otherwise(Op::Get { key })
    }

    async fn write(&self, txn: &Txn) -> TxnReply {
        let mut backoff = Backoff::new();
        loop {
            StoreCounts::add(&self.counts.edits_count);
            match self.store.txn(txn).await {
                Ok(reply) => return reply,
                Err(_) => backoff.wait().await,
            }
        }
    }

    /// Returns the row's new revision, including when an earlier attempt took effect although
    /// its response was lost.
    fn resolve(
        &self,
        reply: &TxnReply,
        stored: &StoredRow,
        row: Option<&Row>,
    ) -> Result<u64, EditError> {
        if reply.succeeded {
            return Ok(reply.revision);
        }
        let found = reply.pages.first().and_then(|page| page.key_values.first());
        let found_row = found.and_then(|f| serde_json::from_slice::<StoredRow>(&f.value).ok());
        match (found, found_row) {
            (Some(found), Some(found_row)) if found_row.edit_id == stored.edit_id => {
                Ok(found.mod_revision)
            }
            (Some(found), _) => Err(conflict(versioned_row(found), row)),
            (None, _) => Err(conflict(absent_row(), row)),
        }
    }

    /// Returns the accepted edit; with `wait_for_all`, first waits up to [`IN_FORCE_TIMEOUT`]
    /// until all daemons use `revision`.
    async fn wait_until_in_force(&self, revision: u64, wait_for_all: bool) -> Accepted {
        let until =
            clock::now() + ospreywing_types::Duration::from_ms(IN_FORCE_TIMEOUT.as_millis() as u64);
        loop {
            let lagging = self.engine.query_node(|node, now| node.lagging(now));
            let lagging = lagging.await.unwrap_or_default();
            if lagging.is_empty() || !wait_for_all || clock::now() >= until {
                return Accepted {
                    revision,
                    is_in_force: lagging.is_empty(),
                    lagging,
                };
            }
            tokio::time::sleep(IN_FORCE_CHECK_PERIOD).await;
        }
    }
}

fn first_key_value(page: Page) -> Option<KeyValue> {
    page.key_values.into_iter().next()
}

const fn absent_row() -> VersionedRow {
    VersionedRow {
        row: None,
        revision: 0,
    }
}

fn versioned_row(found: &KeyValue) -> VersionedRow {
    let stored: Option<StoredRow> = serde_json::from_slice(&found.value).ok();
    VersionedRow {
        row: stored.and_then(|stored| stored.row),
        revision: found.mod_revision,
    }
}

fn blocked_error(reason: EditBlocked) -> EditError {
    EditError::Unavailable(format!(
        "this daemon does not reach the store and most daemons: {reason}"
    ))
}

fn unavailable_error(error: StoreError) -> EditError {
    EditError::Unavailable(error.to_string())
}

fn changed_cells(before: Option<&Row>, after: Option<&Row>) -> Vec<CellChange> {
    let table_of = |row: Option<&Row>| {
        let mut table = Table::new();
        row.cloned().into_iter().for_each(|row| table.put(row));
        table
    };
    differences(&table_of(before), &table_of(after))
}

fn conflict(newer: VersionedRow, row: Option<&Row>) -> EditError {
    let changes = changed_cells(newer.row.as_ref(), row);
    EditError::Conflict {
        newer: Box::new(newer),
        changes,
    }
}

fn unix_s() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
