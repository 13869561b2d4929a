//! State of one scheduling cycle: the workers' free capacity at its start, and the capacity
//! reserved for steps examined earlier in the cycle.

use crate::customers::CustomerKey;
use crate::deadline_selection::ResourceVector;
use crate::features::Feature;
use crate::headroom::Headroom;
use crate::packing::{Packing, Scarcity};
use crate::placement::PendingStep;
use crate::resource_totals::ResourceTotals;
use crate::scheduler::Scheduler;
use crate::shapes::Shape;
use crate::worker::{Worker, WorkerKey};
use ospreywing_types::{Instant, Resources};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A worker's free capacity at the start of a cycle.
#[derive(Clone, Copy, Debug)]
struct FreeWorker {
    worker: WorkerKey,
    /// Its free cores, in thousandths of a core.
    free_milli: u32,
}

/// All workers of one service that can accept runs.
#[derive(Debug)]
struct Pool {
    service: Arc<str>,
    /// Processors that are free and not yet reserved in this cycle, in thousandths of a core.
    unreserved_milli: i64,
    /// The element-wise maximum of the workers' capacities.
    largest: Resources,
    /// Whether workers differ in capacity or have accelerators.
    is_heterogeneous: bool,
    capacity: ResourceTotals,
    free: ResourceTotals,
    used: ResourceTotals,
    /// Packing data, or `None` if cores alone decide.
    packing: Option<Packing>,
}

impl Pool {
    /// Adds a worker that can accept runs.
    fn add_worker(&mut self, worker: &Worker) {
        let (capacity, free) = (&worker.facts.capacity, &worker.free());
        let is_first = self.largest.is_zero();
        self.is_heterogeneous |=
            capacity.accelerators_count > 0 || !is_first && *capacity != self.largest;
        self.largest = self.largest.max(*capacity);
        self.unreserved_milli += i64::from(free.cores_milli);
        self.capacity.add(capacity, 1);
        self.free.add(free, 1);
        self.used.add(&worker.used, 1);
    }

    /// Returns whether at least half of the cores and half of the accelerators are in use.
    /// Below that, work that fits is started at once.
    fn is_half_used(&self) -> bool {
        let [free_milli, _, free_accelerators] = self.free.parts();
        let [milli, _, accelerators] = self.capacity.parts();
        free_milli * 2 <= milli && free_accelerators * 2 <= accelerators
    }

    /// Returns data for packing tasks. Returns `None` if all workers have the same capacity and no
    /// accelerators, or if no task shapes are known.
    fn new_packing(&self, shapes: &[Shape]) -> Option<Packing> {
        if !self.is_heterogeneous || shapes.is_empty() {
            return None;
        }
        let scarcity = Scarcity::new(&self.capacity, &self.free, shapes);
        Some(Packing::new(scarcity, shapes))
    }
}

/// Capacity and usage of one service at the start of a cycle.
pub(crate) struct ServiceUsage<'a> {
    pub(crate) service: &'a Arc<str>,
    /// The total capacity of its workers.
    pub(crate) capacity: ResourceVector,
    used: ResourceVector,
}

impl ServiceUsage<'_> {
    /// Returns the used share of the capacity, of the resource with the highest share.
    pub(crate) fn used_share(&self) -> f64 {
        self.used.share_of(self.capacity)
    }
}

/// The state of one scheduling cycle, which examines the waiting steps.
#[derive(Debug, Default)]
pub(crate) struct SchedulingCycle {
    /// Workers grouped by service. There are few services, so lookups scan the list.
    pools: Vec<Pool>,
    /// Workers that can accept runs, sorted by descending free cores at the start of the
    /// cycle.
    by_free_cores: Vec<FreeWorker>,
    /// Capacity reserved on workers for waiting steps. Steps examined later in the cycle are less
    /// urgent and may not use it.
    reserved: BTreeMap<WorkerKey, Resources>,
    /// Capacity left free for the largest tasks of a service.
    headroom: BTreeMap<WorkerKey, Resources>,
    /// Parts of customers' limits claimed by waiting steps that were examined earlier.
    claimed_limits: BTreeMap<CustomerKey, Resources>,
    /// Customers whose limit reservation applies to the steps examined from here on.
    enforced_reservations: BTreeSet<CustomerKey>,
    /// Steps of single tasks that wait for workers, counted so far.
    pub(crate) waiting_steps_count: usize,
    /// Total and free cores of all workers that can accept runs, in thousandths of a core.
    pub(crate) capacity_milli: u64,
    pub(crate) free_milli: u64,
    /// Gangs that wait for capacity, counted so far.
    pub(crate) waiting_gangs_count: usize,
    /// Steps examined so far.
    pub(crate) examined_count: usize,
}

