//! Leases that hold for longer than the leader granted, and lists of runs that are incomplete
//! or out of order: a task must not be started again while its run may be alive.

use crate::support::harness::{end, workers, Harness, FENCE, LEASE_LIMIT};
use crate::support::worker::{FakeRun, FakeWorker};
use crate::support::{first_task, job, placed_state, step};
use ospreywing_scheduler::{
    Action, EndKind, Event, HoldReply, JobId, Phase, Recovered, StartOrder, StartReply, StepSpec,
    TaskKey, WorkerKey,
};
use ospreywing_types::{Duration, Instant, Resources};
use rstest::rstest;

/// The time between two ticks of these tests.
const TICK_PERIOD: Duration = Duration::from_ms(20);
/// When a renewal is considered unanswered.
const POLL_TIMEOUT: Duration = Duration::from_ms(1050);
/// The slowest clock of a worker that the platform allows, in thousandths.
const SLOWEST_CLOCK_PER_MILLE: u64 = 980;
/// What a leader waits in addition, for a slow clock and to place the task again.
const LEASE_SLACK: Duration = Duration::from_ms(400);
/// The maximum number of ends that a worker lists at once.
const ENDS_PER_LIST_COUNT: u64 = 500;
/// The lease that a leader grants while the store is healthy.
const SHORTEST_LEASE: Duration = Duration::from_ms(4000);
/// A longer lease than usual that workers of some cells accept.
const LONG_LEASE_LIMIT: Duration = Duration::from_ms(10_000);
/// How long a perpetual task may be down after its worker was lost.
const PERPETUAL_TASK_OUTAGE_LIMIT: Duration = Duration::from_ms(9_000);
/// A run longer than any lease.
const LONG_RUN_MS: u64 = 60_000;

/// A leader, and one worker that carries out its orders while it is reachable.
struct Cell {
    harness: Harness,
    worker: FakeWorker,
    key: WorkerKey,
}

impl Cell {
    /// An earlier leader renews the worker's lease for as long as it may. A leader that knows
    /// of no run there begins its term, and reaches the worker `reached_after` later.
    fn after_grant_of_earlier_leader(reached_after: Duration) -> Self {
        let mut worker = FakeWorker::new("w0", SLOWEST_CLOCK_PER_MILLE);
        let mut harness = Harness::after_evicted_leader(Recovered::default());
        harness.list_workers(&[
            FakeWorker::new("w0", SLOWEST_CLOCK_PER_MILLE),
            FakeWorker::new("w1", 1000),
        ]);
        let key = harness.scheduler.worker_key("w0").expect("a listed worker");
        harness.now = harness.now + reached_after;
        let now_ms = harness.now.as_ms();
        let limit_ms = LEASE_LIMIT.as_ms();
        let until_ms = worker.clock_ms(now_ms) + limit_ms;
        worker.answer_poll(now_ms, FENCE - 1, Some(until_ms), 0, limit_ms);
        let mut cell = Self {
            harness,
            worker,
            key,
        };
        cell.renew(None);
        cell
    }

    /// Delivers a renewal to the worker and its answer to the leader.
    fn renew(&mut self, until_ms: Option<u64>) {
        let sent_at = self.harness.now;
        self.harness.now = sent_at + Duration::from_ms(2);
        let now_ms = self.harness.now.as_ms();
        let limit_ms = LEASE_LIMIT.as_ms();
        let reply = self
            .worker
            .answer_poll(now_ms, FENCE, until_ms, 0, limit_ms);
        self.harness.handle(Event::HoldAnswered {
            worker: self.key,
            sent_at,
            reply,
        });
    }

    /// Has the worker begin the only run of a task, which takes longer than any lease.
    fn begin_long_run(&mut self) -> TaskKey {
        self.harness.submit(1, vec![step(1)]);
        self.harness.commit_all();
        let order = self.drain_start();
        let now_ms = self.harness.now.as_ms();
        let run = FakeRun {
            run: order.run,
            ends_at_ms: now_ms + LONG_RUN_MS,
            kind: EndKind::Done,
            demand: step(1).demand,
            saves_checkpoints: false,
        };
        self.worker
            .begin_run(now_ms, &order, run, LEASE_LIMIT.as_ms());
        self.harness.handle(Event::StartAnswered {
            worker: self.key,
            task: order.task,
            run: order.run,
            reply: StartReply::Started,
        });
        order.task
    }

    fn drain_start(&mut self) -> StartOrder {
        let actions = core::mem::take(&mut self.harness.actions);
        let mut starts = actions.into_iter().filter_map(|action| match action {
            Action::Start { to, order } if to.worker == self.key => Some(order),
            _ => None,
        });
        starts
            .next()
            .expect("a start at the only worker that has answered")
    }

