//! The world: time, messages on their way, faults drawn from a seed.

use super::rules::Rules;
use super::worker::{FakeRun, FakeWorker};
use ospreywing_scheduler::{
    Action, AdvicePolicy, AdviceReply, Change, ChangeKind, Configuration, CrashPolicy, EndKind,
    Endpoint, Event, HoldReply, JobId, JobRecord, JobState, Phase, Recovered, Scheduler,
    SchedulerConfig, StartOrder, StartReply, StopReply, StoredJob, TaskKey, Ticket,
};
use ospreywing_types::{Duration, Instant};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The longest lease of a fake worker.
pub const LEASE_LIMIT_MS: u64 = 6000;
/// The leader's lease.
const LEADER_LEASE_MS: u64 = 2000;
const TICK_MS: u64 = 20;
/// How long a dead worker is listed; its machine's next life is listed beside it.
const LISTED_DEAD_MS: core::ops::Range<u64> = 500..9_000;
/// How long a worker that drains stays.
const DRAIN_MS: core::ops::Range<u64> = 2_000..5_000;
/// How long the store's trouble lasts.
const TROUBLE_MS: core::ops::Range<u64> = 1_000..6_000;
/// How long a commit then takes.
const SLOW_COMMIT_MS: core::ops::Range<u64> = 100..3_000;
/// In how many of a thousand cases the store's trouble ends with a new leader,
/// where leaders are replaced at all.
const TROUBLE_ENDS_TERM: u32 = 500;
/// How soon after such a term began a worker is cut off, and for how long.
const EARLY_CUT_AFTER_MS: core::ops::Range<u64> = 20..800;
const EARLY_CUT_MS: core::ops::Range<u64> = 3_000..9_000;
/// How soon a task that crashes its workers does so, and how long the worker is away:
/// some leases lapse before it is back.
const CRASH_AFTER_MS: core::ops::Range<u64> = 0..20;
const AWAY_MS: core::ops::Range<u64> = 2_000..8_000;
/// How long a worker's room is changed, and how soon its entry says so.
const RESIZED_MS: core::ops::Range<u64> = 1_000..9_000;
const ENTRY_DELAY_MS: core::ops::Range<u64> = 100..1_500;
/// How long a leader stands still. Where that is longer than its lease, another leads.
const PAUSE_MS: core::ops::Range<u64> = 200..4_000;
/// When an order or a renewal is taken for unanswered.
const ORDER_LIMIT_MS: u64 = 700;

/// How often faults strike, in thousandths.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Answers that are lost.
    pub lost_answer: u32,
    /// Orders that are carried out 2 to 12 s late, unanswered.
    pub late_order: u32,
    /// Runs that fail.
    pub failing_run: u32,
    /// Ticks at which a worker's power goes.
    pub crash: u32,
    /// Ticks at which a worker is cut off for a while.
    pub cut: u32,
    /// Ticks at which the leader is replaced, the old one acting on for a while.
    pub takeover: u32,
    /// Ticks at which the store becomes slow for a while and leases long.
    pub trouble: u32,
    /// Ticks at which a worker begins to drain; it goes some seconds later.
    pub drain: u32,
    /// Ticks at which a worker's room shrinks for a while.
    pub resize: u32,
    /// Ticks at which the leader stands still, as in a suspend or a freeze.
    pub pause: u32,
}

