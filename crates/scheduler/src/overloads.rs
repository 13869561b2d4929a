//! Detects overloaded services and ranks their jobs.

use crate::cycle::SchedulingCycle;
use crate::deadline_selection::{
    Occupancy, ResourceVector, Selection, ServiceLoad, WaitingJob, ENTER_LOAD_PERCENT,
    LEAVE_LOAD_PERCENT,
};
use crate::decision::{Decision, DecisionKind};
use crate::event::Action;
use crate::features::Feature;
use crate::job::{JobId, StepSpec};
use crate::jobs::Job;
use crate::placement::counted_demand;
use crate::scheduler::Scheduler;
use crate::scheduling_order::WORTHLESS_FACTOR;
use crate::state::{StepState, TaskStatus};
use ospreywing_types::{Duration, Instant};
use std::collections::HashMap;
use std::sync::Arc;

/// A service whose used share of capacity is below this isn't overloaded, however
/// many tasks wait: there is free capacity for them.
const MIN_USED_SHARE: f64 = 0.5;
/// The pause after a ranking is one millisecond for each this many active jobs, which bounds
/// the part of the leader's time that ranking takes, however many jobs wait. A job that
/// arrives in between is ordered without a rank.
const RANKED_JOBS_PER_MS: u64 = 25;
/// Minimum time for which a service counts as overloaded.
const MIN_OVERLOAD_TIME: Duration = Duration::from_ms(1000);
/// A job that is this late goes first in its service for one turn, and again after each
/// further period of this length. If several have a turn at the same time, it is the one that
/// was accepted first. Most callers have given up by then, but the job was accepted.
const AGED_AFTER: Duration = Duration::from_s(30);
/// Duration of a turn: a gang that never fits must not reserve capacity forever.
const AGED_TURN: Duration = Duration::from_s(5);
/// Average fraction of its duration that a run still takes.
const REMAINING_FRACTION: f64 = 0.5;

/// Duration of a critical path in percent of its estimate: each step ends with its longest
/// task.
const CRITICAL_PATH_PERCENT: u64 = 130;
/// Time that committing a job's records and sending its orders adds to its work.
const ORDER_OVERHEAD: Duration = Duration::from_ms(100);

/// Added to the priority number of jobs beyond their customer's rate, so that they are
/// dropped first; larger than any queue's priority.
const OVER_RATE_PRIORITY: u32 = 1 << 16;

/// The resources that a job uses and still needs.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct JobDemand {
    /// Work of its waiting tasks, as resources times milliseconds.
    waiting: ResourceVector,
    /// Usage of its runs.
    running: ResourceVector,
    /// The longest remaining time of its runs; `None` where one doesn't end by itself.
    running_remaining: Option<Duration>,
}

/// An overloaded service.
#[derive(Clone, Debug)]
struct Overload {
    service: Arc<str>,
    since: Instant,
}

/// The overloaded services.
#[derive(Debug, Default)]
pub(crate) struct Overloads {
    overloads: Vec<Overload>,
    /// The ranks of their jobs, as of the last ranking.
    ranks: OverloadRanks,
    /// The time of the next ranking.
    next_ranking_at: Instant,
}

impl Overloads {
    /// Returns the ranks of the jobs of overloaded services.
    pub(crate) const fn ranks(&self) -> &OverloadRanks {
        &self.ranks
    }

    /// Returns the number of overloaded services.
    pub(crate) const fn len(&self) -> usize {
        self.overloads.len()
    }
}

/// The rank of a job of an overloaded service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OverloadRank {
    pub(crate) selection: Selection,
    /// The time for which the job would need the whole service, in microseconds.
    pub(crate) size_us: u64,
    /// Whether it has waited so long that it goes first.
    pub(crate) is_aged: bool,
}

/// The ranks of the jobs of overloaded services.
pub(crate) type OverloadRanks = HashMap<JobId, OverloadRank>;

/// The jobs and the capacity of one service in a scheduling cycle.
struct ServiceJobs {
    service: Arc<str>,
    capacity: ResourceVector,
    occupancy: Occupancy,
    waiting_jobs: Vec<WaitingJob<JobId>>,
    /// The first accepted of the jobs that are late enough to have a turn.
    aged: Option<(Instant, JobId)>,
}

