//! The client and its calls.

use crate::connection::{Connection, SendOutcome};
use crate::pool::Pool;
use crate::{ConnectionId, HttpError, PeerId};
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use serde::de::DeserializeOwned;
use serde::Serialize;
use slog::{debug, Logger};
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// The largest answer that is read.
const ANSWER_LIMIT_BYTES: usize = 8 * 1024 * 1024;
/// A timer that fires this much late tells of a process that is late itself:
/// timers have steps of 1 ms, and a process with nothing else to do is at most a
/// few milliseconds late.
const LATENESS_TOLERANCE: Duration = Duration::from_millis(10);

/// One call.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    addr: String,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    /// What is sent in the body's place over a connection whose peer has this mark.
    body_for_peer: Option<(PeerId, Bytes)>,
    timeout: Duration,
    body_idle_timeout: Option<Duration>,
}

impl Call {
    /// Creates a call without a body, whose whole answer has to come within
    /// `timeout`.
    ///
    /// `addr` is `IP:port`; `path` starts with a slash and may have a query.
    pub fn new(method: Method, addr: &str, path: &str, timeout: Duration) -> Self {
        Self {
            method,
            addr: addr.to_owned(),
            path: path.to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            body_for_peer: None,
            timeout,
            body_idle_timeout: None,
        }
    }

    /// Lets the answer's body take as long as it keeps coming: the time limit is
    /// that of its head, and each part then has to follow within `limit`.
    ///
    /// For answers of any size: one that is given up half way is paid for
    /// again by the next call, which over the same link comes no further.
    pub const fn with_body_idle_timeout(mut self, limit: Duration) -> Self {
        self.body_idle_timeout = Some(limit);
        self
    }

    /// Adds a header; one whose value is not printable text is left out.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(value) = value.parse() {
            self.headers.insert(name, value);
        }
        self
    }

    /// Sets the body.
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets what is sent, as JSON, in the body's place over a connection whose peer has
    /// this mark; such a connection is taken where one is idle.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Invalid`] where `value` has no JSON form.
    pub fn with_json_for_peer(
        mut self,
        peer: PeerId,
        value: &impl Serialize,
    ) -> Result<Self, HttpError> {
        self.body_for_peer = Some((peer, json_of(value)?.into()));
        Ok(self)
    }

    /// Sets the body to `value` as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Invalid`] where `value` has no JSON form.
    pub fn with_json(self, value: &impl Serialize) -> Result<Self, HttpError> {
        let body = json_of(value)?;
        Ok(self
            .with_header("content-type", "application/json")
            .with_body(body))
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The connection over which it came.
    pub connection: ConnectionId,
}

