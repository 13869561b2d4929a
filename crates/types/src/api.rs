//! Messages of the HTTP interface for callers and operators.

use crate::{Key, Name, Outcome, TaskSpec};
use serde::{Deserialize, Serialize};

/// Request header with the caller's request key.
pub const REQUEST_KEY: &str = "request-key";
/// Response header with the [`Outcome`].
pub const OUTCOME: &str = "ospreywing-outcome";

/// The body of `POST /v1/tasks`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitTask {
    /// The caller's key; submissions with the same key are the same task.
    pub key: Key,
    /// The workload row that the task belongs to.
    pub row: Name,
    /// The resources and the command.
    pub spec: TaskSpec,
}

/// The body of every reply that is not a plain result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Why it was rejected, with the name of the invalid field if there is one.
    pub reason: String,
    /// The delay before the caller may retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}
