//! Actions: what an owner asks its caller to do.

use ospreywing_types::peer::{SubmitReply, TakeKeyReply};
use ospreywing_types::worker::Order;
use ospreywing_types::Name;

/// Identifies a caller that waits for a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Token(pub u64);

/// A reply to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The reply to a submission or a cancellation.
    Submit(SubmitReply),
    /// The reply to a claim on a request key.
    TakeKey(TakeKeyReply),
}

/// An action for the daemon. Actions must be carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Reply to a caller.
    Reply {
        /// The caller.
        token: Token,
        /// The reply.
        reply: Reply,
    },
    /// Send an order to a worker over its open connection.
    Order {
        /// The worker.
        worker: Name,
        /// The order.
        order: Order,
    },
}
