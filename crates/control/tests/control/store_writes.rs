//! Intake and commits against a store that loses, refuses or delays transactions.

use crate::support::{run_local, MemoryStore, Treatment};
use ospreywing_control::commit::{lane_value, CommitLane, CommitOutcome};
use ospreywing_control::intake::{Intake, IntakeOutcome, Requirement};
use ospreywing_control::{keys, Revision, Store, Transaction};
use ospreywing_scheduler::{Change, ChangeKind, JobId, JobOutcome, JobRecord, Phase, StoredJob};
use rstest::rstest;

const FENCE: u64 = 9;

#[rstest]
#[case::answered(&[], IntakeOutcome::Stored)]
#[case::answer_lost(&[Treatment::Lose], IntakeOutcome::Stored)]
#[case::refused_once(&[Treatment::Refuse], IntakeOutcome::Stored)]
#[case::delayed_once(&[Treatment::Delay], IntakeOutcome::Stored)]
#[case::always_refused(&[Treatment::Refuse; 60], IntakeOutcome::NotStored)]
#[case::never_answered(&[Treatment::Delay; 60], IntakeOutcome::Unknown)]
#[case::delayed_then_refused(
    &[&[Treatment::Delay][..], &[Treatment::Refuse; 60][..]].concat(),
    IntakeOutcome::Unknown
)]
fn write_to_failing_store(#[case] treatments: &[Treatment], #[case] expected: IntakeOutcome) {
    run_local(async {
        let store = MemoryStore::new();
        store.set_treatments(treatments);
        let intake = Intake::new(store.clone());
        let runner = intake.clone();
        tokio::task::spawn_local(async move { runner.run().await });
        let outcome = intake.write("k".to_owned(), b"first".to_vec()).await;
        assert_eq!(outcome, expected);
        store.apply_delayed();
        // A delayed write must not replace the stored value.
        let again = intake.write("k".to_owned(), b"second".to_vec()).await;
        if expected == IntakeOutcome::Stored {
            assert_eq!(again, IntakeOutcome::Exists(b"first".to_vec()));
            assert_eq!(store.value("k"), Some(b"first".to_vec()));
        }
    });
}

#[test]
fn write_group_with_existing_key() {
    run_local(async {
        let store = MemoryStore::new();
        let known = Transaction::new().with_put("b", b"known".to_vec());
        store.commit(&known).await.expect("the store answers");
        let intake = Intake::new(store.clone());
        let writes = ["a", "b", "c"].map(|key| {
            let intake = intake.clone();
            tokio::task::spawn_local(async move { intake.write(key.to_owned(), key.into()).await })
        });
        let runner = intake.clone();
        tokio::task::spawn_local(async move { runner.run().await });
        let expected = [
            IntakeOutcome::Stored,
            IntakeOutcome::Exists(b"known".to_vec()),
            IntakeOutcome::Stored,
        ];
        for (write, expected) in writes.into_iter().zip(expected) {
            assert_eq!(write.await.expect("a write"), expected);
        }
        assert_eq!(store.value("a"), Some(b"a".to_vec()));
        assert_eq!(store.value("b"), Some(b"known".to_vec()));
        assert_eq!(store.value("c"), Some(b"c".to_vec()));
    });
}

async fn lane_of(store: &MemoryStore, fence: u64) -> std::rc::Rc<CommitLane<MemoryStore>> {
    let begin = Transaction::new().with_put(keys::lane(0), lane_value(fence, 0));
    let begun = store.commit(&begin).await.expect("the store answers");
    CommitLane::new(store.clone(), 0, fence, begun.revision)
}

fn change(text: &str) -> Vec<Change> {
    vec![Change {
        job: JobId::new(1),
        kind: ChangeKind::Progress(text.as_bytes().to_vec()),
    }]
}

#[rstest]
#[case::answered(&[])]
#[case::answer_lost(&[Treatment::Lose])]
#[case::refused(&[Treatment::Refuse, Treatment::Refuse])]
#[case::delayed(&[Treatment::Delay, Treatment::Delay])]
fn commit_to_failing_store(#[case] treatments: &[Treatment]) {
    run_local(async {
        let store = MemoryStore::new();
        let lane = lane_of(&store, FENCE).await;
        store.set_treatments(treatments);
        let first = lane.commit(change("first"), || false).await;
        let second = lane.commit(change("second"), || false).await;
        assert_eq!((first, second), (CommitOutcome::Done, CommitOutcome::Done));
        // A delayed commit must not restore an earlier state.
        store.apply_delayed();
        assert_eq!(
            store.value(&keys::state(JobId::new(1))),
            Some(b"second".to_vec())
        );
        let third = lane.commit(change("third"), || false).await;
        assert_eq!(third, CommitOutcome::Done);
    });
}

