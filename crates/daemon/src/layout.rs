//! The layout of keys and values in the store.
//!
//! All keys of a cell start with `/ospreywing/CELL/`:
//!
//! | key | value | written by |
//! |---|---|---|
//! | `control/members/NAME` | [`Member`], under a lease | each daemon |
//! | `control/owners/NNN` | the owner of a shard, or `null` | claims of shards |
//! | `control/seats/N` | the holder of a seat, or `null` | claims of seats |
//! | `control/table/ROW` | [`StoredRow`] | edits |
//! | `history/ROW` | the last edits of a row | edits |
//! | `log/NNN/SEQ` | a batch of a shard's log | commits |
//! | `shards` | the number of shards of the cell | the first daemon |

use ospreywing_membership::{ControlChange, ControlKey, Member, Versioned};
use ospreywing_node::Change;
use ospreywing_store::KeyValue;
use ospreywing_table::Row;
use ospreywing_types::{DaemonIdentity, Name};
use serde::{Deserialize, Serialize};

/// A row of the table as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRow {
    /// The row, or `None` after it was removed.
    pub row: Option<Row>,
    /// A random number that identifies the edit.
    pub edit_id: u64,
}

/// The store keys of a cell.
#[derive(Clone, Debug)]
pub struct Layout {
    root: String,
}

impl Layout {
    /// Creates the layout of a cell.
    pub fn new(cell: &Name) -> Self {
        Self {
            root: format!("/ospreywing/{cell}/"),
        }
    }

    /// Returns the prefix of the keys that all daemons poll.
    pub fn control(&self) -> String {
        format!("{}control/", self.root)
    }

    /// Returns the key of the cell's number of shards.
    pub fn shards(&self) -> String {
        format!("{}shards", self.root)
    }

    /// Returns the key of a daemon's member entry.
    pub fn member(&self, name: &Name) -> String {
        format!("{}members/{name}", self.control())
    }

    /// Returns the key of a shard's owner.
    pub fn owner(&self, shard: u32) -> String {
        format!("{}owners/{shard:03}", self.control())
    }

    /// Returns the key of a seat's holder.
    pub fn seat(&self, seat: u32) -> String {
        format!("{}seats/{seat}", self.control())
    }

    /// Returns the key of a row of the table.
    pub fn row(&self, name: &Name) -> String {
        format!("{}table/{name}", self.control())
    }

    /// Returns the key of a row's edit history.
    pub fn history(&self, name: &Name) -> String {
        format!("{}history/{name}", self.root)
    }

    /// Returns the prefix of a shard's log.
    pub fn log(&self, shard: u32) -> String {
        format!("{}log/{shard:03}/", self.root)
    }

    /// Returns the key of a batch of a shard's log.
    pub fn batch(&self, shard: u32, seq: u64) -> String {
        format!("{}{seq:020}", self.log(shard))
    }

    /// Returns the sequence number of the batch at `key`, or `None` for other keys.
    pub fn parse_batch_seq(&self, shard: u32, key: &str) -> Option<u64> {
        key.strip_prefix(&self.log(shard))?.parse().ok()
    }

    /// Parses a key under `control/` and its value; returns `None` if they are not recognized.
    pub fn parse_change(&self, found: &KeyValue) -> Option<Change> {
        let path = found.key.strip_prefix(&self.control())?;
        let (kind, rest) = path.split_once('/')?;
        let revision = found.mod_revision;
        match kind {
            "members" => {
                let member: Member = serde_json::from_slice(&found.value).ok()?;
                Some(Change::Control(ControlChange::Member(member)))
            }
            "owners" => Some(Change::Control(ControlChange::Owner {
                shard: rest.parse().ok()?,
                owner: parse_identity(found)?,
            })),
            "seats" => Some(Change::Control(ControlChange::Seat {
                seat: rest.parse().ok()?,
                holder: parse_identity(found)?,
            })),
            "table" => {
                let stored: StoredRow = serde_json::from_slice(&found.value).ok()?;
                Some(Change::Row {
                    name: Name::new(rest).ok()?,
                    row: Versioned {
                        value: stored.row,
                        revision,
                    },
                })
            }
            _ => None,
        }
    }

    /// Returns the change for a deleted key under `control/`, or `None` if it isn't recognized.
    pub fn parse_removed(&self, key: &str) -> Option<Change> {
        let path = key.strip_prefix(&self.control())?;
        let (kind, rest) = path.split_once('/')?;
        let key = match kind {
            "members" => ControlKey::Member(Name::new(rest).ok()?),
            "owners" => ControlKey::Owner(rest.parse().ok()?),
            "seats" => ControlKey::Seat(rest.parse().ok()?),
            _ => return None,
        };
        Some(Change::Control(ControlChange::Removed(key)))
    }
}

fn parse_identity(found: &KeyValue) -> Option<Versioned<Option<DaemonIdentity>>> {
    Some(Versioned {
        value: serde_json::from_slice(&found.value).ok()?,
        revision: found.mod_revision,
    })
}
