//! What a daemon knows of the others from talking to them.

use ospreywing_types::{DaemonIdentity, Duration, Instant};
use std::collections::BTreeMap;

/// Whether a process is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// It answered lately, or is too new to judge.
    Live,
    /// It has not answered for some time; it may be alive, paused or cut off.
    Unresponsive,
    /// The process has certainly ended, by the instant.
    Gone(Instant),
}

/// One other process.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Which process.
    pub identity: DaemonIdentity,
    /// When it was first heard of.
    pub first_seen_at: Instant,
    /// When the last ping that it answered was sent.
    pub answered_at: Option<Instant>,
    /// How old its last word from the store was, by the instant of its answer.
    pub store_contact_at: Option<Instant>,
    /// Whether it said that it is stopping.
    pub is_leaving: bool,
    /// Whether its address last refused a connection; it need not have ended.
    pub is_suspect: bool,
    /// When it was proved to have ended.
    pub gone_at: Option<Instant>,
    /// When a ping was last sent.
    pub pinged_at: Option<Instant>,
}

impl Peer {
    /// Returns when it last answered, or was first heard of.
    pub fn last_seen_at(&self) -> Instant {
        self.answered_at
            .map_or(self.first_seen_at, |at| at.max(self.first_seen_at))
    }
}

/// Every other process that was heard of, by incarnation.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: BTreeMap<u64, Peer>,
}

impl Peers {
    /// Adds a process where it is new.
    pub fn insert_if_new(&mut self, now: Instant, identity: &DaemonIdentity) {
        self.peers
            .entry(identity.incarnation)
            .or_insert_with(|| Peer {
                identity: identity.clone(),
                first_seen_at: now,
                answered_at: None,
                store_contact_at: None,
                is_leaving: false,
                is_suspect: false,
                gone_at: None,
                pinged_at: None,
            });
    }

    /// Returns a process.
    pub fn get(&self, incarnation: u64) -> Option<&Peer> {
        self.peers.get(&incarnation)
    }

    /// Returns a process to be changed.
    pub fn get_mut(&mut self, incarnation: u64) -> Option<&mut Peer> {
        self.peers.get_mut(&incarnation)
    }

    /// Iterates over the processes.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Iterates over the processes, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Peer> {
        self.peers.values_mut()
    }

    /// Notes that a process has certainly ended.
    pub fn set_gone(&mut self, now: Instant, incarnation: u64) {
        if let Some(peer) = self.peers.get_mut(&incarnation) {
            peer.gone_at.get_or_insert(now);
        }
    }

    /// Returns whether a process is there; one never heard of is live.
    pub fn state(&self, now: Instant, incarnation: u64, unresponsive_after: Duration) -> PeerState {
        let Some(peer) = self.peers.get(&incarnation) else {
            return PeerState::Live;
        };
        match peer.gone_at {
            Some(at) => PeerState::Gone(at),
            None if peer.is_suspect => PeerState::Unresponsive,
            None if now.since(peer.last_seen_at()) >= unresponsive_after => PeerState::Unresponsive,
            None => PeerState::Live,
        }
    }

    /// Drops processes that ended and that nothing names any more.
    pub fn retain(&mut self, is_named: impl Fn(u64) -> bool) {
        self.peers.retain(|&incarnation, _| is_named(incarnation));
    }
}
