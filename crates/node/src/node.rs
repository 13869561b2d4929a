//! The node: its state and event handlers.

use crate::action::{Action, Answer};
use crate::config::NodeConfig;
use crate::event::{Change, Event, Poll};
use crate::shard_slot::ShardSlot;
use crate::table_view::TableView;
use ospreywing_membership::{
    EditBlocked, Freshness, Membership, MembershipAction, MembershipConfig, RateLimiter, SeatSet,
};
use ospreywing_routing as routing;
use ospreywing_shard as shard;
use ospreywing_table::Table;
use ospreywing_types::peer::{Ping, Pong};
use ospreywing_types::{shard_of, BoxFacts, BoxKind, DaemonIdentity, Duration, Instant, Key, Name};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The recipient of an owner's reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Waiter {
    /// A caller or a peer.
    External(u64),
    /// The router, for the key of a request.
    Router(routing::Request),
}

/// The version of a peer's table, as the peer reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PeerTable {
    pub(crate) digest: u64,
    pub(crate) revision: u64,
}

/// The parameters of a connection requested to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionTarget {
    pub(crate) addr: String,
    pub(crate) epoch: u64,
}

/// The state machine of one daemon.
pub struct Node {
    pub(crate) config: NodeConfig,
    pub(crate) membership: Membership,
    pub(crate) router: routing::Router,
    pub(crate) table: TableView,
    pub(crate) shards: Vec<ShardSlot>,
    pub(crate) workers: BTreeMap<Name, BoxFacts>,
    /// The requested connections to workers.
    pub(crate) connection_targets: BTreeMap<Name, ConnectionTarget>,
    pub(crate) commit_limiter: RateLimiter,
    pub(crate) waiters: HashMap<u64, Waiter>,
    pub(crate) next_token: u64,
    pub(crate) next_nonce: u64,
    pub(crate) draining: SeatSet,
    pub(crate) close_requested_at: Instant,
    /// The table version that each peer last reported, by incarnation.
    pub(crate) peer_tables: BTreeMap<u64, PeerTable>,
    freshness: Freshness,
    seats_in_use: SeatSet,
    decided_at: Instant,
    router_actions: Vec<routing::Action>,
    pub(crate) shard_actions: Vec<shard::Action>,
    membership_actions: Vec<MembershipAction>,
}

const COMMIT_BURST_COUNT: u32 = 4;
/// The interval between timer events for membership and owners; the router handles
/// each tick.
const DECIDE_EVERY: Duration = Duration::from_ms(100);

impl Node {
    /// Creates a node in its initial state.
    pub fn new(config: NodeConfig) -> Self {
        let shards_count = config.membership.shards_count as usize;
        Self {
            membership: Membership::new(config.membership.clone()),
            router: routing::Router::new(config.router.clone()),
            table: TableView::default(),
            shards: (0..shards_count).map(|_| ShardSlot::Idle).collect(),
            workers: BTreeMap::new(),
            connection_targets: BTreeMap::new(),
            commit_limiter: RateLimiter::new(config.commit_rate_per_s, COMMIT_BURST_COUNT),
            waiters: HashMap::new(),
            next_token: 0,
            next_nonce: 0,
            draining: SeatSet::EMPTY,
            close_requested_at: Instant::default(),
            peer_tables: BTreeMap::new(),
            freshness: Freshness::Unknown,
            seats_in_use: SeatSet::EMPTY,
            decided_at: Instant::default(),
            router_actions: Vec::new(),
            shard_actions: Vec::new(),
            membership_actions: Vec::new(),
            config,
        }
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        // A daemon that was paused must not act on outdated state.
        self.update_freshness(now, actions);
        match event {
            Event::Polled(poll) => self.on_polled(now, poll, actions),
            Event::RowWritten { name, row } => {
                if self.table.apply(vec![(name, row)]) {
                    self.publish_table(now, actions);
                }
            }
            Event::Boxes(boxes) => self.on_boxes(now, boxes, actions),
            Event::Ponged { asked_at, pong } => self.on_ponged(now, asked_at, &pong, actions),
            Event::PeerConnectionRefused { incarnation } => {
                self.membership.on_connection_refused(incarnation)
            }
            Event::ProcessGone { incarnation } => self.membership.on_gone(now, incarnation),
            Event::Pinged { token, ping } => {
                self.membership.on_ping(now, &ping.from);
                let answer = Answer::Pong(self.pong(now, &ping));
                actions.push(Action::Answer { token, answer });
            }
            Event::Arrived(arrival) => {
                self.route(now, routing::Event::Arrived(arrival), actions);
            }
            Event::CallerDisconnected { token } => {
                self.route(now, routing::Event::CallerDisconnected { token }, actions);
            }
            Event::RequestAnswered(request) => {
                self.route(now, routing::Event::Answered(request), actions);
            }
            Event::RequestNotSent(request) => {
                self.route(now, routing::Event::NotSent(request), actions);
            }
            Event::RequestInterrupted(request) => {
                self.route(now, routing::Event::Interrupted(request), actions);
            }
            Event::Leave => self.membership.leave(),
            Event::Tick => self.on_tick(now, actions),
            Event::Submit { .. }
            | Event::Cancel { .. }
            | Event::Query { .. }
            | Event::TakeKey { .. }
            | Event::ForwardAnswered { .. }
            | Event::KeyAnswered { .. } => self.on_request(now, event, actions),
            _ => self.on_shard_event(now, event, actions),
        }
        self.issue_commits(now, actions);
    }

