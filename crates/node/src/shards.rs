//! Claims shards, runs their owners and hands them over.

use crate::action::{Action, Answer};
use crate::event::{ClaimedLog, Event};
use crate::node::{Node, Waiter};
use crate::shard_slot::ShardSlot;
use ospreywing_routing as routing;
use ospreywing_shard::{self as shard, Owner, Recovery};
use ospreywing_types::peer::{CloseEpochReply, SubmitReply, TakeKeyReply};
use ospreywing_types::{Duration, Instant};

/// The interval between requests to a former owner to close its epoch.
const CLOSE_REQUEST_INTERVAL: Duration = Duration::from_ms(500);
/// A handover continues after this time even if the owner still has work in flight.
const HANDOVER_TIMEOUT: Duration = Duration::from_s(5);
/// The interval between attempts to vacate a shard's key.
const VACATE_RETRY_INTERVAL: Duration = Duration::from_s(1);

impl Node {
    pub(crate) fn on_shard_event(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::ShardClaimed(log) => self.on_claimed(now, &log, actions),
            Event::ClaimFailed { shard } => {
                if matches!(self.shards[shard as usize], ShardSlot::Claiming) {
                    self.shards[shard as usize] = ShardSlot::Idle;
                }
            }
            Event::CommitDone { shard, epoch } => {
                self.dispatch_to_epoch(now, shard, epoch, shard::Event::CommitDone, actions);
            }
            Event::CommitFenced {
                shard,
                epoch,
                is_refused,
            } => {
                if self.owns(shard, epoch) {
                    self.close_shard(now, shard, is_refused, actions);
                }
            }
            Event::CloseEpochAnswered {
                shard,
                epoch,
                reply,
            } => self.on_epoch_answered(now, shard, epoch, reply, actions),
            Event::CloseEpoch {
                token,
                shard,
                epoch,
                incarnation,
            } => {
                let reply = self.on_close_epoch(now, shard, epoch, incarnation, actions);
                let answer = Answer::CloseEpoch(reply);
                actions.push(Action::Answer { token, answer });
            }
            other => self.on_worker_event(now, other, actions),
        }
    }

    fn owns(&self, shard: u32, epoch: u64) -> bool {
        let owner = self.shards[shard as usize].owner();
        owner.is_some_and(|owner| owner.config().epoch == epoch)
    }

    pub(crate) fn claim_shard(&mut self, shard: u32, revision: u64, actions: &mut Vec<Action>) {
        if matches!(self.shards[shard as usize], ShardSlot::Idle) {
            self.shards[shard as usize] = ShardSlot::Claiming;
            actions.push(Action::ClaimShard { shard, revision });
        }
    }

    fn on_claimed(&mut self, now: Instant, log: &ClaimedLog, actions: &mut Vec<Action>) {
        if !matches!(self.shards[log.shard as usize], ShardSlot::Claiming) {
            return;
        }
        let mut config = self.config.owner.clone();
        config.shard = log.shard;
        config.epoch = log.epoch;
        let mut recovery = Recovery::new(config);
        for (seq, value) in &log.batches {
            if recovery.read(*seq, value).is_err() {
                // The shard is not served if its log can't be read; another daemon
                // may run a newer version.
                self.shards[log.shard as usize] = ShardSlot::Idle;
                return;
            }
        }
        let owner = recovery.finish(now);
        self.shards[log.shard as usize] = ShardSlot::Owned(Box::new(owner));
        let table = shard::Event::Table(self.table.table());
        self.dispatch_to_owner(now, log.shard, table, actions);
        let is_deciding = self.freshness().may_decide();
        let deciding = shard::Event::Deciding(is_deciding);
        self.dispatch_to_owner(now, log.shard, deciding, actions);
        self.dispatch_boxes(now, log.shard, actions);
        self.connect_workers(actions);
        self.close_requested_at = Instant::default();
    }

    /// Reconciles the node's shards with the owners in the store.
    pub(crate) fn check_ownership(
        &mut self,
        now: Instant,
        asked_at: Instant,
        actions: &mut Vec<Action>,
    ) {
        for shard in 0..self.shards_count() {
            let stored = self.membership.control().owner(shard);
            let revision = stored.revision;
            let is_me = stored
                .value
                .is_some_and(|owner| owner.incarnation == self.membership.me().incarnation);
            match &self.shards[shard as usize] {
                ShardSlot::Owned(owner) | ShardSlot::HandingOver { owner, .. } => {
                    let epoch = owner.config().epoch;
                    if revision > epoch {
                        self.close_shard(now, shard, false, actions);
                    } else if revision == epoch {
                        let event = shard::Event::OwnershipConfirmed { asked_at };
                        self.dispatch_to_owner(now, shard, event, actions);
                    }
                }
                ShardSlot::Vacating { epoch, .. } if revision > *epoch => {
                    self.shards[shard as usize] = ShardSlot::Idle;
                }
                // The answer to this node's claim was lost: claim the shard again to
                // learn its epoch.
                ShardSlot::Idle if is_me && !self.membership.is_leaving() => {
                    self.claim_shard(shard, revision, actions);
                }
                _ => {}
            }
        }
    }

    /// Ends the ownership of a shard and closes its epoch.
    fn close_shard(
        &mut self,
        now: Instant,
        shard: u32,
        is_refused: bool,
        actions: &mut Vec<Action>,
    ) {
        let slot = core::mem::take(&mut self.shards[shard as usize]);
        let owner = match slot {
            ShardSlot::Owned(owner) | ShardSlot::HandingOver { owner, .. } => owner,
            other => {
                self.shards[shard as usize] = other;
                return;
            }
        };
        let mut owner_actions = core::mem::take(&mut self.shard_actions);
        let closing = owner.close(is_refused, &mut owner_actions);
        self.apply_owner_actions(now, &mut owner_actions, actions);
        self.shard_actions = owner_actions;
        if !closing.is_closed() {
            self.shards[shard as usize] = ShardSlot::Closing(closing);
        }
        self.connect_workers(actions);
    }

    fn on_close_epoch(
        &mut self,
        now: Instant,
        shard: u32,
        epoch: u64,
        incarnation: u64,
        actions: &mut Vec<Action>,
    ) -> CloseEpochReply {
        if incarnation != self.membership.me().incarnation {
            return CloseEpochReply::OtherIncarnation;
        }
        if shard >= self.shards_count() {
            return CloseEpochReply::Closed;
        }
        if self.owns(shard, epoch) {
            self.close_shard(now, shard, false, actions);
        }
        match &self.shards[shard as usize] {
            ShardSlot::Closing(closing) if closing.epoch() == epoch => CloseEpochReply::Busy,
            _ => CloseEpochReply::Closed,
        }
    }

    fn on_epoch_answered(
        &mut self,
        now: Instant,
        shard: u32,
        epoch: u64,
        reply: CloseEpochReply,
        actions: &mut Vec<Action>,
    ) {
        if reply != CloseEpochReply::Busy {
            let event = shard::Event::EpochClosed { epoch };
            self.dispatch_to_owner(now, shard, event, actions);
        }
    }

    /// Requests former owners to close their epochs; the epochs of owners proved to
    /// have ended count as closed.
    pub(crate) fn request_epoch_closes(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now.since(self.close_requested_at) < CLOSE_REQUEST_INTERVAL {
            return;
        }
        self.close_requested_at = now;
        for shard in 0..self.shards_count() {
            let Some(owner) = self.shards[shard as usize].owner() else {
                continue;
            };
            for former in owner.open_epochs() {
                let incarnation = former.owner.incarnation;
                let is_mine = incarnation == self.membership.me().incarnation;
                if is_mine || self.membership.is_gone(now, incarnation) {
                    let epoch = former.epoch;
                    let event = shard::Event::EpochClosed { epoch };
                    self.dispatch_to_owner(now, shard, event, actions);
                } else {
                    actions.push(Action::CloseEpoch {
                        shard,
                        epoch: former.epoch,
                        owner: former.owner,
                    });
                }
            }
        }
    }

    pub(crate) fn begin_handover(&mut self, now: Instant, shard: u32) {
        let slot = core::mem::take(&mut self.shards[shard as usize]);
        self.shards[shard as usize] = match slot {
            ShardSlot::Owned(mut owner) => {
                owner.begin_handover();
                ShardSlot::HandingOver {
                    owner,
                    since: now,
                    is_finishing: false,
                }
            }
            other => other,
        };
    }

    /// Advances each handover: wait for work in flight, write the final commit,
    /// vacate the key.
    pub(crate) fn advance_handovers(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for shard in 0..self.shards_count() {
            if let ShardSlot::Vacating { epoch, asked_at } = self.shards[shard as usize] {
                if now.since(asked_at) >= VACATE_RETRY_INTERVAL {
                    self.vacate_shard(now, shard, epoch, actions);
                }
            }
            let ShardSlot::HandingOver {
                owner,
                since,
                is_finishing,
            } = &mut self.shards[shard as usize]
            else {
                continue;
            };
            let is_overdue = now.since(*since) >= HANDOVER_TIMEOUT;
            if *is_finishing && owner.is_settled() && !owner.needs_commit() || is_overdue {
                let epoch = owner.config().epoch;
                self.close_shard(now, shard, false, actions);
                self.vacate_shard(now, shard, epoch, actions);
            } else if !*is_finishing && owner.is_settled() {
                owner.finish();
                *is_finishing = true;
            }
        }
    }

    fn vacate_shard(&mut self, now: Instant, shard: u32, epoch: u64, actions: &mut Vec<Action>) {
        let revision = epoch;
        actions.push(Action::VacateShard { shard, revision });
        // A closing shard stays in that state until its starts in flight are resolved.
        if matches!(
            self.shards[shard as usize],
            ShardSlot::Idle | ShardSlot::Vacating { .. }
        ) {
            let asked_at = now;
            self.shards[shard as usize] = ShardSlot::Vacating { epoch, asked_at };
        }
    }

    /// Issues the commits that are due, within the rate limit.
    pub(crate) fn issue_commits(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for shard in 0..self.shards_count() {
            let Some(owner) = self.shards[shard as usize].owner_mut() else {
                continue;
            };
            if !owner.needs_commit() || !self.commit_limiter.try_acquire(now) {
                continue;
            }
            let epoch = owner.config().epoch;
            if let Some(commit) = owner.next_commit(now) {
                actions.push(Action::Commit {
                    shard,
                    epoch,
                    commit,
                });
            }
        }
    }

    /// Passes an event to the owner of a shard if this node owns it in `epoch`.
    ///
    /// What a worker reported in an earlier epoch may be outdated.
    pub(crate) fn dispatch_to_epoch(
        &mut self,
        now: Instant,
        shard: u32,
        epoch: u64,
        event: shard::Event,
        actions: &mut Vec<Action>,
    ) {
        if self.owns(shard, epoch) {
            self.dispatch_to_owner(now, shard, event, actions);
        }
    }

    /// Passes an event to the owner of a shard if this node owns it.
    pub(crate) fn dispatch_to_owner(
        &mut self,
        now: Instant,
        shard: u32,
        event: shard::Event,
        actions: &mut Vec<Action>,
    ) {
        let slot = self.shards.get_mut(shard as usize);
        let Some(owner) = slot.and_then(ShardSlot::owner_mut) else {
            return;
        };
        let mut owner_actions = core::mem::take(&mut self.shard_actions);
        owner.handle(now, event, &mut owner_actions);
        self.apply_owner_actions(now, &mut owner_actions, actions);
        self.shard_actions = owner_actions;
    }

    /// Translates an owner's actions into the node's.
    fn apply_owner_actions(
        &mut self,
        now: Instant,
        owner_actions: &mut Vec<shard::Action>,
        actions: &mut Vec<Action>,
    ) {
        for action in owner_actions.drain(..) {
            match action {
                shard::Action::Reply { token, reply } => {
                    self.on_owner_reply(now, token, reply, actions);
                }
                shard::Action::Order { worker, order } => {
                    actions.push(Action::Order { worker, order });
                }
            }
        }
    }

    fn on_owner_reply(
        &mut self,
        now: Instant,
        token: shard::Token,
        reply: shard::Reply,
        actions: &mut Vec<Action>,
    ) {
        match (self.waiters.remove(&token.0), reply) {
            (Some(Waiter::External(token)), shard::Reply::Submit(reply)) => {
                let answer = Answer::Submit(reply);
                actions.push(Action::Answer { token, answer });
            }
            (Some(Waiter::External(token)), shard::Reply::TakeKey(reply)) => {
                let answer = Answer::TakeKey(reply);
                actions.push(Action::Answer { token, answer });
            }
            (Some(Waiter::Router(request)), shard::Reply::TakeKey(reply)) => {
                self.on_key_answered(now, request, &reply, actions);
            }
            (Some(Waiter::Router(_)), shard::Reply::Submit(_)) | (None, _) => {}
        }
    }

    pub(crate) fn on_key_answered(
        &mut self,
        now: Instant,
        request: routing::Request,
        reply: &TakeKeyReply,
        actions: &mut Vec<Action>,
    ) {
        let event = match reply {
            TakeKeyReply::Granted => routing::Event::KeyGranted(request),
            TakeKeyReply::Taken => routing::Event::KeyTaken(request),
            TakeKeyReply::Refused { retry_after_ms } => routing::Event::KeyRefused {
                request,
                retry_after: Duration::from_ms(*retry_after_ms),
            },
        };
        self.route(now, event, actions);
    }

    /// Returns the owner of a shard if this node owns it.
    pub fn owner(&self, shard: u32) -> Option<&Owner> {
        self.shards.get(shard as usize)?.owner()
    }

    /// Returns the reply to a caller while a shard has no reachable owner.
    pub(crate) fn no_owner(shard: u32) -> SubmitReply {
        SubmitReply::Refused {
            reason: format!("shard {shard} is changing hands"),
            retry_after_ms: Some(NO_OWNER_RETRY_AFTER.as_ms()),
        }
    }
}

/// The delay before a retry while a shard has no owner.
pub(crate) const NO_OWNER_RETRY_AFTER: Duration = Duration::from_s(1);
