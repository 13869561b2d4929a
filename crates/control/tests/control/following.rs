//! Following a part of the store.

use crate::support::{run_local, MemoryStore, Read};
use ospreywing_control::follow::{follow, read_all, Flow, FollowPolicy, Update};
use ospreywing_control::{keys, Store, Transaction, WatchedChange};
use ospreywing_types::Duration;
use std::collections::BTreeSet;

const POLICY: FollowPolicy = FollowPolicy {
    wait: Duration::from_ms(50),
    reread_after: None,
    max_pause: Duration::ZERO,
    confirms_changes: false,
    rereads_after_failure: false,
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
    let refreshing = FollowPolicy {
        reread_after: Some(Duration::from_s(60)),
        ..POLICY
    };
    follow(store, "p/", refreshing, None, |update, _| {
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

/// Found on the grown gallery's scale-1: after a failed watch every node read
/// all pages again, with the time limit of a large page, while the store was
/// silent; so nobody learned for 3.5 s that it was back and stood for leader.
#[test]
fn follow_goes_on_after_a_failed_watch() {
    run_local(async {
        let store = MemoryStore::new();
        put(&store, "p/0").await;
        store.fail_watches(2);
        let snapshots = follow_keys(store, &["p/1", "p/2"], 99).await;
        assert_eq!(snapshots, 1, "the watch goes on from where it was");
    });
}

/// A page is asked for only once a small call was answered.
#[test]
fn follow_first_read_fails() {
    run_local(async {
        let store = MemoryStore::new();
        put(&store, "p/0").await;
        store.fail_reads(2);
        follow_keys(store.clone(), &["p/1"], 99).await;
        let reads = store.reads();
        assert_eq!(reads[..3], [Read::Page, Read::Item, Read::Item]);
        assert_eq!(reads[3], Read::Page);
        // What is followed may be large.
        assert_eq!(store.item_keys(), [keys::LEADER, keys::LEADER]);
    });
}

/// A watch can end while the store is behind with its changes, and still name
/// the newest revision.
#[test]
fn follow_watch_that_passed_a_change_over() {
    run_local(async {
        let store = MemoryStore::new();
        put(&store, "p/0").await;
        store.hide_changes_from_watches(1);
        let following = follow_keys(store.clone(), &["p/1"], 99);
        let limit = std::time::Duration::from_secs(4);
        let followed = tokio::time::timeout(limit, following).await;
        assert!(followed.is_ok(), "p/1 was passed over");
    });
}

/// A watch whose answer can never be taken in (more than `ANSWER_LIMIT_BYTES` of
/// changes since) must not be asked for again for ever: what stands is smaller.
#[test]
fn follow_watch_that_is_never_answered() {
    run_local(async {
        let store = MemoryStore::new();
        put(&store, "p/0").await;
        store.fail_watches(usize::MAX);
        let following = follow_keys(store.clone(), &["p/1"], 99);
        let limit = std::time::Duration::from_secs(4);
        let followed = tokio::time::timeout(limit, following).await;
        assert!(followed.is_ok(), "p/1 is there, and was never read");
    });
}