    fn on_polled(&mut self, now: Instant, poll: Poll, actions: &mut Vec<Action>) {
        let mut control = Vec::new();
        let mut rows = Vec::new();
        for change in poll.changes {
            match change {
                Change::Control(change) => control.push(change),
                Change::Row { name, row } => rows.push((name, row)),
            }
        }
        if poll.is_snapshot {
            self.membership.clear_control();
        }
        self.membership.on_control(now, control);
        self.membership.on_store_answer(poll.asked_at);
        if self.table.apply(rows) {
            self.publish_table(now, actions);
        }
        self.check_ownership(now, poll.asked_at, actions);
        self.update_seats(now, actions);
        self.update_freshness(now, actions);
    }

    fn on_boxes(&mut self, now: Instant, boxes: Vec<BoxFacts>, actions: &mut Vec<Action>) {
        self.membership.on_boxes(now, &boxes);
        let of_kind = |kind: BoxKind| {
            let boxes = boxes.iter().filter(move |facts| facts.kind == kind);
            boxes.cloned().collect::<Vec<_>>()
        };
        let minions = of_kind(BoxKind::Minion);
        self.route(now, routing::Event::Boxes(minions), actions);
        let workers = of_kind(BoxKind::Worker).into_iter();
        self.workers = workers.map(|facts| (facts.name.clone(), facts)).collect();
        for shard in 0..self.shards_count() {
            self.dispatch_boxes(now, shard, actions);
        }
        self.connect_workers(actions);
    }

    fn on_ponged(
        &mut self,
        now: Instant,
        asked_at: Instant,
        pong: &Pong,
        actions: &mut Vec<Action>,
    ) {
        if let Some(json) = &pong.table_json {
            match self.table.merge_json(json) {
                Some(true) => self.publish_table(now, actions),
                Some(false) => {}
                // A peer's answer proves nothing if its table can't be parsed.
                None => return,
            }
        }
        let peer_table = PeerTable {
            digest: pong.table_digest,
            revision: pong.table_revision,
        };
        self.peer_tables.insert(pong.from.incarnation, peer_table);
        self.membership.on_pong(asked_at, pong);
        self.update_freshness(now, actions);
    }

    fn pong(&self, now: Instant, ping: &Ping) -> Pong {
        let digest = self.table.digest();
        let known_as_of = self.membership.known_as_of().unwrap_or_default();
        Pong {
            from: self.membership.me().clone(),
            store_age_ms: now.since(known_as_of).as_ms(),
            table_revision: self.table.table().revision,
            table_digest: digest,
            table_json: (ping.table_digest != digest).then(|| self.table.to_json()),
            is_leaving: self.membership.is_leaving(),
        }
    }

    fn publish_table(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let table = self.table.table();
        self.route(now, routing::Event::Table(Arc::clone(&table)), actions);
        for shard in 0..self.shards_count() {
            let event = shard::Event::Table(Arc::clone(&table));
            self.dispatch_to_owner(now, shard, event, actions);
        }
    }

    fn update_freshness(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let freshness = self.membership.freshness(now);
        let is_deciding = freshness.may_decide();
        let changed = is_deciding != self.freshness.may_decide();
        self.freshness = freshness;
        if !changed {
            return;
        }
        self.route(now, routing::Event::Deciding(is_deciding), actions);
        for shard in 0..self.shards_count() {
            let event = shard::Event::Deciding(is_deciding);
            self.dispatch_to_owner(now, shard, event, actions);
        }
    }

    /// Lets the router use the seats held, except those being drained.
    fn update_seats(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let held = self.membership.seats();
        let draining = self.draining.iter().filter(|&seat| held.contains(seat));
        self.draining = draining.collect();
        let in_use: SeatSet = held
            .iter()
            .filter(|&seat| !self.draining.contains(seat))
            .collect();
        if in_use != self.seats_in_use {
            self.seats_in_use = in_use;
            self.route(now, routing::Event::Seats(in_use), actions);
        }
    }

