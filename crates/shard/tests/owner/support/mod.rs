//! A simulated cell around an owner: fakes of the store, the daemons and the
//! workers, and the messages between them.

pub mod box_fake;
mod checks;
pub mod daemon_fake;
pub mod script;
pub mod simulation;
pub mod store_fake;
