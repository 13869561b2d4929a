//! Simulates several daemons, workers and a store, with the faults that may occur
//! between them, one step at a time.

use super::box_fake::{BoxFake, Running};
use super::daemon_fake::{DaemonFake, HeldOrder, Link};
use super::store_fake::StoreFake;
use ospreywing_shard::{Action, Event, Owner, OwnerConfig, Recovery, Reply, Token};
use ospreywing_table::{Repeat, Row, RowKind, Table};
use ospreywing_types::peer::{SubmitReply, TakeKeyReply};
use ospreywing_types::worker::{Ended, Order};
use ospreywing_types::{
    AttemptId, BoxFacts, BoxKind, BoxState, DaemonIdentity, Duration, Instant, Key, Name,
    Resources, TaskSpec,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub const DAEMONS_COUNT: usize = 3;
pub const WORKERS_COUNT: usize = 3;
const CAPACITY: Resources = Resources::new(4000, 4096, 0);
const NEED: Resources = Resources::new(2000, 1024, 0);
/// How often later orders may overtake an order in a worker's buffer.
const OVERTAKEN_LIMIT: u32 = 3;
/// The time within which a running worker reads an order in its buffers.
const READ_WITHIN_MS: u64 = 10_000;
/// The time within which a box that left the box list is shut down.
const SHUT_DOWN_WITHIN: Duration = Duration::from_s(60);
/// The length of one step of [`Op::Run`].
const RUN_STEP_MS: u64 = 4000;

/// A step of a scenario.
#[derive(Clone, Debug)]
pub enum Op {
    TakeKey {
        daemon: usize,
        number: u64,
        nonce: u64,
    },
    Submit {
        is_safe: bool,
    },
    Pass {
        ms: u64,
    },
    Run {
        ms: u64,
    },
    Lag {
        daemon: usize,
        is_on: bool,
    },
    Commit {
        daemon: usize,
    },
    CommitLostAnswer {
        daemon: usize,
    },
    HandOver {
        daemon: usize,
    },
    Claim {
        daemon: usize,
    },
    AskClosed {
        daemon: usize,
    },
    Poll {
        daemon: usize,
    },
    Connect {
        daemon: usize,
        worker: usize,
    },
    Cut {
        daemon: usize,
        worker: usize,
    },
    Send {
        daemon: usize,
        index: usize,
    },
    Arrive {
        index: usize,
    },
    Answer {
        index: usize,
    },
    Finish {
        worker: usize,
        index: usize,
        is_good: bool,
    },
    Cancel {
        index: usize,
    },
    Pause {
        daemon: usize,
    },
    Resume {
        daemon: usize,
    },
    Kill {
        daemon: usize,
    },
    Freeze {
        worker: usize,
    },
    Thaw {
        worker: usize,
    },
    RestartWorker {
        worker: usize,
    },
    Delist {
        worker: usize,
    },
    Relist,
}

/// An order in a worker's buffer.
pub(super) struct BufferedOrder {
    daemon: usize,
    process: u64,
    link: Link,
    order: Order,
    overtaken_count: u32,
    /// How long the worker has been running since the order arrived in its buffer.
    awake_ms: u64,
}

/// A worker's message to a daemon that has not arrived yet.
pub(super) struct WorkerMessage {
    daemon: usize,
    process: u64,
    session: u64,
    event: Event,
}

/// Counters of a scenario, printed by the search.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub steps_count: u64,
    pub faults_count: u64,
    pub runs_count: u64,
    pub finished_count: u64,
    pub claims_count: u64,
    pub requeues_count: u64,
    pub interleavings_count: u64,
}

/// A violated invariant, with the entity at fault.
pub use ospreywing_filetest::StepError;

