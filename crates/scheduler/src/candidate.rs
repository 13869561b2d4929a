//! Candidates: workers that could run tasks of a step, with their free capacity.

use crate::cycle::SchedulingCycle;
use crate::interference::RunRole;
use crate::job::{StepKey, StepSpec};
use crate::learning::SpeedClass;
use crate::packing::{count_fitting, Packing, PackingCost};
use crate::placement::PendingStep;
use crate::scheduler::Scheduler;
use crate::speed_preference::SpeedPreference;
use crate::worker::{Worker, WorkerKey};
use ospreywing_types::{Instant, Resources};
use std::collections::BTreeSet;
use std::sync::Arc;

/// A worker that could run tasks of a step.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) worker: WorkerKey,
    /// The worker's capacity that is free for the step.
    pub(crate) free: Resources,
    /// How many more tasks of the step the worker may hold.
    pub(crate) remaining_count: u32,
    /// Whether the worker is in the rack of the step's data, or the step names no such rack.
    pub(crate) is_near_data: bool,
    /// The worker's rack, if the platform reports it.
    rack: Option<Arc<str>>,
}

impl Candidate {
    /// Returns how many tasks with this demand fit.
    pub(crate) fn fit_count(&self, demand: &Resources) -> u32 {
        count_fitting(&self.free, demand).min(self.remaining_count)
    }

    /// Subtracts one task with this demand from the candidate's free capacity.
    pub(crate) fn subtract_task(&mut self, demand: &Resources) {
        self.free -= *demand;
        self.remaining_count -= 1;
    }
}

impl Scheduler {
    /// Returns whether a worker could run tasks of the step if it were empty.
    pub(crate) fn is_eligible(pending: &PendingStep, worker: &Worker) -> bool {
        let label = pending.spec().required_label.as_ref();
        worker.facts.service == pending.service
            && label.is_none_or(|label| worker.facts.labels.contains(label))
            && pending.demand.fits_in(&worker.facts.capacity)
    }

    /// Returns the given workers that have capacity for at least one task, best first: near the
    /// step's data, then of the preferred speed, then by lowest packing cost.
    pub(crate) fn candidates(
        &self,
        now: Instant,
        pending: &PendingStep,
        cycle: &SchedulingCycle,
        workers: impl Iterator<Item = WorkerKey>,
    ) -> Vec<Candidate> {
        let mut found = Vec::new();
        let must_leave_headroom = self.must_leave_headroom(now, pending, cycle);
        for key in workers {
            let worker = &self.workers[key];
            if !worker.is_placeable(now) || !pending.demand.fits_in(&worker.free()) {
                continue;
            }
            if let Some(mut candidate) = self.candidate(pending, key, worker) {
                candidate.free -= cycle.reserved_from(pending, key);
                if must_leave_headroom {
                    candidate.free -= cycle.headroom_on(key);
                }
                if pending.demand.fits_in(&candidate.free) && candidate.remaining_count > 0 {
                    found.push(candidate);
                }
            }
        }
        let packing = cycle.packing(&pending.service);
        let preference = self.speed_preference(now, pending);
        found.sort_by_cached_key(|c| {
            let speed_rank = preference.rank(&self.workers[c.worker].speed);
            let cost = packing_cost(pending, packing, c);
            (!c.is_near_data, speed_rank, cost, c.worker)
        });
        if pending.spec().is_gang && preference == SpeedPreference::Slow {
            found = self.prefer_one_speed_class(found, pending);
        }
        found
    }

    /// Moves workers of one speed class to the front if they fit the whole gang, trying slow ones
    /// before fast ones. If no class alone fits it, sorts fast workers first. A gang is as slow as
    /// its slowest member and would waste the time of faster workers.
    fn prefer_one_speed_class(
        &self,
        mut candidates: Vec<Candidate>,
        pending: &PendingStep,
    ) -> Vec<Candidate> {
        let needed_count = pending.waiting.len() as u64;
        let speed_of = |c: &Candidate| self.workers[c.worker].speed;
        for class in [SpeedClass::Slow, SpeedClass::Typical, SpeedClass::Fast] {
            let is_other = |c: &Candidate| speed_of(c).class != class || speed_of(c).is_ejected;
            let alike = candidates.iter().filter(|c| !is_other(c));
            let alike: Vec<Candidate> = alike.cloned().collect();
            if total_fit_count(&alike, &pending.demand) >= needed_count {
                candidates.sort_by_key(is_other);
                return candidates;
            }
        }
        candidates.sort_by_key(|c| SpeedPreference::Fast.rank(&speed_of(c)));
        candidates
    }

    /// Returns the worker as a candidate for a step, or `None` if it can't run the step at all.
    pub(crate) fn candidate(
        &self,
        pending: &PendingStep,
        key: WorkerKey,
        worker: &Worker,
    ) -> Option<Candidate> {
        let role = RunRole::of(pending.spec());
        if !Self::is_eligible(pending, worker) || (role == RunRole::Filler && worker.is_serving()) {
            return None;
        }
        let near = pending.spec().data_rack.as_deref();
        Some(Candidate {
            worker: key,
            free: worker.free() - worker.reserved(pending.key),
            remaining_count: remaining_count(worker, pending.key, pending.spec()),
            is_near_data: near.is_none() || near == worker.facts.rack.as_deref(),
            rack: worker.facts.rack.clone(),
        })
    }
}

/// Returns the cost of placing a task of the step on a worker. Without packing data, the cost is
/// the number of free cores.
fn packing_cost(
    pending: &PendingStep,
    packing: Option<&Packing>,
    candidate: &Candidate,
) -> PackingCost {
    let free_milli = candidate.free.cores_milli;
    // Fillers go where most cores are free; other tasks preserve large free blocks.
    if RunRole::of(pending.spec()) == RunRole::Filler {
        return PackingCost::of_leftover(u32::MAX - free_milli);
    }
    packing.map_or(PackingCost::of_leftover(free_milli), |packing| {
        packing.cost(&candidate.free, &pending.demand)
    })
}

/// Returns how many tasks with this demand fit on all candidates together.
pub(crate) fn total_fit_count(candidates: &[Candidate], demand: &Resources) -> u64 {
    candidates
        .iter()
        .map(|c| u64::from(c.fit_count(demand)))
        .sum()
}

/// Returns how many more tasks of a step the worker may hold.
pub(crate) fn remaining_count(worker: &Worker, step: StepKey, spec: &StepSpec) -> u32 {
    if spec.per_worker_limit_count == 0 {
        return u32::MAX;
    }
    let held = worker
        .runs
        .range(step.task(0)..=step.task(u32::MAX))
        .count();
    spec.per_worker_limit_count.saturating_sub(held as u32)
}

/// Moves the workers of one rack to the front if they fit the whole gang. Of several such racks, it
/// takes the one with the least free capacity.
pub(crate) fn prefer_one_rack(
    candidates: Vec<Candidate>,
    demand: &Resources,
    needed_count: usize,
) -> Vec<Candidate> {
    let racks: BTreeSet<Arc<str>> = candidates.iter().filter_map(|c| c.rack.clone()).collect();
    let in_rack = |rack: &Arc<str>| -> Vec<Candidate> {
        let here = candidates.iter().filter(|c| c.rack.as_ref() == Some(rack));
        here.cloned().collect()
    };
    let fitting = racks
        .iter()
        .map(in_rack)
        .filter(|here| total_fit_count(here, demand) >= needed_count as u64)
        .min_by_key(|here| total_fit_count(here, demand));
    fitting.unwrap_or(candidates)
}
