//! One scheduling cycle: the free workers as it begins, and the room that steps
//! served earlier in it have asked for or keep.

use crate::customers::CustomerKey;
use crate::deadline_selection::ResourceVector;
use crate::features::Feature;
use crate::packing::{Packing, Scarcity};
use crate::resource_totals::ResourceTotals;
use crate::scheduler::Scheduler;
use crate::shapes::Shape;
use crate::whole_rooms::WholeRooms;
use crate::worker::{Worker, WorkerKey};
use ospreywing_types::{Instant, Resources};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A worker as it was when a cycle began.
#[derive(Clone, Copy, Debug)]
struct FreeWorker {
    worker: WorkerKey,
    /// Its free processors, in thousandths of a core.
    free_milli: u32,
}

/// The workers of one service that may take a run.
#[derive(Debug)]
struct Pool {
    service: Arc<str>,
    /// The processors that are free and not yet asked for, in thousandths of a
    /// core.
    room_milli: i64,
    /// The most that any of them holds.
    largest: Resources,
    /// Whether they hold accelerators, or not all of them the same.
    is_uneven: bool,
    capacity: ResourceTotals,
    free: ResourceTotals,
    used: ResourceTotals,
    /// How tasks are packed, where that is more than by processors.
    packing: Option<Packing>,
}

impl Pool {
    /// Adds a worker that may take a run.
    fn note(&mut self, worker: &Worker) {
        let (capacity, free) = (&worker.facts.capacity, &worker.free());
        let is_first = self.largest.is_zero();
        self.is_uneven |= capacity.accelerators_count > 0 || !is_first && *capacity != self.largest;
        self.largest = self.largest.max(*capacity);
        self.room_milli += i64::from(free.cores_milli);
        self.capacity.add(capacity, 1);
        self.free.add(free, 1);
        self.used.add(&worker.used, 1);
    }

    /// Returns whether half of the processors and half of the accelerators are used: below
    /// that, whatever has room is started at once.
    fn is_half_used(&self) -> bool {
        let [free_milli, _, free_accelerators] = self.free.parts();
        let [milli, _, accelerators] = self.capacity.parts();
        free_milli * 2 <= milli && free_accelerators * 2 <= accelerators
    }

    /// Returns how tasks are packed; `None` where all workers are alike and hold no
    /// accelerators, or nothing is known of what comes.
    fn new_packing(&self, shapes: &[Shape]) -> Option<Packing> {
        if !self.is_uneven || shapes.is_empty() {
            return None;
        }
        let scarcity = Scarcity::new(&self.capacity, &self.free, shapes);
        Some(Packing::new(scarcity, shapes))
    }
}

/// The room of one service, as it was when a cycle began.
pub(crate) struct ServiceRoom<'a> {
    pub(crate) service: &'a Arc<str>,
    /// What its workers hold.
    pub(crate) capacity: ResourceVector,
    used: ResourceVector,
}

impl ServiceRoom<'_> {
    /// Returns the part of the room that is taken, by the scarcest resource.
    pub(crate) fn used_share(&self) -> f64 {
        self.used.share_of(self.capacity)
    }
}

/// The state of one scheduling cycle, in which every waiting step is looked at.
#[derive(Debug, Default)]
pub(crate) struct SchedulingCycle {
    /// The workers of each service, taken together. There are few services, so
    /// the list is searched.
    pools: Vec<Pool>,
    /// The workers that may take a run, those with most room first, as they
    /// were when the cycle began.
    by_room: Vec<FreeWorker>,
    /// Room that is kept on workers for steps that wait for it: steps that come
    /// later in the cycle are less urgent and don't take it.
    kept: BTreeMap<WorkerKey, Resources>,
    /// Room that is kept for the largest tasks that come to a service.
    whole_rooms: BTreeMap<WorkerKey, Resources>,
    /// What of customers' limits steps wait to start that were looked at before.
    claimed_limits: BTreeMap<CustomerKey, Resources>,
    /// The customers whose reservation of their limit holds back what is looked at from
    /// here on.
    kept_limits: BTreeSet<CustomerKey>,
    /// The steps of single tasks that wait for workers so far.
    pub(crate) waiting_steps_count: usize,
    /// What all workers that may take a run hold, and what of it is free, in
    /// thousandths of a core.
    pub(crate) capacity_milli: u64,
    pub(crate) free_milli: u64,
    /// The gangs that wait for room so far.
    pub(crate) waiting_gangs_count: usize,
    /// The steps that were looked at so far.
    pub(crate) examined_count: usize,
}

