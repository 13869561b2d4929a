//! Tasks that crash the workers on which they start.
//!
//! The failure: two jobs were started on one worker after the other, some thirty times each.
//! Every worker crashed 10 ms after the start and was back 3 s later, and all other work on it
//! was lost each time.
//!
//! The sequence of events: the start's connection breaks; its repeats are refused; the worker's
//! next incarnation answers at the address; all runs of the earlier incarnation are released
//! and started again elsewhere, the one that caused the crash among them.
//!
//! The cause: a run that was lost with its worker left no trace in its task's progress, so
//! nothing kept the task from starting again. The evidence: in the leader's log, run after run
//! of the task ends as `run lost, another life answers`, none as `failed`, and the number of
//! failed runs, which bounds a task's attempts, stays at zero.

use crate::support::harness::{failed, workers, Harness};
use crate::support::worker::FakeWorker;
use crate::support::{advice, first_task, job, placed_state, step};
use ospreywing_scheduler::{
    Action, AdvicePolicy, CrashRecord, Event, HoldReply, JobId, JobState, Phase, Recovered,
    RefusedStart, StartReply, StepSpec, Suspicion, TaskKey, WorkerKey,
};
use ospreywing_types::Duration;
use rstest::rstest;

/// How long a worker that crashed is down.
const DOWNTIME: Duration = Duration::from_ms(3000);
/// The crashes after which starts are bounded.
const CRASHES_COUNT: usize = 3;
/// The number of starts after these crashes that breaks the bound.
const STARTS_LIMIT_COUNT: usize = 3;
/// Far more starts than are allowed.
const ROUNDS_LIMIT_COUNT: usize = 12;

/// A cell in which each worker crashes that carries out a start of the test's task.
struct CrashingCell {
    harness: Harness,
    workers: Vec<FakeWorker>,
    incarnations_count: usize,
}

impl CrashingCell {
    fn new(advice: Option<AdvicePolicy>) -> Self {
        let workers = workers(4);
        let mut harness = Harness::with_advice(Recovered::default(), &workers, advice);
        harness.handle(Event::NodesListed(vec!["n1".into()]));
        Self {
            harness,
            workers,
            incarnations_count: 0,
        }
    }

    /// Advances the time until a start is sent.
    fn next_start(&mut self) -> Option<(WorkerKey, TaskKey, u32)> {
        self.next_starts()?.pop()
    }

    /// Advances the time until starts are sent.
    fn next_starts(&mut self) -> Option<Vec<(WorkerKey, TaskKey, u32)>> {
        for _ in 0..100 {
            self.harness.now = self.harness.now + Duration::from_ms(30);
            self.harness.handle(Event::Tick);
            self.harness.answer_commits();
            self.answer_advice();
            let starts = self.harness.starts();
            if !starts.is_empty() {
                return Some(starts);
            }
        }
        None
    }

    /// Answers the advice requests with tickets for every worker.
    fn answer_advice(&mut self) {
        let ids: Vec<String> = self.workers.iter().map(|w| w.id.to_string()).collect();
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        self.harness.answer_advice_requests(&ids);
    }

    /// Crashes the worker by a start that it has carried out, and starts its next incarnation.
    fn crash_worker(&mut self, (worker, task, run): (WorkerKey, TaskKey, u32)) {
        let refused = StartReply::Refused(RefusedStart::NotSent);
        for reply in [StartReply::Unanswered, refused, refused] {
            self.harness.handle(Event::StartAnswered {
                worker,
                task,
                run,
                reply,
            });
            self.harness.starts();
        }
        self.replace_worker(worker);
    }

    /// Crashes the worker for another cause, after a start that it has neither answered nor
    /// carried out.
    fn crash_without_run(&mut self, start: (WorkerKey, TaskKey, u32)) {
        self.leave_unanswered(start);
        self.replace_worker(start.0);
    }

    /// Leaves a start and its stop unanswered; a later poll lists no run.
    fn leave_unanswered(&mut self, (worker, task, run): (WorkerKey, TaskKey, u32)) {
        for _ in 0..3 {
            self.harness.handle(Event::StartAnswered {
                worker,
                task,
                run,
                reply: StartReply::Unanswered,
            });
        }
        // The stop is not answered either.
        self.harness.actions.clear();
        self.harness.now = self.harness.now + Duration::from_ms(100);
        self.harness.answer_poll(worker, Vec::new());
    }

