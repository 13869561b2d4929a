//! Accepted jobs whose queue or customer the operators remove, change or add again.

use crate::support::harness::{failed, workers, Harness};
use crate::support::worker::FakeWorker;
use crate::support::{
    accepted_under, advice, configuration, configuration_with, customer, job, job_of, step,
    with_other_service, LOW_PRIORITY_QUEUE, OTHER_SERVICE, QUEUE,
};
use ospreywing_scheduler::{
    Action, Configuration, DecisionKind, Event, JobId, JobRecord, JobState, Phase, Queue,
    Recovered, StepSpec, StoredJob, TaskKey, WorkerKey,
};
use rstest::rstest;
use std::sync::Arc;

/// How many starts a test waits for at most.
const STARTS_LIMIT_COUNT: u32 = 10;
/// How often a test lets time pass for a start: workers are avoided for a while after failures.
const WAITS_LIMIT_COUNT: u32 = 40;
const WORKERS_COUNT: usize = 4;

/// Returns a configuration in which [`QUEUE`] is as `change` makes it.
fn configured(version: u64, change: impl FnOnce(&mut Queue)) -> Configuration {
    let mut configuration = configuration(None);
    configuration.version = version;
    change(configuration.queues.get_mut(QUEUE).expect("the queue"));
    configuration
}

fn with_limit(version: u64, attempts_limit_count: u32) -> Configuration {
    configured(version, |queue| {
        queue.attempts_limit_count = attempts_limit_count;
    })
}

/// Returns a configuration without [`QUEUE`].
fn without_queue(version: u64) -> Configuration {
    let mut configuration = configuration(None);
    configuration.version = version;
    configuration.queues.remove(QUEUE);
    configuration
}

/// A leader with one job, and what the store holds of the job.
struct Term {
    harness: Harness,
    id: JobId,
    record: Vec<u8>,
    state: Option<JobState>,
    /// The number of the last end that a worker listed.
    ends_count: u64,
}

impl Term {
    /// Begins a term in which a job has been accepted under `accepted`, and the leader knows
    /// `known`.
    fn new(steps: Vec<StepSpec>, accepted: &Configuration, known: Configuration) -> Self {
        Self::with_record(accepted_under(accepted, job(1, steps)), known)
    }

    fn with_record((id, record): (JobId, JobRecord), known: Configuration) -> Self {
        let workers = workers(WORKERS_COUNT);
        let mut harness = Harness::with_configuration(Recovered::default(), &workers, known);
        let bytes = record.to_bytes();
        harness.submit_job((id, record));
        Self {
            harness,
            id,
            record: bytes,
            state: None,
            ends_count: 0,
        }
    }

    fn configure(&mut self, configuration: Configuration) {
        self.harness.handle(Event::Configured(configuration));
    }

    fn commit(&mut self) {
        if let Some(state) = self.harness.commit_all().pop() {
            self.state = Some(state);
        }
    }

    /// Begins the term of the next leader, with what the store holds.
    fn next_leader(mut self, configuration: Configuration) -> Self {
        self.commit();
        let Ok(StoredJob::Accepted(record)) = StoredJob::from_bytes(&self.record) else {
            panic!("the record can't be read");
        };
        let states = self.state.iter().map(|state| (self.id, state.clone()));
        let recovered = Recovered {
            jobs: vec![(self.id, *record)],
            states: states.collect(),
            ..Recovered::default()
        };
        let workers = workers(WORKERS_COUNT);
        let harness = Harness::with_configuration(recovered, &[], configuration);
        let mut next = Self { harness, ..self };
        next.harness.list_workers(&workers);
        next
    }

    /// Answers a poll of each listed worker, without runs.
    fn answer_polls(&mut self) {
        let listed = self.harness.scheduler.listed_workers();
        let workers: Vec<WorkerKey> = listed.map(|(worker, _)| worker).collect();
        for worker in workers {
            self.harness.answer_poll(worker, Vec::new());
        }
    }

    /// Waits for the next starts.
    fn await_starts(&mut self) -> Vec<(WorkerKey, TaskKey, u32)> {
        for _ in 0..WAITS_LIMIT_COUNT {
            self.commit();
            let starts = self.harness.starts();
            if !starts.is_empty() {
                starts
                    .iter()
                    .for_each(|start| self.harness.answer_started(*start));
                return starts;
            }
        }
        Vec::new()
    }

