//! A fake daemon around an owner, with the orders it holds between a decision and
//! the send.

use ospreywing_shard::{Closing, Commit, Event, Owner};
use ospreywing_types::worker::Order;
use std::collections::VecDeque;

/// An order that the owner issued and the daemon has not sent yet; the daemon may
/// pause in between.
#[derive(Clone, Debug)]
pub struct HeldOrder {
    pub worker: usize,
    pub session: u64,
    pub order: Order,
}

/// An open connection to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Link {
    pub worker: usize,
    pub session: u64,
    pub incarnation: u64,
}

/// A fake daemon.
#[derive(Default)]
pub struct DaemonFake {
    pub process: u64,
    pub owner: Option<Owner>,
    pub closing: Vec<Closing>,
    /// A commit whose outcome the daemon does not know.
    pub commit: Option<Commit>,
    /// Whether the store's answer to that commit was lost.
    pub has_tried: bool,
    pub links: Vec<Link>,
    pub held: Vec<HeldOrder>,
    pub inbox: VecDeque<Event>,
    pub is_paused: bool,
    /// Whether the daemon leaves events in its inbox.
    pub is_lagging: bool,
    pub is_dead: bool,
}

impl DaemonFake {
    pub fn is_awake(&self) -> bool {
        !self.is_paused && !self.is_dead
    }

    pub fn link(&self, worker: usize) -> Option<Link> {
        self.links
            .iter()
            .find(|link| link.worker == worker)
            .copied()
    }
}
