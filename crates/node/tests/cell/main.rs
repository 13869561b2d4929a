//! Proofs of what the daemons of a cell promise together: slots of minions,
//! request keys, the table, membership.

mod search;
mod store_fake;
mod traces;
mod world;