enum Message {
    Hold {
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
        is_answered: bool,
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
    Tell {
        term: u64,
        event: Event,
    },
    Cut {
        worker: usize,
        length_ms: u64,
    },
    Heal {
        worker: usize,
    },
    Die {
        worker: usize,
    },
    Crash {
        worker: usize,
        task: TaskKey,
    },
    BringUp {
        worker: usize,
    },
    Resize {
        worker: usize,
        per_mille: u32,
    },
    Wake {
        term: u64,
    },
    ListWorkers,
    TroubleOver,
}

struct Leader {
    fence: u64,
    scheduler: Scheduler,
    /// When it stops giving orders.
    acts_until_ms: u64,
    /// Whether it stands still, and what has come for it meanwhile.
    is_paused: bool,
    backlog: Vec<Event>,
}

/// The world.
pub struct World {
    pub now_ms: u64,
    rng: Pcg64,
    faults: Faults,
    configuration: Configuration,
    has_advice: bool,
    leaders: Vec<Leader>,
    pub workers: Vec<FakeWorker>,
    messages: BTreeMap<(u64, u64), Message>,
    next_message: u64,
    jobs: BTreeMap<JobId, JobRecord>,
    order: Vec<JobId>,
    cancels: Vec<JobId>,
    states: BTreeMap<JobId, Vec<u8>>,
    /// Jobs of which the store keeps the outcome only.
    ended: BTreeMap<JobId, Phase>,
    pub rules: Rules,
    last_faults_at_ms: u64,
    has_trouble: bool,
    /// How long runs take.
    pub run_lengths_ms: core::ops::Range<u64>,
    /// After this time no new fault strikes.
    pub calm_from_ms: u64,
    /// One of so many workers is good for a job; 0 for two of three.
    pub good_one_in: u64,
    pub advice_calls_count: usize,
    /// Jobs whose first task crashes each worker that starts it.
    pub crashing: BTreeSet<JobId>,
    /// Runs of other jobs that were lost with workers which such tasks crashed.
    pub runs_lost_beside_count: usize,
    /// When each job was first seen to have its outcome.
    pub done_ms: BTreeMap<JobId, u64>,
    crash_policy: CrashPolicy,
}

impl World {
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
        let mut world = Self {
            now_ms: 1_000,
            rng,
            faults,
            configuration: super::configuration(advice),
            has_advice: advice.is_some(),
            leaders: Vec::new(),
            workers,
            messages: BTreeMap::new(),
            next_message: 0,
            jobs: BTreeMap::new(),
            order: Vec::new(),
            cancels: Vec::new(),
            states: BTreeMap::new(),
            ended: BTreeMap::new(),
            rules: Rules::default(),
            last_faults_at_ms: 0,
            has_trouble: false,
            run_lengths_ms: 200..2_500,
            calm_from_ms: u64::MAX,
            good_one_in: 0,
            advice_calls_count: 0,
            crashing: BTreeSet::new(),
            runs_lost_beside_count: 0,
            done_ms: BTreeMap::new(),
            crash_policy: CrashPolicy::default(),
        };
        world.elect();
        world
    }

    /// Begins a term with another rule on crashes.
    pub fn elect_with(&mut self, policy: CrashPolicy) {
        self.crash_policy = policy;
        self.elect();
    }

    /// Puts so many workers in a row into each rack.
    pub fn lay_out_racks(&mut self, size: usize) {
        for (number, worker) in self.workers.iter_mut().enumerate() {
            worker.rack = Some(Arc::from(format!("r{}", number / size)));
        }
        self.list_workers();
    }

    /// Takes workers down at once; they are back after a while.
    pub fn lose(&mut self, workers: &[usize]) {
        for &worker in workers {
            if let Some(listed_ms) = self.take_down(worker) {
                self.post(listed_ms, Message::ListWorkers);
                let away_ms = self.rng.random_range(AWAY_MS);
                self.post(away_ms, Message::BringUp { worker });
            }
        }
    }

    fn now(&self) -> Instant {
        Instant::from_ms(self.now_ms)
    }

    fn draw(&mut self, per_mille: u32) -> bool {
        let is_calm = self.now_ms >= self.calm_from_ms;
        let drawn = self.rng.random_range(0..1000) < per_mille;
        drawn && !is_calm
    }

    fn post(&mut self, after_ms: u64, message: Message) {
        let key = (self.now_ms + after_ms, self.next_message);
        self.next_message += 1;
        self.messages.insert(key, message);
    }

