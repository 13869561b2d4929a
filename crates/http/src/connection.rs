//! A single HTTP/1.1 connection.

use crate::{ConnectionId, HttpError, PeerId};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use ospreywing_types::Instant;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long sent bytes may stay unacknowledged before the system closes the connection.
///
/// Call timeouts normally fire first; this limit and the keepalive probes close connections
/// that no call is waiting on.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connection may be idle before the system sends keepalive probes.
const KEEPALIVE_IDLE_TIME: Duration = Duration::from_secs(10);

/// The outcome of sending a request.
pub(crate) enum SendOutcome {
    /// The response head arrived.
    Answered(Response<Incoming>),
    /// The connection was already closed; the request was not sent.
    NotSent,
    /// The request was held for too long and was not sent.
    Expired,
    /// The connection failed; the peer may have received the request.
    Broken(HttpError),
}

/// A connection, closed when it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    opened_at: Instant,
    id: ConnectionId,
    /// The ID of the peer's process, if known.
    peer: Option<PeerId>,
}

impl Connection {
    /// Connects to `addr`, which is `IP:port`.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::NotSent`] if the connection fails or takes longer than
    /// [`CONNECT_TIMEOUT`].
    pub(crate) async fn open(addr: &str, id: ConnectionId) -> Result<Self, HttpError> {
        let not_sent = |error: &dyn std::error::Error| HttpError::NotSent(error.to_string());
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
        let connected = connected.map_err(|error| not_sent(&error))?;
        let stream = connected.map_err(|error| not_sent(&error))?;
        // Errors are ignored: without these options the connection works, but is slower, or its
        // failure is detected later.
        let _ = set_options(&stream);
        let opened_at = ospreywing_clock::now();
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| not_sent(&error))?;
        let driver = tokio::spawn(async move {
            // An error is also returned to the call that is in progress.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            opened_at,
            id,
            peer: None,
        })
    }

    /// Returns the connection's ID.
    pub(crate) const fn id(&self) -> ConnectionId {
        self.id
    }

    /// Returns the ID of the peer's process, if known.
    pub(crate) const fn peer(&self) -> Option<PeerId> {
        self.peer
    }

    /// Sets the ID of the peer's process.
    pub(crate) const fn set_peer(&mut self, peer: PeerId) {
        self.peer = Some(peer);
    }

    /// Returns when the connection was opened.
    pub(crate) const fn opened_at(&self) -> Instant {
        self.opened_at
    }

    /// Returns whether the connection is still open.
    pub(crate) fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request, unless it is `expires_at` by then, and waits for the response head.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        expires_at: Instant,
    ) -> SendOutcome {
        if self.sender.ready().await.is_err() {
            return SendOutcome::NotSent;
        }
        if ospreywing_clock::now() >= expires_at {
            return SendOutcome::Expired;
        }
        match self.sender.try_send_request(request).await {
            Ok(response) => SendOutcome::Answered(response),
            Err(mut error) => match error.take_message() {
                Some(_) => SendOutcome::NotSent,
                None => SendOutcome::Broken(HttpError::Broken(error_text(error.error()))),
            },
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_IDLE_TIME))
}

fn error_text(error: &hyper::Error) -> String {
    use std::error::Error;
    let cause = error.source().map_or(String::new(), |e| format!(": {e}"));
    format!("{error}{cause}")
}
