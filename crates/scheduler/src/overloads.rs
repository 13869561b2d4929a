//! Which services are short of room, and what that makes of their jobs.

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
use crate::order::LATE_FACTOR;
use crate::placing::counted_demand;
use crate::scheduler::Scheduler;
use crate::state::{StepState, TaskStatus};
use ospreywing_types::{Duration, Instant};
use std::collections::HashMap;
use std::sync::Arc;

/// A service with less of its room in use than this part is not overloaded, whatever waits:
/// what has room there is to start.
const MIN_USED_SHARE: f64 = 0.5;
/// The jobs for which the look for services that are short of room may take a millisecond of
/// the time until the next, so that looks take a part of the leader's time that is bounded
/// however many jobs wait. A job that comes in between has the place that it would have
/// without.
const RANKED_JOBS_PER_MS: u64 = 25;
/// How long a service counts as overloaded at least.
const MIN_OVERLOAD_TIME: Duration = Duration::from_ms(1000);
/// A job whose objective has been over for so long has a turn before all others of its
/// service, and again after as long; of several the one that was accepted first. Most callers
/// have gone by then, but the job was accepted.
const AGED_AFTER: Duration = Duration::from_s(30);
/// How long a turn is: a gang that never fits must not keep room from others for ever.
const AGED_TURN: Duration = Duration::from_s(5);
/// The part of a run's length that is remaining of it, taken over all that run.
const REMAINING_FRACTION: f64 = 0.5;

/// How long a chain is likely to take, in percent of its estimate: each of its steps is over
/// with the longest of its tasks.
const CRITICAL_PATH_PERCENT: u64 = 130;
/// How long a job's records and orders take besides its work.
const ORDER_OVERHEAD: Duration = Duration::from_ms(100);

/// What is added to the priority of work beyond its customer's share, so that it is remaining out
/// first: more than any queue's.
const OVER_RATE_PRIORITY: u32 = 1 << 16;

/// What a job needs besides what it has.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct JobDemand {
    /// What its waiting tasks need, times milliseconds.
    waiting: ResourceVector,
    /// What its runs take.
    running: ResourceVector,
    /// For how long they do; `None` where they don't end by themselves.
    running_remaining: Option<Duration>,
}

/// A service that is short of room.
#[derive(Clone, Debug)]
struct Overload {
    service: Arc<str>,
    since: Instant,
}

/// The services that are short of room.
#[derive(Debug, Default)]
pub(crate) struct Overloads {
    overloads: Vec<Overload>,
    /// The places of their jobs, as they were last worked out.
    ranks: OverloadRanks,
    /// When they are worked out again.
    next_ranking_at: Instant,
}

impl Overloads {
    /// Returns the places of the jobs of services that are short of room, where there are any.
    pub(crate) const fn ranks(&self) -> &OverloadRanks {
        &self.ranks
    }

    /// Returns how many services are short of room.
    pub(crate) const fn len(&self) -> usize {
        self.overloads.len()
    }
}

/// The place of a job of an overloaded service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OverloadRank {
    pub(crate) selection: Selection,
    /// For how long it would take all of the service, in microseconds.
    pub(crate) size_us: u64,
    /// Whether it has waited for so long that it comes first.
    pub(crate) is_aged: bool,
}

/// The places of the jobs of overloaded services.
pub(crate) type OverloadRanks = HashMap<JobId, OverloadRank>;

/// What is known of one service in a cycle.
struct ServiceJobs {
    service: Arc<str>,
    capacity: ResourceVector,
    occupancy: Occupancy,
    waiting_jobs: Vec<WaitingJob<JobId>>,
    /// The job that was accepted first of those that have waited too long.
    aged: Option<(Instant, JobId)>,
}

impl Scheduler {
    /// Finds the services that are short of room and works out the places of their jobs, where
    /// that is due.
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
        let is_sure = !self.has_store_trouble;
        let is_forecast_due = has_admission && is_sure && self.forecasts.are_due(now);
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

    /// Notes that no service is short of room: nothing waits.
    pub(crate) fn end_overloads(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.end_overloads_except(now, &[], out);
        self.overloads.ranks.clear();
        self.forecasts.clear();
    }

    /// Notes that none but these services are short of room, unless one was found to be a
    /// short while ago: it would be told to and fro otherwise.
    fn end_overloads_except(&mut self, now: Instant, full: &[ServiceJobs], out: &mut Vec<Action>) {
        self.overloads.overloads.retain(|overload| {
            let is_full = full.iter().any(|it| it.service == overload.service);
            let is_kept = is_full || now.since(overload.since) < MIN_OVERLOAD_TIME;
            if !is_kept {
                out.push(Action::Log(ended_line(&overload.service)));
            }
            is_kept
        });
    }

    /// Takes in a service's load; returns whether it is overloaded.
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
        let is_young = now.since(overloads[index].since) < MIN_OVERLOAD_TIME;
        let is_overloaded = is_young || load_percent >= LEAVE_LOAD_PERCENT;
        if !is_overloaded {
            overloads.swap_remove(index);
            out.push(Action::Log(ended_line(service)));
        }
        is_overloaded
    }

    /// Returns what waits and runs in each service whose room is mostly in use.
    fn jobs_of_busy_services(
        &mut self,
        now: Instant,
        cycle: &SchedulingCycle,
        out: &mut Vec<Action>,
    ) -> Vec<ServiceJobs> {
        let mut services: Vec<ServiceJobs> = cycle
            .rooms()
            .filter(|room| room.used_share() >= MIN_USED_SHARE)
            .map(|room| ServiceJobs {
                service: room.service.clone(),
                capacity: room.capacity,
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
        let queue = self.configuration.queue(&job.record.queue);
        let service = queue.map_or(&job.record.service, |queue| &queue.service);
        let Some(jobs) = services.iter_mut().find(|it| *it.service == **service) else {
            return;
        };
        let demand = job.demand.unwrap_or_else(|| self.job_demand(job));
        jobs.occupancy.add(demand.running, demand.running_remaining);
        // What is held by its customer's limit could not use room.
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
                let length = self.expected_task_duration(&job.record.queue, spec);
                demand.add_step(spec, step, length);
            }
        }
        demand
    }
}

impl JobDemand {
    fn has_waiting(&self) -> bool {
        self.waiting != ResourceVector::default()
    }

    fn add_step(&mut self, spec: &StepSpec, step: &StepState, length: Duration) {
        let demand = ResourceVector::of(&counted_demand(spec));
        let count = |status: fn(&TaskStatus) -> bool| {
            let tasks = step.tasks.iter().filter(|task| status(&task.status));
            tasks.count() as f64
        };
        let waiting_count = count(|status| matches!(status, TaskStatus::Waiting));
        let running_count = count(|status| matches!(status, TaskStatus::Placed { .. }));
        let length_ms = length.as_ms() as f64;
        self.waiting.add(demand.times(waiting_count * length_ms));
        if running_count == 0.0 {
            return;
        }
        self.running.add(demand.times(running_count));
        let remaining = Duration::from_ms((length_ms * REMAINING_FRACTION) as u64);
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
        time_to_worthless: remaining_until(job.accepted_at + job.objective.times(LATE_FACTOR)),
    }
}
