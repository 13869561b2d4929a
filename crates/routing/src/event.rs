//! Events that the router handles.

use crate::entity::Request;
use ospreywing_membership::SeatSet;
use ospreywing_table::Table;
use ospreywing_types::{BoxFacts, Duration, Key, Name};
use std::sync::Arc;

/// A request from a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Identifies the caller.
    pub token: u64,
    /// The service row.
    pub row: Name,
    /// The caller's request key; required if the row is unsafe to repeat.
    pub key: Option<Key>,
}

/// One event.
#[derive(Clone, Debug)]
pub enum Event {
    /// All minions on the current box list.
    Boxes(Vec<BoxFacts>),
    /// The table in force.
    Table(Arc<Table>),
    /// The seats whose slots are available to new requests.
    Seats(SeatSet),
    /// Whether the daemon's table is known to be current; if not, the router
    /// rejects requests.
    Deciding(bool),
    /// A caller sent a request.
    Arrived(Arrival),
    /// A caller disconnected.
    CallerDisconnected {
        /// The caller.
        token: u64,
    },
    /// The request's only run was granted to this daemon.
    KeyGranted(Request),
    /// The request's only run had already been granted.
    KeyTaken(Request),
    /// The owner of the key granted the request's only run to nobody.
    KeyRefused {
        /// The request.
        request: Request,
        /// How long the caller should wait before a retry.
        retry_after: Duration,
    },
    /// A minion's complete answer arrived.
    Answered(Request),
    /// No part of the request was sent, and none will be.
    NotSent(Request),
    /// The connection broke or the timeout expired after sending had begun.
    Interrupted(Request),
    /// Periodic timer.
    Tick,
}
