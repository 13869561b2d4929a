//! The HTTP servers for clients, readiness probes, other nodes and metrics.

use crate::client_connections::{ClientConnection, OpenedConnection};
use crate::node::{Node, NodeError};
use crate::platform::{Platform, RequestLimits};
use crate::refusal_log::Refusal;
use crate::{body_reader, client_requests, metrics, peer, requests};
use http::header::{HeaderValue, CONTENT_TYPE};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming as IncomingBody};
use hyper::server::conn::http1;
use hyper::service::{service_fn, Service};
use hyper_util::rt::{TokioIo, TokioTimer};
use ospreywing_types::Duration;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

/// The receive buffer of a client's connection. What it holds unread counts as memory of the
/// process.
const CLIENT_RECEIVE_BUFFER_BYTES: u32 = 16 * 1024;
/// The smallest head buffer that the HTTP library accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8192;
/// The largest request body of another node.
const PEER_BODY_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// The time within which a body of another node must arrive: several times what the largest takes
/// over a link of 10 Mbit/s.
const PEER_BODY_TIMEOUT: Duration = Duration::from_s(15);
/// The pause after a connection could not be accepted.
const ACCEPT_RETRY_PAUSE: std::time::Duration = std::time::Duration::from_millis(20);
/// The limits before there is a configuration.
const DEFAULT_LIMITS: RequestLimits = RequestLimits {
    head_limit_bytes: 16 * 1024,
    body_limit_bytes: 256 * 1024,
    read_timeout: Duration::from_ms(3000),
    idle_timeout: Duration::from_ms(15_000),
};
/// The kind of requests that a listener serves other than clients'.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
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

    /// Listens on an address for clients; `backlog_count` connections may wait to be accepted.
    ///
    /// # Errors
    ///
    /// Returns a [`NodeError`] if the address can't be listened on.
    pub fn bind_for_clients(address: SocketAddr, backlog_count: usize) -> Result<Self, NodeError> {
        let failed = |error| NodeError::Listen { address, error };
        let listener = listen_for_clients(address, backlog_count).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        Ok(Self { listener, address })
    }
}

fn listen_for_clients(address: SocketAddr, backlog_count: usize) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit the size.
    socket.set_recv_buffer_size(CLIENT_RECEIVE_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(u32::try_from(backlog_count).unwrap_or(u32::MAX))
}

/// The listeners of a node and their connections.
pub struct Front<P: Platform> {
    node: Rc<Node<P>>,
    stopped: watch::Receiver<bool>,
}

impl<P: Platform> Front<P> {
    /// Creates a front without listeners, which shuts down when `stopped` becomes true.
    pub const fn new(node: Rc<Node<P>>, stopped: watch::Receiver<bool>) -> Self {
        Self { node, stopped }
    }

    /// Returns the number of open client connections.
    pub fn open_count(&self) -> usize {
        self.node.clients.open_count()
    }

    /// Serves clients' connections until the front shuts down.
    pub fn serve_clients(&self, listener: Listener) {
        let accept = accept_clients(listener.listener, self.node.clone(), self.stopped.clone());
        tokio::task::spawn_local(accept);
    }

    /// Serves other connections until the front shuts down.
    pub fn serve(&self, listener: Listener, role: Role) {
        let (node, stopped) = (self.node.clone(), self.stopped.clone());
        tokio::task::spawn_local(accept_others(listener.listener, node, stopped, role));
    }
}

async fn accept_clients<P: Platform>(
    listener: TcpListener,
    node: Rc<Node<P>>,
    mut stopped: watch::Receiver<bool>,
) {
    while let Some(stream) = next_connection(&listener, &node, &mut stopped).await {
        // Without room the connection is closed.
        if let Some(client) = open_client_connection(&node).await {
            let serve = serve_client(stream, node.clone(), stopped.clone(), client);
            tokio::task::spawn_local(serve);
        }
    }
}

async fn accept_others<P: Platform>(
    listener: TcpListener,
    node: Rc<Node<P>>,
    mut stopped: watch::Receiver<bool>,
    role: Role,
) {
    while let Some(stream) = next_connection(&listener, &node, &mut stopped).await {
        let (node, stopped) = (node.clone(), stopped.clone());
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| respond_to_system(&node, request, role));
            serve_until_stopped(stream, limits(&node), stopped, service).await;
        });
    }
}

/// Accepts the next connection; returns `None` when the front shuts down.
async fn next_connection<P: Platform>(
    listener: &TcpListener,
    node: &Rc<Node<P>>,
    stopped: &mut watch::Receiver<bool>,
) -> Option<TcpStream> {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stopped| *stopped) => return None,
        };
        if let Ok((stream, _)) = accepted {
            return Some(stream);
        }
        node.record_refusal(Refusal::AcceptFailed);
        tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
    }
}

/// Opens a client's connection; returns `None` if there is no room for it.
async fn open_client_connection<P: Platform>(node: &Rc<Node<P>>) -> Option<ClientConnection> {
    match node.clients.open().await {
        OpenedConnection::Opened(client) => Some(client),
        OpenedConnection::Displaced(client) => {
            node.record_refusal(Refusal::ConnectionDisplaced);
            node.clients.displaced_closed().await;
            Some(client)
        }
        OpenedConnection::Refused => {
            node.record_refusal(Refusal::ConnectionRefused);
            None
        }
    }
}

/// Serves a client's connection until it is closed, displaced, or the front shuts down.
async fn serve_client<P: Platform>(
    stream: TcpStream,
    node: Rc<Node<P>>,
    stopped: watch::Receiver<bool>,
    client: ClientConnection,
) {
    let service = service_fn(|request| client_requests::respond(&node, request, &client));
    tokio::select! {
        // The last answer is sent before a displaced connection is closed.
        biased;
        () = serve_until_stopped(stream, limits(&node), stopped, service) => {}
        () = client.displaced() => {}
    }
}

async fn serve_until_stopped<S>(
    stream: TcpStream,
    limits: RequestLimits,
    mut stopped: watch::Receiver<bool>,
    service: S,
) where
    S: Service<Request<IncomingBody>, Response = Response<Full<Bytes>>, Error = Infallible>,
{
    // A failure only makes the connection slower.
    let _ = stream.set_nodelay(true);
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

/// Responds to the load balancer, other nodes or a reader of metrics.
async fn respond_to_system<P: Platform>(
    node: &Rc<Node<P>>,
    request: Request<IncomingBody>,
    role: Role,
) -> Result<Response<Full<Bytes>>, Infallible> {
    Ok(match role {
        Role::Ready => respond_ready(node, &request),
        Role::Peer => respond_peer(node, request).await,
        Role::Metrics => respond_metrics(node),
    })
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
    node.metrics.set_clients(&node.clients);
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
    let body = body_reader::read_body(request.into_body(), PEER_BODY_LIMIT_BYTES);
    let body = tokio::time::timeout(PEER_BODY_TIMEOUT.into(), body).await;
    let body = body.ok().and_then(Result::ok);
    let request = body.and_then(|body| peer::decode(&body));
    let Some(request) = request else {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return response;
    };
    peer::encode(&requests::handle_peer_request(node, request).await)
}
