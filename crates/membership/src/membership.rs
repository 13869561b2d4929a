//! A daemon's view of the cell, and the actions that follow from it.

use crate::assignment::assign;
use crate::control::{Control, ControlChange, Member, Versioned, SEATS_COUNT};
use crate::freshness::{EditBlocked, Freshness};
use crate::peer::{PeerState, Peers};
use crate::seat::{seat_target_count, SeatSet};
use ospreywing_types::peer::Pong;
use ospreywing_types::{BoxFacts, BoxKind, DaemonIdentity, Duration, Instant, Name};
use std::collections::{BTreeMap, BTreeSet};

/// The settings of a membership.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// This daemon's entry.
    pub me: Member,
    /// The number of shards of the cell.
    pub shards_count: u32,
    /// The interval between pings to a peer.
    pub ping_every: Duration,
    /// How long a peer may go without an answer before it counts as unresponsive.
    pub unresponsive_after: Duration,
    /// The delay between the claims of successive daemons on a shard; longer than
    /// a daemon takes to read that the shard has no owner.
    pub claim_stagger: Duration,
    /// How long the set of serving daemons must be unchanged before a planned
    /// handover of a shard.
    pub stable_for: Duration,
    /// How long the requests of a seat may still run after its holder ended.
    pub seat_quarantine: Duration,
    /// How long after an entry box was removed from the box list its daemon counts
    /// as ended.
    pub unlisted_quarantine: Duration,
}

impl MembershipConfig {
    /// Creates a configuration with default durations.
    pub const fn new(me: Member, shards_count: u32) -> Self {
        Self {
            me,
            shards_count,
            ping_every: Duration::from_ms(500),
            unresponsive_after: Duration::from_ms(2000),
            claim_stagger: Duration::from_ms(1000),
            stable_for: Duration::from_s(5),
            seat_quarantine: Duration::from_s(10),
            unlisted_quarantine: Duration::from_s(120),
        }
    }
}

/// One action. A claim is a write conditional on the revision given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Ping a process.
    Ping(DaemonIdentity),
    /// Claim a shard.
    ClaimShard {
        /// The shard.
        shard: u32,
        /// The revision of the shard's owner key.
        revision: u64,
    },
    /// Hand over a shard: wait for what is in flight, then vacate its key.
    HandOverShard(u32),
    /// Claim a seat.
    ClaimSeat {
        /// The seat.
        seat: u32,
        /// The revision of the seat's key.
        revision: u64,
    },
    /// Stop using a seat, and vacate its key once it is idle.
    DrainSeat(u32),
}

/// A daemon's view of the cell.
#[derive(Clone, Debug)]
pub struct Membership {
    config: MembershipConfig,
    control: Control,
    peers: Peers,
    /// When the last call answered by the store began.
    store_contact_at: Option<Instant>,
    listed_boxes: BTreeSet<Name>,
    /// When each entry box was removed from the box list.
    unlisted_since: BTreeMap<Name, Instant>,
    /// Since when each shard has had no live owner.
    claimable_since: BTreeMap<u32, Instant>,
    /// When this daemon last began a planned handover of each shard.
    handed_over_at: BTreeMap<u32, Instant>,
    members_changed_at: Instant,
    last_members: Vec<Name>,
    is_leaving: bool,
}

impl Membership {
    /// Creates an empty view.
    pub fn new(config: MembershipConfig) -> Self {
        Self {
            config,
            control: Control::default(),
            peers: Peers::default(),
            store_contact_at: None,
            listed_boxes: BTreeSet::new(),
            unlisted_since: BTreeMap::new(),
            claimable_since: BTreeMap::new(),
            handed_over_at: BTreeMap::new(),
            members_changed_at: Instant::default(),
            last_members: Vec::new(),
            is_leaving: false,
        }
    }

    /// Clears the cached control data before a complete snapshot is applied.
    pub fn clear_control(&mut self) {
        self.control = Control::default();
    }

    /// Applies changes of the store's control data.
    pub fn on_control(&mut self, now: Instant, changes: Vec<ControlChange>) {
        for change in changes {
            self.control.apply(change);
        }
        for identity in self.control.identities() {
            if identity.incarnation != self.me().incarnation {
                self.peers.insert_if_new(now, &identity);
            }
        }
        self.mark_replaced(now);
        let named: BTreeSet<u64> = self
            .control
            .identities()
            .iter()
            .map(|identity| identity.incarnation)
            .collect();
        self.peers
            .retain(|incarnation| named.contains(&incarnation));
    }