    /// Leaves every poll of the worker unanswered; returns when the task was started elsewhere.
    fn partition_until_restarted(&mut self, limit: Duration) -> Option<Instant> {
        let partitioned_at = self.harness.now;
        let mut other = Some(self.harness.scheduler.worker_key("w1").expect("a worker"));
        let mut unanswered_at = partitioned_at + POLL_TIMEOUT;
        while self.harness.now.since(partitioned_at) < limit {
            self.harness.now = self.harness.now + TICK_PERIOD;
            if let Some(other) = other.take() {
                self.harness.answer_poll(other, Vec::new());
            }
            if self.harness.now >= unanswered_at {
                unanswered_at = self.harness.now + POLL_TIMEOUT;
                self.harness.handle(Event::HoldAnswered {
                    worker: self.key,
                    sent_at: self.harness.now,
                    reply: HoldReply::Unanswered,
                });
            }
            self.harness.handle(Event::Tick);
            self.harness.answer_commits();
            if !self.harness.starts().is_empty() {
                return Some(self.harness.now);
            }
        }
        None
    }

    fn is_running(&mut self, task: TaskKey) -> bool {
        self.worker.advance(self.harness.now.as_ms());
        self.worker.runs.contains_key(&task)
    }
}

/// A lease never shortens and holds for all runs of a worker. So a run may be alive as
/// long as an earlier leader has leased its worker, even if only the new leader started it. The
/// earlier leader may have granted a long lease just before the new term or, if it was evicted,
/// until it learned of that.
#[rstest]
#[case::before_the_term(Duration::ZERO)]
#[case::while_evicted(Duration::from_ms(1300))]
fn release_expired_runs_lease_of_earlier_leader(#[case] reached_after: Duration) {
    let mut cell = Cell::after_grant_of_earlier_leader(reached_after);
    let task = cell.begin_long_run();
    let partitioned_at = cell.harness.now;
    let again = cell.partition_until_restarted(Duration::from_s(12));
    let again = again.expect("a run whose lease has expired is released");
    assert!(
        !cell.is_running(task),
        "{task} was started again {} ms after the partition, and its run was alive",
        again.since(partitioned_at).as_ms()
    );
}

/// A worker that has answered under the new fence no longer accepts anything from an earlier
/// leader. From then on its lease is bounded by the longest lease, however long an evicted leader
/// may act.
#[test]
fn release_expired_runs_worker_that_answered_early() {
    let mut cell = Cell::after_grant_of_earlier_leader(Duration::ZERO);
    let answered = cell.harness.now;
    let task = cell.begin_long_run();
    let again = cell.partition_until_restarted(Duration::from_s(12));
    let again = again.expect("a run whose lease has expired is released");
    let waited = again.since(answered);
    assert!(
        waited <= LEASE_LIMIT + LEASE_SLACK,
        "{task} was started again only after {} ms",
        waited.as_ms()
    );
}

/// Returns two incarnations of one machine: the live one's id sorts before the lost one's, or
/// after it.
fn incarnations(is_live_first: bool) -> (FakeWorker, FakeWorker) {
    let (live_id, lost_id) = if is_live_first {
        ("w0", "w1")
    } else {
        ("w1", "w0")
    };
    let mut live = FakeWorker::new(live_id, 1000);
    let mut lost = FakeWorker::new(lost_id, 1000);
    live.address = "at m0".into();
    lost.address = "at m0".into();
    (live, lost)
}

/// A worker that crashed stays listed for a while, alongside the machine's next incarnation. If a
/// new leader's first list holds both, their order says nothing about which is the later one.
#[rstest]
fn add_worker_two_incarnations_in_first_list(#[values(true, false)] is_live_first: bool) {
    let (live, lost) = incarnations(is_live_first);
    let (id, record) = job(1, vec![step(1)]);
    let recovered = Recovered {
        jobs: vec![(id, record)],
        states: vec![(id, placed_state(&live.id, 1))],
        ..Recovered::default()
    };
    let mut harness = Harness::after_evicted_leader(recovered);
    let mut listed = [live, lost, FakeWorker::new("w2", 1000)];
    listed.sort_by(|one, other| one.id.cmp(&other.id));
    harness.list_workers(&listed);
    let key = |id: &str| harness.scheduler.worker_key(id).expect("a listed worker");
    let (live, lost, other) = match is_live_first {
        true => (key("w0"), key("w1"), key("w2")),
        false => (key("w1"), key("w0"), key("w2")),
    };
    harness.answer_poll(other, Vec::new());
    harness.handle(Event::HoldAnswered {
        worker: lost,
        sent_at: harness.now,
        reply: HoldReply::OtherIncarnation,
    });
    let task = first_task(id);
    harness.commit_all();
    harness.answer_poll_running(live, task);
    harness.commit_all();
    assert_eq!(
        harness.starts(),
        vec![],
        "{task} runs on the live incarnation"
    );
    assert_eq!(
        harness.stops(),
        vec![],
        "{task} runs on the live incarnation"
    );
    harness.answer_poll(live, vec![end(1, task, 1, EndKind::Done)]);
    harness.commit_all();
    let view = harness.scheduler.job(id).expect("a known job");
    assert_eq!(view.phase, Phase::Complete);
}

