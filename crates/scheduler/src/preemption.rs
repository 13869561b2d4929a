//! Preemption: stops less urgent runs to free capacity for gangs and large tasks.
//!
//! A gang needs much capacity at once, on the few workers that are suitable for it. Tasks of less
//! urgent queues lose little if they have barely begun, or if they save checkpoints, since one is
//! written at the stop. A gang that can still be on time therefore takes their capacity while its
//! advice request is pending.
//!
//! Under fair sharing of scarce capacity, runs that save checkpoints may also be stopped if their
//! customer is the furthest over its share. They are stopped for jobs that would otherwise miss
//! their objective and whose customer is well under its share.

use crate::candidate::Candidate;
use crate::cycle::SchedulingCycle;
use crate::event::Action;
use crate::gangs::Reservation;
use crate::job::TaskKey;
use crate::jobs::Job;
use crate::placement::PendingStep;
use crate::scheduler::Scheduler;
use crate::scheduling_order::Prospect;
use crate::worker::{Run, RunPhase, Worker, WorkerKey};
use ospreywing_types::{Duration, Instant, Resources};

/// Runs of jobs with less slack than this are not preempted.
const VICTIM_SLACK: Duration = Duration::from_ms(3000);
/// A run with more progress than this will soon end by itself.
const VICTIM_PROGRESS_LIMIT_PERCENT: u32 = 70;
/// A run without checkpoints and with more progress than this would lose too much.
const UNSAVED_PROGRESS_LIMIT_PERCENT: u32 = 25;

/// A task that has been started this often is not preempted again, so that every task eventually
/// ends.
const VICTIM_RUNS_LIMIT_COUNT: u32 = 3;

/// A run that may be preempted.
#[derive(Clone, Copy, Debug)]
struct Victim {
    task: TaskKey,
    demand: Resources,
    progress_percent: u32,
}

/// A worker on which capacity may be freed.
struct PreemptionTarget {
    candidate: Candidate,
    /// Runs that may be preempted, least progress first.
    victims: Vec<Victim>,
    /// How many of the victims are to be stopped, from the front.
    stopped_count: usize,
    /// The members that fit once those have stopped.
    members_count: u32,
}

/// The gain from stopping further runs on one worker.
struct Gain {
    target: usize,
    stopped_count: usize,
    members_count: u32,
    /// The cores of the further runs to be stopped, per member gained.
    cost_milli: u32,
}

/// A plan that frees capacity for a gang.
pub(crate) struct PreemptionPlan {
    /// The capacity to reserve for it.
    pub(crate) reservations: Vec<Reservation>,
    /// The tasks to stop.
    pub(crate) victims: Vec<TaskKey>,
}

impl PreemptionTarget {
    fn free_after(&self, stopped_count: usize) -> Resources {
        let mut free = self.candidate.free;
        for victim in &self.victims[..stopped_count] {
            free += victim.demand;
        }
        free
    }

    fn fit_count_after(&self, stopped_count: usize, demand: &Resources) -> u32 {
        let mut candidate = self.candidate.clone();
        candidate.free = self.free_after(stopped_count);
        candidate.fit_count(demand)
    }

    /// Returns how many members fit if all victims are stopped.
    fn max_members_count(&self, demand: &Resources) -> u32 {
        self.fit_count_after(self.victims.len(), demand)
    }

    /// Returns the gain from the fewest further stops that let another member fit.
    fn next_gain(&self, target: usize, demand: &Resources) -> Option<Gain> {
        let mut cost_milli = 0;
        for stopped_count in self.stopped_count + 1..=self.victims.len() {
            cost_milli += self.victims[stopped_count - 1].demand.cores_milli;
            let members_count = self.fit_count_after(stopped_count, demand);
            if members_count > self.members_count {
                return Some(Gain {
                    target,
                    stopped_count,
                    members_count,
                    cost_milli: cost_milli / (members_count - self.members_count),
                });
            }
        }
        None
    }
}

impl Scheduler {
    /// Plans capacity for a whole gang on its suitable workers with as few stops as possible.
    /// Returns `None` if the gang can't be on time or can't fit.
    pub(crate) fn plan_preemption(
        &self,
        now: Instant,
        pending: &PendingStep,
        cycle: &SchedulingCycle,
        suitable: &[WorkerKey],
    ) -> Option<PreemptionPlan> {
        let job = self.jobs.get(&pending.key.job)?;
        if self.prospect(now, job) != Prospect::OnTime {
            return None;
        }
        let mut targets = self.targets(now, pending, cycle, suitable);
        let needed_count = pending.waiting.len() as u32;
        if !choose_victims(&mut targets, &pending.demand, needed_count) {
            return None;
        }
        Some(build_plan(targets, &pending.demand, needed_count))
    }

