//! A node's life, from start to stop.

use crate::admission::ForecastView;
use crate::cell_view::CellView;
use crate::configuration::{self, ConfigurationView};
use crate::failure_detector::FailureDetector;
use crate::front::{self, Front, Listener};
use crate::handover::KeptLearned;
use crate::intake::Intake;
use crate::leader::Leading;
use crate::log::LogBuffer;
use crate::metered::MeteredStore;
use crate::metrics::Metrics;
use crate::platform::Platform;
use crate::probed::ProbedStore;
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

/// Idle connections that are kept to each peer.
const PEER_IDLE_COUNT: usize = 8;
/// Groups that may be on their way to the store at once, so that a slow store
/// does not make one wait for another.
const INTAKE_WRITERS_COUNT: usize = 3;
/// How long a node is ready after the store last answered.
const CONTACT_LIMIT: Duration = Duration::from_ms(1500);
/// How long a watch of what every node follows waits.
pub const WATCH_WAIT: Duration = Duration::from_ms(3000);
/// How often the settings are looked at for a silent change.
const RELOAD_PERIOD: Duration = Duration::from_s(2);
/// How long a stopping node still takes connections, so that the balancer
/// finds out first.
const DRAIN_ACCEPT_TIME: Duration = Duration::from_ms(2600);
/// What is left of the grace time at the end of a drain.
const DRAIN_MARGIN: Duration = Duration::from_ms(1000);

/// A node's settings.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The node's name.
    pub name: String,
    /// Where clients are served.
    pub front_address: SocketAddr,
    /// Where the balancer asks whether the node is ready.
    pub ready_address: SocketAddr,
    /// Where other nodes call.
    pub peer_address: SocketAddr,
    /// Where metrics are told, if anywhere.
    pub metrics_address: Option<SocketAddr>,
    /// The node's data centre; empty where the platform tells none.
    pub data_centre: String,
    /// The node's share of a core, in thousandths.
    pub cores_milli: u32,
    /// From how many workers on other nodes carry the leader's orders.
    pub relayed_workers_count: usize,
    /// From how many nodes on configurations are handed on from node to node.
    pub sharing_nodes_count: usize,
    /// The longest lease that a worker grants.
    pub lease_limit: Duration,
    /// How long a stop may take.
    pub grace: Duration,
    /// How long a stop may take at a worker.
    pub stop_grace: Duration,
    /// How long a job's outcome is kept.
    pub retention: Duration,
    /// The time in which a change of the configuration must be in force.
    pub apply_limit: Duration,
    /// What a store that turns nodes away may add to that.
    pub stretch_limit: Duration,
    /// The time in which a cordon must be in force.
    pub cordon_limit: Duration,
    /// The time after which a worker that is leaving must be given nothing new.
    pub drain_limit: Duration,
    /// The time after which keys are not used any more that the store does not confirm,
    /// where that is set apart.
    pub revoke_limit: Option<Duration>,
    /// The decisions under load that are on.
    pub features: Features,
}

impl NodeSettings {
    /// Sets which decisions under load are on.
    pub const fn with_features(mut self, features: Features) -> Self {
        self.features = features;
        self
    }

    /// Sets from how many nodes on configurations are handed on from node to node.
    pub const fn with_sharing_nodes_count(mut self, count: usize) -> Self {
        self.sharing_nodes_count = count;
        self
    }
}

/// Why a node could not run.
#[derive(Debug, Error)]
pub enum NodeError {
    /// An address could not be listened on.
    #[error("can't listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        error: std::io::Error,
    },
    /// Signals can't be received.
    #[error("can't receive signals: {0}")]
    Signals(std::io::Error),
}

/// The platform's store, as a node calls it.
pub type NodeStore<P> = ProbedStore<MeteredStore<<P as Platform>::Store>>;

