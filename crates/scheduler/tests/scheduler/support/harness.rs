//! A harness around one scheduler: the test answers the scheduler's calls, one event at a time.

use super::worker::FakeWorker;
use super::{configuration, job};
use ospreywing_scheduler::{
    Action, AdvicePolicy, AdviceReply, Change, ChangeKind, Configuration, EndKind, EndedRun, Event,
    Features, HoldReply, Incarnation, JobId, JobRecord, JobState, Recovered, RunningRun, Scheduler,
    SchedulerConfig, StartReply, StepSpec, StopReply, StoredJob, TaskKey, Ticket, WorkerFacts,
    WorkerKey,
};
use ospreywing_types::{Duration, Instant};

/// The longest lease that a worker accepts.
pub const LEASE_LIMIT: Duration = Duration::from_ms(6000);
/// The fence of the leader's term.
pub const FENCE: u64 = 7;
/// How long an evicted leader may still act, in tests that have one.
const LEADER_LEASE: Duration = Duration::from_ms(1500);

/// A scheduler, its clock, and the actions that it has emitted and no one has handled yet.
pub struct Harness {
    pub now: Instant,
    pub scheduler: Scheduler,
    pub actions: Vec<Action>,
}

impl Harness {
    pub fn new(recovered: Recovered, workers: &[FakeWorker]) -> Self {
        Self::with_advice(recovered, workers, None)
    }

    /// Begins a term with these features.
    pub fn with_features(features: Features, workers: &[FakeWorker]) -> Self {
        let config = SchedulerConfig::new(FENCE, LEASE_LIMIT).with_features(features);
        Self::begin(config, Recovered::default(), None).with_workers(workers)
    }

    pub fn with_advice(
        recovered: Recovered,
        workers: &[FakeWorker],
        advice: Option<AdvicePolicy>,
    ) -> Self {
        let config = SchedulerConfig::new(FENCE, LEASE_LIMIT);
        Self::begin(config, recovered, advice).with_workers(workers)
    }

    /// Begins a term in a cell whose workers accept leases of `limit` at most.
    pub fn with_lease_limit(limit: Duration, workers: &[FakeWorker]) -> Self {
        let config = SchedulerConfig::new(FENCE, limit);
        Self::begin(config, Recovered::default(), None).with_workers(workers)
    }

    /// Lists workers, each of which answers its first poll without any run.
    pub fn with_workers(mut self, workers: &[FakeWorker]) -> Self {
        self.list_workers(workers);
        for worker in workers {
            let key = self.scheduler.worker_key(&worker.id);
            self.answer_poll(key.expect("a listed worker"), Vec::new());
        }
        self
    }

    /// Begins a term after that of an evicted leader, which may still act for a while. No
    /// worker has been listed or polled yet.
    pub fn after_evicted_leader(recovered: Recovered) -> Self {
        let config = SchedulerConfig::new(FENCE, LEASE_LIMIT).with_leader_lease(LEADER_LEASE);
        Self::begin(config, recovered, None)
    }

    /// Begins a term under this configuration.
    pub fn with_configuration(
        recovered: Recovered,
        workers: &[FakeWorker],
        configuration: Configuration,
    ) -> Self {
        let config = SchedulerConfig::new(FENCE, LEASE_LIMIT);
        Self::begin_under(config, recovered, configuration).with_workers(workers)
    }

    fn begin(config: SchedulerConfig, recovered: Recovered, advice: Option<AdvicePolicy>) -> Self {
        Self::begin_under(config, recovered, configuration(advice))
    }

    fn begin_under(
        config: SchedulerConfig,
        recovered: Recovered,
        configuration: Configuration,
    ) -> Self {
        let now = Instant::from_ms(50_000);
        Self {
            now,
            scheduler: Scheduler::new(config, configuration, now, recovered),
            actions: Vec::new(),
        }
    }

    /// Lists these workers, in this order.
    pub fn list_workers(&mut self, workers: &[FakeWorker]) {
        let list = workers.iter().map(FakeWorker::facts).collect();
        self.handle(Event::WorkersListed(list));
    }

    /// Lists a single worker.
    pub fn list_worker(&mut self, worker: &FakeWorker) {
        self.handle(Event::WorkersListed(vec![worker.facts()]));
    }

