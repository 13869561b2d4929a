//! Determines whether a daemon's table is known to be current.

use crate::peer::Peers;
use ospreywing_types::{Duration, Instant};
use thiserror::Error;

/// How long an answer of the store proves that the table is current.
///
/// A change takes effect on every daemon within 7 s: this time, plus a second
/// for the poll that finds it and a second for the peer that forwards it.
pub const FRESH_FOR: Duration = Duration::from_s(4);

/// The evidence that a daemon's table is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The store answered this daemon recently.
    Store,
    /// The store answered a peer recently, and the peer forwarded the result.
    Peer,
    /// More than half of the daemons, this one included, answered recently, and
    /// none has recent contact with the store. An edit also needs more than
    /// half, so no edit unknown to this daemon can have been accepted.
    StoreDown,
    /// None: the daemon must not act on its table.
    Unknown,
}

impl Freshness {
    /// Determines the evidence at `now`.
    ///
    /// `store_contact_at` is when the last call answered by the store began.
    pub fn new(now: Instant, store_contact_at: Option<Instant>, peers: &Peers) -> Self {
        let is_recent = |at: Instant| now.since(at) < FRESH_FOR;
        if store_contact_at.is_some_and(is_recent) {
            return Self::Store;
        }
        let contacted_store = |peer: &crate::Peer| peer.store_contact_at.is_some_and(is_recent);
        if peers.iter().any(contacted_store) {
            return Self::Peer;
        }
        // Before the first contact with the store there is no table.
        let was_ever_contacted =
            store_contact_at.is_some() || peers.iter().any(|p| p.store_contact_at.is_some());
        if was_ever_contacted && has_majority(now, peers) {
            return Self::StoreDown;
        }
        Self::Unknown
    }

    /// Returns whether the daemon may act on its table.
    pub fn may_decide(self) -> bool {
        self != Self::Unknown
    }

    /// Returns the name used in logs and reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
            Self::StoreDown => "store_down",
            Self::Unknown => "unknown",
        }
    }
}

/// The reason why a daemon may not accept an edit of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EditBlocked {
    /// The store has not answered recently.
    #[error("the store last answered a call begun {age_ms} ms ago")]
    StoreUnresponsive {
        /// The age of the last answered call, in milliseconds.
        age_ms: u64,
    },
    /// The store has not answered since the daemon started.
    #[error("the store has not answered yet")]
    StoreNeverContacted,
    /// Too few of the daemons answered recently.
    #[error("{responsive_count} of {all_count} daemons were heard from lately")]
    NoMajority {
        /// The daemons that answered recently, this one included.
        responsive_count: usize,
        /// The daemons discovered recently that have not answered yet.
        new_count: usize,
        /// All daemons not proved to have ended.
        all_count: usize,
    },
}

impl EditBlocked {
    /// Returns why a daemon may not accept an edit at `now`; `None` if it may.
    ///
    /// `store_contact_at` is when the last call answered by the store began.
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
            responsive_count: count.responsive,
            new_count: count.new,
            all_count: count.all,
        })
    }

    /// Returns whether pending answers can resolve the condition: this daemon or
    /// others have just started.
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

/// Counts the daemons that answered recently, this one included. Processes proved
/// to have ended don't count.
struct ResponsiveCount {
    responsive: usize,
    new: usize,
    all: usize,
}

impl ResponsiveCount {
    fn new(now: Instant, peers: &Peers) -> Self {
        let mut count = Self {
            responsive: 1,
            new: 0,
            all: 1,
        };
        for peer in peers.iter().filter(|peer| peer.gone_at.is_none()) {
            count.all += 1;
            let is_recent = |at: Instant| now.since(at) < FRESH_FOR;
            match peer.answered_at {
                Some(at) => count.responsive += usize::from(is_recent(at)),
                None => count.new += usize::from(is_recent(peer.first_seen_at)),
            }
        }
        count
    }

    const fn is_majority(&self) -> bool {
        self.responsive * 2 > self.all
    }
}

/// Returns whether more than half of the daemons answered recently.
fn has_majority(now: Instant, peers: &Peers) -> bool {
    ResponsiveCount::new(now, peers).is_majority()
}
