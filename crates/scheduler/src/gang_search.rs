//! How a gang finds its room: on good workers that are free, on those that
//! less urgent work can leave, or on workers of which nothing is known yet.
//!
//! Whoever is not served keeps later work off enough of its good workers.

use crate::asking::{claim_room, IDLE_NODES_PER_PART, NAMED_LIMIT_COUNT};
use crate::awaiting::WAITING_GANGS_LIMIT_COUNT;
use crate::candidate::{fit_sum, Candidate};
use crate::config::AdvicePolicy;
use crate::cycle::SchedulingCycle;
use crate::event::Action;
use crate::gangs::Reservation;
use crate::packing::fit_in;
use crate::placing::PendingStep;
use crate::scheduler::Scheduler;
use crate::worker::WorkerKey;
use ospreywing_types::{Duration, Instant, Resources};

/// The part of a call's own time that naming further workers may add.
const NAMED_COST_SHARE: f64 = 0.25;
/// How many times the room that a gang needs its good workers should have.
const GANG_ROOM_FACTOR: f64 = 2.0;
/// The same, and the part of a call's time, where advisers have nothing to do.
const IDLE_ROOM_FACTOR: f64 = 4.0;
const IDLE_COST_SHARE: f64 = 1.0;
/// The parts that a gang's call may have at most, and the idle nodes that there must
/// be for each further one: the others stay free for other gangs.
const PARTS_LIMIT_COUNT: usize = 4;
/// How long a gang waits for its good workers before it asks about others
/// that have room: a long call holds up those of other gangs.
const LOOK_FURTHER_AFTER: Duration = Duration::from_ms(2500);
/// How many times the room that a gang lacks the workers should have that it
/// asks about because they are free.
const FREE_ROOM_FACTOR: f64 = 1.5;
/// The time between two searches of a gang for room.
const SEARCH_PERIOD: Duration = Duration::from_ms(100);

/// What a gang knows of the workers.
struct Search<'a> {
    /// Those that are good for it.
    good: &'a [WorkerKey],
    /// Those of which nothing is known.
    unknown: Vec<WorkerKey>,
}

/// Unknown workers that have room for members of a gang.
#[derive(Default)]
struct FreeWorkers {
    named: Vec<WorkerKey>,
    /// The members that they hold where all of them are good.
    possible: f64,
    /// The members that they should hold.
    expected: f64,
}

impl Scheduler {
    /// Brings a gang that could not be placed nearer to its room.
    pub(crate) fn seek_for_gang(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        policy: AdvicePolicy,
        cycle: &mut SchedulingCycle,
        out: &mut Vec<Action>,
    ) {
        let good = self.advice[&pending.key].good();
        if self.reserve_free_room(now, pending, policy, &good, cycle, out) {
            return;
        }
        if self.is_search_due(now, pending, cycle) {
            let is_made = self.make_room(now, pending, policy, &good, cycle, out);
            if is_made || self.look_further(now, pending, policy, &good, cycle, out) {
                return;
            }
        }
        self.await_workers_for_gang(now, pending, policy, cycle, out);
    }

    /// Keeps free room on good workers for a gang and asks for its tickets;
    /// returns whether there is enough.
    fn reserve_free_room(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        policy: AdvicePolicy,
        good: &[WorkerKey],
        cycle: &mut SchedulingCycle,
        out: &mut Vec<Action>,
    ) -> bool {
        let needed = pending.waiting.len();
        let needed_milli = u64::from(pending.demand.cores_milli) * needed as u64;
        if needed_milli > cycle.free_milli {
            return false;
        }
        let fitting = self.candidates(now, pending, cycle, good.iter().copied());
        if fit_sum(&fitting, &pending.demand) < needed as u64 {
            return false;
        }
        let reservations = reserve(fitting, &pending.demand, needed);
        let named = reservations.iter().map(|r| r.worker).collect();
        if self.ask(now, pending, policy, named, out) {
            self.reserve_room(pending.key, reservations);
            claim_room(cycle, pending, needed);
        }
        true
    }

    /// Returns whether a gang without room may search for some now: searching
    /// takes long on large sites, so it is done now and then, and by the most
    /// urgent gangs alone unless advisers have nothing to do.
    fn is_search_due(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        cycle: &SchedulingCycle,
    ) -> bool {
        let is_urgent = cycle.waiting_gangs_count < WAITING_GANGS_LIMIT_COUNT;
        let cost = pending
            .advice
            .map_or(Duration::ZERO, |policy| policy.cost(1));
        let is_idle = self.advisers.is_idle(now, cost);
        let Some(advice) = self.advice.get_mut(&pending.key) else {
            return false;
        };
        let is_allowed = is_urgent || is_idle || advice.is_empty();
        if !is_allowed || now < advice.search_at {
            return false;
        }
        advice.search_at = now + SEARCH_PERIOD;
        true
    }

    /// Takes the room of less urgent work for a gang and asks for its tickets;
    /// returns whether there is enough.
    fn make_room(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        policy: AdvicePolicy,
        good: &[WorkerKey],
        cycle: &SchedulingCycle,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(plan) = self.plan_preemption(now, pending, cycle, good) else {
            return false;
        };
        let named = plan.reservations.iter().map(|r| r.worker).collect();
        if self.ask(now, pending, policy, named, out) {
            self.reserve_room(pending.key, plan.reservations);
            self.preempt(now, plan.victims, out);
        }
        true
    }

