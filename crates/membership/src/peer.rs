//! Tracks the state of the other daemons from their answers.

use ospreywing_types::{DaemonIdentity, Duration, Instant};
use std::collections::BTreeMap;

/// Whether a process is running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// The process answered recently, or was discovered too recently to tell.
    Live,
    /// The process has not answered for some time, or refused a connection; it
    /// may be running, paused or partitioned.
    Unresponsive,
    /// The process is proved to have ended by the instant given.
    Gone(Instant),
}

/// One other process.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Identifies the process.
    pub identity: DaemonIdentity,
    /// When this daemon discovered the process.
    pub first_seen_at: Instant,
    /// When the last answered ping was sent.
    pub answered_at: Option<Instant>,
    /// When the peer's newest table information left the store, computed from the
    /// age in its answer.
    pub store_contact_at: Option<Instant>,
    /// Whether the process reported that it is stopping.
    pub is_leaving: bool,
    /// Whether its address refused a connection since its last answer; this is no
    /// proof that the process ended.
    pub is_suspect: bool,
    /// When the process was proved to have ended.
    pub gone_at: Option<Instant>,
    /// When a ping was last sent.
    pub pinged_at: Option<Instant>,
}

impl Peer {
    /// Returns when the last answered ping was sent, or when the process was
    /// discovered if that is later.
    pub fn last_seen_at(&self) -> Instant {
        self.answered_at
            .map_or(self.first_seen_at, |at| at.max(self.first_seen_at))
    }
}

/// All other known processes, by incarnation.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: BTreeMap<u64, Peer>,
}

impl Peers {
    /// Adds a process if it is not known yet.
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

    /// Returns a process for modification.
    pub fn get_mut(&mut self, incarnation: u64) -> Option<&mut Peer> {
        self.peers.get_mut(&incarnation)
    }

    /// Iterates over the processes.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Iterates over the processes for modification.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Peer> {
        self.peers.values_mut()
    }

    /// Marks a process as ended; keeps the instant of the first proof.
    pub fn set_gone(&mut self, now: Instant, incarnation: u64) {
        if let Some(peer) = self.peers.get_mut(&incarnation) {
            peer.gone_at.get_or_insert(now);
        }
    }

    /// Returns the state of a process; an unknown process counts as live.
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

    /// Removes the processes for which `is_named` returns false.
    pub fn retain(&mut self, is_named: impl Fn(u64) -> bool) {
        self.peers.retain(|&incarnation, _| is_named(incarnation));
    }
}
