//! Messages between daemons (JSON-RPC over one WebSocket in each direction).

use crate::{DaemonIdentity, Key, Name, TaskPhase, TaskSpec};
use serde::{Deserialize, Serialize};

/// Method that takes a [`Ping`] and returns a [`Pong`].
pub const PING: &str = "peer_ping";
/// Method that takes a [`Submit`] and returns a [`SubmitReply`].
pub const SUBMIT: &str = "peer_submit";
/// Method that takes a [`Query`] and returns a [`QueryReply`].
pub const QUERY: &str = "peer_query";
/// Method that takes a [`Query`] and returns a [`SubmitReply`].
pub const CANCEL: &str = "peer_cancel";
/// Method that takes a [`TakeKey`] and returns a [`TakeKeyReply`].
pub const TAKE_KEY: &str = "peer_take_key";
/// Method that takes a [`CloseEpoch`] and returns a [`CloseEpochReply`].
pub const CLOSE_EPOCH: &str = "peer_close_epoch";

/// A heartbeat, with a digest of the sender's copy of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ping {
    /// The sender.
    pub from: DaemonIdentity,
    /// A hash of the versions of all rows in the sender's copy of the table.
    pub table_digest: u64,
}

/// The reply to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pong {
    /// The replying daemon.
    pub from: DaemonIdentity,
    /// The time since the replying daemon's last reply from the store, in milliseconds.
    pub store_age_ms: u64,
    /// The revision of the replying daemon's copy of the table.
    pub table_revision: u64,
    /// A hash of the versions of all rows in that copy.
    pub table_digest: u64,
    /// The rows with their versions as JSON, if the digests differ.
    pub table_json: Option<String>,
    /// Whether the replying daemon is shutting down.
    pub is_leaving: bool,
}

/// A task submitted to the owner of its shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submit {
    /// The caller's key.
    pub key: Key,
    /// The workload row.
    pub row: Name,
    /// The resources and the command.
    pub spec: TaskSpec,
}

/// The result of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SubmitReply {
    /// The task is recorded, by this or an earlier submission with the same key.
    Accepted(TaskStatus),
    /// The task was rejected; this call will not lead to a run.
    Refused {
        /// Why it was rejected.
        reason: String,
        /// The delay before a retry, in milliseconds; `None` if a retry can't succeed.
        retry_after_ms: Option<u64>,
    },
    /// It is unknown whether the task is recorded.
    Unknown,
}

/// A query for the status of a task, or a request to cancel it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// The caller's key.
    pub key: Key,
}

/// The reply to a query for a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueryReply {
    /// The status of the task.
    Found(TaskStatus),
    /// No task with this key is recorded.
    Absent,
    /// The replying daemon does not own the shard.
    NotOwner,
}

/// The status of a task as reported to callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The caller's key.
    pub key: Key,
    /// The workload row.
    pub row: Name,
    /// The state of the task.
    pub phase: TaskPhase,
    /// The number of attempts so far.
    pub attempts_count: u32,
    /// The worker of the current attempt.
    pub worker: Option<Name>,
    /// The result or the reason for the failure.
    pub result: Option<String>,
}

/// A claim on the only run of a request that is unsafe to repeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeKey {
    /// The caller's key.
    pub key: Key,
    /// A random number that identifies the claim; a retried call sends the same one.
    pub nonce: u64,
}

/// Whether the claim was granted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TakeKeyReply {
    /// Only this claimant may send the request.
    Granted,
    /// Another claim was granted earlier; the request may have run.
    Taken,
    /// No claim was recorded or granted.
    Refused {
        /// The delay before a retry, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Asks a former owner of a shard to stop acting under its epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloseEpoch {
    /// The shard.
    pub shard: u32,
    /// The epoch of the former owner.
    pub epoch: u64,
    /// The incarnation of the former owner's process.
    pub incarnation: u64,
}

/// A former owner's reply about its epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CloseEpochReply {
    /// No start of this epoch is in flight, and none will be sent.
    Closed,
    /// Starts of this epoch are still in flight.
    Busy,
    /// The replying process has another incarnation: the former owner's process has
    /// ended.
    OtherIncarnation,
}
