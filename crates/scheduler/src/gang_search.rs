//! Finds capacity for a gang: on suitable workers with free capacity, on suitable workers where
//! less urgent runs can be preempted, or on workers that have yet to be queried.
//!
//! A gang for which no capacity is found reserves suitable workers, so that work examined later in
//! the cycle doesn't use them.

use crate::advice_requests::{
    reserve_in_cycle, IDLE_NODES_PER_REQUEST, QUERIED_PER_REQUEST_LIMIT_COUNT,
};
use crate::candidate::{total_fit_count, Candidate};
use crate::config::AdvicePolicy;
use crate::cycle::SchedulingCycle;
use crate::event::Action;
use crate::expected_capacity::WAITING_GANGS_LIMIT_COUNT;
use crate::gangs::Reservation;
use crate::packing::count_fitting;
use crate::placement::PendingStep;
use crate::scheduler::Scheduler;
use crate::worker::WorkerKey;
use ospreywing_types::{Duration, Instant, Resources};

/// A query may be extended by unknown workers that add up to this share of a request's fixed cost.
const QUERY_COST_SHARE: f64 = 0.25;
/// The capacity of a gang's suitable workers should be at least this multiple of the capacity it
/// needs.
const GANG_CAPACITY_FACTOR: f64 = 2.0;
/// These replace [`GANG_CAPACITY_FACTOR`] and [`QUERY_COST_SHARE`] while an adviser node is idle.
const IDLE_CAPACITY_FACTOR: f64 = 4.0;
const IDLE_COST_SHARE: f64 = 1.0;
/// Limits the requests that a gang's query is split into. Each needs [`IDLE_NODES_PER_REQUEST`]
/// idle nodes; the others stay free for other gangs.
const REQUESTS_LIMIT_COUNT: usize = 4;
/// How long a gang waits for its suitable workers before it queries unknown ones with free
/// capacity. A long request delays those of other gangs.
const QUERY_UNKNOWN_AFTER: Duration = Duration::from_ms(2500);
/// The expected capacity of the queried workers with free capacity, as a multiple of the capacity
/// that the gang lacks.
const FREE_CAPACITY_FACTOR: f64 = 1.5;
/// The interval between a gang's searches for capacity.
const SEARCH_PERIOD: Duration = Duration::from_ms(100);

/// What is known about the workers for a gang.
struct KnownWorkers<'a> {
    /// Workers known to be suitable.
    suitable: &'a [WorkerKey],
    /// Workers whose suitability is unknown.
    unknown: Vec<WorkerKey>,
}

/// Workers of unknown suitability with capacity for members of a gang.
#[derive(Default)]
struct UnknownFreeWorkers {
    queried: Vec<WorkerKey>,
    /// The members that fit if all of the workers are suitable.
    max_count: f64,
    /// The members that are expected to fit.
    expected_count: f64,
}

impl Scheduler {
    /// Tries to find capacity for a gang that could not be placed.
    pub(crate) fn find_capacity_for_gang(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        policy: AdvicePolicy,
        cycle: &mut SchedulingCycle,
        out: &mut Vec<Action>,
    ) {
        let suitable = self.advice[&pending.key].suitable_workers();
        if self.reserve_free_capacity(now, pending, policy, &suitable, cycle, out) {
            return;
        }
        if self.is_search_due(now, pending, cycle) {
            let is_planned = self.preempt_for_gang(now, pending, policy, &suitable, cycle, out);
            if is_planned || self.query_unknown_workers(now, pending, policy, &suitable, cycle, out)
            {
                return;
            }
        }
        if self.can_fit_gang(pending, cycle) {
            self.reserve_expected_capacity_for_gang(now, pending, policy, cycle, out);
        }
    }

    /// Reserves free capacity on suitable workers for a gang and requests its tickets. Returns
    /// whether there is enough.
    fn reserve_free_capacity(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        policy: AdvicePolicy,
        suitable: &[WorkerKey],
        cycle: &mut SchedulingCycle,
        out: &mut Vec<Action>,
    ) -> bool {
        let needed_count = pending.waiting.len();
        let needed_milli = u64::from(pending.demand.cores_milli) * needed_count as u64;
        if needed_milli > cycle.free_milli {
            return false;
        }
        let fitting = self.candidates(now, pending, cycle, suitable.iter().copied());
        if total_fit_count(&fitting, &pending.demand) < needed_count as u64 {
            return false;
        }
        let reservations = plan_reservations(fitting, &pending.demand, needed_count);
        let queried = reservations.iter().map(|r| r.worker).collect();
        if self.request_advice(now, pending, policy, queried, out) {
            self.set_reservations(pending.key, reservations);
            reserve_in_cycle(cycle, pending, needed_count);
        }
        true
    }

