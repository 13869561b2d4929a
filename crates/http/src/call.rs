//! Calls and their answers.

use crate::timeouts::Timeouts;
use crate::{ConnectionId, HttpError, PeerId};
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode};
use http_body_util::Full;
use hyper::body::Bytes;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::time::Duration;

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

    pub(crate) fn addr(&self) -> &str {
        &self.addr
    }

    pub(crate) fn path(&self) -> &str {
        &self.path
    }

    /// Returns the peer for which the call has a body of its own.
    pub(crate) fn preferred_peer(&self) -> Option<PeerId> {
        self.body_for_peer.as_ref().map(|(peer, _)| *peer)
    }

    /// Starts the call's timeouts.
    pub(crate) fn start_timeouts(&self) -> Timeouts {
        Timeouts::start(self.timeout, self.body_idle_timeout)
    }

    /// Builds the request for a connection to `peer`.
    pub(crate) fn build_request(
        &self,
        peer: Option<PeerId>,
    ) -> Result<Request<Full<Bytes>>, HttpError> {
        let invalid = |error: &dyn std::error::Error| HttpError::Invalid(error.to_string());
        let host = HeaderValue::from_str(&self.addr).map_err(|error| invalid(&error))?;
        let request = Request::builder().method(&self.method).uri(&self.path);
        let body = match &self.body_for_peer {
            Some((expected, body)) if peer == Some(*expected) => body,
            _ => &self.body,
        };
        let mut request = request
            .body(Full::new(body.clone()))
            .map_err(|error| invalid(&error))?;
        *request.headers_mut() = self.headers.clone();
        // The caller may have set a host that differs from the address.
        request.headers_mut().entry(HOST).or_insert(host);
        Ok(request)
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

fn to_json(value: &impl Serialize) -> Result<Vec<u8>, HttpError> {
    serde_json::to_vec(value).map_err(|error| HttpError::Invalid(error.to_string()))
}
