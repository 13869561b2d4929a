//! Messages between daemons (JSON-RPC over one WebSocket each way).

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

/// A heartbeat, with what the sender knows of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ping {
    /// Who asks.
    pub from: DaemonIdentity,
    /// A hash of the versions of all rows of the table that the sender has.
    pub table_digest: u64,
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pong {
    /// Who answers.
    pub from: DaemonIdentity,
    /// How long ago the answerer heard from the store, in milliseconds.
    pub store_age_ms: u64,
    /// The newest version of the table that the answerer has.
    pub table_revision: u64,
    /// A hash of the versions of all rows of that table.
    pub table_digest: u64,
    /// The rows with their versions as JSON, where the asker's digest differs.
    pub table_json: Option<String>,
    /// Whether the answerer is stopping.
    pub is_leaving: bool,
}

/// A task handed to the owner of its shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submit {
    /// The caller's key.
    pub key: Key,
    /// The workload row.
    pub row: Name,
    /// What to run.
    pub spec: TaskSpec,
}

/// What became of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SubmitReply {
    /// On record, now or by an earlier submission of the same key.
    Accepted(TaskStatus),
    /// Not accepted and never will be by this call.
    Refused {
        /// Why.
        reason: String,
        /// When to come back, in milliseconds; `None` where never.
        retry_after_ms: Option<u64>,
    },
    /// Whether it is on record can't be said.
    Unknown,
}

/// A question about a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// The caller's key.
    pub key: Key,
}

/// The answer to a question about a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueryReply {
    /// The task.
    Found(TaskStatus),
    /// No task of this key is on record.
    Absent,
    /// The answerer does not own the shard.
    NotOwner,
}

/// A task as callers see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The caller's key.
    pub key: Key,
    /// The workload row.
    pub row: Name,
    /// Where it stands.
    pub phase: TaskPhase,
    /// The number of attempts so far.
    pub attempts_count: u32,
    /// The worker of the present attempt.
    pub worker: Option<Name>,
    /// The result or the reason of failure.
    pub result: Option<String>,
}

/// A claim on the one run of a request that is unsafe to repeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeKey {
    /// The caller's key.
    pub key: Key,
    /// The random number of the claim; a repeat of the call carries it again.
    pub nonce: u64,
}

/// Whether the claim holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TakeKeyReply {
    /// The claimant, and no other, may send the request.
    Granted,
    /// Another claim came first; the request may have run.
    Taken,
    /// Nothing is on record, and nothing was granted.
    Refused {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Asks a former owner to act no more under an epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloseEpoch {
    /// The shard.
    pub shard: u32,
    /// The epoch that the former owner held.
    pub epoch: u64,
    /// The process that held it.
    pub incarnation: u64,
}

/// What a former owner says of its epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CloseEpochReply {
    /// No start of this epoch is on its way or will be sent.
    Closed,
    /// Starts are still on their way.
    Busy,
    /// The process that answers is not the one asked for, which has ended.
    OtherIncarnation,
}
