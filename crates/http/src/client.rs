//! The HTTP client and its calls.

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

/// The maximum size of a response body.
const ANSWER_LIMIT_BYTES: usize = 8 * 1024 * 1024;
/// If a timer fires at least this late, this process itself was delayed: timers have a
/// resolution of 1 ms, and in an idle process they are at most a few milliseconds late.
const LATENESS_TOLERANCE: Duration = Duration::from_millis(10);

/// A request and its timeouts.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    addr: String,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    /// The body that replaces `body` on a connection to this peer.
    body_for_peer: Option<(PeerId, Bytes)>,
    timeout: Duration,
    body_idle_timeout: Option<Duration>,
}

impl Call {
    /// Creates a call without a body; the complete response must arrive within `timeout`.
    ///
    /// `addr` is `IP:port`; `path` starts with a slash and may include a query.
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

    /// Limits the timeout of the call to the response head; after the head, each part of the
    /// body must arrive within `limit`.
    ///
    /// For responses of any size: if a call gave up on a slow transfer, the next call would
    /// repeat the same transfer over the same link and time out again.
    pub const fn with_body_idle_timeout(mut self, limit: Duration) -> Self {
        self.body_idle_timeout = Some(limit);
        self
    }

    /// Adds a header; ignores it if the value is not a valid header value.
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

    /// Sets the JSON body that replaces the normal body on a connection to `peer`.
    ///
    /// The call prefers an idle connection to `peer`.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Invalid`] if `value` can't be serialized as JSON.
    pub fn with_json_for_peer(
        mut self,
        peer: PeerId,
        value: &impl Serialize,
    ) -> Result<Self, HttpError> {
        self.body_for_peer = Some((peer, to_json(value)?.into()));
        Ok(self)
    }

    /// Sets the body to `value` as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Invalid`] if `value` can't be serialized as JSON.
    pub fn with_json(self, value: &impl Serialize) -> Result<Self, HttpError> {
        let body = to_json(value)?;
        Ok(self
            .with_header("content-type", "application/json")
            .with_body(body))
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status code.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The connection on which the response arrived.
    pub connection: ConnectionId,
}

impl Answer {
    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Malformed`] if the body can't be parsed as `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, HttpError> {
        serde_json::from_slice(&self.body).map_err(|error| HttpError::Malformed(error.to_string()))
    }

    /// Returns the value of a header, or `None` if it is absent or not text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// The outcome of a call that was meant for one process.
#[derive(Clone, Debug)]
pub enum PeerAnswer {
    /// The process answered the call.
    Answered(Answer),
    /// The call was not sent: this answer to the probe doesn't come from the process.
    NotSent(Answer),
}

/// A client that keeps idle connections to each address.
///
/// A connection may stop responding without being closed. So when a call times out,
/// the client closes all idle connections to that address that are older than the call.
/// The next call opens a new connection, so that several unresponsive connections cost
/// only one timeout.
#[derive(Clone, Debug)]
pub struct HttpClient {
    pool: Arc<Pool>,
    log: Option<Logger>,
}

impl HttpClient {
    /// Creates a client that keeps up to `idle_count` idle connections to each address.
    pub fn new(idle_count: usize) -> Self {
        Self {
            pool: Arc::new(Pool::new(idle_count)),
            log: None,
        }
    }

    /// Sets the logger for connections that stopped responding.
    pub fn with_log(mut self, log: Logger) -> Self {
        self.log = Some(log);
        self
    }

    /// Sends a call once and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrived. [`HttpError::is_not_sent`] returns
    /// whether it is certain that the peer did not receive the request.
    pub async fn call(&self, call: Call) -> Result<Answer, HttpError> {
        let timeouts = Timeouts::start(&call);
        let answer = self.exchange(&call, &timeouts).await;
        self.close_if_timed_out(&call, &answer, &timeouts);
        answer
    }

    /// Sends a call once, but only to the process `peer`, and reads the complete response.
    ///
    /// The call goes over an idle connection to `peer`. If there is none, `probe` is sent over
    /// a new connection, and the call follows on it if `identify` returns `peer` for the answer
    /// to `probe`. All must be complete within the call's timeout.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::ProbeFailed`] if the probe was sent but has no complete response,
    /// and another error if the call has none. [`HttpError::is_not_sent`] returns whether it is
    /// certain that no process received the call.
    pub async fn call_peer(
        &self,
        call: Call,
        peer: PeerId,
        probe: Call,
        identify: impl Fn(&Answer) -> Option<PeerId>,
    ) -> Result<PeerAnswer, HttpError> {
        let timeouts = Timeouts::start(&call);
        while let Some(connection) = self.pool.take_with_peer(&call.addr, peer) {
            if let Some(answered) = self.exchange_on(connection, &call, &timeouts).await? {
                return Ok(PeerAnswer::Answered(self.keep(&call, answered)));
            }
        }
        let probed = self.probe(&probe, &timeouts).await;
        let (mut connection, answer) = probed.map_err(as_probe_error)?;
        let Some(answered_by) = identify(&answer) else {
            return Ok(PeerAnswer::NotSent(answer));
        };
        connection.set_peer(answered_by);
        if answered_by != peer {
            let answer = self.keep(&probe, (connection, answer));
            return Ok(PeerAnswer::NotSent(answer));
        }
        let answered = self.exchange_on(connection, &call, &timeouts).await?;
        let answered = answered.ok_or_else(closed)?;
        Ok(PeerAnswer::Answered(self.keep(&call, answered)))
    }

