//! Following a part of the store: read it whole, then watch what changes.

use crate::store::{Item, Revision, Store, StoreError, WatchedChange};
use crate::{clock, keys};
use ospreywing_types::{Duration, Instant};

/// The time until a call that failed is made again.
const RETRY: Duration = Duration::from_ms(150);

/// How a part of the store is followed.
#[derive(Clone, Copy, Debug)]
pub struct FollowPolicy {
    /// How long a watch waits.
    pub wait: Duration,
    /// The time after which everything is read again, where it is.
    pub refresh: Option<Duration>,
    /// The time between a watch that brought changes and the next.
    pub pace: Duration,
    /// Whether a watch that brought changes is followed by one that does not
    /// wait, which tells whether they are the newest.
    pub is_confirming: bool,
}

/// What a follower learned.
#[derive(Clone, Debug)]
pub enum Update {
    /// Everything, as it stands.
    Snapshot(Vec<Item>),
    /// What has changed since.
    Changes(Vec<WatchedChange>),
    /// The store answered and nothing has changed.
    Unchanged,
    /// The store did not answer.
    Failed(StoreError),
}

/// Whether to go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// Go on.
    Continue,
    /// Stop following.
    Stop,
}

/// Reads everything below a prefix, page by page.
///
/// The revision is that of the first page, so that a watch from there misses
/// nothing that a later page did not show.
///
/// # Errors
///
/// Returns a [`StoreError`] where a page did not come.
pub async fn read_all<S: Store>(
    store: &S,
    prefix: &str,
) -> Result<(Vec<Item>, Revision), StoreError> {
    let first = store.range(prefix, None).await?;
    let at = first.at;
    let mut items = first.items;
    let mut has_more = first.has_more;
    while has_more {
        let Some(last) = items.last().map(|item| item.key.clone()) else {
            break;
        };
        let page = store.range(prefix, Some(&last)).await?;
        has_more = page.has_more && !page.items.is_empty();
        items.extend(page.items);
    }
    Ok((items, at))
}

/// Reads everything, where the store answers a call for a small item first
/// after a failure: a page is given much time, which an outage would use up.
async fn read_again<S: Store>(
    store: &S,
    prefix: &str,
    is_failing: bool,
) -> Result<(Vec<Item>, Revision), StoreError> {
    if is_failing {
        store.get(keys::LEADER).await?;
    }
    read_all(store, prefix).await
}

/// Follows a prefix until told to stop.
///
/// `learn` is told each update with an instant from which on the store said so.
/// An answer was true at some moment after it was asked for; how long its last
/// byte then took is a matter of its size and of the node's link.
///
/// `from` is the revision up to which the caller knows everything; without it
/// everything is read first.
pub async fn follow<S: Store>(
    store: S,
    prefix: &str,
    policy: FollowPolicy,
    from: Option<Revision>,
    mut learn: impl FnMut(Update, Instant) -> Flow,
) {
    let mut at = from;
    let mut read_at = clock::now();
    let mut is_failing = false;
    let mut is_unconfirmed = false;
    loop {
        let asked_at = clock::now();
        // A call that waits may hang on after the store is back.
        let wait = if is_failing || is_unconfirmed {
            Duration::ZERO
        } else {
            policy.wait
        };
        let update = match at {
            None => match read_again(&store, prefix, is_failing).await {
                Ok((items, revision)) => {
                    at = Some(revision);
                    read_at = clock::now();
                    Update::Snapshot(items)
                }
                Err(error) => Update::Failed(error),
            },
            Some(revision) => match store.watch(prefix, revision, wait).await {
                Ok(watched) => {
                    at = Some(watched.at.max(revision));
                    if watched.changes.is_empty() {
                        Update::Unchanged
                    } else {
                        Update::Changes(watched.changes)
                    }
                }
                Err(StoreError::Compacted) => {
                    at = None;
                    continue;
                }
                Err(error) => Update::Failed(error),
            },
        };
        is_failing = matches!(update, Update::Failed(_));
        is_unconfirmed = policy.is_confirming && matches!(update, Update::Changes(_));
        let true_at = match &update {
            // The store waited before it said so.
            Update::Unchanged => clock::now().min(asked_at + wait),
            Update::Snapshot(_) | Update::Changes(_) | Update::Failed(_) => asked_at,
        };
        if is_stale(policy, read_at) {
            at = None;
        }
        let pause = match &update {
            Update::Failed(_) => RETRY,
            Update::Changes(_) => policy.pace,
            Update::Snapshot(_) | Update::Unchanged => Duration::ZERO,
        };
        if learn(update, true_at) == Flow::Stop {
            return;
        }
        if pause != Duration::ZERO {
            tokio::time::sleep(pause.into()).await;
        }
    }
}

fn is_stale(policy: FollowPolicy, read_at: Instant) -> bool {
    let refresh = policy.refresh;
    refresh.is_some_and(|refresh| clock::now().since(read_at) >= refresh)
}
