//! What the product needs of the platform that it runs on.

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

/// What a client asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// To take a job.
    Submit {
        /// The job's id.
        job: JobId,
        /// The queue.
        queue: String,
        /// The queue's service.
        service: String,
        /// What is to be done.
        spec: JobSpec,
        /// Who hands it in.
        caller: Caller,
    },
    /// To tell a job's state.
    Status {
        /// The job's id.
        job: JobId,
        /// Who asks.
        caller: Caller,
    },
    /// To cancel a job.
    Cancel {
        /// The job's id.
        job: JobId,
        /// Who cancels it.
        caller: Caller,
    },
    /// To tell how many jobs of a queue have not begun.
    Pending {
        /// The queue.
        queue: String,
    },
}

/// When to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retry {
    /// After this time.
    pub after: Duration,
}

/// What a client is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The job is in the store.
    Accepted,
    /// The cancel is in the store.
    Cancelled,
    /// The job's state.
    Status {
        /// Its life.
        phase: Phase,
        /// Whether a task has begun.
        has_begun: bool,
    },
    /// How many jobs have not begun.
    Pending(u64),
    /// There is no such queue.
    NoQueue,
    /// There is no such job.
    NoJob,
    /// The caller has shown no key, or one that is no customer's; nothing was done.
    NoCustomer,
    /// The id is that of another customer's job; nothing was done.
    IdTaken,
    /// The job can never run within its customer's limit; nothing was done.
    BeyondLimit {
        /// The first step that can't.
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
        /// The limit.
        limit_bytes: usize,
    },
    /// The method is not one of the queue's.
    NoMethod,
    /// The request did not arrive in time; nothing was done.
    TooSlow,
    /// Nothing was done.
    Unavailable(Retry),
    /// The outcome is not known; the request may be repeated.
    Unknown,
}

/// The head of a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestHead<'a> {
    /// The method.
    pub method: &'a http::Method,
    /// The path.
    pub path: &'a str,
    /// The headers.
    pub headers: &'a http::HeaderMap,
}

/// Limits on what clients send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// The largest head.
    pub head_limit_bytes: usize,
    /// The largest body.
    pub body_limit_bytes: usize,
    /// How long a request may take to arrive.
    pub read_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

/// A look at a worker, which may renew its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerPoll {
    /// Until when the lease holds, on the worker's clock; `None` to ask only.
    pub until_ms: Option<u64>,
    /// The last end that the worker may forget.
    pub last_seen: u64,
    /// How long the worker may wait for an end.
    pub wait: Duration,
    /// How long the answer may take beyond that.
    pub patience: Duration,
}

/// A call of an outside system brought nothing.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// What was read is not as agreed.
    #[error("{field}: {reason}")]
    Malformed {
        /// The field.
        field: String,
        /// What is wrong with it.
        reason: String,
    },
}

/// What makes a worker's entry one that names no worker to use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum WorkerEntryFault {
    /// A field is missing or of another type, or the bytes can't be read.
    #[error("a field is missing or can't be read")]
    Form,
    /// The id is none.
    #[error("the id can't be used")]
    Id,
    /// The address is none.
    #[error("the address is not IP:port")]
    Address,
    /// The state is not one that is known.
    #[error("the state is not known")]
    State,
    /// It names no service.
    #[error("there is no service")]
    Service,
}

impl WorkerEntryFault {
    /// Returns the word for metrics.
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

/// A worker's entry names no worker to use.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{key}: {fault} ({detail})")]
pub struct WorkerEntryError {
    /// The entry's key.
    pub key: String,
    /// What is wrong.
    pub fault: WorkerEntryFault,
    /// Where.
    pub detail: String,
}

/// What makes a cordon one that is not followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum CordonFault {
    /// The bytes can't be read.
    #[error("it can't be read")]
    Form,
    /// It names no data centre that there is.
    #[error("there is no such data centre")]
    DataCentre,
}

impl CordonFault {
    /// Returns the word for metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Form => "form",
            Self::DataCentre => "data centre",
        }
    }
}

/// A cordon is not followed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{key}: {fault} ({detail})")]
pub struct CordonError {
    /// The cordon's key.
    pub key: String,
    /// What is wrong.
    pub fault: CordonFault,
    /// Where.
    pub detail: String,
}

/// The platform.
#[allow(async_fn_in_trait, reason = "every node runs on one thread")]
pub trait Platform: Clone + 'static {
    /// The store.
    type Store: Store;
    /// How requests find their queues and callers are known, from the operators'
    /// configuration.
    type Routes: 'static;
    /// A request that was let in by its head.
    type Admission;

    /// Returns the store.
    fn store(&self) -> Self::Store;

    /// Returns the key of the operators' configuration.
    fn configuration_key(&self) -> &'static str;

    /// Reads the operators' configuration.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] that names the field.
    fn parse_configuration(&self, value: &[u8])
        -> Result<(Configuration, Self::Routes), CallError>;

    /// Returns the prefix below which live workers stand.
    fn workers_prefix(&self) -> &'static str;

    /// Reads a worker's entry.
    ///
    /// # Errors
    ///
    /// Returns an [`WorkerEntryError`] where the entry names no worker to use.
    fn parse_worker(&self, key: &str, value: &[u8]) -> Result<WorkerFacts, WorkerEntryError>;

    /// Returns the prefix below which the operators' cordons stand.
    fn cordons_prefix(&self) -> &'static str;

    /// Reads a cordon; returns the data centre that it names.
    ///
    /// # Errors
    ///
    /// Returns a [`CordonError`] where it is not to be followed.
    fn parse_cordon(&self, key: &str, value: &[u8]) -> Result<Arc<str>, CordonError>;

    /// Returns the limits on what clients send.
    fn limits(routes: &Self::Routes) -> RequestLimits;

    /// Finds out what a request is for and who calls, by its head alone.
    ///
    /// # Errors
    ///
    /// Returns the reply to a request that is not let in.
    fn admit(&self, routes: &Self::Routes, head: RequestHead<'_>)
        -> Result<Self::Admission, Reply>;

    /// Reads the body of a request that was let in.
    ///
    /// # Errors
    ///
    /// Returns the reply to a request that can't be read.
    fn parse_call(&self, admission: Self::Admission, body: &[u8]) -> Result<Call, Reply>;

    /// Writes a reply.
    fn encode(&self, reply: &Reply) -> http::Response<Full<Bytes>>;

    /// Returns whether this is the question whether the node is ready.
    fn is_readiness_probe(&self, method: &http::Method, path: &str) -> bool;

    /// Renews a worker's lease and asks for its lists.
    async fn hold(&self, to: &Endpoint, fence: u64, look: WorkerPoll) -> HoldReply;

    /// Starts a run.
    async fn start(&self, to: &Endpoint, fence: u64, order: &StartOrder) -> StartReply;

    /// Stops a run.
    async fn stop(&self, to: &Endpoint, fence: u64, task: TaskKey, run: u32) -> StopReply;

    /// Asks the adviser which workers may run a step.
    async fn advise(&self, step: StepKey, workers: &[Arc<str>], limit: Duration) -> AdviceReply;

    /// Reads the platform's settings again; called on a signal and now and then.
    fn reload(&self) {}
}
