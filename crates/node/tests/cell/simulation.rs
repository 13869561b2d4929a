//! Simulates a cell of several daemons, a store and minions in single steps.

use crate::store_fake::StoreFake;
use ospreywing_membership::{Member, MembershipConfig, Versioned};
use ospreywing_node::{Action, Answer, ClaimedLog, Event, Forward, Node, NodeConfig, Poll};
use ospreywing_routing::{Arrival, Request};
use ospreywing_table::{Repeat, Row, RowKind};
use ospreywing_types::peer::{CloseEpochReply, Ping, TakeKey, TakeKeyReply};
use ospreywing_types::{
    BoxFacts, BoxKind, BoxState, DaemonIdentity, Duration, Instant, Key, Name, Outcome, Resources,
};
use std::collections::{BTreeMap, BTreeSet};

pub const DAEMONS_COUNT: usize = 3;
pub const MINIONS_COUNT: usize = 2;
const SHARDS_COUNT: u32 = 2;
const SLOTS_COUNT: usize = 8;
/// The longest time that a minion runs a request; less than the quarantine.
const MAX_WORK_TIME: Duration = Duration::from_s(6);
/// A table edit reaches every daemon that acts on its table within this time.
const PROPAGATION_LIMIT: Duration = Duration::from_s(7);
/// A claim of a key fails if it has no answer after this time.
const CLAIM_TIMEOUT: Duration = Duration::from_s(4);
const STEP: Duration = Duration::from_ms(100);
const POLL_EVERY_STEPS: u64 = 5;

