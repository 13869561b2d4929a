//! Tests the invariants that the daemons of a cell uphold together: use of minion
//! slots, request keys, the table and membership.

mod search;
mod simulation;
mod store_fake;
mod traces;