    fn fail(&mut self, (worker, task, run): (WorkerKey, TaskKey, u32)) {
        self.ends_count += 1;
        let end = failed(self.ends_count, task, run);
        self.harness.answer_poll(worker, vec![end]);
    }

    /// Lets every run of the only task or gang fail; returns how many were started, with
    /// `started_count` others before.
    fn fail_until_job_fails(&mut self, started_count: u32) -> u32 {
        let mut count = started_count;
        while count < STARTS_LIMIT_COUNT {
            let starts = self.await_starts();
            if starts.is_empty() {
                break;
            }
            count += 1;
            starts.into_iter().for_each(|start| self.fail(start));
        }
        self.commit();
        count
    }

    fn phase(&self) -> Option<Phase> {
        self.harness.scheduler.job(self.id).map(|view| view.phase)
    }
}

/// Guards against runs beyond the limit (or fewer) of a queue that was removed: a default
/// applied instead.
#[rstest]
fn fail_job_queue_removed(#[values(1, 2, 5)] limit: u32) {
    let accepted = with_limit(1, limit);
    let mut term = Term::new(vec![step(1)], &accepted, accepted.clone());
    let first = term.await_starts()[0];
    term.configure(without_queue(2));
    term.fail(first);
    assert_eq!(term.fail_until_job_fails(1), limit);
    assert_eq!(term.phase(), Some(Phase::Failed));
}

/// Guards against the same where the leader already knows the removal when it hears of the job.
#[rstest]
fn fail_job_queue_removed_before_leader_knew_job(#[values(1, 2, 5)] limit: u32) {
    let mut term = Term::new(vec![step(1)], &with_limit(1, limit), without_queue(2));
    assert_eq!(term.fail_until_job_fails(0), limit);
    assert_eq!(term.phase(), Some(Phase::Failed));
}

/// Guards against the same where the next leader has never seen the queue.
#[rstest]
fn fail_job_queue_removed_next_leader(#[values(1, 2, 5)] limit: u32) {
    let accepted = with_limit(1, limit);
    let mut term = Term::new(vec![step(1)], &accepted, accepted.clone());
    let first = term.await_starts()[0];
    let mut term = term.next_leader(without_queue(2));
    let worker = term.harness.scheduler.worker_key("w0");
    term.fail((worker.expect("a listed worker"), first.1, first.2));
    assert_eq!(term.fail_until_job_fails(1), limit);
    assert_eq!(term.phase(), Some(Phase::Failed));
}

/// Guards against the same for a gang, whose members use up one limit together.
#[rstest]
fn fail_gang_queue_removed(#[values(1, 2, 5)] limit: u32) {
    let accepted = with_limit(1, limit);
    let gang = StepSpec {
        is_gang: true,
        ..step(2)
    };
    let mut term = Term::new(vec![gang], &accepted, accepted.clone());
    term.configure(without_queue(2));
    assert_eq!(term.fail_until_job_fails(0), limit);
    assert_eq!(term.phase(), Some(Phase::Failed));
}

/// Guards against a limit that goes back to that at acceptance: a queue is changed, then removed.
#[rstest]
#[case::lowered(5, 2)]
#[case::raised(1, 4)]
fn fail_job_queue_changed_then_removed(
    #[case] before: u32,
    #[case] after: u32,
    #[values(false, true)] is_next_leader: bool,
) {
    let accepted = with_limit(1, before);
    let mut term = Term::new(vec![step(1)], &accepted, accepted.clone());
    let first = term.await_starts()[0];
    term.configure(with_limit(2, after));
    term.configure(without_queue(3));
    if is_next_leader {
        term = term.next_leader(without_queue(3));
    }
    term.fail(first);
    assert_eq!(term.fail_until_job_fails(1), after);
}

/// Guards against the same where the leader that saw the change is lost before the removal.
#[test]
fn fail_job_queue_changed_next_leader_then_removed() {
    let accepted = with_limit(1, 5);
    let mut term = Term::new(vec![step(1)], &accepted, accepted.clone());
    let first = term.await_starts()[0];
    term.configure(with_limit(2, 2));
    let mut term = term.next_leader(with_limit(2, 2));
    term.configure(without_queue(3));
    let mut term = term.next_leader(without_queue(3));
    term.fail(first);
    assert_eq!(term.fail_until_job_fails(1), 2);
}

