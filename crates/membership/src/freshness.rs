//! Whether a daemon knows its table to be current.

use crate::peer::Peers;
use ospreywing_types::{Duration, Instant};
use thiserror::Error;

/// For how long word from the store proves the table current.
///
/// A change is in force everywhere within 7 s: this, and a second for each of
/// the poll that finds it and the peer that passes it on.
pub const FRESH_FOR: Duration = Duration::from_s(4);

/// What a daemon's knowledge of the table rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The store itself answered lately.
    Store,
    /// A peer passed on what the store answered lately.
    Peer,
    /// More than half of the daemons answered lately that they have not heard
    /// the store either. An edit needs more than half as well, so no edit can
    /// have been accepted that this daemon does not know of.
    StoreDown,
    /// Nothing: the daemon must not decide by its table.
    Unknown,
}

impl Freshness {
    /// Returns what the knowledge rests on at `now`.
    ///
    /// `store_contact_at` is when the last call that the store answered was begun.
    pub fn new(now: Instant, store_contact_at: Option<Instant>, peers: &Peers) -> Self {
        let is_recent = |at: Instant| now.since(at) < FRESH_FOR;
        if store_contact_at.is_some_and(is_recent) {
            return Self::Store;
        }
        let contacted_store = |peer: &crate::Peer| peer.store_contact_at.is_some_and(is_recent);
        if peers.iter().any(contacted_store) {
            return Self::Peer;
        }
        // Without ever having heard of the store there is no table to go by.
        let was_ever_contacted =
            store_contact_at.is_some() || peers.iter().any(|p| p.store_contact_at.is_some());
        if was_ever_contacted && has_majority(now, peers) {
            return Self::StoreDown;
        }
        Self::Unknown
    }

    /// Returns whether the daemon may decide by its table.
    pub fn may_decide(self) -> bool {
        self != Self::Unknown
    }

    /// Returns the word used in logs and reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
            Self::StoreDown => "store_down",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a daemon may not accept an edit of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EditBlocked {
    /// The store was not heard from lately.
    #[error("the store last answered a call begun {age_ms} ms ago")]
    StoreUnresponsive {
        /// How long ago that call was begun.
        age_ms: u64,
    },
    /// The store was never heard from.
    #[error("the store has not answered yet")]
    StoreNeverContacted,
    /// Too few of the daemons were heard from lately.
    #[error("{responsive_count} of {all_count} daemons were heard from lately")]
    NoMajority {
        /// The daemons heard from, this one included.
        responsive_count: usize,
        /// The daemons met a short while ago that have not answered yet.
        new_count: usize,
        /// All daemons that may be there.
        all_count: usize,
    },
}

impl EditBlocked {
    /// Returns what keeps a daemon from accepting an edit at `now`, if anything does.
    ///
    /// `store_contact_at` is when the last call that the store answered was begun.
    pub fn find(now: Instant, store_contact_at: Option<Instant>, peers: &Peers) -> Option<Self> {
        let Some(store_contact_at) = store_contact_at else {
            return Some(Self::StoreNeverContacted);
        };
        let age = now.since(store_contact_at);
        if age >= FRESH_FOR {
            let age_ms = age.as_ms();
            return Some(Self::StoreUnresponsive { age_ms });
        }
        let count = ResponsiveCount::new(now, peers);
        (!count.is_majority()).then_some(Self::NoMajority {
            responsive_count: count.heard,
            new_count: count.new,
            all_count: count.all,
        })
    }

    /// Returns whether it passes once what was just asked is answered: the daemon has just
    /// started, or others have.
    pub const fn is_transient(self) -> bool {
        match self {
            Self::StoreUnresponsive { .. } => false,
            Self::StoreNeverContacted => true,
            Self::NoMajority {
                responsive_count,
                new_count,
                all_count,
            } => (responsive_count + new_count) * 2 > all_count,
        }
    }
}

/// How many of the daemons were heard from lately, this one included. Those proved gone
/// don't count.
struct ResponsiveCount {
    heard: usize,
    new: usize,
    all: usize,
}

impl ResponsiveCount {
    fn new(now: Instant, peers: &Peers) -> Self {
        let mut count = Self {
            heard: 1,
            new: 0,
            all: 1,
        };
        for peer in peers.iter().filter(|peer| peer.gone_at.is_none()) {
            count.all += 1;
            let is_recent = |at: Instant| now.since(at) < FRESH_FOR;
            match peer.answered_at {
                Some(at) => count.heard += usize::from(is_recent(at)),
                None => count.new += usize::from(is_recent(peer.first_seen_at)),
            }
        }
        count
    }

    const fn is_majority(&self) -> bool {
        self.heard * 2 > self.all
    }
}

/// Returns whether more than half of the daemons were heard from lately.
fn has_majority(now: Instant, peers: &Peers) -> bool {
    ResponsiveCount::new(now, peers).is_majority()
}
