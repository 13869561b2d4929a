//! The HTTP client.

use crate::connection::{Connection, SendOutcome};
use crate::pool::Pool;
use crate::timeouts::Timeouts;
use crate::{Answer, Call, ConnectionId, HttpError, PeerAnswer, PeerId};
use http::Response;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use slog::{debug, Logger};
use std::sync::Arc;

/// The maximum size of a response body.
const ANSWER_LIMIT_BYTES: usize = 8 * 1024 * 1024;

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
    /// Returns an error if no complete response arrived, or [`HttpError::Expired`] if this process
    /// held the call for twice its timeout. [`HttpError::is_not_sent`] returns whether it is
    /// certain that the peer did not receive the request.
    pub async fn call(&self, call: Call) -> Result<Answer, HttpError> {
        let timeouts = call.start_timeouts();
        let answer = self.exchange(&call, &timeouts).await;
        self.close_if_timed_out(&call, &answer, &timeouts);
        answer
    }

    /// Sends a call once, but only to the process `peer`, and reads the complete response.
    ///
    /// The call goes over an idle connection to `peer`. If there is none, `probe` is sent over
    /// a new connection, and the call follows on it if `identify` returns `peer` for the answer
    /// to `probe`. Each has its own timeout.
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
        let timeouts = call.start_timeouts();
        while let Some(connection) = self.pool.take_with_peer(call.addr(), peer) {
            if let Some(answered) = self.exchange_on(connection, &call, &timeouts).await? {
                return Ok(PeerAnswer::Answered(self.keep(&call, answered)));
            }
        }
        let probed = self.probe(&probe, &probe.start_timeouts()).await;
        let (mut connection, answer) = probed.map_err(as_probe_error)?;
        let Some(answered_by) = identify(&answer) else {
            return Ok(PeerAnswer::NotSent(answer));
        };
        connection.set_peer(answered_by);
        if answered_by != peer {
            let answer = self.keep(&probe, (connection, answer));
            return Ok(PeerAnswer::NotSent(answer));
        }
        let timeouts = call.start_timeouts();
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
        let connection = Connection::open(probe.addr(), self.pool.next_id());
        let connection = timeouts.await_head(connection).await;
        self.close_if_timed_out(probe, &connection, timeouts);
        let answered = self.exchange_on(connection??, probe, timeouts).await?;
        answered.ok_or_else(closed)
    }

    /// Returns a connection to the pool, and the answer that arrived on it.
    fn keep(&self, call: &Call, (connection, answer): (Connection, Answer)) -> Answer {
        self.pool.put(call.addr().to_owned(), connection);
        answer
    }

    /// Sends a request on an idle connection, or on a new one if no idle connection is
    /// still open.
    async fn send(
        &self,
        call: &Call,
        timeouts: &Timeouts,
    ) -> Result<(Connection, Response<Incoming>), HttpError> {
        let peer = call.preferred_peer();
        loop {
            let pooled = self.pool.take(call.addr(), peer);
            let is_pooled = pooled.is_some();
            let mut connection = match pooled {
                Some(connection) => connection,
                None => Connection::open(call.addr(), self.pool.next_id()).await?,
            };
            let request = call.build_request(connection.peer())?;
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
        let closed_count = self
            .pool
            .close_opened_until(call.addr(), timeouts.called_at());
        if let Some(log) = &self.log {
            debug!(log, "connection silent"; "address" => call.addr(), "path" => call.path(),
                "limit_ms" => timeouts.timeout().as_millis() as u64, "closed" => closed_count);
        }
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
    let request = call.build_request(connection.peer())?;
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
    while let Some(frame) = timeouts
        .await_body_part(body.frame(), received.len_bytes)
        .await?
    {
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