    fn on_tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.route(now, routing::Event::Tick, actions);
        if now.since(self.decided_at) < DECIDE_EVERY {
            return;
        }
        self.decided_at = now;
        let mut decided = core::mem::take(&mut self.membership_actions);
        self.membership.decide(now, &mut decided);
        for action in decided.drain(..) {
            self.on_membership_action(now, action, actions);
        }
        self.membership_actions = decided;
        self.release_idle_seats(actions);
        for shard in 0..self.shards_count() {
            self.dispatch_to_owner(now, shard, shard::Event::Tick, actions);
        }
        self.request_epoch_closes(now, actions);
        self.advance_handovers(now, actions);
        let owners = self.membership.control().owners.values();
        let mut owners: Vec<u64> = owners
            .filter_map(|owner| Some(owner.value.as_ref()?.incarnation))
            .collect();
        owners.sort_unstable();
        owners.dedup();
        self.commit_limiter.set_sharers(owners.len());
    }

    fn on_membership_action(
        &mut self,
        now: Instant,
        action: MembershipAction,
        actions: &mut Vec<Action>,
    ) {
        match action {
            MembershipAction::Ping(identity) => actions.push(Action::Ping(identity)),
            MembershipAction::ClaimShard { shard, revision } => {
                self.claim_shard(shard, revision, actions);
            }
            MembershipAction::HandOverShard(shard) => self.begin_handover(now, shard),
            MembershipAction::ClaimSeat { seat, revision } => {
                actions.push(Action::ClaimSeat { seat, revision });
            }
            MembershipAction::DrainSeat(seat) => {
                self.draining.insert(seat);
                self.update_seats(now, actions);
            }
        }
    }

    fn release_idle_seats(&mut self, actions: &mut Vec<Action>) {
        let idle = self
            .draining
            .iter()
            .filter(|&seat| self.router.is_seat_idle(seat));
        for seat in idle {
            let revision = self.membership.control().seat(seat).revision;
            actions.push(Action::VacateSeat { seat, revision });
        }
    }

    /// Passes an event to the router and translates its actions into the node's.
    pub(crate) fn route(&mut self, now: Instant, event: routing::Event, actions: &mut Vec<Action>) {
        let mut routed = core::mem::take(&mut self.router_actions);
        self.router.handle(now, event, &mut routed);
        for action in routed.drain(..) {
            match action {
                routing::Action::TakeKey { request, key } => {
                    self.take_key(now, request, key, actions);
                }
                routing::Action::Send {
                    request,
                    token,
                    addr,
                    timeout,
                    ..
                } => actions.push(Action::SendRequest {
                    request,
                    token,
                    addr,
                    timeout,
                }),
                routing::Action::Deliver { token } => actions.push(Action::Answer {
                    token,
                    answer: Answer::Deliver,
                }),
                routing::Action::GiveUp { token, give_up } => actions.push(Action::Answer {
                    token,
                    answer: Answer::GiveUp(give_up),
                }),
            }
        }
        self.router_actions = routed;
    }

    /// Returns the number of shards of the cell.
    pub const fn shards_count(&self) -> u32 {
        self.config.membership.shards_count
    }

    /// Returns the shard of a task key or request key.
    pub fn shard_of_key(&self, key: &Key) -> u32 {
        shard_of(key.as_str(), self.shards_count())
    }

    /// Returns the shard of a worker.
    pub fn shard_of_worker(&self, name: &Name) -> u32 {
        shard_of(name.as_str(), self.shards_count())
    }

    /// Returns a shard's owner in the cached control data.
    pub fn owner_of(&self, shard: u32) -> Option<DaemonIdentity> {
        self.membership.control().owner(shard).value
    }

    /// Returns the current table.
    pub fn table(&self) -> Arc<Table> {
        self.table.table()
    }

    /// Checks whether an edit of the table may be accepted now.
    ///
    /// # Errors
    ///
    /// Returns the reason why this daemon may not accept the edit.
    pub fn check_edit(&self, now: Instant) -> Result<(), EditBlocked> {
        self.membership.check_edit(now)
    }

    /// Returns whether the daemon may act on its table at `now`.
    pub fn may_decide(&self, now: Instant) -> bool {
        self.membership.freshness(now).may_decide()
    }

    /// Returns the evidence, as of the last event, that the table is current.
    pub const fn freshness(&self) -> Freshness {
        self.freshness
    }

    /// Returns whether the load balancer should send callers to this daemon.
    pub fn is_ready(&self) -> bool {
        let is_serving = !self.membership.is_leaving() && self.freshness.may_decide();
        is_serving && !self.seats_in_use.is_empty()
    }

    /// Returns whether the daemon is stopping and its process may exit.
    pub fn is_shutdown_complete(&self) -> bool {
        let is_idle = |slot: &ShardSlot| matches!(slot, ShardSlot::Idle);
        self.membership.is_leaving()
            && self.shards.iter().all(is_idle)
            && self.membership.seats().is_empty()
            && self.router.open_count() == 0
    }

    /// Returns the settings of the membership.
    pub const fn membership_config(&self) -> &MembershipConfig {
        &self.config.membership
    }

    /// Returns the daemons that may use another table version than this one.
    pub fn lagging(&self, now: Instant) -> Vec<Name> {
        let me = self.membership.me().incarnation;
        let identities = self.membership.control().identities();
        let lagging = identities.into_iter().filter(|identity| {
            let known = self.peer_tables.get(&identity.incarnation);
            let is_same = known.is_some_and(|known| known.digest == self.table.digest());
            let is_gone = self.membership.is_gone(now, identity.incarnation);
            identity.incarnation != me && !is_gone && !is_same
        });
        lagging.map(|identity| identity.name).collect()
    }

    /// Returns a hash of the row versions of the current table.
    pub const fn table_digest(&self) -> u64 {
        self.table.digest()
    }
}
