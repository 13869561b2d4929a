//! The interface between a node and the platform that it runs on.

use crate::caller::Caller;
use crate::store::Store;
use http_body_util::Full;
use hyper::body::Bytes;
use ospreywing_scheduler::{
    AdviceReply, Configuration, Endpoint, HoldReply, JobId, JobSpec, Phase, StartOrder, StartReply,
    StepKey, StopReply, TaskKey, WorkerFacts,
};
use ospreywing_types::Duration;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use thiserror::Error;

/// A client request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Submits a job.
    Submit {
        /// The job's id.
        job: JobId,
        /// The queue.
        queue: String,
        /// The queue's service.
        service: String,
        /// The job's specification.
        spec: JobSpec,
        /// The client that submits it.
        caller: Caller,
    },
    /// Queries a job's state.
    Status {
        /// The job's id.
        job: JobId,
        /// The client that queries it.
        caller: Caller,
    },
    /// Cancels a job.
    Cancel {
        /// The job's id.
        job: JobId,
        /// The client that cancels it.
        caller: Caller,
    },
    /// Queries how many jobs of a queue have not started.
    Pending {
        /// The queue.
        queue: String,
    },
}

/// When a client may retry a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retry {
    /// The delay before the retry.
    pub after: Duration,
}

/// The reply to a client request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The job is written to the store.
    Accepted,
    /// The cancel is written to the store.
    Cancelled,
    /// The job's state.
    Status {
        /// The phase of its life cycle.
        phase: Phase,
        /// Whether any of its tasks has started.
        has_begun: bool,
    },
    /// The number of jobs that have not started.
    Pending(u64),
    /// The queue does not exist.
    NoQueue,
    /// The job does not exist.
    NoJob,
    /// The caller sent no key, or one that belongs to no customer; nothing was done.
    NoCustomer,
    /// Another customer's job has this id; nothing was done.
    IdTaken,
    /// The job can never run within its customer's limit; nothing was done.
    BeyondLimit {
        /// The index of the first step that exceeds the limit.
        step: usize,
    },
    /// The request is malformed; nothing was done.
    Invalid {
        /// The field.
        field: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The request is too large; nothing was done.
    TooLarge {
        /// The largest body that is accepted.
        limit_bytes: usize,
    },
    /// The queue does not have this method.
    NoMethod,
    /// The request did not arrive in time; nothing was done.
    TooSlow,
    /// The node can't serve the request now; nothing was done.
    Unavailable(Retry),
    /// The outcome is unknown; the client may repeat the request.
    Unknown,
}

/// The head of an HTTP request.
#[derive(Clone, Copy, Debug)]
pub struct RequestHead<'a> {
    /// The HTTP method.
    pub method: &'a http::Method,
    /// The path of the URI.
    pub path: &'a str,
    /// The headers.
    pub headers: &'a http::HeaderMap,
}

/// Limits on client requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// The largest request head.
    pub head_limit_bytes: usize,
    /// The largest request body.
    pub body_limit_bytes: usize,
    /// The time within which a request body must arrive.
    pub read_timeout: Duration,
    /// The time that a connection may wait for the next request head.
    pub idle_timeout: Duration,
}

/// The parameters of one poll of a worker, which may renew its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerPoll {
    /// The end of the renewed lease on the worker's clock; `None` leaves the lease as it is.
    pub until_ms: Option<u64>,
    /// The number of the last ended run that was received; the worker may drop it and earlier ones.
    pub last_seen: u64,
    /// How long the worker may wait for a run to end before it replies.
    pub wait: Duration,
    /// The timeout for the reply, beyond `wait`.
    pub patience: Duration,
}

/// A value of an external system could not be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// The value does not have the expected format.
    #[error("{field}: {reason}")]
    Malformed {
        /// The field.
        field: String,
        /// What is wrong with it.
        reason: String,
    },
}

/// Why a worker's entry is unusable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum WorkerEntryFault {
    /// A field is missing or has the wrong type, or the bytes can't be parsed.
    #[error("a field is missing or can't be parsed")]
    Form,
    /// The id is invalid.
    #[error("the id is invalid")]
    Id,
    /// The address is not `IP:port`.
    #[error("the address is not IP:port")]
    Address,
    /// The state is unknown.
    #[error("the state is unknown")]
    State,
    /// The service is missing.
    #[error("the service is missing")]
    Service,
}

