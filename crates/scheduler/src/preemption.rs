//! Preemption: room that less urgent work gives up to a gang.
//!
//! A gang needs much room at once, on the few workers that are good for it.
//! Tasks of less urgent queues lose little when they are stopped where they save
//! checkpoints, since one is written at the stop, or have barely begun. So a gang that can still be in time takes their room, while its call for
//! advice is on the way.
//!
//! Where room that is short is shared, runs that save checkpoints give way whose customer is
//! furthest over its share, to what a customer well under its own would miss.

use crate::candidate::Candidate;
use crate::cycle::SchedulingCycle;
use crate::event::Action;
use crate::gangs::Reservation;
use crate::job::TaskKey;
use crate::jobs::Job;
use crate::order::Prospect;
use crate::placing::PendingStep;
use crate::scheduler::Scheduler;
use crate::worker::{Run, RunPhase, Worker, WorkerKey};
use ospreywing_types::{Duration, Instant, Resources};

/// A job with less time to spare than this keeps its room.
const VICTIM_SLACK: Duration = Duration::from_ms(3000);
/// A run that is further on than this ends soon by itself.
const VICTIM_PROGRESS_PERCENT: u32 = 70;
/// A run that saves nothing and is further on than this loses too much.
const UNSAVED_PROGRESS_PERCENT: u32 = 25;

/// A task that was started this often is not stopped again, so that none is
/// stopped for ever.
const VICTIM_RUNS_COUNT: u32 = 3;

/// A run that may be stopped for a gang.
#[derive(Clone, Copy, Debug)]
struct Victim {
    task: TaskKey,
    demand: Resources,
    progress_percent: u32,
}

/// A worker on which a gang may make room.
struct Site {
    candidate: Candidate,
    /// Runs that may be stopped, the one that loses most last.
    victims: Vec<Victim>,
    /// How many of the victims are to be stopped.
    stopped_count: usize,
    /// The members that fit once they have been.
    members_count: u32,
}

/// What stopping further runs on one worker would bring.
struct Gain {
    site: usize,
    stopped_count: usize,
    members_count: u32,
    /// The processors of the runs to be stopped, for each member gained.
    cost_milli: u32,
}

/// How a gang gets its room.
pub(crate) struct PreemptionPlan {
    /// The room to be kept for it.
    pub(crate) reservations: Vec<Reservation>,
    /// The tasks to be stopped.
    pub(crate) victims: Vec<TaskKey>,
}

impl Site {
    fn room_after(&self, stopped_count: usize) -> Resources {
        let mut room = self.candidate.free;
        for victim in &self.victims[..stopped_count] {
            room += victim.demand;
        }
        room
    }

    fn members_after(&self, stopped_count: usize, demand: &Resources) -> u32 {
        let mut candidate = self.candidate.clone();
        candidate.free = self.room_after(stopped_count);
        candidate.fit_count(demand)
    }

    /// Returns how many members fit once all that may be stopped has ended.
    fn most_members(&self, demand: &Resources) -> u32 {
        self.members_after(self.victims.len(), demand)
    }