    /// Marks processes as ended whose address now belongs to another process.
    fn mark_replaced(&mut self, now: Instant) {
        let members: Vec<DaemonIdentity> = self
            .control
            .members
            .values()
            .map(|member| member.identity.clone())
            .collect();
        let mut gone = Vec::new();
        for peer in self.peers.iter() {
            let is_replaced = |member: &DaemonIdentity| {
                member.rpc_addr == peer.identity.rpc_addr
                    && member.incarnation != peer.identity.incarnation
            };
            if members.iter().any(is_replaced) && !self.is_member(&peer.identity) {
                gone.push(peer.identity.incarnation);
            }
        }
        for incarnation in gone {
            self.peers.set_gone(now, incarnation);
        }
    }

    fn is_member(&self, identity: &DaemonIdentity) -> bool {
        let member = self.control.members.get(&identity.name);
        member.is_some_and(|member| member.identity.incarnation == identity.incarnation)
    }

    /// Records that the store answered a call that began at `asked_at`.
    pub fn on_store_answer(&mut self, asked_at: Instant) {
        self.store_contact_at = self.store_contact_at.max(Some(asked_at));
    }

    /// Handles a ping from another process.
    ///
    /// This daemon may not know the process from the store yet, so it adds the
    /// process to its peers and pings it for its newest store information.
    pub fn on_ping(&mut self, now: Instant, from: &DaemonIdentity) {
        if from.incarnation != self.me().incarnation {
            self.peers.insert_if_new(now, from);
        }
    }

    /// Handles a peer's answer to a ping that was sent at `asked_at`.
    pub fn on_pong(&mut self, asked_at: Instant, pong: &Pong) {
        let Some(peer) = self.peers.get_mut(pong.from.incarnation) else {
            return;
        };
        peer.answered_at = peer.answered_at.max(Some(asked_at));
        let store_contact_at = asked_at - Duration::from_ms(pong.store_age_ms);
        peer.store_contact_at = peer.store_contact_at.max(Some(store_contact_at));
        peer.is_leaving = pong.is_leaving;
        peer.is_suspect = false;
    }

    /// Handles a connection refused by a process's address.
    ///
    /// This suffices to claim the process's shards, since claiming is safe even
    /// from a live owner. It does not prove that the process has ended.
    pub fn on_connection_refused(&mut self, incarnation: u64) {
        if let Some(peer) = self.peers.get_mut(incarnation) {
            peer.is_suspect = true;
        }
    }

    /// Records that the process `incarnation` is proved to have ended.
    pub fn on_gone(&mut self, now: Instant, incarnation: u64) {
        self.peers.set_gone(now, incarnation);
    }

    /// Handles a new version of the platform's box list.
    pub fn on_boxes(&mut self, now: Instant, boxes: &[BoxFacts]) {
        let entry = boxes.iter().filter(|facts| facts.kind == BoxKind::Entry);
        let listed_boxes: BTreeSet<Name> = entry.map(|facts| facts.name.clone()).collect();
        for name in self.listed_boxes.difference(&listed_boxes) {
            self.unlisted_since.insert(name.clone(), now);
        }
        self.unlisted_since
            .retain(|name, _| !listed_boxes.contains(name));
        self.listed_boxes = listed_boxes;
    }

    /// Marks this daemon as stopping.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Returns whether this daemon is stopping.
    pub const fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns this daemon's identity.
    pub const fn me(&self) -> &DaemonIdentity {
        &self.config.me.identity
    }

    /// Returns the cached control data.
    pub const fn control(&self) -> &Control {
        &self.control
    }

    /// Returns when the last call answered by the store began.
    pub const fn store_contact_at(&self) -> Option<Instant> {
        self.store_contact_at
    }

    /// Returns the evidence that the table is current.
    pub fn freshness(&self, now: Instant) -> Freshness {
        Freshness::new(now, self.store_contact_at, &self.peers)
    }

    /// Checks whether an edit of the table may be accepted: see
    /// [`Freshness::StoreDown`].
    ///
    /// # Errors
    ///
    /// Returns the reason why this daemon may not accept the edit.
    pub fn check_edit(&self, now: Instant) -> Result<(), EditBlocked> {
        EditBlocked::find(now, self.store_contact_at, &self.peers).map_or(Ok(()), Err)
    }