    /// Sets the ID of the process that responded on a connection.
    ///
    /// Does nothing if another call is using the connection.
    pub fn set_peer(&self, addr: &str, connection: ConnectionId, peer: PeerId) {
        self.pool.set_peer(addr, connection, peer);
    }

    async fn exchange(&self, call: &Call, timeouts: &Timeouts) -> Result<Answer, HttpError> {
        let (connection, response) = timeouts.await_head(self.send(call, timeouts)).await??;
        let answer = read_answer(connection.id(), response, timeouts).await?;
        Ok(self.keep(call, (connection, answer)))
    }

    /// Sends a call over a connection and reads the complete response; returns `None` if the
    /// connection was already closed.
    async fn exchange_on(
        &self,
        mut connection: Connection,
        call: &Call,
        timeouts: &Timeouts,
    ) -> Result<Option<(Connection, Answer)>, HttpError> {
        let answer = send_on(&mut connection, call, timeouts).await;
        self.close_if_timed_out(call, &answer, timeouts);
        Ok(answer?.map(|answer| (connection, answer)))
    }

    /// Sends a probe over a new connection and reads the complete response.
    async fn probe(
        &self,
        probe: &Call,
        timeouts: &Timeouts,
    ) -> Result<(Connection, Answer), HttpError> {
        let connection = Connection::open(&probe.addr, self.pool.next_id());
        let connection = timeouts.await_head(connection).await;
        self.close_if_timed_out(probe, &connection, timeouts);
        let answered = self.exchange_on(connection??, probe, timeouts).await?;
        answered.ok_or_else(closed)
    }

    /// Returns a connection to the pool, and the answer that arrived on it.
    fn keep(&self, call: &Call, (connection, answer): (Connection, Answer)) -> Answer {
        self.pool.put(call.addr.clone(), connection);
        answer
    }

    /// Sends a request on an idle connection, or on a new one if no idle connection is
    /// still open.
    async fn send(
        &self,
        call: &Call,
        timeouts: &Timeouts,
    ) -> Result<(Connection, Response<Incoming>), HttpError> {
        let peer = call.body_for_peer.as_ref().map(|(peer, _)| *peer);
        loop {
            let pooled = self.pool.take(&call.addr, peer);
            let is_pooled = pooled.is_some();
            let mut connection = match pooled {
                Some(connection) => connection,
                None => Connection::open(&call.addr, self.pool.next_id()).await?,
            };
            let request = build_request(call, connection.peer())?;
            match connection
                .send(request, timeouts.request_expires_at())
                .await
            {
                SendOutcome::Answered(response) => return Ok((connection, response)),
                SendOutcome::NotSent if is_pooled => {}
                SendOutcome::NotSent => return Err(closed()),
                SendOutcome::Expired => return Err(HttpError::Expired),
                SendOutcome::Broken(error) => return Err(error),
            }
        }
    }

    /// Closes the idle connections that may be unresponsive too, if a call has timed out.
    fn close_if_timed_out<T>(
        &self,
        call: &Call,
        outcome: &Result<T, HttpError>,
        timeouts: &Timeouts,
    ) {
        if !matches!(outcome, Err(HttpError::TimedOut { .. })) {
            return;
        }
        let closed_count = self.pool.close_opened_until(&call.addr, timeouts.called_at);
        if let Some(log) = &self.log {
            debug!(log, "connection silent"; "address" => &call.addr, "path" => &call.path,
                "limit_ms" => timeouts.timeout.as_millis() as u64, "closed" => closed_count);
        }
    }
}

/// The timeouts of a call in progress.
struct Timeouts {
    started_at: Instant,
    /// The start of the call on the clock that the pool uses for the age of connections.
    called_at: ospreywing_types::Instant,
    timeout: Duration,
    body_idle_timeout: Option<Duration>,
}

impl Timeouts {
    fn start(call: &Call) -> Self {
        Self {
            started_at: Instant::now(),
            called_at: ospreywing_clock::now(),
            timeout: call.timeout,
            body_idle_timeout: call.body_idle_timeout,
        }
    }

    /// Returns when a request that was not sent is given up: after twice the timeout, since a
    /// late process may extend its wait by as much (see [`wait_until`]).
    ///
    /// Timers don't limit how long this process holds a request: they stop while the machine is
    /// suspended, and a wait that is extended after a stop was over before.
    fn request_expires_at(&self) -> ospreywing_types::Instant {
        let limit_ms = (self.timeout * 2).as_millis() as u64;
        self.called_at + ospreywing_types::Duration::from_ms(limit_ms)
    }