/// One step of the simulation.
#[derive(Clone, Debug)]
pub enum Op {
    /// Everything that is up runs for `steps` steps of 100 ms.
    Run {
        steps: u64,
    },
    /// Many callers submit requests at once.
    Burst {
        daemon: usize,
    },
    /// Time passes while no daemon runs.
    Pass {
        ms: u64,
    },
    Submit {
        daemon: usize,
        key: u64,
        is_safe: bool,
    },
    Edit {
        daemon: usize,
    },
    Answer {
        index: usize,
    },
    Break {
        index: usize,
    },
    Poll {
        daemon: usize,
    },
    Deliver {
        index: usize,
    },
    Lose {
        index: usize,
    },
    Tick {
        daemon: usize,
    },
    CutStore {
        daemon: usize,
    },
    MendStore {
        daemon: usize,
    },
    StoreDown,
    StoreUp,
    CutPeers {
        daemon: usize,
    },
    MendPeers {
        daemon: usize,
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
    Leave {
        daemon: usize,
    },
}

/// A message from or to a daemon; a pause of the daemon delays it.
enum Message {
    /// An action of the daemon, to be executed by the store, a peer or a minion.
    Outbound { action: Action },
    /// A reply to the daemon.
    Inbound { event: Event },
}

struct InFlight {
    daemon: usize,
    process: u64,
    message: Message,
}

struct Daemon {
    identity: DaemonIdentity,
    node: Node,
    is_paused: bool,
    is_store_partitioned: bool,
    is_partitioned: bool,
    table_revision: u64,
}

/// A request that a minion is running.
struct Work {
    daemon: usize,
    process: u64,
    request: Request,
    minion: usize,
    until: Instant,
    is_reported: bool,
}

struct Edit {
    revision: u64,
    at: Instant,
    writer: usize,
    process: u64,
    /// Whether the writer has not been killed, paused or partitioned since.
    is_writer_unaffected: bool,
    /// Whether the writer reported that all daemons have the edit.
    is_accepted: bool,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub interleavings_count: u64,
    pub steps_count: u64,
    pub faults_count: u64,
    pub runs_count: u64,
    pub done_count: u64,
    pub edits_count: u64,
    pub peak_slots_count: usize,
}

/// A violated invariant, with the entity at fault.
pub use ospreywing_filetest::StepError;

pub struct Simulation {
    pub now: Instant,
    pub tally: Tally,
    store: StoreFake,
    daemons: Vec<Daemon>,
    in_flight: Vec<InFlight>,
    work: Vec<Work>,
    edits: Vec<Edit>,
    is_store_down: bool,
    keys: BTreeMap<u64, (Key, bool)>,
    /// Requests between peers that have no reply yet, by token.
    pending_replies: BTreeMap<u64, PendingReply>,
    runs: BTreeMap<Key, u32>,
    unsafe_keys: BTreeSet<Key>,
    not_run: BTreeSet<u64>,
    next: u64,
    steps: u64,
    outcomes: BTreeMap<u64, Outcome>,
    violation: Option<String>,
}

#[derive(Clone)]
enum PendingReply {
    Ping {
        daemon: usize,
        process: u64,
        at: Instant,
    },
    Key {
        daemon: usize,
        process: u64,
        request: Request,
        at: Instant,
    },
    Close {
        daemon: usize,
        process: u64,
        shard: u32,
        epoch: u64,
    },
}

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn minion_addr(minion: usize) -> String {
    format!("10.0.0.{minion}:80")
}

fn minions() -> Vec<BoxFacts> {
    let facts = |minion: usize| BoxFacts {
        name: name(&format!("m{minion}")),
        kind: BoxKind::Minion,
        state: BoxState::Live,
        addr: minion_addr(minion),
        data_centre: name("dc"),
        rack: name("rack"),
        resources: Resources::ZERO,
        serves: vec![name("safe"), name("unsafe")],
    };
    (0..MINIONS_COUNT).map(facts).collect()
}

fn row(text: &str, repeat: Repeat) -> Row {
    let mut row = Row::new(name(text), RowKind::Service);
    row.repeat = repeat;
    row.deadline_ms = 4000;
    row
}

/// Returns an edit that a table of the given revision should contain but lacks.
fn find_missed_edit(edits: &[Edit], now: Instant, revision: u64) -> Option<&Edit> {
    let mut edits = edits.iter();
    edits.find(|edit| {
        let is_due = edit.is_writer_unaffected && now > edit.at + PROPAGATION_LIMIT;
        edit.revision > revision && (is_due || edit.is_accepted)
    })
}

impl Simulation {
    pub fn new() -> Self {
        let mut simulation = Self {
            now: Instant::from_ms(10_000_000),
            tally: Tally::default(),
            store: StoreFake::default(),
            daemons: Vec::new(),
            in_flight: Vec::new(),
            work: Vec::new(),
            edits: Vec::new(),
            is_store_down: false,
            keys: BTreeMap::new(),
            pending_replies: BTreeMap::new(),
            runs: BTreeMap::new(),
            unsafe_keys: BTreeSet::new(),
            not_run: BTreeSet::new(),
            next: 100,
            steps: 0,
            outcomes: BTreeMap::new(),
            violation: None,
        };
        simulation.store.put_row(row("safe", Repeat::Repeatable));
        simulation.store.put_row(row("unsafe", Repeat::AtMostOnce));
        for daemon in 0..DAEMONS_COUNT {
            let started = simulation.start(daemon);
            simulation.daemons.push(started);
        }
        for daemon in 0..DAEMONS_COUNT {
            simulation.send_boxes(daemon);
        }
        simulation
    }

    fn next_number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn start(&mut self, daemon: usize) -> Daemon {
        let identity = DaemonIdentity {
            name: name(&format!("d{daemon}")),
            incarnation: self.next_number(),
            rpc_addr: format!("10.0.1.{daemon}:90"),
        };
        let member = Member {
            identity: identity.clone(),
            http_addr: String::new(),
            data_centre: name("dc"),
            box_name: name(&format!("b{daemon}")),
        };
        self.store.revision += 1;
        self.store
            .members
            .insert(identity.name.clone(), member.clone());
        let membership = MembershipConfig::new(member, SHARDS_COUNT);
        Daemon {
            node: Node::new(NodeConfig::new(membership, identity.incarnation)),
            identity,
            is_paused: false,
            is_store_partitioned: false,
            is_partitioned: false,
            table_revision: 0,
        }
    }

    fn send_boxes(&mut self, daemon: usize) {
        self.handle_event(daemon, Event::Boxes(minions()));
    }