#[test]
fn commit_after_other_leader() {
    run_local(async {
        let store = MemoryStore::new();
        let lane = lane_of(&store, FENCE).await;
        assert_eq!(
            lane.commit(change("old"), || false).await,
            CommitOutcome::Done
        );
        let _next = lane_of(&store, FENCE + 5).await;
        assert_eq!(
            lane.commit(change("late"), || false).await,
            CommitOutcome::Lost
        );
        assert_eq!(
            store.value(&keys::state(JobId::new(1))),
            Some(b"old".to_vec())
        );
    });
}

#[test]
fn commit_forgotten_job() {
    run_local(async {
        let store = MemoryStore::new();
        let lane = lane_of(&store, FENCE).await;
        let id = JobId::new(1);
        let accepted = Transaction::new().with_put(keys::job(id), b"job".to_vec());
        store.commit(&accepted).await.expect("the store answers");
        lane.commit(change("done"), || false).await;
        let forget = vec![Change {
            job: id,
            kind: ChangeKind::Forget,
        }];
        assert_eq!(lane.commit(forget, || false).await, CommitOutcome::Done);
        assert_eq!(store.value(&keys::job(id)), None);
        assert_eq!(store.value(&keys::state(id)), None);
    });
}

/// The outcome of a job replaces the accepted job, which is much larger. While
/// accepted jobs were kept, a new leader on a narrow link took 2.7 s to read 2,069 of them,
/// most of which had ended.
#[test]
fn commit_outcome_replaces_job() {
    run_local(async {
        let store = MemoryStore::new();
        let lane = lane_of(&store, FENCE).await;
        let id = JobId::new(1);
        let accepted = Transaction::new().with_put(keys::job(id), vec![0; 4000]);
        store.commit(&accepted).await.expect("the store answers");
        lane.commit(change("progress"), || false).await;
        let outcome = vec![Change {
            job: id,
            kind: ChangeKind::Outcome(JobOutcome::new(Phase::Complete).to_bytes()),
        }];
        assert_eq!(lane.commit(outcome, || false).await, CommitOutcome::Done);
        assert_eq!(store.value(&keys::state(id)), None);
        let kept = store.value(&keys::job(id)).expect("the key stays");
        assert!(kept.len() < 8, "{} bytes", kept.len());
        let kept = StoredJob::from_bytes(&kept);
        assert_eq!(kept, Ok(StoredJob::Ended(JobOutcome::new(Phase::Complete))));
    });
}

/// The items of a job and of its cancel before the cancel is written.
struct Scene {
    store: MemoryStore,
    job: JobId,
    accepted_at: Revision,
}

impl Scene {
    /// Returns a store with an accepted job.
    async fn new() -> Self {
        let store = MemoryStore::new();
        let job = JobId::new(1);
        let accepted_at = put(&store, keys::job(job), JobRecord::default().to_bytes()).await;
        Self {
            store,
            job,
            accepted_at,
        }
    }

    /// Returns a store with an accepted job, and with the cancel of an earlier job with its id.
    async fn with_older_cancel() -> Self {
        let scene = Self::new().await;
        let Self { store, job, .. } = scene;
        put(&store, keys::cancel(job), Vec::new()).await;
        let remove = Transaction::new().with_remove(keys::job(job));
        store.commit(&remove).await.expect("the store answers");
        let accepted_at = put(&store, keys::job(job), JobRecord::default().to_bytes()).await;
        Self {
            store,
            job,
            accepted_at,
        }
    }

    /// Writes the cancel of the job as it was accepted.
    async fn write_cancel(&self) -> IntakeOutcome {
        let intake = Intake::new(self.store.clone());
        let runner = intake.clone();
        tokio::task::spawn_local(async move { runner.run().await });
        let requirement = Requirement {
            key: keys::job(self.job),
            revision: self.accepted_at,
        };
        let key = keys::cancel(self.job);
        intake.write_dependent(key, Vec::new(), requirement).await
    }

