//! Assigns waiting tasks to workers.

use crate::advice_requests::{has_unreserved_capacity, reserve_in_cycle};
use crate::candidate::{prefer_one_rack, total_fit_count, Candidate};
use crate::commits::Effect;
use crate::config::AdvicePolicy;
use crate::cycle::{CycleSummary, SchedulingCycle};
use crate::decision::{Decision, DecisionKind};
use crate::event::Action;
use crate::interference::RunRole;
use crate::job::{JobId, JobRecord, StepKey, StepSpec, TaskKey};
use crate::scheduler::Scheduler;
use crate::state::{StepState, TaskStatus};
use crate::wait_reasons::WaitReason;
use crate::worker::{Run, WorkerKey};
use ospreywing_types::{Duration, Instant, Resources};
use std::sync::Arc;

/// Limits how many steps one cycle examines; the next cycle takes the rest.
const EXAMINED_STEPS_LIMIT_COUNT: usize = 400;

/// A step with more slack than this leaves free capacity to waiting gangs.
const YIELD_SLACK: Duration = Duration::from_ms(4000);
/// Steps yield to gangs only while less than 1/`YIELD_FREE_DIVISOR` of the cores is free. The
/// platform requires that work which fits twice over starts within 3 s while more than half is
/// free, so deferrable work must not wait then. Free capacity in total need not fit a gang whose
/// members each take a third of a worker: with a third instead of half, wide gangs achieved 0.44 of
/// their value instead of 0.59 on 350 workers with 16 cores (mean of 15 simulated runs of five
/// loads).
const YIELD_FREE_DIVISOR: u64 = 2;

/// How long a step waits for capacity that is reserved for others while less than half of its
/// service is in use. The platform requires that work which fits twice over starts within 3 s then;
/// the rest of the time is for advice, the record and the start.
const RESERVATIONS_WAIT_LIMIT: Duration = Duration::from_ms(1500);

/// Returns the capacity that a task occupies on its worker. Fillers occupy no cores.
pub(crate) fn counted_demand(spec: &StepSpec) -> Resources {
    let mut demand = spec.demand;
    if spec.is_filler {
        demand.cores_milli = 0;
    }
    demand
}

/// A step with tasks that wait for placement, as seen by a scheduling cycle.
pub(crate) struct PendingStep {
    pub(crate) key: StepKey,
    pub(crate) record: Arc<JobRecord>,
    /// The indices of the tasks that wait.
    pub(crate) waiting: Vec<u32>,
    /// What each task occupies on a worker, see [`counted_demand`].
    pub(crate) demand: Resources,
    /// The queue's advice policy, if it needs advice.
    pub(crate) advice: Option<AdvicePolicy>,
    /// The service on whose workers the step currently runs.
    pub(crate) service: Arc<str>,
    /// Whether the step may use capacity that is reserved in the cycle for steps examined
    /// earlier.
    pub(crate) ignores_reservations: bool,
}

impl PendingStep {
    pub(crate) fn spec(&self) -> &StepSpec {
        &self.record.spec.steps[self.key.step as usize]
    }
}

impl Scheduler {
    /// Runs a scheduling cycle: places all tasks that can be placed. Returns the number of steps
    /// examined.
    pub(crate) fn run_scheduling_cycle(&mut self, now: Instant, out: &mut Vec<Action>) -> usize {
        self.waits.begin_cycle();
        if self.are_starts_paused {
            self.shares.mark_none_short(now);
            self.last_cycle = CycleSummary::default();
            self.end_overloads(now, out);
            return 0;
        }
        // Most cycles find no waiting step, and iterating over all workers is the main cost of a
        // cycle.
        if !self.has_ready_step() {
            self.shares.mark_none_short(now);
            self.last_cycle = CycleSummary::default();
            self.end_overloads(now, out);
            return 0;
        }
        let mut cycle = self.new_cycle(now);
        self.begin_reservations(now, &mut cycle);
        self.refresh_shares(now, &cycle, out);
        self.rank_overloaded(now, &cycle, out);
        let order = self.scheduling_order(now);
        self.place_steps(now, order, &mut cycle, out);
        self.last_cycle = CycleSummary {
            reserved_workers_count: cycle.reserved_workers_count(),
            waiting_gangs_count: cycle.waiting_gangs_count,
        };
        cycle.examined_count
    }

    /// Returns whether any job has a step that is ready to start.
    fn has_ready_step(&mut self) -> bool {
        let mut jobs = self.active.values();
        jobs.any(|id| {
            let job = self.jobs.get_mut(id);
            job.is_some_and(|job| job.has_ready_step(*id))
        })
    }

