//! Placement: which waiting task goes to which worker.

use crate::asking::{claim_room, has_room};
use crate::candidate::{fit_sum, one_rack_first, Candidate};
use crate::commits::Effect;
use crate::config::AdvicePolicy;
use crate::cycle::{CycleSummary, SchedulingCycle};
use crate::decision::{Decision, DecisionKind};
use crate::event::Action;
use crate::interference::RunRole;
use crate::job::{JobId, JobRecord, StepKey, StepSpec, TaskKey};
use crate::scheduler::Scheduler;
use crate::state::{StepState, TaskStatus};
use crate::waiting::WaitReason;
use crate::worker::{Run, WorkerKey};
use ospreywing_types::{Duration, Instant, Resources};
use std::sync::Arc;

/// The most steps that one cycle looks at; the rest has its turn in the next.
const EXAMINED_LIMIT_COUNT: usize = 400;

/// A step with this much time to spare leaves room to gangs that wait.
const YIELD_SLACK: Duration = Duration::from_ms(4000);
/// Only where less than one of so many parts of the processors is free. The platform asks
/// that whatever has room twice over is started within 3 s while more than half is free, so
/// patient work must not wait then. Room that is free in sum need not hold a gang whose
/// members take a third of a worker: with a third in place of half, wide gangs earned 0.44
/// of their worth in place of 0.59 on 350 workers of 16 cores (mean of 15 plays of five
/// loads).
const YIELD_FREE_SHARE: u64 = 2;

/// Returns what a task counts against a worker's room.
pub(crate) fn counted_demand(spec: &StepSpec) -> Resources {
    let mut demand = spec.demand;
    if spec.is_filler {
        demand.cores_milli = 0;
    }
    demand
}

/// A step with tasks that wait to be placed, as a cycle looks at it.
pub(crate) struct PendingStep {
    pub(crate) key: StepKey,
    pub(crate) record: Arc<JobRecord>,
    pub(crate) waiting: Vec<u32>,
    pub(crate) demand: Resources,
    pub(crate) advice: Option<AdvicePolicy>,
    /// The service whose workers run the step now.
    pub(crate) service: Arc<str>,
}

impl PendingStep {
    pub(crate) fn spec(&self) -> &StepSpec {
        &self.record.spec.steps[self.key.step as usize]
    }
}

impl Scheduler {
    /// Places what can be placed; returns how many steps were looked at.
    pub(crate) fn place(&mut self, now: Instant, out: &mut Vec<Action>) -> usize {
        self.waits.begin_cycle();
        if self.are_starts_held {
            self.shares.mark_none_short(now);
            self.last_cycle = CycleSummary::default();
            self.end_overloads(now, out);
            return 0;
        }
        // Most cycles find nothing that waits, and going over all workers is what a cycle
        // costs.
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
        let order = self.service_order(now);
        self.place_all(now, order, &mut cycle, out);
        self.last_cycle = CycleSummary {
            awaited_workers_count: cycle.kept_workers_count(),
            waiting_gangs_count: cycle.waiting_gangs_count,
        };
        cycle.examined_count
    }

    /// Returns whether a step of any job may be started.
    fn has_ready_step(&mut self) -> bool {
        let mut jobs = self.active.values();
        jobs.any(|id| {
            let job = self.jobs.get_mut(id);
            job.is_some_and(|job| job.has_ready_step(*id))
        })
    }

