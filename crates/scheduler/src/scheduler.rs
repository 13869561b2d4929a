//! The scheduler's state and its event dispatch.

use crate::advice::StepAdvice;
use crate::adviser_nodes::AdviserNodes;
use crate::backfill::LimitReservations;
use crate::commits::CommitQueue;
use crate::config::{Configuration, SchedulerConfig};
use crate::cordons::Cordons;
use crate::customers::Accounts;
use crate::cycle::CycleSummary;
use crate::decision::{Decision, DecisionKind};
use crate::durations::ForecastError;
use crate::early_cancels::EarlyCancels;
use crate::early_stops;
use crate::event::{Action, Event};
use crate::forecast::Forecasts;
use crate::fragmentation::ServiceFragmentation;
use crate::job::{JobId, StepKey, TaskKey};
use crate::jobs::Job;
use crate::learning::{Learning, SpeedClass};
use crate::name_interner::NameInterner;
use crate::overloads::Overloads;
use crate::retries::RetryBudgets;
use crate::rounds::NextRound;
use crate::shapes::Shapes;
use crate::share_accounts::Shares;
use crate::state::Phase;
use crate::token_bucket::TokenBucket;
use crate::wait_reasons::{WaitReason, WaitSummary, Waits};
use crate::worker::{Worker, WorkerFacts, WorkerKey};
use crate::worker_failures::FailingSteps;
use cranelift_entity::PrimaryMap;
use ospreywing_types::{Duration, Instant};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

/// The interval between checks of ended jobs, departures and long waits.
const HOUSEKEEPING_PERIOD: Duration = Duration::from_ms(100);
/// The interval between removals of expired data. Each one scans all jobs, some ten
/// thousand, and outcomes are kept for minutes.
const EXPIRY_SCAN_PERIOD: Duration = Duration::from_ms(2000);

/// The state of a job as clients see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job's phase, as far as it is committed.
    pub phase: Phase,
    /// Whether a task of the job has begun.
    pub has_begun: bool,
    /// Whether no commit that changes the phase is in flight. Otherwise the store may be
    /// ahead of this view: a client that reads the store would see the job's outcome, and
    /// then see it undone by the leader's answer.
    pub is_settled: bool,
}

/// Figures for metrics and operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SchedulerStatus {
    /// Jobs with work left.
    pub active_jobs_count: usize,
    /// An estimate of the memory that the jobs take up.
    pub jobs_bytes: usize,
    /// All known jobs.
    pub jobs_count: usize,
    /// Runs that occupy workers.
    pub runs_count: usize,
    /// Workers on which a run may be placed.
    pub placeable_workers_count: usize,
    /// Workers in the platform's list.
    pub listed_workers_count: usize,
    /// Cordoned data centres.
    pub cordons_count: usize,
    /// Cancels of jobs that are not known yet.
    pub early_cancels_count: usize,
    /// Due rounds of scheduled jobs that have not begun.
    pub overdue_rounds_count: usize,
    /// Unanswered stops of starts that were meant for an earlier incarnation.
    pub unanswered_stops_count: usize,
    /// The CPU capacity of the placeable workers, in thousandths of a core.
    pub capacity_milli: u64,
    /// The CPU capacity of the placeable workers that runs occupy, in thousandths of a
    /// core.
    pub used_milli: u64,
    /// Workers that were reserved for waiting gangs in the last scheduling cycle.
    pub reserved_workers_count: usize,
    /// Gangs that were waiting in the last scheduling cycle.
    pub waiting_gangs_count: usize,
    /// Workers that are known to be slower than the others of their service.
    pub slow_workers_count: usize,
    /// Workers that are chosen last, because they have been slow recently.
    pub ejected_workers_count: usize,
    /// Step sizes for which durations are learned.
    pub learned_sizes_count: usize,
    /// The errors of duration forecasts and of clients' estimates.
    pub forecast_error: ForecastError,
    /// Steps for which part of their customer's limit is reserved.
    pub limit_reservations_count: usize,
    /// Customers whose work comes last because they are over their fair share of an
    /// overloaded service.
    pub over_share_count: usize,
    /// The largest amount by which a customer is ahead of its fair share.
    pub largest_share_lag: Duration,
    /// Services that are short of capacity.
    pub overloaded_services_count: usize,
    /// Queues with a forecast.
    pub forecast_queues_count: usize,
    /// The fragmentation of each service's free capacity.
    pub fragmentation: Vec<ServiceFragmentation>,
    /// The waiting steps, by wait reason in the order of [`WaitReason::ALL`].
    pub waits: [WaitSummary; WaitReason::ALL.len()],
}