impl Answer {
    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Malformed`] where the body is not such JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, HttpError> {
        serde_json::from_slice(&self.body).map_err(|error| HttpError::Malformed(error.to_string()))
    }

    /// Returns a header's text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A client that keeps connections to each address.
///
/// A connection may go silent for good without being closed. So after a call
/// that timed out, the idle connections to its address that are older than the
/// call are closed: the next call makes a new one, and a silence of all of them
/// costs one time limit.
#[derive(Clone, Debug)]
pub struct HttpClient {
    pool: Arc<Pool>,
    log: Option<Logger>,
}

impl HttpClient {
    /// Creates a client that keeps up to `idle_count` idle connections for each
    /// address.
    pub fn new(idle_count: usize) -> Self {
        Self {
            pool: Arc::new(Pool::new(idle_count)),
            log: None,
        }
    }

    /// Logs connections that are given up as silent.
    pub fn with_log(mut self, log: Logger) -> Self {
        self.log = Some(log);
        self
    }

    /// Makes a call, once.
    ///
    /// # Errors
    ///
    /// Returns an error where there is no whole answer; see
    /// [`HttpError::is_not_sent`].
    pub async fn call(&self, call: Call) -> Result<Answer, HttpError> {
        let limits = Timeouts::begin(&call);
        let (addr, path) = (call.addr.clone(), call.path.clone());
        let answer = self.make(call, &limits).await;
        if let Err(HttpError::TimedOut { .. }) = &answer {
            self.close_unresponsive(&addr, &path, &limits);
        }
        answer
    }

    /// Notes what the process is known by that has answered over a connection.
    ///
    /// A connection that another call has taken meanwhile stays as it is.
    pub fn set_peer(&self, addr: &str, connection: ConnectionId, peer: PeerId) {
        self.pool.set_peer(addr, connection, peer);
    }

    async fn make(&self, call: Call, limits: &Timeouts) -> Result<Answer, HttpError> {
        let (connection, response) = limits.await_head(self.send(&call)).await??;
        let id = connection.id();
        let (parts, body) = response.into_parts();
        let mut body = Limited::new(body, ANSWER_LIMIT_BYTES);
        let mut received = Received::default();
        while let Some(frame) = limits.await_body_part(body.frame(), &received).await? {
            let frame = frame.map_err(|error| body_error_of(&*error))?;
            if let Ok(data) = frame.into_data() {
                received.add(data);
            }
        }
        self.pool.put(call.addr, connection);
        Ok(Answer {
            connection: id,
            status: parts.status,
            headers: parts.headers,
            body: received.into_bytes(),
        })
    }

    /// Sends a request over a kept connection, or over a new one where there is
    /// none that the peer has not closed.
    async fn send(&self, call: &Call) -> Result<(Connection, Response<Incoming>), HttpError> {
        let peer = call.body_for_peer.as_ref().map(|(peer, _)| *peer);
        loop {
            let kept = self.pool.take(&call.addr, peer);
            let is_kept = kept.is_some();
            let mut connection = match kept {
                Some(connection) => connection,
                None => Connection::open(&call.addr, self.pool.next_id()).await?,
            };
            let request = request_of(call, connection.peer())?;
            match connection.send(request).await {
                SendOutcome::Answered(response) => return Ok((connection, response)),
                SendOutcome::NotSent if is_kept => {}
                SendOutcome::NotSent => {
                    return Err(HttpError::NotSent("the connection was closed".to_owned()))
                }
                SendOutcome::Broken(error) => return Err(error),
            }
        }
    }

    /// Closes idle connections that may be as silent as the one whose call has
    /// timed out.
    fn close_unresponsive(&self, addr: &str, path: &str, limits: &Timeouts) {
        let closed_count = self.pool.close_opened_until(addr, limits.called_at);
        if let Some(log) = &self.log {
            debug!(log, "connection silent"; "address" => addr, "path" => path,
                "limit_ms" => limits.timeout.as_millis() as u64, "closed" => closed_count);
        }
    }
}

/// The time limits of a call that has begun.
struct Timeouts {
    started_at: Instant,
    /// The same on the clock by which connections are as old as they are.
    called_at: ospreywing_types::Instant,
    timeout: Duration,
    body_idle_timeout: Option<Duration>,
}

impl Timeouts {
    fn begin(call: &Call) -> Self {
        Self {
            started_at: Instant::now(),
            called_at: ospreywing_clock::now(),
            timeout: call.timeout,
            body_idle_timeout: call.body_idle_timeout,
        }
    }

    /// Waits for the answer's head.
    async fn await_head<T>(&self, head: impl Future<Output = T>) -> Result<T, HttpError> {
        let until = self.started_at + self.timeout;
        let head = wait_until(until, self.timeout, head).await;
        head.ok_or_else(|| timed_out(self.timeout, 0))
    }

    /// Waits for the next part of the answer's body.
    async fn await_body_part<T>(
        &self,
        part: impl Future<Output = T>,
        received: &Received,
    ) -> Result<T, HttpError> {
        let (until, limit) = match self.body_idle_timeout {
            Some(limit) => (Instant::now() + limit, limit),
            None => (self.started_at + self.timeout, self.timeout),
        };
        let part = wait_until(until, limit, part).await;
        part.ok_or_else(|| timed_out(limit, received.len_bytes))
    }
}

/// Waits for something until an instant, and longer where this process itself
/// is late: what has come is then still unread. The wait goes on for as long as
/// the timer was late, for no more than `limit` in all.
async fn wait_until<T>(
    until: Instant,
    limit: Duration,
    awaited: impl Future<Output = T>,
) -> Option<T> {
    let mut awaited = pin!(awaited);
    let mut until = until;
    let mut left = limit;
    loop {
        if let Ok(value) = timeout_at(until, awaited.as_mut()).await {
            return Some(value);
        }
        let now = Instant::now();
        let lateness = now.saturating_duration_since(until);
        if lateness < LATENESS_TOLERANCE || left.is_zero() {
            return None;
        }
        let extension = lateness.min(left);
        left -= extension;
        until = now + extension;
    }
}

const fn timed_out(limit: Duration, received_bytes: usize) -> HttpError {
    HttpError::TimedOut {
        limit_ms: limit.as_millis() as u64,
        received_bytes,
    }
}

/// What has come of an answer's body.
#[derive(Default)]
struct Received {
    parts: Vec<Bytes>,
    len_bytes: usize,
}

impl Received {
    fn add(&mut self, part: Bytes) {
        self.len_bytes += part.len();
        self.parts.push(part);
    }

    /// Returns the parts as one, without a copy where there is one only.
    fn into_bytes(mut self) -> Bytes {
        if self.parts.len() == 1 {
            return self.parts.pop().unwrap_or_default();
        }
        Bytes::from(self.parts.concat())
    }
}

fn body_error_of(error: &(dyn std::error::Error + Send + Sync + 'static)) -> HttpError {
    if error.is::<LengthLimitError>() {
        let limit_bytes = ANSWER_LIMIT_BYTES;
        HttpError::TooLarge { limit_bytes }
    } else {
        HttpError::Broken(error.to_string())
    }
}

fn json_of(value: &impl Serialize) -> Result<Vec<u8>, HttpError> {
    serde_json::to_vec(value).map_err(|error| HttpError::Invalid(error.to_string()))
}

/// Returns the request of a call over a connection whose peer has this mark.
fn request_of(call: &Call, peer: Option<PeerId>) -> Result<Request<Full<Bytes>>, HttpError> {
    let invalid = |error: &dyn std::error::Error| HttpError::Invalid(error.to_string());
    let host = HeaderValue::from_str(&call.addr).map_err(|error| invalid(&error))?;
    let request = Request::builder().method(&call.method).uri(&call.path);
    let body = match &call.body_for_peer {
        Some((expected, body)) if peer == Some(*expected) => body,
        _ => &call.body,
    };
    let mut request = request
        .body(Full::new(body.clone()))
        .map_err(|error| invalid(&error))?;
    *request.headers_mut() = call.headers.clone();
    // A caller may name another host than the one it calls.
    request.headers_mut().entry(HOST).or_insert(host);
    Ok(request)
}