    fn place_steps(
        &mut self,
        now: Instant,
        order: Vec<JobId>,
        cycle: &mut SchedulingCycle,
        out: &mut Vec<Action>,
    ) {
        for id in order {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            for step in job.ready_steps(id) {
                self.place_step(now, step, cycle, out);
            }
            if cycle.examined_count >= EXAMINED_STEPS_LIMIT_COUNT {
                return;
            }
        }
    }

    fn place_step(
        &mut self,
        now: Instant,
        key: StepKey,
        cycle: &mut SchedulingCycle,
        out: &mut Vec<Action>,
    ) {
        let reason = self.examine_step(now, key, cycle, out);
        self.waits.update(now, key, reason);
    }

    /// Tries to place a step. Returns why it waits if any of its tasks still do.
    fn examine_step(
        &mut self,
        now: Instant,
        key: StepKey,
        cycle: &mut SchedulingCycle,
        out: &mut Vec<Action>,
    ) -> Option<WaitReason> {
        let charge = self.charge_of(key);
        let allowance = self.allowance(now, key, charge, cycle);
        if let Some(reason) = self.limit_wait_reason(now, key, charge, allowance, cycle, out) {
            return Some(reason);
        }
        cycle.examined_count += 1;
        let Some(mut pending) = self.pending_step(key, allowance.allowed_count) else {
            // Other members of the previous run may be alive.
            return Some(WaitReason::PreviousRun);
        };
        pending.ignores_reservations = self.ignores_reservations(now, &pending, cycle);
        if self.yields_to_gangs(now, &pending, cycle) {
            return Some(WaitReason::Gangs);
        }
        let reason = self.place_or_reserve(now, &pending, cycle, out);
        self.update_limit_reservations(now, &pending, charge, cycle);
        reason
    }

    /// Returns why a step waits whose tasks could not all be placed.
    fn capacity_wait_reason(&self, now: Instant, pending: &PendingStep) -> WaitReason {
        if self.is_confined_to_cordons(pending) {
            return WaitReason::Cordon;
        }
        let Some((advice, policy)) = self.advice.get(&pending.key).zip(pending.advice) else {
            return WaitReason::Capacity;
        };
        if advice.has_pending_request() {
            WaitReason::Advice
        } else if now < advice.retry_at {
            WaitReason::AdviceRetry
        } else if self.is_deferrable(now, pending.key.job)
            && self.adviser_nodes.must_defer(now, policy.cost(1))
        {
            WaitReason::AdviserNodes
        } else {
            WaitReason::Capacity
        }
    }

    /// Places as many tasks of a step as possible. For the rest, preempts runs, reserves capacity
    /// or requests advice, and returns why they wait.
    fn place_or_reserve(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        cycle: &mut SchedulingCycle,
        out: &mut Vec<Action>,
    ) -> Option<WaitReason> {
        let Some(policy) = pending.advice else {
            let mut placed_count = 0;
            if has_unreserved_capacity(cycle, pending) {
                let workers = cycle.workers_for(&pending.demand);
                let candidates = self.candidates(now, pending, cycle, workers);
                placed_count = self.allocate(now, pending, candidates, out);
            }
            let missing_count = pending.waiting.len() - placed_count;
            if missing_count == 0 {
                return None;
            }
            self.preempt_for_share(now, pending, cycle, missing_count, out);
            self.reserve_expected_capacity_unadvised(now, pending, missing_count, cycle);
            return Some(self.capacity_wait_reason(now, pending));
        };
        if pending.spec().is_gang {
            self.place_gang(now, pending, policy, cycle, out)
        } else {
            self.place_tasks(now, pending, policy, cycle, out)
        }
    }

    /// Places a gang whose queue needs advice. If it can't be placed, searches for capacity or
    /// waits for what it has requested.
    fn place_gang(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        policy: AdvicePolicy,
        cycle: &mut SchedulingCycle,
        out: &mut Vec<Action>,
    ) -> Option<WaitReason> {
        let advice = self.advice.entry(pending.key).or_default();
        if advice.has_pending_request() {
            if !self.can_fit_gang(pending, cycle) {
                return Some(WaitReason::Advice);
            }
            reserve_in_cycle(cycle, pending, pending.waiting.len());
            if !self.reservations.contains_key(&pending.key) {
                self.reserve_expected_capacity_for_gang(now, pending, policy, cycle, out);
            }
            return Some(WaitReason::Advice);
        }
        let ticketed_workers = advice.ticketed_workers(now);
        let placed_count =
            self.place_on_ticketed_workers(now, pending, &ticketed_workers, cycle, out);
        if placed_count > 0 {
            return None;
        }
        if self.awaits_stops(now, pending, &ticketed_workers) {
            return Some(WaitReason::Stops);
        }
        if self.awaits_probation(now, pending, &ticketed_workers) {
            return Some(WaitReason::Probation);
        }
        // The reply has arrived: the reserved capacity has been used or is released.
        self.release_reservations(pending.key);
        if now >= self.advice[&pending.key].retry_at {
            self.find_capacity_for_gang(now, pending, policy, cycle, out);
        }
        Some(self.capacity_wait_reason(now, pending))
    }

