//! Asking for advice: about which workers, for which steps, and when.
//!
//! Who may run a step never changes, while a ticket holds for a moment only
//! and the adviser's time is scarce. So a step asks when it could be placed at
//! once; a gang asks once about all workers, then waits for room on those that
//! are good, keeps that room, and asks again about these alone.

use crate::advice::OpenPart;
use crate::awaiting::fills_workers;
use crate::candidate::Candidate;
use crate::config::AdvicePolicy;
use crate::cycle::SchedulingCycle;
use crate::decision::{Decision, DecisionKind};
use crate::event::{Action, AdviceReply};
use crate::job::StepKey;
use crate::packing::fit_in;
use crate::placing::PendingStep;
use crate::scheduler::Scheduler;
use crate::worker::WorkerKey;
use ospreywing_types::{Duration, Instant};
use std::sync::Arc;

/// The most workers that one part of a call for advice names, by the platform's own
/// limit.
pub(crate) const NAMED_LIMIT_COUNT: usize = 100;
/// The idle nodes that there must be for each part of a call: the others stay free for other
/// steps.
pub(crate) const IDLE_NODES_PER_PART: usize = 8;
/// The part of a call's own time that the workers named in a part of it take at least: more
/// parts would bring next to nothing.
const PART_COST_SHARE: f64 = 0.25;
/// How many times the room that is needed the named workers should have.
const NAMED_ROOM_FACTOR: f64 = 1.5;
/// The workers that a small task weighs before it asks, the fullest ones with enough
/// processors: more would take too long where there are thousands. The others follow, those
/// with most room first.
const PACKED_WEIGHED_COUNT: usize = 200;
/// The share of good workers that is assumed before anything is known.
const FIRST_GOODNESS: f64 = 0.5;
/// The least share of good workers that is assumed.
const GOODNESS_FLOOR: f64 = 0.05;
/// The time until advice is asked for again after a call that failed.
const ADVICE_RETRY: Duration = Duration::from_ms(100);
/// The same where the budget of such calls is used up.
const ADVICE_REST: Duration = Duration::from_ms(500);
/// The weight of what was learned before, so that the estimate can follow.
const GOODNESS_DECAY: f64 = 0.98;

impl Scheduler {
    /// Asks for advice on tasks that could not be placed, where that serves.
    pub(crate) fn seek_for_tasks(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        policy: AdvicePolicy,
        needed: usize,
        cycle: &mut SchedulingCycle,
        out: &mut Vec<Action>,
    ) {
        if now < self.advice[&pending.key].retry_at {
            return;
        }
        // Choosing workers takes far longer than to see that nobody can be asked about them;
        // a call about more of them takes no less.
        let can_wait = self.is_patient(now, pending.key.job);
        if can_wait && self.advisers.must_wait(now, policy.cost(1)) {
            return;
        }
        let mut named = if has_room(cycle, pending) {
            self.choose_named(now, pending, cycle, needed)
        } else {
            Vec::new()
        };
        for key in self.workers_to_learn_of(now, pending, policy, needed, cycle) {
            if named.len() < NAMED_LIMIT_COUNT && !named.contains(&key) {
                named.push(key);
            }
        }
        if self.ask(now, pending, policy, named.clone(), out) {
            self.claim_named(pending, &named, needed);
            claim_room(cycle, pending, needed);
        }
    }

    /// Chooses workers with room until enough of them should be good: those
    /// known to be good first, then those with most room. Room that steps
    /// count on whose calls are open is left to them: many would otherwise
    /// name the same workers, and most of them in vain.
    fn choose_named(
        &self,
        now: Instant,
        pending: &PendingStep,
        cycle: &SchedulingCycle,
        needed: usize,
    ) -> Vec<WorkerKey> {
        let goodness = self.goodness_of(&pending.record.queue);
        let advice = &self.advice[&pending.key];
        let mut wanted = needed as f64 * NAMED_ROOM_FACTOR;
        let mut named = Vec::new();
        for candidate in self.candidates(now, pending, cycle, advice.good().into_iter()) {
            if wanted <= 0.0 || named.len() >= NAMED_LIMIT_COUNT {
                return named;
            }
            let fit_count = self.unclaimed_fit(&candidate, pending).min(needed as u32);
            if fit_count > 0 {
                wanted -= f64::from(fit_count);
                named.push(candidate.worker);
            }
        }
        let leaves_whole = self.leaves_whole_room(now, pending, cycle);
        let packed = self.packed_order(pending, leaves_whole, cycle);
        let weighed_count = packed.as_ref().map_or(0, |_| PACKED_WEIGHED_COUNT);
        let rest = cycle.freest_for(&pending.demand, weighed_count);
        for key in packed.unwrap_or_default().into_iter().chain(rest) {
            if wanted <= 0.0 || named.len() >= NAMED_LIMIT_COUNT {
                break;
            }
            if advice.is_known(key) {
                continue;
            }
            let Some(mut candidate) = self.candidate(pending, key, &self.workers[key]) else {
                continue;
            };
            candidate.free -= cycle.kept_room(key);
            if leaves_whole {
                candidate.free -= cycle.whole_room(key);
            }
            let fit_count = self.unclaimed_fit(&candidate, pending).min(needed as u32);
            if fit_count > 0 {
                wanted -= goodness * f64::from(fit_count);
                named.push(key);
            }
        }
        if pending.spec().data_rack.is_some() {
            self.prefer_near(now, pending, cycle, &mut named);
        }
        named
    }

