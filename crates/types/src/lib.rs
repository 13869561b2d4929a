//! Names, quantities and messages that the other crates share.
//!
//! Nothing here decides anything. The crate holds the typed vocabulary of the
//! workspace: identities of boxes and tasks, resources, the instant that the
//! decision crates are given in place of a clock, and the messages that the
//! system's processes exchange.

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
