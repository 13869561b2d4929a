//! Relays: nodes that forward the leader's orders to workers.
//!
//! A leader of a thousand workers makes some thousands of calls a second, so its
//! CPU share limits the size of the cell. To avoid that, other nodes make these
//! calls: the leader sends each relay batches of orders over few connections, and
//! collects the replies in batches. Decisions, commits and fencing stay with the
//! leader; a relay only makes the calls.
//!
//! A relayed order has the same guarantees as a call of the leader itself: it may be
//! executed late, or executed while its reply is lost. If a relay does not answer, all
//! its open orders count as unanswered, and further orders to its workers are sent
//! directly.
//!
//! A start that a relay has held for longer than the leader waits for its answer is given up:
//! the worker may be another incarnation by then. Its age includes the time that the batch lay
//! unread in the socket of a relay that stood still.

pub mod assignment;
pub mod batch;
pub(crate) mod link;
pub(crate) mod links;
pub mod message;
mod order;
pub mod relay_clock;
pub(crate) mod server;

pub(crate) use links::RelayLinks;
pub(crate) use order::OpenOrder;