    /// Asks about workers of which nothing is known for a gang, where its good
    /// ones hold too little or stay busy; returns whether it did.
    fn look_further(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        policy: AdvicePolicy,
        good: &[WorkerKey],
        cycle: &mut SchedulingCycle,
        out: &mut Vec<Action>,
    ) -> bool {
        let needed = pending.waiting.len();
        let unknown = self.unknown_workers(pending, cycle);
        let able = good
            .iter()
            .filter(|key| self.workers[**key].is_placeable(now));
        let total: u64 = able
            .map(|key| u64::from(fit_in(&self.workers[*key].facts.capacity, &pending.demand)))
            .sum();
        let is_short = (total as f64) < needed as f64 * GANG_ROOM_FACTOR;
        if unknown.is_empty() {
            return false;
        }
        if is_short {
            let missing = needed as f64 - total as f64;
            let limit_count = self.learn_limit(now, policy);
            let named = self.choose_unknown(now, pending, policy, unknown, missing, limit_count);
            self.ask(now, pending, policy, named, out);
            return true;
        }
        self.ask_about_free(now, pending, policy, Search { good, unknown }, cycle, out)
    }

    /// Asks about unknown workers that have room now, where those that should
    /// be good among them complete the gang's room; keeps what its good workers
    /// have free meanwhile.
    fn ask_about_free(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        policy: AdvicePolicy,
        search: Search<'_>,
        cycle: &mut SchedulingCycle,
        out: &mut Vec<Action>,
    ) -> bool {
        let waited = now.since(self.advice[&pending.key].last_answer_at);
        let has_waited = waited >= LOOK_FURTHER_AFTER;
        if !has_waited && !self.advisers.is_idle(now, policy.cost(1)) {
            return false;
        }
        let needed = pending.waiting.len();
        let fitting = self.candidates(now, pending, cycle, search.good.iter().copied());
        let missing = needed as f64 - fit_sum(&fitting, &pending.demand) as f64;
        let found = self.choose_free(pending, search.unknown, missing, cycle);
        // Each call leaves fewer unknown, so in the end a small chance will do.
        let is_worth_it = found.expected >= missing || has_waited && found.possible >= missing;
        if !is_worth_it {
            return false;
        }
        let named = found.named;
        if self.ask(now, pending, policy, named, out) {
            let reservations = reserve(fitting, &pending.demand, needed);
            self.reserve_room(pending.key, reservations);
            claim_room(cycle, pending, needed);
        }
        true
    }

    /// Chooses unknown workers with room until those that should be good hold
    /// enough members.
    fn choose_free(
        &self,
        pending: &PendingStep,
        unknown: Vec<WorkerKey>,
        missing: f64,
        cycle: &SchedulingCycle,
    ) -> FreeWorkers {
        let goodness = self.goodness_of(&pending.record.queue);
        let mut found = FreeWorkers::default();
        for key in unknown {
            let is_enough = found.expected >= missing * FREE_ROOM_FACTOR;
            if is_enough || found.named.len() >= NAMED_LIMIT_COUNT {
                break;
            }
            let candidate = self.candidate(pending, key, &self.workers[key]);
            let fit_count = candidate.map_or(0, |it| it.fit_count(&pending.demand));
            if fit_count > 0 && !cycle.is_kept(key) {
                found.possible += f64::from(fit_count);
                found.expected += goodness * f64::from(fit_count);
                found.named.push(key);
            }
        }
        found
    }

    /// Returns the workers of which nothing is known for the step, the
    /// freest first.
    pub(crate) fn unknown_workers(
        &self,
        pending: &PendingStep,
        cycle: &SchedulingCycle,
    ) -> Vec<WorkerKey> {
        let advice = &self.advice[&pending.key];
        let unknown = cycle.workers().filter(|key| !advice.is_known(*key));
        unknown
            .filter(|key| Self::is_eligible(pending, &self.workers[*key]))
            .collect()
    }

    /// Returns how many workers a gang may ask about at once to learn of them: with
    /// several idle nodes, as many as a few calls name. A gang of 91 members learned of
    /// 400 workers in five calls of 1.2 to 1.5 s, one after the other.
    fn learn_limit(&self, now: Instant, policy: AdvicePolicy) -> usize {
        let cost = policy.cost(NAMED_LIMIT_COUNT);
        let parts_count = self.advisers.idle_count(now, cost) / IDLE_NODES_PER_PART;
        NAMED_LIMIT_COUNT * parts_count.clamp(1, PARTS_LIMIT_COUNT)
    }

    /// Chooses unknown workers until enough of them should be good, whether
    /// or not they have room now.
    pub(crate) fn choose_unknown(
        &self,
        now: Instant,
        pending: &PendingStep,
        policy: AdvicePolicy,
        unknown: Vec<WorkerKey>,
        missing: f64,
        limit_count: usize,
    ) -> Vec<WorkerKey> {
        let goodness = self.goodness_of(&pending.record.queue);
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
        // Further parts of the call only learn of what is needed.
        let wanted_in_parts = missing.max(1.0) * GANG_ROOM_FACTOR;
        let cheap_count = policy.decision_ms * cost_share / policy.per_worker_ms.max(0.01);
        let least_count = cheap_count as usize;
        let mut expected = 0.0;
        let mut named = Vec::new();
        for key in unknown {
            let wanted = if named.len() < NAMED_LIMIT_COUNT {
                wanted
            } else {
                wanted_in_parts
            };
            let is_enough = expected >= wanted && named.len() >= least_count;
            if is_enough || named.len() >= limit_count {
                break;
            }
            let capacity = self.workers[key].facts.capacity;
            expected += goodness * f64::from(fit_in(&capacity, &pending.demand));
            named.push(key);
        }
        named
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
