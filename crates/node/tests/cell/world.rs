//! Several daemons, a store and minions, step by step.

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
/// A minion works on a request for at most this long; less than the quarantine.
const WORK_LIMIT: Duration = Duration::from_s(6);
/// A change is in force at every daemon that decides within this time.
const IN_FORCE_WITHIN: Duration = Duration::from_s(7);
/// A claim of a key without an answer is given up after this time.
const CLAIM_LIMIT: Duration = Duration::from_s(4);
const STEP: Duration = Duration::from_ms(100);
const POLL_EVERY_STEPS: u64 = 5;

/// One step.
#[derive(Clone, Debug)]
pub enum Op {
    /// Everything that is up works for so many steps of a tenth of a second.
    Run {
        steps: u64,
    },
    /// Many callers ask at once.
    Burst {
        daemon: usize,
    },
    /// Time passes while nothing works.
    Pass {
        ms: u64,
    },
    Ask {
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
    Carry {
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

/// Something on its way from a daemon; a pause may lie before it.
enum Letter {
    /// To the store, or to a peer: an action that was decided.
    Out { action: Action },
    /// Back to the daemon.
    Back { event: Event },
}

struct Posted {
    daemon: usize,
    process: u64,
    letter: Letter,
}

struct Daemon {
    identity: DaemonIdentity,
    node: Node,
    is_paused: bool,
    is_store_cut: bool,
    is_cut: bool,
    table_revision: u64,
}

/// A request that a minion works on.
struct Work {
    daemon: usize,
    process: u64,
    request: Request,
    minion: usize,
    until: Instant,
    is_heard: bool,
}

struct Edit {
    revision: u64,
    at: Instant,
    writer: usize,
    process: u64,
    /// Whether nothing has befallen its writer since.
    is_writer_well: bool,
    /// Whether the operator was told that it is in force everywhere.
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

/// A promise that was broken, with the entity at fault.
pub use ospreywing_filetest::StepError;

pub struct World {
    pub now: Instant,
    pub tally: Tally,
    store: StoreFake,
    daemons: Vec<Daemon>,
    posted: Vec<Posted>,
    work: Vec<Work>,
    edits: Vec<Edit>,
    is_store_down: bool,
    keys: BTreeMap<u64, (Key, bool)>,
    /// Tokens of questions that a peer asked: who asked, and for what.
    asked: BTreeMap<u64, Asked>,
    runs: BTreeMap<Key, u32>,
    unsafe_keys: BTreeSet<Key>,
    not_run: BTreeSet<u64>,
    next: u64,
    steps: u64,
    said: BTreeMap<u64, Outcome>,
    broken: Option<String>,
}

#[derive(Clone)]
enum Asked {
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

/// Returns a change that should be in force and that a table lacks.
fn missed_edit(edits: &[Edit], now: Instant, revision: u64) -> Option<&Edit> {
    let mut edits = edits.iter();
    edits.find(|edit| {
        let is_due = edit.is_writer_well && now > edit.at + IN_FORCE_WITHIN;
        edit.revision > revision && (is_due || edit.is_accepted)
    })
}

impl World {
    pub fn new() -> Self {
        let mut world = Self {
            now: Instant::from_ms(10_000_000),
            tally: Tally::default(),
            store: StoreFake::default(),
            daemons: Vec::new(),
            posted: Vec::new(),
            work: Vec::new(),
            edits: Vec::new(),
            is_store_down: false,
            keys: BTreeMap::new(),
            asked: BTreeMap::new(),
            runs: BTreeMap::new(),
            unsafe_keys: BTreeSet::new(),
            not_run: BTreeSet::new(),
            next: 100,
            steps: 0,
            said: BTreeMap::new(),
            broken: None,
        };
        world.store.put_row(row("safe", Repeat::Repeatable));
        world.store.put_row(row("unsafe", Repeat::AtMostOnce));
        for daemon in 0..DAEMONS_COUNT {
            let started = world.start(daemon);
            world.daemons.push(started);
        }
        for daemon in 0..DAEMONS_COUNT {
            world.greet(daemon);
        }
        world
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn start(&mut self, daemon: usize) -> Daemon {
        let identity = DaemonIdentity {
            name: name(&format!("d{daemon}")),
            incarnation: self.number(),
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
            is_store_cut: false,
            is_cut: false,
            table_revision: 0,
        }
    }

    fn greet(&mut self, daemon: usize) {
        self.tell(daemon, Event::Boxes(minions()));
    }

    /// Takes one step and checks every promise.
    pub fn step(&mut self, op: &Op) -> Result<(), StepError> {
        self.tally.steps_count += 1;
        self.apply(op);
        self.check()
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Run { steps } => self.run(steps),
            Op::Burst { daemon } => {
                let first = self.number();
                (0..10).for_each(|key| self.ask(daemon, first * 100 + key, true));
            }
            Op::Pass { ms } => self.pass(Duration::from_ms(ms)),
            Op::Ask {
                daemon,
                key,
                is_safe,
            } => self.ask(daemon, key, is_safe),
            Op::Edit { daemon } => self.edit(daemon),
            Op::Answer { index } => self.answer(index),
            Op::Break { index } => self.break_off(index),
            Op::Poll { daemon } => self.poll(daemon),
            Op::Carry { index } => self.carry(index),
            Op::Lose { index } => self.lose(index),
            Op::Tick { daemon } => self.tell(daemon, Event::Tick),
            Op::CutStore { daemon } => self.fault(|w| w.daemons[daemon].is_store_cut = true),
            Op::MendStore { daemon } => self.daemons[daemon].is_store_cut = false,
            Op::StoreDown => self.fault(|w| w.is_store_down = true),
            Op::StoreUp => self.is_store_down = false,
            Op::CutPeers { daemon } => self.fault(|w| w.daemons[daemon].is_cut = true),
            Op::MendPeers { daemon } => self.daemons[daemon].is_cut = false,
            Op::Pause { daemon } => self.fault(|w| w.daemons[daemon].is_paused = true),
            Op::Resume { daemon } => self.daemons[daemon].is_paused = false,
            Op::Kill { daemon } => self.kill(daemon),
            Op::Leave { daemon } => self.tell(daemon, Event::Leave),
        }
    }

    fn fault(&mut self, change: impl FnOnce(&mut Self)) {
        self.tally.faults_count += 1;
        change(self);
    }

    /// The process dies; another takes its place and address.
    fn kill(&mut self, daemon: usize) {
        self.tally.faults_count += 1;
        self.daemons[daemon] = self.start(daemon);
        self.posted.retain(|posted| posted.daemon != daemon);
        self.greet(daemon);
    }

    fn pass(&mut self, length: Duration) {
        self.now = self.now + length;
        self.give_up_claims();
        // Work that nobody waits for goes on to its end.
        let now = self.now;
        let (over, open): (Vec<Work>, Vec<Work>) =
            self.work.drain(..).partition(|work| now >= work.until);
        self.work = open;
        for work in over.iter().filter(|work| !work.is_heard) {
            self.post_back(
                work.daemon,
                work.process,
                Event::RequestAnswered(work.request),
            );
        }
    }

    /// Claims of keys without an answer are given up.
    fn give_up_claims(&mut self) {
        let now = self.now;
        let mut overdue = Vec::new();
        self.asked.retain(|_, asked| match asked {
            Asked::Key {
                daemon,
                process,
                request,
                at,
            } if now.since(*at) >= CLAIM_LIMIT => {
                overdue.push((*daemon, *process, *request));
                false
            }
            _ => true,
        });
        for (daemon, process, request) in overdue {
            let reply = TakeKeyReply::Refused {
                retry_after_ms: 1000,
            };
            self.post_back(daemon, process, Event::KeyAnswered { request, reply });
        }
    }

    fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            self.steps += 1;
            self.pass(STEP);
            for daemon in 0..DAEMONS_COUNT {
                self.tell(daemon, Event::Tick);
                if self.steps % POLL_EVERY_STEPS == daemon as u64 {
                    self.poll(daemon);
                }
            }
            for _ in 0..4 {
                for index in (0..self.posted.len()).rev() {
                    self.carry(index);
                }
            }
        }
    }

    fn reaches_store(&self, daemon: usize) -> bool {
        !self.is_store_down && !self.daemons[daemon].is_store_cut
    }

    fn poll(&mut self, daemon: usize) {
        if self.daemons[daemon].is_paused || !self.reaches_store(daemon) {
            return;
        }
        let poll = Poll {
            asked_at: self.now,
            changes: self.store.whole(),
            is_whole: true,
        };
        self.tell(daemon, Event::Polled(poll));
    }

    fn ask(&mut self, daemon: usize, key: u64, is_safe: bool) {
        if self.daemons[daemon].is_paused {
            return;
        }
        let token = self.number();
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
        self.tell(daemon, Event::Arrived(arrival));
    }

    /// An operator edits a row through a daemon.
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
            is_writer_well: true,
            is_accepted: false,
        });
        let row = Versioned {
            value: Some(edited),
            revision,
        };
        self.tell(daemon, Event::RowWritten { name, row });
    }

