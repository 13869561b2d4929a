//! Connections to workers, each bound to one incarnation of its worker.
//!
//! A start is sent only on the connection that is open when the order is executed, and
//! only to the incarnation that it names. When this process ends, the system discards
//! unsent data, because the linger time of the sockets is zero.

use crate::clock;
use crate::engine::EngineHandle;
use crate::store_calls::Backoff;
use jsonrpsee::core::client::{ClientT, Error as RpcError, Subscription, SubscriptionClientT};
use jsonrpsee::rpc_params;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use ospreywing_node::{Action, Event};
use ospreywing_types::worker::{self, Ended, Order, Renew, Report, Start, Stop};
use ospreywing_types::Name;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(2000);
const CALL_TIMEOUT: Duration = Duration::from_millis(4000);
/// How long sent bytes may stay unacknowledged before the system closes the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);

/// The number of the next connection; unique within this process.
static NEXT_SESSION: AtomicU64 = AtomicU64::new(1);

/// Connections to workers.
pub struct Sessions {
    engine: EngineHandle,
    orders: HashMap<Name, mpsc::UnboundedSender<Order>>,
}

impl Sessions {
    /// Creates an empty set of connections; their events are sent to `engine`.
    pub fn new(engine: EngineHandle) -> Self {
        Self {
            engine,
            orders: HashMap::new(),
        }
    }

    /// Executes an action that concerns a worker; ignores all others.
    pub fn execute(&mut self, action: Action) {
        match action {
            Action::Connect {
                worker,
                addr,
                epoch,
            } => self.connect(worker, addr, epoch),
            Action::Disconnect { worker } => {
                self.orders.remove(&worker);
            }
            Action::Order { worker, order } => self.order(&worker, order),
            _ => {}
        }
    }

    fn connect(&mut self, worker: Name, addr: String, epoch: u64) {
        let (sender, orders) = mpsc::unbounded_channel();
        self.orders.insert(worker.clone(), sender);
        let session = WorkerSession {
            worker,
            addr,
            epoch,
            engine: self.engine.clone(),
        };
        tokio::spawn(session.run(orders));
    }

    fn order(&self, worker: &Name, order: Order) {
        let attempt = match &order {
            Order::Start { start, .. } => Some(start.attempt),
            Order::Renew(_) | Order::Stop(_) | Order::Report => None,
        };
        let sent = self.orders.get(worker).map(|orders| orders.send(order));
        // Only a start needs a result; other orders to a closed connection have no effect.
        if let (Some(attempt), None | Some(Err(_))) = (attempt, sent) {
            let engine = self.engine.clone();
            tokio::spawn(async move { engine.send_event(Event::StartNotSent { attempt }).await });
        }
    }
}

/// The connections to one worker; at most one is open at a time.
#[derive(Clone)]
struct WorkerSession {
    worker: Name,
    addr: String,
    epoch: u64,
    engine: EngineHandle,
}

/// An open connection.
#[derive(Clone)]
struct OpenSession {
    session: WorkerSession,
    client: Arc<WsClient>,
    number: u64,
    incarnation: u64,
    connection_failed: Arc<tokio::sync::Notify>,
}

impl WorkerSession {
    /// Keeps a connection open, reconnecting as needed, until the order channel is closed.
    async fn run(self, mut orders: mpsc::UnboundedReceiver<Order>) {
        let mut backoff = Backoff::new();
        loop {
            if let Ok((open, ended_events)) = self.open().await {
                backoff = Backoff::new();
                let is_finished = open.serve(ended_events, &mut orders).await;
                let worker = self.worker.clone();
                let session = open.number;
                let closed = Event::SessionClosed {
                    worker,
                    epoch: self.epoch,
                    session,
                };
                self.engine.send_event(closed).await;
                if is_finished {
                    return;
                }
            }
            if self.discard_queued_orders(&mut orders).await {
                return;
            }
            backoff.wait().await;
        }
    }

    /// Reports queued starts as not sent, drops other queued orders, and returns whether the
    /// order channel is closed.
    async fn discard_queued_orders(&self, orders: &mut mpsc::UnboundedReceiver<Order>) -> bool {
        loop {
            match orders.try_recv() {
                Ok(Order::Start { start, .. }) => {
                    let attempt = start.attempt;
                    self.engine
                        .send_event(Event::StartNotSent { attempt })
                        .await;
                }
                Ok(_) => {}
                Err(mpsc::error::TryRecvError::Empty) => return false,
                Err(mpsc::error::TryRecvError::Disconnected) => return true,
            }
        }
    }