    /// Returns the newest instant whose store contents this daemon knows, from its
    /// own calls or through its peers.
    pub fn known_as_of(&self) -> Option<Instant> {
        let by_peers = self.peers.iter().filter_map(|peer| peer.store_contact_at);
        by_peers.chain(self.store_contact_at).max()
    }

    /// Returns the state of a process.
    pub fn peer_state(&self, now: Instant, incarnation: u64) -> PeerState {
        self.peers
            .state(now, incarnation, self.config.unresponsive_after)
    }

    /// Returns whether a process is proved to have ended.
    pub fn is_gone(&self, now: Instant, incarnation: u64) -> bool {
        matches!(self.peer_state(now, incarnation), PeerState::Gone(_))
    }

    /// Returns the serving daemons in the order of their names, including this one
    /// unless it is stopping.
    pub fn serving(&self, now: Instant) -> Vec<Member> {
        let mut serving: Vec<Member> = self
            .control
            .members
            .values()
            .filter(|member| self.is_serving(now, &member.identity))
            .cloned()
            .collect();
        let is_listed = |member: &Member| member.identity.incarnation == self.me().incarnation;
        if !self.is_leaving && !serving.iter().any(is_listed) {
            serving.push(self.config.me.clone());
            serving.sort_by(|a, b| a.identity.name.cmp(&b.identity.name));
        }
        serving
    }

    fn is_serving(&self, now: Instant, identity: &DaemonIdentity) -> bool {
        if identity.incarnation == self.me().incarnation {
            return !self.is_leaving;
        }
        let is_leaving = self
            .peers
            .get(identity.incarnation)
            .is_some_and(|peer| peer.is_leaving);
        let state = self.peer_state(now, identity.incarnation);
        !is_leaving && state == PeerState::Live
    }

    /// Returns the seats that this daemon holds.
    pub fn seats(&self) -> SeatSet {
        let mine = |holder: &Versioned<Option<DaemonIdentity>>| {
            let holder = holder.value.as_ref();
            holder.is_some_and(|holder| holder.incarnation == self.me().incarnation)
        };
        let seats = self.control.seats.iter();
        seats
            .filter(|(_, holder)| mine(holder))
            .map(|(&seat, _)| seat)
            .collect()
    }

    /// Appends the actions that are due.
    pub fn decide(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        self.mark_unlisted(now);
        self.ping(now, actions);
        let serving = self.serving(now);
        self.update_members(now, &serving);
        self.decide_shards(now, &serving, actions);
        self.decide_seats(now, &serving, actions);
    }

    fn mark_unlisted(&mut self, now: Instant) {
        let quarantine = self.config.unlisted_quarantine;
        let mut gone = Vec::new();
        for member in self.control.members.values() {
            let unlisted_since = self.unlisted_since.get(&member.box_name);
            if unlisted_since.is_some_and(|&since| now >= since + quarantine) {
                gone.push(member.identity.incarnation);
            }
        }
        for incarnation in gone {
            self.peers.set_gone(now, incarnation);
        }
    }

    fn ping(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let every = self.config.ping_every;
        for peer in self.peers.iter_mut() {
            let is_due = peer.pinged_at.is_none_or(|at| now.since(at) >= every);
            if is_due && peer.gone_at.is_none() {
                peer.pinged_at = Some(now);
                actions.push(MembershipAction::Ping(peer.identity.clone()));
            }
        }
    }

    fn update_members(&mut self, now: Instant, serving: &[Member]) {
        let names = serving.iter().map(|member| member.identity.name.clone());
        let names: Vec<Name> = names.collect();
        if names != self.last_members {
            self.last_members = names;
            self.members_changed_at = now;
        }
    }

