//! How broken up the free room of each service is, for operators.

use crate::dominant::Room;
use crate::packing::{count_fitting, Packing, Scarcity};
use crate::scheduler::Scheduler;
use ospreywing_types::{Instant, Resources};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The free room of one service, seen by the shapes of the tasks that came to it lately.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceFragmentation {
    /// The service.
    pub service: Arc<str>,
    /// The largest of the shapes that fits somewhere; nothing where none does.
    pub largest_fit: Resources,
    /// How many tasks of it fit.
    pub fit_count: u64,
    /// The part of the free room, by accelerators or else by processors, in which the
    /// largest of the shapes fits, in percent.
    pub usable_percent: u32,
}

/// What the workers of a service that may take a run hold, and what of it is free.
#[derive(Debug, Default)]
struct FreeCapacity {
    capacity: Room,
    free: Room,
    free_by_worker: Vec<Resources>,
}

impl FreeCapacity {
    fn fit_count(&self, demand: &Resources) -> u64 {
        let free_by_worker = self.free_by_worker.iter();
        free_by_worker
            .map(|capacity| u64::from(count_fitting(capacity, demand)))
            .sum()
    }

    /// Returns the part of the free room that so many tasks of a demand take, in percent.
    fn percent(&self, demand: &Resources, count: u64) -> u32 {
        let (taken, free) = if demand.accelerators_count > 0 {
            (demand.accelerators_count, self.free.accelerators_count)
        } else {
            (demand.cores_milli, self.free.cores_milli)
        };
        let percent = u64::from(taken).saturating_mul(count).saturating_mul(100);
        percent.checked_div(free).unwrap_or(0).min(100) as u32
    }
}

impl Scheduler {
    /// Returns how broken up the free room of each service is to which tasks came lately.
    pub(crate) fn fragmentation(&self, now: Instant) -> Vec<ServiceFragmentation> {
        let mut by_service: BTreeMap<Arc<str>, FreeCapacity> = BTreeMap::new();
        for worker in self.workers.values().filter(|it| it.is_placeable(now)) {
            let free = worker.free();
            let of_service = by_service.entry(worker.facts.service.clone()).or_default();
            of_service.capacity.add(&worker.facts.capacity, 1);
            of_service.free.add(&free, 1);
            of_service.free_by_worker.push(free);
        }
        let free_by_worker = by_service.into_iter();
        free_by_worker
            .filter_map(|(service, capacity)| self.fragmentation_of(service, &capacity))
            .collect()
    }

    fn fragmentation_of(
        &self,
        service: Arc<str>,
        capacity: &FreeCapacity,
    ) -> Option<ServiceFragmentation> {
        let shapes = self.shapes.of(&service);
        let scarcity = Scarcity::new(&capacity.capacity, &capacity.free, shapes);
        let by_size = Packing::new(scarcity, shapes).largest_first();
        let largest = by_size.first()?;
        let usable_percent = capacity.percent(largest, capacity.fit_count(largest));
        let fitting = by_size
            .iter()
            .map(|shape| (*shape, capacity.fit_count(shape)));
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