    /// Begins a term; the leader before may act on until its lease is over.
    pub fn elect(&mut self) {
        let fence = self.leaders.last().map_or(1, |leader| leader.fence + 1);
        if let Some(before) = self.leaders.last_mut() {
            let until_ms = self.now_ms + self.rng.random_range(0..LEADER_LEASE_MS);
            // One that stands still gives no order, and knows when it wakes.
            before.acts_until_ms = if before.is_paused { 0 } else { until_ms };
        }
        let active = self.order.iter().filter(|id| !self.ended.contains_key(id));
        let jobs = active.map(|id| (*id, self.jobs[id].clone()));
        let states = self.states.iter().map(|(id, bytes)| {
            let state = JobState::from_bytes(bytes).expect("a state that was written here");
            (*id, state)
        });
        let recovered = Recovered {
            jobs: jobs.collect(),
            ended: self.ended.iter().map(|(id, phase)| (*id, *phase)).collect(),
            cancels: self.cancels.clone(),
            states: states.collect(),
            wall_ms: self.now_ms,
            ..Recovered::default()
        };
        let config = SchedulerConfig::new(fence, Duration::from_ms(LEASE_LIMIT_MS))
            .with_leader_lease(Duration::from_ms(LEADER_LEASE_MS))
            .with_crash_policy(self.crash_policy);
        let scheduler = Scheduler::new(config, self.configuration.clone(), self.now(), recovered);
        self.leaders.push(Leader {
            fence,
            scheduler,
            acts_until_ms: u64::MAX,
            is_paused: false,
            backlog: Vec::new(),
        });
        self.tell_all(Event::NodesListed(vec![Arc::from("n1"), Arc::from("n2")]));
        self.tell(fence, Event::StoreTrouble(self.has_trouble));
        self.list_workers();
    }

    /// Lists the workers in the order of their ids, as the platform does.
    pub fn list_workers(&mut self) {
        let now_ms = self.now_ms;
        let is_listed = |worker: &&FakeWorker| worker.is_alive || now_ms < worker.listed_until_ms;
        let listed = self.workers.iter().filter(is_listed);
        let mut list: Vec<_> = listed.map(FakeWorker::facts).collect();
        list.sort_by(|one, other| one.id.cmp(&other.id));
        self.tell_all(Event::WorkersListed(list));
    }

    pub fn submit(&mut self, (id, record): (JobId, JobRecord)) {
        self.jobs.insert(id, record.clone());
        self.order.push(id);
        let record = Box::new(record);
        self.tell_all(Event::JobAccepted { job: id, record });
    }

    pub fn cancel(&mut self, id: JobId) {
        self.cancels.push(id);
        self.tell_all(Event::CancelAccepted { job: id });
    }

    pub fn phase(&self, id: JobId) -> Option<Phase> {
        let leader = self.leaders.last()?;
        leader.scheduler.job(id).map(|view| view.phase)
    }

    fn tell_all(&mut self, event: Event) {
        let fences: Vec<u64> = self.leaders.iter().map(|leader| leader.fence).collect();
        for fence in fences {
            self.tell(fence, event.clone());
        }
    }

    fn tell(&mut self, fence: u64, event: Event) {
        let now = self.now();
        let now_ms = self.now_ms;
        let Some(leader) = self.leaders.iter_mut().find(|l| l.fence == fence) else {
            return;
        };
        if leader.is_paused {
            leader.backlog.push(event);
            return;
        }
        let mut actions = Vec::new();
        leader.scheduler.handle(now, event, &mut actions);
        let acts = now_ms < leader.acts_until_ms;
        if acts {
            leader.scheduler.settle(now, &mut actions);
        }
        if let Err(violation) = leader.scheduler.verify() {
            panic!("term {fence}, at {now_ms} ms: {violation}");
        }
        if acts {
            for action in actions {
                self.carry_out(fence, action);
            }
        }
    }

    fn carry_out(&mut self, term: u64, action: Action) {
        match action {
            Action::Commit { lane, changes } => {
                let after_ms = match self.has_trouble {
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
                    Message::Hold {
                        term,
                        to,
                        until_ms,
                        last_seen,
                        sent_at,
                    },
                );
            }
            Action::Start { to, order } => self.send_start(term, to, order),
            Action::Stop { to, task, run } => self.send_stop(term, to, task, run),
            Action::Advise {
                step,
                workers,
                expected,
                ..
            } => {
                self.advice_calls_count += 1;
                let good = workers.iter().filter(|to| self.is_good(&to.id, step.job));
                let tickets = good.map(|to| Ticket {
                    worker: to.id.clone(),
                    text: Arc::from("ticket"),
                });
                let reply = AdviceReply::Good {
                    tickets: tickets.collect(),
                    validity: Duration::from_ms(1500),
                };
                let named = workers.iter().map(|to| to.worker).collect();
                let event = Event::AdviceAnswered { step, named, reply };
                self.post(expected.as_ms(), Message::Tell { term, event });
            }
            Action::StepDown => {
                if let Some(leader) = self.leaders.iter_mut().find(|l| l.fence == term) {
                    leader.acts_until_ms = 0;
                }
            }
            Action::Log(_) => {}
        }
    }