/// A cell of several daemons and workers with one shard and a store.
pub struct Simulation {
    pub now: Instant,
    pub(super) store: StoreFake,
    pub(super) daemons: Vec<DaemonFake>,
    pub(super) workers: Vec<BoxFake>,
    pub(super) buffers: Vec<BufferedOrder>,
    pub(super) worker_messages: Vec<WorkerMessage>,
    pub(super) table: Arc<Table>,
    /// The workers in the box list.
    pub(super) listed: BTreeSet<usize>,
    pub(super) shut_down_at: [Option<Instant>; WORKERS_COUNT],
    pub(super) keys: Vec<Key>,
    pub(super) unsafe_keys: BTreeSet<Key>,
    pub(super) accepted: BTreeSet<Key>,
    /// Keys for which a caller was told that the outcome is unknown.
    pub(super) unconfirmed_keys: BTreeSet<Key>,
    /// The nonces of the claims that were granted each request key.
    pub(super) granted: BTreeMap<Key, BTreeSet<u64>>,
    /// The nonce of the claim of each token.
    pub(super) claims: BTreeMap<u64, u64>,
    /// The latest reply to the callers of each key.
    pub(super) last_replies: BTreeMap<Key, &'static str>,
    /// The key of each token whose caller waits for a reply.
    pub(super) tokens: BTreeMap<u64, Key>,
    /// When a report was last requested over each session.
    pub(super) asked_at: BTreeMap<u64, Instant>,
    pub(super) next_number: u64,
    pub tally: Tally,
    /// A started attempt that was not the current one of its task in the log.
    pub(super) stray_start: Option<AttemptId>,
}

fn name(text: &str) -> Name {
    Name::new(text).expect("the name is valid")
}

fn worker_name(worker: usize) -> Name {
    name(&format!("w{worker}"))
}

fn table() -> Arc<Table> {
    let mut table = Table::new();
    table.put(Row::new(name("safe"), RowKind::Batch));
    let mut row = Row::new(name("unsafe"), RowKind::Batch);
    row.repeat = Repeat::AtMostOnce;
    table.put(row);
    table.revision = 1;
    Arc::new(table)
}

/// Returns the owner that a takeover would recover from the log.
pub(super) fn recovered_owner(store: &StoreFake) -> Owner {
    let identity = DaemonIdentity {
        name: name("reader"),
        incarnation: 0,
        rpc_addr: String::new(),
    };
    let mut recovery = Recovery::new(OwnerConfig::new(0, 1, u64::MAX, identity));
    for (seq, value) in &store.batches {
        recovery.read(*seq, value).expect("the log is valid");
    }
    recovery.finish(Instant::default())
}

/// Returns whether `attempt` is the current one of its task in the log.
fn is_on_log(store: &StoreFake, attempt: AttemptId) -> bool {
    let recovered_owner = recovered_owner(store);
    let state = recovered_owner.state();
    let task = state.by_id(attempt.task);
    task.and_then(|task| state.attempt(0, task)) == Some(attempt)
}

impl Simulation {
    pub fn new() -> Self {
        let mut simulation = Self {
            now: Instant::from_ms(1_000_000),
            store: StoreFake::default(),
            daemons: (0..DAEMONS_COUNT).map(|_| DaemonFake::default()).collect(),
            workers: Vec::new(),
            buffers: Vec::new(),
            worker_messages: Vec::new(),
            table: table(),
            listed: (0..WORKERS_COUNT).collect(),
            shut_down_at: [None; WORKERS_COUNT],
            keys: Vec::new(),
            unsafe_keys: BTreeSet::new(),
            accepted: BTreeSet::new(),
            unconfirmed_keys: BTreeSet::new(),
            granted: BTreeMap::new(),
            claims: BTreeMap::new(),
            last_replies: BTreeMap::new(),
            tokens: BTreeMap::new(),
            asked_at: BTreeMap::new(),
            next_number: 0,
            tally: Tally::default(),
            stray_start: None,
        };
        for _ in 0..WORKERS_COUNT {
            let incarnation = simulation.next_number();
            simulation.workers.push(BoxFake::new(incarnation, CAPACITY));
        }
        for daemon in 0..DAEMONS_COUNT {
            simulation.daemons[daemon].process = simulation.next_number();
        }
        simulation
    }