    fn place_all(
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
            if cycle.examined_count >= EXAMINED_LIMIT_COUNT {
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
        let reason = self.look_at_step(now, key, cycle, out);
        self.waits.note(now, key, reason);
    }

    /// Serves a step; returns why it waits, where anything of it still does.
    fn look_at_step(
        &mut self,
        now: Instant,
        key: StepKey,
        cycle: &mut SchedulingCycle,
        out: &mut Vec<Action>,
    ) -> Option<WaitReason> {
        let charge = self.charge_of(key);
        let allowance = self.allowance(now, key, charge, cycle);
        if let Some(reason) = self.reason_to_hold(now, key, charge, allowance, cycle, out) {
            return Some(reason);
        }
        cycle.examined_count += 1;
        let Some(pending) = self.pending_step(key, allowance.allowed_count) else {
            // Its other members may be alive.
            return Some(WaitReason::LastRun);
        };
        if self.yields_to_gangs(now, &pending, cycle) {
            return Some(WaitReason::Gangs);
        }
        let reason = self.serve_step(now, &pending, cycle, out);
        self.note_served(now, &pending, charge, cycle);
        reason
    }

    /// Returns why a step waits whose tasks could not all be placed.
    fn reason_to_seek(&self, now: Instant, pending: &PendingStep) -> WaitReason {
        if self.is_confined_to_cordons(pending) {
            return WaitReason::Cordon;
        }
        let Some((advice, policy)) = self.advice.get(&pending.key).zip(pending.advice) else {
            return WaitReason::Room;
        };
        if advice.is_open() {
            WaitReason::Advice
        } else if now < advice.retry_at {
            WaitReason::AdviceRetry
        } else if self.is_patient(now, pending.key.job)
            && self.advisers.must_wait(now, policy.cost(1))
        {
            WaitReason::AdviceNode
        } else {
            WaitReason::Room
        }
    }

    /// Places what of a step can be placed, and brings the rest nearer to its room; returns
    /// why that waits.
    fn serve_step(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        cycle: &mut SchedulingCycle,
        out: &mut Vec<Action>,
    ) -> Option<WaitReason> {
        let Some(policy) = pending.advice else {
            let mut placed_count = 0;
            if has_room(cycle, pending) {
                let workers = cycle.workers_for(&pending.demand);
                let candidates = self.candidates(now, pending, cycle, workers);
                placed_count = self.allocate(now, pending, candidates, out);
            }
            let missing_count = pending.waiting.len() - placed_count;
            if missing_count == 0 {
                return None;
            }
            self.preempt_for_share(now, pending, cycle, missing_count, out);
            self.await_room(now, pending, missing_count, cycle);
            return Some(self.reason_to_seek(now, pending));
        };
        if pending.spec().is_gang {
            self.place_gang(now, pending, policy, cycle, out)
        } else {
            self.place_tasks(now, pending, policy, cycle, out)
        }
    }

    /// Places a gang whose queue needs advice, or brings it nearer to its room.
    fn place_gang(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        policy: AdvicePolicy,
        cycle: &mut SchedulingCycle,
        out: &mut Vec<Action>,
    ) -> Option<WaitReason> {
        let advice = self.advice.entry(pending.key).or_default();
        if advice.is_open() {
            claim_room(cycle, pending, pending.waiting.len());
            if !self.reservations.contains_key(&pending.key) {
                self.await_workers_for_gang(now, pending, policy, cycle, out);
            }
            return Some(WaitReason::Advice);
        }
        let ticketed = advice.ticketed(now);
        let placed_count = self.place_ticketed(now, pending, &ticketed, cycle, out);
        if placed_count > 0 {
            return None;
        }
        if self.awaits_stops(now, pending, &ticketed) {
            return Some(WaitReason::Stops);
        }
        if self.awaits_trial(now, pending, &ticketed) {
            return Some(WaitReason::Trial);
        }
        // The answer has come: what was kept has been used, or is given back.
        self.release_room(pending.key);
        if now >= self.advice[&pending.key].retry_at {
            self.seek_for_gang(now, pending, policy, cycle, out);
        }
        Some(self.reason_to_seek(now, pending))
    }

    /// Places tasks whose queue needs advice where tickets hold, and asks for
    /// more of them.
    fn place_tasks(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        policy: AdvicePolicy,
        cycle: &mut SchedulingCycle,
        out: &mut Vec<Action>,
    ) -> Option<WaitReason> {
        let advice = self.advice.entry(pending.key).or_default();
        let ticketed = advice.ticketed(now);
        let placed_count = self.place_ticketed(now, pending, &ticketed, cycle, out);
        let missing_count = pending.waiting.len() - placed_count;
        if missing_count == 0 {
            return None;
        }
        if self.awaits_trial(now, pending, &ticketed) {
            return Some(WaitReason::Trial);
        }
        if self.advice[&pending.key].is_open() {
            claim_room(cycle, pending, missing_count);
        } else {
            self.seek_for_tasks(now, pending, policy, missing_count, cycle, out);
        }
        self.await_workers(now, pending, policy, missing_count, cycle, out);
        Some(self.reason_to_seek(now, pending))
    }

    fn place_ticketed(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        ticketed: &[WorkerKey],
        cycle: &SchedulingCycle,
        out: &mut Vec<Action>,
    ) -> usize {
        if ticketed.is_empty() {
            return 0;
        }
        let candidates = self.candidates(now, pending, cycle, ticketed.iter().copied());
        self.allocate(now, pending, candidates, out)
    }

    /// Returns whether a gang that holds its tickets only waits for runs that
    /// are being stopped for it.
    fn awaits_stops(&self, now: Instant, pending: &PendingStep, ticketed: &[WorkerKey]) -> bool {
        pending.spec().is_gang
            && self.reservations.contains_key(&pending.key)
            && self.is_room_coming(now, pending, ticketed)
    }

    /// Returns whether a step that holds tickets only waits for a worker on which a suspect
    /// may be tried: further tickets would not bring one.
    fn awaits_trial(&self, now: Instant, pending: &PendingStep, ticketed: &[WorkerKey]) -> bool {
        !ticketed.is_empty() && self.is_kept_for_trial(now, pending.key.job)
    }

    /// Returns whether a step leaves room to gangs that wait for it: a gang needs
    /// much room at once, which tasks that can wait would take away bit by bit.
    fn yields_to_gangs(
        &self,
        now: Instant,
        pending: &PendingStep,
        cycle: &SchedulingCycle,
    ) -> bool {
        let is_crowded = cycle.free_milli * YIELD_FREE_SHARE < cycle.capacity_milli;
        if cycle.waiting_gangs_count == 0 || !is_crowded || pending.spec().is_gang {
            return false;
        }
        let Some(job) = self.jobs.get(&pending.key.job) else {
            return false;
        };
        let needed_until = now + Duration::from_ms(job.remaining_ms) + YIELD_SLACK;
        needed_until < job.accepted_at + job.objective
    }

    /// Returns what is to be placed of a step, where anything is: as many tasks as its
    /// customer's limit lets start, or a whole gang.
    fn pending_step(&mut self, key: StepKey, allowed_count: u32) -> Option<PendingStep> {
        let job = self.jobs.get(&key.job)?;
        let spec = job.record.spec.steps.get(key.step as usize)?;
        let step = job.state.round(key.round)?.steps.get(key.step as usize)?;
        let mut waiting = waiting_tasks(step);
        if waiting.is_empty() || (spec.is_gang && waiting.len() < step.tasks.len()) {
            return None;
        }
        waiting.truncate(allowed_count as usize);
        let queue = self.configuration.queue(&job.record.queue);
        let service = queue.map_or(&job.record.service, |queue| &queue.service);
        Some(PendingStep {
            service: self.names.keep(service),
            key,
            waiting,
            demand: counted_demand(spec),
            advice: queue.and_then(|queue| queue.advice),
            record: job.record.clone(),
        })
    }

    pub(crate) fn needs_ticket(&self, step: StepKey) -> bool {
        let job = self.jobs.get(&step.job);
        let queue = job.and_then(|job| self.configuration.queue(&job.record.queue));
        queue.is_some_and(|queue| queue.advice.is_some())
    }

    /// Places as many waiting tasks as fit, or a whole gang or nothing;
    /// returns how many.
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
                candidates = one_rack_first(candidates, &pending.demand, pending.waiting.len());
            }
            if fit_sum(&candidates, &pending.demand) < pending.waiting.len() as u64 {
                return 0;
            }
        }
        let is_kept = self.is_kept_for_trial(now, pending.key.job);
        let mut chosen = Vec::new();
        for &index in &pending.waiting {
            let task = pending.key.task(index);
            let fitting = candidates.iter_mut().find(|c| {
                let has_room = c.left_count > 0 && pending.demand.fits_in(&c.free);
                has_room && (!is_kept || self.is_trial_site(task, c.worker))
            });
            match fitting {
                Some(candidate) => {
                    candidate.take(&pending.demand);
                    chosen.push((task, candidate.worker));
                }
                // A worker that a suspect is kept from may do for the next task.
                None if is_kept => {}
                None => break,
            }
        }
        let count = chosen.len();
        if spec.is_gang && count < pending.waiting.len() {
            return 0;
        }
        let run = self.next_run(pending);
        for (task, worker) in chosen {
            self.record_start(now, pending, task, worker, run, out);
        }
        if count > 0 {
            self.release_room(pending.key);
            // What broke was an earlier run.
            self.broken_gangs.remove(&pending.key);
        }
        count
    }

    /// Returns the run that all members of a gang will share.
    fn next_run(&self, pending: &PendingStep) -> Option<u32> {
        if !pending.spec().is_gang {
            return None;
        }
        let job = self.jobs.get(&pending.key.job)?;
        let step = job.state.round(pending.key.round)?;
        let step = step.steps.get(pending.key.step as usize)?;
        step.tasks.iter().map(|task| task.last_run + 1).max()
    }

    /// Records a start; it is sent once the record is in the store.
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
        let life_start = self.workers[key].life_start;
        let is_on_trial = self.is_suspect(task);
        let Some(state) = self.task_state_mut(task) else {
            return;
        };
        let number = gang_run.unwrap_or(state.last_run + 1);
        state.last_run = number;
        state.status = TaskStatus::Placed {
            worker: id.to_string(),
            life_start,
        };
        let run = Run {
            role: RunRole::of(pending.spec()),
            is_on_trial,
            charge: self.charge_of(pending.key),
            ..Run::new(number, pending.demand, now)
        };
        self.add_run(key, task, run);
        self.placements.insert(task, key);
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            job.is_held_by_limit = false;
        }
        let free = self.workers[key].free().cores_milli;
        let reason = if is_on_trial {
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
        self.touch(task.step.job, Some(effect));
    }
}

fn waiting_tasks(step: &StepState) -> Vec<u32> {
    let tasks = step.tasks.iter().enumerate();
    tasks
        .filter(|(_, task)| task.status == TaskStatus::Waiting)
        .map(|(index, _)| index as u32)
        .collect()
}