    fn send_start(&mut self, term: u64, to: Endpoint, order: StartOrder) {
        assert_eq!(
            order.ticket.is_some(),
            self.has_advice,
            "a ticket where one is needed"
        );
        let is_late = self.draw(self.faults.late_order);
        let after_ms = self.delay(is_late);
        if is_late {
            self.post_unanswered_start(term, &to, &order);
        }
        let is_answered = !is_late;
        self.post(
            after_ms,
            Message::Start {
                term,
                to,
                order,
                is_answered,
            },
        );
    }

    fn post_unanswered_start(&mut self, term: u64, to: &Endpoint, order: &StartOrder) {
        let event = Event::StartAnswered {
            worker: to.worker,
            task: order.task,
            run: order.run,
            reply: StartReply::Unanswered,
        };
        self.post(ORDER_LIMIT_MS, Message::Tell { term, event });
    }

    fn send_stop(&mut self, term: u64, to: Endpoint, task: TaskKey, run: u32) {
        let is_late = self.draw(self.faults.late_order);
        let after_ms = self.delay(is_late);
        let is_answered = !is_late;
        self.post(
            after_ms,
            Message::Stop {
                term,
                to,
                task,
                run,
                is_answered,
            },
        );
    }

    fn delay(&mut self, is_late: bool) -> u64 {
        if is_late {
            self.rng.random_range(2_000..12_000)
        } else {
            self.rng.random_range(0..5)
        }
    }

