//! How broken up the free room of each service is, for operators.

use crate::packing::{fit_in, Packing, Scarcity};
use crate::resource_totals::ResourceTotals;
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
    pub whole_percent: u32,
}

/// What the workers of a service that may take a run hold, and what of it is free.
#[derive(Debug, Default)]
struct FreeRoom {
    capacity: ResourceTotals,
    free: ResourceTotals,
    rooms: Vec<Resources>,
}

impl FreeRoom {
    fn fit_count(&self, demand: &Resources) -> u64 {
        let rooms = self.rooms.iter();
        rooms.map(|room| u64::from(fit_in(room, demand))).sum()
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
    pub(crate) fn service_rooms(&self, now: Instant) -> Vec<ServiceFragmentation> {
        let mut by_service: BTreeMap<Arc<str>, FreeRoom> = BTreeMap::new();
        for worker in self.workers.values().filter(|it| it.is_placeable(now)) {
            let free = worker.free();
            let of_service = by_service.entry(worker.facts.service.clone()).or_default();
            of_service.capacity.add(&worker.facts.capacity, 1);
            of_service.free.add(&free, 1);
            of_service.rooms.push(free);
        }
        let rooms = by_service.into_iter();
        rooms
            .filter_map(|(service, room)| self.service_room(service, &room))
            .collect()
    }

    fn service_room(&self, service: Arc<str>, room: &FreeRoom) -> Option<ServiceFragmentation> {
        let shapes = self.shapes.of(&service);
        let scarcity = Scarcity::new(&room.capacity, &room.free, shapes);
        let by_size = Packing::new(scarcity, shapes).largest_first();
        let largest = by_size.first()?;
        let whole_percent = room.percent(largest, room.fit_count(largest));
        let fitting = by_size.iter().map(|shape| (*shape, room.fit_count(shape)));
        let (largest_fit, fit_count) = fitting
            .into_iter()
            .find(|(_, count)| *count > 0)
            .unwrap_or_default();
        Some(ServiceFragmentation {
            service,
            largest_fit,
            fit_count,
            whole_percent,
        })
    }
}
