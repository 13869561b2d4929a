//! An index of workers by their free processors.

use crate::entity::Worker;
use ospreywing_table::Policy;
use ospreywing_types::Resources;
use std::collections::BTreeSet;

/// An entry of the index, ordered by free processors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Slot {
    cores_milli: u32,
    worker: Worker,
}

/// The workers on which tasks may be placed.
///
/// Workers with accelerators are kept in a set of their own, so that tasks
/// without accelerators are placed there only when no other worker fits.
#[derive(Clone, Debug, Default)]
pub(crate) struct FreeIndex {
    plain: BTreeSet<Slot>,
    accelerated: BTreeSet<Slot>,
}

impl FreeIndex {
    /// Adds a worker with the free capacity `free`.
    pub(crate) fn insert(&mut self, worker: Worker, free: &Resources, is_accelerated: bool) {
        self.set_of(is_accelerated).insert(slot(worker, free));
    }

    /// Removes a worker that was added with the free capacity `free`.
    pub(crate) fn remove(&mut self, worker: Worker, free: &Resources, is_accelerated: bool) {
        self.set_of(is_accelerated).remove(&slot(worker, free));
    }

    /// Returns the number of workers in the index.
    pub(crate) fn len(&self) -> usize {
        self.plain.len() + self.accelerated.len()
    }

    /// Returns the worker on which to place `demand`, if one has the free capacity.
    ///
    /// `fits` returns whether a worker's free capacity covers all of `demand`.
    pub(crate) fn find(
        &self,
        demand: &Resources,
        policy: Policy,
        fits: impl Fn(Worker) -> bool,
    ) -> Option<Worker> {
        if demand.accelerators_count == 0 {
            let plain = find_in(&self.plain, demand, policy, &fits);
            if plain.is_some() {
                return plain;
            }
        }
        find_in(&self.accelerated, demand, policy, &fits)
    }

    fn set_of(&mut self, is_accelerated: bool) -> &mut BTreeSet<Slot> {
        if is_accelerated {
            &mut self.accelerated
        } else {
            &mut self.plain
        }
    }
}

fn slot(worker: Worker, free: &Resources) -> Slot {
    Slot {
        cores_milli: free.cores_milli,
        worker,
    }
}

fn find_in(
    slots: &BTreeSet<Slot>,
    demand: &Resources,
    policy: Policy,
    fits: &impl Fn(Worker) -> bool,
) -> Option<Worker> {
    let min_slot = Slot {
        cores_milli: demand.cores_milli,
        worker: Worker::from_u32(0),
    };
    let mut candidates = slots.range(min_slot..).map(|slot| slot.worker);
    match policy {
        Policy::Packing => candidates.find(|&worker| fits(worker)),
        Policy::Waiting => candidates.rfind(|&worker| fits(worker)),
    }
}
