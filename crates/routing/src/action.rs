//! Actions that the router requests from the daemon.

use crate::entity::Request;
use ospreywing_types::{Duration, Key, Name, Outcome};

/// The final reply to a caller whose request gets no answer from a minion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GiveUp {
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// The reason; begins with the invalid field, if there is one.
    pub reason: String,
    /// How long to wait before a retry; `None` if a retry can't succeed.
    pub retry_after: Option<Duration>,
}

/// One action. The daemon executes actions in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Claim the request's only run from the owner of its key.
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
        /// Identifies the caller.
        token: u64,
        /// The minion.
        minion: Name,
        /// `IP:port` of the minion.
        addr: String,
        /// The time until the send is aborted.
        timeout: Duration,
    },
    /// Forward the minion's answer to the caller.
    Deliver {
        /// The caller.
        token: u64,
    },
    /// Reply to the caller that there will be no answer.
    GiveUp {
        /// The caller.
        token: u64,
        /// The reply.
        give_up: GiveUp,
    },
}
