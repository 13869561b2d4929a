//! Messages of the HTTP interface for callers and operators.

use crate::{Key, Name, Outcome, TaskSpec};
use serde::{Deserialize, Serialize};

/// Header that carries the caller's request key.
pub const REQUEST_KEY: &str = "request-key";
/// Header that carries an [`Outcome`].
pub const OUTCOME: &str = "ospreywing-outcome";

/// The body of `POST /v1/tasks`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitTask {
    /// The caller's key: the same key always means the same task.
    pub key: Key,
    /// The workload row.
    pub row: Name,
    /// What to run.
    pub spec: TaskSpec,
}

/// The body of every answer that is not a plain result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// What is known of the request.
    pub outcome: Outcome,
    /// Why it was refused, naming the field at fault where there is one.
    pub reason: String,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}
