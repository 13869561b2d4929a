//! Advice requests: when to send them, for which steps, and about which workers.
//!
//! Whether a worker may run a step never changes, but a ticket expires soon and the adviser's time
//! is scarce. A step therefore requests advice when it could be placed at once. A gang first
//! queries all workers, then waits for capacity on the suitable ones, reserves it, and queries only
//! these again.

use crate::advice::AdviceRequest;
use crate::candidate::Candidate;
use crate::config::AdvicePolicy;
use crate::cycle::SchedulingCycle;
use crate::decision::{Decision, DecisionKind};
use crate::event::{Action, AdviceReply};
use crate::expected_capacity::has_large_tasks;
use crate::job::StepKey;
use crate::packing::count_fitting;
use crate::placement::PendingStep;
use crate::scheduler::Scheduler;
use crate::worker::WorkerKey;
use ospreywing_types::{Duration, Instant};
use std::sync::Arc;

/// The platform's limit on the workers in one request.
pub(crate) const QUERIED_PER_REQUEST_LIMIT_COUNT: usize = 100;
/// Idle nodes needed for each request of a query. The others stay free for other steps.
pub(crate) const IDLE_NODES_PER_REQUEST: usize = 8;
/// Each request queries at least as many workers as add this share to its fixed cost. Splitting a
/// query further would gain almost nothing.
const REQUEST_COST_SHARE: f64 = 0.25;
/// The capacity of the queried workers, as a multiple of the capacity needed.
const QUERIED_CAPACITY_FACTOR: f64 = 1.5;
/// How many workers are examined for packing a small task: the fullest ones with enough free
/// cores. Examining more would take too long with thousands of workers. The others follow,
/// most free cores first.
const PACKED_EXAMINED_COUNT: usize = 200;
/// The share of workers assumed to be suitable before any reply.
const INITIAL_SUITABLE_SHARE: f64 = 0.5;
/// The lower bound of the assumed share of suitable workers.
const MIN_SUITABLE_SHARE: f64 = 0.05;
/// The delay before the next request after a failed one.
const ADVICE_RETRY_DELAY: Duration = Duration::from_ms(100);
/// The same delay once the retry budget is used up.
const ADVICE_OVER_BUDGET_DELAY: Duration = Duration::from_ms(500);
/// The weight kept by earlier replies with each new one, so that the estimate adapts.
const SUITABLE_SHARE_DECAY: f64 = 0.98;

impl Scheduler {
    /// Requests advice for tasks that could not be placed, if workers with capacity are found.
    pub(crate) fn request_advice_for_tasks(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        policy: AdvicePolicy,
        needed_count: usize,
        cycle: &mut SchedulingCycle,
        out: &mut Vec<Action>,
    ) {
        if now < self.advice[&pending.key].retry_at {
            return;
        }
        // Choosing workers takes much longer than checking that no node is idle. The cost for one
        // worker is a lower bound for larger requests.
        let is_deferrable = self.is_deferrable(now, pending.key.job);
        if is_deferrable && self.adviser_nodes.must_defer(now, policy.cost(1)) {
            return;
        }
        let mut queried = if has_unreserved_capacity(cycle, pending) {
            self.choose_workers_to_query(now, pending, cycle, needed_count)
        } else {
            Vec::new()
        };
        for key in self.unknown_workers_to_query(now, pending, policy, needed_count, cycle) {
            if queried.len() < QUERIED_PER_REQUEST_LIMIT_COUNT && !queried.contains(&key) {
                queried.push(key);
            }
        }
        if self.request_advice(now, pending, policy, queried.clone(), out) {
            self.add_soft_reservations(pending, &queried, needed_count);
            reserve_in_cycle(cycle, pending, needed_count);
        }
    }

