//! Idle connections, kept for the next calls.

use crate::connection::Connection;
use crate::{ConnectionId, PeerId};
use ospreywing_clock as clock;
use ospreywing_types::{Duration, Instant};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// How long a connection is kept that nobody uses, time in suspend included: a peer may
/// close it meanwhile, and a request on it would be lost.
const IDLE_TIMEOUT: Duration = Duration::from_s(20);
/// The time between two searches for connections that have been idle for too long.
const SWEEP_PERIOD: Duration = Duration::from_s(5);

/// A connection that no call uses.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

impl Idle {
    fn is_usable(&self, now: Instant) -> bool {
        self.connection.is_open() && now.since(self.since) < IDLE_TIMEOUT
    }
}

#[derive(Debug)]
struct PoolState {
    by_address: HashMap<String, Vec<Idle>>,
    next_sweep_at: Instant,
}

/// The idle connections of a client.
#[derive(Debug)]
pub(crate) struct Pool {
    /// The most that are kept to each address.
    limit_count: usize,
    kept: Mutex<PoolState>,
    next_id: AtomicU64,
}

impl Pool {
    pub(crate) fn new(limit_count: usize) -> Self {
        Self {
            limit_count,
            kept: Mutex::new(PoolState {
                by_address: HashMap::new(),
                next_sweep_at: clock::now() + SWEEP_PERIOD,
            }),
            next_id: AtomicU64::new(0),
        }
    }

    /// Returns an id that no other connection has.
    pub(crate) fn next_id(&self) -> ConnectionId {
        ConnectionId(self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Takes out the connection to `addr` that was used last, where there is one whose peer
    /// has the peer mark the last one of these.
    pub(crate) fn take(&self, addr: &str, peer: Option<PeerId>) -> Option<Connection> {
        let now = clock::now();
        let mut kept = self.lock();
        let idle = kept.by_address.get_mut(addr)?;
        let has_peer = |idle: &Idle| idle.connection.peer() == peer && idle.is_usable(now);
        if let Some(index) = peer.and_then(|_| idle.iter().rposition(has_peer)) {
            return Some(idle.remove(index).connection);
        }
        while let Some(newest) = idle.pop() {
            if newest.is_usable(now) {
                return Some(newest.connection);
            }
        }
        None
    }

    /// Keeps a connection whose last answer was read whole.
    pub(crate) fn put(&self, addr: String, connection: Connection) {
        let now = clock::now();
        let mut kept = self.lock();
        if now >= kept.next_sweep_at {
            kept.next_sweep_at = now + SWEEP_PERIOD;
            kept.by_address.retain(|_, idle| {
                idle.retain(|idle| idle.is_usable(now));
                !idle.is_empty()
            });
        }
        let idle = kept.by_address.entry(addr).or_default();
        if idle.len() < self.limit_count {
            let since = now;
            idle.push(Idle { connection, since });
        }
    }

    /// Sets what the peer of an idle connection is known by.
    pub(crate) fn set_peer(&self, addr: &str, id: ConnectionId, peer: PeerId) {
        let mut kept = self.lock();
        let idle = kept.by_address.get_mut(addr);
        let mut idle = idle.into_iter().flatten();
        if let Some(found) = idle.find(|idle| idle.connection.id() == id) {
            found.connection.set_peer(peer);
        }
    }

    /// Closes the idle connections to `addr` that were made up to `until`; returns how
    /// many.
    ///
    /// Those of the same millisecond are closed too: they may be the older ones, and a
    /// silent one that is kept costs a time limit, where a new one costs a handshake.
    pub(crate) fn close_opened_until(&self, addr: &str, until: Instant) -> usize {
        let mut kept = self.lock();
        let Some(idle) = kept.by_address.get_mut(addr) else {
            return 0;
        };
        let count = idle.len();
        idle.retain(|idle| idle.connection.opened_at() > until);
        count - idle.len()
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        // Nothing panics while it is held, and the list is whole at any time.
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
