//! The task that owns the node: events in, actions out.

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

/// Messages that may wait for the engine.
const QUEUE_COUNT: usize = 16 * 1024;
/// How often the node is told that time has passed.
const TICK: std::time::Duration = std::time::Duration::from_millis(50);

/// What became of a caller's request.
#[derive(Debug)]
pub enum RequestReply {
    /// The minion's whole answer.
    Answer(MinionAnswer),
    /// There will be no answer.
    GiveUp(GiveUp),
}

type NodeQuery = Box<dyn FnOnce(&mut Node, Instant) + Send>;

/// A message for the engine.
pub enum Message {
    /// Something happened.
    Event(Event),
    /// Something happened, and somebody waits for the answer.
    Call {
        /// Stands for who waits.
        token: u64,
        /// What happened.
        event: Event,
        /// Where the answer goes.
        reply: oneshot::Sender<Answer>,
    },
    /// A caller sent a request.
    Request {
        /// The request.
        arrival: Arrival,
        /// Its body.
        body: Vec<u8>,
        /// Where the answer goes.
        reply: oneshot::Sender<RequestReply>,
    },
    /// A minion's whole answer is there.
    MinionAnswered {
        /// The request.
        request: Request,
        /// The caller.
        token: u64,
        /// The answer.
        answer: MinionAnswer,
    },
    /// A question about the node.
    QueryNode(NodeQuery),
}

/// The engine is gone: the daemon is stopping.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the daemon is stopping")]
pub struct EngineGone;

/// A way to the engine, to be cloned freely.
#[derive(Clone)]
pub struct EngineHandle {
    sender: mpsc::Sender<Message>,
    next_token: Arc<AtomicU64>,
}

impl EngineHandle {
    /// Creates the handle and the queue that the engine reads.
    pub fn new() -> (Self, mpsc::Receiver<Message>) {
        let (sender, receiver) = mpsc::channel(QUEUE_COUNT);
        let next_token = Arc::new(AtomicU64::new(1));
        let handle = Self { sender, next_token };
        (handle, receiver)
    }

    /// Returns a number that stands for somebody who waits.
    pub fn token(&self) -> u64 {
        self.next_token.fetch_add(1, Ordering::Relaxed)
    }

    /// Tells the engine that something happened.
    pub async fn send_event(&self, event: Event) {
        // An engine that is gone needs to know nothing.
        let _ = self.sender.send(Message::Event(event)).await;
    }

    /// Tells the engine without waiting for room; drops the event without it.
    pub fn try_send_event(&self, event: Event) {
        let _ = self.sender.try_send(Message::Event(event));
    }

    /// Sends a message.
    pub async fn send(&self, message: Message) {
        let _ = self.sender.send(message).await;
    }

    /// Tells the engine of `event`, made with a token, and waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns [`EngineGone`] where the daemon is stopping.
    pub async fn call(&self, make: impl FnOnce(u64) -> Event) -> Result<Answer, EngineGone> {
        let token = self.token();
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

    /// Sends a caller's request and waits for what becomes of it.
    ///
    /// # Errors
    ///
    /// Returns [`EngineGone`] where the daemon is stopping.
    pub async fn request(
        &self,
        row: Name,
        key: Option<Key>,
        body: Vec<u8>,
    ) -> Result<RequestReply, EngineGone> {
        let token = self.token();
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

    /// Asks the node a question.
    ///
    /// # Errors
    ///
    /// Returns [`EngineGone`] where the daemon is stopping.
    pub async fn query_node<T: Send + 'static>(
        &self,
        query: impl FnOnce(&mut Node, Instant) -> T + Send + 'static,
    ) -> Result<T, EngineGone> {
        let (reply, answer) = oneshot::channel();
        let query: NodeQuery = Box::new(move |node, now| {
            // Who asked may have gone.
            let _ = reply.send(query(node, now));
        });
        self.send(Message::QueryNode(query)).await;
        answer.await.map_err(|_| EngineGone)
    }
}

/// Tells the engine when a caller goes away before its answer.
struct CallerGuard {
    engine: EngineHandle,
    token: Option<u64>,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if let Some(token) = self.token {
            self.engine.try_send_event(Event::CallerLeft { token });
        }
    }
}

/// What the engine keeps of a caller's request.
struct OpenRequest {
    row: Name,
    key: Option<Key>,
    body: Vec<u8>,
    reply: oneshot::Sender<RequestReply>,
    answer: Option<MinionAnswer>,
}

/// The hands of the engine.
pub struct Effects {
    /// Calls of the store.
    pub store: StoreCalls,
    /// Connections to workers.
    pub sessions: Sessions,
    /// Connections to other daemons.
    pub peers: PeerClients,
    /// Calls of minions.
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

/// What was last logged, so that only changes of state are.
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

    /// Runs until the node has left, or `drain_limit` after it began to.
    pub async fn run(mut self, mut messages: mpsc::Receiver<Message>, drain_limit: Duration) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut leaving_since = None;
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    self.handle(Event::Tick);
                    self.log_changes();
                }
                message = messages.recv() => match message {
                    Some(message) => self.on_message(message, &mut leaving_since),
                    None => return,
                },
            }
            if let Some(since) = leaving_since {
                let is_overdue = clock::now().since(since) >= drain_limit;
                if self.node.has_left() || is_overdue {
                    info!(self.log, "left"; "is_overdue" => is_overdue);
                    return;
                }
            }
        }
    }

    fn on_message(&mut self, message: Message, leaving_since: &mut Option<Instant>) {
        match message {
            Message::Event(event) => {
                if matches!(event, Event::Leave) {
                    leaving_since.get_or_insert(clock::now());
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
        if let Event::CallerLeft { token } = &event {
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
            Action::Answer { token, answer } => self.answer(token, answer),
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
                time_limit,
            } => self.send_request(request, token, addr, time_limit),
            other => self.effects.sessions.execute(other),
        }
    }

    fn answer(&mut self, token: u64, answer: Answer) {
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

    fn send_request(&mut self, request: Request, token: u64, addr: String, time_limit: Duration) {
        let Some(open) = self.requests.get(&token) else {
            // The caller left in this very moment.
            self.effects.minions.not_sent(request);
            return;
        };
        let body = open.body.clone();
        let (row, key) = (open.row.clone(), open.key.clone());
        self.effects
            .minions
            .send(request, token, addr, row, key, body, time_limit);
    }

    /// Logs what changed, and nothing else.
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
