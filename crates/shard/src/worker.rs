//! The shard's workers: capacity, usage, connection and listing.

use crate::entity::{Task, Worker};
use crate::free_index::FreeIndex;
use cranelift_entity::PrimaryMap;
use ospreywing_table::Policy;
use ospreywing_types::{AttemptId, BoxFacts, BoxState, Instant, Name, Resources};
use std::collections::{BTreeSet, HashMap};

/// An open connection to one incarnation of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Session {
    /// The connection's number.
    pub(crate) number: u64,
    /// The worker's incarnation.
    pub(crate) incarnation: u64,
    /// When a report was last requested.
    pub(crate) asked_at: Instant,
    /// When leases were last renewed.
    pub(crate) renewed_at: Instant,
}

/// The state of a worker in the platform's box list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Listing {
    /// In no list that this owner has received.
    Unseen,
    /// In the list and in service.
    Live,
    /// In the list and about to leave the cell.
    Leaving,
    /// In an earlier list, and absent from every list since the instant.
    Dropped(Instant),
}

/// One worker.
#[derive(Clone, Debug)]
pub(crate) struct WorkerData {
    pub(crate) name: Name,
    pub(crate) listing: Listing,
    pub(crate) capacity: Resources,
    pub(crate) used: Resources,
    /// The tasks with a recorded start on this worker.
    pub(crate) tasks: BTreeSet<Task>,
    pub(crate) session: Option<Session>,
    /// When the last connection closed; no order was sent after that.
    pub(crate) disconnected_since: Instant,
    /// Attempts whose end is recorded, which the worker may forget.
    pub(crate) forget: Vec<AttemptId>,
    is_indexed: bool,
}

impl WorkerData {
    fn new(name: &Name) -> Self {
        Self {
            name: name.clone(),
            listing: Listing::Unseen,
            capacity: Resources::ZERO,
            used: Resources::ZERO,
            tasks: BTreeSet::new(),
            session: None,
            disconnected_since: Instant::default(),
            forget: Vec::new(),
            is_indexed: false,
        }
    }

    /// Returns the free capacity.
    pub(crate) fn free(&self) -> Resources {
        self.capacity - self.used
    }

    /// Returns whether tasks may be placed on the worker.
    pub(crate) fn is_placeable(&self) -> bool {
        self.listing == Listing::Live && self.session.is_some()
    }

    const fn is_accelerated(&self) -> bool {
        self.capacity.accelerators_count > 0
    }
}

/// Every known worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerTable {
    workers: PrimaryMap<Worker, WorkerData>,
    by_name: HashMap<Name, Worker>,
    index: FreeIndex,
}

impl WorkerTable {
    /// Returns the worker named `name`, adding it if it is new.
    pub(crate) fn intern(&mut self, name: &Name) -> Worker {
        if let Some(worker) = self.by_name.get(name) {
            return *worker;
        }
        let worker = self.workers.push(WorkerData::new(name));
        self.by_name.insert(name.clone(), worker);
        worker
    }

    /// Returns the worker named `name`, if it is known.
    pub(crate) fn by_name(&self, name: &Name) -> Option<Worker> {
        self.by_name.get(name).copied()
    }

    /// Returns a worker's data.
    pub(crate) fn get(&self, worker: Worker) -> &WorkerData {
        &self.workers[worker]
    }

    /// Iterates over the workers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Worker, &WorkerData)> {
        self.workers.iter()
    }

    /// Returns every worker's key.
    pub(crate) fn keys(&self) -> impl Iterator<Item = Worker> {
        self.workers.keys()
    }

    /// Returns the number of workers on which tasks may be placed.
    pub(crate) fn placeable_count(&self) -> usize {
        self.index.len()
    }

    /// Changes a worker and updates the index of free capacity.
    pub(crate) fn update<R>(
        &mut self,
        worker: Worker,
        change: impl FnOnce(&mut WorkerData) -> R,
    ) -> R {
        let data = &mut self.workers[worker];
        if data.is_indexed {
            let is_accelerated = data.is_accelerated();
            self.index.remove(worker, &data.free(), is_accelerated);
        }
        let result = change(data);
        data.is_indexed = data.is_placeable();
        if data.is_indexed {
            let is_accelerated = data.is_accelerated();
            self.index.insert(worker, &data.free(), is_accelerated);
        }
        result
    }

    /// Applies a new box list, which holds all workers of this shard.
    pub(crate) fn set_boxes(&mut self, boxes: &[BoxFacts], now: Instant) {
        let listed: BTreeSet<&Name> = boxes.iter().map(|facts| &facts.name).collect();
        let dropped = |data: &WorkerData| {
            let was_listed = matches!(data.listing, Listing::Live | Listing::Leaving);
            was_listed && !listed.contains(&data.name)
        };
        let gone: Vec<Worker> = self
            .iter()
            .filter(|(_, data)| dropped(data))
            .map(|(worker, _)| worker)
            .collect();
        for worker in gone {
            self.update(worker, |data| data.listing = Listing::Dropped(now));
        }
        for facts in boxes {
            let worker = self.intern(&facts.name);
            self.update(worker, |data| set_facts(data, facts));
        }
    }

    /// Returns the worker on which to place `demand`, if one has the free capacity.
    pub(crate) fn find(&self, demand: &Resources, policy: Policy) -> Option<Worker> {
        let fits = |worker: Worker| demand.fits_in(&self.workers[worker].free());
        self.index.find(demand, policy, fits)
    }

    /// Returns whether `demand` fits the total capacity of some worker.
    pub(crate) fn fits_any_worker(&self, demand: &Resources) -> bool {
        self.workers
            .values()
            .any(|data| demand.fits_in(&data.capacity))
    }
}

fn set_facts(data: &mut WorkerData, facts: &BoxFacts) {
    data.capacity = facts.resources;
    data.listing = match facts.state {
        BoxState::Live => Listing::Live,
        BoxState::Leaving => Listing::Leaving,
    };
}
