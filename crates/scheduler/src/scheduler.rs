//! The scheduler: its state and the dispatch of events.

use crate::advice::StepAdvice;
use crate::advisers::Advisers;
use crate::backfill::LimitReservations;
use crate::commits::CommitQueue;
use crate::config::{Configuration, SchedulerConfig};
use crate::cordons::Cordons;
use crate::customers::Accounts;
use crate::cycle::CycleSummary;
use crate::decision::{Decision, DecisionKind};
use crate::durations::ForecastError;
use crate::event::{Action, Event};
use crate::forecast::Forecasts;
use crate::fragmentation::ServiceFragmentation;
use crate::job::{JobId, StepKey, TaskKey};
use crate::jobs::Job;
use crate::learning::{Learning, SpeedClass};
use crate::names::Names;
use crate::overloads::Overloads;
use crate::retries::RetryBudgets;
use crate::shapes::Shapes;
use crate::share_accounts::Shares;
use crate::state::Phase;
use crate::waiting::{WaitReason, WaitSummary, Waits};
use crate::worker::{Worker, WorkerFacts, WorkerKey};
use cranelift_entity::PrimaryMap;
use ospreywing_types::{Duration, Instant};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

/// The time between two looks at jobs that have their outcome.
const HOUSEKEEPING_PERIOD: Duration = Duration::from_ms(100);
/// The time between two looks for jobs to forget: all jobs are looked at, some
/// ten thousand, and outcomes are kept for minutes.
const FORGET_PERIOD: Duration = Duration::from_ms(2000);

/// The state of a job that clients are shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job's life, as far as it is in the store.
    pub phase: Phase,
    /// Whether a task of it has begun.
    pub has_begun: bool,
    /// Whether nothing is on its way to the store that changes the phase. Otherwise the
    /// store may have more, and whoever reads it would be told more than the leader
    /// tells: a client would see the job's outcome and then see it undone.
    pub is_settled: bool,
}

/// Sizes for metrics and operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SchedulerStatus {
    /// Jobs with work left.
    pub active_jobs_count: usize,
    /// Jobs that are known.
    pub jobs_count: usize,
    /// Runs that occupy workers.
    pub runs_count: usize,
    /// Workers that may take a run.
    pub placeable_workers_count: usize,
    /// Workers that are listed.
    pub listed_workers_count: usize,
    /// Data centres that are cordoned.
    pub cordons_count: usize,
    /// Stops of starts meant for an earlier life that were not answered yet.
    pub unanswered_refusals_count: usize,
    /// The processors of the workers that may take a run, in thousandths of a core.
    pub capacity_milli: u64,
    /// What of them runs occupy.
    pub used_milli: u64,
    /// Workers that were kept free for waiting gangs when work was last placed.
    pub awaited_workers_count: usize,
    /// Gangs that waited then.
    pub waiting_gangs_count: usize,
    /// Workers that are known to be slower than their service's others.
    pub slow_workers_count: usize,
    /// Workers that come last, since they are slow of late.
    pub ejected_workers_count: usize,
    /// Sizes of steps whose lengths are learned.
    pub learned_sizes_count: usize,
    /// How far off forecasts of lengths and clients' estimates were.
    pub forecast_error: ForecastError,
    /// Steps for which a part of their customer's limit is reserved.
    pub limit_reservations_count: usize,
    /// Customers whose work beyond their shares of a service that is short comes last.
    pub beyond_share_count: usize,
    /// How far a customer is ahead of its share at most.
    pub largest_share_lag: Duration,
    /// Services that are short of room.
    pub overloaded_services_count: usize,
    /// Queues of which a forecast is told.
    pub forecast_queues_count: usize,
    /// How broken up the free room of each service is.
    pub service_rooms: Vec<ServiceFragmentation>,
    /// The steps that wait, by reason in the order of [`WaitReason::ALL`].
    pub waits: [WaitSummary; WaitReason::ALL.len()],
}

