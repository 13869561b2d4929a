//! The open connections of clients.

use crate::connection_table::{ConnectionId, ConnectionTable, Opening};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// What the connections share.
struct Shared {
    table: RefCell<ConnectionTable>,
    /// Notified when a connection must be closed.
    closings: RefCell<BTreeMap<ConnectionId, Rc<Notify>>>,
    /// Notified when a connection has been closed.
    closed: Notify,
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

impl ClientConnections {
    /// Creates an empty set of at most `limit_count` connections.
    pub fn new(limit_count: usize) -> Self {
        Self(Rc::new(Shared {
            table: RefCell::new(ConnectionTable::new(limit_count)),
            closings: RefCell::default(),
            closed: Notify::new(),
        }))
    }

    /// Returns the number of connections that are open or being closed.
    pub fn open_count(&self) -> usize {
        self.0.closings.borrow().len()
    }

    /// Opens a connection; displaces the one that has waited the longest if there are too many.
    pub fn open(&self) -> OpenedConnection {
        let opening = self.0.table.borrow_mut().open();
        match opening {
            Opening::Opened(id) => OpenedConnection::Opened(self.insert(id)),
            Opening::Displaced { opened, closing } => {
                self.notify_closing(closing);
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

    fn notify_closing(&self, id: ConnectionId) {
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

    /// Records that the head of a request has arrived, or that a request has been answered.
    pub fn set_waiting(&self) {
        self.table().borrow_mut().set_waiting(self.id);
    }

    /// Records that a request has arrived whole and is being handled.
    pub fn set_handling(&self) {
        self.table().borrow_mut().set_handling(self.id);
    }

    fn table(&self) -> &RefCell<ConnectionTable> {
        &self.connections.0.table
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.table().borrow_mut().close(self.id);
        self.connections.0.closings.borrow_mut().remove(&self.id);
        self.connections.0.closed.notify_waiters();
    }
}
