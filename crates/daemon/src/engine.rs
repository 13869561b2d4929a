//! The task that owns the node: it feeds events to the node and executes its actions.

use crate::clock;
use crate::minions::{MinionAnswer, Minions};
use crate::peer_client::PeerClients;
use crate::sessions::Sessions;
use crate::store_calls::StoreCalls;
use ospreywing_node::{Action, Answer, Event, Forward, Node};
use ospreywing_routing::{Arrival, GiveUp, Request};
use ospreywing_types::{Duration, Instant, Key, Name};
use slog::{info, Logger};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// Capacity of the engine's message queue.
const QUEUE_CAPACITY: usize = 16 * 1024;
/// The interval between tick events.
const TICK_PERIOD: std::time::Duration = std::time::Duration::from_millis(50);

/// The outcome of a caller's request.
#[derive(Debug)]
pub enum RequestReply {
    /// The minion's complete response.
    Answer(MinionAnswer),
    /// The node gave up on the request; there is no response.
    GiveUp(GiveUp),
}

/// A function that runs on the node, in the engine's task.
type NodeQuery = Box<dyn FnOnce(&mut Node, Instant) + Send>;

/// A message for the engine.
pub enum Message {
    /// An event that needs no answer.
    Event(Event),
    /// An event whose sender waits for an answer.
    Call {
        /// Identifies the sender in the node's answer.
        token: u64,
        /// The event.
        event: Event,
        /// Receives the answer.
        reply: oneshot::Sender<Answer>,
    },
    /// A caller sent a request.
    Request {
        /// The request.
        arrival: Arrival,
        /// Its body.
        body: Vec<u8>,
        /// Receives the answer.
        reply: oneshot::Sender<RequestReply>,
    },
    /// A minion's complete response arrived.
    MinionAnswered {
        /// The request.
        request: Request,
        /// The token of the caller's request.
        token: u64,
        /// The response.
        answer: MinionAnswer,
    },
    /// Runs a function on the node.
    QueryNode(NodeQuery),
}

/// The engine has stopped because the daemon is stopping.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the daemon is stopping")]
pub struct EngineGone;

/// Sends messages to the engine; cheap to clone.
#[derive(Clone)]
pub struct EngineHandle {
    sender: mpsc::Sender<Message>,
    next_token: Arc<AtomicU64>,
}

impl EngineHandle {
    /// Creates a handle and the receiver that the engine reads from.
    pub fn new() -> (Self, mpsc::Receiver<Message>) {
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        let next_token = Arc::new(AtomicU64::new(1));
        let handle = Self { sender, next_token };
        (handle, receiver)
    }

    /// Returns a new token, unique within this process.
    pub fn next_token(&self) -> u64 {
        self.next_token.fetch_add(1, Ordering::Relaxed)
    }

    /// Sends an event, waiting while the queue is full.
    pub async fn send_event(&self, event: Event) {
        // If the engine has stopped, the event no longer matters.
        let _ = self.sender.send(Message::Event(event)).await;
    }

    /// Sends an event, or drops it if the queue is full.
    pub fn try_send_event(&self, event: Event) {
        let _ = self.sender.try_send(Message::Event(event));
    }

    /// Sends a message, waiting while the queue is full.
    pub async fn send(&self, message: Message) {
        let _ = self.sender.send(message).await;
    }

    /// Sends the event that `make` creates for a new token and waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns [`EngineGone`] if the daemon is stopping.
    pub async fn call(&self, make: impl FnOnce(u64) -> Event) -> Result<Answer, EngineGone> {
        let token = self.next_token();
        let (reply, answer) = oneshot::channel();
        let event = make(token);
        self.send(Message::Call {
            token,
            event,
            reply,
        })
        .await;
        answer.await.map_err(|_| EngineGone)
    }

    /// Sends a caller's request and waits for its outcome.
    ///
    /// # Errors
    ///
    /// Returns [`EngineGone`] if the daemon is stopping.
    pub async fn request(
        &self,
        row: Name,
        key: Option<Key>,
        body: Vec<u8>,
    ) -> Result<RequestReply, EngineGone> {
        let token = self.next_token();
        let (reply, answer) = oneshot::channel();
        let arrival = Arrival { token, row, key };
        let mut guard = CallerGuard {
            engine: self.clone(),
            token: Some(token),
        };
        self.send(Message::Request {
            arrival,
            body,
            reply,
        })
        .await;
        let answer = answer.await.map_err(|_| EngineGone);
        guard.token = None;
        answer
    }