    /// Stops less urgent runs so that as many of `missing_count` tasks as possible fit on the
    /// workers known to be suitable for them.
    pub(crate) fn preempt_for_tasks(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        cycle: &SchedulingCycle,
        missing_count: usize,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get(&pending.key.job) else {
            return;
        };
        if self.prospect(now, job) != Prospect::OnTime {
            return;
        }
        let suitable = self.advice[&pending.key].suitable_workers();
        let mut targets = self.targets(now, pending, cycle, &suitable);
        let possible_count: u32 = targets
            .iter()
            .map(|target| target.max_members_count(&pending.demand))
            .sum();
        let needed_count = possible_count.min(missing_count as u32);
        if needed_count == 0 || !choose_victims(&mut targets, &pending.demand, needed_count) {
            return;
        }
        let plan = build_plan(targets, &pending.demand, needed_count);
        self.preempt(now, plan.victims, out);
    }

    /// Returns the given workers that can accept runs, with the runs that may be preempted on each.
    fn targets(
        &self,
        now: Instant,
        pending: &PendingStep,
        cycle: &SchedulingCycle,
        workers: &[WorkerKey],
    ) -> Vec<PreemptionTarget> {
        let mut targets = Vec::new();
        for &key in workers {
            let worker = &self.workers[key];
            if !worker.is_placeable(now) || cycle.has_reservation_on(key) {
                continue;
            }
            let Some(candidate) = self.candidate(pending, key, worker) else {
                continue;
            };
            let members_count = candidate.fit_count(&pending.demand);
            targets.push(PreemptionTarget {
                candidate,
                victims: self.victims_on(now, pending, worker),
                stopped_count: 0,
                members_count,
            });
        }
        targets
    }

    fn victims_on(&self, now: Instant, pending: &PendingStep, worker: &Worker) -> Vec<Victim> {
        let mut victims: Vec<Victim> = worker
            .runs
            .iter()
            .filter(|(task, run)| self.is_victim(now, pending, **task, run))
            .map(|(task, run)| Victim {
                task: *task,
                demand: run.demand,
                progress_percent: run.progress_percent,
            })
            .collect();
        victims.sort_by_key(|victim| (victim.progress_percent, victim.task));
        victims
    }

    /// Returns whether a run may be preempted for the step: it loses little, and it is less urgent
    /// and has slack, or its customer is over its share.
    fn is_victim(&self, now: Instant, pending: &PendingStep, task: TaskKey, run: &Run) -> bool {
        if !matches!(run.phase, RunPhase::Running { .. }) {
            return false;
        }
        let (Some(job), Some(for_job)) = (
            self.jobs.get(&task.step.job),
            self.jobs.get(&pending.key.job),
        ) else {
            return false;
        };
        let Some(spec) = job.record.spec.steps.get(task.step.step as usize) else {
            return false;
        };
        let limit_percent = if spec.saves_progress {
            VICTIM_PROGRESS_LIMIT_PERCENT
        } else {
            UNSAVED_PROGRESS_LIMIT_PERCENT
        };
        let is_cheap = run.progress_percent <= limit_percent
            && run.run <= VICTIM_RUNS_LIMIT_COUNT
            && !spec.is_gang
            && !spec.is_perpetual;
        let is_less_urgent = job.rank.0 > for_job.rank.0;
        let end_with_slack = now + Duration::from_ms(job.remaining_ms) + VICTIM_SLACK;
        let is_nearly_done = self.is_nearly_done(run);
        let can_be_delayed = is_less_urgent && end_with_slack < job.accepted_at + job.objective;
        is_cheap
            && !is_nearly_done
            && (can_be_delayed || spec.saves_progress && self.yields_share(now, job, for_job))
    }

    /// Returns whether a job's customer is over its share at the expense of the job `for_job`.
    fn yields_share(&self, now: Instant, job: &Job, for_job: &Job) -> bool {
        let preempted_customer = self.customer_to_preempt(now, for_job);
        job.service == for_job.service && preempted_customer == Some(job.customer)
    }

