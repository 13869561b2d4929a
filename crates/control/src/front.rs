//! The HTTP servers for clients, readiness probes, other nodes and metrics.

use crate::node::{Node, NodeError};
use crate::platform::{Platform, Reply, RequestHead, RequestLimits, Retry};
use crate::{clock, metrics, peer, requests};
use http::header::{HeaderValue, CONNECTION, CONTENT_TYPE};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming as IncomingBody};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use ospreywing_types::Duration;
use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The smallest head buffer that the HTTP library accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8192;
/// The largest request body of another node.
const PEER_BODY_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// The pause after a connection could not be accepted.
const ACCEPT_RETRY_PAUSE: std::time::Duration = std::time::Duration::from_millis(20);
/// The longest body that is read and discarded, and the time within which it must arrive.
/// Bodies of a few kilobytes arrive with the head or some milliseconds later.
const DISCARDED_BODY_LIMIT_BYTES: usize = 16 * 1024;
const DISCARD_BODY_TIMEOUT: Duration = Duration::from_ms(50);
/// The limits before there is a configuration.
const DEFAULT_LIMITS: RequestLimits = RequestLimits {
    head_limit_bytes: 16 * 1024,
    body_limit_bytes: 256 * 1024,
    read_timeout: Duration::from_ms(3000),
    idle_timeout: Duration::from_ms(15_000),
};
/// When a client may retry a request that arrived before there was a configuration, or
/// while the configuration might be outdated.
const RETRY_LATER: Retry = Retry {
    after: Duration::from_ms(1000),
};

/// The kind of requests that a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Client requests.
    Clients,
    /// The load balancer's readiness probes.
    Ready,
    /// Calls of other nodes.
    Peer,
    /// Requests for metrics.
    Metrics,
}

/// A listening socket.
pub struct Listener {
    listener: TcpListener,
    /// The socket's address, with the port that was assigned if it was 0.
    pub address: SocketAddr,
}

impl Listener {
    /// Listens on an address.
    ///
    /// # Errors
    ///
    /// Returns a [`NodeError`] if the address can't be listened on.
    pub async fn bind(address: SocketAddr) -> Result<Self, NodeError> {
        let failed = |error| NodeError::Listen { address, error };
        let listener = TcpListener::bind(address).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        Ok(Self { listener, address })
    }
}

/// The listeners of a node and their connections.
pub struct Front<P: Platform> {
    node: Rc<Node<P>>,
    stopped: watch::Receiver<bool>,
    open_count: Rc<Cell<usize>>,
}

/// Counts an open connection until it is dropped.
struct ConnectionGuard(Rc<Cell<usize>>);

impl ConnectionGuard {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl<P: Platform> Front<P> {
    /// Creates a front without listeners, which shuts down when `stopped` becomes true.
    pub fn new(node: Rc<Node<P>>, stopped: watch::Receiver<bool>) -> Self {
        Self {
            node,
            stopped,
            open_count: Rc::default(),
        }
    }

    /// Returns the number of open client connections.
    pub fn open_count(&self) -> usize {
        self.open_count.get()
    }

    /// Serves a listener's connections until the front shuts down.
    pub fn serve(&self, listener: Listener, role: Role) {
        let accept = accept(
            listener.listener,
            self.node.clone(),
            self.stopped.clone(),
            self.open_count.clone(),
            role,
        );
        tokio::task::spawn_local(accept);
    }
}

async fn accept<P: Platform>(
    listener: TcpListener,
    node: Rc<Node<P>>,
    mut stopped: watch::Receiver<bool>,
    open_count: Rc<Cell<usize>>,
    role: Role,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stopped| *stopped) => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        let connection_guard = (role == Role::Clients).then(|| ConnectionGuard::new(&open_count));
        let connection = serve(stream, node.clone(), stopped.clone(), role);
        tokio::task::spawn_local(async move {
            connection.await;
            drop(connection_guard);
        });
    }
}