/// A node.
pub struct Node<P: Platform> {
    /// The platform.
    pub platform: P,
    /// The platform's store.
    pub store: NodeStore<P>,
    /// The settings.
    pub settings: NodeSettings,
    /// What is counted.
    pub metrics: Rc<Metrics>,
    /// The log.
    pub log: Logger,
    /// Connections to other nodes.
    pub peers: HttpClient,
    /// What clients have handed in.
    pub intake: Rc<Intake<NodeStore<P>>>,
    /// The operators' configuration.
    pub configuration: ConfigurationView<P>,
    /// Who leads, and who lives.
    pub cell: RefCell<CellView>,
    /// What the leader forecasts for jobs that are handed in now.
    pub forecasts: ForecastView,
    /// Told when the view of the cell has changed.
    pub cell_changed: Notify,
    /// The node's own term, while it leads.
    pub leading: RefCell<Option<Rc<Leading<P>>>>,
    /// The orders that this node carries for a leader.
    pub(crate) relay_server: RelayServer,
    /// When the store last answered.
    pub contact_at: Cell<Instant>,
    /// The lease with which this process last stood for leader.
    pub own_lease: Cell<LeaseId>,
    /// What the node has heard of the leader, where it probes it.
    pub(crate) detector: Cell<FailureDetector>,
    /// When the node may next take a leader for gone.
    pub next_eviction_at: Cell<Instant>,
    /// What an earlier leader has learned.
    pub(crate) learned: RefCell<KeptLearned>,
    /// Whether the node is stopping.
    pub is_draining: Cell<bool>,
}

impl<P: Platform> Node<P> {
    /// Notes that the store has answered.
    pub fn note_contact(&self) {
        let now = clock::now();
        if now.since(self.contact_at.get()) > CONTACT_LIMIT {
            info!(self.log, "store regained");
        }
        self.contact_at.set(now);
        self.intake.note_answer();
    }

    /// Returns whether the store answered a short while ago.
    pub fn has_contact(&self) -> bool {
        clock::now().since(self.contact_at.get()) <= CONTACT_LIMIT
    }

    /// Returns whether new connections should come here.
    pub fn is_ready(&self) -> bool {
        self.configuration.is_known()
            && self.has_contact()
            && self.is_current()
            && !self.is_draining.get()
    }

    /// Returns the node's own term, while it certainly leads.
    pub fn leading(&self) -> Option<Rc<Leading<P>>> {
        let leading = self.leading.borrow().clone();
        leading.filter(|leading| leading.may_order())
    }

    /// Returns the node's own term, whether or not its lease still holds.
    pub fn term(&self) -> Option<Rc<Leading<P>>> {
        self.leading.borrow().clone()
    }

    /// Returns whether `names` are those of the live nodes, this one among them,
    /// in their order; asked at each tick of a term, so without making a list.
    pub(crate) fn has_names(&self, names: &[Arc<str>]) -> bool {
        let cell = self.cell.borrow();
        let own_name = &self.settings.name;
        let own = (!cell.nodes.contains_key(own_name)).then_some(own_name);
        let live = cell.nodes.keys().chain(own);
        live.map(String::as_str).eq(names.iter().map(AsRef::as_ref))
    }

    /// Returns the names of the live nodes, this one among them.
    pub fn names(&self) -> Vec<Arc<str>> {
        let cell = self.cell.borrow();
        let mut names: Vec<Arc<str>> = cell.nodes.keys().map(|n| Arc::from(n.as_str())).collect();
        if !cell.nodes.contains_key(&self.settings.name) {
            names.push(Arc::from(self.settings.name.as_str()));
        }
        names
    }
}

/// The sockets without which a node is of no use.
struct Sockets {
    clients: Listener,
    ready: Listener,
    peer: Listener,
}

impl Sockets {
    /// Listens where the settings say, and notes there which ports were given.
    async fn bind(settings: &mut NodeSettings) -> Result<Self, NodeError> {
        let sockets = Self {
            ready: Listener::bind(settings.ready_address).await?,
            peer: Listener::bind(settings.peer_address).await?,
            clients: Listener::bind(settings.front_address).await?,
        };
        settings.ready_address = sockets.ready.address;
        settings.peer_address = sockets.peer.address;
        settings.front_address = sockets.clients.address;
        Ok(sockets)
    }
}

