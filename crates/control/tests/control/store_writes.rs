//! Intake and commits against a store that loses, refuses or delays transactions.

use crate::support::{run_local, MemoryStore, Treatment};
use ospreywing_control::commit::{lane_value, CommitLane, CommitOutcome};
use ospreywing_control::intake::{Intake, IntakeOutcome};
use ospreywing_control::{keys, Store, Transaction};
use ospreywing_scheduler::{Change, ChangeKind, JobId, JobOutcome, Phase, StoredJob};
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