async fn serve<P: Platform>(
    stream: TcpStream,
    node: Rc<Node<P>>,
    mut stopped: watch::Receiver<bool>,
    role: Role,
) {
    // A failure only makes the connection slower.
    let _ = stream.set_nodelay(true);
    let limits = limits(&node);
    let service = service_fn(|request| {
        let node = node.clone();
        async move { Ok::<_, Infallible>(respond(&node, request, role).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(core::time::Duration::from(limits.idle_timeout))
        .max_buf_size(limits.head_limit_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stopped.wait_for(|stopped| *stopped) => {}
    }
    connection.as_mut().graceful_shutdown();
    // The connection is closed either way.
    let _ = connection.await;
}

fn limits<P: Platform>(node: &Rc<Node<P>>) -> RequestLimits {
    let active = node.configuration.active();
    active.map_or(DEFAULT_LIMITS, |active| P::limits(&active.routes))
}

async fn respond<P: Platform>(
    node: &Rc<Node<P>>,
    request: Request<IncomingBody>,
    role: Role,
) -> Response<Full<Bytes>> {
    match role {
        Role::Ready => respond_ready(node, &request),
        Role::Peer => respond_peer(node, request).await,
        Role::Metrics => respond_metrics(node),
        Role::Clients => {
            let reply = respond_client(node, request).await;
            let mut response = node.platform.encode(&reply);
            if node.is_draining.get() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            response
        }
    }
}

fn respond_ready<P: Platform>(
    node: &Rc<Node<P>>,
    request: &Request<IncomingBody>,
) -> Response<Full<Bytes>> {
    let is_probe = node
        .platform
        .is_readiness_probe(request.method(), request.uri().path());
    let status = match (is_probe, node.is_ready()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn respond_metrics<P: Platform>(node: &Rc<Node<P>>) -> Response<Full<Bytes>> {
    node.update_configuration_metrics();
    let text = node.metrics.to_text();
    let mut response = Response::new(Full::new(Bytes::from(text)));
    let content_type = HeaderValue::from_static(metrics::CONTENT_TYPE);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

async fn respond_peer<P: Platform>(
    node: &Rc<Node<P>>,
    request: Request<IncomingBody>,
) -> Response<Full<Bytes>> {
    let body = Limited::new(request.into_body(), PEER_BODY_LIMIT_BYTES);
    let body = body.collect().await;
    let request = body.ok().and_then(|body| peer::decode(&body.to_bytes()));
    let Some(request) = request else {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return response;
    };
    peer::encode(&requests::handle_peer_request(node, request).await)
}

async fn respond_client<P: Platform>(node: &Rc<Node<P>>, request: Request<IncomingBody>) -> Reply {
    let started_at = clock::now();
    let reply = handle_client_request(node, request).await;
    node.metrics.count_reply(&reply, started_at);
    reply
}

/// Handles a client request with the configuration that is active when its head is read.
async fn handle_client_request<P: Platform>(
    node: &Rc<Node<P>>,
    request: Request<IncomingBody>,
) -> Reply {
    let (parts, body) = request.into_parts();
    let Some(active) = node.current_configuration().await else {
        discard_body(body).await;
        return Reply::Unavailable(RETRY_LATER);
    };
    let head = RequestHead {
        method: &parts.method,
        path: parts.uri.path(),
        headers: &parts.headers,
    };
    let admission = match node.platform.admit(&active.routes, head) {
        Ok(admission) => admission,
        Err(reply) => {
            discard_body(body).await;
            return reply;
        }
    };
    let limits = P::limits(&active.routes);
    let body = match read_body(body, limits).await {
        Ok(body) => body,
        Err(reply) => return reply,
    };
    match node.platform.parse_call(admission, &body) {
        Ok(call) => requests::handle_call(node, call, &active.configuration).await,
        Err(reply) => reply,
    }
}

async fn read_body(body: IncomingBody, limits: RequestLimits) -> Result<Bytes, Reply> {
    let body = Limited::new(body, limits.body_limit_bytes).collect();
    match tokio::time::timeout(limits.read_timeout.into(), body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.downcast_ref::<LengthLimitError>().is_some() => {
            let limit_bytes = limits.body_limit_bytes;
            Err(Reply::TooLarge { limit_bytes })
        }
        Ok(Err(error)) => Err(Reply::Invalid {
            field: "body".to_owned(),
            reason: error.to_string(),
        }),
        Err(_) => Err(Reply::TooSlow),
    }
}

/// Reads and discards the body of a request that is answered by its head alone, if the body
/// is short and arrives soon. Otherwise closing the connection would reset it, and the
/// answer would be lost.
async fn discard_body(body: IncomingBody) {
    let body = Limited::new(body, DISCARDED_BODY_LIMIT_BYTES).collect();
    // A longer or slower body is dropped with its connection.
    let _ = tokio::time::timeout(DISCARD_BODY_TIMEOUT.into(), body).await;
}