/// The decisions of one leader's term.
pub struct Scheduler {
    pub(crate) config: SchedulerConfig,
    pub(crate) configuration: Configuration,
    pub(crate) accounts: Accounts,
    /// What is kept of customers' limits for steps that wait for them.
    pub(crate) limit_reservations: LimitReservations,
    pub(crate) shares: Shares,
    /// Jobs whose services have to count anew what they ask for.
    pub(crate) stale_ready_demand: HashSet<JobId>,
    pub(crate) cordons: Cordons,
    /// Whether nothing new may be started anywhere.
    pub(crate) are_starts_held: bool,
    pub(crate) workers: PrimaryMap<WorkerKey, Worker>,
    pub(crate) workers_by_id: HashMap<Arc<str>, WorkerKey>,
    pub(crate) names: Names,
    pub(crate) jobs: HashMap<JobId, Job>,
    /// Jobs with work left, in the order in which they are served.
    pub(crate) active: BTreeMap<(u32, u64), JobId>,
    /// Jobs with a schedule that have rounds left to begin.
    pub(crate) scheduled: Vec<JobId>,
    /// Jobs that have their outcome while a run of theirs may be alive.
    pub(crate) unsettled: BTreeSet<JobId>,
    /// Jobs whose stored state can't be read. Nothing of them is started or
    /// stopped, and their ends stay with the workers for a leader that can.
    pub(crate) unreadable: BTreeSet<JobId>,
    pub(crate) next_order: u64,
    /// Where each task's run is.
    pub(crate) placements: HashMap<TaskKey, WorkerKey>,
    pub(crate) advice: HashMap<StepKey, StepAdvice>,
    pub(crate) advisers: Advisers,
    /// What this leader has learned of lengths and speeds.
    pub(crate) learning: Learning,
    /// The workers that keep room for gangs whose advice is being asked for.
    pub(crate) reservations: BTreeMap<StepKey, Vec<WorkerKey>>,
    /// Gangs that have lost a member, and when.
    pub(crate) broken_gangs: BTreeMap<StepKey, Instant>,
    /// Workers found good and workers named, by queue.
    pub(crate) goodness: HashMap<String, (f64, f64)>,
    /// The shapes of the tasks that came lately.
    pub(crate) shapes: Shapes,
    /// The steps that wait, and why.
    pub(crate) waits: Waits,
    /// What the last cycle over waiting steps left.
    pub(crate) last_cycle: CycleSummary,
    /// The services that were short of room then.
    pub(crate) overloads: Overloads,
    /// When the queues of these could do another job.
    pub(crate) forecasts: Forecasts,
    pub(crate) commits: CommitQueue,
    pub(crate) has_store_trouble: bool,
    /// When every lease that an earlier leader granted is certainly over. A lease
    /// never shortens and holds for all that runs on a worker, also for what only
    /// this leader starts there.
    pub(crate) inherited_until: Instant,
    /// What may be sent again.
    pub(crate) retries: RetryBudgets,
    /// When a worker last left a renewal unanswered that answered before.
    pub(crate) last_lost_hold_at: Option<Instant>,
    /// Whether something has changed that may let a task be placed.
    pub(crate) is_place_due: bool,
    next_place_at: Instant,
    next_housekeeping_at: Instant,
    next_forget_at: Instant,
    /// When renewals that are due are looked for next.
    pub(crate) next_renewal_at: Instant,
    pub(crate) wall_ms: u64,
}