    /// Runs a function on the node and returns its result.
    ///
    /// # Errors
    ///
    /// Returns [`EngineGone`] if the daemon is stopping.
    pub async fn query_node<T: Send + 'static>(
        &self,
        query: impl FnOnce(&mut Node, Instant) -> T + Send + 'static,
    ) -> Result<T, EngineGone> {
        let (reply, answer) = oneshot::channel();
        let query: NodeQuery = Box::new(move |node, now| {
            // The receiver may have been dropped.
            let _ = reply.send(query(node, now));
        });
        self.send(Message::QueryNode(query)).await;
        answer.await.map_err(|_| EngineGone)
    }
}

/// Notifies the engine when a caller disconnects before its request is answered.
struct CallerGuard {
    engine: EngineHandle,
    token: Option<u64>,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if let Some(token) = self.token {
            self.engine
                .try_send_event(Event::CallerDisconnected { token });
        }
    }
}

/// An open request of a caller.
struct OpenRequest {
    row: Name,
    key: Option<Key>,
    body: Vec<u8>,
    reply: oneshot::Sender<RequestReply>,
    answer: Option<MinionAnswer>,
}

/// The clients with which the engine executes actions.
pub struct Effects {
    /// Writes to the store.
    pub store: StoreCalls,
    /// Connections to workers.
    pub sessions: Sessions,
    /// Connections to other daemons.
    pub peers: PeerClients,
    /// Requests to minions.
    pub minions: Minions,
}

/// The task that owns the node.
pub struct Engine {
    node: Node,
    effects: Effects,
    calls: HashMap<u64, oneshot::Sender<Answer>>,
    requests: HashMap<u64, OpenRequest>,
    actions: Vec<Action>,
    log: Logger,
    logged: LoggedState,
}

/// The state that was logged last; only changes are logged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct LoggedState {
    freshness: &'static str,
    is_ready: bool,
    shards: Vec<u32>,
    table_revision: u64,
}

impl Engine {
    /// Creates the engine.
    pub fn new(node: Node, effects: Effects, log: Logger) -> Self {
        Self {
            node,
            effects,
            calls: HashMap::new(),
            requests: HashMap::new(),
            actions: Vec::new(),
            log,
            logged: LoggedState::default(),
        }
    }

