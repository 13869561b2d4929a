//! Room for the largest tasks that come to a service: smaller tasks that can wait leave as
//! much whole as the largest ones that come in a short time need.

use crate::cycle::SchedulingCycle;
use crate::packing::fit_in;
use crate::placing::PendingStep;
use crate::scheduler::Scheduler;
use ospreywing_types::{Duration, Instant, Resources};

/// Room is kept for the largest tasks that come within so long: about the time in which
/// ends of runs bring as much new room.
const KEPT_TIME: Duration = Duration::from_ms(6000);
/// The part of the largest tasks that a service holds for which room is kept, at most: the
/// rest is for whoever comes first.
const KEPT_SHARE: f64 = 0.25;

/// The room to be kept whole in one service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WholeRooms {
    pub(crate) demand: Resources,
    pub(crate) left_count: u32,
}

impl WholeRooms {
    /// Returns how much is to be kept where so many tasks of the largest shape fit into the
    /// empty workers and so many come within a time; `None` for nothing.
    pub(crate) fn new(demand: Resources, expected_per_s: f64, held_count: u64) -> Option<Self> {
        let expected = expected_per_s * KEPT_TIME.as_ms() as f64 / 1000.0;
        let most = held_count as f64 * KEPT_SHARE;
        let left_count = expected.min(most).round() as u32;
        (left_count > 0).then_some(Self { demand, left_count })
    }
}

impl Scheduler {
    /// Keeps room for the largest tasks on the freest workers of each service that is half
    /// used.
    pub(crate) fn keep_whole_rooms(&self, cycle: &mut SchedulingCycle) {
        let mut wanted = cycle.wanted_whole_rooms();
        if wanted.is_empty() {
            return;
        }
        let workers: Vec<_> = cycle.workers().collect();
        for key in workers {
            let worker = &self.workers[key];
            let mut of_service = wanted.iter_mut();
            let found = of_service.find(|(service, _)| *service == worker.facts.service);
            let Some((_, rooms)) = found.filter(|(_, rooms)| rooms.left_count > 0) else {
                continue;
            };
            let count = fit_in(&worker.free(), &rooms.demand).min(rooms.left_count);
            if count > 0 {
                cycle.keep_whole_room(key, rooms.demand.times(count));
                rooms.left_count -= count;
            }
        }
    }

    /// Returns whether a step leaves the room that is kept for the largest tasks: it is
    /// smaller, its job has time to spare, and it does not run for ever.
    pub(crate) fn leaves_whole_room(
        &self,
        now: Instant,
        pending: &PendingStep,
        cycle: &SchedulingCycle,
    ) -> bool {
        let Some(packing) = cycle.packing(&pending.service) else {
            return false;
        };
        let Some(largest) = packing.largest() else {
            return false;
        };
        let is_smaller = packing.is_smaller(&pending.demand, &largest.demand);
        let has_end = !pending.spec().is_perpetual;
        is_smaller && has_end && self.is_patient(now, pending.key.job)
    }
}