impl Scheduler {
    /// Detects overloaded services and ranks their jobs, if a ranking is due.
    pub(crate) fn rank_overloaded(
        &mut self,
        now: Instant,
        cycle: &SchedulingCycle,
        out: &mut Vec<Action>,
    ) {
        let features = self.config.features;
        let is_on = features.has(Feature::OverloadOrder) || features.has(Feature::Admission);
        if !is_on || now < self.overloads.next_ranking_at {
            return;
        }
        let pause_ms = self.active.len() as u64 / RANKED_JOBS_PER_MS;
        self.overloads.next_ranking_at = now + Duration::from_ms(pause_ms);
        self.overloads.ranks = self.compute_ranks(now, cycle, out);
    }

    fn compute_ranks(
        &mut self,
        now: Instant,
        cycle: &SchedulingCycle,
        out: &mut Vec<Action>,
    ) -> OverloadRanks {
        let mut ranks = OverloadRanks::new();
        let has_admission = self.config.features.has(Feature::Admission);
        let are_jobs_known = !self.is_store_degraded;
        let is_forecast_due = has_admission && are_jobs_known && self.forecasts.are_due(now);
        let mut forecasts = Vec::new();
        for jobs in self.jobs_of_busy_services(now, cycle, out) {
            let mut load = ServiceLoad::new(jobs.capacity, jobs.occupancy);
            jobs.waiting_jobs.into_iter().for_each(|it| load.push(it));
            let load_percent = load.load_percent();
            if !self.update_overload(now, &jobs.service, load_percent, out) {
                continue;
            }
            let selected = load.select();
            if is_forecast_due {
                forecasts.extend(self.queue_forecasts(now, &jobs.service, &load, &selected));
            }
            let aged = jobs.aged.map(|(_, id)| id);
            ranks.extend(selected.into_iter().map(|selected| {
                let rank = OverloadRank {
                    selection: selected.selection,
                    size_us: selected.size_us,
                    is_aged: aged == Some(selected.key),
                };
                (selected.key, rank)
            }));
        }
        if is_forecast_due {
            self.forecasts.replace(now, forecasts);
        }
        ranks
    }

    /// Ends all overloads, since nothing waits.
    pub(crate) fn end_overloads(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.end_overloads_except(now, &[], out);
        self.overloads.ranks.clear();
        self.forecasts.clear();
    }

    /// Ends the overloads of all services but those in `busy`, unless they began a short
    /// while ago: otherwise the state would flap.
    fn end_overloads_except(&mut self, now: Instant, busy: &[ServiceJobs], out: &mut Vec<Action>) {
        self.overloads.overloads.retain(|overload| {
            let is_busy = busy.iter().any(|it| it.service == overload.service);
            let is_kept = is_busy || now.since(overload.since) < MIN_OVERLOAD_TIME;
            if !is_kept {
                out.push(Action::Log(ended_line(&overload.service)));
            }
            is_kept
        });
    }

    /// Updates from its load whether a service is overloaded; returns whether it is.
    fn update_overload(
        &mut self,
        now: Instant,
        service: &Arc<str>,
        load_percent: u64,
        out: &mut Vec<Action>,
    ) -> bool {
        let overloads = &mut self.overloads.overloads;
        let position = overloads.iter().position(|it| it.service == *service);
        let Some(index) = position else {
            let is_overloaded = load_percent > ENTER_LOAD_PERCENT;
            if is_overloaded {
                let service = service.clone();
                let line = Decision::new(DecisionKind::Overload, "overloaded");
                let line = line.with_service(&service).with_figure(load_percent);
                out.push(Action::Log(line));
                overloads.push(Overload {
                    service,
                    since: now,
                });
            }
            return is_overloaded;
        };
        let is_recent = now.since(overloads[index].since) < MIN_OVERLOAD_TIME;
        let is_overloaded = is_recent || load_percent >= LEAVE_LOAD_PERCENT;
        if !is_overloaded {
            overloads.swap_remove(index);
            out.push(Action::Log(ended_line(service)));
        }
        is_overloaded
    }

