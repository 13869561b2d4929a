//! Reserves capacity that will become free on workers known to be suitable for a step.
//!
//! Whether a worker may run a step never changes, so a step with large tasks learns early which
//! workers are suitable. For such a step, and for every gang, this module reserves the workers on
//! which enough capacity will be free first, so that work examined later in the cycle doesn't use
//! it. It renews their tickets shortly before, so that tasks start as soon as the capacity is free.

use crate::advice_requests::QUERIED_PER_REQUEST_LIMIT_COUNT;
use crate::candidate::remaining_count;
use crate::config::AdvicePolicy;
use crate::cycle::SchedulingCycle;
use crate::event::Action;
use crate::packing::count_fitting;
use crate::placement::PendingStep;
use crate::scheduler::Scheduler;
use crate::worker::{Worker, WorkerKey};
use ospreywing_types::{Duration, Instant, Resources};

/// A step has large tasks if at most this many fill a worker. Capacity for smaller tasks becomes
/// free all the time.
const LARGE_TASKS_PER_WORKER_LIMIT_COUNT: u32 = 4;
/// Limits the steps that may reserve workers in one cycle. More would reserve too much of a small
/// cluster.
const WAITING_STEPS_LIMIT_COUNT: usize = 6;
/// Limits the gangs that may reserve workers in one cycle; the others do so in later cycles. With
/// ten, the achieved value fell on two enlarged clusters.
pub(crate) const WAITING_GANGS_LIMIT_COUNT: usize = 4;
/// Limits the share of the workers reserved for gangs. The rest stays for other work.
const GANG_RESERVED_WORKERS_PERCENT: usize = 60;
/// Tickets are requested this long before the capacity is expected, in addition to the time that
/// the request takes. The expected time is based on estimates that are off by half.
const TICKET_LEAD: Duration = Duration::from_ms(700);
/// Less urgent runs are preempted if capacity would become free later than this. Stopping a run
/// takes up to 400 ms, the platform's bound in the first deployments.
const PREEMPTION_MIN_DELAY: Duration = Duration::from_ms(500);
/// The capacity of the workers known to be suitable should be at least this multiple of the
/// capacity needed, as for gangs.
const SUITABLE_CAPACITY_FACTOR: u32 = 2;
/// How many workers beyond one per task are examined for a step without advice, most free
/// cores first. Estimating the ends of all runs on thousands of workers would take longer than
/// a cycle.
const EXTRA_WORKERS_COUNT: usize = 64;

/// A worker that will have capacity for one task of a step, and the delay until then.
#[derive(Clone, Copy, Debug)]
struct ExpectedCapacity {
    worker: WorkerKey,
    delay: Duration,
}

impl Scheduler {
    /// Reserves the workers on which the step's tasks will fit first, and requests tickets for them
    /// shortly before. Only steps with large tasks do this.
    pub(crate) fn reserve_expected_capacity(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        policy: AdvicePolicy,
        missing_count: usize,
        cycle: &mut SchedulingCycle,
        out: &mut Vec<Action>,
    ) {
        if cycle.waiting_steps_count >= WAITING_STEPS_LIMIT_COUNT
            || !has_large_tasks(pending, cycle)
        {
            return;
        }
        let suitable = self.advice[&pending.key].suitable_workers();
        let expected = self.expected_capacity(now, pending, suitable, missing_count, cycle);
        let Some(min_delay) = expected.first().map(|capacity| capacity.delay) else {
            return;
        };
        cycle.waiting_steps_count += 1;
        if expected
            .iter()
            .any(|capacity| capacity.delay > PREEMPTION_MIN_DELAY)
        {
            self.preempt_for_tasks(now, pending, cycle, missing_count, out);
        }
        for capacity in &expected {
            cycle.reserve_on(capacity.worker, pending.demand);
        }
        self.renew_tickets(now, pending, policy, &expected, min_delay, out);
    }