    fn next_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Executes one step and checks every invariant.
    pub fn step(&mut self, op: &Op) -> Result<(), StepError> {
        self.tally.steps_count += 1;
        self.apply(op);
        self.process_inboxes();
        self.check()
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Submit { is_safe } => self.submit(is_safe),
            Op::Pass { ms } => self.pass(ms),
            Op::Run { ms } => self.run(ms),
            Op::Lag { daemon, is_on } => self.daemons[daemon].is_lagging = is_on,
            Op::Commit { daemon } => self.commit(daemon, true),
            Op::CommitLostAnswer { daemon } => self.commit(daemon, false),
            Op::HandOver { daemon } => self.hand_over(daemon),
            Op::Claim { daemon } => self.claim(daemon),
            Op::AskClosed { daemon } => self.ask_closed(daemon),
            Op::Poll { daemon } => self.poll(daemon),
            Op::Connect { daemon, worker } => self.connect(daemon, worker),
            Op::Cut { daemon, worker } => self.cut(daemon, worker),
            Op::Send { daemon, index } => self.send(daemon, index),
            Op::Arrive { index } => self.arrive(index),
            Op::Answer { index } => self.answer(index),
            Op::Finish {
                worker,
                index,
                is_good,
            } => self.finish(worker, index, is_good),
            Op::Cancel { index } => self.cancel(index),
            Op::TakeKey {
                daemon,
                number,
                nonce,
            } => self.take_key(daemon, number, nonce),
            Op::Pause { daemon } => self.pause(daemon),
            Op::Resume { daemon } => self.daemons[daemon].is_paused = false,
            Op::Kill { daemon } => self.kill(daemon),
            Op::Freeze { worker } => self.freeze(worker),
            Op::Thaw { worker } => self.thaw(worker),
            Op::RestartWorker { worker } => self.restart_worker(worker),
            Op::Delist { worker } => self.delist(worker),
            Op::Relist => self.relist(),
        }
    }

    /// Returns the running daemons that consider themselves owner of the shard.
    pub(super) fn running_owners(&self) -> Vec<usize> {
        let awake = |&daemon: &usize| {
            let daemon = &self.daemons[daemon];
            daemon.is_awake() && daemon.owner.is_some()
        };
        (0..DAEMONS_COUNT).filter(awake).collect()
    }

    fn submit(&mut self, is_safe: bool) {
        let key = Key::new(&format!("k{}", self.keys.len())).expect("the key is valid");
        self.keys.push(key.clone());
        if !is_safe {
            self.unsafe_keys.insert(key.clone());
        }
        for daemon in self.running_owners() {
            let token = self.next_number();
            self.tokens.insert(token, key.clone());
            let event = Event::Submit {
                token: Token(token),
                key: key.clone(),
                row: name(if is_safe { "safe" } else { "unsafe" }),
                spec: TaskSpec {
                    resources: NEED,
                    command: String::new(),
                },
            };
            self.handle_event(daemon, event);
        }
    }

    fn cancel(&mut self, index: usize) {
        if self.keys.is_empty() {
            return;
        }
        let key = self.keys[index % self.keys.len()].clone();
        for daemon in self.running_owners() {
            let token = Token(self.next_number());
            let key = key.clone();
            self.handle_event(daemon, Event::Cancel { token, key });
        }
    }

    /// A daemon claims the only run of a request that is unsafe to repeat.
    fn take_key(&mut self, daemon: usize, number: u64, nonce: u64) {
        let key = Key::new(&format!("r{number}")).expect("the key is valid");
        let token = self.next_number();
        self.tokens.insert(token, key.clone());
        self.claims.insert(token, nonce);
        let token = Token(token);
        self.handle_event(daemon, Event::TakeKey { token, key, nonce });
    }

    /// Advances the clock and sends ticks to the running daemons.
    fn pass(&mut self, ms: u64) {
        self.read_overdue(ms);
        self.now = self.now + Duration::from_ms(ms);
        self.shut_down_delisted();
        for worker in 0..WORKERS_COUNT {
            self.expire_leases(worker);
        }
        for daemon in 0..DAEMONS_COUNT {
            if self.daemons[daemon].is_awake() {
                self.handle_event(daemon, Event::Tick);
                self.make_commit(daemon);
            }
        }
    }

    /// Running workers read orders that would otherwise stay in their buffers for
    /// too long.
    fn read_overdue(&mut self, ms: u64) {
        let mut index = 0;
        while index < self.buffers.len() {
            let worker = self.buffers[index].link.worker;
            let is_awake = self.workers[worker].is_awake();
            self.buffers[index].awake_ms += if is_awake { ms } else { 0 };
            if is_awake && self.buffers[index].awake_ms > READ_WITHIN_MS {
                self.buffers[index].overtaken_count = OVERTAKEN_LIMIT;
                self.arrive(index);
            } else {
                index += 1;
            }
        }
    }

    /// Runs the simulation for `ms` with all messages delivered and no new faults.
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / RUN_STEP_MS {
            self.pass(RUN_STEP_MS);
            for daemon in 0..DAEMONS_COUNT {
                self.commit(daemon, true);
                self.process_inboxes();
                while self.daemons[daemon].is_awake() && !self.daemons[daemon].held.is_empty() {
                    self.send(daemon, 0);
                }
            }
            for index in (0..self.buffers.len()).rev() {
                self.arrive(index);
            }
            for _ in 0..self.worker_messages.len() {
                self.answer(0);
            }
            self.process_inboxes();
        }
    }

    fn expire_leases(&mut self, worker: usize) {
        if self.workers[worker].is_awake() {
            let now = self.now;
            for ended in self.workers[worker].expire_leases(now) {
                self.send_ended(worker, &ended);
            }
        }
    }

    /// The worker reports an end to every daemon connected to its current
    /// incarnation.
    fn send_ended(&mut self, worker: usize, ended: &Ended) {
        for daemon in 0..DAEMONS_COUNT {
            let link = self.daemons[daemon].link(worker);
            let Some(link) = link else { continue };
            if link.incarnation == self.workers[worker].incarnation {
                self.worker_messages.push(WorkerMessage {
                    daemon,
                    process: self.daemons[daemon].process,
                    session: link.session,
                    event: Event::Ended {
                        worker: worker_name(worker),
                        ended: ended.clone(),
                    },
                });
            }
        }
    }

    fn make_commit(&mut self, daemon: usize) {
        let now = self.now;
        let state = &mut self.daemons[daemon];
        if state.commit.is_some() {
            return;
        }
        if let Some(owner) = &mut state.owner {
            if owner.needs_commit() {
                state.commit = owner.next_commit(now);
            }
        }
    }

    /// The store handles a daemon's commit; its answer arrives or is lost.
    ///
    /// A paused daemon's call may be in flight too.
    fn commit(&mut self, daemon: usize, is_answered: bool) {
        if self.daemons[daemon].is_dead {
            return;
        }
        if self.daemons[daemon].is_awake() {
            self.make_commit(daemon);
        }
        let Some(commit) = self.daemons[daemon].commit.clone() else {
            return;
        };
        let Some(epoch) = self.epoch_of(daemon) else {
            return;
        };
        let is_done = self.store.commit(epoch, &commit);
        if !is_answered {
            self.tally.faults_count += 1;
            self.daemons[daemon].has_tried = true;
            return;
        }
        self.daemons[daemon].commit = None;
        if is_done {
            self.daemons[daemon].has_tried = false;
            self.daemons[daemon].inbox.push_back(Event::CommitDone);
        } else if self.daemons[daemon].is_awake() {
            let is_refused = !self.daemons[daemon].has_tried;
            self.close(daemon, is_refused);
        } else {
            // The daemon gets the answer when it resumes and retries the commit.
            self.daemons[daemon].commit = Some(commit);
        }
    }

    fn hand_over(&mut self, daemon: usize) {
        if let Some(owner) = self.daemons[daemon].owner.as_mut() {
            owner.begin_handover();
        }
    }

    fn epoch_of(&self, daemon: usize) -> Option<u64> {
        let owner = self.daemons[daemon].owner.as_ref()?;
        Some(owner.config().epoch)
    }

    fn close(&mut self, daemon: usize, is_refused: bool) {
        let Some(owner) = self.daemons[daemon].owner.take() else {
            return;
        };
        let mut actions = Vec::new();
        let closing = owner.close(is_refused, &mut actions);
        self.daemons[daemon].closing.push(closing);
        self.daemons[daemon].has_tried = false;
        // The node ignores answers to commits of another epoch.
        let inbox = &mut self.daemons[daemon].inbox;
        inbox.retain(|event| !matches!(event, Event::CommitDone));
        self.daemons[daemon].commit = None;
        self.record_replies(&actions);
    }

    fn claim(&mut self, daemon: usize) {
        if !self.daemons[daemon].is_awake() || self.daemons[daemon].owner.is_some() {
            return;
        }
        let is_settled = self.daemons[daemon].closing.iter().all(|c| c.is_closed());
        if !is_settled {
            return;
        }
        let Some(epoch) = self.store.claim(daemon, self.store.epoch) else {
            return;
        };
        self.tally.claims_count += 1;
        let identity = DaemonIdentity {
            name: name(&format!("d{daemon}")),
            incarnation: self.daemons[daemon].process,
            rpc_addr: String::new(),
        };
        let mut config = OwnerConfig::new(0, 1, epoch, identity);
        // Accepted tasks must still be found at the end of the scenario.
        config.result_retention = Duration::from_s(u64::MAX / 2000);
        config.key_retention = config.result_retention;
        let mut recovery = Recovery::new(config);
        for (seq, value) in &self.store.batches {
            recovery.read(*seq, value).expect("the log is valid");
        }
        self.daemons[daemon].owner = Some(recovery.finish(self.now));
        self.handle_event(daemon, Event::Table(Arc::clone(&self.table)));
        let boxes = self.boxes();
        self.handle_event(daemon, Event::Boxes(boxes));
        self.reopen_links(daemon);
    }

    /// Reopens the daemon's connections after a claim.
    ///
    /// The node ignores events of connections from an earlier epoch.
    fn reopen_links(&mut self, daemon: usize) {
        let of_session = |event: &Event| {
            matches!(
                event,
                Event::SessionOpened { .. } | Event::SessionClosed { .. } | Event::Reported { .. }
            )
        };
        self.daemons[daemon]
            .inbox
            .retain(|event| !of_session(event));
        for worker in 0..WORKERS_COUNT {
            self.cut(daemon, worker);
            self.connect(daemon, worker);
        }
    }

    fn boxes(&self) -> Vec<BoxFacts> {
        let facts = |&worker: &usize| BoxFacts {
            name: worker_name(worker),
            kind: BoxKind::Worker,
            state: BoxState::Live,
            addr: String::new(),
            data_centre: name("dc"),
            rack: name("rack"),
            resources: CAPACITY,
            serves: Vec::new(),
        };
        self.listed.iter().map(facts).collect()
    }

    /// A daemon reads the shard's owner from the store.
    fn poll(&mut self, daemon: usize) {
        let Some(epoch) = self.epoch_of(daemon) else {
            return;
        };
        if !self.daemons[daemon].is_awake() {
            return;
        }
        if epoch == self.store.epoch {
            let asked_at = self.now;
            self.handle_event(daemon, Event::OwnershipConfirmed { asked_at });
        } else {
            self.close(daemon, false);
        }
    }

    /// The owner asks former owners whether their epochs are closed; the epoch of
    /// a daemon that is known to be dead counts as closed.
    fn ask_closed(&mut self, daemon: usize) {
        if !self.daemons[daemon].is_awake() {
            return;
        }
        let Some(owner) = &self.daemons[daemon].owner else {
            return;
        };
        for former in owner.open_epochs() {
            let process = former.owner.incarnation;
            if self.is_closed(process, former.epoch) {
                let epoch = former.epoch;
                self.handle_event(daemon, Event::EpochClosed { epoch });
            }
        }
    }

    fn is_closed(&mut self, process: u64, epoch: u64) -> bool {
        let found = (0..DAEMONS_COUNT).find(|&d| self.daemons[d].process == process);
        let Some(former) = found else { return true };
        if self.daemons[former].is_dead {
            return true;
        }
        if self.daemons[former].is_paused {
            return false;
        }
        if self.epoch_of(former) == Some(epoch) {
            self.close(former, false);
        }
        let mut closings = self.daemons[former].closing.iter();
        closings.all(|closing| closing.epoch() != epoch || closing.is_closed())
    }

    fn connect(&mut self, daemon: usize, worker: usize) {
        let is_up = self.daemons[daemon].is_awake() && self.workers[worker].is_awake();
        if !is_up || self.daemons[daemon].owner.is_none() {
            return;
        }
        if self.daemons[daemon].link(worker).is_some() {
            return;
        }
        let session = self.next_number();
        let link = Link {
            worker,
            session,
            incarnation: self.workers[worker].incarnation,
        };
        self.daemons[daemon].links.push(link);
        let report = self.workers[worker].report();
        let worker = worker_name(worker);
        self.queue(
            daemon,
            Event::SessionOpened {
                worker,
                session,
                report,
            },
        );
    }

    /// A connection breaks; orders that were not sent over it are dropped.
    fn cut(&mut self, daemon: usize, worker: usize) {
        let Some(link) = self.daemons[daemon].link(worker) else {
            return;
        };
        let state = &mut self.daemons[daemon];
        state.links.retain(|other| *other != link);
        let (lost, kept) = state
            .held
            .drain(..)
            .partition(|held: &HeldOrder| held.session == link.session);
        state.held = kept;
        let lost: Vec<HeldOrder> = lost;
        for held in &lost {
            if let Order::Start { start, .. } = &held.order {
                let attempt = start.attempt;
                self.queue(daemon, Event::StartNotSent { attempt });
            }
        }
        let unconfirmed: Vec<AttemptId> = self
            .buffers
            .iter()
            .filter(|b| b.daemon == daemon && b.link == link)
            .filter_map(|b| match &b.order {
                Order::Start { start, .. } => Some(start.attempt),
                _ => None,
            })
            .collect();
        for attempt in unconfirmed {
            self.queue(daemon, Event::StartUnconfirmed { attempt });
        }
        // Answers in flight over the connection are lost.
        let lost_acks: Vec<AttemptId> = self
            .worker_messages
            .iter()
            .filter(|b| b.daemon == daemon && b.session == link.session)
            .filter_map(|b| match b.event {
                Event::StartAcked { attempt } => Some(attempt),
                _ => None,
            })
            .collect();
        for attempt in lost_acks {
            self.queue(daemon, Event::StartUnconfirmed { attempt });
        }
        self.worker_messages
            .retain(|b| b.daemon != daemon || b.session != link.session);
        let worker = worker_name(worker);
        let session = link.session;
        self.queue(daemon, Event::SessionClosed { worker, session });
    }

    /// A daemon sends a held order, or drops it if the connection has closed.
    fn send(&mut self, daemon: usize, index: usize) {
        if !self.daemons[daemon].is_awake() || self.daemons[daemon].held.is_empty() {
            return;
        }
        let index = index % self.daemons[daemon].held.len();
        let held = self.daemons[daemon].held.remove(index);
        let link = self.daemons[daemon].link(held.worker);
        let Some(link) = link.filter(|link| link.session == held.session) else {
            return;
        };
        self.buffers.push(BufferedOrder {
            daemon,
            process: self.daemons[daemon].process,
            link,
            order: held.order,
            overtaken_count: 0,
            awake_ms: 0,
        });
    }

    /// Returns the index of the order that the worker reads in place of `index`:
    /// an older order that has reached the overtaking limit goes first.
    fn next_to_read(&mut self, index: usize) -> usize {
        let worker = self.buffers[index].link.worker;
        let older = |i: &usize| self.buffers[*i].link.worker == worker;
        let older: Vec<usize> = (0..index).filter(older).collect();
        let due = |i: &usize| self.buffers[*i].overtaken_count >= OVERTAKEN_LIMIT;
        if let Some(due) = older.iter().copied().find(due) {
            return due;
        }
        for i in older {
            self.buffers[i].overtaken_count += 1;
        }
        index
    }

    /// A worker reads and carries out a message from its buffers, in any sequence
    /// within the overtaking limit.
    fn arrive(&mut self, index: usize) {
        if self.buffers.is_empty() {
            return;
        }
        let index = index % self.buffers.len();
        let worker = self.buffers[index].link.worker;
        if !self.workers[worker].is_awake() {
            return;
        }
        let index = self.next_to_read(index);
        let buffered = self.buffers.remove(index);
        self.expire_leases(worker);
        let now = self.now;
        let state = &mut self.workers[worker];
        if state.incarnation != buffered.link.incarnation {
            return;
        }
        let event = match buffered.order {
            Order::Start { start, .. } => {
                let attempt = start.attempt;
                let is_on_log = is_on_log(&self.store, attempt);
                self.stray_start = (!is_on_log).then_some(attempt);
                state.start(Running {
                    attempt,
                    resources: start.resources,
                    lease_until: now + Duration::from_ms(start.lease_ms),
                });
                self.tally.runs_count += 1;
                Some(Event::StartAcked { attempt })
            }
            Order::Renew(renew) => {
                let until = now + Duration::from_ms(renew.lease_ms);
                state.renew(&renew.attempts, until);
                for attempt in renew.forget {
                    state.ended.remove(&attempt);
                }
                None
            }
            Order::Stop(stop) => {
                let ended = state.stop(stop.attempt);
                if let Some(ended) = ended {
                    self.send_ended(worker, &ended);
                }
                None
            }
            Order::Report => {
                let report = state.report();
                let asked_at = self.asked_at[&buffered.link.session];
                Some(Event::Reported {
                    worker: worker_name(worker),
                    session: buffered.link.session,
                    asked_at,
                    report,
                })
            }
        };
        if let Some(event) = event {
            self.worker_messages.push(WorkerMessage {
                daemon: buffered.daemon,
                process: buffered.process,
                session: buffered.link.session,
                event,
            });
        }
    }

    /// A worker's message reaches its daemon, in any order, if the connection is
    /// still open.
    fn answer(&mut self, index: usize) {
        if self.worker_messages.is_empty() {
            return;
        }
        let index = index % self.worker_messages.len();
        let message = self.worker_messages.remove(index);
        let daemon = &self.daemons[message.daemon];
        let is_linked = daemon
            .links
            .iter()
            .any(|link| link.session == message.session);
        if daemon.process != message.process || !is_linked {
            return;
        }
        self.queue(message.daemon, message.event);
    }

    fn finish(&mut self, worker: usize, index: usize, is_good: bool) {
        if !self.workers[worker].is_awake() {
            return;
        }
        if let Some(ended) = self.workers[worker].finish(index, is_good) {
            self.tally.finished_count += u64::from(is_good);
            self.send_ended(worker, &ended);
        }
    }

    fn pause(&mut self, daemon: usize) {
        self.tally.faults_count += 1;
        self.daemons[daemon].is_paused = true;
    }

    /// A daemon is killed and a new process replaces it.
    fn kill(&mut self, daemon: usize) {
        self.tally.faults_count += 1;
        let process = self.next_number();
        self.daemons[daemon] = DaemonFake {
            process,
            ..DaemonFake::default()
        };
    }

    fn freeze(&mut self, worker: usize) {
        self.tally.faults_count += 1;
        self.workers[worker].is_frozen = true;
    }

    fn thaw(&mut self, worker: usize) {
        self.workers[worker].is_frozen = false;
        self.expire_leases(worker);
    }

    fn restart_worker(&mut self, worker: usize) {
        self.tally.faults_count += 1;
        let incarnation = self.next_number();
        self.workers[worker].restart(incarnation);
        for daemon in 0..DAEMONS_COUNT {
            self.cut(daemon, worker);
        }
        self.buffers.retain(|b| b.link.worker != worker);
    }

    /// The box list drops a box that is about to be shut down.
    fn delist(&mut self, worker: usize) {
        self.tally.faults_count += 1;
        self.listed.remove(&worker);
        self.shut_down_at[worker] = Some(self.now + SHUT_DOWN_WITHIN);
        self.send_boxes();
    }

    fn shut_down_delisted(&mut self) {
        for worker in 0..WORKERS_COUNT {
            if self.shut_down_at[worker].is_some_and(|at| self.now >= at) {
                self.shut_down_at[worker] = None;
                self.restart_worker(worker);
                self.workers[worker].is_dead = true;
            }
        }
    }

    fn relist(&mut self) {
        for worker in 0..WORKERS_COUNT {
            // A dropped box is listed again only after it was shut down.
            if let Some(at) = self.shut_down_at[worker] {
                self.now = self.now.max(at);
                self.shut_down_delisted();
            }
            if self.workers[worker].is_dead {
                let incarnation = self.next_number();
                self.workers[worker].restart(incarnation);
                self.workers[worker].is_dead = false;
            }
            self.listed.insert(worker);
        }
        self.send_boxes();
    }

    fn send_boxes(&mut self) {
        for daemon in 0..DAEMONS_COUNT {
            let boxes = self.boxes();
            self.queue(daemon, Event::Boxes(boxes));
        }
    }

    fn queue(&mut self, daemon: usize, event: Event) {
        if !self.daemons[daemon].is_dead {
            self.daemons[daemon].inbox.push_back(event);
        }
    }

    fn process_inboxes(&mut self) {
        for daemon in 0..DAEMONS_COUNT {
            while self.daemons[daemon].is_awake() && !self.daemons[daemon].is_lagging {
                let Some(event) = self.daemons[daemon].inbox.pop_front() else {
                    break;
                };
                self.resolve_closing(daemon, &event);
                self.handle_event(daemon, event);
            }
        }
    }

    /// Reports the outcome of a start to the daemon's ended ownerships too.
    fn resolve_closing(&mut self, daemon: usize, event: &Event) {
        let (Event::StartAcked { attempt }
        | Event::StartNotSent { attempt }
        | Event::StartUnconfirmed { attempt }) = event
        else {
            return;
        };
        for closing in &mut self.daemons[daemon].closing {
            closing.resolve(*attempt);
        }
    }

    fn handle_event(&mut self, daemon: usize, event: Event) {
        let now = self.now;
        let mut actions = Vec::new();
        if let Some(owner) = &mut self.daemons[daemon].owner {
            owner.handle(now, event, &mut actions);
        }
        self.record_replies(&actions);
        for action in actions {
            self.hold_order(daemon, action);
        }
    }

    fn record_replies(&mut self, actions: &[Action]) {
        for action in actions {
            let Action::Reply { token, reply } = action else {
                continue;
            };
            let Some(key) = self.tokens.remove(&token.0) else {
                continue;
            };
            let outcome = match reply {
                Reply::Submit(SubmitReply::Accepted(_)) => {
                    self.accepted.insert(key.clone());
                    "accepted"
                }
                Reply::Submit(SubmitReply::Refused { .. }) => "refused",
                Reply::Submit(SubmitReply::Unknown) => {
                    self.unconfirmed_keys.insert(key.clone());
                    "unknown"
                }
                Reply::TakeKey(TakeKeyReply::Granted) => {
                    let nonce = self.claims[&token.0];
                    self.granted.entry(key.clone()).or_default().insert(nonce);
                    "granted"
                }
                Reply::TakeKey(TakeKeyReply::Taken) => "taken",
                Reply::TakeKey(TakeKeyReply::Refused { .. }) => "refused",
            };
            self.last_replies.insert(key, outcome);
        }
    }

    /// Holds an order for a later step to send; the daemon may pause before that.
    fn hold_order(&mut self, daemon: usize, action: Action) {
        let Action::Order {
            worker: worker_name,
            order,
        } = action
        else {
            return;
        };
        let incarnation = match &order {
            Order::Start { incarnation, .. } => Some(*incarnation),
            Order::Renew(_) | Order::Stop(_) | Order::Report => None,
        };
        let worker = worker_name.as_str()[1..]
            .parse()
            .expect("the name holds a worker index");
        let link = self.daemons[daemon].link(worker);
        let link = link.filter(|link| incarnation.is_none_or(|i| i == link.incarnation));
        let Some(link) = link else {
            if let Order::Start { start, .. } = order {
                let attempt = start.attempt;
                self.queue(daemon, Event::StartNotSent { attempt });
            }
            return;
        };
        if matches!(order, Order::Report) {
            self.asked_at.insert(link.session, self.now);
        }
        let session = link.session;
        self.daemons[daemon].held.push(HeldOrder {
            worker,
            session,
            order,
        });
    }
}

