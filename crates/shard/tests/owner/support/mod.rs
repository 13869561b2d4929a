//! Fakes at the interfaces of an owner: a store, workers, and what lies between.

pub mod box_fake;
mod checks;
pub mod daemon_fake;
pub mod script;
pub mod simulation;
pub mod store_fake;