/// The scheduler of one leader's term.
pub struct Scheduler {
    pub(crate) config: SchedulerConfig,
    pub(crate) configuration: Configuration,
    pub(crate) accounts: Accounts,
    /// The parts of customers' limits that are reserved for steps waiting for them.
    pub(crate) limit_reservations: LimitReservations,
    pub(crate) shares: Shares,
    /// Jobs whose demand has to be recomputed for their service's shares.
    pub(crate) stale_demands: HashSet<JobId>,
    pub(crate) cordons: Cordons,
    /// Whether starts are paused everywhere.
    pub(crate) are_starts_paused: bool,
    pub(crate) workers: PrimaryMap<WorkerKey, Worker>,
    pub(crate) workers_by_id: HashMap<Arc<str>, WorkerKey>,
    pub(crate) name_interner: NameInterner,
    pub(crate) jobs: HashMap<JobId, Job>,
    /// Jobs with work left, in scheduling order.
    pub(crate) active: BTreeMap<(u32, u64), JobId>,
    /// The next round of each scheduled job with rounds left to begin.
    pub(crate) next_rounds: BTreeSet<NextRound>,
    /// Ended jobs of which a run may still be alive.
    pub(crate) unsettled: BTreeSet<JobId>,
    /// Jobs whose stored state can't be read. None of their runs is started or stopped, and
    /// their ends stay with the workers for a leader that can read them.
    pub(crate) unreadable: BTreeSet<JobId>,
    /// Cancels of jobs that are not known yet.
    pub(crate) early_cancels: EarlyCancels,
    /// The steps whose runs fail.
    pub(crate) failing_steps: FailingSteps,
    pub(crate) next_order: u64,
    /// The worker of each task's run.
    pub(crate) placements: HashMap<TaskKey, WorkerKey>,
    pub(crate) advice: HashMap<StepKey, StepAdvice>,
    pub(crate) adviser_nodes: AdviserNodes,
    /// Learned durations and speeds.
    pub(crate) learning: Learning,
    /// The workers with reservations for gangs whose advice requests are open.
    pub(crate) reservations: BTreeMap<StepKey, Vec<WorkerKey>>,
    /// The gangs that have lost a member, with the time of the loss.
    pub(crate) broken_gangs: BTreeMap<StepKey, Instant>,
    /// The numbers of workers found suitable and of workers queried, by queue; earlier requests
    /// count less.
    pub(crate) suitable_counts: HashMap<String, (f64, f64)>,
    /// The shapes of recently submitted tasks.
    pub(crate) shapes: Shapes,
    /// The waiting steps and their wait reasons.
    pub(crate) waits: Waits,
    /// A summary of the last scheduling cycle.
    pub(crate) last_cycle: CycleSummary,
    /// The services that were short of capacity in the last scheduling cycle.
    pub(crate) overloads: Overloads,
    /// Forecasts of when each queue can complete another job.
    pub(crate) forecasts: Forecasts,
    pub(crate) commits: CommitQueue,
    pub(crate) is_store_degraded: bool,
    /// When every lease granted by an earlier leader has certainly expired. A lease is
    /// never shortened and covers every run on its worker, including runs that only this
    /// leader starts.
    pub(crate) recovered_leases_until: Instant,
    /// The retry budgets.
    pub(crate) retries: RetryBudgets,
    /// The budget of stops of unanswered starts.
    pub(crate) stop_budget: TokenBucket,
    /// The index of the worker with which the next round of these stops begins.
    pub(crate) first_to_stop: usize,
    /// When a reachable worker last left a poll unanswered.
    pub(crate) last_lost_poll_at: Option<Instant>,
    /// Whether a change since the last scheduling cycle may let a task be placed.
    pub(crate) is_cycle_due: bool,
    next_cycle_at: Instant,
    next_housekeeping_at: Instant,
    next_expiry_scan_at: Instant,
    /// When to look for due polls next.
    pub(crate) next_poll_scan_at: Instant,
    pub(crate) wall_ms: u64,
}

