//! Follows a key prefix of the store: reads it whole, then watches for changes.

use crate::store::{Item, Revision, Store, StoreError, Watched, WatchedChange};
use crate::{clock, keys};
use ospreywing_types::{Duration, Instant};

/// The pause before a failed call is retried.
const RETRY_PAUSE: Duration = Duration::from_ms(150);

/// The number of changes in an answer from which the next watch follows without a pause. An
/// answer with fewer changes is complete, since the store's pages hold more.
pub const FULL_ANSWER_COUNT: usize = 200;

/// The watches in a row that may fail, each right after a small call was answered, before
/// the prefix is read whole instead.
const FAILED_WATCHES_LIMIT_COUNT: u32 = 2;

/// How a prefix of the store is followed.
#[derive(Clone, Copy, Debug)]
pub struct FollowPolicy {
    /// How long a watch waits for changes.
    pub wait: Duration,
    /// The time after which everything is read again, if set.
    pub reread_after: Option<Duration>,
    /// The longest pause between a watch with changes and the next. The more changes an
    /// answer holds, the shorter the pause, so that the view of a prefix with many changes is
    /// no more behind than that of one with few.
    pub max_pause: Duration,
    /// Whether everything is read again after a failed watch. A watch returns every version
    /// since its revision, of which only the newest matters.
    pub rereads_after_failure: bool,
    /// Whether a watch with changes is followed by one that does not wait, which shows
    /// whether there are newer ones.
    pub confirms_changes: bool,
}

impl FollowPolicy {
    /// Returns the pause between a watch with `changes_count` changes and the next.
    ///
    /// At a steady rate of changes the answers stay below a full one however high the rate
    /// is, since the pause shrinks with it.
    pub fn pause_after(&self, changes_count: usize) -> Duration {
        let left_count = FULL_ANSWER_COUNT.saturating_sub(changes_count) as u64;
        let pause_ms = self.max_pause.as_ms() * left_count / FULL_ANSWER_COUNT as u64;
        Duration::from_ms(pause_ms)
    }
}

/// One update of a followed prefix.
#[derive(Clone, Debug)]
pub enum Update {
    /// All items.
    Snapshot(Vec<Item>),
    /// The changes since the last update.
    Changes(Vec<WatchedChange>),
    /// The store answered, and there are no changes.
    Unchanged,
    /// The call failed.
    Failed(StoreError),
}

/// Whether to continue following.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// Continue following.
    Continue,
    /// Stop following.
    Stop,
}

/// Reads all items under a prefix, page by page.
///
/// The returned revision is that of the first page, so that a watch from there
/// misses no change that happened while later pages were read.
///
/// # Errors
///
/// Returns a [`StoreError`] if a page can't be read.
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

/// A follower's position in the store's history.
#[derive(Clone, Copy, Debug)]
struct Position {
    /// The revision from which the next watch continues; `None` to read everything.
    at: Option<Revision>,
    /// The next revision that the last answer named, if it held no changes.
    empty_at: Option<Revision>,
    /// The watches in a row that failed right after a small call was answered.
    unanswerable_count: u32,
}

impl Position {
    const fn new(at: Option<Revision>) -> Self {
        Self {
            at,
            empty_at: None,
            unanswerable_count: 0,
        }
    }

    /// Advances the position after an answer.
    ///
    /// An answer without changes advances it only to the revision of the answer before. A
    /// watch may end while the store has not yet delivered its changes but already name the
    /// newest revision; continuing from there would skip these changes forever.
    fn advance(&mut self, from: Revision, watched: &Watched) {
        let at = watched.at.max(from);
        self.unanswerable_count = 0;
        if watched.changes.is_empty() {
            self.at = Some(self.empty_at.unwrap_or(from));
            self.empty_at = Some(at);
        } else {
            self.at = Some(at);
            self.empty_at = None;
        }
    }

    fn restart(&mut self) {
        *self = Self::new(None);
    }
}