    async fn cancelled_at(&self) -> Option<Revision> {
        let item = self.store.get(&keys::cancel(self.job)).await;
        item.expect("the store answers").map(|item| item.revision)
    }
}

async fn put(store: &MemoryStore, key: String, value: Vec<u8>) -> Revision {
    let transaction = Transaction::new().with_put(key, value);
    let committed = store.commit(&transaction).await;
    committed.expect("the store answers").revision
}

#[rstest]
#[case::answered(&[], IntakeOutcome::Stored)]
#[case::answer_lost(&[Treatment::Lose], IntakeOutcome::Stored)]
#[case::refused_once(&[Treatment::Refuse], IntakeOutcome::Stored)]
#[case::always_refused(&[Treatment::Refuse; 60], IntakeOutcome::NotStored)]
fn write_cancel_to_failing_store(
    #[case] treatments: &[Treatment],
    #[case] expected: IntakeOutcome,
) {
    run_local(async {
        let scene = Scene::new().await;
        scene.store.set_treatments(treatments);
        assert_eq!(scene.write_cancel().await, expected);
        let is_stored = scene.cancelled_at().await.is_some();
        assert_eq!(is_stored, expected == IntakeOutcome::Stored);
    });
}

/// A cancel that was written after its job had been removed once remained in the store, and
/// ended the next job with the same id.
#[test]
fn write_cancel_of_removed_job() {
    run_local(async {
        let scene = Scene::new().await;
        let lane = lane_of(&scene.store, FENCE).await;
        let forget = vec![Change {
            job: scene.job,
            kind: ChangeKind::Forget,
        }];
        assert_eq!(lane.commit(forget, || false).await, CommitOutcome::Done);
        assert_eq!(
            scene.write_cancel().await,
            IntakeOutcome::RequirementChanged
        );
        assert_eq!(scene.cancelled_at().await, None);
    });
}

/// The store may carry a call out seconds after it was sent.
#[test]
fn write_cancel_applied_after_removal() {
    run_local(async {
        let scene = Scene::new().await;
        scene.store.set_treatments(&[Treatment::Delay; 60]);
        assert_eq!(scene.write_cancel().await, IntakeOutcome::Unknown);
        let remove = Transaction::new().with_remove(keys::job(scene.job));
        // The delays that are left over concern the next transactions.
        while scene.store.commit(&remove).await.is_err() {}
        scene.store.apply_delayed();
        assert_eq!(scene.cancelled_at().await, None);
    });
}

/// A cancel that an earlier version left behind must not stand for that of the later job.
#[test]
fn write_cancel_over_older_one() {
    run_local(async {
        let scene = Scene::with_older_cancel().await;
        assert!(scene.cancelled_at().await < Some(scene.accepted_at));
        assert_eq!(scene.write_cancel().await, IntakeOutcome::Stored);
        assert!(scene.cancelled_at().await > Some(scene.accepted_at));
    });
}

/// Cancels of several jobs share a transaction; one whose job was removed does not affect the
/// others.
#[test]
fn write_group_with_cancels() {
    run_local(async {
        let store = MemoryStore::new();
        let intake = Intake::new(store.clone());
        let mut writes = Vec::new();
        for number in 1..=25 {
            let key = keys::job(JobId::new(number));
            let revision = put(&store, key.clone(), b"job".to_vec()).await;
            let requirement = Requirement {
                key,
                // Every third job has changed since.
                revision: revision - u64::from(number % 3 == 0),
            };
            let intake = intake.clone();
            writes.push(tokio::task::spawn_local(async move {
                let key = keys::cancel(JobId::new(number));
                intake.write_dependent(key, Vec::new(), requirement).await
            }));
        }
        tokio::task::spawn_local(async move { intake.run().await });
        for (number, write) in (1..).zip(writes) {
            let outcome = write.await.expect("a write");
            let is_stored = store.value(&keys::cancel(JobId::new(number))).is_some();
            assert_eq!(is_stored, number % 3 != 0);
            let expected = match number % 3 {
                0 => IntakeOutcome::RequirementChanged,
                _ => IntakeOutcome::Stored,
            };
            assert_eq!(outcome, expected);
        }
    });
}