    /// Returns whether a gang may search for capacity now. A search takes long on large clusters,
    /// so it is done at intervals, and only for the most urgent gangs unless an adviser node is
    /// idle.
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
        let has_idle_node = self.adviser_nodes.has_idle_node(now, cost);
        let Some(advice) = self.advice.get_mut(&pending.key) else {
            return false;
        };
        let is_allowed = is_urgent || has_idle_node || advice.is_empty();
        if !is_allowed || now < advice.next_search_at {
            return false;
        }
        advice.next_search_at = now + SEARCH_PERIOD;
        true
    }

    /// Preempts less urgent runs for a gang and requests its tickets. Returns whether that frees
    /// enough capacity.
    fn preempt_for_gang(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        policy: AdvicePolicy,
        suitable: &[WorkerKey],
        cycle: &SchedulingCycle,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(plan) = self.plan_preemption(now, pending, cycle, suitable) else {
            return false;
        };
        let queried = plan.reservations.iter().map(|r| r.worker).collect();
        if self.request_advice(now, pending, policy, queried, out) {
            self.set_reservations(pending.key, plan.reservations);
            self.preempt(now, plan.victims, out);
        }
        true
    }

    /// Queries unknown workers for a gang if its suitable ones have too little capacity or stay
    /// busy. Returns whether it did.
    fn query_unknown_workers(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        policy: AdvicePolicy,
        suitable: &[WorkerKey],
        cycle: &mut SchedulingCycle,
        out: &mut Vec<Action>,
    ) -> bool {
        let needed_count = pending.waiting.len();
        let unknown = self.unknown_workers(pending, cycle);
        let placeable = suitable
            .iter()
            .filter(|key| self.workers[**key].is_placeable(now));
        let suitable_fit_count: u64 = placeable
            .map(|key| {
                u64::from(count_fitting(
                    &self.workers[*key].facts.capacity,
                    &pending.demand,
                ))
            })
            .sum();
        let is_short = (suitable_fit_count as f64) < needed_count as f64 * GANG_CAPACITY_FACTOR;
        if unknown.is_empty() {
            return false;
        }
        if is_short {
            let missing_count = needed_count as f64 - suitable_fit_count as f64;
            let limit_count = self.query_limit_count(now, policy);
            let queried = self.choose_unknown_workers(
                now,
                pending,
                policy,
                unknown,
                missing_count,
                limit_count,
            );
            self.request_advice(now, pending, policy, queried, out);
            return true;
        }
        self.query_free_workers(
            now,
            pending,
            policy,
            KnownWorkers { suitable, unknown },
            cycle,
            out,
        )
    }

    /// Queries unknown workers with free capacity if those expected to be suitable complete the
    /// gang. Meanwhile reserves the free capacity of its suitable workers.
    fn query_free_workers(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        policy: AdvicePolicy,
        known: KnownWorkers<'_>,
        cycle: &mut SchedulingCycle,
        out: &mut Vec<Action>,
    ) -> bool {
        let waited = now.since(self.advice[&pending.key].last_answer_at);
        let has_waited = waited >= QUERY_UNKNOWN_AFTER;
        if !has_waited && !self.adviser_nodes.has_idle_node(now, policy.cost(1)) {
            return false;
        }
        let needed_count = pending.waiting.len();
        let fitting = self.candidates(now, pending, cycle, known.suitable.iter().copied());
        let missing_count = needed_count as f64 - total_fit_count(&fitting, &pending.demand) as f64;
        let found = self.choose_free_workers(pending, known.unknown, missing_count, cycle);
        // Each query leaves fewer unknown workers, so after a while a small chance is enough.
        let may_complete_gang =
            found.expected_count >= missing_count || has_waited && found.max_count >= missing_count;
        if !may_complete_gang {
            return false;
        }
        let queried = found.queried;
        if self.request_advice(now, pending, policy, queried, out) {
            let reservations = plan_reservations(fitting, &pending.demand, needed_count);
            self.set_reservations(pending.key, reservations);
            reserve_in_cycle(cycle, pending, needed_count);
        }
        true
    }

    /// Chooses unknown workers with free capacity until enough members are expected to fit.
    fn choose_free_workers(
        &self,
        pending: &PendingStep,
        unknown: Vec<WorkerKey>,
        missing_count: f64,
        cycle: &SchedulingCycle,
    ) -> UnknownFreeWorkers {
        let suitable_share = self.suitable_share_of(&pending.record.queue);
        let mut found = UnknownFreeWorkers::default();
        for key in unknown {
            let is_enough = found.expected_count >= missing_count * FREE_CAPACITY_FACTOR;
            if is_enough || found.queried.len() >= QUERIED_PER_REQUEST_LIMIT_COUNT {
                break;
            }
            let candidate = self.candidate(pending, key, &self.workers[key]);
            let fit_count = candidate.map_or(0, |it| it.fit_count(&pending.demand));
            if fit_count > 0 && !cycle.has_reservation_on(key) {
                found.max_count += f64::from(fit_count);
                found.expected_count += suitable_share * f64::from(fit_count);
                found.queried.push(key);
            }
        }
        found
    }

    /// Returns the workers whose suitability for the step is unknown, most free cores first.
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

    /// Returns how many workers a gang may query at once: with several idle nodes, as many as fit
    /// several requests. Otherwise a gang of 91 members would query 400 workers in five requests of
    /// 1.2 to 1.5 s, one after the other.
    fn query_limit_count(&self, now: Instant, policy: AdvicePolicy) -> usize {
        let cost = policy.cost(QUERIED_PER_REQUEST_LIMIT_COUNT);
        let requests_count =
            self.adviser_nodes.idle_nodes_count(now, cost) / IDLE_NODES_PER_REQUEST;
        QUERIED_PER_REQUEST_LIMIT_COUNT * requests_count.clamp(1, REQUESTS_LIMIT_COUNT)
    }

    /// Chooses unknown workers until enough members are expected to fit, with or without free
    /// capacity now.
    pub(crate) fn choose_unknown_workers(
        &self,
        now: Instant,
        pending: &PendingStep,
        policy: AdvicePolicy,
        unknown: Vec<WorkerKey>,
        missing_count: f64,
        limit_count: usize,
    ) -> Vec<WorkerKey> {
        let suitable_share = self.suitable_share_of(&pending.record.queue);
        // Further workers add little to the fixed cost of a request, and delay no other request
        // while a node is idle. The reply stays useful, because the suitability of a worker never
        // changes.
        let has_idle_node = self.adviser_nodes.has_idle_node(now, policy.cost(1));
        let (factor, cost_share) = if has_idle_node {
            (IDLE_CAPACITY_FACTOR, IDLE_COST_SHARE)
        } else {
            (GANG_CAPACITY_FACTOR, QUERY_COST_SHARE)
        };
        let wanted_count = missing_count.max(1.0) * factor;
        // Requests after the first only query the workers that are needed.
        let wanted_beyond_first_request = missing_count.max(1.0) * GANG_CAPACITY_FACTOR;
        let cheap_extra_count = policy.decision_ms * cost_share / policy.per_worker_ms.max(0.01);
        let min_count = cheap_extra_count as usize;
        let mut expected_count = 0.0;
        let mut queried = Vec::new();
        for key in unknown {
            let wanted_count = if queried.len() < QUERIED_PER_REQUEST_LIMIT_COUNT {
                wanted_count
            } else {
                wanted_beyond_first_request
            };
            let is_enough = expected_count >= wanted_count && queried.len() >= min_count;
            if is_enough || queried.len() >= limit_count {
                break;
            }
            let capacity = self.workers[key].facts.capacity;
            expected_count += suitable_share * f64::from(count_fitting(&capacity, &pending.demand));
            queried.push(key);
        }
        queried
    }
}

/// Reserves capacity for a whole gang on the candidates, in their order.
fn plan_reservations(
    candidates: Vec<Candidate>,
    demand: &Resources,
    needed_count: usize,
) -> Vec<Reservation> {
    let mut reservations = Vec::new();
    let mut remaining_count = needed_count as u32;
    for candidate in candidates {
        let count = candidate.fit_count(demand).min(remaining_count);
        if count > 0 {
            reservations.push(Reservation::new(candidate.worker, demand, count));
        }
        remaining_count -= count;
        if remaining_count == 0 {
            break;
        }
    }
    reservations
}
