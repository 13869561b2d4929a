//! Calls between nodes: one request and one reply, over HTTP.
//!
//! Bodies are encoded with postcard. The calls are few and small, and the boxes have a
//! quarter of a core, so a general RPC library is not worth its cost.

use crate::caller::Caller;
use crate::cell_view::LeaderRecord;
use crate::relay::message::{RelaySession, RelayedOrder, RelayedReply, SentAt};
use crate::store::{LeaseId, Revision};
use core::fmt;
use http::Method;
use http_body_util::Full;
use hyper::body::Bytes;
use ospreywing_http::{Call, HttpClient, HttpError};
use ospreywing_scheduler::{
    Forecast, JobId, JobPolicy, JobRecord, JobView, Learned, StepKey, Trailing,
};
use ospreywing_types::{Duration, Instant};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use thiserror::Error;

/// The HTTP path of every call.
pub const PATH: &str = "/peer";

/// A request of one node to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Queries a job's state; for the leader.
    Status {
        /// The job.
        job: JobId,
        /// The client that queries it.
        caller: Caller,
    },
    /// Queries how many jobs of a queue have not started; for the leader.
    Pending(String),
    /// Notifies the leader of a job that was written to the store.
    JobTaken {
        /// The job.
        job: JobId,
        /// The accepted job, without its policy.
        record: JobRecord,
        /// The policy of the record; the last field.
        policy: Trailing<Box<JobPolicy>>,
    },
    /// Notifies the leader of a cancel that was written to the store.
    CancelTaken(JobId),
    /// Writes a job to the store, which the sender can't reach.
    Submit {
        /// The job.
        job: JobId,
        /// The job to be accepted, without its policy.
        record: JobRecord,
        /// The version of the configuration with which the job was parsed.
        version: u64,
        /// The policy of the record; the last field.
        policy: Trailing<Box<JobPolicy>>,
    },
    /// Writes a cancel to the store, which the sender can't reach.
    Cancel {
        /// The job.
        job: JobId,
        /// The client that cancels it.
        caller: Caller,
    },
    /// Queries which node leads; also serves as a probe of the leader.
    Leader,
    /// Ends the lease of the sender, a leader that the store does not answer.
    EndLease(LeaseId),
    /// Requests advice on a step from the adviser.
    Advise {
        /// The step.
        step: StepKey,
        /// The ids of the workers to query.
        workers: Vec<String>,
        /// The call's timeout, in milliseconds.
        limit_ms: u64,
    },
    /// Sends these orders to workers; for a relay.
    RelayOrders {
        /// The session.
        session: RelaySession,
        /// The orders.
        orders: Vec<RelayedOrder>,
        /// When they were sent; the last field.
        sent_at: SentAt,
    },
    /// Collects the replies to relayed orders.
    RelayReplies {
        /// The session.
        session: RelaySession,
    },
    /// Fetches the configuration, as soon as there is one newer than the sender's.
    Configuration {
        /// The revision of the sender's configuration; 0 for none.
        known: Revision,
        /// How long the request may be held until there is a newer one, in milliseconds.
        wait_ms: u64,
    },
    /// Queries whether the receiver finds the leader with this lease unresponsive.
    IsLeaderSilent(LeaseId),
    /// Passes on the leader's learned statistics, in case the receiver leads next.
    Learned(Learned),
    /// Queries the receiver's clock; for a relay.
    Clock,
    /// Reserves room for a large job before it is accepted; for the leader.
    ReserveRoom {
        /// The job.
        job: JobId,
        /// The memory that a leader needs for it, by estimate.
        bytes: u64,
    },
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The job's state, if the leader knows the job and the caller may see it.
    Status(Option<JobView>),
    /// The number of jobs that have not started.
    Pending(u64),
    /// The request was accepted.
    Taken,
    /// The node does not lead, or was asked who leads; the leader as far as it knows.
    NotLeader(Option<LeaderRecord>),
    /// The lease was ended.
    Ended,
    /// The job or cancel is in the store.
    Accepted,
    /// The job does not exist.
    NoJob,
    /// The request was refused; nothing was done.
    Refused,
    /// The outcome is unknown.
    Unknown,
    /// The adviser's answer, if there was one.
    Advice(Option<AdviceAnswer>),
    /// The replies to relayed orders.
    Relayed(Vec<RelayedReply>),
    /// Another customer's job has this id; nothing was done.
    IdTaken,
    /// The configuration.
    Configuration(SharedConfiguration),
    /// Whether the node finds the leader unresponsive.
    LeaderSilent(bool),
    /// The notification was accepted by a leader whose services are overloaded; its forecast.
    TakenInOverload(Forecast),
    /// The node's clock.
    Clock(Instant),
}

/// A node's reply to a configuration fetch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedConfiguration {
    /// The configuration, if it is newer than the receiver's.
    pub item: Option<SharedItem>,
    /// How long ago the store confirmed to the node that there is no newer one, in milliseconds.
    pub age_ms: u64,
    /// How long the node held the request before it answered, in milliseconds.
    pub held_ms: u64,
}

/// A stored configuration.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedItem {
    /// The revision of its last change.
    pub revision: Revision,
    /// Its value, which contains customers' keys and so is not shown by `Debug`.
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
    /// The workers that may run the step.
    pub good: Vec<SuitableWorker>,
    /// How long the tickets are valid, in milliseconds.
    pub validity_ms: u64,
}

/// A worker that may run a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuitableWorker {
    /// The worker's id.
    pub worker: Arc<str>,
    /// The adviser's ticket for the worker.
    pub ticket: Arc<str>,
}

/// Why a call to another node failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PeerError {
    /// The HTTP call failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// A message can't be encoded or parsed.
    #[error("the answer can't be parsed")]
    Malformed,
}

impl PeerRequest {
    /// Creates the notification of a job that was written to the store.
    pub fn job_taken(job: JobId, mut record: JobRecord) -> Self {
        let policy = Trailing(record.policy.take());
        Self::JobTaken {
            job,
            record,
            policy,
        }
    }

    /// Creates the request to write a job that was parsed with a configuration of version
    /// `version`.
    pub fn submit(job: JobId, mut record: JobRecord, version: u64) -> Self {
        let policy = Trailing(record.policy.take());
        Self::Submit {
            job,
            record,
            version,
            policy,
        }
    }
}

impl PeerError {
    /// Returns whether nothing listens at the other node's address. A call that this node held
    /// for too long shows nothing of the other one.
    pub const fn is_unreachable(&self) -> bool {
        matches!(self, Self::Http(error) if error.is_unreachable())
    }

    /// Returns whether the other node certainly has not received the call.
    pub const fn is_not_sent(&self) -> bool {
        matches!(self, Self::Http(error) if error.is_not_sent())
    }
}

/// Calls another node, with a timeout.
///
/// # Errors
///
/// Returns a [`PeerError`] if there was no usable answer.
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

/// Parses the body of a call; `None` if it is malformed.
pub fn decode(body: &[u8]) -> Option<PeerRequest> {
    postcard::from_bytes(body).ok()
}

/// Encodes a reply as an HTTP response.
pub fn encode(reply: &PeerReply) -> http::Response<Full<Bytes>> {
    let body = postcard::to_allocvec(reply).unwrap_or_default();
    http::Response::new(Full::new(Bytes::from(body)))
}