/// Runs a node until it is told to stop.
///
/// # Errors
///
/// Returns a [`NodeError`] where it can't begin.
pub async fn run<P: Platform>(
    platform: P,
    mut settings: NodeSettings,
    log: Logger,
    buffer: LogBuffer,
) -> Result<(), NodeError> {
    let sockets = Sockets::bind(&mut settings).await?;
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
        leading: RefCell::new(None),
        relay_server: RelayServer::default(),
        contact_at: Cell::new(Instant::default()),
        own_lease: Cell::new(0),
        detector: Cell::new(FailureDetector::default()),
        next_eviction_at: Cell::new(Instant::default()),
        is_draining: Cell::new(false),
        settings,
    });
    let term = signal(SignalKind::terminate()).map_err(NodeError::Signals)?;
    let hup = signal(SignalKind::hangup()).map_err(NodeError::Signals)?;
    let (stop, stopped) = watch::channel(false);
    let front = Front::new(node.clone(), stopped);
    front.serve(sockets.ready, front::Role::Ready);
    front.serve(sockets.peer, front::Role::Peer);
    front.serve(sockets.clients, front::Role::Clients);
    listen_for_metrics(&node, &front).await;
    info!(node.log, "started";
        "version" => env!("CARGO_PKG_VERSION"),
        "front" => node.settings.front_address.to_string(),
        "ready" => node.settings.ready_address.to_string(),
        "peer" => node.settings.peer_address.to_string());
    spawn_loops(&node);
    tokio::task::spawn_local(reload_on_signal(node.clone(), hup));
    wait_for_stop(term).await;
    drain(&node, &front, &stop).await;
    info!(node.log, "stopped"; "open" => front.open_count());
    buffer.flush_to(&mut std::io::stdout());
    Ok(())
}

/// Tells metrics where that was asked for; a node works without them.
async fn listen_for_metrics<P: Platform>(node: &Rc<Node<P>>, front: &Front<P>) {
    let Some(address) = node.settings.metrics_address else {
        return;
    };
    match Listener::bind(address).await {
        Ok(listener) => front.serve(listener, front::Role::Metrics),
        Err(error) => warn!(node.log, "no metrics"; "error" => error.to_string()),
    }
}

fn spawn_loops<P: Platform>(node: &Rc<Node<P>>) {
    for _ in 0..INTAKE_WRITERS_COUNT {
        let intake = node.intake.clone();
        tokio::task::spawn_local(async move { intake.run().await });
    }
    tokio::task::spawn_local(note_returns(node.clone()));
    tokio::task::spawn_local(configuration::follow_configuration(node.clone()));
    tokio::task::spawn_local(cell_follow::follow_leader(node.clone()));
    tokio::task::spawn_local(membership::keep_membership(node.clone()));
    tokio::task::spawn_local(election::campaign(node.clone()));
    tokio::task::spawn_local(leader_probe::probe_leader(node.clone()));
}

/// Notes contact whenever the store answers again.
async fn note_returns<P: Platform>(node: Rc<Node<P>>) {
    loop {
        node.store.answered().await;
        node.note_contact();
    }
}

async fn reload_on_signal<P: Platform>(node: Rc<Node<P>>, mut hup: tokio::signal::unix::Signal) {
    let mut period = tokio::time::interval(RELOAD_PERIOD.into());
    loop {
        tokio::select! {
            _ = hup.recv() => info!(node.log, "settings read again"; "reason" => "signal"),
            _ = period.tick() => {}
        }
        node.platform.reload();
    }
}

async fn wait_for_stop(mut term: tokio::signal::unix::Signal) {
    let interrupt = signal(SignalKind::interrupt());
    match interrupt {
        Ok(mut interrupt) => {
            tokio::select! {
                _ = term.recv() => {}
                _ = interrupt.recv() => {}
            }
        }
        Err(_) => {
            term.recv().await;
        }
    }
}

/// Gives up the lead, lets the balancer find out, and answers what is open.
async fn drain<P: Platform>(node: &Rc<Node<P>>, front: &Front<P>, stop: &watch::Sender<bool>) {
    info!(node.log, "stopping"; "open" => front.open_count());
    node.is_draining.set(true);
    let begun = clock::now();
    if let Some(leading) = node.term() {
        leading.resign().await;
    }
    membership::leave(node).await;
    let grace_ms = node.settings.grace.as_ms();
    let grace = Duration::from_ms(grace_ms.saturating_sub(DRAIN_MARGIN.as_ms()));
    tokio::time::sleep(DRAIN_ACCEPT_TIME.into()).await;
    // A receiver that is gone has nothing open.
    let _ = stop.send(true);
    while front.open_count() > 0 && clock::now().since(begun) < grace {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}
