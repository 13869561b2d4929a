//! Holds the bodies of clients' requests within one limit.
//!
//! The first segment of each body is set aside with its connection, so that a short body always
//! has room. The further segments of all bodies share a limit. When it is reached, the oldest of
//! the long bodies that are still arriving is dropped: one that comes forward quickly is younger
//! than those that stand still.

use crate::body_buffer::{BodyBuffer, SEGMENT_BYTES};
use crate::connection_table::ConnectionId;
use std::collections::BTreeMap;

/// The order in which bodies began to arrive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Turn(u64);

/// A body that arrives, or whose request is being handled.
#[derive(Debug)]
struct Body {
    turn: Turn,
    /// The shared segments that it holds, also after its buffer was taken.
    shared_count: usize,
    /// What has arrived; `None` once the request is being handled.
    buffer: Option<BodyBuffer>,
}

/// Whether there was room for a body or a parsed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Room {
    /// Whether there was room; a body that had none was dropped.
    pub has_room: bool,
    /// The connections whose bodies were dropped to make room, and which must be closed.
    pub dropped: Vec<ConnectionId>,
}

/// The bodies of clients' requests, at most one for a connection.
#[derive(Debug)]
pub struct BodyPool {
    shared_limit_count: usize,
    shared_count: usize,
    next_turn: Turn,
    bodies: BTreeMap<ConnectionId, Body>,
    /// The bodies that arrive and hold shared segments, by age.
    long_arriving: BTreeMap<Turn, ConnectionId>,
}

impl BodyPool {
    /// Creates an empty pool with `shared_limit_count` shared segments.
    pub const fn new(shared_limit_count: usize) -> Self {
        Self {
            shared_limit_count,
            shared_count: 0,
            next_turn: Turn(0),
            bodies: BTreeMap::new(),
            long_arriving: BTreeMap::new(),
        }
    }

    /// Returns the number of shared segments in use.
    pub const fn shared_count(&self) -> usize {
        self.shared_count
    }

    /// Begins the body of a connection's request, in place of an earlier one.
    pub fn begin(&mut self, connection: ConnectionId) {
        self.end(connection);
        let turn = self.next_turn;
        self.next_turn = Turn(turn.0 + 1);
        let body = Body {
            turn,
            shared_count: 0,
            buffer: Some(BodyBuffer::default()),
        };
        self.bodies.insert(connection, body);
    }

    /// Appends to the body of a connection. A body that was dropped has no room.
    pub fn append(&mut self, connection: ConnectionId, data: &[u8]) -> Room {
        let missing_count = self.missing_count(connection, data.len());
        let dropped = self.make_room(connection, missing_count);
        let has_room = self.has_room_for(missing_count);
        Room {
            has_room: has_room && self.append_within_limit(connection, data, missing_count),
            dropped,
        }
    }

    /// Drops the oldest long bodies that arrive until there is room for more shared segments of
    /// a connection's body. If that one is the oldest, it is dropped itself.
    fn make_room(&mut self, connection: ConnectionId, missing_count: usize) -> Vec<ConnectionId> {
        let mut dropped = Vec::new();
        while !self.has_room_for(missing_count) {
            let oldest = self.long_arriving.first_key_value();
            let oldest = oldest.map_or(connection, |(_, oldest)| *oldest);
            self.end(oldest);
            if oldest == connection {
                break;
            }
            dropped.push(oldest);
        }
        dropped
    }

    /// Takes a body that has arrived whole. Its room stays in use until the request ends.
    pub fn take(&mut self, connection: ConnectionId) -> Option<BodyBuffer> {
        let body = self.bodies.get_mut(&connection)?;
        self.long_arriving.remove(&body.turn);
        body.buffer.take()
    }

    /// Holds room for what a request that is being handled takes up once it is parsed, in place of
    /// its body. Drops the oldest long bodies that arrive if there is no room.
    ///
    /// A request that is larger than all room is handled if no other one holds any.
    pub fn hold_parsed(&mut self, connection: ConnectionId, parsed_bytes: usize) -> Room {
        let needed_count = parsed_bytes.div_ceil(SEGMENT_BYTES).saturating_sub(1);
        self.set_shared_count(connection, 0);
        let dropped = self.drop_arriving_for(needed_count);
        let has_room = self.has_room_for(needed_count) || self.shared_count == 0;
        if has_room {
            self.set_shared_count(connection, needed_count);
        }
        Room { has_room, dropped }
    }

    /// Drops the oldest long bodies that arrive until there is room for more shared segments, or
    /// no such body is left.
    fn drop_arriving_for(&mut self, needed_count: usize) -> Vec<ConnectionId> {
        let mut dropped = Vec::new();
        while !self.has_room_for(needed_count) {
            let Some((_, oldest)) = self.long_arriving.first_key_value() else {
                break;
            };
            let oldest = *oldest;
            self.end(oldest);
            dropped.push(oldest);
        }
        dropped
    }

    fn set_shared_count(&mut self, connection: ConnectionId, count: usize) {
        if let Some(body) = self.bodies.get_mut(&connection) {
            self.shared_count = self.shared_count - body.shared_count + count;
            body.shared_count = count;
        }
    }

    /// Ends the request of a connection and frees the room of its body.
    pub fn end(&mut self, connection: ConnectionId) {
        if let Some(body) = self.bodies.remove(&connection) {
            self.shared_count -= body.shared_count;
            self.long_arriving.remove(&body.turn);
        }
    }

    /// Returns whether there is room for more shared segments; there always is for none.
    const fn has_room_for(&self, missing_count: usize) -> bool {
        missing_count == 0 || self.shared_count + missing_count <= self.shared_limit_count
    }

    /// Returns how many more shared segments a body needs for more data.
    fn missing_count(&self, connection: ConnectionId, data_bytes: usize) -> usize {
        let Some(body) = self.bodies.get(&connection) else {
            return 0;
        };
        let buffer = body.buffer.as_ref();
        let needed_count = buffer.map_or(0, |it| it.segments_count_with(data_bytes));
        needed_count.saturating_sub(1 + body.shared_count)
    }

    /// Appends to a body for which there is room; returns whether the body is there.
    fn append_within_limit(
        &mut self,
        connection: ConnectionId,
        data: &[u8],
        missing_count: usize,
    ) -> bool {
        let Some(body) = self.bodies.get_mut(&connection) else {
            return false;
        };
        let Some(buffer) = &mut body.buffer else {
            return false;
        };
        buffer.append(data);
        body.shared_count += missing_count;
        self.shared_count += missing_count;
        if body.shared_count > 0 {
            self.long_arriving.insert(body.turn, connection);
        }
        true
    }
}