    /// Reserves the workers on which a gang will fit first, and requests tickets for them shortly
    /// before all its members fit. Call it only for gangs that [`Self::can_fit_gang`].
    pub(crate) fn reserve_expected_capacity_for_gang(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        policy: AdvicePolicy,
        cycle: &mut SchedulingCycle,
        out: &mut Vec<Action>,
    ) {
        if cycle.waiting_gangs_count >= WAITING_GANGS_LIMIT_COUNT {
            return;
        }
        cycle.waiting_gangs_count += 1;
        let needed_count = pending.waiting.len();
        let suitable = self.advice[&pending.key].suitable_workers();
        let expected = self.expected_capacity(now, pending, suitable, needed_count, cycle);
        reserve_for_gang(pending, &expected, cycle);
        if expected.len() == needed_count {
            let max_delay = expected
                .last()
                .map_or(Duration::ZERO, |capacity| capacity.delay);
            self.renew_tickets(now, pending, policy, &expected, max_delay, out);
        }
    }

    /// Reserves the workers on which a step without advice will fit first. Only steps with large
    /// tasks do this, in services that use packing and are at least half used.
    pub(crate) fn reserve_expected_capacity_unadvised(
        &self,
        now: Instant,
        pending: &PendingStep,
        missing_count: usize,
        cycle: &mut SchedulingCycle,
    ) {
        if !cycle.may_reserve_for_large_tasks(&pending.service) || !has_large_tasks(pending, cycle)
        {
            return;
        }
        let is_gang = pending.spec().is_gang;
        if is_gang && !self.can_fit_gang(pending, cycle) {
            return;
        }
        let (waiting_count, limit_count) = if is_gang {
            (&mut cycle.waiting_gangs_count, WAITING_GANGS_LIMIT_COUNT)
        } else {
            (&mut cycle.waiting_steps_count, WAITING_STEPS_LIMIT_COUNT)
        };
        if *waiting_count >= limit_count {
            return;
        }
        *waiting_count += 1;
        let eligible = cycle.workers().filter(|key| {
            let worker = &self.workers[*key];
            Self::is_eligible(pending, worker)
        });
        let eligible = eligible.take(missing_count + EXTRA_WORKERS_COUNT).collect();
        let expected = self.expected_capacity(now, pending, eligible, missing_count, cycle);
        if is_gang {
            return reserve_for_gang(pending, &expected, cycle);
        }
        for capacity in &expected {
            cycle.reserve_on(capacity.worker, pending.demand);
        }
    }

    /// Returns whether a gang fits on the workers that are or may be suitable for it, once these
    /// are empty. If it doesn't, it can't start before workers join, and capacity reserved for it
    /// would only keep other work waiting.
    pub(crate) fn can_fit_gang(&self, pending: &PendingStep, cycle: &SchedulingCycle) -> bool {
        let advice = self.advice.get(&pending.key);
        let mut missing_count = pending.waiting.len() as u64;
        for key in cycle.workers() {
            let worker = &self.workers[key];
            let is_unsuitable = advice.is_some_and(|advice| advice.is_unsuitable(key));
            if is_unsuitable || !Self::is_eligible(pending, worker) {
                continue;
            }
            let fit_count = count_fitting(&worker.facts.capacity, &pending.demand);
            let limit_count = remaining_count(worker, pending.key, pending.spec());
            missing_count = missing_count.saturating_sub(u64::from(fit_count.min(limit_count)));
            if missing_count == 0 {
                return true;
            }
        }
        false
    }

    /// Returns unknown workers to query, with or without free capacity, if those known to be
    /// suitable fit too few of the step's tasks.
    pub(crate) fn unknown_workers_to_query(
        &self,
        now: Instant,
        pending: &PendingStep,
        policy: AdvicePolicy,
        needed_count: usize,
        cycle: &SchedulingCycle,
    ) -> Vec<WorkerKey> {
        if !has_large_tasks(pending, cycle)
            || !self.adviser_nodes.has_idle_node(now, policy.cost(1))
        {
            return Vec::new();
        }
        let suitable = self.advice[&pending.key].suitable_workers();
        let placeable = suitable
            .iter()
            .filter(|key| self.workers[**key].is_placeable(now));
        let suitable_fit_count: u32 = placeable
            .map(|key| count_fitting(&self.workers[*key].facts.capacity, &pending.demand))
            .sum();
        let wanted_count = needed_count as u32 * SUITABLE_CAPACITY_FACTOR;
        if suitable_fit_count >= wanted_count {
            return Vec::new();
        }
        let unknown = self.unknown_workers(pending, cycle);
        let missing_count = f64::from(wanted_count - suitable_fit_count);
        self.choose_unknown_workers(
            now,
            pending,
            policy,
            unknown,
            missing_count,
            QUERIED_PER_REQUEST_LIMIT_COUNT,
        )
    }