impl Scheduler {
    pub(crate) fn empty(config: SchedulerConfig, configuration: Configuration) -> Self {
        let mut accounts = Accounts::default();
        accounts.configure(configuration.customers.values());
        Self {
            config,
            configuration,
            accounts,
            limit_reservations: LimitReservations::default(),
            shares: Shares::default(),
            stale_ready_demand: HashSet::new(),
            cordons: Cordons::default(),
            are_starts_held: false,
            workers: PrimaryMap::new(),
            workers_by_id: HashMap::new(),
            names: Names::default(),
            jobs: HashMap::new(),
            active: BTreeMap::new(),
            scheduled: Vec::new(),
            unsettled: BTreeSet::new(),
            unreadable: BTreeSet::new(),
            next_order: 0,
            placements: HashMap::new(),
            advice: HashMap::new(),
            advisers: Advisers::default(),
            learning: Learning::default(),
            reservations: BTreeMap::new(),
            broken_gangs: BTreeMap::new(),
            goodness: HashMap::new(),
            shapes: Shapes::default(),
            waits: Waits::default(),
            last_cycle: CycleSummary::default(),
            overloads: Overloads::default(),
            forecasts: Forecasts::default(),
            commits: CommitQueue::default(),
            has_store_trouble: false,
            inherited_until: Instant::default(),
            retries: RetryBudgets::default(),
            last_lost_hold_at: None,
            is_place_due: true,
            next_place_at: Instant::default(),
            next_housekeeping_at: Instant::default(),
            next_forget_at: Instant::default(),
            next_renewal_at: Instant::default(),
            wall_ms: 0,
        }
    }