    /// Returns the waiting jobs and runs of each service whose used share of capacity is
    /// high.
    fn jobs_of_busy_services(
        &mut self,
        now: Instant,
        cycle: &SchedulingCycle,
        out: &mut Vec<Action>,
    ) -> Vec<ServiceJobs> {
        let mut services: Vec<ServiceJobs> = cycle
            .service_usage()
            .filter(|pool| pool.used_share() >= MIN_USED_SHARE)
            .map(|pool| ServiceJobs {
                service: pool.service.clone(),
                capacity: pool.capacity,
                occupancy: Occupancy::default(),
                waiting_jobs: Vec::new(),
                aged: None,
            })
            .collect();
        self.end_overloads_except(now, &services, out);
        if services.is_empty() {
            return services;
        }
        let ids: Vec<JobId> = self.active.values().copied().collect();
        for id in ids {
            self.add_job(now, id, &mut services);
        }
        services
    }

    fn add_job(&mut self, now: Instant, id: JobId, services: &mut [ServiceJobs]) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let service = &job.queue(&self.configuration).service;
        let Some(jobs) = services.iter_mut().find(|it| *it.service == **service) else {
            return;
        };
        let demand = job.demand.unwrap_or_else(|| self.job_demand(job));
        jobs.occupancy.add(demand.running, demand.running_remaining);
        // Work that its customer's limit holds back couldn't use free capacity.
        let is_candidate = job.has_objective() && !job.is_held_by_limit && demand.has_waiting();
        if is_candidate {
            jobs.waiting_jobs.push(waiting_job(now, id, job, demand));
            jobs.record_aged(now, id, job);
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.demand = Some(demand);
        }
    }

    fn job_demand(&self, job: &Job) -> JobDemand {
        let mut demand = JobDemand {
            running_remaining: Some(Duration::ZERO),
            ..JobDemand::default()
        };
        for round in &job.state.rounds {
            for (spec, step) in job.record.spec.steps.iter().zip(&round.steps) {
                let duration = self.expected_task_duration(&job.record.queue, spec);
                demand.add_step(spec, step, duration);
            }
        }
        demand
    }
}

impl JobDemand {
    fn has_waiting(&self) -> bool {
        self.waiting != ResourceVector::default()
    }

    fn add_step(&mut self, spec: &StepSpec, step: &StepState, duration: Duration) {
        let demand = ResourceVector::of(&counted_demand(spec));
        let count = |status: fn(&TaskStatus) -> bool| {
            let tasks = step.tasks.iter().filter(|task| status(&task.status));
            tasks.count() as f64
        };
        let waiting_count = count(|status| matches!(status, TaskStatus::Waiting));
        let running_count = count(|status| matches!(status, TaskStatus::Placed { .. }));
        let duration_ms = duration.as_ms() as f64;
        self.waiting.add(demand.times(waiting_count * duration_ms));
        if running_count == 0.0 {
            return;
        }
        self.running.add(demand.times(running_count));
        let remaining = Duration::from_ms((duration_ms * REMAINING_FRACTION) as u64);
        self.running_remaining = self
            .running_remaining
            .filter(|_| !spec.is_perpetual)
            .map(|longest| longest.max(remaining));
    }
}

impl ServiceJobs {
    fn record_aged(&mut self, now: Instant, id: JobId, job: &Job) {
        let has_ready = job.ready.as_ref().is_some_and(|steps| !steps.is_empty());
        let late_ms = now.since(job.accepted_at + job.objective).as_ms();
        let has_turn =
            late_ms >= AGED_AFTER.as_ms() && late_ms % AGED_AFTER.as_ms() < AGED_TURN.as_ms();
        let is_first = self.aged.is_none_or(|first| (job.accepted_at, id) < first);
        if has_ready && has_turn && is_first {
            self.aged = Some((job.accepted_at, id));
        }
    }
}

fn ended_line(service: &Arc<str>) -> Decision {
    let line = Decision::new(DecisionKind::Overload, "room suffices again");
    line.with_service(service)
}

fn waiting_job(now: Instant, id: JobId, job: &Job, demand: JobDemand) -> WaitingJob<JobId> {
    let remaining_until = |end: Instant| (now <= end).then(|| end.since(now));
    WaitingJob {
        key: id,
        priority: job.rank.0 + u32::from(job.is_beyond_rate) * OVER_RATE_PRIORITY,
        work: demand.waiting,
        critical_path: Duration::from_ms(job.remaining_ms * CRITICAL_PATH_PERCENT / 100)
            + ORDER_OVERHEAD,
        time_to_objective: remaining_until(job.accepted_at + job.objective),
        time_to_worthless: remaining_until(job.accepted_at + job.objective.times(WORTHLESS_FACTOR)),
    }
}
