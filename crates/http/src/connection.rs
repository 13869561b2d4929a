//! A connection to one address.

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
/// How long sent bytes may stay without an acknowledgement, and how long a quiet
/// connection is left alone before the system probes it. The time limits of calls
/// come first; these end what no call looks at any more.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);
const KEEPALIVE_IDLE_TIME: Duration = Duration::from_secs(10);

/// What became of a request.
pub(crate) enum SendOutcome {
    /// The answer's head.
    Answered(Response<Incoming>),
    /// The connection had been closed: nothing was sent.
    NotSent,
    /// The connection broke.
    Broken(HttpError),
}

/// A connection, closed where it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    opened_at: Instant,
    id: ConnectionId,
    /// What the peer's process is known by.
    peer: Option<PeerId>,
}

impl Connection {
    /// Connects to `addr`, which is `IP:port`.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::NotSent`] where nothing listens there, or the
    /// connection takes too long.
    pub(crate) async fn open(addr: &str, id: ConnectionId) -> Result<Self, HttpError> {
        let not_sent = |error: &dyn std::error::Error| HttpError::NotSent(error.to_string());
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
        let connected = connected.map_err(|error| not_sent(&error))?;
        let stream = connected.map_err(|error| not_sent(&error))?;
        // A connection without these is only slower, or noticed as dead later.
        let _ = set_options(&stream);
        let opened_at = ospreywing_clock::now();
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| not_sent(&error))?;
        let driver = tokio::spawn(async move {
            // How it ends is told to the call that is under way.
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

    /// Returns what tells the connection from the client's others.
    pub(crate) const fn id(&self) -> ConnectionId {
        self.id
    }

    /// Returns what the peer's process is known by.
    pub(crate) const fn peer(&self) -> Option<PeerId> {
        self.peer
    }

    /// Sets what the peer's process is known by.
    pub(crate) const fn set_peer(&mut self, peer: PeerId) {
        self.peer = Some(peer);
    }

    /// Returns when the connection was made.
    pub(crate) const fn opened_at(&self) -> Instant {
        self.opened_at
    }

    /// Returns whether the peer has not closed the connection.
    pub(crate) fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request, once.
    pub(crate) async fn send(&mut self, request: Request<Full<Bytes>>) -> SendOutcome {
        if self.sender.ready().await.is_err() {
            return SendOutcome::NotSent;
        }
        match self.sender.try_send_request(request).await {
            Ok(response) => SendOutcome::Answered(response),
            Err(mut error) => match error.take_message() {
                Some(_) => SendOutcome::NotSent,
                None => SendOutcome::Broken(HttpError::Broken(text_of(error.error()))),
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

fn text_of(error: &hyper::Error) -> String {
    use std::error::Error;
    let cause = error.source().map_or(String::new(), |e| format!(": {e}"));
    format!("{error}{cause}")
}
