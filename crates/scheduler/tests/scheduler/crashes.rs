//! Tasks that crash the workers on which they start.
//!
//! What users saw: two jobs were started on one worker after the other, some thirty
//! times each, until the day's end. Every worker crashed 10 ms after the start and was
//! back 3 s later, and all other work on it was lost each time.
//!
//! The order of events: the start's connection breaks; its repeats are refused; the
//! worker's next life answers at the address; all runs of the earlier life are given up
//! and start again elsewhere, the one that caused the crash among them.
//!
//! The cause: a run that was lost with its worker left no trace in its task's progress,
//! so nothing ever kept the task from starting again. The evidence: in the leader's log,
//! run after run of the task ends as `run lost, another life answers`, none as `failed`,
//! and the count of failed runs that bounds its attempts stays at zero.

use crate::support::bench::{workers, Bench};
use crate::support::worker::FakeWorker;
use crate::support::{advice, step};
use ospreywing_scheduler::{
    AdvicePolicy, Event, HoldReply, JobId, Phase, Recovered, RefusedStart, StartReply, TaskKey,
    WorkerKey,
};
use ospreywing_types::Duration;
use rstest::rstest;

/// How long a worker that crashed is away.
const AWAY: Duration = Duration::from_ms(3000);
/// The crashes after which the bound on restarts counts.
const CRASHES_COUNT: usize = 3;
/// The starts after these crashes that break it.
const STARTS_LIMIT_COUNT: usize = 3;
/// Far more starts than may happen.
const ROUNDS_COUNT: usize = 12;

/// A cell in which each worker that starts anything crashes.
struct CrashingCell {
    bench: Bench,
    workers: Vec<FakeWorker>,
    lives_count: usize,
}

impl CrashingCell {
    fn new(advice: Option<AdvicePolicy>) -> Self {
        let workers = workers(4);
        let mut bench = Bench::with_advice(Recovered::default(), &workers, advice);
        bench.tell(Event::NodesListed(vec!["n1".into()]));
        Self {
            bench,
            workers,
            lives_count: 0,
        }
    }

    /// Lets time pass until a start is sent.
    fn next_start(&mut self) -> Option<(WorkerKey, TaskKey, u32)> {
        for _ in 0..100 {
            self.bench.now = self.bench.now + Duration::from_ms(30);
            self.bench.tell(Event::Tick);
            self.bench.answer_commits();
            self.answer_advice();
            if let Some(start) = self.bench.starts().pop() {
                return Some(start);
            }
        }
        None
    }

    fn answer_advice(&mut self) {
        let ids: Vec<String> = self.workers.iter().map(|w| w.id.to_string()).collect();
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        self.bench.advise(&ids);
    }

    /// Has the worker crash under a start, and its next life come up.
    fn crash(&mut self, (worker, task, run): (WorkerKey, TaskKey, u32)) {
        let refused = StartReply::Refused(RefusedStart::NotSent);
        for reply in [StartReply::Unanswered, refused, refused] {
            self.bench.tell(Event::StartAnswered {
                worker,
                task,
                run,
                reply,
            });
            self.bench.starts();
        }
        self.bench.be_silent(worker);
        self.bench.now = self.bench.now + AWAY;
        let sent_at = self.bench.now;
        self.bench.tell(Event::HoldAnswered {
            worker,
            sent_at,
            reply: HoldReply::OtherLife,
        });
        self.bring_back(worker);
    }

    fn bring_back(&mut self, worker: WorkerKey) {
        let is_dead =
            |known: &FakeWorker| self.bench.scheduler.worker_key(&known.id) == Some(worker);
        let index = self.workers.iter().position(is_dead);
        let dead = &mut self.workers[index.expect("a worker of this cell")];
        self.lives_count += 1;
        let mut next = FakeWorker::new(&format!("life{}", self.lives_count), 1000);
        next.address = dead.address.clone();
        *dead = next;
        self.bench.list_workers(&self.workers);
        let id = format!("life{}", self.lives_count);
        let key = self.bench.scheduler.worker_key(&id);
        self.bench.list(key.expect("a listed worker"), Vec::new());
    }
}

/// The starts of a task that crashes its workers are bounded: three more after three
/// crashes are too many, whether or not its queue needs advice.
#[rstest]
#[case::without_advice(None)]
#[case::with_advice(Some(advice()))]
fn release_all_run_crashes_its_worker(#[case] policy: Option<AdvicePolicy>) {
    let mut cell = CrashingCell::new(policy);
    cell.bench.submit(1, vec![step(1)]);
    let mut starts_count = 0;
    for _ in 0..ROUNDS_COUNT {
        let Some(start) = cell.next_start() else {
            break;
        };
        starts_count += 1;
        cell.crash(start);
    }
    assert!(
        starts_count < CRASHES_COUNT + STARTS_LIMIT_COUNT,
        "a task that crashed each of its workers was started {starts_count} times"
    );
    let job = cell.bench.scheduler.job(JobId::new(1));
    assert_eq!(job.map(|job| job.phase), Some(Phase::Failed));
}
