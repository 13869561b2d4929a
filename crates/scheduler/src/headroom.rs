//! Room for the largest tasks that come to a service: smaller tasks that can wait leave as
//! much whole as the largest ones that come in a short time need.

use crate::cycle::SchedulingCycle;
use crate::packing::count_fitting;
use crate::placement::PendingStep;
use crate::scheduler::Scheduler;
use ospreywing_types::{Duration, Instant, Resources};

/// Room is kept for the largest tasks that come within so long: about the time in which
/// ends of runs bring as much new room.
const HEADROOM_PERIOD: Duration = Duration::from_ms(6000);
/// The part of the largest tasks that a service holds for which room is kept, at most: the
/// rest is for whoever comes first.
const HEADROOM_LIMIT_SHARE: f64 = 0.25;

/// The room to be kept whole in one service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Headroom {
    pub(crate) demand: Resources,
    pub(crate) remaining_count: u32,
}

impl Headroom {
    /// Returns how much is to be kept where so many tasks of the largest shape fit into the
    /// empty workers and so many come within a time; `None` for nothing.
    pub(crate) fn new(demand: Resources, expected_per_s: f64, capacity_count: u64) -> Option<Self> {
        let expected = expected_per_s * HEADROOM_PERIOD.as_ms() as f64 / 1000.0;
        let most = capacity_count as f64 * HEADROOM_LIMIT_SHARE;
        let remaining_count = expected.min(most).round() as u32;
        (remaining_count > 0).then_some(Self {
            demand,
            remaining_count,
        })
    }
}

impl Scheduler {
    /// Keeps room for the largest tasks on the freest workers of each service that is half
    /// used.
    pub(crate) fn reserve_headroom(&self, cycle: &mut SchedulingCycle) {
        let mut wanted = cycle.wanted_headroom();
        if wanted.is_empty() {
            return;
        }
        let workers: Vec<_> = cycle.workers().collect();
        for key in workers {
            let worker = &self.workers[key];
            let mut of_service = wanted.iter_mut();
            let headroom = of_service.find(|(service, _)| *service == worker.facts.service);
            let Some((_, headroom)) = headroom.filter(|(_, headroom)| headroom.remaining_count > 0)
            else {
                continue;
            };
            let count =
                count_fitting(&worker.free(), &headroom.demand).min(headroom.remaining_count);
            if count > 0 {
                cycle.set_headroom(key, headroom.demand.times(count));
                headroom.remaining_count -= count;
            }
        }
    }

    /// Returns whether a step leaves the room that is kept for the largest tasks: it is
    /// smaller, its job has time to spare, and it does not run for ever.
    pub(crate) fn must_leave_headroom(
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
        is_smaller && has_end && self.is_deferrable(now, pending.key.job)
    }
}