    /// Places tasks whose queue needs advice on workers with valid tickets, and requests advice for
    /// the rest.
    fn place_tasks(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        policy: AdvicePolicy,
        cycle: &mut SchedulingCycle,
        out: &mut Vec<Action>,
    ) -> Option<WaitReason> {
        let advice = self.advice.entry(pending.key).or_default();
        let ticketed_workers = advice.ticketed_workers(now);
        let placed_count =
            self.place_on_ticketed_workers(now, pending, &ticketed_workers, cycle, out);
        let missing_count = pending.waiting.len() - placed_count;
        if missing_count == 0 {
            return None;
        }
        if self.awaits_probation(now, pending, &ticketed_workers) {
            return Some(WaitReason::Probation);
        }
        if self.advice[&pending.key].has_pending_request() {
            reserve_in_cycle(cycle, pending, missing_count);
        } else {
            self.request_advice_for_tasks(now, pending, policy, missing_count, cycle, out);
        }
        self.reserve_expected_capacity(now, pending, policy, missing_count, cycle, out);
        Some(self.capacity_wait_reason(now, pending))
    }

    fn place_on_ticketed_workers(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        ticketed_workers: &[WorkerKey],
        cycle: &SchedulingCycle,
        out: &mut Vec<Action>,
    ) -> usize {
        if ticketed_workers.is_empty() {
            return 0;
        }
        let candidates = self.candidates(now, pending, cycle, ticketed_workers.iter().copied());
        self.allocate(now, pending, candidates, out)
    }

    /// Returns whether a gang with valid tickets waits only for runs that are being stopped for it.
    fn awaits_stops(
        &self,
        now: Instant,
        pending: &PendingStep,
        ticketed_workers: &[WorkerKey],
    ) -> bool {
        pending.spec().is_gang
            && self.reservations.contains_key(&pending.key)
            && self.will_fit_after_stops(now, pending, ticketed_workers)
    }

    /// Returns whether a step with valid tickets waits only for a worker on which a suspected task
    /// may run on probation. Further tickets would not provide one.
    fn awaits_probation(
        &self,
        now: Instant,
        pending: &PendingStep,
        ticketed_workers: &[WorkerKey],
    ) -> bool {
        !ticketed_workers.is_empty() && self.is_awaiting_probation(now, pending.key.job)
    }

    /// Returns whether a step leaves free capacity to waiting gangs. A gang needs a large amount at
    /// once, which deferrable tasks would otherwise use up piece by piece.
    fn yields_to_gangs(
        &self,
        now: Instant,
        pending: &PendingStep,
        cycle: &SchedulingCycle,
    ) -> bool {
        let is_scarce = cycle.free_milli * YIELD_FREE_DIVISOR < cycle.capacity_milli;
        if cycle.waiting_gangs_count == 0 || !is_scarce || pending.spec().is_gang {
            return false;
        }
        let Some(job) = self.jobs.get(&pending.key.job) else {
            return false;
        };
        let end_with_slack = now + Duration::from_ms(job.remaining_ms) + YIELD_SLACK;
        end_with_slack < job.accepted_at + job.objective
    }

    /// Returns the tasks of a step that may be placed: as many as its customer's limit allows, or a
    /// whole gang. Returns `None` if there are none.
    fn pending_step(&mut self, key: StepKey, allowed_count: u32) -> Option<PendingStep> {
        let job = self.jobs.get(&key.job)?;
        let spec = job.record.spec.steps.get(key.step as usize)?;
        let step = job.state.round(key.round)?.steps.get(key.step as usize)?;
        let mut waiting = waiting_tasks(step);
        if waiting.is_empty() || (spec.is_gang && waiting.len() < step.tasks.len()) {
            return None;
        }
        waiting.truncate(allowed_count as usize);
        let queue = job.queue(&self.configuration);
        Some(PendingStep {
            service: self.name_interner.intern(&queue.service),
            key,
            waiting,
            demand: counted_demand(spec),
            advice: queue.advice,
            record: job.record.clone(),
            ignores_reservations: false,
        })
    }