    /// Returns the fewest further stops that let another member fit.
    fn next_gain(&self, site: usize, demand: &Resources) -> Option<Gain> {
        let mut cost_milli = 0;
        for stopped_count in self.stopped_count + 1..=self.victims.len() {
            cost_milli += self.victims[stopped_count - 1].demand.cores_milli;
            let members_count = self.members_after(stopped_count, demand);
            if members_count > self.members_count {
                return Some(Gain {
                    site,
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
    /// Plans room for a whole gang on the workers known to be good for it,
    /// stopping as little as possible; `None` where that can't be had.
    pub(crate) fn plan_preemption(
        &self,
        now: Instant,
        pending: &PendingStep,
        cycle: &SchedulingCycle,
        good: &[WorkerKey],
    ) -> Option<PreemptionPlan> {
        let job = self.jobs.get(&pending.key.job)?;
        if self.prospect(now, job) != Prospect::OnTime {
            return None;
        }
        let mut sites = self.sites(now, pending, cycle, good);
        let needed_count = pending.waiting.len() as u32;
        if !choose_stops(&mut sites, &pending.demand, needed_count) {
            return None;
        }
        Some(plan_of(sites, &pending.demand, needed_count))
    }

    /// Stops less urgent runs so that as many of so many tasks as can be have
    /// room on the workers known to be good for them.
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
        let good = self.advice[&pending.key].good();
        let mut sites = self.sites(now, pending, cycle, &good);
        let possible_count: u32 = sites
            .iter()
            .map(|site| site.most_members(&pending.demand))
            .sum();
        let needed_count = possible_count.min(missing_count as u32);
        if needed_count == 0 || !choose_stops(&mut sites, &pending.demand, needed_count) {
            return;
        }
        let plan = plan_of(sites, &pending.demand, needed_count);
        self.preempt(now, plan.victims, out);
    }

    /// Returns the good workers with what may be stopped on each.
    fn sites(
        &self,
        now: Instant,
        pending: &PendingStep,
        cycle: &SchedulingCycle,
        good: &[WorkerKey],
    ) -> Vec<Site> {
        let mut sites = Vec::new();
        for &key in good {
            let worker = &self.workers[key];
            if !worker.is_placeable(now) || cycle.is_kept(key) {
                continue;
            }
            let Some(candidate) = self.candidate(pending, key, worker) else {
                continue;
            };
            let members_count = candidate.fit_count(&pending.demand);
            sites.push(Site {
                candidate,
                victims: self.victims_on(now, pending, worker),
                stopped_count: 0,
                members_count,
            });
        }
        sites
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

    /// Returns whether a run may be stopped for the step: it is less urgent,
    /// loses little, and its job has time to spare.
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
            VICTIM_PROGRESS_PERCENT
        } else {
            UNSAVED_PROGRESS_PERCENT
        };
        let is_cheap = run.progress_percent <= limit_percent
            && run.run <= VICTIM_RUNS_COUNT
            && !spec.is_gang
            && !spec.is_perpetual;
        let is_less_urgent = job.rank.0 > for_job.rank.0;
        let needed_until = now + Duration::from_ms(job.remaining_ms) + VICTIM_SLACK;
        let is_nearly_done = self.is_nearly_done(run);
        let can_wait = is_less_urgent && needed_until < job.accepted_at + job.objective;
        is_cheap
            && !is_nearly_done
            && (can_wait || spec.saves_progress && self.gives_way(now, job, for_job))
    }

    /// Returns whether a job's customer is over its share at the expense of another's job.
    fn gives_way(&self, now: Instant, job: &Job, for_job: &Job) -> bool {
        let giver = self.customer_to_preempt(now, for_job);
        job.service == for_job.service && giver == Some(job.customer)
    }

    /// Stops runs of the customer that is furthest over its share, as few as make room for
    /// so many tasks of a step that would otherwise miss its objective.
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
        let Some(giver) = self.customer_to_preempt(now, job) else {
            return;
        };
        if self.prospect(now, job) != Prospect::OnTime || !self.try_begin_share_search(now, id) {
            return;
        }
        let workers: Vec<WorkerKey> = cycle.workers().collect();
        let holds_any = |key: &&WorkerKey| {
            let mut runs = self.workers[**key].runs.values();
            runs.any(|run| run.charge.customer == giver)
        };
        let givers: Vec<WorkerKey> = workers.iter().filter(holds_any).copied().collect();
        let mut sites = self.sites(now, pending, cycle, &givers);
        for site in &mut sites {
            // What is being stopped already is as good as free.
            let worker = &self.workers[site.candidate.worker];
            site.candidate.free = worker.room_without_stopping() - worker.reserved(pending.key);
            site.members_count = site.candidate.fit_count(&pending.demand);
        }
        let possible_count = sites.iter().map(|site| site.most_members(&pending.demand));
        let possible_count: u32 = possible_count.sum();
        let needed_count = match pending.spec().is_gang {
            true => missing_count as u32,
            false => possible_count.min(missing_count as u32),
        };
        if choose_stops(&mut sites, &pending.demand, needed_count) {
            let plan = plan_of(sites, &pending.demand, needed_count);
            self.preempt(now, plan.victims, out);
        }
    }

    /// Stops the runs that a gang's room is taken from.
    pub(crate) fn preempt(&mut self, now: Instant, victims: Vec<TaskKey>, out: &mut Vec<Action>) {
        for task in victims {
            self.stop_task(now, task, "preempted", out);
        }
    }

    /// Returns whether a gang fits on workers once the runs that are being
    /// stopped there have ended.
    pub(crate) fn is_room_coming(
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
            candidate.free = worker.room_without_stopping() - worker.reserved(pending.key);
            members_count += candidate.fit_count(&pending.demand);
        }
        members_count as usize >= pending.waiting.len()
    }
}

/// Marks the cheapest stops until so many members fit; returns whether they do.
fn choose_stops(sites: &mut [Site], demand: &Resources, needed_count: u32) -> bool {
    let mut members_count: u32 = sites.iter().map(|site| site.members_count).sum();
    while members_count < needed_count {
        let gains = sites
            .iter()
            .enumerate()
            .filter_map(|(number, site)| site.next_gain(number, demand));
        let Some(gain) = gains.min_by_key(|gain| (gain.cost_milli, gain.site)) else {
            return false;
        };
        let site = &mut sites[gain.site];
        members_count += gain.members_count - site.members_count;
        site.stopped_count = gain.stopped_count;
        site.members_count = gain.members_count;
    }
    true
}

fn plan_of(sites: Vec<Site>, demand: &Resources, needed_count: u32) -> PreemptionPlan {
    let mut plan = PreemptionPlan {
        reservations: Vec::new(),
        victims: Vec::new(),
    };
    let mut left_count = needed_count;
    // What was paid for comes first, so that nothing is stopped for nothing.
    let (paid, free): (Vec<Site>, Vec<Site>) =
        sites.into_iter().partition(|site| site.stopped_count > 0);
    for site in paid.into_iter().chain(free) {
        let count = site.members_count.min(left_count);
        if count == 0 {
            continue;
        }
        left_count -= count;
        plan.reservations
            .push(Reservation::new(site.candidate.worker, demand, count));
        let victims = site.victims[..site.stopped_count].iter();
        plan.victims.extend(victims.map(|victim| victim.task));
    }
    plan
}