    /// Has another incarnation answer at a worker's address.
    fn replace_worker(&mut self, worker: WorkerKey) {
        self.harness.leave_poll_unanswered(worker);
        self.harness.now = self.harness.now + DOWNTIME;
        let sent_at = self.harness.now;
        self.harness.handle(Event::HoldAnswered {
            worker,
            sent_at,
            reply: HoldReply::OtherIncarnation,
        });
        self.start_replacement(worker);
    }

    fn start_replacement(&mut self, worker: WorkerKey) {
        let is_lost =
            |known: &FakeWorker| self.harness.scheduler.worker_key(&known.id) == Some(worker);
        let index = self.workers.iter().position(is_lost);
        let lost = &mut self.workers[index.expect("a worker of this cell")];
        self.incarnations_count += 1;
        let mut next = FakeWorker::new(&format!("life{}", self.incarnations_count), 1000);
        next.address = lost.address.clone();
        *lost = next;
        self.harness.list_workers(&self.workers);
        let id = format!("life{}", self.incarnations_count);
        let key = self.harness.scheduler.worker_key(&id);
        self.harness
            .answer_poll(key.expect("a listed worker"), Vec::new());
    }
}

/// A job is not failed for workers that crash before they carry out its task's start.
#[test]
fn record_crash_start_not_carried_out() {
    let mut cell = CrashingCell::new(None);
    cell.harness.submit(1, vec![step(1)]);
    for round in 1..=ROUNDS_LIMIT_COUNT {
        let start = cell.next_start();
        let start = start.unwrap_or_else(|| panic!("no start after {round} crashes"));
        cell.crash_without_run(start);
    }
    let phase = cell
        .harness
        .scheduler
        .job(JobId::new(1))
        .map(|job| job.phase);
    assert_eq!(phase, Some(Phase::Active));
}

/// A start that is carried out late, after a poll that did not list its run, still counts if
/// the worker then crashes.
#[test]
fn record_crash_start_carried_out_late() {
    let mut cell = CrashingCell::new(None);
    cell.harness.submit(1, vec![step(1)]);
    let (worker, task, run) = cell.next_start().expect("a start");
    cell.leave_unanswered((worker, task, run));
    cell.harness.answer_poll_running(worker, task);
    cell.replace_worker(worker);
    let states = cell.harness.commit_all();
    let crashes = states.iter().flat_map(|state| &state.crashes);
    let recorded: Vec<TaskKey> = crashes.map(|crash| crash.task).collect();
    assert_eq!(recorded, [task]);
}

/// The starts of a task that crashes its workers are bounded, whether or not its queue needs
/// advice: three starts after three crashes are too many.
#[rstest]
#[case::without_advice(None)]
#[case::with_advice(Some(advice()))]
fn release_all_runs_task_crashes_workers(#[case] policy: Option<AdvicePolicy>) {
    let mut cell = CrashingCell::new(policy);
    cell.harness.submit(1, vec![step(1)]);
    let mut starts_count = 0;
    for _ in 0..ROUNDS_LIMIT_COUNT {
        let Some(start) = cell.next_start() else {
            break;
        };
        starts_count += 1;
        cell.crash_worker(start);
    }
    assert!(
        starts_count < CRASHES_COUNT + STARTS_LIMIT_COUNT,
        "a task that crashed each of its workers was started {starts_count} times"
    );
    let job = cell.harness.scheduler.job(JobId::new(1));
    assert_eq!(job.map(|job| job.phase), Some(Phase::Failed));
}

/// Returns a leader with two runs on one worker: one that is long past its start, and one that
/// has just begun.
fn with_old_and_new_run() -> (Harness, WorkerKey) {
    let mut harness = Harness::new(Recovered::default(), &workers(3));
    let mut runs = Vec::new();
    for number in 1..=2 {
        harness.submit(number, vec![step(1)]);
        harness.commit_all();
        let start = harness.starts()[0];
        harness.answer_started(start);
        runs.push(start);
        if number == 1 {
            harness.now = harness.now + Duration::from_s(1);
            harness.answer_poll_running(start.0, start.1);
        }
    }
    assert_eq!(
        runs[0].0, runs[1].0,
        "both are on the worker with the least free capacity"
    );
    (harness, runs[0].0)
}

