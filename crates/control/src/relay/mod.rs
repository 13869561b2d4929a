//! Relays: nodes that carry the leader's orders to workers.
//!
//! A leader of a thousand workers makes some thousands of calls a second, and
//! its own processor is what bounds the cell. So it has other nodes make them: it
//! hands each a batch of orders at a time, over few connections, and collects the
//! replies in batches. What is decided, recorded and fenced stays with the leader;
//! a relay only makes the calls that it is told to make.
//!
//! An order through a relay is like a call of the leader's own: it may be carried
//! out late, or be carried out while its reply is lost. Where a relay does not
//! answer, all that it holds counts as unanswered, and the next orders to its
//! workers go out directly.

pub mod assignment;
pub(crate) mod link;
pub(crate) mod links;
pub mod message;
mod order;
pub(crate) mod server;

pub(crate) use links::RelayLinks;
pub(crate) use order::OpenOrder;