    /// Takes in an event and appends what is to be done.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::JobAccepted { job, record } => self.accept_job(now, job, *record, out),
            Event::CancelAccepted { job } => self.cancel_job(now, job, out),
            Event::Configured(configuration) => self.configure(configuration, out),
            Event::CordonsListed(data_centres) => self.set_cordons(data_centres, out),
            Event::StartsHeld(are_held) => self.hold_starts(are_held),
            Event::WorkersListed(list) => self.list_workers(now, list, out),
            Event::WorkersChanged(changes) => self.change_workers(now, changes, out),
            Event::HoldAnswered {
                worker,
                sent_at,
                reply,
            } => self.on_hold_answered(now, worker, sent_at, reply, out),
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
            Event::NodesListed(nodes) => self.advisers.set_nodes(nodes),
            Event::AdviceAnswered { step, named, reply } => {
                self.on_advice_answered(now, step, &named, reply, out);
            }
            Event::Committed { lane } => self.on_committed(now, lane as usize, out),
            Event::StoreTrouble(has_trouble) => {
                self.has_store_trouble = has_trouble;
                self.forecasts.suspend(now);
            }
            Event::WallClock(wall_ms) => self.begin_due_rounds(wall_ms),
            Event::Tick => self.on_tick(now, out),
        }
    }

    /// Takes in events that have come together, what the operators have set before all else.
    ///
    /// A leader that stood still finds answers and a lowered limit behind one another, and
    /// would give orders by the answers while it still knew the higher limit.
    pub fn handle_all(&mut self, now: Instant, events: Vec<Event>, out: &mut Vec<Action>) {
        let (first, rest): (Vec<Event>, Vec<Event>) =
            events.into_iter().partition(Event::is_set_by_operators);
        for event in first.into_iter().chain(rest) {
            self.handle(now, event, out);
        }
    }

    /// Does what is due: places, commits, renews. Called after each batch of
    /// events, so that one cycle serves them all.
    pub fn settle(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.is_place_due && now >= self.next_place_at {
            self.is_place_due = false;
            let examined_count = self.place(now, out);
            let pace = self.config.place_pace;
            let rest_ms = examined_count as u64 / self.config.place_steps_per_ms;
            self.next_place_at = now + pace.max(Duration::from_ms(rest_ms));
        }
        if now >= self.next_renewal_at {
            self.next_renewal_at = now + self.config.renewal_pace;
            self.renew_leases(now, out);
        }
        self.flush_commits(now, out);
    }

    /// Returns the state of a job that clients are shown, where the job is known and open
    /// to the caller.
    pub fn job_for(&self, caller: Option<&str>, job: JobId) -> Option<JobView> {
        let record = &self.jobs.get(&job)?.record;
        self.job(job).filter(|_| record.is_open_to(caller))
    }

    /// Returns the state of a job that clients are shown, where the job is known.
    pub fn job(&self, job: JobId) -> Option<JobView> {
        let job = self.jobs.get(&job)?;
        Some(JobView {
            phase: job.committed_phase,
            has_begun: job.has_begun,
            is_settled: job.state.phase == job.committed_phase || !job.is_in_flight,
        })
    }

    /// Returns how many of a queue's jobs have no task that has begun.
    pub fn pending_count(&self, queue: &str) -> usize {
        let jobs = self.active.values().filter_map(|id| self.jobs.get(id));
        jobs.filter(|job| job.record.queue == queue && !job.has_begun)
            .count()
    }

    /// Returns a worker's key by the id of its life.
    pub fn worker_key(&self, id: &str) -> Option<WorkerKey> {
        self.workers_by_id.get(id).copied()
    }

    /// Returns the workers that the platform lists and that are not known to be gone.
    pub fn listed_workers(&self) -> impl Iterator<Item = (WorkerKey, &WorkerFacts)> + '_ {
        let workers = self.workers.iter();
        let listed = workers.filter(|(_, worker)| worker.is_listed && !worker.is_gone);
        listed.map(|(key, worker)| (key, &worker.facts))
    }

    /// Returns sizes for metrics.
    pub fn status(&self, now: Instant) -> SchedulerStatus {
        let shares = self.shares.summary();
        let placeable = || self.workers.values().filter(|w| w.is_placeable(now));
        SchedulerStatus {
            capacity_milli: placeable()
                .map(|w| u64::from(w.facts.capacity.cores_milli))
                .sum(),
            used_milli: placeable().map(|w| u64::from(w.used.cores_milli)).sum(),
            awaited_workers_count: self.last_cycle.awaited_workers_count,
            waiting_gangs_count: self.last_cycle.waiting_gangs_count,
            slow_workers_count: placeable()
                .filter(|w| w.speed.class == SpeedClass::Slow)
                .count(),
            ejected_workers_count: placeable().filter(|w| w.speed.is_ejected).count(),
            learned_sizes_count: self.learning.durations.classes_count(),
            forecast_error: self.learning.durations.error(),
            limit_reservations_count: self.limit_reservations.count(),
            beyond_share_count: shares.beyond_count,
            largest_share_lag: shares.largest_lag,
            overloaded_services_count: self.overloads.len(),
            forecast_queues_count: self.forecasts.len(),
            service_rooms: self.service_rooms(now),
            waits: self.waits.summaries(now),
            active_jobs_count: self.active.len(),
            jobs_count: self.jobs.len(),
            runs_count: self.placements.len(),
            cordons_count: self.cordons.len(),
            unanswered_refusals_count: self
                .workers
                .values()
                .filter(|worker| !worker.is_gone)
                .map(|worker| worker.open_starts.unanswered_count())
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
        self.give_up_lapsed(now, out);
        self.stop_broken_gangs(now, out);
        self.evict_fillers(now, out);
        self.repeat_stops(now, out);
        self.repeat_refusals(now, out);
        self.refresh_speeds(now, out);
        if now >= self.next_housekeeping_at {
            self.next_housekeeping_at = now + HOUSEKEEPING_PERIOD;
            self.settle_ended_jobs();
            self.stop_before_departures(now, out);
            self.tell_waits(now, out);
        }
        if now >= self.next_forget_at {
            self.next_forget_at = now + FORGET_PERIOD;
            self.waits.forget_old(now);
            self.shapes.forget_old(now);
            self.names.forget_unused();
            self.remove_expired_jobs(now);
        }
        self.is_place_due = true;
    }

    fn configure(&mut self, configuration: Configuration, out: &mut Vec<Action>) {
        if configuration.version < self.configuration.version {
            return;
        }
        let line = Decision::new(DecisionKind::Configured, "newer version");
        out.push(Action::Log(line.with_figure(configuration.version)));
        self.accounts.configure(configuration.customers.values());
        self.configuration = configuration;
        self.update_share_services();
        self.note_services();
        self.is_place_due = true;
    }
}
