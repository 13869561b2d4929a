//! Runs a node from its start to its shutdown, and holds the state that its parts share.

use crate::admission::ForecastView;
use crate::cell_view::CellView;
use crate::client_connections::ClientConnections;
use crate::client_limits::{BoxSize, ClientLimits};
use crate::configuration::{self, ConfigurationView};
use crate::failure_detector::FailureDetector;
use crate::front::{self, Front, Listener};
use crate::handover::LearnedSnapshot;
use crate::intake::Intake;
use crate::leader::Term;
use crate::log::LogBuffer;
use crate::metered::MeteredStore;
use crate::metrics::Metrics;
use crate::platform::Platform;
use crate::probed::ProbedStore;
use crate::refusal_log::{Refusal, RefusalLog};
use crate::relay::server::RelayServer;
use crate::store::LeaseId;
use crate::{cell_follow, clock, election, leader_probe, membership};
use ospreywing_http::HttpClient;
use ospreywing_scheduler::Features;
use ospreywing_types::{Duration, Instant};
use slog::{info, warn, Logger};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use thiserror::Error;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{watch, Notify};

/// The idle connections that are kept open to each peer.
const PEER_IDLE_COUNT: usize = 8;
/// The number of concurrent group commits to the intake, so that one slow commit
/// does not delay the others.
const INTAKE_WRITERS_COUNT: usize = 3;
/// How long after the store's last answer a node still counts as connected to it.
const STORE_CONTACT_TIMEOUT: Duration = Duration::from_ms(1500);
/// How long a watch of the keys that every node follows waits for changes.
pub const WATCH_TIMEOUT: Duration = Duration::from_ms(3000);
/// How often the platform's settings are reloaded without a signal.
const SETTINGS_RELOAD_PERIOD: Duration = Duration::from_s(2);
/// How long a stopping node still accepts connections: the load balancer must see
/// first that it is not ready.
const DRAIN_ACCEPT_TIME: Duration = Duration::from_ms(2600);
/// The part of the grace time that a drain leaves unused.
const DRAIN_MARGIN: Duration = Duration::from_ms(1000);

/// The settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The node's name.
    pub name: String,
    /// The address on which clients are served.
    pub front_address: SocketAddr,
    /// The address of the load balancer's readiness probe.
    pub ready_address: SocketAddr,
    /// The address on which other nodes call.
    pub peer_address: SocketAddr,
    /// The address on which metrics are served, if any.
    pub metrics_address: Option<SocketAddr>,
    /// The node's data centre; empty if the platform does not name one.
    pub data_centre: String,
    /// The node's CPU share, in thousandths of a core.
    pub cores_milli: u32,
    /// The node's memory and sockets.
    pub box_size: BoxSize,
    /// The number of workers from which other nodes relay the leader's orders.
    pub relays_min_workers_count: usize,
    /// The number of nodes from which nodes fetch configurations from one another.
    pub sharing_min_nodes_count: usize,
    /// The longest lease that a worker grants.
    pub lease_limit: Duration,
    /// The time within which the node must stop.
    pub grace: Duration,
    /// The time within which a worker must stop a run.
    pub stop_grace: Duration,
    /// How long a job's outcome is kept.
    pub retention: Duration,
    /// The time within which a change of the configuration must be in force.
    pub apply_limit: Duration,
    /// The time by which `apply_limit` is extended while the store does not answer.
    pub stretch_limit: Duration,
    /// The time within which a cordon must be in force.
    pub cordon_limit: Duration,
    /// The time after which no new run may start on a worker that is draining.
    pub drain_limit: Duration,
    /// The time after which keys that the store has not confirmed are no longer accepted,
    /// if it is set separately.
    pub revoke_limit: Option<Duration>,
    /// The optional features that are enabled.
    pub features: Features,
}

impl NodeSettings {
    /// Sets which optional features are enabled.
    pub const fn with_features(mut self, features: Features) -> Self {
        self.features = features;
        self
    }

    /// Sets the number of nodes from which nodes fetch configurations from one another.
    pub const fn with_sharing_min_nodes_count(mut self, count: usize) -> Self {
        self.sharing_min_nodes_count = count;
        self
    }
}

/// An error that keeps a node from starting.
#[derive(Debug, Error)]
pub enum NodeError {
    /// An address could not be listened on.
    #[error("can't listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        error: std::io::Error,
    },
    /// Signals can't be received.
    #[error("can't receive signals: {0}")]
    Signals(std::io::Error),
}

/// The platform's store with the layers through which a node calls it.
pub type NodeStore<P> = ProbedStore<MeteredStore<<P as Platform>::Store>>;

