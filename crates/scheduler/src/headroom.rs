//! Headroom for the largest tasks of a service: smaller deferrable tasks leave as much capacity
//! free as the largest tasks arriving within a short time need.

use crate::cycle::SchedulingCycle;
use crate::packing::count_fitting;
use crate::placement::PendingStep;
use crate::scheduler::Scheduler;
use ospreywing_types::{Duration, Instant, Resources};

/// Headroom covers the largest tasks expected within this time, in which ending runs free about as
/// much capacity again.
const HEADROOM_PERIOD: Duration = Duration::from_ms(6000);
/// Limits headroom to this share of the largest tasks that fit a service's workers when empty. The
/// rest may be used by any task.
const HEADROOM_LIMIT_SHARE: f64 = 0.25;

/// The headroom still to be set aside in one service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Headroom {
    pub(crate) demand: Resources,
    pub(crate) remaining_count: u32,
}

impl Headroom {
    /// Returns the headroom for the largest shape, or `None` if it is zero. `expected_per_s` is the
    /// arrival rate of its tasks, and `capacity_count` is the number that fits the empty workers.
    pub(crate) fn new(demand: Resources, expected_per_s: f64, capacity_count: u64) -> Option<Self> {
        let expected = expected_per_s * HEADROOM_PERIOD.as_ms() as f64 / 1000.0;
        let max_count = capacity_count as f64 * HEADROOM_LIMIT_SHARE;
        let remaining_count = expected.min(max_count).round() as u32;
        (remaining_count > 0).then_some(Self {
            demand,
            remaining_count,
        })
    }
}

impl Scheduler {
    /// Sets headroom for the largest tasks on the workers with most free cores, in each
    /// service that is at least half used.
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

    /// Returns whether a step must not use headroom: its tasks are smaller than the largest, its
    /// job is deferrable, and it is not perpetual.
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
