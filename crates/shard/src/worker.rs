//! The shard's workers, what they hold and what they are given.

use crate::entity::{Task, Worker};
use crate::free_index::FreeIndex;
use cranelift_entity::PrimaryMap;
use ospreywing_table::Policy;
use ospreywing_types::{AttemptId, BoxFacts, BoxState, Instant, Name, Resources};
use std::collections::{BTreeSet, HashMap};

/// An open connection to one run of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Session {
    /// The connection's number.
    pub(crate) number: u64,
    /// The run of the worker.
    pub(crate) incarnation: u64,
    /// When it was last asked for a report.
    pub(crate) asked_at: Instant,
    /// When leases were last renewed.
    pub(crate) renewed_at: Instant,
}

/// Where a worker stands in the platform's box list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Listing {
    /// Not in any list that this owner has seen.
    Unseen,
    /// In the list and in service.
    Live,
    /// In the list and leaving.
    Leaving,
    /// In an earlier list, and not in the newest since the instant.
    Dropped(Instant),
}

/// One worker.
#[derive(Clone, Debug)]
pub(crate) struct WorkerData {
    pub(crate) name: Name,
    pub(crate) listing: Listing,
    pub(crate) capacity: Resources,
    pub(crate) used: Resources,
    /// The tasks whose recorded start names this worker.
    pub(crate) tasks: BTreeSet<Task>,
    pub(crate) session: Option<Session>,
    /// When the last connection closed; nothing was sent after that.
    pub(crate) disconnected_since: Instant,
    /// Ended attempts that are on record and may be forgotten.
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

    /// Returns the room left.
    pub(crate) fn free(&self) -> Resources {
        self.capacity - self.used
    }

    /// Returns whether the worker may be given new work.
    pub(crate) fn is_placeable(&self) -> bool {
        self.listing == Listing::Live && self.session.is_some()
    }

    const fn is_accelerated(&self) -> bool {
        self.capacity.accelerators_count > 0
    }
}

/// Every worker that the owner has heard of.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerTable {
    workers: PrimaryMap<Worker, WorkerData>,
    by_name: HashMap<Name, Worker>,
    index: FreeIndex,
}

impl WorkerTable {
    /// Returns the worker named `name`, adding it where it is new.
    pub(crate) fn intern(&mut self, name: &Name) -> Worker {
        if let Some(worker) = self.by_name.get(name) {
            return *worker;
        }
        let worker = self.workers.push(WorkerData::new(name));
        self.by_name.insert(name.clone(), worker);
        worker
    }

    /// Returns the worker named `name`.
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

    /// Returns the number of workers that may be given work.
    pub(crate) fn placeable_count(&self) -> usize {
        self.index.len()
    }

    /// Changes a worker and keeps the index of free room in step.
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

    /// Takes in the box list: the workers of this shard, all of them.
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

    /// Returns the worker to give `need` to, where one has room.
    pub(crate) fn find(&self, need: &Resources, policy: Policy) -> Option<Worker> {
        let fits = |worker: Worker| need.fits_in(&self.workers[worker].free());
        self.index.find(need, policy, fits)
    }

    /// Returns whether some listed worker could hold `need` when empty.
    pub(crate) fn fits_any_worker(&self, need: &Resources) -> bool {
        self.workers
            .values()
            .any(|data| need.fits_in(&data.capacity))
    }
}

fn set_facts(data: &mut WorkerData, facts: &BoxFacts) {
    data.capacity = facts.resources;
    data.listing = match facts.state {
        BoxState::Live => Listing::Live,
        BoxState::Leaving => Listing::Leaving,
    };
}
