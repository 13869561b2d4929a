//! Tasks that crash_worker the workers on which they start.
//!
//! What users saw: two jobs were started on one worker after the other, some thirty
//! times each, until the day's end. Every worker crashed 10 ms after the start and was
//! back 3 s later, and all other work on it was lost each time.
//!
//! The order of events: the start's connection breaks; its repeats are refused; the
//! worker's next life answers at the address; all runs of the earlier life are given up
//! and start again elsewhere, the one that caused the crash_worker among them.
//!
//! The cause: a run that was lost with its worker left no trace in its task's progress,
//! so nothing ever kept the task from starting again. The evidence: in the leader's log,
//! run after run of the task ends as `run lost, another life answers`, none as `failed`,
//! and the count of failed runs that bounds its attempts stays at zero.

use crate::support::harness::{failed, workers, Harness};
use crate::support::worker::FakeWorker;
use crate::support::{advice, first_task, job, placed_state, step};
use ospreywing_scheduler::{
    Action, AdvicePolicy, CrashRecord, Event, HoldReply, JobId, JobState, Phase, Recovered,
    RefusedStart, StartReply, StepSpec, Suspicion, TaskKey, WorkerKey,
};
use ospreywing_types::Duration;
use rstest::rstest;

/// How long a worker that crashed is away.
const DOWNTIME: Duration = Duration::from_ms(3000);
/// The crashes after which the bound on restarts counts.
const CRASHES_COUNT: usize = 3;
/// The starts after these crashes that break it.
const STARTS_LIMIT_COUNT: usize = 3;
/// Far more starts than may happen.
const ROUNDS_LIMIT_COUNT: usize = 12;

