//! Candidates: the workers that could take tasks of a step, with their room.

use crate::cycle::SchedulingCycle;
use crate::interference::RunRole;
use crate::job::{StepKey, StepSpec};
use crate::learning::SpeedClass;
use crate::packing::{fit_in, Packing, PackingCost};
use crate::placing::PendingStep;
use crate::scheduler::Scheduler;
use crate::speed_wish::SpeedWish;
use crate::worker::{Worker, WorkerKey};
use ospreywing_types::{Instant, Resources};
use std::collections::BTreeSet;
use std::sync::Arc;

/// A worker that could take tasks of a step.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) worker: WorkerKey,
    pub(crate) free: Resources,
    /// How many more tasks of the step it may hold.
    pub(crate) left_count: u32,
    pub(crate) is_near: bool,
    /// The rack of the worker, where the platform tells.
    rack: Option<Arc<str>>,
}

impl Candidate {
    /// Returns how many tasks of this demand fit.
    pub(crate) fn fit_count(&self, demand: &Resources) -> u32 {
        fit_in(&self.free, demand).min(self.left_count)
    }

    /// Takes the room of one task.
    pub(crate) fn take(&mut self, demand: &Resources) {
        self.free -= *demand;
        self.left_count -= 1;
    }
}

impl Scheduler {
    /// Returns whether a worker may ever run tasks of the step.
    pub(crate) fn is_eligible(pending: &PendingStep, worker: &Worker) -> bool {
        let label = pending.spec().required_label.as_ref();
        worker.facts.service == pending.service
            && label.is_none_or(|label| worker.facts.labels.contains(label))
            && pending.demand.fits_in(&worker.facts.capacity)
    }

    /// Returns those of the workers that could take at least one task, the
    /// fullest first.
    pub(crate) fn candidates(
        &self,
        now: Instant,
        pending: &PendingStep,
        cycle: &SchedulingCycle,
        workers: impl Iterator<Item = WorkerKey>,
    ) -> Vec<Candidate> {
        let mut found = Vec::new();
        let leaves_whole = self.leaves_whole_room(now, pending, cycle);
        for key in workers {
            let worker = &self.workers[key];
            if !worker.is_placeable(now) || !pending.demand.fits_in(&worker.free()) {
                continue;
            }
            if let Some(mut candidate) = self.candidate(pending, key, worker) {
                candidate.free -= cycle.kept_room(key);
                if leaves_whole {
                    candidate.free -= cycle.whole_room(key);
                }
                if pending.demand.fits_in(&candidate.free) && candidate.left_count > 0 {
                    found.push(candidate);
                }
            }
        }
        let packing = cycle.packing(&pending.service);
        let wish = self.speed_wish(now, pending);
        found.sort_by_cached_key(|c| {
            let speed_rank = wish.rank(&self.workers[c.worker].speed);
            let cost = packing_cost(pending, packing, c);
            (!c.is_near, speed_rank, cost, c.worker)
        });
        if pending.spec().is_gang && wish == SpeedWish::Slow {
            found = self.one_class_first(found, pending);
        }
        found
    }

    /// Puts the workers of one speed first that hold a whole gang, slow ones rather than fast
    /// ones; where none of the speeds has as much room, the fast ones come first. A gang is
    /// as slow as its slowest member, and would waste the time of faster ones.
    fn one_class_first(
        &self,
        mut candidates: Vec<Candidate>,
        pending: &PendingStep,
    ) -> Vec<Candidate> {
        let needed = pending.waiting.len() as u64;
        let speed_of = |c: &Candidate| self.workers[c.worker].speed;
        for class in [SpeedClass::Slow, SpeedClass::Typical, SpeedClass::Fast] {
            let is_other = |c: &Candidate| speed_of(c).class != class || speed_of(c).is_ejected;
            let alike = candidates.iter().filter(|c| !is_other(c));
            let alike: Vec<Candidate> = alike.cloned().collect();
            if fit_sum(&alike, &pending.demand) >= needed {
                candidates.sort_by_key(is_other);
                return candidates;
            }
        }
        candidates.sort_by_key(|c| SpeedWish::Fast.rank(&speed_of(c)));
        candidates
    }

    /// Returns what a worker has for a step, where it may run the step at all.
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
            left_count: left_count(worker, pending.key, pending.spec()),
            is_near: near.is_none() || near == worker.facts.rack.as_deref(),
            rack: worker.facts.rack.clone(),
        })
    }
}

/// Returns what placing a task of the step on a worker costs: where no packing is known, how
/// many processors are free there.
fn packing_cost(
    pending: &PendingStep,
    packing: Option<&Packing>,
    candidate: &Candidate,
) -> PackingCost {
    let free_milli = candidate.free.cores_milli;
    // A filler works on what is left unused, others leave large rooms whole.
    if RunRole::of(pending.spec()) == RunRole::Filler {
        return PackingCost::of_leftover(u32::MAX - free_milli);
    }
    packing.map_or(PackingCost::of_leftover(free_milli), |packing| {
        packing.cost(&candidate.free, &pending.demand)
    })
}

/// Returns how many tasks of a demand fit on all candidates together.
pub(crate) fn fit_sum(candidates: &[Candidate], demand: &Resources) -> u64 {
    candidates
        .iter()
        .map(|c| u64::from(c.fit_count(demand)))
        .sum()
}

/// Returns how many more tasks of a step the worker may hold.
pub(crate) fn left_count(worker: &Worker, step: StepKey, spec: &StepSpec) -> u32 {
    if spec.per_worker_limit_count == 0 {
        return u32::MAX;
    }
    let held = worker
        .runs
        .range(step.task(0)..=step.task(u32::MAX))
        .count();
    spec.per_worker_limit_count.saturating_sub(held as u32)
}

/// Puts the workers of one rack first, where the whole gang fits into it.
pub(crate) fn one_rack_first(
    candidates: Vec<Candidate>,
    demand: &Resources,
    needed: usize,
) -> Vec<Candidate> {
    let racks: BTreeSet<Arc<str>> = candidates.iter().filter_map(|c| c.rack.clone()).collect();
    let in_rack = |rack: &Arc<str>| -> Vec<Candidate> {
        let here = candidates.iter().filter(|c| c.rack.as_ref() == Some(rack));
        here.cloned().collect()
    };
    let fitting = racks
        .iter()
        .map(in_rack)
        .filter(|here| fit_sum(here, demand) >= needed as u64)
        .min_by_key(|here| fit_sum(here, demand));
    fitting.unwrap_or(candidates)
}