    fn decide_shards(
        &mut self,
        now: Instant,
        serving: &[Member],
        actions: &mut Vec<MembershipAction>,
    ) {
        let names: Vec<Name> = self.last_members.clone();
        let assigned = assign(&names, self.config.shards_count);
        let mut is_handing_over = false;
        for shard in 0..self.config.shards_count {
            let owner = self.control.owner(shard);
            let is_mine = owner
                .value
                .as_ref()
                .is_some_and(|owner| owner.incarnation == self.me().incarnation);
            let preferred = assigned.get(shard as usize).map(|&index| &serving[index]);
            if is_mine {
                let should_move = self.should_hand_over(now, preferred) && !is_handing_over;
                if should_move {
                    is_handing_over = true;
                    self.handed_over_at.insert(shard, now);
                    actions.push(MembershipAction::HandOverShard(shard));
                }
            } else if self.is_claimable(now, &owner) && !self.is_leaving {
                self.claim_in_turn(now, shard, owner.revision, preferred, actions);
            } else {
                self.claimable_since.remove(&shard);
            }
        }
    }

    /// Returns whether to hand over a shard: this daemon is stopping, or the set of
    /// serving daemons is stable and the shard is assigned to another daemon.
    fn should_hand_over(&self, now: Instant, preferred: Option<&Member>) -> bool {
        if self.is_leaving {
            return true;
        }
        let is_stable = now.since(self.members_changed_at) >= self.config.stable_for;
        let is_other =
            preferred.is_some_and(|member| member.identity.incarnation != self.me().incarnation);
        is_stable && is_other
    }

    /// Returns whether the shard has no live owner.
    fn is_claimable(&self, now: Instant, owner: &Versioned<Option<DaemonIdentity>>) -> bool {
        match &owner.value {
            None => true,
            Some(owner) => self.peer_state(now, owner.incarnation) != PeerState::Live,
        }
    }

    /// Claims a shard when it is this daemon's turn. The preferred owner claims
    /// immediately and each next daemon one step later, so that few claims
    /// conflict.
    fn claim_in_turn(
        &mut self,
        now: Instant,
        shard: u32,
        revision: u64,
        preferred: Option<&Member>,
        actions: &mut Vec<MembershipAction>,
    ) {
        let since = *self.claimable_since.entry(shard).or_insert(now);
        let handed_over_at = self.handed_over_at.get(&shard);
        if handed_over_at.is_some_and(|&at| now < at + self.config.stable_for) {
            // This daemon handed the shard over to another, which claims it first.
            return;
        }
        let names = &self.last_members;
        let position_of = |name: &Name| names.iter().position(|n| n == name).unwrap_or(0);
        let mine = position_of(&self.me().name);
        let first = preferred.map_or(0, |member| position_of(&member.identity.name));
        let turn = (mine + names.len() - first) % names.len().max(1);
        if now >= since + self.config.claim_stagger.times(turn as u64) {
            actions.push(MembershipAction::ClaimShard { shard, revision });
        }
    }

    fn decide_seats(
        &mut self,
        now: Instant,
        serving: &[Member],
        actions: &mut Vec<MembershipAction>,
    ) {
        let mine = self.seats();
        if self.is_leaving {
            actions.extend(mine.iter().map(MembershipAction::DrainSeat));
            return;
        }
        let target = seat_target_count(serving.len());
        let free: Vec<u32> = (0..SEATS_COUNT)
            .filter(|&seat| self.is_seat_free(now, seat))
            .collect();
        if mine.len() < target && !free.is_empty() {
            // Daemons that start at the same time claim different seats.
            let names = &self.last_members;
            let position = names.iter().position(|name| *name == self.me().name);
            let seat = free[position.unwrap_or(0) % free.len()];
            let revision = self.control.seat(seat).revision;
            actions.push(MembershipAction::ClaimSeat { seat, revision });
        }
        if mine.len() > target && free.is_empty() && self.is_any_below_target(serving, target) {
            actions.extend(mine.iter().last().map(MembershipAction::DrainSeat));
        }
    }

    fn is_seat_free(&self, now: Instant, seat: u32) -> bool {
        let Some(holder) = self.control.seat(seat).value else {
            return true;
        };
        match self.peer_state(now, holder.incarnation) {
            PeerState::Gone(at) => now >= at + self.config.seat_quarantine,
            PeerState::Live | PeerState::Unresponsive => false,
        }
    }

    fn is_any_below_target(&self, serving: &[Member], target: u32) -> bool {
        serving.iter().any(|member| {
            let held = self.control.seats.values().filter(|holder| {
                let holder = holder.value.as_ref();
                holder.is_some_and(|h| h.incarnation == member.identity.incarnation)
            });
            (held.count() as u32) < target
        })
    }
}
