//! The client and its calls.

use crate::HttpError;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Bytes;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error as ClientError};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::future::Future;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// The largest answer that is read.
const ANSWER_LIMIT_BYTES: usize = 8 * 1024 * 1024;
const CONNECT_LIMIT: Duration = Duration::from_secs(2);
const IDLE_LIMIT: Duration = Duration::from_secs(20);
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
    time_limit: Duration,
    silence_limit: Option<Duration>,
}

impl Call {
    /// Creates a call without a body, whose whole answer has to come within
    /// `time_limit`.
    ///
    /// `addr` is `IP:port`; `path` starts with a slash and may have a query.
    pub fn new(method: Method, addr: &str, path: &str, time_limit: Duration) -> Self {
        Self {
            method,
            addr: addr.to_owned(),
            path: path.to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            time_limit,
            silence_limit: None,
        }
    }

    /// Lets the answer's body take as long as it keeps coming: the time limit is
    /// that of its head, and each part then has to follow within `limit`.
    ///
    /// For answers of any size: one that is given up half way is paid for
    /// again by the next call, which over the same link comes no further.
    pub const fn with_silence_limit(mut self, limit: Duration) -> Self {
        self.silence_limit = Some(limit);
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

    /// Sets the body to `value` as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Invalid`] where `value` has no JSON form.
    pub fn with_json(self, value: &impl Serialize) -> Result<Self, HttpError> {
        let body =
            serde_json::to_vec(value).map_err(|error| HttpError::Invalid(error.to_string()))?;
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

/// A client with a pool of connections for each address.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client that keeps up to `idle_count` idle connections for each
    /// address.
    pub fn new(idle_count: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_LIMIT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_LIMIT)
            .pool_max_idle_per_host(idle_count)
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Makes a call, once.
    ///
    /// # Errors
    ///
    /// Returns an error where there is no whole answer; see
    /// [`HttpError::is_not_sent`].
    pub async fn call(&self, call: Call) -> Result<Answer, HttpError> {
        let limits = Limits::begin(&call);
        let request = request_of(call)?;
        let response = limits.until_head(self.client.request(request)).await?;
        let response = response.map_err(|error| error_of(&error))?;
        let (parts, body) = response.into_parts();
        let mut body = Limited::new(body, ANSWER_LIMIT_BYTES);
        let mut received = Received::default();
        while let Some(frame) = limits.until_part(body.frame(), &received).await? {
            let frame = frame.map_err(|error| body_error_of(&*error))?;
            if let Ok(data) = frame.into_data() {
                received.add(data);
            }
        }
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            body: received.into_bytes(),
        })
    }
}

/// The time limits of a call that has begun.
struct Limits {
    begun_at: Instant,
    time_limit: Duration,
    silence_limit: Option<Duration>,
}

impl Limits {
    fn begin(call: &Call) -> Self {
        Self {
            begun_at: Instant::now(),
            time_limit: call.time_limit,
            silence_limit: call.silence_limit,
        }
    }

    /// Waits for the answer's head.
    async fn until_head<T>(&self, head: impl Future<Output = T>) -> Result<T, HttpError> {
        let until = self.begun_at + self.time_limit;
        let head = wait_until(until, self.time_limit, head).await;
        head.ok_or_else(|| timed_out(self.time_limit, 0))
    }

    /// Waits for the next part of the answer's body.
    async fn until_part<T>(
        &self,
        part: impl Future<Output = T>,
        received: &Received,
    ) -> Result<T, HttpError> {
        let (until, limit) = match self.silence_limit {
            Some(limit) => (Instant::now() + limit, limit),
            None => (self.begun_at + self.time_limit, self.time_limit),
        };
        let part = wait_until(until, limit, part).await;
        part.ok_or_else(|| timed_out(limit, received.len_bytes))
    }
}

/// Waits for something until an instant, and longer where this process itself
/// is late: what has come is then still unread. The wait grows by as much as the
/// timer was late, and by no more than `limit` in all.
async fn wait_until<T>(
    until: Instant,
    limit: Duration,
    awaited: impl Future<Output = T>,
) -> Option<T> {
    let mut awaited = pin!(awaited);
    let mut until = until;
    let last = until + limit;
    loop {
        if let Ok(value) = timeout_at(until, awaited.as_mut()).await {
            return Some(value);
        }
        let now = Instant::now();
        let lateness = now.saturating_duration_since(until);
        if lateness < LATENESS_TOLERANCE || until >= last {
            return None;
        }
        until = last.min(now + lateness);
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

fn request_of(call: Call) -> Result<Request<Full<Bytes>>, HttpError> {
    let uri = format!("http://{}{}", call.addr, call.path);
    let request = Request::builder().method(call.method).uri(uri);
    let mut request = request
        .body(Full::new(call.body))
        .map_err(|error| HttpError::Invalid(error.to_string()))?;
    request.headers_mut().extend(call.headers);
    Ok(request)
}

fn error_of(error: &ClientError) -> HttpError {
    use std::error::Error;
    let cause = error.source().map_or(String::new(), |e| format!(": {e}"));
    let text = format!("{error}{cause}");
    if error.is_connect() {
        HttpError::NotSent(text)
    } else {
        HttpError::Broken(text)
    }
}
