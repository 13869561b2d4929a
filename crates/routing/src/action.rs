//! What a router wants done.

use crate::entity::Request;
use ospreywing_types::{Duration, Key, Name, Outcome};

/// The final word to a caller without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GiveUp {
    /// What is known.
    pub outcome: Outcome,
    /// Why, naming the field at fault where there is one.
    pub reason: String,
    /// When to come back; `None` where never.
    pub retry_after: Option<Duration>,
}

/// One thing to do. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Claim the one run of the request from the owner of its key.
    TakeKey {
        /// The request.
        request: Request,
        /// Its key.
        key: Key,
    },
    /// Send the request to a minion, once.
    Send {
        /// The request.
        request: Request,
        /// The caller whose request it is.
        token: u64,
        /// The minion.
        minion: Name,
        /// `IP:port` of the minion.
        addr: String,
        /// When to break it off.
        timeout: Duration,
    },
    /// Pass the minion's answer on to the caller.
    Deliver {
        /// The caller.
        token: u64,
    },
    /// Tell the caller that there will be no answer.
    GiveUp {
        /// The caller.
        token: u64,
        /// What it is told.
        give_up: GiveUp,
    },
}
