//! Calls that are sent during an outage of the store.

use crate::support::{run_local, MemoryStore};
use ospreywing_control::commit::{lane_value, CommitLane, CommitOutcome};
use ospreywing_control::intake::{Intake, IntakeOutcome};
use ospreywing_control::probed::ProbedStore;
use ospreywing_control::{keys, Store, StoreError, Transaction};
use ospreywing_scheduler::{Change, ChangeKind, JobId};
use ospreywing_types::Duration;

const FENCE: u64 = 9;
/// The time from the first call to the second one.
const SECOND_AFTER: Duration = Duration::from_ms(100);
/// The time from the failure of the first call until the store recovers.
const RECOVERY_AFTER: Duration = Duration::from_ms(100);
/// The time after which a call is taken to hang: one that is sent in the outage hangs forever.
const TEST_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(60);

async fn sleep(time: Duration) {
    tokio::time::sleep(time.into()).await;
}

/// Makes the store unresponsive until one call has failed and [`RECOVERY_AFTER`] has passed;
/// returns when it has recovered.
async fn unresponsive_for_one_call(memory: MemoryStore, store: ProbedStore<MemoryStore>) {
    memory.set_unresponsive(true);
    let failed = store.renew_lease(1).await;
    assert!(matches!(failed, Err(StoreError::Unknown(_))), "{failed:?}");
    sleep(RECOVERY_AFTER).await;
    memory.set_unresponsive(false);
}

/// A write that was sent in an outage is retried as soon as the store recovers. After an
/// outage of 4.2 s no job was accepted for another 0.4 s, since the calls that were sent
/// before kept hanging until their timeouts.
#[test]
fn write_sent_in_outage() {
    run_local(async {
        let memory = MemoryStore::new();
        let store = ProbedStore::new(memory.clone());
        let intake = Intake::new(store.clone());
        let runner = intake.clone();
        tokio::task::spawn_local(async move { runner.run().await });
        let outage = tokio::task::spawn_local(unresponsive_for_one_call(memory, store));
        sleep(SECOND_AFTER).await;
        let writer = intake.clone();
        let write =
            tokio::task::spawn_local(
                async move { writer.write("k".to_owned(), b"job".to_vec()).await },
            );
        outage.await.expect("the store is back");
        let outcome = tokio::time::timeout(TEST_TIMEOUT, write).await;
        let outcome = outcome.expect("the write is made again");
        assert_eq!(outcome.expect("a write"), IntakeOutcome::Stored);
    });
}

#[test]
fn commit_sent_in_outage() {
    run_local(async {
        let memory = MemoryStore::new();
        let store = ProbedStore::new(memory.clone());
        let begin = Transaction::new().with_put(keys::lane(0), lane_value(FENCE, 0));
        let begun = store.commit(&begin).await.expect("the store answers");
        let lane = CommitLane::new(store.clone(), 0, FENCE, begun.revision);
        let outage = tokio::task::spawn_local(unresponsive_for_one_call(memory, store));
        sleep(SECOND_AFTER).await;
        let change = Change {
            job: JobId::new(1),
            kind: ChangeKind::Progress(b"progress".to_vec()),
        };
        let commit =
            tokio::task::spawn_local(async move { lane.commit(vec![change], || false).await });
        outage.await.expect("the store is back");
        let outcome = tokio::time::timeout(TEST_TIMEOUT, commit).await;
        let outcome = outcome.expect("the commit is made again");
        assert_eq!(outcome.expect("a commit"), CommitOutcome::Done);
    });
}

/// A transaction that takes longer than a probe is not abandoned: it may be larger.
#[test]
fn commit_slower_than_probe() {
    run_local(async {
        let memory = MemoryStore::new();
        let store = ProbedStore::new(memory.clone());
        memory.set_commit_time(Duration::from_ms(80));
        unresponsive_for_one_call(memory, store.clone()).await;
        let write = Transaction::new().with_put("k", b"value".to_vec());
        for _ in 0..5 {
            let committed = store.commit(&write).await;
            assert!(committed.is_ok(), "{committed:?}");
        }
    });
}
