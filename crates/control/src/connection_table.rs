//! Decides which clients' connections stay open when there are too many.
//!
//! A connection that waits for its client can be closed without harm: nothing of its request has
//! been done. When the limit is reached, a new connection therefore closes the one that has
//! waited the longest. An ordinary request arrives whole within milliseconds, so that clients
//! that leave requests unfinished only displace one another.

use std::collections::BTreeMap;

/// Identifies a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(u64);

/// The order in which connections began to wait for their clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Turn(u64);

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It waits for the rest of a request, or for the next one.
    Waiting(Turn),
    /// Its request has arrived whole and is being handled.
    Handling,
}

/// The outcome of opening a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    /// The connection is open.
    Opened(ConnectionId),
    /// The connection is open; the other one must be closed.
    Displaced {
        /// The connection that is open.
        opened: ConnectionId,
        /// The connection that must be closed.
        closing: ConnectionId,
    },
    /// There are too many connections, and all of them handle requests.
    Refused,
}

/// The open connections of clients.
#[derive(Debug)]
pub struct ConnectionTable {
    limit_count: usize,
    next_id: u64,
    next_turn: Turn,
    phases: BTreeMap<ConnectionId, Phase>,
    waiting: BTreeMap<Turn, ConnectionId>,
}

impl ConnectionTable {
    /// Creates an empty table for at most `limit_count` connections.
    pub const fn new(limit_count: usize) -> Self {
        Self {
            limit_count,
            next_id: 0,
            next_turn: Turn(0),
            phases: BTreeMap::new(),
            waiting: BTreeMap::new(),
        }
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        self.phases.len()
    }

    /// Opens a connection.
    pub fn open(&mut self) -> Opening {
        let closing = if self.phases.len() < self.limit_count {
            None
        } else {
            let Some((_, closing)) = self.waiting.pop_first() else {
                return Opening::Refused;
            };
            self.phases.remove(&closing);
            Some(closing)
        };
        let opened = ConnectionId(self.next_id);
        self.next_id += 1;
        self.insert_waiting(opened);
        match closing {
            Some(closing) => Opening::Displaced { opened, closing },
            None => Opening::Opened(opened),
        }
    }

    /// Returns whether a connection is open and is not to be closed.
    pub fn contains(&self, id: ConnectionId) -> bool {
        self.phases.contains_key(&id)
    }

    /// Records that a connection begins to wait for its client.
    pub fn set_waiting(&mut self, id: ConnectionId) {
        if self.remove(id) {
            self.insert_waiting(id);
        }
    }

    /// Records that a request has arrived whole and is being handled.
    pub fn set_handling(&mut self, id: ConnectionId) {
        if self.remove(id) {
            self.phases.insert(id, Phase::Handling);
        }
    }

    /// Closes a connection; does nothing if it was displaced.
    pub fn close(&mut self, id: ConnectionId) {
        self.remove(id);
    }

    fn insert_waiting(&mut self, id: ConnectionId) {
        let turn = self.next_turn;
        self.next_turn = Turn(turn.0 + 1);
        self.phases.insert(id, Phase::Waiting(turn));
        self.waiting.insert(turn, id);
    }

    /// Removes a connection and returns whether it was there.
    fn remove(&mut self, id: ConnectionId) -> bool {
        match self.phases.remove(&id) {
            Some(Phase::Waiting(turn)) => {
                self.waiting.remove(&turn);
                true
            }
            Some(Phase::Handling) => true,
            None => false,
        }
    }
}