impl SchedulingCycle {
    /// Returns the workers that may take a run, those with most room first.
    pub(crate) fn workers(&self) -> impl Iterator<Item = WorkerKey> + '_ {
        self.by_room.iter().map(|free| free.worker)
    }

    /// Returns those of them that had room for a demand: a cycle only takes room.
    pub(crate) fn workers_for(&self, demand: &Resources) -> impl Iterator<Item = WorkerKey> + '_ {
        self.freest_for(demand, 0)
    }

    /// Returns the same without so many of the fullest.
    pub(crate) fn freest_for(
        &self,
        demand: &Resources,
        skipped_count: usize,
    ) -> impl Iterator<Item = WorkerKey> + '_ {
        let able = self.able_for(demand);
        let left_count = able.len().saturating_sub(skipped_count);
        able[..left_count].iter().map(|free| free.worker)
    }

    /// Returns the workers that had room for a demand, the fullest first.
    pub(crate) fn fullest_for(&self, demand: &Resources) -> impl Iterator<Item = WorkerKey> + '_ {
        let able = self.able_for(demand).iter().rev();
        able.map(|free| free.worker)
    }

    fn able_for(&self, demand: &Resources) -> &[FreeWorker] {
        let needed_milli = demand.cores_milli;
        let able_count = self
            .by_room
            .partition_point(|free| free.free_milli >= needed_milli);
        &self.by_room[..able_count]
    }

    /// Takes a part of a customer's limit for a step that waits to start.
    pub(crate) fn claim_limit(&mut self, customer: CustomerKey, amount: Resources) {
        *self.claimed_limits.entry(customer).or_default() += amount;
    }

    /// Returns what of a customer's limit steps wait to start.
    pub(crate) fn claimed_limit(&self, customer: CustomerKey) -> Resources {
        let claimed = self.claimed_limits.get(&customer);
        claimed.copied().unwrap_or_default()
    }

    /// Brings a customer's reservation into force for the rest of the cycle.
    pub(crate) fn keep_limit(&mut self, customer: CustomerKey) {
        self.kept_limits.insert(customer);
    }

    /// Returns whether a customer's reservation is in force.
    pub(crate) fn is_limit_kept(&self, customer: CustomerKey) -> bool {
        self.kept_limits.contains(&customer)
    }

    /// Keeps room on a worker for a step that waits for it.
    pub(crate) fn keep_room(&mut self, worker: WorkerKey, room: Resources) {
        *self.kept.entry(worker).or_default() += room;
    }

    /// Returns the room that is kept on a worker.
    pub(crate) fn kept_room(&self, worker: WorkerKey) -> Resources {
        self.kept.get(&worker).copied().unwrap_or_default()
    }

    /// Returns the room that is kept on a worker for the largest tasks of its service, which
    /// smaller ones leave that can wait.
    pub(crate) fn whole_room(&self, worker: WorkerKey) -> Resources {
        self.whole_rooms.get(&worker).copied().unwrap_or_default()
    }

    /// Returns whether room is kept on a worker.
    pub(crate) fn is_kept(&self, worker: WorkerKey) -> bool {
        self.kept.contains_key(&worker)
    }

    /// Returns on how many workers room is kept.
    pub(crate) fn kept_workers_count(&self) -> usize {
        self.kept.len()
    }

    /// Returns the most that any worker of a service holds.
    pub(crate) fn largest_of(&self, service: &Arc<str>) -> Resources {
        let pool = self.pool(service);
        pool.map_or(Resources::ZERO, |pool| pool.largest)
    }

    /// Returns how tasks of a service are packed, where that is more than by processors.
    pub(crate) fn packing(&self, service: &Arc<str>) -> Option<&Packing> {
        self.pool(service).and_then(|pool| pool.packing.as_ref())
    }

    /// Returns whether room may be kept for the largest tasks of a service: it is packed, and
    /// half used.
    pub(crate) fn keeps_room(&self, service: &Arc<str>) -> bool {
        let pool = self.pool(service);
        pool.is_some_and(|pool| pool.packing.is_some() && pool.is_half_used())
    }

    /// Returns the processors of a service's workers that are free and not yet
    /// asked for, in thousandths of a core.
    pub(crate) fn room_milli(&self, service: &Arc<str>) -> i64 {
        self.pool(service).map_or(0, |pool| pool.room_milli)
    }

    /// Returns what a service's workers hold together.
    pub(crate) fn capacity_of(&self, service: &Arc<str>) -> ResourceTotals {
        self.pool(service)
            .map_or(ResourceTotals::default(), |pool| pool.capacity)
    }

    /// Returns what of it was free when the cycle began.
    pub(crate) fn free_of(&self, service: &Arc<str>) -> ResourceTotals {
        self.pool(service)
            .map_or(ResourceTotals::default(), |pool| pool.free)
    }

    /// Takes processors off what is free and not yet asked for.
    pub(crate) fn take_room(&mut self, service: &Arc<str>, taken_milli: i64) {
        let mut pools = self.pools.iter_mut();
        if let Some(pool) = pools.find(|pool| pool.service == *service) {
            pool.room_milli -= taken_milli;
        }
    }

    /// Returns the rooms of all services, as they were when the cycle began.
    pub(crate) fn rooms(&self) -> impl Iterator<Item = ServiceRoom<'_>> {
        self.pools.iter().map(|pool| ServiceRoom {
            service: &pool.service,
            capacity: ResourceVector::from_totals(&pool.capacity),
            used: ResourceVector::from_totals(&pool.used),
        })
    }

    fn pool(&self, service: &Arc<str>) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.service == *service)
    }

    fn pool_mut(&mut self, service: &Arc<str>) -> &mut Pool {
        let found = self.pools.iter().position(|pool| pool.service == *service);
        let index = found.unwrap_or_else(|| {
            self.pools.push(Pool {
                service: service.clone(),
                room_milli: 0,
                largest: Resources::ZERO,
                is_uneven: false,
                capacity: ResourceTotals::default(),
                free: ResourceTotals::default(),
                used: ResourceTotals::default(),
                packing: None,
            });
            self.pools.len() - 1
        });
        &mut self.pools[index]
    }

    /// Keeps room on a worker for the largest tasks that come.
    pub(crate) fn keep_whole_room(&mut self, worker: WorkerKey, room: Resources) {
        self.whole_rooms.insert(worker, room);
    }

    /// Returns what each service that is half used should keep for its largest tasks.
    pub(crate) fn wanted_whole_rooms(&self) -> Vec<(Arc<str>, WholeRooms)> {
        let wanted = self.pools.iter().filter_map(|pool| {
            let largest = pool.packing.as_ref()?.largest()?;
            let held_count = pool.capacity.fit_count(&largest.demand);
            let rooms = WholeRooms::new(largest.demand, largest.per_s, held_count)?;
            pool.is_half_used().then(|| (pool.service.clone(), rooms))
        });
        wanted.collect()
    }

    /// Returns how many workers may take a run.
    pub(crate) const fn workers_count(&self) -> usize {
        self.by_room.len()
    }
}

/// What a cycle ended with, for metrics.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CycleSummary {
    pub(crate) awaited_workers_count: usize,
    pub(crate) waiting_gangs_count: usize,
}

impl Scheduler {
    /// Begins a cycle.
    pub(crate) fn new_cycle(&self, now: Instant) -> SchedulingCycle {
        let mut cycle = SchedulingCycle::default();
        for (key, worker) in self.workers.iter() {
            if worker.is_placeable(now) {
                cycle.by_room.push(FreeWorker {
                    worker: key,
                    free_milli: worker.free().cores_milli,
                });
                cycle.capacity_milli += u64::from(worker.facts.capacity.cores_milli);
                cycle.free_milli += u64::from(worker.free().cores_milli);
                let pool = cycle.pool_mut(&worker.facts.service);
                pool.note(worker);
            }
        }
        if self.config.features.has(Feature::Packing) {
            for pool in &mut cycle.pools {
                pool.packing = pool.new_packing(self.shapes.of(&pool.service));
            }
        }
        cycle
            .by_room
            .sort_unstable_by_key(|free| (Reverse(free.free_milli), free.worker));
        self.keep_whole_rooms(&mut cycle);
        cycle
    }
}