    async fn open(&self) -> Result<(OpenSession, Subscription<Ended>), RpcError> {
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, self.open_without_timeout()).await;
        opened.unwrap_or(Err(RpcError::RequestTimeout))
    }

    async fn open_without_timeout(&self) -> Result<(OpenSession, Subscription<Ended>), RpcError> {
        let stream = TcpStream::connect(&self.addr)
            .await
            .map_err(|error| RpcError::Transport(Box::new(error)))?;
        set_options(&stream);
        let url = format!("ws://{}", self.addr);
        let client = WsClientBuilder::new()
            .build_with_stream(url, stream)
            .await?;
        let ended_events = client
            .subscribe(
                worker::SUBSCRIBE_ENDS,
                rpc_params![],
                worker::UNSUBSCRIBE_ENDS,
            )
            .await?;
        let report: Report = client.request(worker::REPORT, rpc_params![]).await?;
        let open = OpenSession {
            session: self.clone(),
            client: Arc::new(client),
            number: NEXT_SESSION.fetch_add(1, Ordering::Relaxed),
            incarnation: report.incarnation,
            connection_failed: Arc::new(tokio::sync::Notify::new()),
        };
        let worker = self.worker.clone();
        self.engine
            .send_event(Event::SessionOpened {
                worker,
                epoch: self.epoch,
                session: open.number,
                report,
            })
            .await;
        Ok((open, ended_events))
    }
}

fn set_options(stream: &TcpStream) {
    // Failures are ignored: without these options a dead connection is only detected later.
    let _ = stream.set_nodelay(true);
    let socket = socket2::SockRef::from(stream);
    let _ = socket.set_linger(Some(Duration::ZERO));
    let _ = socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
}

impl OpenSession {
    /// Handles orders and events until the connection fails or the order channel is closed;
    /// returns `true` in the latter case.
    async fn serve(
        &self,
        mut ended_events: Subscription<Ended>,
        orders: &mut mpsc::UnboundedReceiver<Order>,
    ) -> bool {
        loop {
            tokio::select! {
                ended = ended_events.next() => match ended {
                    Some(Ok(ended)) => self.on_ended(ended).await,
                    Some(Err(_)) | None => return false,
                },
                () = self.connection_failed.notified() => return false,
                order = orders.recv() => match order {
                    Some(order) => self.execute(order).await,
                    None => return true,
                },
            }
        }
    }

    async fn on_ended(&self, ended: Ended) {
        let worker = self.session.worker.clone();
        self.session
            .engine
            .send_event(Event::Ended { worker, ended })
            .await;
    }

    async fn execute(&self, order: Order) {
        let this = self.clone();
        match order {
            Order::Start { incarnation, start } => {
                if incarnation != self.incarnation || !self.client.is_connected() {
                    let attempt = start.attempt;
                    let event = Event::StartNotSent { attempt };
                    self.session.engine.send_event(event).await;
                    return;
                }
                tokio::spawn(async move { this.start(start).await });
            }
            Order::Renew(renew) => {
                tokio::spawn(async move { this.renew(renew).await });
            }
            Order::Stop(stop) => {
                tokio::spawn(async move { this.stop(stop).await });
            }
            Order::Report => {
                tokio::spawn(async move { this.request_report().await });
            }
        }
    }

    async fn start(&self, start: Start) {
        let attempt = start.attempt;
        let call = self
            .client
            .request::<(), _>(worker::START, rpc_params![start]);
        let event = match tokio::time::timeout(CALL_TIMEOUT, call).await {
            Ok(Ok(())) => Event::StartAcked { attempt },
            // The worker responded that it did not start the attempt.
            Ok(Err(RpcError::Call(_))) => Event::StartNotSent { attempt },
            Ok(Err(_)) | Err(_) => {
                self.connection_failed.notify_one();
                Event::StartUnconfirmed { attempt }
            }
        };
        self.session.engine.send_event(event).await;
    }

    async fn renew(&self, renew: Renew) {
        let call = self
            .client
            .request::<(), _>(worker::RENEW, rpc_params![renew]);
        if !matches!(tokio::time::timeout(CALL_TIMEOUT, call).await, Ok(Ok(()))) {
            self.connection_failed.notify_one();
        }
    }

    async fn stop(&self, stop: Stop) {
        let call = self
            .client
            .request::<(), _>(worker::STOP, rpc_params![stop]);
        if !matches!(tokio::time::timeout(CALL_TIMEOUT, call).await, Ok(Ok(()))) {
            self.connection_failed.notify_one();
        }
    }

    async fn request_report(&self) {
        let asked_at = clock::now();
        let call = self
            .client
            .request::<Report, _>(worker::REPORT, rpc_params![]);
        match tokio::time::timeout(CALL_TIMEOUT, call).await {
            Ok(Ok(report)) => {
                let event = Event::Reported {
                    worker: self.session.worker.clone(),
                    epoch: self.session.epoch,
                    session: self.number,
                    asked_at,
                    report,
                };
                self.session.engine.send_event(event).await;
            }
            Ok(Err(_)) | Err(_) => self.connection_failed.notify_one(),
        }
    }
}
