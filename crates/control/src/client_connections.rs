//! The open connections of clients and the bodies of their requests.

use crate::body_buffer::{BodyBuffer, SEGMENT_BYTES};
use crate::body_pool::{BodyPool, Room};
use crate::client_limits::ClientLimits;
use crate::clock;
use crate::connection_table::{ConnectionId, ConnectionTable, Opening};
use ospreywing_types::{Duration, Instant};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::{Notify, Semaphore, SemaphorePermit};

/// How long after the last answer a new connection waits for one of those that handle requests.
const STALL_TIMEOUT: Duration = Duration::from_ms(100);

/// How long a request that has arrived waits until it is handled.
const TURN_TIMEOUT: Duration = Duration::from_ms(1000);

/// What the connections share.
struct Shared {
    table: RefCell<ConnectionTable>,
    bodies: RefCell<BodyPool>,
    /// Notified when a connection must be closed.
    closings: RefCell<BTreeMap<ConnectionId, Rc<Notify>>>,
    /// Notified when a connection has been closed.
    closed: Notify,
    /// A permit for each request that may be handled.
    handling: Semaphore,
    /// When a request was answered last.
    answered_at: Cell<Instant>,
    /// Whether a new connection waits for another one to be closed.
    is_room_wanted: Cell<bool>,
}

/// The open connections of clients; clones share one state.
#[derive(Clone)]
pub struct ClientConnections(Rc<Shared>);

/// The outcome of opening a connection.
pub enum OpenedConnection {
    /// There was room for the connection.
    Opened(ClientConnection),
    /// Another connection is being closed in its favour.
    Displaced(ClientConnection),
    /// The connection must be closed: all others handle requests.
    Refused,
}

/// Whether there was room for a body or a parsed request.
pub struct MadeRoom {
    /// Whether there was room; a body that had none was dropped.
    pub has_room: bool,
    /// The number of connections that are being closed to make room.
    pub displaced_count: usize,
}

impl ClientConnections {
    /// Creates an empty set.
    pub fn new(limits: ClientLimits) -> Self {
        Self(Rc::new(Shared {
            table: RefCell::new(ConnectionTable::new(limits.connections_count)),
            bodies: RefCell::new(BodyPool::new(limits.body_segments_count)),
            closings: RefCell::default(),
            closed: Notify::new(),
            handling: Semaphore::new(limits.handled_count),
            answered_at: Cell::default(),
            is_room_wanted: Cell::default(),
        }))
    }

    /// Returns the number of connections that are open or being closed.
    pub fn open_count(&self) -> usize {
        self.0.closings.borrow().len()
    }

    /// Returns the size of the bodies that are longer than one segment, without their first one.
    pub fn long_bodies_bytes(&self) -> usize {
        self.0.bodies.borrow().shared_count() * SEGMENT_BYTES
    }

    /// Opens a connection; displaces the one that has waited the longest if there are too many.
    ///
    /// While all handle requests, waits until one of them is closed after its answer. If none has
    /// been answered for [`STALL_TIMEOUT`], refuses at once: other nodes may be better off.
    pub async fn open(&self) -> OpenedConnection {
        loop {
            let closed = self.0.closed.notified();
            let opened = self.try_open();
            let is_refused = matches!(opened, OpenedConnection::Refused);
            let remaining = self.remaining_wait();
            let waits = is_refused && remaining > Duration::ZERO;
            self.0.is_room_wanted.set(waits);
            if !waits {
                return opened;
            }
            // Whether there is room is tested next.
            let _ = tokio::time::timeout(remaining.into(), closed).await;
        }
    }

    /// Returns how long a new connection waits for another one to be closed.
    fn remaining_wait(&self) -> Duration {
        let since = clock::now().since(self.0.answered_at.get());
        Duration::from_ms(STALL_TIMEOUT.as_ms().saturating_sub(since.as_ms()))
    }

    fn try_open(&self) -> OpenedConnection {
        let opening = self.0.table.borrow_mut().open();
        match opening {
            Opening::Opened(id) => OpenedConnection::Opened(self.insert(id)),
            Opening::Displaced { opened, closing } => {
                self.displace(closing);
                OpenedConnection::Displaced(self.insert(opened))
            }
            Opening::Refused => OpenedConnection::Refused,
        }
    }