/// Guards against a default limit for jobs whose records were written before they contained a
/// policy, if a leader has seen the queue.
#[rstest]
fn fail_job_of_earlier_version_queue_removed(
    #[values(1, 2, 5)] limit: u32,
    #[values(false, true)] is_next_leader: bool,
) {
    let mut term = Term::with_record(job(1, vec![step(1)]), with_limit(1, limit));
    let first = term.await_starts()[0];
    term.configure(without_queue(2));
    if is_next_leader {
        term = term.next_leader(without_queue(2));
    }
    term.fail(first);
    assert_eq!(term.fail_until_job_fails(1), limit);
}

/// Guards against an outdated limit: a node accepted the job under a later configuration than the
/// leader's.
#[test]
fn fail_job_accepted_under_later_configuration() {
    let mut term = Term::new(vec![step(1)], &with_limit(2, 1), with_limit(1, 5));
    assert_eq!(term.fail_until_job_fails(0), 1);
}

/// A queue that is added again applies as it is configured then.
#[rstest]
#[case::lower(5, 2)]
#[case::higher(1, 4)]
fn fail_job_queue_added_again(#[case] before: u32, #[case] after: u32) {
    let accepted = with_limit(1, before);
    let mut term = Term::new(vec![step(1)], &accepted, accepted.clone());
    term.configure(without_queue(2));
    let first = term.await_starts()[0];
    term.configure(with_limit(3, after));
    term.fail(first);
    assert_eq!(term.fail_until_job_fails(1), after);
}

/// A perpetual task has no limit, whether its queue is configured or not.
#[test]
fn fail_perpetual_task_queue_removed() {
    let accepted = with_limit(1, 1);
    let perpetual = StepSpec {
        is_perpetual: true,
        ..step(1)
    };
    let mut term = Term::new(vec![perpetual], &accepted, accepted.clone());
    term.configure(without_queue(2));
    assert_eq!(term.fail_until_job_fails(0), STARTS_LIMIT_COUNT);
    assert_eq!(term.phase(), Some(Phase::Active));
}

/// Guards against starts without a ticket, which workers refuse: the advice policy was lost with
/// the queue.
#[rstest]
#[case::removed_after_acceptance(false)]
#[case::next_leader(true)]
fn start_queue_with_advice_removed(#[case] is_next_leader: bool) {
    let accepted = configured(1, |queue| queue.advice = Some(advice()));
    let mut term = Term::new(vec![step(1)], &accepted, accepted.clone());
    term.configure(without_queue(2));
    if is_next_leader {
        term = term.next_leader(without_queue(2));
        term.answer_polls();
    }
    assert_eq!(start_with_advice(&mut term), Some("ticket".into()));
}

/// Guards against the same where the leader already knows the removal when it hears of the job.
#[test]
fn start_queue_with_advice_removed_before_leader_knew_job() {
    let accepted = configured(1, |queue| queue.advice = Some(advice()));
    let mut term = Term::new(vec![step(1)], &accepted, without_queue(2));
    assert_eq!(start_with_advice(&mut term), Some("ticket".into()));
}

/// Answers advice requests until a start is sent; returns the start's ticket.
fn start_with_advice(term: &mut Term) -> Option<Arc<str>> {
    term.harness.handle(Event::NodesListed(vec!["n1".into()]));
    for _ in 0..WAITS_LIMIT_COUNT {
        term.harness.answer_advice_requests(&["w0", "w1"]);
        term.commit();
        let ticket = term.harness.actions.iter().find_map(|action| match action {
            Action::Start { order, .. } => Some(order.ticket.clone()),
            _ => None,
        });
        if let Some(ticket) = ticket {
            return ticket;
        }
    }
    panic!("no start was sent");
}

/// Returns a worker with capacity for one task.
fn small_worker() -> FakeWorker {
    let mut worker = FakeWorker::new("w0", 1000);
    worker.set_capacity(step(1).demand);
    worker
}

