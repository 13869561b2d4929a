//! What really ran where and when, as the stand-ins saw it.

use ospreywing_types::{AttemptId, Resources};
use serde::{Deserialize, Serialize};

/// One run of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The attempt.
    pub attempt: AttemptId,
    /// The worker.
    pub worker: String,
    /// What it was said to need.
    pub resources: Resources,
    /// When it began, on the machine's clock.
    pub began_at_ms: u64,
    /// When it ended; `None` while it runs.
    pub ended_at_ms: Option<u64>,
    /// Whether it finished its work.
    pub is_finished: bool,
}

/// The record of a worker host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// Every run.
    pub runs: Vec<Run>,
    /// Starts that gave a worker more than it holds.
    pub overcommits_count: u64,
    /// Calls received.
    pub calls_count: u64,
}

/// How often a request key ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRuns {
    /// The key.
    pub key: String,
    /// How often it ran.
    pub runs_count: u64,
}

/// The record of a minion host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinionRecord {
    /// Every key that ran, of rows that are unsafe to repeat.
    pub keys: Vec<KeyRuns>,
    /// Requests that ran.
    pub runs_count: u64,
    /// Requests that came while all eight slots were in use.
    pub overcommits_count: u64,
    /// The most requests that one minion had at once.
    pub peak_slots_count: u64,
    /// Requests that came on a connection.
    pub connections_count: u64,
}
