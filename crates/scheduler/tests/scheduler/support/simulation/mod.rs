//! A simulated cell: a clock, messages in flight, and faults drawn from a seed.

mod delivery;
mod faults;
mod intake;
mod trace;

use super::cordons::CordonRule;
use super::limits::LimitRule;
use super::rules::Rules;
use super::worker::FakeWorker;
use super::{accepted_under, OTHER_SERVICE};
use ospreywing_scheduler::{
    Action, AdvicePolicy, AdviceReply, Change, Configuration, CrashPolicy, Endpoint, Event,
    Features, Forecast, JobId, JobOutcome, JobRecord, JobState, Phase, Recovered, Scheduler,
    SchedulerConfig, SchedulerStatus, ShareView, StartOrder, TaskKey, Ticket, WorkerChange,
    WorkerFacts,
};
use ospreywing_types::{Duration, Instant, Resources};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use trace::Trace;

/// The longest lease that a fake worker accepts.
pub const LEASE_LIMIT_MS: u64 = 6000;
/// The leader's lease.
const LEADER_LEASE_MS: u64 = 2000;
const TICK_PERIOD_MS: u64 = 20;
/// The time of day at which the workers' first incarnations start.
const FIRST_INCARNATION_START_MS: u64 = 5_000_000;
/// The longest time for which a relay holds an order.
const RELAY_HOLD_LIMIT_MS: u64 = 600;
/// How long a commit takes while the store is degraded.
const SLOW_COMMIT_MS: core::ops::Range<u64> = 100..3_000;

/// How often each fault occurs, in thousandths of what its field names.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Answers that are lost.
    pub lost_answer: u32,
    /// Orders that are carried out 2 to 12 s late and never answered.
    pub late_order: u32,
    /// Runs that fail.
    pub failing_run: u32,
    /// Ticks at which a worker crashes and another one with a new id starts at its address.
    pub crash: u32,
    /// Ticks at which a worker is partitioned from the leaders for a while.
    pub partition: u32,
    /// Ticks at which the leader is replaced while the old one still acts for a while.
    pub takeover: u32,
    /// Ticks at which the store becomes slow for a while, so that leases become long.
    pub degraded_store: u32,
    /// Ticks at which a worker begins to drain; it leaves some seconds later.
    pub drain: u32,
    /// Ticks at which a worker's capacity shrinks for a while.
    pub resize: u32,
    /// Ticks at which the leader is paused, as by a suspended machine or a frozen process.
    pub pause: u32,
    /// Ticks at which the last write of a worker that is gone reaches the store late.
    pub stale_entry: u32,
    /// Ticks at which operators change the limits of all customers.
    pub limit: u32,
    /// Ticks at which operators remove all queues, or add them again.
    pub queue: u32,
    /// Ticks at which a worker crashes and starts again under its id.
    pub restart: u32,
    /// Ticks at which operators cordon a data centre, or lift its cordon.
    pub cordon: u32,
    /// Starts that a relay holds for a while.
    pub held_order: u32,
    /// Starts without an answer that arrive 2 to 12 s late, at the incarnation that is then at
    /// the worker's address.
    pub start_in_flight: u32,
    /// Starts without an answer that arrive at once and are carried out 2 to 12 s later, unless
    /// the process that received them has ended.
    pub start_held_by_worker: u32,
    /// Ticks at which the store's watches return nothing for a while, after which the leaders
    /// read the intake whole.
    pub lost_history: u32,
}

impl Faults {
    /// Returns whether starts may be carried out seconds after they were sent.
    const fn delay_starts(&self) -> bool {
        self.late_order > 0 || self.start_in_flight > 0 || self.start_held_by_worker > 0
    }
}

/// How a start reaches its execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StartPath {
    /// It is carried out on arrival and answered.
    Prompt,
    /// Arrival and execution are one late event: whoever then has the id carries it out.
    Late,
    /// It arrives late and is carried out on arrival.
    InFlight,
    /// It is carried out late by the process at which it arrived.
    HeldByWorker,
}