/// Returns a leader that has started a step's tasks on its only worker.
fn after_starts(tasks_count: u32) -> (Harness, WorkerKey, Vec<TaskKey>) {
    let mut harness = Harness::new(Recovered::default(), &[FakeWorker::new("w0", 1000)]);
    harness.submit(1, vec![step(tasks_count)]);
    harness.commit_all();
    let starts = harness.starts();
    for start in &starts {
        harness.answer_started(*start);
    }
    let worker = starts[0].0;
    let tasks = starts.into_iter().map(|(_, task, _)| task).collect();
    (harness, worker, tasks)
}

/// Ends are acknowledged by their highest number, so no lower end may be skipped, in whichever
/// order they are listed.
#[test]
fn handle_lists_ends_in_any_order() {
    let (mut harness, worker, tasks) = after_starts(2);
    let later = end(2, tasks[1], 1, EndKind::Done);
    let earlier = end(1, tasks[0], 1, EndKind::Done);
    harness.answer_poll(worker, vec![later, earlier]);
    harness.commit_all();
    let view = harness
        .scheduler
        .job(tasks[0].step.job)
        .expect("a known job");
    assert_eq!(view.phase, Phase::Complete);
}

/// A worker lists a limited number of ends at once. A run whose end comes with the next list
/// was begun.
#[test]
fn release_unlisted_more_ends_than_one_list() {
    let (id, record) = job(1, vec![step(1)]);
    let recovered = Recovered {
        jobs: vec![(id, record)],
        states: vec![(id, placed_state("w0", 1))],
        ..Recovered::default()
    };
    let mut harness = Harness::after_evicted_leader(recovered);
    harness.list_workers(&[FakeWorker::new("w0", 1000)]);
    let worker = harness.scheduler.worker_key("w0").expect("a listed worker");
    let unrelated = first_task(JobId::new(99));
    let others = (1..=ENDS_PER_LIST_COUNT).map(|number| {
        let run = number as u32;
        end(number, unrelated, run, EndKind::Stopped)
    });
    harness.answer_poll(worker, others.collect());
    harness.commit_all();
    assert_eq!(
        harness.starts(),
        vec![],
        "its end may come with the next list"
    );
    let last = end(ENDS_PER_LIST_COUNT + 1, first_task(id), 1, EndKind::Done);
    harness.answer_poll(worker, vec![last]);
    harness.commit_all();
    let view = harness.scheduler.job(id).expect("a known job");
    assert_eq!(view.phase, Phase::Complete);
}

/// The lease of a worker's other runs is renewed while one of its ends waits for a slow store.
#[test]
fn send_due_polls_end_waits_for_slow_store() {
    let (mut harness, worker, tasks) = after_starts(2);
    harness.answer_poll(worker, vec![end(1, tasks[0], 1, EndKind::Done)]);
    harness.actions.clear();
    let partitioned_at = harness.now;
    let is_renewed = |action: &Action| matches!(action, Action::Hold { to, until_ms: Some(_), last_seen: 0, .. } if to.worker == worker);
    while harness.now.since(partitioned_at) < SHORTEST_LEASE {
        harness.now = harness.now + TICK_PERIOD;
        harness.handle(Event::Tick);
    }
    assert!(
        harness.actions.iter().any(is_renewed),
        "the lease for {} is not renewed while the end is not in the store",
        tasks[1]
    );
}

/// The end of one member counts for the whole gang and completes the job. Until that is stored,
/// a new leader needs the ends of the other members too.
#[test]
fn handle_end_of_gang_not_stored_as_done() {
    let pair = [FakeWorker::new("w0", 1000), FakeWorker::new("w1", 1000)];
    let mut harness = Harness::new(Recovered::default(), &pair);
    let gang = StepSpec {
        is_gang: true,
        demand: Resources::new(3000, 3000, 0),
        ..step(2)
    };
    let other = StepSpec {
        demand: Resources::new(1000, 1000, 0),
        ..step(2)
    };
    harness.submit(1, vec![gang]);
    harness.commit_all();
    let members = harness.starts();
    // The workers are still polled, since they have other runs too.
    harness.submit(2, vec![other]);
    harness.commit_all();
    let others = harness.starts();
    for start in members.iter().chain(&others) {
        harness.answer_started(*start);
    }
    harness.actions.clear();
    for (worker, task, run) in &members {
        let other_run = others.iter().find(|(at, ..)| at == worker);
        let other_run = other_run.expect("a run beside the gang's").1;
        let ended = vec![end(1, *task, *run, EndKind::Done)];
        harness.answer_poll_running_and_ended(*worker, other_run, ended);
    }
    // Less than the time after which leases are renewed during a commit.
    for _ in 0..10 {
        harness.now = harness.now + TICK_PERIOD;
        harness.handle(Event::Tick);
    }
    let may_forget = |action: &Action| matches!(action, Action::Hold { last_seen: 1, .. });
    let forgotten_count = harness.actions.iter().filter(|a| may_forget(a)).count();
    assert_eq!(forgotten_count, 0, "the commit is open");
    harness.commit_all();
    let forgotten_count = harness.actions.iter().filter(|a| may_forget(a)).count();
    assert_eq!(forgotten_count, 2, "the job is recorded as complete");
}