    fn worker_index(&self, to: &Endpoint) -> usize {
        let found = self.workers.iter().position(|worker| worker.id == to.id);
        found.expect("a worker of this world")
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Tell { term, event } => self.tell(term, event),
            Message::Cut { worker, length_ms } => self.cut(worker, length_ms),
            Message::Heal { worker } => self.workers[worker].is_cut = false,
            Message::Die { worker } => self.replace(worker),
            Message::Crash { worker, task } => self.crash(worker, task),
            Message::BringUp { worker } => self.bring_up(worker),
            Message::Resize { worker, per_mille } => self.resize(worker, per_mille),
            Message::Wake { term } => self.wake(term),
            Message::ListWorkers => self.list_workers(),
            Message::TroubleOver => self.end_trouble(),
            Message::Commit {
                term,
                lane,
                changes,
            } => self.deliver_commit(term, lane, changes),
            Message::Hold {
                term,
                to,
                until_ms,
                last_seen,
                sent_at,
            } => {
                let reply = self.deliver_hold(term, &to, until_ms, last_seen);
                let after_ms = if reply == HoldReply::Unanswered {
                    ORDER_LIMIT_MS
                } else {
                    2
                };
                let event = Event::HoldAnswered {
                    worker: to.worker,
                    sent_at,
                    reply,
                };
                self.post(after_ms, Message::Tell { term, event });
            }
            Message::Start {
                term,
                to,
                order,
                is_answered,
            } => self.deliver_start(term, &to, &order, is_answered),
            Message::Stop {
                term,
                to,
                task,
                run,
                is_answered,
            } => self.deliver_stop(term, &to, task, run, is_answered),
        }
    }

    /// A commit of a leader that has been followed does nothing.
    fn deliver_commit(&mut self, term: u64, lane: u32, changes: Vec<Change>) {
        if self.leaders.last().map(|leader| leader.fence) != Some(term) {
            if let Some(leader) = self.leaders.iter_mut().find(|l| l.fence == term) {
                leader.acts_until_ms = 0;
            }
            return;
        }
        for change in changes {
            match change.kind {
                ChangeKind::Progress(state) => {
                    self.states.insert(change.job, state);
                }
                ChangeKind::Outcome(bytes) => {
                    let ended = StoredJob::from_bytes(&bytes).expect("an outcome");
                    let StoredJob::Ended(phase) = ended else {
                        panic!("an outcome is no record");
                    };
                    self.states.remove(&change.job);
                    self.ended.insert(change.job, phase);
                }
                ChangeKind::Forget => {
                    self.states.remove(&change.job);
                }
            }
        }
        self.tell(term, Event::Committed { lane });
    }

    fn is_lost(&mut self, index: usize) -> bool {
        let worker = &self.workers[index];
        !worker.is_alive || worker.is_cut
    }

    /// Returns whether a later life of a dead worker's machine answers.
    fn is_other_life(&self, index: usize) -> bool {
        let dead = &self.workers[index];
        let is_next =
            |other: &FakeWorker| other.is_alive && !other.is_cut && other.address == dead.address;
        !dead.is_alive && self.workers.iter().any(is_next)
    }

    fn deliver_hold(
        &mut self,
        term: u64,
        to: &Endpoint,
        until_ms: Option<u64>,
        last_seen: u64,
    ) -> HoldReply {
        let index = self.worker_index(to);
        if self.is_other_life(index) {
            return HoldReply::OtherLife;
        }
        if self.is_lost(index) {
            return HoldReply::Unanswered;
        }
        let now_ms = self.now_ms;
        self.workers[index].advance(now_ms);
        self.note_done();
        let worker = &mut self.workers[index];
        if term >= worker.fence {
            self.rules.note_acks(worker, now_ms, last_seen);
        }
        let reply = worker.hold(now_ms, term, until_ms, last_seen, LEASE_LIMIT_MS);
        if self.draw(self.faults.lost_answer) {
            return HoldReply::Unanswered;
        }
        reply
    }

    fn deliver_start(&mut self, term: u64, to: &Endpoint, order: &StartOrder, is_answered: bool) {
        let index = self.worker_index(to);
        let mut reply = StartReply::Unanswered;
        if self.is_other_life(index) {
            reply = StartReply::OtherLife;
        } else if !self.is_lost(index) {
            reply = self.start_at(term, index, order, !is_answered);
        }
        if self.draw(self.faults.lost_answer) {
            reply = StartReply::Unanswered;
        }
        if !is_answered {
            return;
        }
        let after_ms = if reply == StartReply::Unanswered {
            ORDER_LIMIT_MS
        } else {
            1
        };
        let event = Event::StartAnswered {
            worker: to.worker,
            task: order.task,
            run: order.run,
            reply,
        };
        self.post(after_ms, Message::Tell { term, event });
    }

    fn start_at(
        &mut self,
        term: u64,
        index: usize,
        order: &StartOrder,
        is_late: bool,
    ) -> StartReply {
        let now_ms = self.now_ms;
        for worker in &mut self.workers {
            worker.advance(now_ms);
        }
        self.note_done();
        let reply = self.workers[index].admits(now_ms, term, order);
        if reply != StartReply::Started {
            return reply;
        }
        self.rules
            .check_start(now_ms, &self.workers, index, order, &self.jobs);
        if !is_late {
            self.rules
                .check_room(now_ms, &self.workers[index], order, &self.jobs);
        }
        let fails = self.draw(self.faults.failing_run);
        let length_ms = self.rng.random_range(self.run_lengths_ms.clone());
        let spec = &self.jobs[&order.task.step.job].spec.steps[order.task.step.step as usize];
        let run = FakeRun {
            run: order.run,
            ends_at_ms: now_ms + length_ms,
            kind: if fails {
                EndKind::Failed
            } else {
                EndKind::Done
            },
            demand: spec.demand,
            saves: spec.saves_progress,
        };
        self.workers[index].begin(now_ms, order, run, LEASE_LIMIT_MS);
        let task = order.task;
        if task.index == 0 && self.crashing.contains(&task.step.job) {
            let after_ms = self.rng.random_range(CRASH_AFTER_MS);
            let worker = index;
            self.post(after_ms, Message::Crash { worker, task });
        }
        StartReply::Started
    }

    fn deliver_stop(
        &mut self,
        term: u64,
        to: &Endpoint,
        task: TaskKey,
        run: u32,
        is_answered: bool,
    ) {
        let index = self.worker_index(to);
        let mut reply = StopReply::Unanswered;
        if self.is_other_life(index) {
            reply = StopReply::OtherLife;
        } else if !self.is_lost(index) {
            let now_ms = self.now_ms;
            self.workers[index].advance(now_ms);
            reply = self.workers[index].stop(now_ms, term, task, run);
        }
        if !is_answered || reply == StopReply::Unanswered || self.draw(self.faults.lost_answer) {
            return;
        }
        let event = Event::StopAnswered {
            worker: to.worker,
            task,
            run,
            reply,
        };
        self.post(1, Message::Tell { term, event });
    }

    fn note_done(&mut self) {
        for worker in &self.workers {
            let done = worker.ended.iter().filter(|end| end.kind == EndKind::Done);
            self.rules.done.extend(done.map(|end| end.task));
        }
    }

    /// Lets time pass.
    pub fn run_for(&mut self, length_ms: u64) {
        let until_ms = self.now_ms + length_ms;
        while self.now_ms < until_ms {
            let next_tick_ms = (self.now_ms / TICK_MS + 1) * TICK_MS;
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
        self.note_done();
        self.strike();
        self.tell_all(Event::Tick);
    }

    fn strike(&mut self) {
        if self.now_ms < self.last_faults_at_ms + 100 {
            return;
        }
        self.last_faults_at_ms = self.now_ms;
        let index = self.rng.random_range(0..self.workers.len());
        if self.draw(self.faults.crash) {
            self.replace(index);
        }
        if self.draw(self.faults.cut) {
            let length_ms = self.rng.random_range(500..9_000);
            self.cut(index, length_ms);
        }
        if self.draw(self.faults.takeover) {
            self.elect();
        }
        if self.draw(self.faults.trouble) && !self.has_trouble {
            self.has_trouble = true;
            self.tell_all(Event::StoreTrouble(true));
            let length_ms = self.rng.random_range(TROUBLE_MS);
            self.post(length_ms, Message::TroubleOver);
        }
        if self.faults.pause > 0 && self.draw(self.faults.pause) {
            self.pause_leader();
        }
        if self.faults.resize > 0 && self.draw(self.faults.resize) {
            self.shrink_at_random();
        }
        let index = self.rng.random_range(0..self.workers.len());
        if self.draw(self.faults.drain) && self.workers[index].is_alive {
            self.workers[index].is_draining = true;
            self.list_workers();
            let length_ms = self.rng.random_range(DRAIN_MS);
            self.post(length_ms, Message::Die { worker: index });
        }
    }

    /// Lets the leader stand still for a while; its clock runs on.
    fn pause_leader(&mut self) {
        let length_ms = self.rng.random_range(PAUSE_MS);
        let Some(leader) = self.leaders.last_mut().filter(|l| !l.is_paused) else {
            return;
        };
        leader.is_paused = true;
        let term = leader.fence;
        self.post(length_ms, Message::Wake { term });
        if length_ms >= LEADER_LEASE_MS {
            self.elect();
        }
    }

    /// Lets a leader take in at once what has come while it stood still.
    fn wake(&mut self, term: u64) {
        let Some(leader) = self.leaders.iter_mut().find(|l| l.fence == term) else {
            return;
        };
        leader.is_paused = false;
        for event in core::mem::take(&mut leader.backlog) {
            self.tell(term, event);
        }
    }

    fn shrink_at_random(&mut self) {
        let worker = self.rng.random_range(0..self.workers.len());
        let length_ms = self.rng.random_range(RESIZED_MS);
        let per_mille = self.rng.random_range(0..1000);
        self.resize(worker, per_mille);
        let per_mille = 1000;
        self.post(length_ms, Message::Resize { worker, per_mille });
    }

    fn end_trouble(&mut self) {
        self.has_trouble = false;
        if self.faults.takeover > 0 && self.draw(TROUBLE_ENDS_TERM) {
            self.elect();
            if self.faults.cut > 0 {
                let worker = self.rng.random_range(0..self.workers.len());
                let length_ms = self.rng.random_range(EARLY_CUT_MS);
                let after_ms = self.rng.random_range(EARLY_CUT_AFTER_MS);
                self.post(after_ms, Message::Cut { worker, length_ms });
            }
        }
        self.tell_all(Event::StoreTrouble(false));
    }

    /// Cuts a worker off for a while.
    fn cut(&mut self, index: usize, length_ms: u64) {
        self.workers[index].is_cut = true;
        self.post(length_ms, Message::Heal { worker: index });
    }

    /// Ends a worker's life and begins the next of its machine.
    fn replace(&mut self, index: usize) {
        if let Some(listed_ms) = self.take_down(index) {
            self.bring_up(index);
            self.post(listed_ms, Message::ListWorkers);
        }
    }

    /// Ends a worker's life by a task that started there; it is back after a while.
    fn crash(&mut self, index: usize, task: TaskKey) {
        let runs = self.workers[index].runs.keys();
        let others = runs.filter(|other| other.step.job != task.step.job);
        self.runs_lost_beside_count += others.count();
        if let Some(listed_ms) = self.take_down(index) {
            self.rules.note_crash(task);
            self.post(listed_ms, Message::ListWorkers);
            let away_ms = self.rng.random_range(AWAY_MS);
            self.post(away_ms, Message::BringUp { worker: index });
        }
    }

    /// Ends a worker's life; returns how long it is still listed.
    fn take_down(&mut self, index: usize) -> Option<u64> {
        if !core::mem::replace(&mut self.workers[index].is_alive, false) {
            return None;
        }
        self.rules.note_loss(&self.workers[index]);
        let listed_ms = self.rng.random_range(LISTED_DEAD_MS);
        self.workers[index].listed_until_ms = self.now_ms + listed_ms;
        Some(listed_ms)
    }

    /// Changes a worker's room; its entry says so a little later.
    fn resize(&mut self, index: usize, per_mille: u32) {
        let now_ms = self.now_ms;
        self.workers[index].resize(now_ms, per_mille);
        let after_ms = self.rng.random_range(ENTRY_DELAY_MS);
        self.post(after_ms, Message::ListWorkers);
    }

    /// Begins the next life of a dead worker's machine, whose id may sort before the
    /// dead one's or behind it.
    fn bring_up(&mut self, index: usize) {
        let (id, address) = (&self.workers[index].id, self.workers[index].address.clone());
        let rack = self.workers[index].rack.clone();
        // Signs whose codes are multiples of 12 keep a worker good for whom it was good.
        let fresh = match self.rng.random() {
            true => format!("${id}"),
            false => format!("{id}<"),
        };
        let mut next = FakeWorker::new(&fresh, 990);
        next.address = address;
        next.rack = rack;
        self.workers.push(next);
        self.list_workers();
    }

    /// Notes which jobs have their outcome by now.
    pub fn note_outcomes(&mut self) {
        let open: Vec<JobId> = self.order.clone();
        let open = open.into_iter().filter(|id| !self.done_ms.contains_key(id));
        for id in open.collect::<Vec<JobId>>() {
            if !matches!(self.phase(id), None | Some(Phase::Active)) {
                self.done_ms.insert(id, self.now_ms);
            }
        }
    }

    /// Asserts that nothing of a job that has its outcome runs any more.
    pub fn assert_no_strays(&self) {
        for worker in self.workers.iter().filter(|worker| worker.is_alive) {
            for (task, run) in &worker.runs {
                let phase = self.phase(task.step.job);
                assert!(
                    phase == Some(Phase::Active),
                    "run {} of {task} goes on at {}, and its job is {phase:?}",
                    run.run,
                    worker.id
                );
            }
        }
    }

    /// Runs until every job has its outcome, at most for the given time.
    pub fn run_until_done(&mut self, limit_ms: u64) {
        let until_ms = self.now_ms + limit_ms;
        while self.now_ms < until_ms {
            self.run_for(200);
            let ids: Vec<JobId> = self.order.clone();
            let is_open = |id: &JobId| matches!(self.phase(*id), None | Some(Phase::Active));
            if !ids.iter().any(is_open) {
                return;
            }
        }
        let open: Vec<JobId> = self.order.clone();
        let open: Vec<String> = open
            .iter()
            .filter(|id| matches!(self.phase(**id), None | Some(Phase::Active)))
            .map(ToString::to_string)
            .collect();
        panic!("no outcome in time for {open:?}");
    }

    /// Returns whether the adviser finds a worker good for a job, always alike.
    fn is_good(&self, worker: &str, job: JobId) -> bool {
        let sum: u64 = worker.bytes().map(u64::from).sum::<u64>() + job.number();
        match self.good_one_in {
            0 => !sum.is_multiple_of(3),
            one_in => sum.is_multiple_of(one_in),
        }
    }
}