impl Scheduler {
    pub(crate) fn empty(config: SchedulerConfig, configuration: Configuration) -> Self {
        let mut accounts = Accounts::default();
        accounts.configure(&configuration);
        Self {
            config,
            configuration,
            accounts,
            limit_reservations: LimitReservations::default(),
            shares: Shares::default(),
            stale_demands: HashSet::new(),
            cordons: Cordons::default(),
            are_starts_paused: false,
            workers: PrimaryMap::new(),
            workers_by_id: HashMap::new(),
            name_interner: NameInterner::default(),
            jobs: HashMap::new(),
            active: BTreeMap::new(),
            next_rounds: BTreeSet::new(),
            unsettled: BTreeSet::new(),
            unreadable: BTreeSet::new(),
            early_cancels: EarlyCancels::default(),
            failing_steps: FailingSteps::default(),
            next_order: 0,
            placements: HashMap::new(),
            advice: HashMap::new(),
            adviser_nodes: AdviserNodes::default(),
            learning: Learning::default(),
            reservations: BTreeMap::new(),
            broken_gangs: BTreeMap::new(),
            suitable_counts: HashMap::new(),
            shapes: Shapes::default(),
            waits: Waits::default(),
            last_cycle: CycleSummary::default(),
            overloads: Overloads::default(),
            forecasts: Forecasts::default(),
            commits: CommitQueue::default(),
            is_store_degraded: false,
            recovered_leases_until: Instant::default(),
            retries: RetryBudgets::default(),
            stop_budget: early_stops::stop_budget(),
            first_to_stop: 0,
            last_lost_poll_at: None,
            is_cycle_due: true,
            next_cycle_at: Instant::default(),
            next_housekeeping_at: Instant::default(),
            next_expiry_scan_at: Instant::default(),
            next_poll_scan_at: Instant::default(),
            wall_ms: 0,
        }
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::JobAccepted { job, record } => self.accept_job(now, job, *record, out),
            Event::CancelAccepted { job } => self.cancel_job(now, job, out),
            Event::Configured(configuration) => self.configure(configuration, out),
            Event::CordonsListed(data_centres) => self.set_cordons(data_centres, out),
            Event::StartsPaused(are_paused) => self.set_starts_paused(are_paused),
            Event::WorkersListed(list) => self.list_workers(now, list, out),
            Event::WorkersChanged(changes) => self.change_workers(now, changes, out),
            Event::HoldAnswered {
                worker,
                sent_at,
                reply,
            } => self.on_poll_answered(now, worker, sent_at, reply, out),
            Event::StartAnswered {
                worker,
                task,
                run,
                reply,
            } => self.on_start_answered(now, worker, task, run, reply, out),
            Event::StopAnswered {
                worker,
                task,
                run,
                reply,
            } => self.on_stop_answered(now, worker, task, run, reply, out),
            Event::NodesListed(nodes) => self.adviser_nodes.set_nodes(nodes),
            Event::AdviceAnswered {
                step,
                queried,
                reply,
            } => {
                self.on_advice_answered(now, step, &queried, reply, out);
            }
            Event::Committed { lane } => self.on_committed(now, lane as usize, out),
            Event::StoreDegraded(is_degraded) => {
                self.is_store_degraded = is_degraded;
                self.forecasts.suspend(now);
            }
            Event::WallClock(wall_ms) => self.begin_due_rounds(wall_ms),
            Event::Tick => self.on_tick(now, out),
        }
    }

    /// Handles events that arrived together, those with operators' settings first.
    ///
    /// A leader that was suspended may find answers queued before a lowered limit, and
    /// would otherwise send orders under the old limit.
    pub fn handle_all(&mut self, now: Instant, events: Vec<Event>, out: &mut Vec<Action>) {
        let (first, rest): (Vec<Event>, Vec<Event>) =
            events.into_iter().partition(Event::is_set_by_operators);
        for event in first.into_iter().chain(rest) {
            self.handle(now, event, out);
        }
    }

    /// Runs a scheduling cycle, sends polls and begins commits, as far as they are due.
    /// Call it after each batch of events, so that one cycle covers the whole batch.
    pub fn run_due_work(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.is_cycle_due && now >= self.next_cycle_at {
            self.is_cycle_due = false;
            let examined_count = self.run_scheduling_cycle(now, out);
            let interval = self.config.cycle_interval;
            let pause_ms = examined_count as u64 / self.config.cycle_steps_per_ms;
            self.next_cycle_at = now + interval.max(Duration::from_ms(pause_ms));
        }
        if now >= self.next_poll_scan_at {
            self.next_poll_scan_at = now + self.config.poll_scan_interval;
            self.send_due_polls(now, out);
        }
        self.flush_commits(now, out);
    }

    /// Returns the state of a job as clients see it, if the job is known and visible to the
    /// caller.
    pub fn job_for(&self, caller: Option<&str>, job: JobId) -> Option<JobView> {
        let record = &self.jobs.get(&job)?.record;
        self.job(job).filter(|_| record.is_visible_to(caller))
    }

    /// Returns an estimate of the memory that the jobs take up.
    pub fn jobs_bytes(&self) -> usize {
        self.large_jobs_bytes(0)
    }

    /// Returns an estimate of the memory that the jobs of more than `small_bytes` take up.
    pub fn large_jobs_bytes(&self, small_bytes: usize) -> usize {
        let sizes = self.jobs.values().map(|job| job.memory_bytes);
        sizes.filter(|bytes| *bytes > small_bytes).sum()
    }

    /// Returns the state of a job as clients see it, if the job is known.
    pub fn job(&self, job: JobId) -> Option<JobView> {
        let job = self.jobs.get(&job)?;
        Some(JobView {
            phase: job.committed_phase,
            has_begun: job.has_begun,
            is_settled: job.state.phase == job.committed_phase || !job.is_in_flight,
        })
    }

    /// Returns the number of a queue's jobs of which no task has begun.
    pub fn pending_count(&self, queue: &str) -> usize {
        let jobs = self.active.values().filter_map(|id| self.jobs.get(id));
        jobs.filter(|job| job.record.queue == queue && !job.has_begun)
            .count()
    }

    /// Returns the key of the current incarnation of the worker with this id.
    pub fn worker_key(&self, id: &str) -> Option<WorkerKey> {
        self.workers_by_id.get(id).copied()
    }

    /// Returns the listed workers that are not known to be gone.
    pub fn listed_workers(&self) -> impl Iterator<Item = (WorkerKey, &WorkerFacts)> + '_ {
        let workers = self.workers.iter();
        let listed = workers.filter(|(_, worker)| worker.is_listed && !worker.is_gone);
        listed.map(|(key, worker)| (key, &worker.facts))
    }

    /// Returns figures for metrics.
    pub fn status(&self, now: Instant) -> SchedulerStatus {
        let shares = self.shares.summary();
        let placeable = || self.workers.values().filter(|w| w.is_placeable(now));
        SchedulerStatus {
            capacity_milli: placeable()
                .map(|w| u64::from(w.facts.capacity.cores_milli))
                .sum(),
            used_milli: placeable().map(|w| u64::from(w.used.cores_milli)).sum(),
            reserved_workers_count: self.last_cycle.reserved_workers_count,
            waiting_gangs_count: self.last_cycle.waiting_gangs_count,
            slow_workers_count: placeable()
                .filter(|w| w.speed.class == SpeedClass::Slow)
                .count(),
            ejected_workers_count: placeable().filter(|w| w.speed.is_ejected).count(),
            learned_sizes_count: self.learning.durations.classes_count(),
            forecast_error: self.learning.durations.error(),
            limit_reservations_count: self.limit_reservations.count(),
            over_share_count: shares.over_share_count,
            largest_share_lag: shares.largest_lag,
            overloaded_services_count: self.overloads.len(),
            forecast_queues_count: self.forecasts.len(),
            fragmentation: self.fragmentation(now),
            waits: self.waits.summaries(now),
            active_jobs_count: self.active.len(),
            jobs_bytes: self.jobs_bytes(),
            jobs_count: self.jobs.len(),
            runs_count: self.placements.len(),
            cordons_count: self.cordons.len(),
            early_cancels_count: self.early_cancels.len(),
            overdue_rounds_count: self.overdue_rounds_count(),
            unanswered_stops_count: self
                .workers
                .values()
                .filter(|worker| !worker.is_gone)
                .map(|worker| worker.open_starts.unrefused_count())
                .sum(),
            placeable_workers_count: placeable().count(),
            listed_workers_count: self
                .workers
                .values()
                .filter(|worker| worker.is_listed)
                .count(),
        }
    }

    fn on_tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.release_expired_runs(now, out);
        self.stop_broken_gangs(now, out);
        self.evict_fillers(now, out);
        self.repeat_stops(now, out);
        self.stop_open_starts(now, out);
        self.refresh_speeds(now, out);
        if now >= self.next_housekeeping_at {
            self.next_housekeeping_at = now + HOUSEKEEPING_PERIOD;
            self.queue_outcomes();
            self.stop_before_departures(now, out);
            self.log_waits(now, out);
        }
        if now >= self.next_expiry_scan_at {
            self.next_expiry_scan_at = now + EXPIRY_SCAN_PERIOD;
            self.waits.remove_stale(now);
            self.shapes.remove_stale(now);
            self.name_interner.remove_unused();
            self.remove_expired_jobs(now);
            self.drop_expired_cancels(now, out);
        }
        self.is_cycle_due = true;
    }

    fn configure(&mut self, configuration: Configuration, out: &mut Vec<Action>) {
        if configuration.version < self.configuration.version {
            return;
        }
        let line = Decision::new(DecisionKind::Configured, "newer version");
        out.push(Action::Log(line.with_figure(configuration.version)));
        self.accounts.configure(&configuration);
        self.configuration = configuration;
        self.update_policies();
        self.update_share_services();
        self.update_has_service();
        self.is_cycle_due = true;
    }
}