    /// Returns where and when the tasks will fit on the given workers, earliest first, with one
    /// entry per task.
    fn expected_capacity(
        &self,
        now: Instant,
        pending: &PendingStep,
        workers: Vec<WorkerKey>,
        tasks_count: usize,
        cycle: &SchedulingCycle,
    ) -> Vec<ExpectedCapacity> {
        let mut found = Vec::new();
        for key in workers {
            let worker = &self.workers[key];
            if !worker.is_placeable(now) || !Self::is_eligible(pending, worker) {
                continue;
            }
            let reserved = worker.reserved(pending.key) + cycle.reserved_on(key);
            let remaining_count = remaining_count(worker, pending.key, pending.spec());
            let limit_count = remaining_count.min(tasks_count as u32);
            let delays = self.capacity_delays(worker, reserved, &pending.demand, limit_count);
            let capacities = delays.into_iter();
            found.extend(capacities.map(|delay| ExpectedCapacity { worker: key, delay }));
        }
        found.sort_by_key(|capacity| (capacity.delay, capacity.worker));
        found.truncate(tasks_count);
        found
    }

    /// Returns when a worker will have capacity for the first, the second and further tasks, up to
    /// a limit, based on the estimates of its runs. `reserved` is the capacity reserved for other
    /// steps on the worker.
    fn capacity_delays(
        &self,
        worker: &Worker,
        reserved: Resources,
        demand: &Resources,
        limit_count: u32,
    ) -> Vec<Duration> {
        let mut runs: Vec<(Duration, Resources)> = worker
            .runs
            .iter()
            .filter_map(|(task, run)| Some((self.remaining_time(*task, run)?, run.demand)))
            .collect();
        runs.sort_by_key(|(remaining, _)| *remaining);
        let mut used = worker.used + reserved;
        let mut fit_count = count_fitting(&(worker.facts.capacity - used), demand).min(limit_count);
        let mut delays = vec![Duration::ZERO; fit_count as usize];
        for (remaining, freed) in runs {
            used -= freed;
            let count = count_fitting(&(worker.facts.capacity - used), demand).min(limit_count);
            delays.extend((fit_count..count).map(|_| remaining));
            fit_count = fit_count.max(count);
        }
        delays
    }

    /// Requests tickets for workers that will soon have capacity, unless their tickets are valid
    /// until then.
    fn renew_tickets(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        policy: AdvicePolicy,
        expected: &[ExpectedCapacity],
        delay: Duration,
        out: &mut Vec<Action>,
    ) {
        let mut queried: Vec<WorkerKey> = expected.iter().map(|capacity| capacity.worker).collect();
        queried.sort_unstable();
        queried.dedup();
        let cost = policy.cost(queried.len());
        let is_near = delay <= cost + TICKET_LEAD;
        let advice = &self.advice[&pending.key];
        let is_valid = |key: &WorkerKey| advice.ticket(now + cost, *key).is_some();
        let are_valid = queried.iter().all(is_valid);
        if advice.has_pending_request() || now < advice.retry_at || !is_near || are_valid {
            return;
        }
        if self.adviser_nodes.has_idle_node(now, policy.cost(1)) {
            self.request_advice(now, pending, policy, queried, out);
        }
    }
}

/// Reserves the capacity expected first for a gang, on a limited share of the workers.
fn reserve_for_gang(
    pending: &PendingStep,
    expected: &[ExpectedCapacity],
    cycle: &mut SchedulingCycle,
) {
    let limit_count = cycle.workers_count() * GANG_RESERVED_WORKERS_PERCENT / 100;
    for capacity in expected {
        if cycle.reserved_workers_count() < limit_count || cycle.has_reservation_on(capacity.worker)
        {
            cycle.reserve_on(capacity.worker, pending.demand);
        }
    }
}

/// Returns whether few of the step's tasks fill a worker of its service.
pub(crate) fn has_large_tasks(pending: &PendingStep, cycle: &SchedulingCycle) -> bool {
    let largest = cycle.largest_capacity(&pending.service);
    count_fitting(&largest, &pending.demand) <= LARGE_TASKS_PER_WORKER_LIMIT_COUNT
}