    /// Waits for the response head.
    async fn await_head<T>(&self, head: impl Future<Output = T>) -> Result<T, HttpError> {
        let deadline = self.started_at + self.timeout;
        let head = wait_until(deadline, self.timeout, head).await;
        head.ok_or_else(|| timed_out(self.timeout, 0))
    }

    /// Waits for the next part of the response body.
    async fn await_body_part<T>(
        &self,
        part: impl Future<Output = T>,
        received: &ReceivedBody,
    ) -> Result<T, HttpError> {
        let (deadline, limit) = match self.body_idle_timeout {
            Some(limit) => (Instant::now() + limit, limit),
            None => (self.started_at + self.timeout, self.timeout),
        };
        let part = wait_until(deadline, limit, part).await;
        part.ok_or_else(|| timed_out(limit, received.len_bytes))
    }
}

/// Waits for a future until `deadline`, or longer if this process itself was delayed.
///
/// After a delay, data may have arrived that the process has not read yet. So if the timer
/// fires late, the wait is extended by the lateness, by at most `limit` in total.
async fn wait_until<T>(
    deadline: Instant,
    limit: Duration,
    awaited: impl Future<Output = T>,
) -> Option<T> {
    let mut awaited = pin!(awaited);
    let mut deadline = deadline;
    let mut remaining_extension = limit;
    loop {
        if let Ok(value) = timeout_at(deadline, awaited.as_mut()).await {
            return Some(value);
        }
        let now = Instant::now();
        let lateness = now.saturating_duration_since(deadline);
        if lateness < LATENESS_TOLERANCE || remaining_extension.is_zero() {
            return None;
        }
        let extension = lateness.min(remaining_extension);
        remaining_extension -= extension;
        deadline = now + extension;
    }
}

const fn timed_out(limit: Duration, received_bytes: usize) -> HttpError {
    HttpError::TimedOut {
        limit_ms: limit.as_millis() as u64,
        received_bytes,
    }
}

/// The parts of a response body received so far.
#[derive(Default)]
struct ReceivedBody {
    parts: Vec<Bytes>,
    len_bytes: usize,
}

impl ReceivedBody {
    fn add(&mut self, part: Bytes) {
        self.len_bytes += part.len();
        self.parts.push(part);
    }

    /// Concatenates the parts; does not copy if there is only one part.
    fn into_bytes(mut self) -> Bytes {
        if self.parts.len() == 1 {
            return self.parts.pop().unwrap_or_default();
        }
        Bytes::from(self.parts.concat())
    }
}

fn error_from_body(error: &(dyn std::error::Error + Send + Sync + 'static)) -> HttpError {
    if error.is::<LengthLimitError>() {
        let limit_bytes = ANSWER_LIMIT_BYTES;
        HttpError::TooLarge { limit_bytes }
    } else {
        HttpError::Broken(error.to_string())
    }
}

fn closed() -> HttpError {
    HttpError::NotSent("the connection was closed".to_owned())
}

/// Returns the error of a call that was not sent because its probe has failed.
fn as_probe_error(error: HttpError) -> HttpError {
    if error.is_not_sent() {
        return error;
    }
    HttpError::ProbeFailed(error.to_string())
}

/// Sends a call over a connection and reads the complete response; returns `None` if the
/// connection was already closed.
async fn send_on(
    connection: &mut Connection,
    call: &Call,
    timeouts: &Timeouts,
) -> Result<Option<Answer>, HttpError> {
    let request = build_request(call, connection.peer())?;
    let sent = connection.send(request, timeouts.request_expires_at());
    let response = match timeouts.await_head(sent).await? {
        SendOutcome::Answered(response) => response,
        SendOutcome::NotSent => return Ok(None),
        SendOutcome::Expired => return Err(HttpError::Expired),
        SendOutcome::Broken(error) => return Err(error),
    };
    let answer = read_answer(connection.id(), response, timeouts).await?;
    Ok(Some(answer))
}

/// Reads the rest of a response.
async fn read_answer(
    connection: ConnectionId,
    response: Response<Incoming>,
    timeouts: &Timeouts,
) -> Result<Answer, HttpError> {
    let (parts, body) = response.into_parts();
    let mut body = Limited::new(body, ANSWER_LIMIT_BYTES);
    let mut received = ReceivedBody::default();
    while let Some(frame) = timeouts.await_body_part(body.frame(), &received).await? {
        let frame = frame.map_err(|error| error_from_body(&*error))?;
        if let Ok(data) = frame.into_data() {
            received.add(data);
        }
    }
    Ok(Answer {
        connection,
        status: parts.status,
        headers: parts.headers,
        body: received.into_bytes(),
    })
}

fn to_json(value: &impl Serialize) -> Result<Vec<u8>, HttpError> {
    serde_json::to_vec(value).map_err(|error| HttpError::Invalid(error.to_string()))
}

/// Builds the request of a call for a connection to `peer`.
fn build_request(call: &Call, peer: Option<PeerId>) -> Result<Request<Full<Bytes>>, HttpError> {
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
    // The caller may have set a host that differs from the address.
    request.headers_mut().entry(HOST).or_insert(host);
    Ok(request)
}