    /// Applies one step and checks every invariant.
    pub fn step(&mut self, op: &Op) -> Result<(), StepError> {
        self.tally.steps_count += 1;
        self.apply(op);
        self.check()
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Run { steps } => self.run(steps),
            Op::Burst { daemon } => {
                let first = self.next_number();
                (0..10).for_each(|key| self.submit(daemon, first * 100 + key, true));
            }
            Op::Pass { ms } => self.advance(Duration::from_ms(ms)),
            Op::Submit {
                daemon,
                key,
                is_safe,
            } => self.submit(daemon, key, is_safe),
            Op::Edit { daemon } => self.edit(daemon),
            Op::Answer { index } => self.answer(index),
            Op::Break { index } => self.break_connection(index),
            Op::Poll { daemon } => self.poll(daemon),
            Op::Deliver { index } => self.deliver(index),
            Op::Lose { index } => self.lose(index),
            Op::Tick { daemon } => self.handle_event(daemon, Event::Tick),
            Op::CutStore { daemon } => {
                self.fault(|w| w.daemons[daemon].is_store_partitioned = true)
            }
            Op::MendStore { daemon } => self.daemons[daemon].is_store_partitioned = false,
            Op::StoreDown => self.fault(|w| w.is_store_down = true),
            Op::StoreUp => self.is_store_down = false,
            Op::CutPeers { daemon } => self.fault(|w| w.daemons[daemon].is_partitioned = true),
            Op::MendPeers { daemon } => self.daemons[daemon].is_partitioned = false,
            Op::Pause { daemon } => self.fault(|w| w.daemons[daemon].is_paused = true),
            Op::Resume { daemon } => self.daemons[daemon].is_paused = false,
            Op::Kill { daemon } => self.kill(daemon),
            Op::Leave { daemon } => self.handle_event(daemon, Event::Leave),
        }
    }

    fn fault(&mut self, change: impl FnOnce(&mut Self)) {
        self.tally.faults_count += 1;
        change(self);
    }

    /// Kills the process and starts another one at its address.
    fn kill(&mut self, daemon: usize) {
        self.tally.faults_count += 1;
        self.daemons[daemon] = self.start(daemon);
        self.in_flight
            .retain(|in_flight| in_flight.daemon != daemon);
        self.send_boxes(daemon);
    }

    fn advance(&mut self, length: Duration) {
        self.now = self.now + length;
        self.expire_claims();
        // Requests run to their end even if no daemon waits for the answer.
        let now = self.now;
        let (over, open): (Vec<Work>, Vec<Work>) =
            self.work.drain(..).partition(|work| now >= work.until);
        self.work = open;
        for work in over.iter().filter(|work| !work.is_reported) {
            self.send_back(
                work.daemon,
                work.process,
                Event::RequestAnswered(work.request),
            );
        }
    }

    /// Refuses claims of keys that have been without an answer for too long.
    fn expire_claims(&mut self) {
        let now = self.now;
        let mut overdue = Vec::new();
        self.pending_replies
            .retain(|_, pending_replies| match pending_replies {
                PendingReply::Key {
                    daemon,
                    process,
                    request,
                    at,
                } if now.since(*at) >= CLAIM_TIMEOUT => {
                    overdue.push((*daemon, *process, *request));
                    false
                }
                _ => true,
            });
        for (daemon, process, request) in overdue {
            let reply = TakeKeyReply::Refused {
                retry_after_ms: 1000,
            };
            self.send_back(daemon, process, Event::KeyAnswered { request, reply });
        }
    }

    fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            self.steps += 1;
            self.advance(STEP);
            for daemon in 0..DAEMONS_COUNT {
                self.handle_event(daemon, Event::Tick);
                if self.steps % POLL_EVERY_STEPS == daemon as u64 {
                    self.poll(daemon);
                }
            }
            for _ in 0..4 {
                for index in (0..self.in_flight.len()).rev() {
                    self.deliver(index);
                }
            }
        }
    }

    fn reaches_store(&self, daemon: usize) -> bool {
        !self.is_store_down && !self.daemons[daemon].is_store_partitioned
    }

    fn poll(&mut self, daemon: usize) {
        if self.daemons[daemon].is_paused || !self.reaches_store(daemon) {
            return;
        }
        let poll = Poll {
            asked_at: self.now,
            changes: self.store.snapshot(),
            is_snapshot: true,
        };
        self.handle_event(daemon, Event::Polled(poll));
    }

    fn submit(&mut self, daemon: usize, key: u64, is_safe: bool) {
        if self.daemons[daemon].is_paused {
            return;
        }
        let token = self.next_number();
        let text = format!("{}{key}", if is_safe { "s" } else { "u" });
        let key = Key::new(&text).expect("a key");
        if !is_safe {
            self.unsafe_keys.insert(key.clone());
        }
        self.keys.insert(token, (key.clone(), is_safe));
        let row = name(if is_safe { "safe" } else { "unsafe" });
        let arrival = Arrival {
            token,
            row,
            key: Some(key),
        };
        self.handle_event(daemon, Event::Arrived(arrival));
    }

    /// Edits a row of the table through a daemon, as an operator does.
    fn edit(&mut self, daemon: usize) {
        let state = &self.daemons[daemon];
        if state.is_paused
            || !self.reaches_store(daemon)
            || state.node.check_edit(self.now).is_err()
        {
            return;
        }
        let mut edited = row("safe", Repeat::Repeatable);
        edited.share = 1 + self.tally.edits_count as u32;
        let name = edited.name.clone();
        let revision = self.store.put_row(edited.clone());
        self.tally.edits_count += 1;
        self.edits.push(Edit {
            revision,
            at: self.now,
            writer: daemon,
            process: self.daemons[daemon].identity.incarnation,
            is_writer_unaffected: true,
            is_accepted: false,
        });
        let row = Versioned {
            value: Some(edited),
            revision,
        };
        self.handle_event(daemon, Event::RowWritten { name, row });
    }

    fn answer(&mut self, index: usize) {
        if self.work.is_empty() {
            return;
        }
        let index = index % self.work.len();
        let work = self.work.remove(index);
        if !work.is_reported {
            let event = Event::RequestAnswered(work.request);
            self.send_back(work.daemon, work.process, event);
        }
    }

    /// Breaks the connection of a request; the minion continues to run it.
    fn break_connection(&mut self, index: usize) {
        if self.work.is_empty() {
            return;
        }
        self.tally.faults_count += 1;
        let index = index % self.work.len();
        let work = &mut self.work[index];
        if !work.is_reported {
            work.is_reported = true;
            let (daemon, process, request) = (work.daemon, work.process, work.request);
            self.send_back(daemon, process, Event::RequestInterrupted(request));
        }
    }

    fn send_back(&mut self, daemon: usize, process: u64, event: Event) {
        let message = Message::Inbound { event };
        self.in_flight.push(InFlight {
            daemon,
            process,
            message,
        });
    }

    /// Drops a message if it may be lost: a ping or a request to close an epoch.
    fn lose(&mut self, index: usize) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = index % self.in_flight.len();
        let may_be_lost = matches!(
            self.in_flight[index].message,
            Message::Outbound {
                action: Action::Ping(_) | Action::CloseEpoch { .. }
            }
        );
        if may_be_lost {
            self.in_flight.remove(index);
        }
    }

    /// Delivers a message to its destination.
    fn deliver(&mut self, index: usize) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = index % self.in_flight.len();
        let daemon = self.in_flight[index].daemon;
        if self.daemons[daemon].is_paused {
            return;
        }
        let in_flight = self.in_flight.remove(index);
        if self.daemons[daemon].identity.incarnation != in_flight.process {
            return;
        }
        match in_flight.message {
            Message::Inbound { event } => self.handle_event(daemon, event),
            Message::Outbound { action } => self.execute(daemon, in_flight.process, action),
        }
    }

    fn execute(&mut self, daemon: usize, process: u64, action: Action) {
        let identity = self.daemons[daemon].identity.clone();
        let needs_store = matches!(
            action,
            Action::ClaimShard { .. }
                | Action::VacateShard { .. }
                | Action::Commit { .. }
                | Action::ClaimSeat { .. }
                | Action::VacateSeat { .. }
        );
        if needs_store && !self.reaches_store(daemon) {
            // Claims and commits are retried until they are answered.
            if matches!(action, Action::ClaimShard { .. } | Action::Commit { .. }) {
                let message = Message::Outbound { action };
                self.in_flight.push(InFlight {
                    daemon,
                    process,
                    message,
                });
            }
            return;
        }
        match action {
            Action::ClaimShard { shard, revision } => {
                let event = match self.store.swap_owner(shard, revision, Some(identity)) {
                    Some(epoch) => {
                        let log = self.store.logs.entry(shard).or_default();
                        let batches = log.iter().map(|(&seq, value)| (seq, value.clone()));
                        Event::ShardClaimed(ClaimedLog {
                            shard,
                            epoch,
                            batches: batches.collect(),
                        })
                    }
                    None => Event::ClaimFailed { shard },
                };
                self.send_back(daemon, process, event);
            }
            Action::VacateShard { shard, revision } => {
                self.store.swap_owner(shard, revision, None);
            }
            Action::Commit {
                shard,
                epoch,
                commit,
            } => {
                let owner = self.store.owners.get(&shard);
                let is_owner = owner.is_some_and(|owner| owner.revision == epoch);
                let event = if is_owner {
                    let log = self.store.logs.entry(shard).or_default();
                    log.insert(commit.seq, commit.value);
                    *log = log.split_off(&commit.first_kept_seq);
                    Event::CommitDone { shard, epoch }
                } else {
                    let is_refused = true;
                    Event::CommitFenced {
                        shard,
                        epoch,
                        is_refused,
                    }
                };
                self.send_back(daemon, process, event);
            }
            Action::ClaimSeat { seat, revision } => {
                self.store.swap_seat(seat, revision, Some(identity));
            }
            Action::VacateSeat { seat, revision } => {
                self.store.swap_seat(seat, revision, None);
            }
            Action::SendRequest {
                request,
                token,
                addr,
                ..
            } => self.begin_work(daemon, process, request, token, &addr),
            Action::Ping(to) => self.ping(daemon, process, &to),
            Action::CloseEpoch {
                shard,
                epoch,
                owner,
            } => self.close_epoch(daemon, process, shard, epoch, &owner),
            Action::Forward {
                to,
                message: Forward::TakeKey { request, claim },
            } => self.take_key(daemon, process, &to, request, claim),
            _ => {}
        }
    }

    fn begin_work(
        &mut self,
        daemon: usize,
        process: u64,
        request: Request,
        token: u64,
        addr: &str,
    ) {
        let minion = (0..MINIONS_COUNT).find(|&m| minion_addr(m) == addr);
        let minion = minion.expect("a minion's address");
        let (key, is_safe) = self.keys[&token].clone();
        if self.not_run.contains(&token) {
            self.violation = Some(format!("request {token}: ran after the reply not_run"));
        }
        self.tally.runs_count += 1;
        if !is_safe {
            *self.runs.entry(key.clone()).or_default() += 1;
        }
        self.work.push(Work {
            daemon,
            process,
            request,
            minion,
            until: self.now + MAX_WORK_TIME,
            is_reported: false,
        });
    }

    /// Returns the daemon at a process's address if messages reach it.
    fn reachable(&self, from: usize, to: &DaemonIdentity) -> Option<usize> {
        let mut daemons = (0..DAEMONS_COUNT).filter(|&d| d != from);
        let target = daemons.find(|&d| self.daemons[d].identity.rpc_addr == to.rpc_addr)?;
        let is_partitioned =
            self.daemons[from].is_partitioned || self.daemons[target].is_partitioned;
        (!is_partitioned && !self.daemons[target].is_paused).then_some(target)
    }

    fn ping(&mut self, daemon: usize, process: u64, to: &DaemonIdentity) {
        let Some(target) = self.reachable(daemon, to) else {
            return;
        };
        if self.daemons[target].identity.incarnation != to.incarnation {
            let incarnation = to.incarnation;
            self.send_back(daemon, process, Event::ProcessGone { incarnation });
            return;
        }
        let token = self.next_number();
        let at = self.now;
        let pending_replies = PendingReply::Ping {
            daemon,
            process,
            at,
        };
        self.pending_replies.insert(token, pending_replies);
        let ping = Ping {
            from: self.daemons[daemon].identity.clone(),
            table_digest: self.daemons[daemon].node.table_digest(),
        };
        self.handle_event(target, Event::Pinged { token, ping });
    }

    fn close_epoch(
        &mut self,
        daemon: usize,
        process: u64,
        shard: u32,
        epoch: u64,
        owner: &DaemonIdentity,
    ) {
        let Some(target) = self.reachable(daemon, owner) else {
            return;
        };
        let token = self.next_number();
        let pending_replies = PendingReply::Close {
            daemon,
            process,
            shard,
            epoch,
        };
        self.pending_replies.insert(token, pending_replies);
        self.handle_event(
            target,
            Event::CloseEpoch {
                token,
                shard,
                epoch,
                incarnation: owner.incarnation,
            },
        );
    }

    fn take_key(
        &mut self,
        daemon: usize,
        process: u64,
        to: &DaemonIdentity,
        request: Request,
        claim: TakeKey,
    ) {
        let target = self.reachable(daemon, to);
        let target = target.filter(|&d| self.daemons[d].identity.incarnation == to.incarnation);
        let Some(target) = target else {
            let reply = TakeKeyReply::Refused {
                retry_after_ms: 1000,
            };
            self.send_back(daemon, process, Event::KeyAnswered { request, reply });
            return;
        };
        let token = self.next_number();
        let pending_replies = PendingReply::Key {
            daemon,
            process,
            request,
            at: self.now,
        };
        self.pending_replies.insert(token, pending_replies);
        self.handle_event(target, Event::TakeKey { token, claim });
    }

    fn handle_event(&mut self, daemon: usize, event: Event) {
        if self.daemons[daemon].is_paused {
            return;
        }
        let now = self.now;
        let mut actions = Vec::new();
        self.daemons[daemon].node.handle(now, event, &mut actions);
        let process = self.daemons[daemon].identity.incarnation;
        let revision = self.daemons[daemon].node.table().revision;
        for action in actions {
            let is_decision = matches!(action, Action::SendRequest { .. });
            if is_decision && self.find_missed_edit(revision).is_some() {
                self.violation = Some(format!(
                    "daemon {daemon}: routed a request by an outdated table"
                ));
            }
            match action {
                Action::Answer { token, answer } => self.on_answer(token, answer),
                action => self.in_flight.push(InFlight {
                    daemon,
                    process,
                    message: Message::Outbound { action },
                }),
            }
        }
    }

    fn on_answer(&mut self, token: u64, answer: Answer) {
        match answer {
            Answer::Deliver => {
                self.tally.done_count += 1;
                self.outcomes.insert(token, Outcome::Done);
            }
            Answer::GiveUp(give_up) => {
                if give_up.outcome == Outcome::NotRun {
                    self.not_run.insert(token);
                }
                self.outcomes.insert(token, give_up.outcome);
            }
            Answer::Pong(pong) => {
                if let Some(PendingReply::Ping {
                    daemon,
                    process,
                    at,
                }) = self.pending_replies.remove(&token)
                {
                    let asked_at = at;
                    self.send_back(daemon, process, Event::Ponged { asked_at, pong });
                }
            }
            Answer::TakeKey(reply) => {
                if let Some(PendingReply::Key {
                    daemon,
                    process,
                    request,
                    ..
                }) = self.pending_replies.remove(&token)
                {
                    self.send_back(daemon, process, Event::KeyAnswered { request, reply });
                }
            }
            Answer::CloseEpoch(reply) => self.on_close_reply(token, reply),
            Answer::Submit(_) | Answer::Query(_) => {}
        }
    }

    fn on_close_reply(&mut self, token: u64, reply: CloseEpochReply) {
        if let Some(PendingReply::Close {
            daemon,
            process,
            shard,
            epoch,
        }) = self.pending_replies.remove(&token)
        {
            let event = Event::CloseEpochAnswered {
                shard,
                epoch,
                reply,
            };
            self.send_back(daemon, process, event);
        }
    }

    /// Records which edits all daemons have, and whose writer was affected by a fault.
    fn update_edits(&mut self) {
        for edit in &mut self.edits {
            let writer = &self.daemons[edit.writer];
            let is_same = writer.identity.incarnation == edit.process;
            edit.is_writer_unaffected &= is_same && !writer.is_paused && !writer.is_partitioned;
            let is_there = is_same && !writer.is_paused;
            edit.is_accepted |= is_there && writer.node.lagging(self.now).is_empty();
        }
    }

    fn check(&mut self) -> Result<(), StepError> {
        self.update_edits();
        if let Some(violation) = self.violation.take() {
            return Err(StepError(violation));
        }
        self.check_slots()?;
        self.check_keys()?;
        self.check_tables()
    }

    fn check_slots(&mut self) -> Result<(), StepError> {
        for minion in 0..MINIONS_COUNT {
            let busy = self.work.iter().filter(|work| work.minion == minion);
            let count = busy.count();
            self.tally.peak_slots_count = self.tally.peak_slots_count.max(count);
            if count > SLOTS_COUNT {
                return Err(StepError(format!(
                    "minion {minion}: {count} requests at once"
                )));
            }
        }
        Ok(())
    }

    fn check_keys(&self) -> Result<(), StepError> {
        let mut twice = self.runs.iter().filter(|(_, &count)| count > 1);
        match twice.next() {
            Some((key, count)) => Err(StepError(format!("{key}: ran {count} times"))),
            None => Ok(()),
        }
    }

    fn find_missed_edit(&self, revision: u64) -> Option<&Edit> {
        find_missed_edit(&self.edits, self.now, revision)
    }

    /// Checks that no table returns to an older revision, and that a daemon that acts
    /// on its table has every edit older than 7 s.
    fn check_tables(&mut self) -> Result<(), StepError> {
        let (now, store) = (self.now, &self.store);
        for (index, daemon) in self.daemons.iter_mut().enumerate() {
            let revision = daemon.node.table().revision;
            if revision < daemon.table_revision {
                return Err(StepError(format!(
                    "daemon {index}: its table returned to an older revision"
                )));
            }
            daemon.table_revision = revision;
            if revision > store.revision {
                return Err(StepError(format!(
                    "daemon {index}: its table revision is not in the store"
                )));
            }
            if daemon.is_paused || !daemon.node.may_decide(now) {
                continue;
            }
            let missed = find_missed_edit(&self.edits, now, revision);
            if let Some(edit) = missed {
                let age = now.since(edit.at);
                return Err(StepError(format!(
                    "daemon {index}: acts on a table that lacks an edit of {age} ago"
                )));
            }
        }
        Ok(())
    }

    /// Ends all faults and checks that the cell serves again.
    pub fn recover(&mut self) -> Result<(), StepError> {
        self.is_store_down = false;
        for daemon in &mut self.daemons {
            daemon.is_paused = false;
            daemon.is_store_partitioned = false;
            daemon.is_partitioned = false;
        }
        // Daemons that have shut down are replaced.
        self.step(&Op::Run { steps: 150 })?;
        for daemon in 0..DAEMONS_COUNT {
            if self.daemons[daemon].node.is_shutdown_complete() {
                self.step(&Op::Kill { daemon })?;
            }
        }
        self.step(&Op::Run { steps: 400 })?;
        for daemon in 0..DAEMONS_COUNT {
            if !self.daemons[daemon].node.is_ready() {
                return Err(StepError(format!("daemon {daemon}: does not serve again")));
            }
        }
        let owned = |shard: u32| {
            let mut nodes = self.daemons.iter().map(|daemon| &daemon.node);
            nodes.any(|node| node.owner(shard).is_some())
        };
        match (0..SHARDS_COUNT).find(|&shard| !owned(shard)) {
            Some(shard) => Err(StepError(format!("shard {shard}: has no owner"))),
            None => Ok(()),
        }
    }

    /// Returns the reply to the caller of the newest request.
    pub fn newest_outcome(&self) -> &'static str {
        let newest = self.keys.keys().next_back();
        let outcome = newest.and_then(|token| self.outcomes.get(token));
        outcome.map_or("nothing", |outcome| outcome.as_str())
    }

    pub fn is_ready(&self, daemon: usize) -> bool {
        self.daemons[daemon].node.is_ready()
    }

    pub fn freshness(&self, daemon: usize) -> &'static str {
        self.daemons[daemon].node.freshness().as_str()
    }

    pub fn seats_count(&self, daemon: usize) -> usize {
        let incarnation = self.daemons[daemon].identity.incarnation;
        let held = self.store.seats.values().filter(|held| {
            let holder = held.value.as_ref();
            holder.is_some_and(|holder| holder.incarnation == incarnation)
        });
        held.count()
    }

    /// Returns the number of shards that a daemon owns according to the store.
    pub fn shards_count(&self, daemon: usize) -> usize {
        let incarnation = self.daemons[daemon].identity.incarnation;
        let owned = self.store.owners.values().filter(|held| {
            let owner = held.value.as_ref();
            owner.is_some_and(|owner| owner.incarnation == incarnation)
        });
        owned.count()
    }

    pub fn is_current(&self, daemon: usize) -> bool {
        let newest = self.store.rows.values().map(|row| row.revision).max();
        Some(self.daemons[daemon].node.table().revision) == newest
    }

    pub fn working_count(&self) -> usize {
        self.work.len()
    }

    pub fn is_shutdown_complete(&self, daemon: usize) -> bool {
        self.daemons[daemon].node.is_shutdown_complete()
    }
}