impl WorkerEntryFault {
    /// Returns the label for metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Form => "form",
            Self::Id => "id",
            Self::Address => "address",
            Self::State => "state",
            Self::Service => "service",
        }
    }
}

/// A worker's entry is unusable.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{key}: {fault} ({detail})")]
pub struct WorkerEntryError {
    /// The entry's key.
    pub key: String,
    /// What is wrong.
    pub fault: WorkerEntryFault,
    /// The value or position that is wrong.
    pub detail: String,
}

/// Why a cordon is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum CordonFault {
    /// The bytes can't be parsed.
    #[error("it can't be read")]
    Form,
    /// The data centre does not exist.
    #[error("there is no such data centre")]
    DataCentre,
}

impl CordonFault {
    /// Returns the label for metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Form => "form",
            Self::DataCentre => "data centre",
        }
    }
}

/// A cordon is unusable and therefore ignored.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{key}: {fault} ({detail})")]
pub struct CordonError {
    /// The cordon's key.
    pub key: String,
    /// What is wrong.
    pub fault: CordonFault,
    /// The value or position that is wrong.
    pub detail: String,
}

/// The platform on which a cell runs: its store, configuration, workers and adviser.
#[allow(async_fn_in_trait, reason = "every node runs on one thread")]
pub trait Platform: Clone + 'static {
    /// The store.
    type Store: Store;
    /// The part of the operators' configuration that maps requests to queues and
    /// keys to customers.
    type Routes: 'static;
    /// A request that was admitted by its head.
    type Admission;

    /// Returns the store.
    fn store(&self) -> Self::Store;

    /// Returns the store key of the operators' configuration.
    fn configuration_key(&self) -> &'static str;

    /// Parses the operators' configuration.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] that names the malformed field.
    fn parse_configuration(&self, value: &[u8])
        -> Result<(Configuration, Self::Routes), CallError>;

    /// Returns the key prefix of the live workers' entries.
    fn workers_prefix(&self) -> &'static str;

    /// Parses a worker's entry.
    ///
    /// # Errors
    ///
    /// Returns a [`WorkerEntryError`] if the entry is unusable.
    fn parse_worker(&self, key: &str, value: &[u8]) -> Result<WorkerFacts, WorkerEntryError>;

    /// Returns the key prefix of the operators' cordons.
    fn cordons_prefix(&self) -> &'static str;

    /// Parses a cordon and returns the data centre that it names.
    ///
    /// # Errors
    ///
    /// Returns a [`CordonError`] if the cordon is unusable.
    fn parse_cordon(&self, key: &str, value: &[u8]) -> Result<Arc<str>, CordonError>;

    /// Returns the limits on client requests.
    fn limits(routes: &Self::Routes) -> RequestLimits;

    /// Identifies the queue, method and caller of a request by its head alone.
    ///
    /// # Errors
    ///
    /// Returns the reply to send if the request is not admitted.
    fn admit(&self, routes: &Self::Routes, head: RequestHead<'_>)
        -> Result<Self::Admission, Reply>;

    /// Parses the body of an admitted request.
    ///
    /// # Errors
    ///
    /// Returns the reply to send if the body is malformed.
    fn parse_call(&self, admission: Self::Admission, body: &[u8]) -> Result<Call, Reply>;

    /// Encodes a reply as an HTTP response.
    fn encode(&self, reply: &Reply) -> http::Response<Full<Bytes>>;

    /// Returns whether a request is the load balancer's readiness probe.
    fn is_readiness_probe(&self, method: &http::Method, path: &str) -> bool;

    /// Polls a worker for its running and ended runs, and renews its lease if the poll says so.
    async fn hold(&self, to: &Endpoint, fence: u64, poll: WorkerPoll) -> HoldReply;

    /// Starts a run on a worker.
    async fn start(&self, to: &Endpoint, fence: u64, order: &StartOrder) -> StartReply;

    /// Stops a run on a worker.
    async fn stop(&self, to: &Endpoint, fence: u64, task: TaskKey, run: u32) -> StopReply;

    /// Asks the adviser which workers may run a step, with a timeout of `limit`.
    async fn advise(&self, step: StepKey, workers: &[Arc<str>], limit: Duration) -> AdviceReply;

    /// Reloads the platform's settings; called on a signal and periodically.
    fn reload(&self) {}
}
