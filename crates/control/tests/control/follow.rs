//! Following a prefix of the store.

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

/// Writes the wanted keys while following, until all were seen, and returns the number of
/// snapshots. The history is compacted after `compact_after` keys.
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
fn follow_compacted_history() {
    run_local(async {
        follow_keys(MemoryStore::new(), &["p/1", "p/2", "p/3"], 2).await;
    });
}

/// After a failed watch the next ones must not wait. A watch that was sent during an outage
/// kept hanging after the store had recovered, so a cancel that was only in the store was
/// handled too late.
#[test]
fn follow_after_failed_watches() {
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

/// A failed watch must not cause a new read of all pages. During an outage every node sent
/// such a read, with the long timeout of a large page; so for 3.5 s no node noticed that the
/// store had recovered, and none campaigned.
#[test]
fn follow_continues_without_snapshot() {
    run_local(async {
        let store = MemoryStore::new();
        put(&store, "p/0").await;
        store.fail_watches(2);
        let snapshots = follow_keys(store, &["p/1", "p/2"], 99).await;
        assert_eq!(snapshots, 1, "the watch continues from its last revision");
    });
}

/// After a failure a page is read only once a small call was answered.
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
        // The small call reads the leader item, since the followed items may be large.
        assert_eq!(store.item_keys(), [keys::LEADER, keys::LEADER]);
    });
}

/// A watch that ends without a change may still name a newer revision than that change, if
/// the store delivers changes late. Continuing from there would skip the change.
#[test]
fn follow_watch_skips_change() {
    run_local(async {
        let store = MemoryStore::new();
        put(&store, "p/0").await;
        store.hide_changes_from_watches(1);
        let following = follow_keys(store.clone(), &["p/1"], 99);
        let limit = std::time::Duration::from_secs(4);
        let followed = tokio::time::timeout(limit, following).await;
        assert!(followed.is_ok(), "p/1 was skipped");
    });
}

/// If a watch's answer is too large to be received (more than `ANSWER_LIMIT_BYTES` of
/// changes), the watch must not be repeated forever: the current items are smaller.
#[test]
fn follow_unanswerable_watch() {
    run_local(async {
        let store = MemoryStore::new();
        put(&store, "p/0").await;
        store.fail_watches(usize::MAX);
        let following = follow_keys(store.clone(), &["p/1"], 99);
        let limit = std::time::Duration::from_secs(4);
        let followed = tokio::time::timeout(limit, following).await;
        assert!(followed.is_ok(), "p/1 exists, but was never read");
    });
}