/// A cell in which each worker that starts anything crashes.
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

    /// Lets time pass until a start is sent.
    fn next_start(&mut self) -> Option<(WorkerKey, TaskKey, u32)> {
        self.next_starts()?.pop()
    }

    /// Lets time pass until starts are sent.
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

    /// Finds every worker good.
    fn answer_advice(&mut self) {
        let ids: Vec<String> = self.workers.iter().map(|w| w.id.to_string()).collect();
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        self.harness.answer_advice_requests(&ids);
    }

    /// Has the worker crash_worker under a start, and its next life come up.
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

    /// Has the worker crash_worker for a reason of its own, with a start that it has not answered
    /// and not carried out.
    fn crash_without_run(&mut self, start: (WorkerKey, TaskKey, u32)) {
        self.leave_unanswered(start);
        self.replace_worker(start.0);
    }

    /// Leaves a start and its stop unanswered; a later look lists no run.
    fn leave_unanswered(&mut self, (worker, task, run): (WorkerKey, TaskKey, u32)) {
        for _ in 0..3 {
            self.harness.handle(Event::StartAnswered {
                worker,
                task,
                run,
                reply: StartReply::Unanswered,
            });
        }
        // The stop gets no answer either.
        self.harness.actions.clear();
        self.harness.now = self.harness.now + Duration::from_ms(100);
        self.harness.answer_poll(worker, Vec::new());
    }

    /// Has another life answer at a worker's address.
    fn replace_worker(&mut self, worker: WorkerKey) {
        self.harness.leave_poll_unanswered(worker);
        self.harness.now = self.harness.now + DOWNTIME;
        let sent_at = self.harness.now;
        self.harness.handle(Event::HoldAnswered {
            worker,
            sent_at,
            reply: HoldReply::OtherLife,
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

/// A job is not failed for workers that crash_worker before they carry out its task's start.
#[test]
fn record_crash_run_was_not_there() {
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

/// A start that a worker carries out late, after a look that did not find its run, counts
/// where the worker then crashes.
#[test]
fn record_crash_run_came_late() {
    let mut cell = CrashingCell::new(None);
    cell.harness.submit(1, vec![step(1)]);
    let (worker, task, run) = cell.next_start().expect("a start");
    cell.leave_unanswered((worker, task, run));
    cell.harness.answer_poll_running(worker, task);
    cell.replace_worker(worker);
    let states = cell.harness.commit_all();
    let crashes = states.iter().flat_map(|state| &state.crashes);
    let recorded: Vec<TaskKey> = crashes.map(|crash_worker| crash_worker.task).collect();
    assert_eq!(recorded, [task]);
}

/// The starts of a task that crashes its workers are bounded: three more after three
/// crashes are too many, whether or not its queue needs advice.
#[rstest]
#[case::without_advice(None)]
#[case::with_advice(Some(advice()))]
fn release_all_run_crashes_its_worker(#[case] policy: Option<AdvicePolicy>) {
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

/// Returns a leader with a job whose run has outlived its start, and another one whose
/// run has just begun on the same worker.
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
    assert_eq!(runs[0].0, runs[1].0, "both are on the fullest worker");
    (harness, runs[0].0)
}

fn other_incarnation(harness: &mut Harness, worker: WorkerKey) {
    let sent_at = harness.now;
    harness.handle(Event::HoldAnswered {
        worker,
        sent_at,
        reply: HoldReply::OtherLife,
    });
}

fn suspicions(states: &[JobState], number: u64) -> Vec<Suspicion> {
    let task = first_task(JobId::new(number));
    let newest = states.iter().rev().flat_map(|state| &state.crashes);
    let of_task = newest.filter(|crash_worker| crash_worker.task == task);
    of_task
        .map(|crash_worker| crash_worker.suspicion)
        .take(1)
        .collect()
}

/// A run that its worker has outlived by a while is a bystander of the crash_worker; the one
/// that had just begun is tried where nobody else's run would be lost with it, and
/// nothing joins it there before it has outlived its start.
#[test]
fn record_crash_new_run_beside_old_one() {
    let (mut harness, worker) = with_old_and_new_run();
    other_incarnation(&mut harness, worker);
    let states = harness.commit_all();
    assert_eq!(suspicions(&states, 1), vec![Suspicion::Bystander]);
    assert_eq!(suspicions(&states, 2), vec![Suspicion::Suspect]);
    let starts = harness.starts();
    assert_eq!(starts.len(), 2);
    assert_ne!(starts[0].0, starts[1].0, "the suspect is tried alone");
    harness.submit(3, vec![step(1)]);
    harness.commit_all();
    let joined = harness.starts();
    let suspect = starts
        .iter()
        .find(|start| start.1 == first_task(JobId::new(2)));
    let suspect = suspect.expect("a start of the suspect").0;
    assert!(joined.iter().all(|start| start.0 != suspect), "{joined:?}");
}

/// A worker that leaves by plan takes its runs with it and crashes under none.
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
    assert_eq!(harness.starts().len(), 1, "it goes on elsewhere");
}

/// A suspect that holds tickets waits for a worker of its own; further advice would not
/// bring one, and would keep the adviser from others.
#[test]
fn place_tasks_suspect_waits() {
    let mut cell = CrashingCell::new(Some(advice()));
    cell.harness.submit(1, vec![step(1)]);
    let crashing = cell.next_start().expect("a start");
    // One run on each worker: there is room, and none is free for a trial.
    let spread = StepSpec {
        per_worker_limit_count: 1,
        ..step(4)
    };
    cell.harness.submit(2, vec![spread]);
    for start in cell.next_starts().expect("starts") {
        cell.harness.answer_started(start);
    }
    cell.crash_worker(crashing);
    let mut calls_count = 0;
    for _ in 0..25 {
        cell.harness.now = cell.harness.now + Duration::from_ms(30);
        cell.harness.handle(Event::Tick);
        cell.harness.answer_commits();
        let asks = |action: &&Action| matches!(action, Action::Advise { step, .. } if step.job == crashing.1.step.job);
        calls_count += cell.harness.actions.iter().filter(asks).count();
        cell.answer_advice();
    }
    assert!(calls_count <= 1, "asked {calls_count} times");
}

/// A worker that is silent until its leases are over may have crashed or been cut off:
/// what was recorded of its runs goes again where the same life answers.
#[test]
fn retract_silence_worker_answers() {
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

/// Returns what a leader kept of a job whose task runs on `w0` and under which two
/// workers have crashed.
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

/// A new leader gives the verdict from what the store keeps: it does not know how far an
/// inherited run was, but that it was alone on its worker.
#[test]
fn record_crash_inherited_run_alone() {
    let (id, record) = job(1, vec![step(1)]);
    let kept = Recovered {
        jobs: vec![(id, record)],
        states: vec![(id, state_of_suspect())],
        ..Recovered::default()
    };
    let mut harness = Harness::new(kept, &[]);
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

/// One member that crashes its worker each time is enough to give up its gang.
#[test]
fn record_crash_member_of_gang() {
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

/// Crashes are stored behind the rest of a job's progress, which is written as before
/// where there are none.
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