    /// Runs until the node has drained, or until `drain_limit` after the drain began.
    pub async fn run(mut self, mut messages: mpsc::Receiver<Message>, drain_limit: Duration) {
        let mut ticks = tokio::time::interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut drain_started_at = None;
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    self.handle(Event::Tick);
                    self.log_changes();
                }
                message = messages.recv() => match message {
                    Some(message) => self.on_message(message, &mut drain_started_at),
                    None => return,
                },
            }
            if let Some(started_at) = drain_started_at {
                let is_overdue = clock::now().since(started_at) >= drain_limit;
                if self.node.is_shutdown_complete() || is_overdue {
                    info!(self.log, "left"; "is_overdue" => is_overdue);
                    return;
                }
            }
        }
    }

    fn on_message(&mut self, message: Message, drain_started_at: &mut Option<Instant>) {
        match message {
            Message::Event(event) => {
                if matches!(event, Event::Leave) {
                    drain_started_at.get_or_insert(clock::now());
                }
                self.handle(event);
            }
            Message::Call {
                token,
                event,
                reply,
            } => {
                self.calls.insert(token, reply);
                self.handle(event);
            }
            Message::Request {
                arrival,
                body,
                reply,
            } => self.on_request(arrival, body, reply),
            Message::MinionAnswered {
                request,
                token,
                answer,
            } => {
                if let Some(open) = self.requests.get_mut(&token) {
                    open.answer = Some(answer);
                }
                self.handle(Event::RequestAnswered(request));
            }
            Message::QueryNode(query) => query(&mut self.node, clock::now()),
        }
    }

    fn on_request(
        &mut self,
        arrival: Arrival,
        body: Vec<u8>,
        reply: oneshot::Sender<RequestReply>,
    ) {
        let open = OpenRequest {
            row: arrival.row.clone(),
            key: arrival.key.clone(),
            body,
            reply,
            answer: None,
        };
        self.requests.insert(arrival.token, open);
        self.handle(Event::Arrived(arrival));
    }

    fn handle(&mut self, event: Event) {
        if let Event::CallerDisconnected { token } = &event {
            self.requests.remove(token);
        }
        let mut actions = core::mem::take(&mut self.actions);
        self.node.handle(clock::now(), event, &mut actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Answer { token, answer } => self.send_answer(token, answer),
            Action::Forward { to, message } => self.forward(&to, message),
            Action::Ping(to) => {
                let digest = self.node.table_digest();
                self.effects.peers.ping(to, digest);
            }
            Action::CloseEpoch {
                shard,
                epoch,
                owner,
            } => self.effects.peers.close_epoch(shard, epoch, owner),
            Action::ClaimShard { shard, revision } => {
                self.effects.store.claim_shard(shard, revision);
            }
            Action::VacateShard { shard, revision } => {
                self.effects.store.vacate_shard(shard, revision);
            }
            Action::Commit {
                shard,
                epoch,
                commit,
            } => self.effects.store.commit(shard, epoch, commit),
            Action::ClaimSeat { seat, revision } => self.effects.store.claim_seat(seat, revision),
            Action::VacateSeat { seat, revision } => self.effects.store.vacate_seat(seat, revision),
            Action::SendRequest {
                request,
                token,
                addr,
                timeout,
            } => self.send_request(request, token, addr, timeout),
            other => self.effects.sessions.execute(other),
        }
    }

    fn send_answer(&mut self, token: u64, answer: Answer) {
        match answer {
            Answer::Deliver => {
                let open = self.requests.remove(&token);
                if let Some((reply, Some(answer))) = open.map(|open| (open.reply, open.answer)) {
                    let _ = reply.send(RequestReply::Answer(answer));
                }
            }
            Answer::GiveUp(give_up) => {
                if let Some(open) = self.requests.remove(&token) {
                    let _ = open.reply.send(RequestReply::GiveUp(give_up));
                }
            }
            other => {
                if let Some(reply) = self.calls.remove(&token) {
                    let _ = reply.send(other);
                }
            }
        }
    }

    fn forward(&mut self, to: &ospreywing_types::DaemonIdentity, message: Forward) {
        match message {
            Forward::Submit { token, submit } => {
                self.effects.peers.submit(to.clone(), token, submit);
            }
            Forward::Cancel { token, query } => {
                self.effects.peers.cancel(to.clone(), token, query);
            }
            Forward::Query { token, query } => {
                let reply = self.calls.remove(&token);
                if let Some(reply) = reply {
                    self.effects.peers.query(to.clone(), query, reply);
                }
            }
            Forward::TakeKey { request, claim } => {
                self.effects.peers.take_key(to.clone(), request, claim);
            }
        }
    }

    fn send_request(&mut self, request: Request, token: u64, addr: String, timeout: Duration) {
        let Some(open) = self.requests.get(&token) else {
            // The caller disconnected in the meantime.
            self.effects.minions.not_sent(request);
            return;
        };
        let body = open.body.clone();
        let (row, key) = (open.row.clone(), open.key.clone());
        self.effects
            .minions
            .send(request, token, addr, row, key, body, timeout);
    }

    /// Logs the state if it has changed since it was last logged.
    fn log_changes(&mut self) {
        let shards = 0..self.node.shards_count();
        let now = LoggedState {
            freshness: self.node.freshness().as_str(),
            is_ready: self.node.is_ready(),
            shards: shards.filter(|&s| self.node.owner(s).is_some()).collect(),
            table_revision: self.node.table().revision,
        };
        if now == self.logged {
            return;
        }
        info!(self.log, "state changed";
            "table_known_by" => now.freshness,
            "is_ready" => now.is_ready,
            "shards" => format!("{:?}", now.shards),
            "table_revision" => now.table_revision);
        self.logged = now;
    }
}