    /// Lists a worker whose entry names the incarnation that started at this time.
    pub fn list_incarnation(&mut self, worker: &FakeWorker, life_start_ms: u64) {
        let incarnation = Some(Incarnation::from_ms(life_start_ms));
        let facts = WorkerFacts {
            incarnation,
            ..worker.facts()
        };
        self.handle(Event::WorkersListed(vec![facts]));
    }

    pub fn cancel(&mut self, number: u64) {
        let job = JobId::new(number);
        self.handle(Event::CancelAccepted { job });
    }

    /// Handles an event, runs the work that is due, and checks the scheduler's invariants.
    pub fn handle(&mut self, event: Event) {
        self.scheduler.handle(self.now, event, &mut self.actions);
        self.scheduler.run_due_work(self.now, &mut self.actions);
        self.scheduler
            .verify()
            .expect("the scheduler's invariants hold");
    }

    /// Answers a poll of a worker without running runs and with these ends.
    pub fn answer_poll(&mut self, worker: WorkerKey, ended: Vec<EndedRun>) {
        self.answer_poll_after(Duration::from_ms(60), worker, ended);
    }

    /// Answers a poll as [`Self::answer_poll`] does, `duration` after it was sent.
    pub fn answer_poll_after(
        &mut self,
        duration: Duration,
        worker: WorkerKey,
        ended: Vec<EndedRun>,
    ) {
        let sent_at = self.now;
        self.now = self.now + duration;
        self.handle(Event::HoldAnswered {
            worker,
            sent_at,
            reply: HoldReply::Listed {
                incarnation: None,
                clock_ms: self.now.as_ms(),
                running: Vec::new(),
                ended,
            },
        });
    }

    /// Answers a poll with a task's first run as running, and no ends.
    pub fn answer_poll_running(&mut self, worker: WorkerKey, task: TaskKey) {
        self.answer_poll_running_and_ended(worker, task, Vec::new());
    }

    /// Answers a poll with a task's first run as running, and with these ends.
    pub fn answer_poll_running_and_ended(
        &mut self,
        worker: WorkerKey,
        task: TaskKey,
        ended: Vec<EndedRun>,
    ) {
        let alive = RunningRun {
            task,
            run: 1,
            checkpoint: None,
            progress_percent: 0,
            usage_figure: 0,
        };
        let sent_at = self.now;
        self.now = self.now + Duration::from_ms(60);
        self.handle(Event::HoldAnswered {
            worker,
            sent_at,
            reply: HoldReply::Listed {
                incarnation: None,
                clock_ms: self.now.as_ms(),
                running: vec![alive],
                ended,
            },
        });
    }

    /// Answers one poll of each worker, with its runs at this progress.
    pub fn answer_polls_with_progress(
        &mut self,
        runs: &[(WorkerKey, TaskKey, u32)],
        progress_percent: u32,
    ) {
        let mut workers: Vec<WorkerKey> = runs.iter().map(|(worker, ..)| *worker).collect();
        workers.dedup();
        for worker in workers {
            let here = runs.iter().filter(|(at, ..)| *at == worker);
            let running = here.map(|(_, task, run)| RunningRun {
                task: *task,
                run: *run,
                checkpoint: None,
                progress_percent,
                usage_figure: 0,
            });
            let sent_at = self.now;
            self.now = self.now + Duration::from_ms(60);
            let reply = HoldReply::Listed {
                incarnation: None,
                clock_ms: self.now.as_ms(),
                running: running.collect(),
                ended: Vec::new(),
            };
            self.handle(Event::HoldAnswered {
                worker,
                sent_at,
                reply,
            });
        }
    }

    /// Lets a poll time out, and time pass until the next one is sent.
    pub fn leave_poll_unanswered(&mut self, worker: WorkerKey) {
        self.now = self.now + Duration::from_ms(700);
        let sent_at = self.now;
        self.handle(Event::HoldAnswered {
            worker,
            sent_at,
            reply: HoldReply::Unanswered,
        });
        // The next poll is sent after a while, and is not answered either.
        self.now = self.now + Duration::from_ms(300);
        self.handle(Event::Tick);
    }

    /// Ticks 20 times, 30 ms apart, and acknowledges all commits; returns the states written.
    pub fn commit_all(&mut self) -> Vec<JobState> {
        let mut states = Vec::new();
        for _ in 0..20 {
            self.now = self.now + Duration::from_ms(30);
            self.handle(Event::Tick);
            states.extend(self.answer_commits());
        }
        states
    }