    /// Chooses workers with capacity until enough of them are expected to be suitable: first those
    /// known to be suitable, then those with most free capacity. Skips capacity that is softly
    /// reserved for steps with pending requests. Otherwise many steps would query the same workers,
    /// and most of them would not get the capacity.
    fn choose_workers_to_query(
        &self,
        now: Instant,
        pending: &PendingStep,
        cycle: &SchedulingCycle,
        needed_count: usize,
    ) -> Vec<WorkerKey> {
        let suitable_share = self.suitable_share_of(&pending.record.queue);
        let advice = &self.advice[&pending.key];
        let mut wanted = needed_count as f64 * QUERIED_CAPACITY_FACTOR;
        let mut queried = Vec::new();
        for candidate in self.candidates(now, pending, cycle, advice.suitable_workers().into_iter())
        {
            if wanted <= 0.0 || queried.len() >= QUERIED_PER_REQUEST_LIMIT_COUNT {
                return queried;
            }
            let fit_count = self
                .unreserved_fit_count(&candidate, pending)
                .min(needed_count as u32);
            if fit_count > 0 {
                wanted -= f64::from(fit_count);
                queried.push(candidate.worker);
            }
        }
        let must_leave_headroom = self.must_leave_headroom(now, pending, cycle);
        let packed = self.packed_order(pending, must_leave_headroom, cycle);
        let examined_count = packed.as_ref().map_or(0, |_| PACKED_EXAMINED_COUNT);
        let rest = cycle.freest_for(&pending.demand, examined_count);
        for key in packed.unwrap_or_default().into_iter().chain(rest) {
            if wanted <= 0.0 || queried.len() >= QUERIED_PER_REQUEST_LIMIT_COUNT {
                break;
            }
            if advice.is_known(key) {
                continue;
            }
            let Some(mut candidate) = self.candidate(pending, key, &self.workers[key]) else {
                continue;
            };
            candidate.free -= cycle.reserved_from(pending, key);
            if must_leave_headroom {
                candidate.free -= cycle.headroom_on(key);
            }
            let fit_count = self
                .unreserved_fit_count(&candidate, pending)
                .min(needed_count as u32);
            if fit_count > 0 {
                wanted -= suitable_share * f64::from(fit_count);
                queried.push(key);
            }
        }
        if pending.spec().data_rack.is_some() {
            self.prefer_near_data(now, pending, cycle, &mut queried);
        }
        queried
    }

    /// Returns the fullest unknown workers with capacity for a small task, lowest packing cost
    /// first. Returns `None` if the step should query the workers with most free capacity instead.
    fn packed_order(
        &self,
        pending: &PendingStep,
        must_leave_headroom: bool,
        cycle: &SchedulingCycle,
    ) -> Option<Vec<WorkerKey>> {
        let packing = cycle.packing(&pending.service)?;
        if pending.spec().is_gang || has_large_tasks(pending, cycle) {
            return None;
        }
        let advice = &self.advice[&pending.key];
        let unknown = cycle
            .fullest_for(&pending.demand)
            .take(PACKED_EXAMINED_COUNT)
            .filter(|key| !advice.is_known(*key));
        let fitting = unknown.filter_map(|key| {
            let mut candidate = self.candidate(pending, key, &self.workers[key])?;
            candidate.free -= cycle.reserved_from(pending, key) + self.workers[key].soft_reserved();
            if must_leave_headroom {
                candidate.free -= cycle.headroom_on(key);
            }
            (candidate.fit_count(&pending.demand) > 0).then_some(candidate)
        });
        let mut fitting: Vec<Candidate> = fitting.collect();
        fitting.sort_by_cached_key(|it| (packing.cost(&it.free, &pending.demand), it.worker));
        Some(fitting.into_iter().map(|it| it.worker).collect())
    }

    /// Returns how many tasks fit alongside the soft reservations of other steps.
    fn unreserved_fit_count(&self, candidate: &Candidate, pending: &PendingStep) -> u32 {
        let mut candidate = candidate.clone();
        candidate.free -= self.workers[candidate.worker].soft_reserved();
        candidate.fit_count(&pending.demand)
    }

    /// Adds soft reservations for a step's tasks on the queried workers, in their order. They keep
    /// other steps from querying the workers for this capacity, but not from using it.
    fn add_soft_reservations(
        &mut self,
        pending: &PendingStep,
        queried: &[WorkerKey],
        needed_count: usize,
    ) {
        let mut remaining_count = needed_count as u32;
        for &key in queried {
            let fit_count = count_fitting(&self.workers[key].free(), &pending.demand);
            let count = fit_count.min(remaining_count);
            if count > 0 {
                self.workers[key].add_soft_reservation(pending.key, &pending.demand, count);
            }
            remaining_count -= count;
        }
    }

