//! Cancels that a leader learns of by its watch of the intake, by reading the intake whole, or
//! by messages, before or after it learns of their jobs.

use crate::support::node::{
    spawn_node, wait_for, Messages, Worker, WorkerPlatform, CONDITION_CHECK_PERIOD,
    CONDITION_TIMEOUT, WORKERS_PREFIX,
};
use crate::support::{one_queue_configuration, run_local, settings, MemoryStore, QUEUE, SERVICE};
use ospreywing_control::cell_view::NodeRecord;
use ospreywing_control::peer::{self, PeerReply, PeerRequest};
use ospreywing_control::{keys, Caller, Store, Transaction};
use ospreywing_http::HttpClient;
use ospreywing_scheduler::{JobId, JobOutcome, JobRecord, JobSpec, JobView, Phase, StepSpec};
use ospreywing_types::{Duration, Resources};
use rstest::rstest;
use tokio::time::timeout;

/// The job that is cancelled.
const JOB: JobId = JobId::new(1);
/// A job that is not cancelled. Once it is started, [`JOB`] would have been started too.
const OTHER_JOB: JobId = JobId::new(2);

fn record() -> JobRecord {
    let step = StepSpec {
        tasks_count: 1,
        demand: Resources::new(1000, 1000, 0),
        estimate_ms: 1000,
        ..StepSpec::default()
    };
    JobRecord {
        queue: QUEUE.to_owned(),
        service: SERVICE.to_owned(),
        spec: JobSpec {
            payload: "work".to_owned(),
            steps: vec![step],
            schedule: None,
        },
        ..JobRecord::default()
    }
}

fn put_job(job: JobId) -> Transaction {
    Transaction::new().with_put(keys::job(job), record().to_bytes())
}

fn put_cancel(job: JobId) -> Transaction {
    Transaction::new().with_put(keys::cancel(job), Vec::new())
}

async fn commit(store: &MemoryStore, transaction: Transaction) {
    store.commit(&transaction).await.expect("no condition");
}

/// A node that leads a cell of its own.
struct Leader {
    platform: WorkerPlatform,
    address: String,
    client: HttpClient,
}

impl Leader {
    /// Returns the platform of a leader that does not run yet.
    async fn prepare() -> WorkerPlatform {
        let platform = WorkerPlatform::new(&Worker::default());
        let initial_items = Transaction::new()
            .with_put("configuration".to_owned(), vec![1])
            .with_put(format!("{WORKERS_PREFIX}w0"), vec![1]);
        commit(&platform.store, initial_items).await;
        platform
    }

    /// Starts a leader and waits until it polls the worker.
    async fn run(platform: WorkerPlatform) -> Self {
        spawn_node(&platform, settings(), &Messages::default());
        wait_for("the worker is polled", || platform.agent.has_polled.get()).await;
        let item = platform.store.value(&keys::node(&settings().name));
        let record = NodeRecord::from_bytes(&item.expect("a record")).expect("a record");
        Self {
            platform,
            address: record.address,
            client: HttpClient::new(1),
        }
    }

    fn store(&self) -> &MemoryStore {
        &self.platform.store
    }

    async fn call(&self, request: PeerRequest) -> PeerReply {
        let limit = Duration::from_s(5);
        let reply = peer::call(&self.client, &self.address, &request, limit).await;
        reply.expect("a reply")
    }

    /// Has the store lose its history while these transactions are committed: the watches
    /// return nothing, and then have to begin again.
    async fn commit_unwatched(&self, transactions: Vec<Transaction>) {
        self.store().hold_watches(true);
        for transaction in transactions {
            commit(self.store(), transaction).await;
        }
        self.store().compact();
        self.store().hold_watches(false);
    }

    fn has_started(&self, job: JobId) -> bool {
        let sent = self.platform.agent.sent_starts.borrow();
        sent.iter().any(|task| task.step.job == job)
    }

    async fn wait_for_start(&self, job: JobId) {
        wait_for("the job is started", || self.has_started(job)).await;
    }

    async fn wait_for_phase(&self, job: JobId, phase: Phase) {
        let shown = async {
            while self.view(job).await.map(|view| view.phase) != Some(phase) {
                tokio::time::sleep(CONDITION_CHECK_PERIOD).await;
            }
        };
        let shown = timeout(CONDITION_TIMEOUT, shown).await;
        assert!(shown.is_ok(), "not seen in time: {job} as {phase:?}");
    }

    async fn view(&self, job: JobId) -> Option<JobView> {
        let caller = Caller::anonymous();
        match self.call(PeerRequest::Status { job, caller }).await {
            PeerReply::Status(view) => view,
            other => panic!("not a status: {other:?}"),
        }
    }
}

/// After a lost history, the intake is read whole in the order of the keys, with cancels before
/// their jobs. These jobs were once started.
#[test]
fn cancel_read_whole_with_job() {
    run_local(async {
        let leader = Leader::run(Leader::prepare().await).await;
        let unwatched = vec![put_job(JOB), put_cancel(JOB), put_job(OTHER_JOB)];
        leader.commit_unwatched(unwatched).await;
        leader.wait_for_start(OTHER_JOB).await;
        assert!(!leader.has_started(JOB), "the cancelled job was started");
    });
}

/// An event about [`JOB`] that the leader learns of.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The job is written and the leader is notified.
    JobMessage,
    /// The cancel is written and the leader is notified.
    CancelMessage,
    /// The job, the cancel and the other job are read whole.
    ReadWhole,
    /// The other job is written, and the watch returns it.
    WatchOther,
}

