//! Dense entity keys for the router's tables.

use cranelift_entity::entity_impl;

/// A minion: an upstream process that runs requests.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Minion(u32);
entity_impl!(Minion, "minion");

/// A service row of the table.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Service(u32);
entity_impl!(Service, "service");

/// A request that has no final reply yet, or whose slot is still in use.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Request(u32);
entity_impl!(Request, "request");