/// A message in flight, or an event of the simulation itself.
enum Message {
    Poll {
        term: u64,
        to: Endpoint,
        until_ms: Option<u64>,
        last_seen: u64,
        sent_at: Instant,
    },
    Start {
        term: u64,
        to: Endpoint,
        order: StartOrder,
        path: StartPath,
    },
    /// A process carries out a start that it has held.
    ExecuteHeldStart {
        worker: usize,
        number: u64,
    },
    Stop {
        term: u64,
        to: Endpoint,
        task: TaskKey,
        run: u32,
        is_answered: bool,
    },
    Commit {
        term: u64,
        lane: u32,
        changes: Vec<Change>,
    },
    HandleEvent {
        term: u64,
        event: Event,
    },
    Partition {
        worker: usize,
        duration_ms: u64,
    },
    Heal {
        worker: usize,
    },
    ReplaceWorker {
        worker: usize,
    },
    Crash {
        worker: usize,
        task: TaskKey,
    },
    StartReplacement {
        worker: usize,
    },
    StartNextIncarnation {
        worker: usize,
    },
    WriteEntry {
        worker: usize,
    },
    Resize {
        worker: usize,
        per_mille: u32,
    },
    ResumeLeader {
        term: u64,
    },
    ListWorkers,
    EndStoreDegradation,
    EndHistoryLoss,
}

/// A term and its scheduler.
struct Leader {
    fence: u64,
    scheduler: Scheduler,
    /// When it stops sending orders.
    acts_until_ms: u64,
    /// Whether it is paused, and the events that have arrived meanwhile.
    is_paused: bool,
    backlog: Vec<Event>,
    /// The jobs of which it has learned that they are cancelled.
    cancelled_jobs: BTreeSet<JobId>,
}

/// A simulated cell.
pub struct Simulation {
    pub now_ms: u64,
    rng: Pcg64,
    faults: Faults,
    configuration: Configuration,
    /// The last configuration with queues.
    accepting_configuration: Configuration,
    has_advice: bool,
    leaders: Vec<Leader>,
    pub workers: Vec<FakeWorker>,
    /// The workers as last published to the leaders.
    published_workers: BTreeMap<Arc<str>, WorkerFacts>,
    messages: BTreeMap<(u64, u64), Message>,
    next_message: u64,
    jobs: BTreeMap<JobId, JobRecord>,
    submitted_jobs: Vec<JobId>,
    cancels: Vec<JobId>,
    states: BTreeMap<JobId, Vec<u8>>,
    /// Jobs of which the store keeps only the outcome.
    ended: BTreeMap<JobId, JobOutcome>,
    pub rules: Rules,
    last_faults_at_ms: u64,
    is_store_degraded: bool,
    /// Whether the watches return nothing.
    is_history_lost: bool,
    /// The range of the runs' durations.
    pub run_durations_ms: core::ops::Range<u64>,
    /// The same in percent of the steps' estimates; takes precedence where set.
    pub run_durations_percent: Option<core::ops::Range<u64>>,
    /// The time from which on no new fault occurs.
    pub faults_end_ms: u64,
    /// The adviser finds one worker in this many suitable for a job; 0 for two of three.
    pub suitable_one_in: u64,
    pub advice_requests_count: usize,
    /// Jobs whose first task crashes each worker that starts it.
    pub crashing_jobs: BTreeSet<JobId>,
    /// Runs of other jobs that were lost on workers that such tasks crashed.
    pub other_runs_lost_count: usize,
    /// When each job was first seen with its outcome.
    pub done_ms: BTreeMap<JobId, u64>,
    /// When a run of each job was first started.
    pub started_ms: BTreeMap<JobId, u64>,
    crash_policy: CrashPolicy,
    features: Features,
    /// Whether a leader sends what it has learned to the next one.
    pub hands_over_learned: bool,
    /// The range of the runs' durations at typical speed, for jobs that differ from the others.
    pub job_run_durations_ms: BTreeMap<JobId, core::ops::Range<u64>>,
    /// Whether workers that a task has crashed start again under their ids.
    pub keeps_ids: bool,
    /// Whether starts are bound to the incarnation that they are meant for.
    pub binds_starts: bool,
    limit_rule: LimitRule,
    cordon_rule: CordonRule,
    trace: Trace,
}

