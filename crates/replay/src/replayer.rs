//! Replays a trace through a shard owner.

use crate::measurements::Measurements;
use crate::report::ReplayReport;
use crate::trace::{TaskArrival, Trace, TraceStep};
use ospreywing_shard::{Action, Event, Owner, OwnerConfig, Recovery, Reply, Token};
use ospreywing_table::Table;
use ospreywing_types::peer::SubmitReply;
use ospreywing_types::worker::{Ended, Order, Report, Start};
use ospreywing_types::{
    AttemptId, BoxFacts, BoxKind, BoxState, DaemonIdentity, Instant, Key, Name, Resources, TaskEnd,
    TaskId, TaskSpec,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::sync::Arc;

/// Latency of a commit to the simulated store.
const COMMIT_MS: u64 = 5;
/// Minimum interval between commits: one owner's equal share of 60 commits per second.
const COMMIT_EVERY_MS: u64 = 50;
/// Interval of the owner's ticks.
const TICK_MS: u64 = 250;
/// Longest time that a replay continues after the last event of the trace.
const MAX_TAIL_MS: u64 = 24 * 3600 * 1000;
/// Keeps the results of all tasks until the end of the replay.
const RESULT_RETENTION: ospreywing_types::Duration =
    ospreywing_types::Duration::from_s(u64::MAX / 2000);

/// An event scheduled for a later time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    Committed,
    Ended {
        worker: Name,
        attempt: AttemptId,
        incarnation: u64,
    },
    Commit,
    Tick,
}

/// The simulated state of a worker.
struct FakeWorker {
    rack: Name,
    resources: Resources,
    incarnation: u64,
    session: u64,
    is_up: bool,
    running: BTreeMap<AttemptId, Resources>,
}

struct Replayer {
    owner: Owner,
    measurements: Measurements,
    report: ReplayReport,
    now_ms: u64,
    scheduled: BinaryHeap<Reverse<(u64, ScheduledEvent)>>,
    workers: BTreeMap<Name, FakeWorker>,
    tasks: BTreeMap<Key, SubmittedTask>,
    tokens: BTreeMap<u64, Key>,
    running: BTreeMap<TaskId, u32>,
    next_session: u64,
    is_commit_due: bool,
    committed_at_ms: u64,
    ended_count: u64,
    actions: Vec<Action>,
    /// Events that the workers send in response to the actions being executed.
    inbox: VecDeque<Event>,
}

struct SubmittedTask {
    arrival: TaskArrival,
    at_ms: u64,
    has_started: bool,
}

/// Replays `trace` under `table` and returns the measurements.
pub fn replay_trace(trace: &Trace, table: &Table) -> ReplayReport {
    let mut replayer = Replayer::new(table);
    for event in &trace.events {
        replayer.run_until(event.at_ms);
        replayer.handle_step(&event.step);
    }
    replayer.run_to_end();
    replayer.finish()
}

impl Replayer {
    fn new(table: &Table) -> Self {
        let identity = DaemonIdentity {
            name: Name::new("replay").expect("a name"),
            incarnation: 1,
            rpc_addr: String::new(),
        };
        let mut config = OwnerConfig::new(0, 1, 1, identity);
        config.result_retention = RESULT_RETENTION;
        config.waiting_limit_count = usize::MAX;
        let owner = Recovery::new(config).finish(Instant::from_ms(0));
        let mut replayer = Self {
            owner,
            measurements: Measurements::new(),
            report: ReplayReport::default(),
            now_ms: 0,
            scheduled: BinaryHeap::new(),
            workers: BTreeMap::new(),
            tasks: BTreeMap::new(),
            tokens: BTreeMap::new(),
            running: BTreeMap::new(),
            next_session: 0,
            is_commit_due: false,
            committed_at_ms: 0,
            ended_count: 0,
            actions: Vec::new(),
            inbox: VecDeque::new(),
        };
        replayer.send_event(Event::Table(Arc::new(table.clone())));
        replayer.schedule(TICK_MS, ScheduledEvent::Tick);
        replayer
    }

    fn schedule(&mut self, at_ms: u64, scheduled: ScheduledEvent) {
        self.scheduled.push(Reverse((at_ms, scheduled)));
    }

    fn run_until(&mut self, until_ms: u64) {
        while self
            .scheduled
            .peek()
            .is_some_and(|scheduled| scheduled.0 .0 <= until_ms)
        {
            let Some(Reverse((at_ms, scheduled))) = self.scheduled.pop() else {
                break;
            };
            self.advance(at_ms);
            self.handle_scheduled(scheduled);
        }
        self.advance(until_ms);
    }