/// Guards against a lower priority than the queue had, under the next leader.
#[test]
fn order_jobs_queue_removed_next_leader() {
    let accepted = configured(1, |_| {});
    let (low_id, mut low) = job(1, vec![step(1)]);
    low.queue = LOW_PRIORITY_QUEUE.to_owned();
    let recovered = Recovered {
        jobs: vec![
            accepted_under(&accepted, (low_id, low)),
            accepted_under(&accepted, job(2, vec![step(1)])),
        ],
        ..Recovered::default()
    };
    let worker = [small_worker()];
    let mut harness = Harness::with_configuration(recovered, &worker, without_queue(2));
    harness.commit_all();
    let started: Vec<JobId> = harness.starts().iter().map(|it| it.1.step.job).collect();
    assert_eq!(started, [JobId::new(2)]);
}

/// Guards against another objective than the queue's: stretch and fixed part were lost with it.
#[test]
fn objective_queue_removed() {
    let accepted = configured(1, |queue| queue.stretch = 5.0);
    let term = Term::new(vec![step(1)], &accepted, without_queue(2));
    let objective_ms = term.harness.actions.iter().find_map(|action| match action {
        Action::Log(line) if line.kind == DecisionKind::JobAccepted => Some(line.figure),
        _ => None,
    });
    assert_eq!(objective_ms, Some(5 * 1000 + 1000));
}

/// Guards against work that goes back to a service from which its queue was moved, once the queue
/// is removed.
#[rstest]
fn place_queue_moved_then_removed(#[values(false, true)] is_next_leader: bool) {
    let moved = |version, change: fn(&mut Queue)| with_other_service(configured(version, change));
    let accepted = moved(1, |_| {});
    let mut removed = moved(3, |_| {});
    removed.queues.remove(QUEUE);
    let mut term = Term::new(vec![step(1)], &accepted, accepted.clone());
    let first = term.await_starts()[0];
    let mut other = FakeWorker::new("w9", 1000);
    other.service = Arc::from(OTHER_SERVICE);
    let all: Vec<FakeWorker> = workers(WORKERS_COUNT).into_iter().chain([other]).collect();
    term.harness.list_workers(&all);
    term.configure(moved(2, |queue| queue.service = OTHER_SERVICE.to_owned()));
    term.configure(removed.clone());
    if is_next_leader {
        term = term.next_leader(removed);
        term.harness.list_workers(&all);
    }
    term.fail(first);
    term.answer_polls();
    let worker = term.harness.scheduler.worker_key("w9");
    assert_eq!(Some(term.await_starts()[0].0), worker);
}

/// Returns a configuration in which the customer `one` may run this many tasks.
fn with_customer_limit(version: u64, tasks_count: u32) -> Configuration {
    configuration_with(version, None, vec![customer("one", tasks_count, 100.0)])
}

/// Guards against a customer without any limit under the next leader: it was removed while its
/// jobs waited.
#[test]
fn place_customer_removed_next_leader() {
    let accepted = with_customer_limit(1, 2);
    let job = accepted_under(&accepted, job_of("one", 1, vec![step(5)]));
    let mut term = Term::with_record(job, accepted);
    term.configure(with_customer_limit(2, 3));
    let removed = configuration_with(3, None, Vec::new());
    term.configure(removed.clone());
    let mut term = term.next_leader(removed);
    term.answer_polls();
    assert_eq!(term.await_starts().len(), 3);
    assert_eq!(term.await_starts().len(), 0);
}

/// Guards against the same where the leader already knows the removal when it hears of the job.
#[test]
fn place_customer_removed_before_leader_knew_job() {
    let job = accepted_under(&with_customer_limit(1, 2), job_of("one", 1, vec![step(5)]));
    let mut term = Term::with_record(job, configuration_with(2, None, Vec::new()));
    assert_eq!(term.await_starts().len(), 2);
    assert_eq!(term.await_starts().len(), 0);
}

/// A limit that is configured again applies.
#[test]
fn place_customer_added_again() {
    let accepted = with_customer_limit(1, 2);
    let job = accepted_under(&accepted, job_of("one", 1, vec![step(5)]));
    let mut term = Term::with_record(job, configuration_with(2, None, Vec::new()));
    assert_eq!(term.await_starts().len(), 2);
    term.configure(with_customer_limit(3, 4));
    assert_eq!(term.await_starts().len(), 2);
}