impl Simulation {
    pub fn new(
        seed: u64,
        workers_count: usize,
        faults: Faults,
        advice: Option<AdvicePolicy>,
    ) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let workers = (0..workers_count).map(|number| {
            let clock_per_mille = rng.random_range(980..=1000);
            FakeWorker::new(&format!("w{number}"), clock_per_mille)
        });
        let workers = workers.collect();
        let mut simulation = Self {
            now_ms: 1_000,
            rng,
            faults,
            configuration: super::configuration(advice),
            accepting_configuration: super::configuration(advice),
            has_advice: advice.is_some(),
            leaders: Vec::new(),
            workers,
            published_workers: BTreeMap::new(),
            messages: BTreeMap::new(),
            next_message: 0,
            jobs: BTreeMap::new(),
            submitted_jobs: Vec::new(),
            cancels: Vec::new(),
            states: BTreeMap::new(),
            ended: BTreeMap::new(),
            rules: Rules::default(),
            last_faults_at_ms: 0,
            is_store_degraded: false,
            is_history_lost: false,
            run_durations_ms: 200..2_500,
            run_durations_percent: None,
            faults_end_ms: u64::MAX,
            suitable_one_in: 0,
            advice_requests_count: 0,
            crashing_jobs: BTreeSet::new(),
            other_runs_lost_count: 0,
            done_ms: BTreeMap::new(),
            started_ms: BTreeMap::new(),
            crash_policy: CrashPolicy::default(),
            features: Features::default(),
            hands_over_learned: false,
            job_run_durations_ms: BTreeMap::new(),
            keeps_ids: false,
            binds_starts: false,
            limit_rule: LimitRule::new(faults.delay_starts()),
            cordon_rule: CordonRule::new(if faults.held_order > 0 {
                RELAY_HOLD_LIMIT_MS
            } else {
                0
            }),
            trace: Trace::from_env(),
        };
        simulation.elect();
        simulation
    }

    /// Applies a configuration.
    pub fn configure(&mut self, configuration: Configuration) {
        let customers = configuration.customers.values();
        self.limit_rule.record_limits(self.now_ms, customers);
        if !configuration.queues.is_empty() {
            self.accepting_configuration = configuration.clone();
        }
        self.configuration = configuration.clone();
        self.send_to_leaders(Event::Configured(configuration));
    }

    /// Begins a term with this crash policy.
    pub fn elect_with(&mut self, policy: CrashPolicy) {
        self.crash_policy = policy;
        self.elect();
    }

    /// Begins a term with these features.
    pub fn elect_with_features(&mut self, features: Features) {
        self.features = features;
        self.elect();
    }

    /// Returns the newest leader's status.
    pub fn status(&self) -> SchedulerStatus {
        let leader = self.leaders.last().expect("a leader");
        leader.scheduler.status(self.now())
    }

    /// Moves every second worker to another service.
    pub fn split_services(&mut self) {
        for worker in self.workers.iter_mut().skip(1).step_by(2) {
            worker.service = Arc::from(OTHER_SERVICE);
        }
        self.list_workers();
    }

    /// Assigns these capacities to the workers, in turn.
    pub fn set_capacities(&mut self, capacities: &[Resources]) {
        for (worker, capacity) in self.workers.iter_mut().zip(capacities.iter().cycle()) {
            worker.set_capacity(*capacity);
        }
        self.list_workers();
    }

    /// Assigns `size` consecutive workers to each rack.
    pub fn assign_racks(&mut self, size: usize) {
        for (number, worker) in self.workers.iter_mut().enumerate() {
            worker.rack = Some(Arc::from(format!("r{}", number / size)));
        }
        self.list_workers();
    }

    /// Distributes the workers over `count` data centres.
    pub fn assign_data_centres(&mut self, count: usize) {
        for (number, worker) in self.workers.iter_mut().enumerate() {
            worker.data_centre = Arc::from(format!("d{}", number % count));
        }
        self.list_workers();
    }

    /// Lifts all cordons.
    pub fn lift_cordons(&mut self) {
        self.cordon_rule.lift_all();
        self.send_to_leaders(Event::CordonsListed(self.cordon_rule.data_centres()));
    }

    /// Has the workers report the start of their incarnations.
    pub fn report_incarnation_starts(&mut self, ignores_foreign_acks: bool) {
        for worker in &mut self.workers {
            worker.set_incarnation_start(FIRST_INCARNATION_START_MS);
            worker.ignores_foreign_acks = ignores_foreign_acks;
        }
        self.list_workers();
    }

    fn now(&self) -> Instant {
        Instant::from_ms(self.now_ms)
    }

    fn draw_fault(&mut self, per_mille: u32) -> bool {
        let are_faults_over = self.now_ms >= self.faults_end_ms;
        let drawn = self.rng.random_range(0..1000) < per_mille;
        drawn && !are_faults_over
    }

    fn post(&mut self, after_ms: u64, message: Message) {
        let key = (self.now_ms + after_ms, self.next_message);
        self.next_message += 1;
        self.messages.insert(key, message);
    }

    /// Begins a term; the previous leader may act until its lease has expired.
    pub fn elect(&mut self) {
        let fence = self.leaders.last().map_or(1, |leader| leader.fence + 1);
        if let Some(before) = self.leaders.last_mut() {
            let until_ms = self.now_ms + self.rng.random_range(0..LEADER_LEASE_MS);
            // A paused leader sends no orders, and learns of its eviction when it resumes.
            before.acts_until_ms = if before.is_paused { 0 } else { until_ms };
        }
        let active = self
            .submitted_jobs
            .iter()
            .filter(|id| !self.ended.contains_key(id));
        let jobs = active.map(|id| (*id, self.jobs[id].clone()));
        let states = self.states.iter().map(|(id, bytes)| {
            let state = JobState::from_bytes(bytes).expect("a state that was written here");
            (*id, state)
        });
        let recovered = Recovered {
            jobs: jobs.collect(),
            ended: self.ended.clone().into_iter().collect(),
            cancels: self.cancels.clone(),
            states: states.collect(),
            cordons: self.cordon_rule.data_centres(),
            wall_ms: self.now_ms,
            ..Recovered::default()
        };
        let config = SchedulerConfig::new(fence, Duration::from_ms(LEASE_LIMIT_MS))
            .with_leader_lease(Duration::from_ms(LEADER_LEASE_MS))
            .with_crash_policy(self.crash_policy)
            .with_features(self.features);
        let now = self.now();
        let mut scheduler = Scheduler::new(config, self.configuration.clone(), now, recovered);
        let before = self.leaders.last().filter(|_| self.hands_over_learned);
        if let Some(before) = before {
            scheduler.restore_learned(now, &before.scheduler.learned(now));
        }
        self.leaders.push(Leader {
            fence,
            scheduler,
            acts_until_ms: u64::MAX,
            is_paused: false,
            backlog: Vec::new(),
            cancelled_jobs: self.cancels.iter().copied().collect(),
        });
        self.send_to_leaders(Event::NodesListed(vec![Arc::from("n1"), Arc::from("n2")]));
        self.send_to_leader(fence, Event::StoreDegraded(self.is_store_degraded));
        self.list_all_workers(fence);
    }

    /// Returns the workers that are listed, by id.
    fn listed(&self) -> BTreeMap<Arc<str>, WorkerFacts> {
        let now_ms = self.now_ms;
        let is_listed = |worker: &&FakeWorker| worker.is_alive || now_ms < worker.listed_until_ms;
        let listed = self.workers.iter().filter(is_listed);
        let facts = listed.map(FakeWorker::facts);
        facts.map(|facts| (facts.id.clone(), facts)).collect()
    }

    /// Returns a customer's fair share as the newest leader sees it.
    pub fn share_of(&self, customer: &str) -> Option<ShareView> {
        let leader = self.leaders.last()?;
        leader.scheduler.share_of(super::SERVICE, Some(customer))
    }

    /// Sends the leaders what has changed in the list of workers, as the platform does.
    pub fn list_workers(&mut self) {
        let listed = self.listed();
        let before = core::mem::replace(&mut self.published_workers, listed);
        let after = &self.published_workers;
        let gone = before.keys().filter(|id| !after.contains_key(*id));
        let gone = gone.map(|id| WorkerChange::Unlisted(id.clone()));
        let written = after.values().filter(|it| before.get(&it.id) != Some(it));
        let written = written.map(|facts| WorkerChange::Listed(facts.clone()));
        let changes: Vec<WorkerChange> = gone.chain(written).collect();
        if !changes.is_empty() {
            self.send_to_leaders(Event::WorkersChanged(changes));
        }
    }

    /// Sends a new leader the whole list, ordered by the workers' ids.
    fn list_all_workers(&mut self, fence: u64) {
        self.list_workers();
        let list = self.published_workers.values().cloned().collect();
        self.send_to_leader(fence, Event::WorkersListed(list));
    }

    /// Submits a job to a node that knows the last configuration with queues.
    pub fn submit(&mut self, job: (JobId, JobRecord)) {
        let (id, record) = accepted_under(&self.accepting_configuration, job);
        self.jobs.insert(id, record.clone());
        self.submitted_jobs.push(id);
        let record = Box::new(record);
        self.announce(Event::JobAccepted { job: id, record });
    }

    pub fn cancel(&mut self, id: JobId) {
        self.cancels.push(id);
        self.announce(Event::CancelAccepted { job: id });
    }

    /// Returns the newest leader's forecast.
    pub fn forecast(&self) -> Option<Forecast> {
        let leader = self.leaders.last()?;
        leader.scheduler.forecast(self.now())
    }

    pub fn phase(&self, id: JobId) -> Option<Phase> {
        let leader = self.leaders.last()?;
        leader.scheduler.job(id).map(|view| view.phase)
    }

    fn send_to_leaders(&mut self, event: Event) {
        let fences: Vec<u64> = self.leaders.iter().map(|leader| leader.fence).collect();
        for fence in fences {
            self.send_to_leader(fence, event.clone());
        }
    }

    fn send_to_leader(&mut self, fence: u64, event: Event) {
        self.send_batch_to_leader(fence, vec![event]);
    }

    /// Has a leader handle a batch of events.
    fn send_batch_to_leader(&mut self, fence: u64, events: Vec<Event>) {
        let now = self.now();
        let now_ms = self.now_ms;
        let Some(leader) = self.leaders.iter_mut().find(|l| l.fence == fence) else {
            return;
        };
        if leader.is_paused {
            leader.backlog.extend(events);
            return;
        }
        let mut actions = Vec::new();
        let cancelled_jobs = events.iter().filter_map(intake::cancelled_job);
        leader.cancelled_jobs.extend(cancelled_jobs);
        leader.scheduler.handle_all(now, events, &mut actions);
        let acts = now_ms < leader.acts_until_ms;
        if acts {
            leader.scheduler.run_due_work(now, &mut actions);
        }
        if let Err(violation) = leader.scheduler.verify() {
            panic!("term {fence}, at {now_ms} ms: {violation}");
        }
        if acts {
            for action in actions {
                self.perform(fence, action);
            }
        }
    }

    fn perform(&mut self, term: u64, action: Action) {
        match action {
            Action::Commit { lane, changes } => {
                let after_ms = match self.is_store_degraded {
                    true => self.rng.random_range(SLOW_COMMIT_MS),
                    false => self.rng.random_range(3..40),
                };
                self.post(
                    after_ms,
                    Message::Commit {
                        term,
                        lane,
                        changes,
                    },
                );
            }
            Action::Hold {
                to,
                until_ms,
                last_seen,
                ..
            } => {
                let sent_at = self.now();
                let after_ms = self.rng.random_range(0..5);
                self.post(
                    after_ms,
                    Message::Poll {
                        term,
                        to,
                        until_ms,
                        last_seen,
                        sent_at,
                    },
                );
            }
            Action::Start { to, order } => {
                self.check_not_cancelled(term, order.task);
                self.send_start(term, to, order);
            }
            Action::Stop { to, task, run } => self.send_stop(term, to, task, run),
            Action::Advise {
                step,
                workers,
                expected,
                ..
            } => {
                self.advice_requests_count += 1;
                let suitable = workers
                    .iter()
                    .filter(|to| self.is_suitable(&to.id, step.job));
                let tickets: Vec<Ticket> = suitable
                    .map(|to| Ticket {
                        worker: to.id.clone(),
                        text: self.ticket_of(to),
                    })
                    .collect();
                let reply = AdviceReply::Answered {
                    tickets,
                    validity: Duration::from_ms(1500),
                };
                let queried = workers.iter().map(|to| to.worker).collect();
                let event = Event::AdviceAnswered {
                    step,
                    queried,
                    reply,
                };
                self.post(expected.as_ms(), Message::HandleEvent { term, event });
            }
            Action::StepDown => {
                if let Some(leader) = self.leaders.iter_mut().find(|l| l.fence == term) {
                    leader.acts_until_ms = 0;
                }
            }
            Action::Log(decision) => self.trace.print_decision(self.now_ms, term, &decision),
        }
    }

    /// Advances the clock by `duration_ms`, delivering messages and ticking.
    pub fn run_for(&mut self, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        while self.now_ms < until_ms {
            let next_tick_ms = (self.now_ms / TICK_PERIOD_MS + 1) * TICK_PERIOD_MS;
            let due = self.messages.keys().next().copied();
            match due {
                Some((at_ms, number)) if at_ms <= next_tick_ms => {
                    self.now_ms = at_ms.max(self.now_ms);
                    let message = self.messages.remove(&(at_ms, number));
                    self.deliver(message.expect("a message that was just seen"));
                }
                _ => {
                    self.now_ms = next_tick_ms;
                    self.tick();
                }
            }
        }
    }

    fn tick(&mut self) {
        let now_ms = self.now_ms;
        for worker in &mut self.workers {
            worker.advance(now_ms);
        }
        self.record_done();
        self.inject_faults();
        self.send_to_leaders(Event::Tick);
    }

    /// Records which jobs have their outcome by now.
    pub fn record_outcomes(&mut self) {
        let open: Vec<JobId> = self.submitted_jobs.clone();
        let open = open.into_iter().filter(|id| !self.done_ms.contains_key(id));
        for id in open.collect::<Vec<JobId>>() {
            if !matches!(self.phase(id), None | Some(Phase::Active)) {
                self.done_ms.insert(id, self.now_ms);
            }
        }
    }

    /// Asserts that no run of a job that has its outcome is still running.
    pub fn assert_no_strays(&self) {
        for worker in self.workers.iter().filter(|worker| worker.is_alive) {
            for (task, run) in &worker.runs {
                let phase = self.phase(task.step.job);
                assert!(
                    phase == Some(Phase::Active),
                    "run {} of {task} is still running at {}, and its job is {phase:?}",
                    run.run,
                    worker.id
                );
            }
        }
    }

    /// Runs until every job has its outcome, for `limit_ms` at most.
    ///
    /// # Panics
    ///
    /// Panics if a job has no outcome by then.
    pub fn run_until_done(&mut self, limit_ms: u64) {
        let until_ms = self.now_ms + limit_ms;
        while self.now_ms < until_ms {
            self.run_for(200);
            let ids: Vec<JobId> = self.submitted_jobs.clone();
            let is_open = |id: &JobId| matches!(self.phase(*id), None | Some(Phase::Active));
            if !ids.iter().any(is_open) {
                return;
            }
        }
        let open: Vec<JobId> = self.submitted_jobs.clone();
        let open: Vec<String> = open
            .iter()
            .filter(|id| matches!(self.phase(**id), None | Some(Phase::Active)))
            .map(ToString::to_string)
            .collect();
        panic!("no outcome in time for {open:?}");
    }

    /// Checks that every job that is shown as failed has used up its attempts.
    pub fn assert_failed_jobs_used_attempts(&self) {
        for (id, record) in &self.jobs {
            if self.phase(*id) == Some(Phase::Failed) {
                self.rules.check_failed_job(*id, record);
            }
        }
    }

    /// Returns the adviser's ticket for the current incarnation of a worker.
    fn ticket_of(&self, to: &Endpoint) -> Arc<str> {
        let worker = self.workers.iter().find(|worker| worker.id == to.id);
        worker.map_or(Arc::from(""), FakeWorker::ticket)
    }

    /// Returns whether the adviser finds a worker suitable for a job; always the same answer.
    fn is_suitable(&self, worker: &str, job: JobId) -> bool {
        let sum: u64 = worker.bytes().map(u64::from).sum::<u64>() + job.number();
        match self.suitable_one_in {
            0 => !sum.is_multiple_of(3),
            one_in => sum.is_multiple_of(one_in),
        }
    }
}
