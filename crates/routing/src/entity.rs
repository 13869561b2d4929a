//! Dense keys of the entities that a router decides about.

use cranelift_entity::entity_impl;

/// A minion.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Minion(u32);
entity_impl!(Minion, "minion");

/// A row of the table that requests are sent to.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Service(u32);
entity_impl!(Service, "service");

/// A request that is not answered, or whose slot is not free again.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Request(u32);
entity_impl!(Request, "request");
