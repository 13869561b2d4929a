//! Tracks minions, their slots and their health.

use crate::entity::{Minion, Request};
use cranelift_entity::PrimaryMap;
use ospreywing_membership::{SeatSet, SEATS_COUNT};
use ospreywing_types::{BoxFacts, BoxState, Duration, Instant, Name};
use std::collections::{BTreeSet, HashMap};

/// The state of one slot of a minion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Slot {
    /// Not in use.
    #[default]
    Free,
    /// In use by a request of this daemon.
    Busy(Request),
    /// The connection of its request broke; the minion may still run the request
    /// until the instant given.
    Quarantined(Instant),
}

/// One minion.
#[derive(Clone, Debug)]
pub(crate) struct MinionData {
    pub(crate) name: Name,
    pub(crate) addr: String,
    pub(crate) is_live: bool,
    pub(crate) serves: Vec<Name>,
    pub(crate) slots: [Slot; SEATS_COUNT as usize],
    failures_count: u32,
    ejections_count: u32,
    ejected_until: Option<Instant>,
}

impl MinionData {
    fn new(facts: &BoxFacts) -> Self {
        Self {
            name: facts.name.clone(),
            addr: facts.addr.clone(),
            is_live: facts.state == BoxState::Live,
            serves: facts.serves.clone(),
            slots: Default::default(),
            failures_count: 0,
            ejections_count: 0,
            ejected_until: None,
        }
    }

    /// Returns a free slot among `seats`.
    pub(crate) fn free_slot(&self, seats: SeatSet) -> Option<u32> {
        seats
            .iter()
            .find(|&seat| self.slots[seat as usize] == Slot::Free)
    }

    /// Returns how many slots are not free.
    pub(crate) fn busy_count(&self) -> usize {
        let busy = self.slots.iter().filter(|slot| **slot != Slot::Free);
        busy.count()
    }

    /// Returns whether the minion is ejected at `now`.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }
}

/// All minions that have ever been on the box list.
#[derive(Clone, Debug, Default)]
pub(crate) struct MinionTable {
    minions: PrimaryMap<Minion, MinionData>,
    by_name: HashMap<Name, Minion>,
}

impl MinionTable {
    /// Updates the minions from the complete box list.
    pub(crate) fn set_boxes(&mut self, boxes: &[BoxFacts]) {
        let listed: BTreeSet<&Name> = boxes.iter().map(|facts| &facts.name).collect();
        for data in self.minions.values_mut() {
            data.is_live &= listed.contains(&data.name);
        }
        for facts in boxes {
            self.set_box(facts);
        }
    }

    fn set_box(&mut self, facts: &BoxFacts) {
        let Some(&minion) = self.by_name.get(&facts.name) else {
            let minion = self.minions.push(MinionData::new(facts));
            self.by_name.insert(facts.name.clone(), minion);
            return;
        };
        let data = &mut self.minions[minion];
        data.is_live = facts.state == BoxState::Live;
        data.addr.clone_from(&facts.addr);
        data.serves.clone_from(&facts.serves);
    }

    /// Returns a minion's data.
    pub(crate) fn get(&self, minion: Minion) -> &MinionData {
        &self.minions[minion]
    }

    /// Iterates over the minions.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Minion, &MinionData)> {
        self.minions.iter()
    }

    /// Sets the state of a slot.
    pub(crate) fn set_slot(&mut self, minion: Minion, seat: u32, slot: Slot) {
        self.minions[minion].slots[seat as usize] = slot;
    }

    /// Frees slots whose quarantine has expired.
    pub(crate) fn end_quarantines(&mut self, now: Instant) {
        for data in self.minions.values_mut() {
            for slot in &mut data.slots {
                if matches!(slot, Slot::Quarantined(until) if now >= *until) {
                    *slot = Slot::Free;
                }
            }
        }
    }

    /// Returns whether the slots of `seat` are free at all minions.
    pub(crate) fn is_seat_idle(&self, seat: u32) -> bool {
        let mut slots = self.minions.values().map(|data| data.slots[seat as usize]);
        slots.all(|slot| slot == Slot::Free)
    }

    /// Records an answer of a minion and resets its failure counts.
    pub(crate) fn record_success(&mut self, minion: Minion) {
        let data = &mut self.minions[minion];
        data.failures_count = 0;
        data.ejections_count = 0;
    }

    /// Records a failure of a minion and ejects it after `eject_after_count`
    /// consecutive failures.
    ///
    /// At most `limit_percent` of the live minions are ejected at a time: if most
    /// minions fail, the cause is elsewhere.
    pub(crate) fn record_failure(
        &mut self,
        now: Instant,
        minion: Minion,
        eject_after_count: u32,
        eject_for: Duration,
        limit_percent: u32,
    ) {
        let live = self.minions.values().filter(|data| data.is_live);
        let live_count = live.clone().count();
        let ejected_count = live.filter(|data| data.is_ejected(now)).count();
        let is_below_limit = (ejected_count + 1) * 100 <= live_count * limit_percent as usize;
        let data = &mut self.minions[minion];
        data.failures_count += 1;
        if data.failures_count >= eject_after_count && is_below_limit {
            data.failures_count = 0;
            data.ejections_count = (data.ejections_count + 1).min(EJECTIONS_LIMIT);
            let length = eject_for.times(u64::from(data.ejections_count));
            data.ejected_until = Some(now + length);
        }
    }
}

/// The maximum duration of an ejection, as a multiple of the first.
const EJECTIONS_LIMIT: u32 = 6;