/// Fetches one update: all items, or the changes since the position.
///
/// After a failure a small call is made first, to see whether the store answers at all.
/// A page has a long timeout, which would be wasted in an outage. And if a watch fails
/// although the small call is answered, its answer is too large to be received.
async fn fetch_update<S: Store>(
    store: &S,
    prefix: &str,
    position: &mut Position,
    wait: Duration,
    is_failing: bool,
) -> Result<Option<Update>, StoreError> {
    if is_failing {
        store.get(keys::LEADER).await?;
    }
    let Some(from) = position.at else {
        let (items, revision) = read_all(store, prefix).await?;
        *position = Position::new(Some(revision));
        return Ok(Some(Update::Snapshot(items)));
    };
    match store.watch(prefix, from, wait).await {
        Ok(watched) => {
            position.advance(from, &watched);
            if watched.changes.is_empty() {
                Ok(Some(Update::Unchanged))
            } else {
                Ok(Some(Update::Changes(watched.changes)))
            }
        }
        Err(StoreError::Compacted) => {
            position.restart();
            Ok(None)
        }
        Err(error) => {
            if is_failing {
                position.unanswerable_count += 1;
            }
            Err(error)
        }
    }
}

/// Follows a prefix until `on_update` returns [`Flow::Stop`].
///
/// `on_update` is called with each update and an instant as of which it is valid. If there are
/// changes, this is the start of the call, not the arrival of the answer, which depends on the
/// answer's size and on the node's link.
///
/// `from` is the revision up to which the caller knows all changes; without it
/// everything is read first.
pub async fn follow<S: Store>(
    store: S,
    prefix: &str,
    policy: FollowPolicy,
    from: Option<Revision>,
    mut on_update: impl FnMut(Update, Instant) -> Flow,
) {
    let mut position = Position::new(from);
    let mut read_at = clock::now();
    let mut is_failing = false;
    // The caller's state may be outdated.
    let mut is_unconfirmed = policy.confirms_changes && from.is_some();
    loop {
        let sent_at = clock::now();
        // A watch that waits might keep hanging after the store has recovered.
        let wait = if is_failing || is_unconfirmed {
            Duration::ZERO
        } else {
            policy.wait
        };
        let fetched = fetch_update(&store, prefix, &mut position, wait, is_failing).await;
        let update = match fetched {
            Ok(Some(update)) => update,
            Ok(None) => continue,
            Err(error) => Update::Failed(error),
        };
        is_failing = matches!(update, Update::Failed(_));
        is_unconfirmed = policy.confirms_changes && matches!(update, Update::Changes(_));
        let as_of = match &update {
            // The store answered this at the end of its wait.
            Update::Unchanged => clock::now().min(sent_at + wait),
            Update::Snapshot(_) | Update::Changes(_) | Update::Failed(_) => sent_at,
        };
        if matches!(update, Update::Snapshot(_)) {
            read_at = clock::now();
        }
        let is_unanswerable = position.unanswerable_count >= FAILED_WATCHES_LIMIT_COUNT;
        let rereads_next = is_failing && policy.rereads_after_failure;
        if is_stale(policy, read_at) || is_unanswerable || rereads_next {
            position.restart();
        }
        let pause = match &update {
            Update::Failed(_) => RETRY_PAUSE,
            Update::Changes(changes) => policy.pause_after(changes.len()),
            Update::Snapshot(_) | Update::Unchanged => Duration::ZERO,
        };
        if on_update(update, as_of) == Flow::Stop {
            return;
        }
        if is_failing {
            store.pause(pause).await;
        } else if pause != Duration::ZERO {
            tokio::time::sleep(pause.into()).await;
        }
    }
}

fn is_stale(policy: FollowPolicy, read_at: Instant) -> bool {
    let reread_after = policy.reread_after;
    reread_after.is_some_and(|reread_after| clock::now().since(read_at) >= reread_after)
}
