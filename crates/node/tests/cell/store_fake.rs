//! A fake of the store's control data, table and logs.

use ospreywing_membership::{ControlChange, Member, Versioned};
use ospreywing_node::Change;
use ospreywing_table::Row;
use ospreywing_types::{DaemonIdentity, Name};
use std::collections::BTreeMap;

type HolderVersion = Versioned<Option<DaemonIdentity>>;

#[derive(Default)]
pub struct StoreFake {
    pub revision: u64,
    pub members: BTreeMap<Name, Member>,
    pub owners: BTreeMap<u32, HolderVersion>,
    pub seats: BTreeMap<u32, HolderVersion>,
    pub rows: BTreeMap<Name, Versioned<Option<Row>>>,
    pub logs: BTreeMap<u32, BTreeMap<u64, Vec<u8>>>,
}

/// Sets `value` if the key has `revision`; returns the new revision.
fn swap(
    map: &mut BTreeMap<u32, HolderVersion>,
    newest: &mut u64,
    key: u32,
    revision: u64,
    value: Option<DaemonIdentity>,
) -> Option<u64> {
    let known = map.get(&key).map_or(0, |held| held.revision);
    if known != revision {
        return None;
    }
    *newest += 1;
    let revision = *newest;
    map.insert(key, Versioned { value, revision });
    Some(revision)
}

impl StoreFake {
    pub fn swap_owner(
        &mut self,
        shard: u32,
        revision: u64,
        value: Option<DaemonIdentity>,
    ) -> Option<u64> {
        swap(&mut self.owners, &mut self.revision, shard, revision, value)
    }

    pub fn swap_seat(
        &mut self,
        seat: u32,
        revision: u64,
        value: Option<DaemonIdentity>,
    ) -> Option<u64> {
        swap(&mut self.seats, &mut self.revision, seat, revision, value)
    }

    pub fn put_row(&mut self, row: Row) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let name = row.name.clone();
        let value = Some(row);
        self.rows.insert(name, Versioned { value, revision });
        revision
    }

    /// Returns the complete control data and table.
    pub fn snapshot(&self) -> Vec<Change> {
        let members = self.members.values().cloned().map(ControlChange::Member);
        let owners = self.owners.iter().map(|(&shard, owner)| {
            let owner = owner.clone();
            ControlChange::Owner { shard, owner }
        });
        let seats = self.seats.iter().map(|(&seat, holder)| {
            let holder = holder.clone();
            ControlChange::Seat { seat, holder }
        });
        let control = members.chain(owners).chain(seats).map(Change::Control);
        let rows = self.rows.iter().map(|(name, row)| Change::Row {
            name: name.clone(),
            row: row.clone(),
        });
        control.chain(rows).collect()
    }
}
