//! Maintains connections to the workers of owned shards and handles their events.

use crate::action::Action;
use crate::event::Event;
use crate::node::{ConnectionTarget, Node};
use crate::shard_slot::ShardSlot;
use ospreywing_shard as shard;
use ospreywing_types::{AttemptId, BoxFacts, Instant, Name};
use std::collections::BTreeMap;

impl Node {
    pub(crate) fn on_worker_event(
        &mut self,
        now: Instant,
        event: Event,
        actions: &mut Vec<Action>,
    ) {
        match event {
            Event::SessionOpened {
                worker,
                epoch,
                session,
                report,
            } => {
                let shard = self.shard_of_worker(&worker);
                let event = shard::Event::SessionOpened {
                    worker,
                    session,
                    report,
                };
                self.dispatch_to_epoch(now, shard, epoch, event, actions);
            }
            Event::Reported {
                worker,
                epoch,
                session,
                asked_at,
                report,
            } => {
                let shard = self.shard_of_worker(&worker);
                let event = shard::Event::Reported {
                    worker,
                    session,
                    asked_at,
                    report,
                };
                self.dispatch_to_epoch(now, shard, epoch, event, actions);
            }
            Event::SessionClosed {
                worker,
                epoch,
                session,
            } => {
                let shard = self.shard_of_worker(&worker);
                let event = shard::Event::SessionClosed { worker, session };
                self.dispatch_to_epoch(now, shard, epoch, event, actions);
            }
            Event::StartAcked { attempt } => {
                self.on_start_resolved(now, attempt, shard::Event::StartAcked { attempt }, actions);
            }
            Event::StartNotSent { attempt } => {
                let event = shard::Event::StartNotSent { attempt };
                self.on_start_resolved(now, attempt, event, actions);
            }
            Event::StartUnconfirmed { attempt } => {
                let event = shard::Event::StartUnconfirmed { attempt };
                self.on_start_resolved(now, attempt, event, actions);
            }
            Event::Ended { worker, ended } => {
                let shard = self.shard_of_worker(&worker);
                let event = shard::Event::Ended { worker, ended };
                self.dispatch_to_owner(now, shard, event, actions);
            }
            _ => {}
        }
    }

    fn on_start_resolved(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        event: shard::Event,
        actions: &mut Vec<Action>,
    ) {
        let slot = self.shards.get_mut(attempt.shard as usize);
        if let Some(ShardSlot::Closing(closing)) = slot {
            closing.resolve(attempt);
            if closing.is_closed() {
                self.shards[attempt.shard as usize] = ShardSlot::Idle;
                self.connect_workers(actions);
            }
            return;
        }
        self.dispatch_to_owner(now, attempt.shard, event, actions);
    }

    /// Sends the owner of a shard the boxes of its workers.
    pub(crate) fn dispatch_boxes(&mut self, now: Instant, shard: u32, actions: &mut Vec<Action>) {
        if self.shards[shard as usize].owner().is_none() {
            return;
        }
        let workers = self.workers.values();
        let boxes: Vec<BoxFacts> = workers
            .filter(|facts| self.shard_of_worker(&facts.name) == shard)
            .cloned()
            .collect();
        self.dispatch_to_owner(now, shard, shard::Event::Boxes(boxes), actions);
    }

    /// Requests connections to the workers of owned and closing shards, and closes
    /// all others.
    pub(crate) fn connect_workers(&mut self, actions: &mut Vec<Action>) {
        let wanted: BTreeMap<Name, ConnectionTarget> = self
            .workers
            .values()
            .filter_map(|facts| {
                let slot = &self.shards[self.shard_of_worker(&facts.name) as usize];
                let epoch = slot.epoch()?;
                let addr = facts.addr.clone();
                Some((facts.name.clone(), ConnectionTarget { addr, epoch }))
            })
            .collect();
        let is_changed = |name: &&Name| wanted.get(*name) != self.connection_targets.get(*name);
        let gone: Vec<Name> = self
            .connection_targets
            .keys()
            .filter(is_changed)
            .cloned()
            .collect();
        for worker in gone {
            actions.push(Action::Disconnect { worker });
        }
        for (worker, target) in &wanted {
            if self.connection_targets.get(worker) != Some(target) {
                actions.push(Action::Connect {
                    worker: worker.clone(),
                    addr: target.addr.clone(),
                    epoch: target.epoch,
                });
            }
        }
        self.connection_targets = wanted;
    }
}