/// Returns a leader with a run on the first of two workers, and both workers with another
/// incarnation of the first one's machine between them.
fn with_run_on_live_worker() -> (Harness, [FakeWorker; 3], WorkerKey) {
    let (live, other_incarnation) = incarnations(true);
    let idle = FakeWorker::new("w2", 1000);
    let listed = [live, idle];
    let mut harness = Harness::new(Recovered::default(), &listed);
    harness.submit(1, vec![step(1)]);
    harness.commit_all();
    let start = harness.starts()[0];
    harness.answer_started(start);
    assert_eq!(Some(start.0), harness.scheduler.worker_key("w0"));
    // Answers the open poll.
    harness.answer_poll_running(start.0, start.1);
    let [live, idle] = listed;
    (harness, [live, other_incarnation, idle], start.0)
}

/// Workers crashed during a partition and started again, and a write of the earlier incarnation
/// reached the store after the next incarnation had been listed. A leader whose term was
/// younger than the earlier incarnation's first entry once mistook that incarnation for the
/// newer one, released the runs of the live one and started them again elsewhere. An entry
/// alone doesn't say which incarnation is later: the answer at its address does.
#[test]
fn list_workers_entry_of_earlier_incarnation() {
    let (mut harness, listed, worker) = with_run_on_live_worker();
    harness.list_workers(&listed);
    harness.commit_all();
    assert_eq!(harness.starts(), vec![], "its run keeps running");
    let earlier = harness.scheduler.worker_key("w1").expect("a listed worker");
    harness.handle(Event::HoldAnswered {
        worker: earlier,
        sent_at: harness.now,
        reply: HoldReply::OtherIncarnation,
    });
    harness.answer_poll_running(worker, first_task(JobId::new(1)));
    harness.commit_all();
    assert_eq!(harness.starts(), vec![]);
}

/// If the listed incarnation is the later one, the worker is polled at once, and the answer
/// at its address confirms it.
#[test]
fn list_workers_entry_of_later_incarnation() {
    let (mut harness, listed, worker) = with_run_on_live_worker();
    harness.actions.clear();
    harness.list_workers(&listed);
    let is_poll =
        |action: &Action| matches!(action, Action::Hold { to, .. } if to.worker == worker);
    assert!(harness.actions.iter().any(is_poll), "polled at once");
    harness.handle(Event::HoldAnswered {
        worker,
        sent_at: harness.now,
        reply: HoldReply::OtherIncarnation,
    });
    let later = harness.scheduler.worker_key("w1").expect("a listed worker");
    harness.answer_poll(later, Vec::new());
    harness.commit_all();
    assert_eq!(harness.starts().len(), 1, "its task starts again");
}

/// The long leases that are granted while the store is degraded do not delay the restart of a
/// perpetual task, even where workers accept longer ones.
#[test]
fn send_due_polls_lost_worker_after_degraded_store() {
    let workers = workers(2);
    let mut harness = Harness::with_lease_limit(LONG_LEASE_LIMIT, &workers);
    harness.submit(1, vec![step(1)]);
    harness.commit_all();
    let start = harness.starts()[0];
    let (lost, task, _) = start;
    harness.answer_started(start);
    harness.handle(Event::StoreDegraded(true));
    harness.answer_poll_running(lost, task);
    harness.now = harness.now + POLL_TIMEOUT;
    harness.handle(Event::Tick);
    harness.answer_poll_running(lost, task);
    harness.handle(Event::StoreDegraded(false));
    // The worker has received every renewal, and is lost after the last one.
    let lost_at = harness.now;
    while harness.now.since(lost_at) < PERPETUAL_TASK_OUTAGE_LIMIT {
        harness.leave_poll_unanswered(lost);
        harness.commit_all();
        if !harness.starts().is_empty() {
            return;
        }
    }
    panic!("the task does not run again");
}