    /// Moves unknown workers near the step's data to the front.
    fn prefer_near_data(
        &self,
        now: Instant,
        pending: &PendingStep,
        cycle: &SchedulingCycle,
        queried: &mut Vec<WorkerKey>,
    ) {
        let advice = &self.advice[&pending.key];
        let count = queried.len();
        let unknown = cycle.workers_for(&pending.demand);
        let unknown = unknown.filter(|key| !advice.is_known(*key));
        let near = self.candidates(now, pending, cycle, unknown);
        let near = near.iter().filter(|candidate| candidate.is_near_data);
        let mut preferred: Vec<WorkerKey> = near.map(|candidate| candidate.worker).collect();
        preferred.extend(
            queried
                .iter()
                .filter(|key| !preferred.contains(key))
                .copied()
                .collect::<Vec<_>>(),
        );
        preferred.truncate(count);
        *queried = preferred;
    }

    /// Sends requests about the given workers, split among nodes. Returns whether at least one
    /// request was sent.
    pub(crate) fn request_advice(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        policy: AdvicePolicy,
        queried: Vec<WorkerKey>,
        out: &mut Vec<Action>,
    ) -> bool {
        let requests = queried.chunks(self.workers_per_request(now, policy, queried.len()));
        let sent = requests
            .take_while(|request| self.send_advice_request(now, pending, policy, request, out));
        sent.count() > 0
    }

    /// Returns how many workers each request queries. With many idle nodes, several query fewer
    /// workers each, and the replies arrive sooner.
    fn workers_per_request(
        &self,
        now: Instant,
        policy: AdvicePolicy,
        queried_count: usize,
    ) -> usize {
        let idle_nodes_count = self.adviser_nodes.idle_nodes_count(now, policy.cost(1));
        let requests_count = (idle_nodes_count / IDLE_NODES_PER_REQUEST).max(1);
        let cheap_extra_count =
            policy.decision_ms * REQUEST_COST_SHARE / policy.per_worker_ms.max(0.01);
        let min_count = (cheap_extra_count as usize).clamp(1, QUERIED_PER_REQUEST_LIMIT_COUNT);
        let even_count = queried_count.div_ceil(requests_count);
        even_count.clamp(min_count, QUERIED_PER_REQUEST_LIMIT_COUNT)
    }

    /// Sends one request through a node. Returns whether a node could take it.
    fn send_advice_request(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        policy: AdvicePolicy,
        queried: &[WorkerKey],
        out: &mut Vec<Action>,
    ) -> bool {
        let cost = policy.cost(queried.len());
        let is_deferrable = self.is_deferrable(now, pending.key.job);
        let Some(assignment) = self.adviser_nodes.assign(now, cost, is_deferrable) else {
            return false;
        };
        let Some(advice) = self.advice.get_mut(&pending.key) else {
            return false;
        };
        self.retries.advice.record_first_call();
        advice.pending_requests.push(AdviceRequest {
            sent_at: now,
            node: assignment.node.clone(),
            queried: Box::from(queried),
        });
        let line = Decision::new(DecisionKind::AdviceRequested, "workers with room");
        let line = line
            .with_job(pending.key.job)
            .with_figure(queried.len() as u64);
        out.push(Action::Log(line));
        let workers = queried.iter().map(|&key| self.workers[key].endpoint(key));
        out.push(Action::Advise {
            step: pending.key,
            workers: workers.collect(),
            node: assignment.node,
            expected: assignment.expected,
        });
        true
    }

    /// Removes the advice for a step without tasks left to start, and its soft reservations.
    pub(crate) fn remove_advice(&mut self, step: StepKey) {
        let Some(advice) = self.advice.remove(&step) else {
            return;
        };
        let queried = advice
            .pending_requests
            .iter()
            .flat_map(|request| request.queried.iter());
        for worker in queried {
            self.workers[*worker].drop_soft_reservation(step);
        }
    }

