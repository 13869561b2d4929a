//! Following a part of the store.

use crate::support::{run_local, MemoryStore};
use ospreywing_control::follow::{follow, read_all, Flow, FollowPolicy, Update};
use ospreywing_control::{Store, Transaction, WatchedChange};
use ospreywing_types::Duration;
use std::collections::BTreeSet;

const POLICY: FollowPolicy = FollowPolicy {
    wait: Duration::from_ms(50),
    refresh: None,
    pace: Duration::ZERO,
};

async fn put(store: &MemoryStore, key: &str) {
    let transaction = Transaction::new().with_put(key, b"v".to_vec());
    store.commit(&transaction).await.expect("the store answers");
}

#[test]
fn read_all_more_than_a_page() {
    run_local(async {
        let store = MemoryStore::new();
        for key in ["p/1", "p/2", "p/3", "p/4", "p/5", "q/1"] {
            put(&store, key).await;
        }
        let (items, _) = read_all(&store, "p/").await.expect("the store answers");
        assert_eq!(items.len(), 5);
    });
}

/// Follows until every wanted key was seen; `compact_after` keys are written
/// before the history is dropped.
async fn follow_keys(store: MemoryStore, wanted: &[&str], compact_after: usize) -> usize {
    let writer = store.clone();
    let keys: Vec<String> = wanted.iter().map(ToString::to_string).collect();
    tokio::task::spawn_local(async move {
        for (number, key) in keys.iter().enumerate() {
            put(&writer, key).await;
            if number + 1 == compact_after {
                put(&writer, "q/other").await;
                writer.compact();
            }
            tokio::time::sleep(std::time::Duration::from_millis(3)).await;
        }
    });
    let mut seen: BTreeSet<String> = BTreeSet::new();
    let mut snapshots_count = 0;
    follow(store, "p/", POLICY, None, |update| {
        match update {
            Update::Snapshot(items) => {
                snapshots_count += 1;
                seen.extend(items.into_iter().map(|item| item.key));
            }
            Update::Changes(changes) => {
                for change in changes {
                    if let WatchedChange::Put(item) = change {
                        seen.insert(item.key);
                    }
                }
            }
            Update::Unchanged | Update::Failed(_) => {}
        }
        if wanted.iter().all(|key| seen.contains(*key)) {
            Flow::Stop
        } else {
            Flow::Continue
        }
    })
    .await;
    snapshots_count
}

#[test]
fn follow_changes() {
    run_local(async {
        let snapshots = follow_keys(MemoryStore::new(), &["p/1", "p/2", "p/3"], 99).await;
        assert_eq!(snapshots, 1);
    });
}

#[test]
fn follow_history_dropped() {
    run_local(async {
        follow_keys(MemoryStore::new(), &["p/1", "p/2", "p/3"], 2).await;
    });
}

/// Found on swaramala-ow trouble-3 937447387656: a watch that was begun while
/// the store was silent hung on after it was back, and a cancel that only the
/// store knew of came too late.
#[test]
fn follow_store_was_silent() {
    run_local(async {
        let store = MemoryStore::new();
        put(&store, "p/0").await;
        store.fail_watches(2);
        follow_keys(store.clone(), &["p/1", "p/2"], 99).await;
        let waits = store.watch_waits();
        assert_eq!(waits[0], POLICY.wait);
        assert_eq!(waits[1..3], [Duration::ZERO, Duration::ZERO]);
    });
}
