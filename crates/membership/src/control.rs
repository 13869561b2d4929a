//! The part of the store that all daemons watch.

use ospreywing_types::{DaemonIdentity, Name};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How many seats a cell has: one for each slot of a minion.
///
/// The holder of a seat may use one slot of each minion and an eighth of its
/// connections.
pub const SEATS_COUNT: u32 = 8;

/// A value with the store's revision of its last change; zero where absent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The value.
    pub value: T,
    /// The revision to compare with when it is changed.
    pub revision: u64,
}

/// A daemon as it enters itself, under a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The process.
    pub identity: DaemonIdentity,
    /// `IP:port` of its endpoint for callers.
    pub http_addr: String,
    /// The data centre it stands in.
    pub data_centre: Name,
    /// The entry box it runs on, as the box list names it.
    pub box_name: Name,
}

/// What a key of the control part is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ControlKey {
    /// The entry of a daemon.
    Member(Name),
    /// Who owns a shard.
    Owner(u32),
    /// Who holds a seat.
    Seat(u32),
}

/// One change of the control part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlChange {
    /// A daemon entered itself.
    Member(Member),
    /// A shard has another owner, or none.
    Owner {
        /// The shard.
        shard: u32,
        /// The owner.
        owner: Versioned<Option<DaemonIdentity>>,
    },
    /// A seat has another holder, or none.
    Seat {
        /// The seat.
        seat: u32,
        /// The holder.
        holder: Versioned<Option<DaemonIdentity>>,
    },
    /// A key is gone.
    Removed(ControlKey),
}

/// The control part as last seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Control {
    /// The daemons that entered themselves, by name.
    pub members: BTreeMap<Name, Member>,
    /// The owner of each shard that ever had one.
    pub owners: BTreeMap<u32, Versioned<Option<DaemonIdentity>>>,
    /// The holder of each seat that ever had one.
    pub seats: BTreeMap<u32, Versioned<Option<DaemonIdentity>>>,
}

impl Control {
    /// Takes in one change.
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

    /// Returns the owner of a shard, with revision zero where it never had one.
    pub fn owner(&self, shard: u32) -> Versioned<Option<DaemonIdentity>> {
        self.owners.get(&shard).cloned().unwrap_or_default()
    }

    /// Returns the holder of a seat, with revision zero where it never had one.
    pub fn seat(&self, seat: u32) -> Versioned<Option<DaemonIdentity>> {
        self.seats.get(&seat).cloned().unwrap_or_default()
    }

    /// Returns every process named in the control part, each once.
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
