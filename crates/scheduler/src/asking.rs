//! Asking for advice: about which workers, for which steps, and when.
//!
//! Who may run a step never changes, while a ticket holds for a moment only
//! and the adviser's time is scarce. So a step asks when it could be placed at
//! once; a gang asks once about all workers, then waits for room on those that
//! are good, keeps that room, and asks again about these alone.

use crate::advice::OpenCall;
use crate::config::AdvicePolicy;
use crate::decision::{Decision, DecisionKind};
use crate::event::{Action, AdviceReply};
use crate::gangs::Reservation;
use crate::job::StepKey;
use crate::placing::{fit_sum, Candidate, Pass, Turn};
use crate::scheduler::Scheduler;
use crate::worker::WorkerKey;
use ospreywing_types::{Duration, Instant, Resources};
use std::cmp::Reverse;
use std::sync::Arc;

/// The most workers that one call for advice names.
const NAMED_LIMIT_COUNT: usize = 100;
/// How many times the room that is needed the named workers should have.
const NAMED_ROOM_FACTOR: f64 = 1.5;
/// The part of a call's own time that naming further workers may add.
const NAMED_COST_SHARE: f64 = 0.25;
/// How many times the room that a gang needs its good workers should have.
const GANG_ROOM_FACTOR: f64 = 2.0;
/// The same, and the part of a call's time, where advisers have nothing to do.
const IDLE_ROOM_FACTOR: f64 = 4.0;
const IDLE_COST_SHARE: f64 = 1.0;
/// The share of good workers that is assumed before anything is known.
const FIRST_GOODNESS: f64 = 0.5;
/// The least share of good workers that is assumed.
const GOODNESS_FLOOR: f64 = 0.05;
/// How long a gang waits for its good workers before it asks about others
/// that have room: a long call holds up those of other gangs.
const LOOK_FURTHER_AFTER: Duration = Duration::from_ms(2500);
/// The gangs that may wait for room at a time; the others have their turn later.
const WAITING_GANGS_LIMIT_COUNT: usize = 16;
/// The part of the workers that is kept for gangs that wait, at most.
const AWAITED_PERCENT: usize = 60;
/// The time until advice is asked for again after a call that failed.
const ADVICE_RETRY: Duration = Duration::from_ms(100);
/// The weight of what was learned before, so that the estimate can follow.
const GOODNESS_DECAY: f64 = 0.98;

impl Scheduler {
    /// Asks for advice on a step that could not be placed, where that serves.
    pub(crate) fn seek_advice(
        &mut self,
        now: Instant,
        turn: &Turn,
        policy: AdvicePolicy,
        placed_count: usize,
        pass: &mut Pass,
        out: &mut Vec<Action>,
    ) {
        let needed = turn.waiting.len() - placed_count;
        if now < self.advice[&turn.key].retry_at {
            return;
        }
        if turn.spec().is_gang {
            self.seek_for_gang(now, turn, policy, pass, out);
        } else if has_room(pass, turn) {
            let named = self.choose_named(now, turn, pass, needed);
            if !named.is_empty() && self.ask(now, turn, policy, named, out) {
                claim_room(pass, turn, needed);
            }
        }
    }

    /// Chooses workers with room until enough of them should be good: those
    /// known to be good first, then those with most room.
    fn choose_named(
        &self,
        now: Instant,
        turn: &Turn,
        pass: &Pass,
        needed: usize,
    ) -> Vec<WorkerKey> {
        let goodness = self.goodness_of(&turn.record.queue);
        let advice = &self.advice[&turn.key];
        let mut wanted = needed as f64 * NAMED_ROOM_FACTOR;
        let mut named = Vec::new();
        for candidate in self.candidates(now, turn, pass, advice.good().into_iter()) {
            if wanted <= 0.0 || named.len() >= NAMED_LIMIT_COUNT {
                return named;
            }
            wanted -= f64::from(candidate.fit_count(&turn.demand).min(needed as u32));
            named.push(candidate.worker);
        }
        let spec = turn.spec();
        let is_preferring = spec.data_rack.is_some();
        for &key in &pass.by_room {
            let worker = &self.workers[key];
            if wanted <= 0.0 || named.len() >= NAMED_LIMIT_COUNT {
                break;
            }
            if advice.is_known(key) || pass.awaited.contains(&key) {
                continue;
            }
            let Some(candidate) = self.candidate(turn, key, worker) else {
                continue;
            };
            let fit_count = candidate.fit_count(&turn.demand).min(needed as u32);
            if fit_count == 0 {
                continue;
            }
            wanted -= goodness * f64::from(fit_count);
            named.push(key);
        }
        if is_preferring {
            self.prefer_near(now, turn, pass, &mut named);
        }
        named
    }