impl Simulation {
    /// Returns the latest reply to the callers of a key.
    pub fn last_reply(&self, key: &str) -> &'static str {
        let key = Key::new(key).expect("the key is valid");
        self.last_replies.get(&key).copied().unwrap_or("nothing")
    }

    /// Returns the phase of a task according to the owner named in the store.
    pub fn phase(&self, key: &str) -> String {
        let key = Key::new(key).expect("the key is valid");
        let owner = self.store.owner.map(|daemon| &self.daemons[daemon]);
        let owner = owner.and_then(|daemon| daemon.owner.as_ref());
        let status = owner.and_then(|owner| owner.status(&key));
        status.map_or("absent".to_owned(), |status| status.phase.to_string())
    }

    /// Returns how often a task was started on a worker.
    pub fn runs_count(&self, key: &str) -> usize {
        let key = Key::new(key).expect("the key is valid");
        let recovered_owner = recovered_owner(&self.store);
        let task = recovered_owner.state().by_key(&key);
        let id = task.map(|task| recovered_owner.state().tasks[task].image.id);
        let started = self.workers.iter().flat_map(|worker| &worker.started);
        started.filter(|attempt| Some(attempt.task) == id).count()
    }

    /// Returns the number of attempts that run on a worker.
    pub fn running_count(&self, worker: usize) -> usize {
        self.workers[worker].live(self.now).count()
    }

    /// Returns the number of starts that a daemon holds and has not sent.
    pub fn held_starts_count(&self, daemon: usize) -> usize {
        let held = self.daemons[daemon].held.iter();
        held.filter(|held| matches!(held.order, Order::Start { .. }))
            .count()
    }

    /// Returns the number of batches in the log.
    pub fn batches_count(&self) -> usize {
        self.store.batches.len()
    }
}