fn other_incarnation(harness: &mut Harness, worker: WorkerKey) {
    let sent_at = harness.now;
    harness.handle(Event::HoldAnswered {
        worker,
        sent_at,
        reply: HoldReply::OtherIncarnation,
    });
}

fn suspicions(states: &[JobState], number: u64) -> Vec<Suspicion> {
    let task = first_task(JobId::new(number));
    let newest = states.iter().rev().flat_map(|state| &state.crashes);
    let of_task = newest.filter(|crash| crash.task == task);
    of_task.map(|crash| crash.suspicion).take(1).collect()
}

/// A run that started well before the worker's crash is a bystander. The one that had just
/// begun is run on probation, where no other run would be lost with it, and nothing is placed
/// alongside it until it is past its start.
#[test]
fn record_crash_new_run_beside_old_one() {
    let (mut harness, worker) = with_old_and_new_run();
    other_incarnation(&mut harness, worker);
    let states = harness.commit_all();
    assert_eq!(suspicions(&states, 1), vec![Suspicion::Bystander]);
    assert_eq!(suspicions(&states, 2), vec![Suspicion::Suspect]);
    let starts = harness.starts();
    assert_eq!(starts.len(), 2);
    assert_ne!(
        starts[0].0, starts[1].0,
        "the suspect is on probation, alone"
    );
    harness.submit(3, vec![step(1)]);
    harness.commit_all();
    let joined = harness.starts();
    let suspect = starts
        .iter()
        .find(|start| start.1 == first_task(JobId::new(2)));
    let suspect = suspect.expect("a start of the suspect").0;
    assert!(joined.iter().all(|start| start.0 != suspect), "{joined:?}");
}

/// A worker that drains ends with its runs, which is not recorded as a crash.
#[test]
fn record_crash_worker_was_draining() {
    let mut harness = Harness::new(Recovered::default(), &workers(2));
    harness.submit(1, vec![step(1)]);
    harness.commit_all();
    let start = harness.starts()[0];
    harness.answer_started(start);
    harness.now = harness.now + Duration::from_s(1);
    harness.answer_poll_running(start.0, start.1);
    let mut listed = workers(2);
    listed[0].is_draining = true;
    harness.list_workers(&listed);
    other_incarnation(&mut harness, start.0);
    let states = harness.commit_all();
    assert_eq!(suspicions(&states, 1), Vec::new());
    assert_eq!(harness.starts().len(), 1, "it is started elsewhere");
}

/// A suspect that holds tickets waits for a worker of its own. Further advice would not provide
/// one, and would keep the adviser from others' requests.
#[test]
fn place_tasks_suspect_waits_without_advice() {
    let mut cell = CrashingCell::new(Some(advice()));
    cell.harness.submit(1, vec![step(1)]);
    let crashing = cell.next_start().expect("a start");
    // One run on each worker: there is free capacity, but no worker is free for probation.
    let spread = StepSpec {
        per_worker_limit_count: 1,
        ..step(4)
    };
    cell.harness.submit(2, vec![spread]);
    for start in cell.next_starts().expect("starts") {
        cell.harness.answer_started(start);
    }
    cell.crash_worker(crashing);
    let mut requests_count = 0;
    for _ in 0..25 {
        cell.harness.now = cell.harness.now + Duration::from_ms(30);
        cell.harness.handle(Event::Tick);
        cell.harness.answer_commits();
        let is_request = |action: &&Action| matches!(action, Action::Advise { step, .. } if step.job == crashing.1.step.job);
        requests_count += cell.harness.actions.iter().filter(is_request).count();
        cell.answer_advice();
    }
    assert!(requests_count <= 1, "{requests_count} advice requests");
}

