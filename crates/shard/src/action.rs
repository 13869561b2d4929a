//! What an owner wants done.

use ospreywing_types::peer::{SubmitReply, TakeKeyReply};
use ospreywing_types::worker::Order;
use ospreywing_types::Name;

/// Stands for a caller that waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Token(pub u64);

/// An answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// To a submission or a cancellation.
    Submit(SubmitReply),
    /// To a claim on a request key.
    TakeKey(TakeKeyReply),
}

/// One thing to do. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Answer a caller.
    Reply {
        /// The caller.
        token: Token,
        /// The answer.
        reply: Reply,
    },
    /// Give a worker an order over its open connection.
    Order {
        /// The worker.
        worker: Name,
        /// The order.
        order: Order,
    },
}