    /// Acknowledges the open commits at once; returns the states written.
    pub fn answer_commits(&mut self) -> Vec<JobState> {
        let mut states = Vec::new();
        let actions = core::mem::take(&mut self.actions);
        let mut lanes = Vec::new();
        for action in actions {
            if let Action::Commit { lane, changes } = action {
                lanes.push(lane);
                states.extend(changes.into_iter().filter_map(state_of));
            } else {
                self.actions.push(action);
            }
        }
        for lane in lanes {
            self.handle(Event::Committed { lane });
        }
        states
    }

    /// Drains the starts that were sent.
    pub fn starts(&mut self) -> Vec<(WorkerKey, TaskKey, u32)> {
        let actions = core::mem::take(&mut self.actions);
        let mut starts = Vec::new();
        for action in actions {
            match action {
                Action::Start { to, order } => starts.push((to.worker, order.task, order.run)),
                other => self.actions.push(other),
            }
        }
        starts
    }

    /// Answers a start as carried out.
    pub fn answer_started(&mut self, (worker, task, run): (WorkerKey, TaskKey, u32)) {
        self.handle(Event::StartAnswered {
            worker,
            task,
            run,
            reply: StartReply::Started,
        });
    }

    /// Answers the open advice requests, with tickets for the suitable workers only; returns how
    /// many workers each request named.
    pub fn answer_advice_requests(&mut self, suitable: &[&str]) -> Vec<usize> {
        let actions = core::mem::take(&mut self.actions);
        let mut named_counts = Vec::new();
        for action in actions {
            let Action::Advise { step, workers, .. } = action else {
                self.actions.push(action);
                continue;
            };
            named_counts.push(workers.len());
            let found = workers.iter().filter(|to| suitable.contains(&&*to.id));
            let tickets = found.map(|to| Ticket {
                worker: to.id.clone(),
                text: "ticket".into(),
            });
            let reply = AdviceReply::Answered {
                tickets: tickets.collect(),
                validity: Duration::from_ms(1500),
            };
            let queried = workers.iter().map(|to| to.worker).collect();
            self.handle(Event::AdviceAnswered {
                step,
                queried,
                reply,
            });
        }
        named_counts
    }

    /// Drains the stops that were sent and answers them. A stop that was sent repeatedly is
    /// returned and answered once.
    pub fn stops(&mut self) -> Vec<(WorkerKey, TaskKey, u32)> {
        let actions = core::mem::take(&mut self.actions);
        let mut stops = Vec::new();
        for action in actions {
            match action {
                Action::Stop { to, task, run } => stops.push((to.worker, task, run)),
                other => self.actions.push(other),
            }
        }
        stops.sort();
        stops.dedup();
        for (worker, task, run) in stops.iter().copied() {
            let reply = StopReply::Stopping;
            self.handle(Event::StopAnswered {
                worker,
                task,
                run,
                reply,
            });
        }
        stops
    }

    pub fn submit(&mut self, number: u64, steps: Vec<StepSpec>) {
        self.submit_job(job(number, steps));
    }

    pub fn submit_job(&mut self, (job, record): (JobId, JobRecord)) {
        let record = Box::new(record);
        // Long enough for the scheduler's placing interval.
        self.now = self.now + Duration::from_ms(20);
        self.handle(Event::JobAccepted { job, record });
    }
}

/// Returns the state that a change writes, decoded as the next leader would.
fn state_of(change: Change) -> Option<JobState> {
    match change.kind {
        ChangeKind::Progress(bytes) => JobState::from_bytes(&bytes).ok(),
        ChangeKind::Outcome(bytes) => match StoredJob::from_bytes(&bytes) {
            Ok(StoredJob::Ended(outcome)) => Some(JobState {
                phase: outcome.phase,
                ..JobState::default()
            }),
            other => panic!("not an outcome: {other:?}"),
        },
        ChangeKind::Forget => None,
    }
}

pub fn workers(count: usize) -> Vec<FakeWorker> {
    (0..count)
        .map(|number| FakeWorker::new(&format!("w{number}"), 1000))
        .collect()
}

pub fn failed(number: u64, task: TaskKey, run: u32) -> EndedRun {
    end(number, task, run, EndKind::Failed)
}

pub fn end(number: u64, task: TaskKey, run: u32, kind: EndKind) -> EndedRun {
    EndedRun {
        number,
        task,
        run,
        kind,
        checkpoint: None,
    }
}
