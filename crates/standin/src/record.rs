//! Records of what the stand-ins ran, where and when.

use ospreywing_types::{AttemptId, Resources};
use serde::{Deserialize, Serialize};

/// One run of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The attempt.
    pub attempt: AttemptId,
    /// The worker's name.
    pub worker: String,
    /// The resources given in the start order.
    pub resources: Resources,
    /// When it began, in milliseconds on the machine's monotonic clock.
    pub began_at_ms: u64,
    /// When it ended, on the same clock; `None` while it runs.
    pub ended_at_ms: Option<u64>,
    /// Whether the work finished, as opposed to failing or being stopped.
    pub is_finished: bool,
}

/// The record of a worker host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// Every run.
    pub runs: Vec<Run>,
    /// Starts that exceeded the worker's capacity.
    pub overcommits_count: u64,
    /// Calls received.
    pub calls_count: u64,
}

/// The number of runs of a request key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRuns {
    /// The key.
    pub key: String,
    /// The number of runs.
    pub runs_count: u64,
}

/// The record of a minion host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinionRecord {
    /// The runs of each request key that arrived with a request.
    pub keys: Vec<KeyRuns>,
    /// Requests that ran.
    pub runs_count: u64,
    /// Requests that arrived while all eight slots of the minion were in use.
    pub overcommits_count: u64,
    /// The maximum number of concurrent requests on one minion.
    pub peak_slots_count: u64,
    /// Requests that arrived on a connection.
    pub connections_count: u64,
}
