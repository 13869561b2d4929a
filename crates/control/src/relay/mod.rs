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

pub mod assignment;
pub(crate) mod link;
pub(crate) mod links;
pub mod message;
mod order;
pub(crate) mod server;

pub(crate) use links::RelayLinks;
pub(crate) use order::OpenOrder;