    /// Returns those of the fullest workers that are unknown and have room for a small task,
    /// in the order in which it should take them; `None` where it should ask about those with most room.
    fn packed_order(
        &self,
        pending: &PendingStep,
        leaves_whole: bool,
        cycle: &SchedulingCycle,
    ) -> Option<Vec<WorkerKey>> {
        let packing = cycle.packing(&pending.service)?;
        if pending.spec().is_gang || fills_workers(pending, cycle) {
            return None;
        }
        let advice = &self.advice[&pending.key];
        let unknown = cycle
            .fullest_for(&pending.demand)
            .take(PACKED_WEIGHED_COUNT)
            .filter(|key| !advice.is_known(*key));
        let able = unknown.filter_map(|key| {
            let mut candidate = self.candidate(pending, key, &self.workers[key])?;
            candidate.free -= cycle.kept_room(key) + self.workers[key].soft_reserved();
            if leaves_whole {
                candidate.free -= cycle.whole_room(key);
            }
            (candidate.fit_count(&pending.demand) > 0).then_some(candidate)
        });
        let mut able: Vec<Candidate> = able.collect();
        able.sort_by_cached_key(|it| (packing.cost(&it.free, &pending.demand), it.worker));
        Some(able.into_iter().map(|it| it.worker).collect())
    }

    /// Returns how many tasks fit beside what other steps count on.
    fn unclaimed_fit(&self, candidate: &Candidate, pending: &PendingStep) -> u32 {
        let mut candidate = candidate.clone();
        candidate.free -= self.workers[candidate.worker].soft_reserved();
        candidate.fit_count(&pending.demand)
    }

    /// Notes that a step counts on room for its tasks on the workers that its
    /// call names, the first ones first.
    fn claim_named(&mut self, pending: &PendingStep, named: &[WorkerKey], needed: usize) {
        let mut left_count = needed as u32;
        for &key in named {
            let fit_count = fit_in(&self.workers[key].free(), &pending.demand);
            let count = fit_count.min(left_count);
            if count > 0 {
                self.workers[key].add_soft_reservation(pending.key, &pending.demand, count);
            }
            left_count -= count;
        }
    }

    /// Puts unknown workers near the step's data before the others.
    fn prefer_near(
        &self,
        now: Instant,
        pending: &PendingStep,
        cycle: &SchedulingCycle,
        named: &mut Vec<WorkerKey>,
    ) {
        let advice = &self.advice[&pending.key];
        let count = named.len();
        let unknown = cycle.workers_for(&pending.demand);
        let unknown = unknown.filter(|key| !advice.is_known(*key));
        let near = self.candidates(now, pending, cycle, unknown);
        let near = near.iter().filter(|candidate| candidate.is_near);
        let mut preferred: Vec<WorkerKey> = near.map(|candidate| candidate.worker).collect();
        preferred.extend(
            named
                .iter()
                .filter(|key| !preferred.contains(key))
                .copied()
                .collect::<Vec<_>>(),
        );
        preferred.truncate(count);
        *named = preferred;
    }

    /// Has nodes ask about workers, each about as many as one may name; returns
    /// whether one could.
    pub(crate) fn ask(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        policy: AdvicePolicy,
        named: Vec<WorkerKey>,
        out: &mut Vec<Action>,
    ) -> bool {
        let parts = named.chunks(self.part_size(now, policy, named.len()));
        let asked = parts.take_while(|part| self.ask_part(now, pending, policy, part, out));
        asked.count() > 0
    }

    /// Returns how many workers each part of a call names. Where many nodes have nothing to
    /// do, several ask about fewer workers each, and the answers are there sooner.
    fn part_size(&self, now: Instant, policy: AdvicePolicy, named_count: usize) -> usize {
        let idle_count = self.advisers.idle_count(now, policy.cost(1));
        let parts_count = (idle_count / IDLE_NODES_PER_PART).max(1);
        let cheap_count = policy.decision_ms * PART_COST_SHARE / policy.per_worker_ms.max(0.01);
        let least_count = (cheap_count as usize).clamp(1, NAMED_LIMIT_COUNT);
        let even_count = named_count.div_ceil(parts_count);
        even_count.clamp(least_count, NAMED_LIMIT_COUNT)
    }