    fn answer(&mut self, index: usize) {
        if self.work.is_empty() {
            return;
        }
        let index = index % self.work.len();
        let work = self.work.remove(index);
        if !work.is_heard {
            let event = Event::RequestAnswered(work.request);
            self.post_back(work.daemon, work.process, event);
        }
    }

    /// The connection breaks; the minion works on.
    fn break_off(&mut self, index: usize) {
        if self.work.is_empty() {
            return;
        }
        self.tally.faults_count += 1;
        let index = index % self.work.len();
        let work = &mut self.work[index];
        if !work.is_heard {
            work.is_heard = true;
            let (daemon, process, request) = (work.daemon, work.process, work.request);
            self.post_back(daemon, process, Event::RequestBroken(request));
        }
    }

    fn post_back(&mut self, daemon: usize, process: u64, event: Event) {
        let letter = Letter::Back { event };
        self.posted.push(Posted {
            daemon,
            process,
            letter,
        });
    }

    /// Loses a letter that may be lost: a ping, or a word of a peer.
    fn lose(&mut self, index: usize) {
        if self.posted.is_empty() {
            return;
        }
        let index = index % self.posted.len();
        let may_be_lost = matches!(
            self.posted[index].letter,
            Letter::Out {
                action: Action::Ping(_) | Action::CloseEpoch { .. }
            }
        );
        if may_be_lost {
            self.posted.remove(index);
        }
    }