    /// Returns whether a step may use capacity that is reserved for steps examined earlier. These
    /// may wait long for the rest of the capacity they need, or for ever, and meanwhile less than
    /// half of the service may be in use.
    fn ignores_reservations(
        &self,
        now: Instant,
        pending: &PendingStep,
        cycle: &SchedulingCycle,
    ) -> bool {
        let since = self.waits.since(pending.key);
        let has_waited = since.is_some_and(|at| now.since(at) >= RESERVATIONS_WAIT_LIMIT);
        has_waited && !cycle.is_half_used(&pending.service)
    }

    /// Returns whether tasks of a step need a ticket to start on a worker.
    pub(crate) fn needs_ticket(&self, step: StepKey) -> bool {
        let job = self.jobs.get(&step.job);
        job.is_some_and(|job| job.queue(&self.configuration).advice.is_some())
    }

    /// Places as many waiting tasks as fit; a gang is placed whole or not at all. Returns the
    /// number of tasks placed.
    fn allocate(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        mut candidates: Vec<Candidate>,
        out: &mut Vec<Action>,
    ) -> usize {
        let spec = pending.spec();
        if spec.is_gang {
            if spec.is_same_rack {
                candidates = prefer_one_rack(candidates, &pending.demand, pending.waiting.len());
            }
            if total_fit_count(&candidates, &pending.demand) < pending.waiting.len() as u64 {
                return 0;
            }
        }
        let is_awaiting_probation = self.is_awaiting_probation(now, pending.key.job);
        let mut assigned = Vec::new();
        for &index in &pending.waiting {
            let task = pending.key.task(index);
            let fitting = candidates.iter_mut().find(|c| {
                let can_hold_task = c.remaining_count > 0 && pending.demand.fits_in(&c.free);
                can_hold_task
                    && (!is_awaiting_probation || self.is_probation_worker(task, c.worker))
            });
            match fitting {
                Some(candidate) => {
                    candidate.subtract_task(&pending.demand);
                    assigned.push((task, candidate.worker));
                }
                // A worker that isn't allowed for this suspected task may be allowed for the next
                // one.
                None if is_awaiting_probation => {}
                None => break,
            }
        }
        let count = assigned.len();
        if spec.is_gang && count < pending.waiting.len() {
            return 0;
        }
        let run = self.next_run(pending);
        for (task, worker) in assigned {
            self.record_start(now, pending, task, worker, run, out);
        }
        if count > 0 {
            self.release_reservations(pending.key);
            // The gang that broke was an earlier run.
            self.broken_gangs.remove(&pending.key);
        }
        count
    }

    /// Returns the run number shared by all members of a gang, or `None` for single tasks.
    fn next_run(&self, pending: &PendingStep) -> Option<u32> {
        if !pending.spec().is_gang {
            return None;
        }
        let job = self.jobs.get(&pending.key.job)?;
        let step = job.state.round(pending.key.round)?;
        let step = step.steps.get(pending.key.step as usize)?;
        step.tasks.iter().map(|task| task.last_run + 1).max()
    }

    /// Records the start of a run. The start is sent once the record is in the store.
    fn record_start(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        task: TaskKey,
        key: WorkerKey,
        gang_run: Option<u32>,
        out: &mut Vec<Action>,
    ) {
        let id = self.workers[key].facts.id.clone();
        let incarnation = self.workers[key].incarnation;
        let is_on_probation = self.is_suspect(task);
        let Some(state) = self.task_state_mut(task) else {
            return;
        };
        let number = gang_run.unwrap_or(state.last_run + 1);
        state.last_run = number;
        state.status = TaskStatus::Placed {
            worker: id.to_string(),
            incarnation,
        };
        let run = Run {
            role: RunRole::of(pending.spec()),
            is_on_probation,
            charge: self.charge_of(pending.key),
            ..Run::new(number, pending.demand, now)
        };
        self.add_run(key, task, run);
        self.placements.insert(task, key);
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            job.is_held_by_limit = false;
        }
        let free = self.workers[key].free().cores_milli;
        let reason = if is_on_probation {
            "on trial after a crash"
        } else {
            "fullest that fits"
        };
        let line = Decision::new(DecisionKind::Placed, reason)
            .with_run(task, number)
            .with_worker(&id)
            .with_figure(u64::from(free));
        out.push(Action::Log(line));
        let effect = Effect::Start {
            worker: key,
            task,
            run: number,
        };
        self.queue_commit(task.step.job, Some(effect));
    }
}

fn waiting_tasks(step: &StepState) -> Vec<u32> {
    let tasks = step.tasks.iter().enumerate();
    tasks
        .filter(|(_, task)| task.status == TaskStatus::Waiting)
        .map(|(index, _)| index as u32)
        .collect()
}