    /// Returns the expected share of suitable workers among unknown ones, for steps of a queue.
    pub(crate) fn suitable_share_of(&self, queue: &str) -> f64 {
        let counts = self.suitable_counts.get(queue);
        let (suitable, queried) = counts.copied().unwrap_or((INITIAL_SUITABLE_SHARE, 1.0));
        (suitable / queried).max(MIN_SUITABLE_SHARE)
    }

    /// Handles the reply to an advice request, or its failure.
    pub(crate) fn on_advice_answered(
        &mut self,
        now: Instant,
        step: StepKey,
        queried: &[WorkerKey],
        reply: AdviceReply,
        out: &mut Vec<Action>,
    ) {
        self.is_cycle_due = true;
        for &worker in queried {
            self.workers[worker].drop_soft_reservation(step);
        }
        let Some(advice) = self.advice.get_mut(&step) else {
            return;
        };
        let Some(request) = advice.remove_request(queried) else {
            return;
        };
        let waited_ms = now.since(request.sent_at).as_ms();
        let AdviceReply::Answered { tickets, validity } = reply else {
            let is_retried = self.retries.advice.spend();
            let wait = if is_retried {
                ADVICE_RETRY_DELAY
            } else {
                ADVICE_OVER_BUDGET_DELAY
            };
            advice.retry_at = now + wait;
            self.release_reservations(step);
            self.adviser_nodes.pause_node(now, &request.node);
            let line = Decision::new(DecisionKind::AdviceAnswered, "no answer");
            out.push(Action::Log(line.with_job(step.job).with_figure(waited_ms)));
            return;
        };
        advice.last_answer_at = now;
        advice.next_search_at = now;
        let suitable: Vec<(WorkerKey, Arc<str>)> = tickets
            .into_iter()
            .filter_map(|ticket| {
                // An incarnation that began after the request was sent was not queried.
                let worker = self.workers_by_id.get(&ticket.worker)?;
                queried.contains(worker).then_some((*worker, ticket.text))
            })
            .collect();
        // Only workers that were unknown before indicate how many unknown ones are suitable.
        let newly_queried: Vec<WorkerKey> = queried
            .iter()
            .filter(|worker| !advice.is_known(**worker))
            .copied()
            .collect();
        let newly_suitable = suitable
            .iter()
            .filter(|(w, _)| newly_queried.contains(w))
            .count();
        advice.record_reply(now, queried, &suitable, validity);
        let line = Decision::new(DecisionKind::AdviceAnswered, "answered")
            .with_job(step.job)
            .with_figure(waited_ms)
            .with_suitable_count(suitable.len());
        out.push(Action::Log(line));
        self.record_suitable_share(step, newly_suitable, newly_queried.len());
    }

    fn record_suitable_share(
        &mut self,
        step: StepKey,
        suitable_count: usize,
        queried_count: usize,
    ) {
        let queue = self.jobs.get(&step.job).map(|job| job.record.queue.clone());
        let Some(queue) = queue else {
            return;
        };
        let counts = self
            .suitable_counts
            .entry(queue)
            .or_insert((INITIAL_SUITABLE_SHARE, 1.0));
        counts.0 = counts.0 * SUITABLE_SHARE_DECAY + suitable_count as f64;
        counts.1 = counts.1 * SUITABLE_SHARE_DECAY + queried_count as f64;
    }
}

/// Returns whether the cycle has unreserved cores for at least one task of a step, or the step may
/// use reserved ones.
pub(crate) fn has_unreserved_capacity(cycle: &SchedulingCycle, pending: &PendingStep) -> bool {
    pending.ignores_reservations
        || cycle.unreserved_milli(&pending.service) >= i64::from(pending.demand.cores_milli)
}

/// Subtracts the demand of a step's tasks from the cycle's unreserved cores.
pub(crate) fn reserve_in_cycle(
    cycle: &mut SchedulingCycle,
    pending: &PendingStep,
    tasks_count: usize,
) {
    let reserved_milli = i64::from(pending.demand.cores_milli) * tasks_count as i64;
    cycle.subtract_unreserved(&pending.service, reserved_milli);
}