    fn ask_part(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        policy: AdvicePolicy,
        named: &[WorkerKey],
        out: &mut Vec<Action>,
    ) -> bool {
        let cost = policy.cost(named.len());
        let can_wait = self.is_patient(now, pending.key.job);
        let Some(assignment) = self.advisers.assign(now, cost, can_wait) else {
            return false;
        };
        let Some(advice) = self.advice.get_mut(&pending.key) else {
            return false;
        };
        self.retries.advice.record_first_call();
        advice.open.push(OpenPart {
            asked_at: now,
            node: assignment.node.clone(),
            named: Box::from(named),
        });
        let line = Decision::new(DecisionKind::AdviceRequested, "workers with room");
        let line = line
            .with_job(pending.key.job)
            .with_figure(named.len() as u64);
        out.push(Action::Log(line));
        let workers = named.iter().map(|&key| self.workers[key].endpoint(key));
        out.push(Action::Advise {
            step: pending.key,
            workers: workers.collect(),
            node: assignment.node,
            expected: assignment.expected,
        });
        true
    }

    /// Forgets what is known of workers for a step of which nothing is to be started any more,
    /// and what it counted on.
    pub(crate) fn forget_advice(&mut self, step: StepKey) {
        let Some(advice) = self.advice.remove(&step) else {
            return;
        };
        let named = advice.open.iter().flat_map(|part| part.named.iter());
        for worker in named {
            self.workers[*worker].drop_soft_reservation(step);
        }
    }

    pub(crate) fn goodness_of(&self, queue: &str) -> f64 {
        let known = self.goodness.get(queue);
        let (good, named) = known.copied().unwrap_or((FIRST_GOODNESS, 1.0));
        (good / named).max(GOODNESS_FLOOR)
    }

    pub(crate) fn on_advice_answered(
        &mut self,
        now: Instant,
        step: StepKey,
        named: &[WorkerKey],
        reply: AdviceReply,
        out: &mut Vec<Action>,
    ) {
        self.is_cycle_due = true;
        for &worker in named {
            self.workers[worker].drop_soft_reservation(step);
        }
        let Some(advice) = self.advice.get_mut(&step) else {
            return;
        };
        let Some(open) = advice.take_part(named) else {
            return;
        };
        let waited_ms = now.since(open.asked_at).as_ms();
        let AdviceReply::Answered { tickets, validity } = reply else {
            let is_retried = self.retries.advice.spend();
            let wait = if is_retried {
                ADVICE_RETRY
            } else {
                ADVICE_REST
            };
            advice.retry_at = now + wait;
            self.release_room(step);
            self.advisers.record_failure(now, &open.node);
            let line = Decision::new(DecisionKind::AdviceAnswered, "no answer");
            out.push(Action::Log(line.with_job(step.job).with_figure(waited_ms)));
            return;
        };
        advice.last_answer_at = now;
        advice.search_at = now;
        let good: Vec<(WorkerKey, Arc<str>)> = tickets
            .into_iter()
            .filter_map(|ticket| {
                // A life that has begun since was not asked about.
                let worker = self.workers_by_id.get(&ticket.worker)?;
                named.contains(worker).then_some((*worker, ticket.text))
            })
            .collect();
        // What was known before tells nothing of workers that are not.
        let fresh: Vec<WorkerKey> = named
            .iter()
            .filter(|worker| !advice.is_known(**worker))
            .copied()
            .collect();
        let fresh_good = good.iter().filter(|(w, _)| fresh.contains(w)).count();
        advice.take_in(now, named, &good, validity);
        let line = Decision::new(DecisionKind::AdviceAnswered, "answered")
            .with_job(step.job)
            .with_figure(waited_ms)
            .with_suitable_count(good.len());
        out.push(Action::Log(line));
        self.learn_goodness(step, fresh_good, fresh.len());
    }

    fn learn_goodness(&mut self, step: StepKey, suitable_count: usize, named_count: usize) {
        let queue = self.jobs.get(&step.job).map(|job| job.record.queue.clone());
        let Some(queue) = queue else {
            return;
        };
        let known = self.goodness.entry(queue).or_insert((FIRST_GOODNESS, 1.0));
        known.0 = known.0 * GOODNESS_DECAY + suitable_count as f64;
        known.1 = known.1 * GOODNESS_DECAY + named_count as f64;
    }
}

/// Returns whether the cycle has room left for at least one task.
pub(crate) fn has_room(cycle: &SchedulingCycle, pending: &PendingStep) -> bool {
    cycle.room_milli(&pending.service) >= i64::from(pending.demand.cores_milli)
}

/// Takes a step's demand off the room that the cycle has left.
pub(crate) fn claim_room(cycle: &mut SchedulingCycle, pending: &PendingStep, tasks_count: usize) {
    let taken_milli = i64::from(pending.demand.cores_milli) * tasks_count as i64;
    cycle.take_room(&pending.service, taken_milli);
}