    /// Waits until every displaced connection has been closed, so that there are never more
    /// than the limit and one.
    pub async fn displaced_closed(&self) {
        loop {
            let closed = self.0.closed.notified();
            if self.open_count() <= self.0.table.borrow().open_count() {
                return;
            }
            closed.await;
        }
    }

    fn insert(&self, id: ConnectionId) -> ClientConnection {
        let closing = Rc::new(Notify::new());
        let mut closings = self.0.closings.borrow_mut();
        closings.insert(id, closing.clone());
        ClientConnection {
            connections: self.clone(),
            id,
            closing,
        }
    }

    /// Closes a connection in favour of another one.
    fn displace(&self, id: ConnectionId) {
        self.0.table.borrow_mut().close(id);
        self.0.bodies.borrow_mut().end(id);
        if let Some(closing) = self.0.closings.borrow().get(&id) {
            closing.notify_waiters();
        }
    }
}

/// An open connection of a client; it is closed when this is dropped.
pub struct ClientConnection {
    connections: ClientConnections,
    id: ConnectionId,
    closing: Rc<Notify>,
}

impl ClientConnection {
    /// Waits until the connection must be closed in favour of another one.
    pub async fn displaced(&self) {
        loop {
            let closing = self.closing.notified();
            if !self.table().borrow().contains(self.id) {
                return;
            }
            closing.await;
        }
    }

    /// Begins a request whose head has arrived.
    pub fn begin_request(&self) {
        self.table().borrow_mut().set_waiting(self.id);
        self.bodies().borrow_mut().begin(self.id);
    }

    /// Appends to the body of the request; closes connections whose bodies arrive more slowly if
    /// there is no room.
    pub fn append_to_body(&self, data: &[u8]) -> MadeRoom {
        let room = self.bodies().borrow_mut().append(self.id, data);
        self.displace_for(room)
    }

    /// Holds room for a parsed request in place of its body; closes connections whose bodies still
    /// arrive if there is no room.
    pub fn hold_parsed(&self, parsed_bytes: usize) -> MadeRoom {
        let room = self
            .bodies()
            .borrow_mut()
            .hold_parsed(self.id, parsed_bytes);
        self.displace_for(room)
    }

    fn displace_for(&self, room: Room) -> MadeRoom {
        for connection in &room.dropped {
            self.connections.displace(*connection);
        }
        MadeRoom {
            has_room: room.has_room,
            displaced_count: room.dropped.len(),
        }
    }

    /// Begins to handle a request that has arrived whole, and returns its body.
    pub fn begin_handling(&self) -> BodyBuffer {
        self.table().borrow_mut().set_handling(self.id);
        let body = self.bodies().borrow_mut().take(self.id);
        body.unwrap_or_default()
    }

    /// Waits until the request may be handled, in the order in which requests have arrived.
    /// Returns `None` if that takes longer than [`TURN_TIMEOUT`].
    pub async fn turn(&self) -> Option<SemaphorePermit<'_>> {
        let turn = self.connections.0.handling.acquire();
        let turn = tokio::time::timeout(TURN_TIMEOUT.into(), turn).await;
        turn.ok()?.ok()
    }

    /// Ends a request that is being answered; returns whether the connection must be closed after
    /// the answer, since a new one waits for room.
    pub fn end_request(&self) -> bool {
        self.table().borrow_mut().set_waiting(self.id);
        self.bodies().borrow_mut().end(self.id);
        let shared = &self.connections.0;
        shared.answered_at.set(clock::now());
        shared.is_room_wanted.take()
    }

    fn bodies(&self) -> &RefCell<BodyPool> {
        &self.connections.0.bodies
    }

    fn table(&self) -> &RefCell<ConnectionTable> {
        &self.connections.0.table
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.table().borrow_mut().close(self.id);
        self.bodies().borrow_mut().end(self.id);
        self.connections.0.closings.borrow_mut().remove(&self.id);
        self.connections.0.closed.notify_waiters();
    }
}
