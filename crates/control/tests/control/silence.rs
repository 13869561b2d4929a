//! A store that is silent for a while, and calls that were sent meanwhile.

use crate::support::{run_local, MemoryStore};
use ospreywing_control::commit::{lane_value, CommitLane, CommitOutcome};
use ospreywing_control::intake::{Intake, IntakeOutcome};
use ospreywing_control::probed::ProbedStore;
use ospreywing_control::{keys, Store, StoreError, Transaction};
use ospreywing_scheduler::{Change, ChangeKind, JobId};
use ospreywing_types::Duration;

const FENCE: u64 = 9;
/// When the second call is sent, after the first.
const SECOND_AFTER: Duration = Duration::from_ms(100);
/// When the store answers again, after the first call has failed.
const BACK_AFTER: Duration = Duration::from_ms(100);
/// What does not come about within this time will not: a call that was sent in
/// the silence hangs for ever.
const TEST_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(60);

async fn sleep(time: Duration) {
    tokio::time::sleep(time.into()).await;
}

/// Lets the store be silent until it has failed one call and
/// [`BACK_AFTER`] has passed; returns when it is back.
async fn stop_answering_for_one_call(memory: MemoryStore, store: ProbedStore<MemoryStore>) {
    memory.set_silent(true);
    let failed = store.renew_lease(1).await;
    assert!(matches!(failed, Err(StoreError::Unknown(_))), "{failed:?}");
    sleep(BACK_AFTER).await;
    memory.set_silent(false);
}

/// Found on bluemahoe-ops trouble-3: the store was back after a silence of
/// 4.2 s, and nothing was accepted for 0.4 s, since what had been sent before
/// hung until its time limit.
#[test]
fn write_sent_in_silence() {
    run_local(async {
        let memory = MemoryStore::new();
        let store = ProbedStore::new(memory.clone());
        let intake = Intake::new(store.clone());
        let runner = intake.clone();
        tokio::task::spawn_local(async move { runner.run().await });
        let silence = tokio::task::spawn_local(stop_answering_for_one_call(memory, store));
        sleep(SECOND_AFTER).await;
        let writer = intake.clone();
        let write =
            tokio::task::spawn_local(
                async move { writer.write("k".to_owned(), b"job".to_vec()).await },
            );
        silence.await.expect("the store is back");
        let outcome = tokio::time::timeout(TEST_TIMEOUT, write).await;
        let outcome = outcome.expect("the write is made again");
        assert_eq!(outcome.expect("a write"), IntakeOutcome::Stored);
    });
}

#[test]
fn commit_sent_in_silence() {
    run_local(async {
        let memory = MemoryStore::new();
        let store = ProbedStore::new(memory.clone());
        let begin = Transaction::new().with_put(keys::lane(0), lane_value(FENCE, 0));
        let begun = store.commit(&begin).await.expect("the store answers");
        let lane = CommitLane::new(store.clone(), 0, FENCE, begun.revision);
        let silence = tokio::task::spawn_local(stop_answering_for_one_call(memory, store));
        sleep(SECOND_AFTER).await;
        let change = Change {
            job: JobId::new(1),
            kind: ChangeKind::Progress(b"progress".to_vec()),
        };
        let commit =
            tokio::task::spawn_local(async move { lane.commit(vec![change], || false).await });
        silence.await.expect("the store is back");
        let outcome = tokio::time::timeout(TEST_TIMEOUT, commit).await;
        let outcome = outcome.expect("the commit is made again");
        assert_eq!(outcome.expect("a commit"), CommitOutcome::Done);
    });
}

/// A transaction may be larger than a probe and take longer.
#[test]
fn commit_slower_than_probe() {
    run_local(async {
        let memory = MemoryStore::new();
        let store = ProbedStore::new(memory.clone());
        memory.set_commit_time(Duration::from_ms(80));
        stop_answering_for_one_call(memory, store.clone()).await;
        let write = Transaction::new().with_put("k", b"value".to_vec());
        for _ in 0..5 {
            let committed = store.commit(&write).await;
            assert!(committed.is_ok(), "{committed:?}");
        }
    });
}