/// The state that the parts of a node share.
pub struct Node<P: Platform> {
    /// The platform.
    pub platform: P,
    /// The platform's store.
    pub store: NodeStore<P>,
    /// The settings.
    pub settings: NodeSettings,
    /// The metrics.
    pub metrics: Rc<Metrics>,
    /// The log.
    pub log: Logger,
    /// The HTTP client for calls to other nodes.
    pub peers: HttpClient,
    /// The queue of jobs and cancels to be written to the store.
    pub intake: Rc<Intake<NodeStore<P>>>,
    /// The operators' configuration.
    pub configuration: ConfigurationView<P>,
    /// The node's view of the leader, its candidates and the live nodes.
    pub cell: RefCell<CellView>,
    /// The leader's forecast for jobs that are submitted now.
    pub forecasts: ForecastView,
    /// Notified when the view of the cell changes.
    pub cell_changed: Notify,
    /// The node's current term, while it leads.
    pub term: RefCell<Option<Rc<Term<P>>>>,
    /// The session in which this node relays a leader's orders.
    pub(crate) relay_server: RelayServer,
    /// When the store last answered.
    pub store_contact_at: Cell<Instant>,
    /// The lease of this process's last campaign.
    pub own_lease: Cell<LeaseId>,
    /// The failure detector for the leader, if this node probes it.
    pub(crate) detector: Cell<FailureDetector>,
    /// When the node may next evict a leader.
    pub next_eviction_at: Cell<Instant>,
    /// The statistics that a leader sent or that this node recorded as leader.
    pub(crate) learned: RefCell<LearnedSnapshot>,
    /// Whether the node is stopping.
    pub is_draining: Cell<bool>,
    /// The open connections of clients.
    pub(crate) clients: ClientConnections,
    refusal_log: RefCell<RefusalLog>,
}

impl<P: Platform> Node<P> {
    /// Records that the store has answered a call.
    pub fn record_store_contact(&self) {
        let now = clock::now();
        if now.since(self.store_contact_at.get()) > STORE_CONTACT_TIMEOUT {
            info!(self.log, "store contact restored");
        }
        self.store_contact_at.set(now);
        self.intake.record_answer();
    }

    /// Returns whether the store has answered within the contact timeout.
    pub fn has_store_contact(&self) -> bool {
        clock::now().since(self.store_contact_at.get()) <= STORE_CONTACT_TIMEOUT
    }

    /// Returns whether the load balancer should route new connections to this node.
    pub fn is_ready(&self) -> bool {
        self.configuration.is_known()
            && self.has_store_contact()
            && self.is_current()
            && !self.is_draining.get()
    }

    /// Records that a client was refused for lack of resources.
    pub(crate) fn record_refusal(&self, refusal: Refusal) {
        self.metrics.count_refusal(refusal);
        let due_count = self.refusal_log.borrow_mut().record(clock::now(), refusal);
        if let Some(count) = due_count {
            warn!(self.log, "clients refused"; "reason" => refusal.as_str(), "count" => count,
                "open" => self.clients.open_count());
        }
    }

    /// Returns the node's term if its lease certainly still holds.
    pub fn valid_term(&self) -> Option<Rc<Term<P>>> {
        let term = self.term.borrow().clone();
        term.filter(|term| term.may_send_orders())
    }

    /// Returns the node's term, whether or not its lease still holds.
    pub fn term(&self) -> Option<Rc<Term<P>>> {
        self.term.borrow().clone()
    }

    /// Returns whether `names` equals the result of [`Self::names`]. It allocates nothing,
    /// since it is called at each tick of a term.
    pub(crate) fn matches_node_names(&self, names: &[Arc<str>]) -> bool {
        let cell = self.cell.borrow();
        let own_name = &self.settings.name;
        let own = (!cell.nodes.contains_key(own_name)).then_some(own_name);
        let live = cell.nodes.keys().chain(own);
        live.map(String::as_str).eq(names.iter().map(AsRef::as_ref))
    }

    /// Returns the names of the live nodes, including this one.
    pub fn names(&self) -> Vec<Arc<str>> {
        let cell = self.cell.borrow();
        let mut names: Vec<Arc<str>> = cell.nodes.keys().map(|n| Arc::from(n.as_str())).collect();
        if !cell.nodes.contains_key(&self.settings.name) {
            names.push(Arc::from(self.settings.name.as_str()));
        }
        names
    }
}

/// The sockets that a node needs to start.
struct Sockets {
    clients: Listener,
    ready: Listener,
    peer: Listener,
}

impl Sockets {
    /// Listens on the addresses in the settings, and writes the assigned ports back to them.
    async fn bind(settings: &mut NodeSettings) -> Result<Self, NodeError> {
        let backlog_count = ClientLimits::of_box(settings.box_size).connections_count;
        let sockets = Self {
            ready: Listener::bind(settings.ready_address).await?,
            peer: Listener::bind(settings.peer_address).await?,
            clients: Listener::bind_for_clients(settings.front_address, backlog_count)?,
        };
        settings.ready_address = sockets.ready.address;
        settings.peer_address = sockets.peer.address;
        settings.front_address = sockets.clients.address;
        Ok(sockets)
    }
}