    /// Carries a letter to where it goes.
    fn carry(&mut self, index: usize) {
        if self.posted.is_empty() {
            return;
        }
        let index = index % self.posted.len();
        let daemon = self.posted[index].daemon;
        if self.daemons[daemon].is_paused {
            return;
        }
        let posted = self.posted.remove(index);
        if self.daemons[daemon].identity.incarnation != posted.process {
            return;
        }
        match posted.letter {
            Letter::Back { event } => self.tell(daemon, event),
            Letter::Out { action } => self.carry_out(daemon, posted.process, action),
        }
    }

    fn carry_out(&mut self, daemon: usize, process: u64, action: Action) {
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
            // Claims and commits are made again until they are answered.
            if matches!(action, Action::ClaimShard { .. } | Action::Commit { .. }) {
                let letter = Letter::Out { action };
                self.posted.push(Posted {
                    daemon,
                    process,
                    letter,
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
                self.post_back(daemon, process, event);
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
                self.post_back(daemon, process, event);
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
            self.broken = Some(format!("request {token}: was told not_run, then ran"));
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
            until: self.now + WORK_LIMIT,
            is_heard: false,
        });
    }

    /// Returns the daemon at a process's address, where a word reaches it.
    fn reached(&self, from: usize, to: &DaemonIdentity) -> Option<usize> {
        let mut daemons = (0..DAEMONS_COUNT).filter(|&d| d != from);
        let there = daemons.find(|&d| self.daemons[d].identity.rpc_addr == to.rpc_addr)?;
        let is_cut = self.daemons[from].is_cut || self.daemons[there].is_cut;
        (!is_cut && !self.daemons[there].is_paused).then_some(there)
    }

    fn ping(&mut self, daemon: usize, process: u64, to: &DaemonIdentity) {
        let Some(there) = self.reached(daemon, to) else {
            return;
        };
        if self.daemons[there].identity.incarnation != to.incarnation {
            let incarnation = to.incarnation;
            self.post_back(daemon, process, Event::ProcessGone { incarnation });
            return;
        }
        let token = self.number();
        let at = self.now;
        let asked = Asked::Ping {
            daemon,
            process,
            at,
        };
        self.asked.insert(token, asked);
        let ping = Ping {
            from: self.daemons[daemon].identity.clone(),
            table_digest: self.daemons[daemon].node.table_digest(),
        };
        self.tell(there, Event::Pinged { token, ping });
    }

    fn close_epoch(
        &mut self,
        daemon: usize,
        process: u64,
        shard: u32,
        epoch: u64,
        owner: &DaemonIdentity,
    ) {
        let Some(there) = self.reached(daemon, owner) else {
            return;
        };
        let token = self.number();
        let asked = Asked::Close {
            daemon,
            process,
            shard,
            epoch,
        };
        self.asked.insert(token, asked);
        self.tell(
            there,
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
        let there = self.reached(daemon, to);
        let there = there.filter(|&d| self.daemons[d].identity.incarnation == to.incarnation);
        let Some(there) = there else {
            let reply = TakeKeyReply::Refused {
                retry_after_ms: 1000,
            };
            self.post_back(daemon, process, Event::KeyAnswered { request, reply });
            return;
        };
        let token = self.number();
        let asked = Asked::Key {
            daemon,
            process,
            request,
            at: self.now,
        };
        self.asked.insert(token, asked);
        self.tell(there, Event::TakeKey { token, claim });
    }

    fn tell(&mut self, daemon: usize, event: Event) {
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
            if is_decision && self.missed_edit(revision).is_some() {
                self.broken = Some(format!("daemon {daemon}: routed by an old table"));
            }
            match action {
                Action::Answer { token, answer } => self.take_answer(token, answer),
                action => self.posted.push(Posted {
                    daemon,
                    process,
                    letter: Letter::Out { action },
                }),
            }
        }
    }

    fn take_answer(&mut self, token: u64, answer: Answer) {
        match answer {
            Answer::Deliver => {
                self.tally.done_count += 1;
                self.said.insert(token, Outcome::Done);
            }
            Answer::GiveUp(give_up) => {
                if give_up.outcome == Outcome::NotRun {
                    self.not_run.insert(token);
                }
                self.said.insert(token, give_up.outcome);
            }
            Answer::Pong(pong) => {
                if let Some(Asked::Ping {
                    daemon,
                    process,
                    at,
                }) = self.asked.remove(&token)
                {
                    let asked_at = at;
                    self.post_back(daemon, process, Event::Ponged { asked_at, pong });
                }
            }
            Answer::TakeKey(reply) => {
                if let Some(Asked::Key {
                    daemon,
                    process,
                    request,
                    ..
                }) = self.asked.remove(&token)
                {
                    self.post_back(daemon, process, Event::KeyAnswered { request, reply });
                }
            }
            Answer::CloseEpoch(reply) => self.take_close(token, reply),
            Answer::Submit(_) | Answer::Query(_) => {}
        }
    }

    fn take_close(&mut self, token: u64, reply: CloseEpochReply) {
        if let Some(Asked::Close {
            daemon,
            process,
            shard,
            epoch,
        }) = self.asked.remove(&token)
        {
            let event = Event::EpochAnswered {
                shard,
                epoch,
                reply,
            };
            self.post_back(daemon, process, event);
        }
    }

    /// Notes which edits the operator was told of, and whose writer fell ill.
    fn note_edits(&mut self) {
        for edit in &mut self.edits {
            let writer = &self.daemons[edit.writer];
            let is_same = writer.identity.incarnation == edit.process;
            edit.is_writer_well &= is_same && !writer.is_paused && !writer.is_cut;
            let is_there = is_same && !writer.is_paused;
            edit.is_accepted |= is_there && writer.node.lagging(self.now).is_empty();
        }
    }

    fn check(&mut self) -> Result<(), StepError> {
        self.note_edits();
        if let Some(broken) = self.broken.take() {
            return Err(StepError(broken));
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

    fn missed_edit(&self, revision: u64) -> Option<&Edit> {
        missed_edit(&self.edits, self.now, revision)
    }

    /// No table goes back, and who decides goes by every change of 7 s ago.
    fn check_tables(&mut self) -> Result<(), StepError> {
        let (now, store) = (self.now, &self.store);
        for (index, daemon) in self.daemons.iter_mut().enumerate() {
            let revision = daemon.node.table().revision;
            if revision < daemon.table_revision {
                return Err(StepError(format!("daemon {index}: its table went back")));
            }
            daemon.table_revision = revision;
            if revision > store.revision {
                return Err(StepError(format!("daemon {index}: table from nowhere")));
            }
            if daemon.is_paused || !daemon.node.may_decide(now) {
                continue;
            }
            let missed = missed_edit(&self.edits, now, revision);
            if let Some(edit) = missed {
                let age = now.since(edit.at);
                return Err(StepError(format!(
                    "daemon {index}: decides without a change of {age} ago"
                )));
            }
        }
        Ok(())
    }

    /// Mends everything and checks that the cell serves again.
    pub fn heal(&mut self) -> Result<(), StepError> {
        self.is_store_down = false;
        for daemon in &mut self.daemons {
            daemon.is_paused = false;
            daemon.is_store_cut = false;
            daemon.is_cut = false;
        }
        // Those that were leaving are replaced.
        self.step(&Op::Run { steps: 150 })?;
        for daemon in 0..DAEMONS_COUNT {
            if self.daemons[daemon].node.has_left() {
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

    /// Returns what the caller of the newest request was told.
    pub fn said(&self) -> &'static str {
        let newest = self.keys.keys().next_back();
        let outcome = newest.and_then(|token| self.said.get(token));
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

    /// Returns how many shards the store says a daemon owns.
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

    pub fn has_left(&self, daemon: usize) -> bool {
        self.daemons[daemon].node.has_left()
    }
}