impl SchedulingCycle {
    /// Returns the workers that can accept runs, most free cores first.
    pub(crate) fn workers(&self) -> impl Iterator<Item = WorkerKey> + '_ {
        self.by_free_cores.iter().map(|free| free.worker)
    }

    /// Returns the workers that had enough free cores for a demand when the cycle began. Free
    /// capacity only shrinks during a cycle.
    pub(crate) fn workers_for(&self, demand: &Resources) -> impl Iterator<Item = WorkerKey> + '_ {
        self.freest_for(demand, 0)
    }

    /// Returns the same workers without the `skipped_count` fullest ones.
    pub(crate) fn freest_for(
        &self,
        demand: &Resources,
        skipped_count: usize,
    ) -> impl Iterator<Item = WorkerKey> + '_ {
        let workers = self.workers_with_cores(demand);
        let remaining_count = workers.len().saturating_sub(skipped_count);
        workers[..remaining_count].iter().map(|free| free.worker)
    }

    /// Returns the workers that had enough free cores for a demand, fullest first.
    pub(crate) fn fullest_for(&self, demand: &Resources) -> impl Iterator<Item = WorkerKey> + '_ {
        let workers = self.workers_with_cores(demand).iter().rev();
        workers.map(|free| free.worker)
    }

    fn workers_with_cores(&self, demand: &Resources) -> &[FreeWorker] {
        let needed_milli = demand.cores_milli;
        let workers_count = self
            .by_free_cores
            .partition_point(|free| free.free_milli >= needed_milli);
        &self.by_free_cores[..workers_count]
    }

    /// Claims a part of a customer's limit for a waiting step.
    pub(crate) fn claim_limit(&mut self, customer: CustomerKey, amount: Resources) {
        *self.claimed_limits.entry(customer).or_default() += amount;
    }

    /// Returns the part of a customer's limit claimed by waiting steps.
    pub(crate) fn claimed_limit(&self, customer: CustomerKey) -> Resources {
        let soft_reserved = self.claimed_limits.get(&customer);
        soft_reserved.copied().unwrap_or_default()
    }

    /// Applies a customer's limit reservation to the rest of the cycle.
    pub(crate) fn enforce_reservation(&mut self, customer: CustomerKey) {
        self.enforced_reservations.insert(customer);
    }

    /// Returns whether a customer's limit reservation applies.
    pub(crate) fn is_reservation_enforced(&self, customer: CustomerKey) -> bool {
        self.enforced_reservations.contains(&customer)
    }

    /// Reserves capacity on a worker for a waiting step.
    pub(crate) fn reserve_on(&mut self, worker: WorkerKey, amount: Resources) {
        *self.reserved.entry(worker).or_default() += amount;
    }

    /// Returns the capacity reserved on a worker in this cycle.
    pub(crate) fn reserved_on(&self, worker: WorkerKey) -> Resources {
        self.reserved.get(&worker).copied().unwrap_or_default()
    }

    /// Returns the headroom on a worker for the largest tasks of its service. Smaller deferrable
    /// tasks may not use it.
    pub(crate) fn headroom_on(&self, worker: WorkerKey) -> Resources {
        self.headroom.get(&worker).copied().unwrap_or_default()
    }

    /// Returns whether any capacity is reserved on a worker in this cycle.
    pub(crate) fn has_reservation_on(&self, worker: WorkerKey) -> bool {
        self.reserved.contains_key(&worker)
    }

    /// Returns the capacity on a worker that a step may not use, because it is reserved in this
    /// cycle for steps examined earlier.
    pub(crate) fn reserved_from(&self, pending: &PendingStep, worker: WorkerKey) -> Resources {
        if pending.ignores_reservations {
            Resources::ZERO
        } else {
            self.reserved_on(worker)
        }
    }

    /// Returns the number of workers with reserved capacity.
    pub(crate) fn reserved_workers_count(&self) -> usize {
        self.reserved.len()
    }

    /// Returns the element-wise maximum of the capacities of a service's workers.
    pub(crate) fn largest_capacity(&self, service: &Arc<str>) -> Resources {
        let pool = self.pool(service);
        pool.map_or(Resources::ZERO, |pool| pool.largest)
    }

    /// Returns packing data of a service, or `None` if cores alone decide.
    pub(crate) fn packing(&self, service: &Arc<str>) -> Option<&Packing> {
        self.pool(service).and_then(|pool| pool.packing.as_ref())
    }

    /// Returns whether capacity may be reserved for large tasks of a service: packing is in use,
    /// and at least half of the service's capacity is.
    pub(crate) fn may_reserve_for_large_tasks(&self, service: &Arc<str>) -> bool {
        let pool = self.pool(service);
        pool.is_some_and(|pool| pool.packing.is_some() && pool.is_half_used())
    }

    /// Returns whether at least half of a service's cores and half of its accelerators are in use.
    pub(crate) fn is_half_used(&self, service: &Arc<str>) -> bool {
        self.pool(service).is_some_and(Pool::is_half_used)
    }

    /// Returns a service's cores that are free and not yet reserved in this cycle, in
    /// thousandths of a core.
    pub(crate) fn unreserved_milli(&self, service: &Arc<str>) -> i64 {
        self.pool(service).map_or(0, |pool| pool.unreserved_milli)
    }

    /// Returns the total capacity of a service's workers.
    pub(crate) fn total_capacity(&self, service: &Arc<str>) -> ResourceTotals {
        self.pool(service)
            .map_or(ResourceTotals::default(), |pool| pool.capacity)
    }

    /// Returns how much of a service's capacity was free when the cycle began.
    pub(crate) fn total_free(&self, service: &Arc<str>) -> ResourceTotals {
        self.pool(service)
            .map_or(ResourceTotals::default(), |pool| pool.free)
    }

    /// Subtracts cores from those that are free and not yet reserved.
    pub(crate) fn subtract_unreserved(&mut self, service: &Arc<str>, reserved_milli: i64) {
        let mut pools = self.pools.iter_mut();
        if let Some(pool) = pools.find(|pool| pool.service == *service) {
            pool.unreserved_milli -= reserved_milli;
        }
    }

    /// Returns the capacity and usage of all services at the start of the cycle.
    pub(crate) fn service_usage(&self) -> impl Iterator<Item = ServiceUsage<'_>> {
        self.pools.iter().map(|pool| ServiceUsage {
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
                unreserved_milli: 0,
                largest: Resources::ZERO,
                is_heterogeneous: false,
                capacity: ResourceTotals::default(),
                free: ResourceTotals::default(),
                used: ResourceTotals::default(),
                packing: None,
            });
            self.pools.len() - 1
        });
        &mut self.pools[index]
    }

    /// Sets the headroom on a worker for the largest tasks of its service.
    pub(crate) fn set_headroom(&mut self, worker: WorkerKey, amount: Resources) {
        self.headroom.insert(worker, amount);
    }

    /// Returns the headroom needed for each service that is at least half used.
    pub(crate) fn wanted_headroom(&self) -> Vec<(Arc<str>, Headroom)> {
        let wanted = self.pools.iter().filter_map(|pool| {
            let largest = pool.packing.as_ref()?.largest()?;
            let capacity_count = pool.capacity.fit_count(&largest.demand);
            let headroom = Headroom::new(largest.demand, largest.per_s, capacity_count)?;
            pool.is_half_used()
                .then(|| (pool.service.clone(), headroom))
        });
        wanted.collect()
    }

    /// Returns the number of workers that can accept runs.
    pub(crate) const fn workers_count(&self) -> usize {
        self.by_free_cores.len()
    }
}

/// Results of a cycle, for metrics.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CycleSummary {
    pub(crate) reserved_workers_count: usize,
    pub(crate) waiting_gangs_count: usize,
}

impl Scheduler {
    /// Starts a cycle from the current state of the workers.
    pub(crate) fn new_cycle(&self, now: Instant) -> SchedulingCycle {
        let mut cycle = SchedulingCycle::default();
        for (key, worker) in self.workers.iter() {
            if worker.is_placeable(now) {
                cycle.by_free_cores.push(FreeWorker {
                    worker: key,
                    free_milli: worker.free().cores_milli,
                });
                cycle.capacity_milli += u64::from(worker.facts.capacity.cores_milli);
                cycle.free_milli += u64::from(worker.free().cores_milli);
                let pool = cycle.pool_mut(&worker.facts.service);
                pool.add_worker(worker);
            }
        }
        if self.config.features.has(Feature::Packing) {
            for pool in &mut cycle.pools {
                pool.packing = pool.new_packing(self.shapes.of(&pool.service));
            }
        }
        cycle
            .by_free_cores
            .sort_unstable_by_key(|free| (Reverse(free.free_milli), free.worker));
        self.reserve_headroom(&mut cycle);
        cycle
    }
}