/// A worker that is unresponsive until its leases have expired may have crashed or been
/// partitioned. The crash recorded under its runs is retracted if the same incarnation answers.
#[test]
fn retract_unresponsive_worker_answers() {
    let mut harness = Harness::new(Recovered::default(), &workers(2));
    harness.submit(1, vec![step(1)]);
    harness.commit_all();
    let start = harness.starts()[0];
    harness.answer_started(start);
    for _ in 0..8 {
        harness.leave_poll_unanswered(start.0);
    }
    let states = harness.commit_all();
    assert_eq!(suspicions(&states, 1), vec![Suspicion::Suspect]);
    let again = harness.starts()[0];
    assert_ne!(again.0, start.0);
    harness.answer_started(again);
    harness.answer_poll(start.0, Vec::new());
    harness.answer_poll_after(
        Duration::from_ms(60),
        again.0,
        vec![failed(1, again.1, again.2)],
    );
    let states = harness.commit_all();
    assert_eq!(suspicions(&states, 1), Vec::new());
}

/// Returns the stored state of a job whose task runs on `w0` and under which two workers have
/// crashed.
fn state_of_suspect() -> JobState {
    let task = first_task(JobId::new(1));
    let mut state = placed_state("w0", 3);
    for run in 1..=2 {
        state.record_crash(CrashRecord {
            task,
            run,
            suspicion: Suspicion::Suspect,
            is_confirmed: true,
        });
    }
    state
}

/// A new leader applies the crash limits to the stored records: it does not know how far a
/// recovered run was, but that it was alone on its worker.
#[test]
fn record_crash_recovered_run_alone() {
    let (id, record) = job(1, vec![step(1)]);
    let recovered = Recovered {
        jobs: vec![(id, record)],
        states: vec![(id, state_of_suspect())],
        ..Recovered::default()
    };
    let mut harness = Harness::new(recovered, &[]);
    harness.list_workers(&workers(2));
    let worker = harness.scheduler.worker_key("w0").expect("a listed worker");
    let other = harness.scheduler.worker_key("w1").expect("a listed worker");
    harness.answer_poll(other, Vec::new());
    other_incarnation(&mut harness, worker);
    harness.commit_all();
    assert!(harness.starts().is_empty(), "started after three crashes");
    let job = harness.scheduler.job(id);
    assert_eq!(job.map(|job| job.phase), Some(Phase::Failed));
}

/// If one member crashes its worker each time, the job of its gang is failed.
#[test]
fn record_crash_gang_member() {
    let mut cell = CrashingCell::new(None);
    let gang = StepSpec {
        is_gang: true,
        ..step(3)
    };
    cell.harness.submit(1, vec![gang]);
    let mut runs_count = 0;
    for _ in 0..ROUNDS_LIMIT_COUNT {
        let Some(starts) = cell.next_starts() else {
            break;
        };
        runs_count += 1;
        let crashing = starts.iter().find(|start| start.1.index == 0);
        let crashing = *crashing.expect("the whole gang starts");
        cell.crash_worker(crashing);
        cell.harness.now = cell.harness.now + Duration::from_ms(500);
        cell.harness.handle(Event::Tick);
        cell.harness.stops();
        cell.harness.now = cell.harness.now + Duration::from_ms(10);
        let others = starts.iter().filter(|start| start.0 != crashing.0);
        for (worker, _, _) in others {
            cell.harness.answer_poll(*worker, Vec::new());
        }
    }
    assert!(
        runs_count < CRASHES_COUNT + STARTS_LIMIT_COUNT,
        "{runs_count} runs"
    );
    let job = cell.harness.scheduler.job(JobId::new(1));
    assert_eq!(job.map(|job| job.phase), Some(Phase::Failed));
}

/// Crashes are stored after the rest of a job's progress; progress without crashes is stored in
/// the earlier format.
#[test]
fn to_bytes_with_crashes() {
    let with = state_of_suspect();
    let without = placed_state("w0", 3);
    assert_eq!(JobState::from_bytes(&with.to_bytes()), Ok(with.clone()));
    assert_eq!(
        JobState::from_bytes(&without.to_bytes()),
        Ok(without.clone())
    );
    assert_ne!(with.to_bytes()[0], without.to_bytes()[0]);
}