/// Messages of two nodes may overtake each other, and either may come by a message and the
/// other one from the store.
#[rstest]
#[case::cancel_first(&[Step::CancelMessage, Step::JobMessage, Step::WatchOther])]
#[case::job_first(&[Step::JobMessage, Step::CancelMessage, Step::WatchOther])]
#[case::cancel_then_read_whole(&[Step::CancelMessage, Step::ReadWhole])]
#[case::job_then_read_whole(&[Step::JobMessage, Step::ReadWhole])]
#[case::read_whole_twice(&[Step::ReadWhole, Step::ReadWhole])]
fn cancel_by_message_and_by_store(#[case] steps: &[Step]) {
    run_local(async {
        let leader = Leader::run(Leader::prepare().await).await;
        for step in steps {
            match step {
                Step::JobMessage => {
                    leader.call(PeerRequest::job_taken(JOB, record())).await;
                }
                Step::CancelMessage => {
                    leader.call(PeerRequest::CancelTaken(JOB)).await;
                }
                Step::ReadWhole => {
                    let unwatched = vec![put_job(JOB), put_cancel(JOB), put_job(OTHER_JOB)];
                    leader.commit_unwatched(unwatched).await;
                }
                Step::WatchOther => commit(leader.store(), put_job(OTHER_JOB)).await,
            }
        }
        leader.wait_for_start(OTHER_JOB).await;
        leader.wait_for_phase(JOB, Phase::Canceled).await;
    });
}

/// A job and its cancel that are written while a new leader reads the intake, between the page
/// with the cancels and that with the jobs: the leader reads the job alone.
#[test]
fn cancel_written_between_pages() {
    run_local(async {
        let platform = Leader::prepare().await;
        for number in 11..=13 {
            commit(&platform.store, put_job(JobId::new(number))).await;
        }
        let key = keys::cancel(JobId::new(14));
        let both = put_job(JobId::new(14)).with_put(key, Vec::new());
        platform.store.commit_after_page(keys::INTAKE_PREFIX, both);
        let leader = Leader::run(platform).await;
        leader.wait_for_phase(JobId::new(14), Phase::Canceled).await;
        leader.wait_for_start(JobId::new(13)).await;
    });
}

/// A cancel must not end a later job with the id of the job that it was for.
#[rstest]
#[case::read_by_new_leader(true)]
#[case::read_after_lost_history(false)]
fn cancel_of_earlier_job_with_the_id(#[case] is_read_by_new_leader: bool) {
    run_local(async {
        let platform = Leader::prepare().await;
        commit(&platform.store, put_cancel(JOB)).await;
        let leader = if is_read_by_new_leader {
            commit(&platform.store, put_job(JOB)).await;
            Leader::run(platform).await
        } else {
            let leader = Leader::run(platform).await;
            leader.commit_unwatched(vec![put_job(JOB)]).await;
            leader
        };
        leader.wait_for_start(JOB).await;
        let phase = leader.view(JOB).await.map(|view| view.phase);
        assert_eq!(phase, Some(Phase::Active));
    });
}

/// Has a node cancel [`JOB`], which changes after the node has read it; returns the reply and
/// whether a cancel is stored.
async fn cancel_while(job_changes: Transaction) -> (PeerReply, bool) {
    let leader = Leader::run(Leader::prepare().await).await;
    commit(leader.store(), put_job(JOB)).await;
    leader
        .store()
        .commit_after_read_of(&keys::job(JOB), job_changes);
    let caller = Caller::anonymous();
    let reply = leader.call(PeerRequest::Cancel { job: JOB, caller }).await;
    let is_stored = leader.store().value(&keys::cancel(JOB)).is_some();
    (reply, is_stored)
}

/// The key of a cancel that was written after its job had been removed once stayed in the store,
/// and ended the next job with the id.
#[test]
fn cancel_of_job_removed_meanwhile() {
    run_local(async {
        let removed = Transaction::new().with_remove(keys::job(JOB));
        let (reply, is_stored) = cancel_while(removed).await;
        assert_eq!(reply, PeerReply::NoJob);
        assert!(!is_stored, "the cancel stays in the store");
    });
}

/// A job that has ended needs no cancel.
#[test]
fn cancel_of_job_ended_meanwhile() {
    run_local(async {
        let outcome = JobOutcome::new(Phase::Complete).to_bytes();
        let ended = Transaction::new().with_put(keys::job(JOB), outcome);
        let (reply, is_stored) = cancel_while(ended).await;
        assert_eq!(reply, PeerReply::Accepted);
        assert!(!is_stored, "the cancel stays in the store");
    });
}

/// A leader that has just removed a job's outcome once started the job when its id was submitted
/// again, though the node that took it had found the outcome.
#[test]
fn submit_of_ended_job_not_known() {
    run_local(async {
        let leader = Leader::run(Leader::prepare().await).await;
        let outcome = JobOutcome::new(Phase::Canceled).to_bytes();
        let ended = Transaction::new().with_put(keys::job(JOB), outcome);
        commit(leader.store(), ended).await;
        let version = one_queue_configuration().version;
        let reply = leader
            .call(PeerRequest::submit(JOB, record(), version))
            .await;
        assert_eq!(reply, PeerReply::Accepted);
        commit(leader.store(), put_job(OTHER_JOB)).await;
        leader.wait_for_start(OTHER_JOB).await;
        assert!(!leader.has_started(JOB), "the ended job was started");
    });
}
