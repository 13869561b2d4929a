//! The pool of idle connections, kept for reuse by later calls.

use crate::connection::Connection;
use crate::{ConnectionId, PeerId};
use ospreywing_clock as clock;
use ospreywing_types::{Duration, Instant};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Connections idle for longer than this are not reused: the peer may have closed them, and a
/// request sent on them would be lost. Includes time for which the machine was suspended.
const IDLE_TIMEOUT: Duration = Duration::from_s(20);
/// The interval between two scans for connections past [`IDLE_TIMEOUT`].
const SWEEP_PERIOD: Duration = Duration::from_s(5);

/// A connection that no call is using.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
}

impl IdleConnection {
    fn is_usable(&self, now: Instant) -> bool {
        self.connection.is_open() && now.since(self.idle_since) < IDLE_TIMEOUT
    }
}

/// The idle connections by address, most recently used last.
#[derive(Debug)]
struct PoolState {
    by_address: HashMap<String, Vec<IdleConnection>>,
    next_sweep_at: Instant,
}

/// The idle connections of a client.
#[derive(Debug)]
pub(crate) struct Pool {
    /// The maximum number of idle connections to each address.
    max_idle_count: usize,
    state: Mutex<PoolState>,
    next_id: AtomicU64,
}

impl Pool {
    pub(crate) fn new(max_idle_count: usize) -> Self {
        Self {
            max_idle_count,
            state: Mutex::new(PoolState {
                by_address: HashMap::new(),
                next_sweep_at: clock::now() + SWEEP_PERIOD,
            }),
            next_id: AtomicU64::new(0),
        }
    }

    /// Returns an ID that is unique among this client's connections.
    pub(crate) fn next_id(&self) -> ConnectionId {
        ConnectionId(self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Removes and returns the most recently used connection to `addr`, preferring
    /// connections to `peer` if there are any.
    pub(crate) fn take(&self, addr: &str, peer: Option<PeerId>) -> Option<Connection> {
        let now = clock::now();
        let mut state = self.lock();
        let idle = state.by_address.get_mut(addr)?;
        if let Some(connection) = peer.and_then(|peer| remove_with_peer(idle, peer, now)) {
            return Some(connection);
        }
        while let Some(newest) = idle.pop() {
            if newest.is_usable(now) {
                return Some(newest.connection);
            }
        }
        None
    }

    /// Removes and returns the most recently used connection to `addr` among those to `peer`.
    pub(crate) fn take_with_peer(&self, addr: &str, peer: PeerId) -> Option<Connection> {
        let mut state = self.lock();
        let idle = state.by_address.get_mut(addr)?;
        remove_with_peer(idle, peer, clock::now())
    }

    /// Returns a connection to the pool; its last response must have been read completely.
    pub(crate) fn put(&self, addr: String, connection: Connection) {
        let now = clock::now();
        let mut state = self.lock();
        if now >= state.next_sweep_at {
            state.next_sweep_at = now + SWEEP_PERIOD;
            state.by_address.retain(|_, idle| {
                idle.retain(|idle| idle.is_usable(now));
                !idle.is_empty()
            });
        }
        let idle = state.by_address.entry(addr).or_default();
        idle.push(IdleConnection {
            connection,
            idle_since: now,
        });
        // The least recently used ones may be closed, or lead to a process that has ended.
        let excess_count = idle.len().saturating_sub(self.max_idle_count);
        idle.drain(..excess_count);
    }

    /// Sets the peer ID of an idle connection; does nothing if the connection is in use.
    pub(crate) fn set_peer(&self, addr: &str, id: ConnectionId, peer: PeerId) {
        let mut state = self.lock();
        let idle = state.by_address.get_mut(addr);
        let mut idle = idle.into_iter().flatten();
        if let Some(found) = idle.find(|idle| idle.connection.id() == id) {
            found.connection.set_peer(peer);
        }
    }

    /// Closes the idle connections to `addr` that were opened at or before `until` and
    /// returns their number.
    ///
    /// Connections opened in the same millisecond may predate `until` too, so they are also
    /// closed: reusing an unresponsive connection costs a timeout, opening a new one only a
    /// handshake.
    pub(crate) fn close_opened_until(&self, addr: &str, until: Instant) -> usize {
        let mut state = self.lock();
        let Some(idle) = state.by_address.get_mut(addr) else {
            return 0;
        };
        let count = idle.len();
        idle.retain(|idle| idle.connection.opened_at() > until);
        count - idle.len()
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        // No code panics while holding the lock, and the state is always consistent.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes and returns the most recently used connection to `peer`.
fn remove_with_peer(
    idle: &mut Vec<IdleConnection>,
    peer: PeerId,
    now: Instant,
) -> Option<Connection> {
    let has_peer = |idle: &IdleConnection| idle.connection.peer() == Some(peer);
    let index = idle
        .iter()
        .rposition(|it| has_peer(it) && it.is_usable(now))?;
    Some(idle.remove(index).connection)
}
