//! Data types shared by the other crates.
//!
//! Identities of boxes and tasks, resources, the instants that are passed to the
//! decision crates so that these never read a clock, and the messages exchanged
//! between the system's processes. The crate contains no scheduling or routing logic.

pub mod api;
mod boxes;
mod hash;
mod instant;
mod name;
mod outcome;
pub mod peer;
mod resources;
mod retry_budget;
mod task;
pub mod worker;

pub use boxes::{BoxFacts, BoxKind, BoxState, DaemonIdentity};
pub use hash::{shard_of, stable_hash};
pub use instant::{Duration, Instant};
pub use name::{Key, Name, NameError, KEY_LIMIT_BYTES, NAME_LIMIT_BYTES};
pub use outcome::Outcome;
pub use resources::Resources;
pub use retry_budget::RetryBudget;
pub use task::{AttemptId, TaskEnd, TaskId, TaskPhase, TaskSpec};
