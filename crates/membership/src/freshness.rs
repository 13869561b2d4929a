//! Whether a daemon knows its table to be current.

use crate::peer::Peers;
use ospreywing_types::{Duration, Instant};

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
    /// `heard_at` is when the last call that the store answered was begun.
    pub fn new(now: Instant, heard_at: Option<Instant>, peers: &Peers) -> Self {
        let is_recent = |at: Instant| now.since(at) < FRESH_FOR;
        if heard_at.is_some_and(is_recent) {
            return Self::Store;
        }
        let heard_by = |peer: &crate::Peer| peer.store_heard_at.is_some_and(is_recent);
        if peers.iter().any(heard_by) {
            return Self::Peer;
        }
        // Without ever having heard of the store there is no table to go by.
        let ever_heard = heard_at.is_some() || peers.iter().any(|p| p.store_heard_at.is_some());
        if ever_heard && has_majority(now, peers) {
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

/// Returns whether more than half of the daemons, this one included, were
/// heard from lately. Those proved gone don't count.
pub(crate) fn has_majority(now: Instant, peers: &Peers) -> bool {
    let there = peers.iter().filter(|peer| peer.gone_at.is_none());
    let mut all_count = 1;
    let mut heard_count = 1;
    for peer in there {
        all_count += 1;
        let is_heard = peer.answered_at.is_some_and(|at| now.since(at) < FRESH_FOR);
        heard_count += usize::from(is_heard);
    }
    heard_count * 2 > all_count
}
