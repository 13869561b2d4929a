//! Which services are short of room, and what that makes of their jobs.

use crate::cycle::SchedulingCycle;
use crate::decision::{Decision, DecisionKind};
use crate::event::Action;
use crate::features::Feature;
use crate::job::{JobId, StepSpec};
use crate::jobs::Job;
use crate::overload::{
    Amounts, Contender, Demand, Occupancy, Selection, ENTER_LOAD_PERCENT, LEAVE_LOAD_PERCENT,
};
use crate::placement::counted_demand;
use crate::scheduler::Scheduler;
use crate::scheduling_order::WORTHLESS_FACTOR;
use crate::state::{StepState, TaskStatus};
use ospreywing_types::{Duration, Instant};
use std::collections::HashMap;
use std::sync::Arc;

/// A service with less of its room in use than this part is not overloaded, whatever waits:
/// what has room there is to start.
const LEAST_USED_SHARE: f64 = 0.5;
/// The jobs for which the look for services that are short of room may take a millisecond of
/// the time until the next, so that looks take a part of the leader's time that is bounded
/// however many jobs wait. A job that comes in between has the place that it would have
/// without.
const RANKED_JOBS_PER_MS: u64 = 25;
/// How long a service counts as overloaded at least.
const LEAST_TIME: Duration = Duration::from_ms(1000);
/// A job whose objective has been over for so long has a turn before all others of its
/// service, and again after as long; of several the one that was accepted first. Most callers
/// have gone by then, but the job was accepted.
const AGED_AFTER: Duration = Duration::from_s(30);
/// How long a turn is: a gang that never fits must not keep room from others for ever.
const AGED_TURN: Duration = Duration::from_s(5);
/// The part of a run's length that is left of it, taken over all that run.
const LEFT_PART: f64 = 0.5;

/// How long a chain is likely to take, in percent of its estimate: each of its steps is over
/// with the longest of its tasks.
const LIKELY_PERCENT: u64 = 130;
/// How long a job's records and orders take besides its work.
const WAYS: Duration = Duration::from_ms(100);

/// What is added to the priority of work beyond its customer's share, so that it is left out
/// first: more than any queue's.
const BEYOND_SHARE_PRIORITY: u32 = 1 << 16;

/// What a job needs besides what it has.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct JobNeed {
    /// What its waiting tasks need, times milliseconds.
    waiting: Amounts,
    /// What its runs take.
    running: Amounts,
    /// For how long they do; `None` where they don't end by themselves.
    running_left: Option<Duration>,
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
    next_at: Instant,
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
    capacity: Amounts,
    occupancy: Occupancy,
    contenders: Vec<Contender<JobId>>,
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
        if !is_on || now < self.overloads.next_at {
            return;
        }
        let rest_ms = self.active.len() as u64 / RANKED_JOBS_PER_MS;
        self.overloads.next_at = now + Duration::from_ms(rest_ms);
        self.overloads.ranks = self.new_ranks(now, cycle, out);
    }

    fn new_ranks(
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
        for jobs in self.jobs_of_full_services(now, cycle, out) {
            let mut demand = Demand::new(jobs.capacity, jobs.occupancy);
            jobs.contenders.into_iter().for_each(|it| demand.push(it));
            let load_percent = demand.load_percent();
            if !self.note_load(now, &jobs.service, load_percent, out) {
                continue;
            }
            let selected = demand.select();
            if is_forecast_due {
                forecasts.extend(self.forecasts_of(now, &jobs.service, &demand, &selected));
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
        self.end_overloads_but(now, &[], out);
        self.overloads.ranks.clear();
        self.forecasts.clear();
    }

    /// Notes that none but these services are short of room, unless one was found to be a
    /// short while ago: it would be told to and fro otherwise.
    fn end_overloads_but(&mut self, now: Instant, full: &[ServiceJobs], out: &mut Vec<Action>) {
        self.overloads.overloads.retain(|overload| {
            let is_full = full.iter().any(|it| it.service == overload.service);
            let is_kept = is_full || now.since(overload.since) < LEAST_TIME;
            if !is_kept {
                out.push(Action::Log(ended_line(&overload.service)));
            }
            is_kept
        });
    }

    /// Takes in a service's load; returns whether it is overloaded.
    fn note_load(
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
        let is_young = now.since(overloads[index].since) < LEAST_TIME;
        let is_overloaded = is_young || load_percent >= LEAVE_LOAD_PERCENT;
        if !is_overloaded {
            overloads.swap_remove(index);
            out.push(Action::Log(ended_line(service)));
        }
        is_overloaded
    }

    /// Returns what waits and runs in each service whose room is mostly in use.
    fn jobs_of_full_services(
        &mut self,
        now: Instant,
        cycle: &SchedulingCycle,
        out: &mut Vec<Action>,
    ) -> Vec<ServiceJobs> {
        let mut services: Vec<ServiceJobs> = cycle
            .service_usage()
            .filter(|room| room.used_share() >= LEAST_USED_SHARE)
            .map(|room| ServiceJobs {
                service: room.service.clone(),
                capacity: room.capacity,
                occupancy: Occupancy::default(),
                contenders: Vec::new(),
                aged: None,
            })
            .collect();
        self.end_overloads_but(now, &services, out);
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
        let need = job.need.unwrap_or_else(|| self.need_of(job));
        jobs.occupancy.add(need.running, need.running_left);
        // What is held by its customer's limit could not use room.
        let is_contender = job.may_be_late() && !job.is_held && need.has_waiting();
        if is_contender {
            jobs.contenders.push(contender(now, id, job, need));
            jobs.note_aged(now, id, job);
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.need = Some(need);
        }
    }

    fn need_of(&self, job: &Job) -> JobNeed {
        let mut need = JobNeed {
            running_left: Some(Duration::ZERO),
            ..JobNeed::default()
        };
        for round in &job.state.rounds {
            for (spec, step) in job.record.spec.steps.iter().zip(&round.steps) {
                let length = self.task_length(&job.record.queue, spec);
                need.add_step(spec, step, length);
            }
        }
        need
    }
}

impl JobNeed {
    fn has_waiting(&self) -> bool {
        self.waiting != Amounts::default()
    }

    fn add_step(&mut self, spec: &StepSpec, step: &StepState, length: Duration) {
        let demand = Amounts::of(&counted_demand(spec));
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
        let left = Duration::from_ms((length_ms * LEFT_PART) as u64);
        self.running_left = self
            .running_left
            .filter(|_| !spec.is_perpetual)
            .map(|longest| longest.max(left));
    }
}

impl ServiceJobs {
    fn note_aged(&mut self, now: Instant, id: JobId, job: &Job) {
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

fn contender(now: Instant, id: JobId, job: &Job, need: JobNeed) -> Contender<JobId> {
    let left_until = |end: Instant| (now <= end).then(|| end.since(now));
    Contender {
        key: id,
        priority: job.rank.0 + u32::from(job.is_beyond_rate) * BEYOND_SHARE_PRIORITY,
        work: need.waiting,
        chain: Duration::from_ms(job.left_ms * LIKELY_PERCENT / 100) + WAYS,
        time_left: left_until(job.accepted_at + job.objective),
        worth_left: left_until(job.accepted_at + job.objective.times(WORTHLESS_FACTOR)),
    }
}
