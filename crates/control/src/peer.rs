//! What nodes say to one another: one request, one answer, over HTTP.
//!
//! Bodies are in a compact binary form. The calls are few and small, and the
//! machines have a quarter of a core, so a general RPC library does not pay.

use crate::caller::Caller;
use crate::cell_view::LeaderRecord;
use crate::relay::message::{RelaySession, RelayedOrder, RelayedReply};
use crate::store::{LeaseId, Revision};
use core::fmt;
use http::Method;
use http_body_util::Full;
use hyper::body::Bytes;
use ospreywing_http::{Call, HttpClient, HttpError};
use ospreywing_scheduler::{Forecast, JobId, JobRecord, JobView, Learned, StepKey};
use ospreywing_types::Duration;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use thiserror::Error;

/// The path of every call.
pub const PATH: &str = "/peer";

/// What one node asks of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// To tell a job's state, as its leader.
    Status {
        /// The job.
        job: JobId,
        /// Who asks.
        caller: Caller,
    },
    /// To tell how many jobs of a queue have not begun, as its leader.
    Pending(String),
    /// To know of a job that is in the store.
    JobTaken {
        /// The job.
        job: JobId,
        /// What was accepted.
        record: JobRecord,
    },
    /// To know of a cancel that is in the store.
    CancelTaken(JobId),
    /// To write a job to the store, where the caller can't reach it.
    Submit {
        /// The job.
        job: JobId,
        /// What is to be accepted.
        record: JobRecord,
        /// The version of the configuration by which it was read.
        version: u64,
    },
    /// To write a cancel to the store, where the caller can't reach it.
    Cancel {
        /// The job.
        job: JobId,
        /// Who cancels it.
        caller: Caller,
    },
    /// To tell who leads.
    Leader,
    /// To end the lease of a leader that the store does not answer.
    EndLease(LeaseId),
    /// To ask the adviser.
    Advise {
        /// The step.
        step: StepKey,
        /// The ids of the workers to be named.
        workers: Vec<String>,
        /// How long the call may take, in milliseconds.
        limit_ms: u64,
    },
    /// To give these orders, as a relay.
    RelayOrders {
        /// The session.
        session: RelaySession,
        /// The orders.
        orders: Vec<RelayedOrder>,
    },
    /// To tell what became of orders.
    RelayReplies {
        /// The session.
        session: RelaySession,
    },
    /// To hand on the configuration, as soon as there is a newer one than the one known.
    Configuration {
        /// The revision of the known one; 0 for none.
        known: Revision,
        /// How long the answer may wait for a newer one, in milliseconds.
        wait_ms: u64,
    },
    /// To tell whether the leader with this lease leaves calls unanswered.
    IsLeaderSilent(LeaseId),
    /// To keep what the leader has learned, for a term of the node's own.
    Learned(Learned),
}

/// What it answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The job's state, where the leader knows the job.
    Status(Option<JobView>),
    /// How many jobs have not begun.
    Pending(u64),
    /// Noted.
    Taken,
    /// The node is not the leader; it knows of this one, or of none.
    NotLeader(Option<LeaderRecord>),
    /// The lease is over.
    Ended,
    /// The job or cancel is in the store.
    Accepted,
    /// There is no such job.
    NoJob,
    /// Nothing was done.
    Refused,
    /// What was done is not known.
    Unknown,
    /// The workers that may run the step, with their tickets.
    Advice(Option<AdviceAnswer>),
    /// What became of orders.
    Relayed(Vec<RelayedReply>),
    /// The id is that of another customer's job; nothing was done.
    IdTaken,
    /// The configuration.
    Configuration(SharedConfiguration),
    /// Whether the leader leaves calls unanswered.
    LeaderSilent(bool),
    /// Noted, by a leader whose services are overloaded.
    TakenInOverload(Forecast),
}

/// What a node tells another one of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedConfiguration {
    /// A newer one than the one known, where there is one.
    pub item: Option<SharedItem>,
    /// How long ago the store confirmed to the node that there is no newer one.
    pub age_ms: u64,
    /// For how long the node held the question back.
    pub held_ms: u64,
}

/// A stored configuration, as it stands in the store.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedItem {
    /// The revision of its last change.
    pub revision: Revision,
    /// Its value, which holds customers' keys.
    pub value: Vec<u8>,
}

impl fmt::Debug for SharedItem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = f.debug_struct("SharedItem");
        shown.field("revision", &self.revision);
        shown.finish_non_exhaustive()
    }
}

/// The adviser's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceAnswer {
    /// Ids of workers and their tickets.
    pub good: Vec<GoodWorker>,
    /// How long the tickets hold, in milliseconds.
    pub validity_ms: u64,
}

/// A worker that may run a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GoodWorker {
    /// Its id.
    pub worker: Arc<str>,
    /// Its ticket.
    pub ticket: Arc<str>,
}

/// Why a peer gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PeerError {
    /// The call failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The answer can't be read.
    #[error("the answer can't be read")]
    Malformed,
}

impl PeerError {
    /// Returns whether the peer certainly has not received the call.
    pub const fn is_not_sent(&self) -> bool {
        matches!(self, Self::Http(error) if error.is_not_sent())
    }
}

/// Calls another node.
///
/// # Errors
///
/// Returns a [`PeerError`] where there was no usable answer.
pub async fn call(
    client: &HttpClient,
    address: &str,
    request: &PeerRequest,
    limit: Duration,
) -> Result<PeerReply, PeerError> {
    let body = postcard::to_allocvec(request).map_err(|_| PeerError::Malformed)?;
    let call = Call::new(Method::POST, address, PATH, limit.into()).with_body(body);
    let answer = client.call(call).await?;
    postcard::from_bytes(&answer.body).map_err(|_| PeerError::Malformed)
}

/// Reads a call.
pub fn decode(body: &[u8]) -> Option<PeerRequest> {
    postcard::from_bytes(body).ok()
}

/// Writes an answer.
pub fn encode(reply: &PeerReply) -> http::Response<Full<Bytes>> {
    let body = postcard::to_allocvec(reply).unwrap_or_default();
    http::Response::new(Full::new(Bytes::from(body)))
}
