//! What a router is told.

use crate::entity::Request;
use ospreywing_membership::SeatSet;
use ospreywing_table::Table;
use ospreywing_types::{BoxFacts, Duration, Key, Name};
use std::sync::Arc;

/// A request from a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Stands for the caller.
    pub token: u64,
    /// The service row.
    pub row: Name,
    /// The caller's key; rows that are unsafe to repeat need one.
    pub key: Option<Key>,
}

/// One thing that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The minions as the box list has them now.
    Boxes(Vec<BoxFacts>),
    /// The table in force.
    Table(Arc<Table>),
    /// The seats whose slots may be used for new requests.
    Seats(SeatSet),
    /// Whether the daemon knows its table to be current.
    Deciding(bool),
    /// A caller sent a request.
    Arrived(Arrival),
    /// A caller has gone away.
    CallerDisconnected {
        /// The caller.
        token: u64,
    },
    /// The one run of a request was granted to this daemon.
    KeyGranted(Request),
    /// The one run of a request was granted earlier.
    KeyTaken(Request),
    /// The one run of a request was granted to nobody.
    KeyRefused {
        /// The request.
        request: Request,
        /// When to come back.
        retry_after: Duration,
    },
    /// A minion's whole answer is there.
    Answered(Request),
    /// Certainly nothing of the request left this daemon, or will.
    NotSent(Request),
    /// The connection broke, or the time was up, after sending had begun.
    Interrupted(Request),
    /// Time has passed.
    Tick,
}
