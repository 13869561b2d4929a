//! The control data: the part of the store that all daemons watch.

use ospreywing_types::{DaemonIdentity, Name};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The number of seats of a cell: one for each slot of a minion.
///
/// A seat is a lease on one slot of every minion. Its holder may use that slot
/// and an eighth of the minion's connections.
pub const SEATS_COUNT: u32 = 8;

/// A value with the store revision of its last change; zero if the key is absent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The value.
    pub value: T,
    /// The revision that a conditional write compares with.
    pub revision: u64,
}

/// A daemon's own entry in the store, kept under a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The process.
    pub identity: DaemonIdentity,
    /// `IP:port` of its endpoint for callers.
    pub http_addr: String,
    /// The daemon's data centre.
    pub data_centre: Name,
    /// The name on the box list of the entry box that the daemon runs on.
    pub box_name: Name,
}

/// A key of the control data.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ControlKey {
    /// The entry of a daemon.
    Member(Name),
    /// The owner of a shard.
    Owner(u32),
    /// The holder of a seat.
    Seat(u32),
}

/// One change of the control data.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlChange {
    /// A daemon wrote its entry.
    Member(Member),
    /// The owner of a shard changed.
    Owner {
        /// The shard.
        shard: u32,
        /// The new owner; `None` if the shard has none.
        owner: Versioned<Option<DaemonIdentity>>,
    },
    /// The holder of a seat changed.
    Seat {
        /// The seat.
        seat: u32,
        /// The new holder; `None` if the seat has none.
        holder: Versioned<Option<DaemonIdentity>>,
    },
    /// A key was removed.
    Removed(ControlKey),
}

/// The cached control data.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Control {
    /// The daemons with an entry, by name.
    pub members: BTreeMap<Name, Member>,
    /// The owner of each shard that ever had one.
    pub owners: BTreeMap<u32, Versioned<Option<DaemonIdentity>>>,
    /// The holder of each seat that ever had one.
    pub seats: BTreeMap<u32, Versioned<Option<DaemonIdentity>>>,
}

impl Control {
    /// Applies one change; ignores owners and holders older than the cached ones.
    pub fn apply(&mut self, change: ControlChange) {
        match change {
            ControlChange::Member(member) => {
                self.members.insert(member.identity.name.clone(), member);
            }
            ControlChange::Owner { shard, owner } => put_newer(&mut self.owners, shard, owner),
            ControlChange::Seat { seat, holder } => put_newer(&mut self.seats, seat, holder),
            ControlChange::Removed(ControlKey::Member(name)) => {
                self.members.remove(&name);
            }
            ControlChange::Removed(ControlKey::Owner(shard)) => {
                self.owners.remove(&shard);
            }
            ControlChange::Removed(ControlKey::Seat(seat)) => {
                self.seats.remove(&seat);
            }
        }
    }

    /// Returns the owner of a shard; the revision is zero if it never had one.
    pub fn owner(&self, shard: u32) -> Versioned<Option<DaemonIdentity>> {
        self.owners.get(&shard).cloned().unwrap_or_default()
    }

    /// Returns the holder of a seat; the revision is zero if it never had one.
    pub fn seat(&self, seat: u32) -> Versioned<Option<DaemonIdentity>> {
        self.seats.get(&seat).cloned().unwrap_or_default()
    }

    /// Returns each process named in the control data once.
    pub fn identities(&self) -> Vec<DaemonIdentity> {
        let members = self.members.values().map(|member| &member.identity);
        let owners = self.owners.values().filter_map(|o| o.value.as_ref());
        let holders = self.seats.values().filter_map(|s| s.value.as_ref());
        let mut found: BTreeMap<u64, DaemonIdentity> = BTreeMap::new();
        for identity in members.chain(owners).chain(holders) {
            found.insert(identity.incarnation, identity.clone());
        }
        found.into_values().collect()
    }
}

fn put_newer<T>(map: &mut BTreeMap<u32, Versioned<T>>, key: u32, new: Versioned<T>) {
    let known = map.get(&key).map_or(0, |known| known.revision);
    if new.revision >= known {
        map.insert(key, new);
    }
}