/// Runs a node until it receives a signal to stop.
///
/// # Errors
///
/// Returns a [`NodeError`] if the node can't start.
pub async fn run<P: Platform>(
    platform: P,
    mut settings: NodeSettings,
    log: Logger,
    buffer: LogBuffer,
) -> Result<(), NodeError> {
    let sockets = Sockets::bind(&mut settings).await?;
    let client_limits = ClientLimits::of_box(settings.box_size);
    let metrics = Rc::new(Metrics::new());
    let store = ProbedStore::new(MeteredStore::new(platform.store(), metrics.clone()));
    let node = Rc::new(Node {
        intake: Intake::new(store.clone()),
        store,
        platform,
        metrics,
        peers: HttpClient::new(PEER_IDLE_COUNT).with_log(log.clone()),
        log,
        configuration: ConfigurationView::default(),
        cell: RefCell::new(CellView::default()),
        forecasts: ForecastView::default(),
        cell_changed: Notify::new(),
        learned: RefCell::default(),
        term: RefCell::new(None),
        relay_server: RelayServer::default(),
        store_contact_at: Cell::new(Instant::default()),
        own_lease: Cell::new(0),
        detector: Cell::new(FailureDetector::default()),
        next_eviction_at: Cell::new(Instant::default()),
        is_draining: Cell::new(false),
        clients: ClientConnections::new(client_limits),
        refusal_log: RefCell::default(),
        settings,
    });
    let sigterm = signal(SignalKind::terminate()).map_err(NodeError::Signals)?;
    let sighup = signal(SignalKind::hangup()).map_err(NodeError::Signals)?;
    let (stop, stopped) = watch::channel(false);
    let front = Front::new(node.clone(), stopped);
    front.serve(sockets.ready, front::Role::Ready);
    front.serve(sockets.peer, front::Role::Peer);
    front.serve_clients(sockets.clients);
    listen_for_metrics(&node, &front).await;
    info!(node.log, "started";
        "version" => env!("CARGO_PKG_VERSION"),
        "front" => node.settings.front_address.to_string(),
        "ready" => node.settings.ready_address.to_string(),
        "peer" => node.settings.peer_address.to_string());
    spawn_loops(&node);
    tokio::task::spawn_local(reload_on_signal(node.clone(), sighup));
    wait_for_stop(sigterm).await;
    drain(&node, &front, &stop).await;
    info!(node.log, "stopped"; "open" => front.open_count());
    buffer.flush_to(&mut std::io::stdout());
    Ok(())
}

/// Serves metrics if an address is set; a failure to listen is only logged.
async fn listen_for_metrics<P: Platform>(node: &Rc<Node<P>>, front: &Front<P>) {
    let Some(address) = node.settings.metrics_address else {
        return;
    };
    match Listener::bind(address).await {
        Ok(listener) => front.serve(listener, front::Role::Metrics),
        Err(error) => warn!(node.log, "can't serve metrics"; "error" => error.to_string()),
    }
}

fn spawn_loops<P: Platform>(node: &Rc<Node<P>>) {
    for _ in 0..INTAKE_WRITERS_COUNT {
        let intake = node.intake.clone();
        tokio::task::spawn_local(async move { intake.run().await });
    }
    tokio::task::spawn_local(watch_store_recovery(node.clone()));
    tokio::task::spawn_local(configuration::follow_configuration(node.clone()));
    tokio::task::spawn_local(cell_follow::follow_leader(node.clone()));
    tokio::task::spawn_local(membership::maintain_membership(node.clone()));
    tokio::task::spawn_local(election::campaign(node.clone()));
    tokio::task::spawn_local(leader_probe::probe_leader(node.clone()));
}

/// Records store contact whenever the store answers again after an outage.
async fn watch_store_recovery<P: Platform>(node: Rc<Node<P>>) {
    loop {
        node.store.answered().await;
        node.record_store_contact();
    }
}

async fn reload_on_signal<P: Platform>(node: Rc<Node<P>>, mut sighup: tokio::signal::unix::Signal) {
    let mut period = tokio::time::interval(SETTINGS_RELOAD_PERIOD.into());
    loop {
        tokio::select! {
            _ = sighup.recv() => info!(node.log, "settings reloaded"; "reason" => "signal"),
            _ = period.tick() => {}
        }
        node.platform.reload();
    }
}

async fn wait_for_stop(mut sigterm: tokio::signal::unix::Signal) {
    let interrupt = signal(SignalKind::interrupt());
    match interrupt {
        Ok(mut interrupt) => {
            tokio::select! {
                _ = sigterm.recv() => {}
                _ = interrupt.recv() => {}
            }
        }
        Err(_) => {
            sigterm.recv().await;
        }
    }
}

/// Shuts down: resigns as leader, waits until the load balancer stops routing here, and
/// finishes the open requests.
async fn drain<P: Platform>(node: &Rc<Node<P>>, front: &Front<P>, stop: &watch::Sender<bool>) {
    info!(node.log, "stopping"; "open" => front.open_count());
    node.is_draining.set(true);
    let started_at = clock::now();
    if let Some(term) = node.term() {
        term.resign().await;
    }
    membership::deregister(node).await;
    let grace_ms = node.settings.grace.as_ms();
    let grace = Duration::from_ms(grace_ms.saturating_sub(DRAIN_MARGIN.as_ms()));
    tokio::time::sleep(DRAIN_ACCEPT_TIME.into()).await;
    // Without a receiver there are no open connections.
    let _ = stop.send(true);
    while front.open_count() > 0 && clock::now().since(started_at) < grace {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}
