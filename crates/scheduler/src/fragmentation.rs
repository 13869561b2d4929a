//! Fragmentation of each service's free capacity, for operators.

use crate::packing::{count_fitting, Packing, Scarcity};
use crate::resource_totals::ResourceTotals;
use crate::scheduler::Scheduler;
use ospreywing_types::{Instant, Resources};
use std::collections::BTreeMap;
use std::sync::Arc;

/// How well the free capacity of a service fits the shapes of its recent tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceFragmentation {
    /// The service.
    pub service: Arc<str>,
    /// The largest shape that fits on a worker; zero if none does.
    pub largest_fit: Resources,
    /// How many tasks of that shape fit.
    pub fit_count: u64,
    /// The percentage of the free capacity that tasks of the largest recent shape can use, measured
    /// in accelerators if the shape needs them, otherwise in cores.
    pub usable_percent: u32,
}

/// The capacity of a service's workers that can accept runs, and its free part.
#[derive(Debug, Default)]
struct FreeCapacity {
    capacity: ResourceTotals,
    free: ResourceTotals,
    free_by_worker: Vec<Resources>,
}

impl FreeCapacity {
    fn fit_count(&self, demand: &Resources) -> u64 {
        let workers = self.free_by_worker.iter();
        workers
            .map(|free| u64::from(count_fitting(free, demand)))
            .sum()
    }

    /// Returns the percentage of the free capacity that `count` tasks of a demand use.
    fn percent(&self, demand: &Resources, count: u64) -> u32 {
        let (used, free) = if demand.accelerators_count > 0 {
            (demand.accelerators_count, self.free.accelerators_count)
        } else {
            (demand.cores_milli, self.free.cores_milli)
        };
        let percent = u64::from(used).saturating_mul(count).saturating_mul(100);
        percent.checked_div(free).unwrap_or(0).min(100) as u32
    }
}

impl Scheduler {
    /// Returns the fragmentation of each service's free capacity.
    pub(crate) fn fragmentation(&self, now: Instant) -> Vec<ServiceFragmentation> {
        let mut by_service: BTreeMap<Arc<str>, FreeCapacity> = BTreeMap::new();
        for worker in self.workers.values().filter(|it| it.is_placeable(now)) {
            let free = worker.free();
            let of_service = by_service.entry(worker.facts.service.clone()).or_default();
            of_service.capacity.add(&worker.facts.capacity, 1);
            of_service.free.add(&free, 1);
            of_service.free_by_worker.push(free);
        }
        let services = by_service.into_iter();
        services
            .filter_map(|(service, free_capacity)| self.fragmentation_of(service, &free_capacity))
            .collect()
    }

    fn fragmentation_of(
        &self,
        service: Arc<str>,
        free_capacity: &FreeCapacity,
    ) -> Option<ServiceFragmentation> {
        let shapes = self.shapes.of(&service);
        let scarcity = Scarcity::new(&free_capacity.capacity, &free_capacity.free, shapes);
        let by_size = Packing::new(scarcity, shapes).largest_first();
        let largest = by_size.first()?;
        let usable_percent = free_capacity.percent(largest, free_capacity.fit_count(largest));
        let fitting = by_size
            .iter()
            .map(|shape| (*shape, free_capacity.fit_count(shape)));
        let (largest_fit, fit_count) = fitting
            .into_iter()
            .find(|(_, count)| *count > 0)
            .unwrap_or_default();
        Some(ServiceFragmentation {
            service,
            largest_fit,
            fit_count,
            usable_percent,
        })
    }
}