    /// Puts unknown workers near the step's data before the others.
    fn prefer_near(&self, now: Instant, turn: &Turn, pass: &Pass, named: &mut Vec<WorkerKey>) {
        let advice = &self.advice[&turn.key];
        let count = named.len();
        let unknown = pass.by_room.iter().copied();
        let unknown = unknown.filter(|key| !advice.is_known(*key));
        let near = self.candidates(now, turn, pass, unknown);
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

    fn seek_for_gang(
        &mut self,
        now: Instant,
        turn: &Turn,
        policy: AdvicePolicy,
        pass: &mut Pass,
        out: &mut Vec<Action>,
    ) {
        let needed = turn.waiting.len();
        let good = self.advice[&turn.key].good();
        let fitting = self.candidates(now, turn, pass, good.iter().copied());
        if fit_sum(&fitting, &turn.demand) >= needed as u64 {
            let reservations = reserve(fitting, &turn.demand, needed);
            let named = reservations.iter().map(|r| r.worker).collect();
            if self.ask(now, turn, policy, named, out) {
                self.reservations.insert(turn.key, reservations);
                claim_room(pass, turn, needed);
            }
            return;
        }
        let is_first_call = self.advice[&turn.key].is_empty();
        if pass.waiting_gangs_count >= WAITING_GANGS_LIMIT_COUNT && !is_first_call {
            return;
        }
        if let Some(plan) = self.plan_preemption(now, turn, pass, &good) {
            let named = plan.reservations.iter().map(|r| r.worker).collect();
            if self.ask(now, turn, policy, named, out) {
                self.reservations.insert(turn.key, plan.reservations);
                self.preempt(now, plan.victims, out);
            }
            return;
        }
        pass.waiting_gangs_count += 1;
        let unknown = self.unknown_workers(turn, pass);
        let good = self.good_workers(now, turn, good);
        let total: u64 = good
            .iter()
            .map(|(_, capacity_count, _)| u64::from(*capacity_count))
            .sum();
        let is_short = (total as f64) < needed as f64 * GANG_ROOM_FACTOR;
        let answered_at = self.advice[&turn.key].answered_at;
        let has_free = now.since(answered_at) >= LOOK_FURTHER_AFTER
            && self.unknown_room(turn, &unknown) >= needed as u64;
        if !unknown.is_empty() && (is_short || has_free) {
            let missing = needed as f64 - total as f64;
            let named = self.choose_unknown(now, turn, policy, unknown, missing);
            self.ask(now, turn, policy, named, out);
            return;
        }
        self.await_room(turn, &good, pass);
    }

    /// Returns the workers of which nothing is known for the step, the
    /// freest first.
    fn unknown_workers(&self, turn: &Turn, pass: &Pass) -> Vec<WorkerKey> {
        let advice = &self.advice[&turn.key];
        let unknown = pass.by_room.iter().copied();
        let unknown = unknown.filter(|key| !advice.is_known(*key));
        unknown
            .filter(|key| self.is_eligible(turn, &self.workers[*key]))
            .collect()
    }

    /// Returns how many members fit now on workers of which nothing is known: a
    /// gang whose good workers are busy may find others. Each call leaves fewer
    /// unknown, so even a small chance is taken.
    fn unknown_room(&self, turn: &Turn, unknown: &[WorkerKey]) -> u64 {
        let fit = |key: &WorkerKey| fit_in(&self.workers[*key].free(), &turn.demand);
        unknown.iter().map(|key| u64::from(fit(key))).sum()
    }

    /// Chooses unknown workers until enough of them should be good, whether
    /// or not they have room now.
    fn choose_unknown(
        &self,
        now: Instant,
        turn: &Turn,
        policy: AdvicePolicy,
        unknown: Vec<WorkerKey>,
        missing: f64,
    ) -> Vec<WorkerKey> {
        let goodness = self.goodness_of(&turn.record.queue);
        // Naming more costs little beside the call itself, and nothing that
        // anybody waits for where the advisers are idle: what is learned of
        // a worker never changes.
        let is_idle = self.advisers.is_idle(now, policy.cost(1));
        let (factor, cost_share) = if is_idle {
            (IDLE_ROOM_FACTOR, IDLE_COST_SHARE)
        } else {
            (GANG_ROOM_FACTOR, NAMED_COST_SHARE)
        };
        let wanted = missing.max(1.0) * factor;
        let cheap_count = policy.decision_ms * cost_share / policy.per_worker_ms.max(0.01);
        let least_count = cheap_count as usize;
        let mut expected = 0.0;
        let mut named = Vec::new();
        for key in unknown {
            let is_enough = expected >= wanted && named.len() >= least_count;
            if is_enough || named.len() >= NAMED_LIMIT_COUNT {
                break;
            }
            let capacity = self.workers[key].facts.capacity;
            expected += goodness * f64::from(fit_in(&capacity, &turn.demand));
            named.push(key);
        }
        named
    }

    /// Returns the workers known to be good for a gang, with how many members
    /// they hold when empty and how many now; the soonest to hold any first.
    fn good_workers(
        &self,
        now: Instant,
        turn: &Turn,
        good: Vec<WorkerKey>,
    ) -> Vec<(WorkerKey, u32, u32)> {
        let able = good
            .into_iter()
            .filter(|key| self.workers[*key].is_placeable(now));
        let mut found: Vec<(WorkerKey, u32, u32)> = able
            .map(|key| {
                let worker = &self.workers[key];
                let capacity_count = fit_in(&worker.facts.capacity, &turn.demand);
                (key, capacity_count, fit_in(&worker.free(), &turn.demand))
            })
            .collect();
        found.sort_by_key(|(key, capacity_count, free_count)| {
            (Reverse(*free_count), Reverse(*capacity_count), *key)
        });
        found
    }

    /// Keeps later work off enough good workers for the gang.
    fn await_room(&self, turn: &Turn, good: &[(WorkerKey, u32, u32)], pass: &mut Pass) {
        let mut held: u64 = 0;
        let limit_count = pass.by_room.len() * AWAITED_PERCENT / 100;
        for (key, capacity_count, _) in good {
            if held >= turn.waiting.len() as u64 || pass.awaited.len() >= limit_count {
                return;
            }
            if !pass.awaited.insert(*key) {
                continue;
            }
            held += u64::from(*capacity_count);
        }
    }

    /// Has a node ask about workers; returns whether one could.
    fn ask(
        &mut self,
        now: Instant,
        turn: &Turn,
        policy: AdvicePolicy,
        named: Vec<WorkerKey>,
        out: &mut Vec<Action>,
    ) -> bool {
        if named.is_empty() {
            return false;
        }
        let cost = policy.cost(named.len());
        let Some(assignment) = self.advisers.assign(now, cost) else {
            return false;
        };
        let Some(advice) = self.advice.get_mut(&turn.key) else {
            return false;
        };
        advice.open = Some(OpenCall {
            asked_at: now,
            node: assignment.node.clone(),
        });
        let line = Decision::new(DecisionKind::AdviceAsked, "workers with room");
        let line = line.with_job(turn.key.job).with_figure(named.len() as u64);
        out.push(Action::Log(line));
        let workers = named.iter().map(|&key| self.workers[key].endpoint(key));
        out.push(Action::Advise {
            step: turn.key,
            workers: workers.collect(),
            node: assignment.node,
            expected: assignment.expected,
        });
        true
    }

    fn goodness_of(&self, queue: &str) -> f64 {
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
        self.is_place_due = true;
        let Some(advice) = self.advice.get_mut(&step) else {
            return;
        };
        let Some(open) = advice.open.take() else {
            return;
        };
        let waited_ms = now.since(open.asked_at).as_ms();
        let AdviceReply::Good { tickets, validity } = reply else {
            advice.retry_at = now + ADVICE_RETRY;
            self.reservations.remove(&step);
            self.advisers.note_failure(now, &open.node);
            let line = Decision::new(DecisionKind::AdviceAnswered, "no answer");
            out.push(Action::Log(line.with_job(step.job).with_figure(waited_ms)));
            return;
        };
        advice.answered_at = now;
        let good: Vec<(WorkerKey, Arc<str>)> = tickets
            .into_iter()
            .filter_map(|ticket| {
                let worker = self.workers_by_id.get(&ticket.worker)?;
                Some((*worker, ticket.text))
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
        let line = Decision::new(DecisionKind::AdviceAnswered, "answered");
        out.push(Action::Log(line.with_job(step.job).with_figure(waited_ms)));
        self.learn_goodness(step, fresh_good, fresh.len());
    }

    fn learn_goodness(&mut self, step: StepKey, good_count: usize, named_count: usize) {
        let queue = self.jobs.get(&step.job).map(|job| job.record.queue.clone());
        let Some(queue) = queue else {
            return;
        };
        let known = self.goodness.entry(queue).or_insert((FIRST_GOODNESS, 1.0));
        known.0 = known.0 * GOODNESS_DECAY + good_count as f64;
        known.1 = known.1 * GOODNESS_DECAY + named_count as f64;
    }
}

/// Returns how many tasks of a demand fit into a room.
fn fit_in(room: &Resources, demand: &Resources) -> u32 {
    let by = |free: u32, need: u32| free.checked_div(need).unwrap_or(u32::MAX);
    by(room.cores_milli, demand.cores_milli)
        .min(by(room.memory_mib, demand.memory_mib))
        .min(by(room.accelerators_count, demand.accelerators_count))
}

/// Returns whether the pass has room left for at least one task.
pub(crate) fn has_room(pass: &Pass, turn: &Turn) -> bool {
    let room = pass.room_milli.get(turn.record.service.as_str());
    room.is_some_and(|room| *room >= i64::from(turn.demand.cores_milli))
}

/// Takes a step's demand off the room that the pass has left.
pub(crate) fn claim_room(pass: &mut Pass, turn: &Turn, tasks_count: usize) {
    if let Some(room) = pass.room_milli.get_mut(turn.record.service.as_str()) {
        *room -= i64::from(turn.demand.cores_milli) * tasks_count as i64;
    }
}

/// Keeps room for a whole gang on the fullest workers that fit.
fn reserve(candidates: Vec<Candidate>, demand: &Resources, needed: usize) -> Vec<Reservation> {
    let mut reservations = Vec::new();
    let mut left_count = needed as u32;
    for candidate in candidates {
        let count = candidate.fit_count(demand).min(left_count);
        if count > 0 {
            reservations.push(Reservation::new(candidate.worker, demand, count));
        }
        left_count -= count;
        if left_count == 0 {
            break;
        }
    }
    reservations
}