    /// Stops as few runs as possible of the customer that is furthest over its share, to fit
    /// `missing_count` tasks of a step that would otherwise miss its objective.
    pub(crate) fn preempt_for_share(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        cycle: &SchedulingCycle,
        missing_count: usize,
        out: &mut Vec<Action>,
    ) {
        let id = pending.key.job;
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let Some(preempted_customer) = self.customer_to_preempt(now, job) else {
            return;
        };
        if self.prospect(now, job) != Prospect::OnTime || !self.try_begin_share_search(now, id) {
            return;
        }
        let workers: Vec<WorkerKey> = cycle.workers().collect();
        let runs_any = |key: &&WorkerKey| {
            let mut runs = self.workers[**key].runs.values();
            runs.any(|run| run.charge.customer == preempted_customer)
        };
        let preemptable_workers: Vec<WorkerKey> =
            workers.iter().filter(runs_any).copied().collect();
        let mut targets = self.targets(now, pending, cycle, &preemptable_workers);
        for target in &mut targets {
            // Runs that are already being stopped count as free.
            let worker = &self.workers[target.candidate.worker];
            target.candidate.free = worker.free_after_stops() - worker.reserved(pending.key);
            target.members_count = target.candidate.fit_count(&pending.demand);
        }
        let possible_count = targets
            .iter()
            .map(|target| target.max_members_count(&pending.demand));
        let possible_count: u32 = possible_count.sum();
        let needed_count = match pending.spec().is_gang {
            true => missing_count as u32,
            false => possible_count.min(missing_count as u32),
        };
        if choose_victims(&mut targets, &pending.demand, needed_count) {
            let plan = build_plan(targets, &pending.demand, needed_count);
            self.preempt(now, plan.victims, out);
        }
    }

    /// Stops the chosen runs.
    pub(crate) fn preempt(&mut self, now: Instant, victims: Vec<TaskKey>, out: &mut Vec<Action>) {
        for task in victims {
            self.stop_task(now, task, "preempted", out);
        }
    }

    /// Returns whether a gang fits on the workers once the runs being stopped there have ended.
    pub(crate) fn will_fit_after_stops(
        &self,
        now: Instant,
        pending: &PendingStep,
        workers: &[WorkerKey],
    ) -> bool {
        let mut members_count = 0;
        for &key in workers {
            let worker = &self.workers[key];
            if !worker.is_placeable(now) {
                continue;
            }
            let Some(mut candidate) = self.candidate(pending, key, worker) else {
                continue;
            };
            candidate.free = worker.free_after_stops() - worker.reserved(pending.key);
            members_count += candidate.fit_count(&pending.demand);
        }
        members_count as usize >= pending.waiting.len()
    }
}

/// Chooses the cheapest victims until `needed_count` members fit. Returns whether they do.
fn choose_victims(targets: &mut [PreemptionTarget], demand: &Resources, needed_count: u32) -> bool {
    let mut members_count: u32 = targets.iter().map(|target| target.members_count).sum();
    while members_count < needed_count {
        let gains = targets
            .iter()
            .enumerate()
            .filter_map(|(number, target)| target.next_gain(number, demand));
        let Some(gain) = gains.min_by_key(|gain| (gain.cost_milli, gain.target)) else {
            return false;
        };
        let target = &mut targets[gain.target];
        members_count += gain.members_count - target.members_count;
        target.stopped_count = gain.stopped_count;
        target.members_count = gain.members_count;
    }
    true
}

fn build_plan(
    targets: Vec<PreemptionTarget>,
    demand: &Resources,
    needed_count: u32,
) -> PreemptionPlan {
    let mut plan = PreemptionPlan {
        reservations: Vec::new(),
        victims: Vec::new(),
    };
    let mut remaining_count = needed_count;
    // Workers with victims come first, so that no run is stopped needlessly.
    let (with_victims, free): (Vec<PreemptionTarget>, Vec<PreemptionTarget>) = targets
        .into_iter()
        .partition(|target| target.stopped_count > 0);
    for target in with_victims.into_iter().chain(free) {
        let count = target.members_count.min(remaining_count);
        if count == 0 {
            continue;
        }
        remaining_count -= count;
        plan.reservations
            .push(Reservation::new(target.candidate.worker, demand, count));
        let victims = target.victims[..target.stopped_count].iter();
        plan.victims.extend(victims.map(|victim| victim.task));
    }
    plan
}