    fn run_to_end(&mut self) {
        let limit_ms = self.now_ms + MAX_TAIL_MS;
        while self.ended_count + self.report.refused < self.report.tasks {
            let next = self
                .scheduled
                .peek()
                .map_or(limit_ms, |scheduled| scheduled.0 .0);
            if next >= limit_ms {
                return;
            }
            self.run_until(next);
        }
    }

    fn advance(&mut self, at_ms: u64) {
        self.measurements.advance(at_ms);
        self.now_ms = self.now_ms.max(at_ms);
    }

    fn handle_scheduled(&mut self, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::Tick => {
                self.send_event(Event::OwnershipConfirmed {
                    asked_at: Instant::from_ms(self.now_ms),
                });
                self.send_event(Event::Tick);
                self.schedule(self.now_ms + TICK_MS, ScheduledEvent::Tick);
            }
            ScheduledEvent::Commit => {
                self.is_commit_due = false;
                self.commit();
            }
            ScheduledEvent::Committed => self.send_event(Event::CommitDone),
            ScheduledEvent::Ended {
                worker,
                attempt,
                incarnation,
            } => self.end_attempt(&worker, attempt, incarnation),
        }
    }

    fn handle_step(&mut self, step: &TraceStep) {
        match step {
            TraceStep::Worker {
                name,
                rack,
                resources,
            } => {
                let worker = FakeWorker {
                    rack: rack.clone(),
                    resources: *resources,
                    incarnation: 0,
                    session: 0,
                    is_up: false,
                    running: BTreeMap::new(),
                };
                self.workers.insert(name.clone(), worker);
                self.send_box_list();
                self.connect_worker(name);
            }
            TraceStep::Task(arrival) => self.submit(arrival),
            TraceStep::Lost(name) => self.lose_worker(name),
            TraceStep::Back(name) => self.connect_worker(name),
        }
    }

    fn send_box_list(&mut self) {
        let facts = |(name, worker): (&Name, &FakeWorker)| BoxFacts {
            name: name.clone(),
            kind: BoxKind::Worker,
            state: BoxState::Live,
            addr: String::new(),
            data_centre: worker.rack.clone(),
            rack: worker.rack.clone(),
            resources: worker.resources,
            serves: Vec::new(),
        };
        let boxes = self.workers.iter().map(facts).collect();
        self.send_event(Event::Boxes(boxes));
    }

    fn connect_worker(&mut self, name: &Name) {
        self.next_session += 1;
        let session = self.next_session;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.is_up {
            return;
        }
        worker.is_up = true;
        worker.session = session;
        worker.incarnation = session;
        let resources = worker.resources;
        self.measurements.add_worker(&resources);
        let report = Report {
            incarnation: session,
            running: Vec::new(),
            ended: Vec::new(),
        };
        let worker = name.clone();
        self.send_event(Event::SessionOpened {
            worker,
            session,
            report,
        });
    }

    fn lose_worker(&mut self, name: &Name) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if !worker.is_up {
            return;
        }
        worker.is_up = false;
        let session = worker.session;
        let resources = worker.resources;
        let running = core::mem::take(&mut worker.running);
        self.measurements.remove_worker(&resources);
        for (attempt, need) in running {
            self.measurements.remove_used(&need);
            self.decrement_running(attempt);
        }
        let worker = name.clone();
        self.send_event(Event::SessionClosed { worker, session });
    }

    fn decrement_running(&mut self, attempt: AttemptId) {
        if let Some(count) = self.running.get_mut(&attempt.task) {
            *count -= 1;
        }
    }

    fn submit(&mut self, arrival: &TaskArrival) {
        self.report.tasks += 1;
        let token = Token(self.report.tasks);
        self.measurements.add_demand(&arrival.resources);
        let submitted = SubmittedTask {
            arrival: arrival.clone(),
            at_ms: self.now_ms,
            has_started: false,
        };
        self.tasks.insert(arrival.key.clone(), submitted);
        self.tokens.insert(token.0, arrival.key.clone());
        self.send_event(Event::Submit {
            token,
            key: arrival.key.clone(),
            row: arrival.row.clone(),
            spec: TaskSpec {
                resources: arrival.resources,
                command: arrival.key.to_string(),
            },
        });
    }

    fn commit(&mut self) {
        if !self.owner.needs_commit() {
            return;
        }
        let before = self.owner.counts().started_count;
        let began = std::time::Instant::now();
        let commit = self.owner.next_commit(Instant::from_ms(self.now_ms));
        let elapsed = began.elapsed();
        let starts_count = self.owner.counts().started_count - before;
        self.measurements.record_decisions(elapsed, starts_count);
        if let Some(commit) = commit {
            self.measurements.record_commit(commit.value.len());
            self.committed_at_ms = self.now_ms;
            self.schedule(self.now_ms + COMMIT_MS, ScheduledEvent::Committed);
        }
    }

    fn send_event(&mut self, event: Event) {
        self.inbox.push_back(event);
        let now = Instant::from_ms(self.now_ms);
        while let Some(event) = self.inbox.pop_front() {
            let mut actions = core::mem::take(&mut self.actions);
            self.owner.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(action);
            }
            self.actions = actions;
        }
        if self.owner.needs_commit() && !self.is_commit_due {
            self.is_commit_due = true;
            let earliest_ms = self.committed_at_ms + COMMIT_EVERY_MS;
            self.schedule(self.now_ms.max(earliest_ms), ScheduledEvent::Commit);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Reply {
                reply: Reply::Submit(SubmitReply::Refused { .. }),
                token,
            } => self.record_refusal(token),
            Action::Order { worker, order } => match order {
                Order::Start { incarnation, start } => {
                    self.start_attempt(&worker, incarnation, &start)
                }
                Order::Report => self.report_running(&worker),
                Order::Renew(_) | Order::Stop(_) => {}
            },
            _ => {}
        }
    }

    fn record_refusal(&mut self, token: Token) {
        self.report.refused += 1;
        let key = self.tokens.get(&token.0);
        if let Some(task) = key.and_then(|key| self.tasks.get(key)) {
            self.measurements.remove_demand(&task.arrival.resources);
        }
    }

    fn start_attempt(&mut self, name: &Name, incarnation: u64, start: &Start) {
        let (attempt, need) = (start.attempt, start.resources);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if !worker.is_up || worker.incarnation != incarnation {
            return;
        }
        worker.running.insert(attempt, need);
        let used = worker.running.values();
        let used = used.fold(Resources::ZERO, |sum, need| sum + *need);
        self.report.overcommits += u64::from(!used.fits_in(&worker.resources));
        let count = self.running.entry(attempt.task).or_default();
        *count += 1;
        self.report.run_twice += u64::from(*count > 1);
        self.report.restarted += u64::from(attempt.number > 1);
        self.measurements.add_used(&need);
        let Some(task) = Key::new(&start.command)
            .ok()
            .and_then(|key| self.tasks.get_mut(&key))
        else {
            return;
        };
        if !task.has_started {
            task.has_started = true;
            let waited_ms = self.now_ms - task.at_ms;
            let row = task.arrival.row.clone();
            self.measurements.record_wait(&row, waited_ms);
        }
        let ends_at_ms = self.now_ms + task.arrival.duration_ms;
        let worker = name.clone();
        self.schedule(
            ends_at_ms,
            ScheduledEvent::Ended {
                worker,
                attempt,
                incarnation,
            },
        );
        self.inbox.push_back(Event::StartAcked { attempt });
    }

    fn report_running(&mut self, name: &Name) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        if !worker.is_up {
            return;
        }
        let report = Report {
            incarnation: worker.incarnation,
            running: worker.running.keys().copied().collect(),
            ended: Vec::new(),
        };
        self.inbox.push_back(Event::Reported {
            worker: name.clone(),
            session: worker.session,
            asked_at: Instant::from_ms(self.now_ms),
            report,
        });
    }

    fn end_attempt(&mut self, name: &Name, attempt: AttemptId, incarnation: u64) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.incarnation != incarnation {
            return;
        }
        let Some(need) = worker.running.remove(&attempt) else {
            return;
        };
        self.measurements.remove_used(&need);
        self.measurements.remove_demand(&need);
        self.decrement_running(attempt);
        self.ended_count += 1;
        let worker = name.clone();
        let ended = Ended {
            attempt,
            end: TaskEnd::Finished(String::new()),
        };
        self.send_event(Event::Ended { worker, ended });
    }

    fn finish(mut self) -> ReplayReport {
        self.report.lost = self.report.tasks - self.report.refused - self.ended_count;
        self.measurements.fill_report(&mut self.report);
        self.report
    }
}
