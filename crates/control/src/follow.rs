//! Following a part of the store: read it whole, then watch what changes.

use crate::store::{Item, Revision, Store, StoreError, Watched, WatchedChange};
use crate::{clock, keys};
use ospreywing_types::{Duration, Instant};

/// The time until a call that failed is made again.
const RETRY: Duration = Duration::from_ms(150);

/// The changes of an answer after which the next watch follows at once. An answer with fewer
/// holds all there were: a page of the store holds more.
pub const FULL_ANSWER_COUNT: usize = 200;

/// Failures in a row, beside answers to small calls, after which a watch is
/// given up and everything is read.
const FAILED_WATCHES_LIMIT_COUNT: u32 = 2;

/// How a part of the store is followed.
#[derive(Clone, Copy, Debug)]
pub struct FollowPolicy {
    /// How long a watch waits.
    pub wait: Duration,
    /// The time after which everything is read again, where it is.
    pub reread_after: Option<Duration>,
    /// The time between a watch that brought one change and the next. The more it brings,
    /// the shorter the time: a part of the store that changes often is followed as closely as
    /// one that changes rarely.
    pub max_pause: Duration,
    /// Whether a watch that failed is followed by reading what stands: a watch
    /// brings every version since, of which only the newest counts.
    pub rereads_after_failure: bool,
    /// Whether a watch that brought changes is followed by one that does not
    /// wait, which tells whether they are the newest.
    pub confirms_changes: bool,
}

impl FollowPolicy {
    /// Returns the time between a watch that brought so many changes and the next.
    ///
    /// Where changes come at a steady rate, an answer brings less than a full one however
    /// high the rate is, and the time shrinks with it.
    pub fn pause_after(&self, changes_count: usize) -> Duration {
        let left_count = FULL_ANSWER_COUNT.saturating_sub(changes_count) as u64;
        let pause_ms = self.max_pause.as_ms() * left_count / FULL_ANSWER_COUNT as u64;
        Duration::from_ms(pause_ms)
    }
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

/// Where a follower stands.
#[derive(Clone, Copy, Debug)]
struct Position {
    /// The revision from which the next watch goes on; without it everything
    /// is read.
    at: Option<Revision>,
    /// Where the last answer without changes would have gone on.
    empty_at: Option<Revision>,
    /// Watches in a row that failed right after a small call was answered.
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

    /// Goes on behind an answer.
    ///
    /// An answer without changes moves the position only as far as the one before
    /// it: a watch that ended while the store was behind with its changes would
    /// otherwise pass them over for good.
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

/// Asks once: for everything, or for the changes since.
///
/// After a failure a small call goes first, which tells whether the store
/// answers at all: a page is given much time, which an outage would use up, and
/// a watch that fails beside it has an answer that can't be taken in.
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

/// Follows a prefix until told to stop.
///
/// `on_update` is told each update with an instant from which on the store said so.
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
    mut on_update: impl FnMut(Update, Instant) -> Flow,
) {
    let mut position = Position::new(from);
    let mut read_at = clock::now();
    let mut is_failing = false;
    // What the caller knows may be old.
    let mut is_unconfirmed = policy.confirms_changes && from.is_some();
    loop {
        let asked_at = clock::now();
        // A call that waits may hang on after the store is back.
        let wait = if is_failing || is_unconfirmed {
            Duration::ZERO
        } else {
            policy.wait
        };
        let asked = fetch_update(&store, prefix, &mut position, wait, is_failing).await;
        let update = match asked {
            Ok(Some(update)) => update,
            Ok(None) => continue,
            Err(error) => Update::Failed(error),
        };
        is_failing = matches!(update, Update::Failed(_));
        is_unconfirmed = policy.confirms_changes && matches!(update, Update::Changes(_));
        let as_of = match &update {
            // The store waited before it said so.
            Update::Unchanged => clock::now().min(asked_at + wait),
            Update::Snapshot(_) | Update::Changes(_) | Update::Failed(_) => asked_at,
        };
        if matches!(update, Update::Snapshot(_)) {
            read_at = clock::now();
        }
        let is_unanswerable = position.unanswerable_count >= FAILED_WATCHES_LIMIT_COUNT;
        let reads_next = is_failing && policy.rereads_after_failure;
        if is_stale(policy, read_at) || is_unanswerable || reads_next {
            position.restart();
        }
        let pause = match &update {
            Update::Failed(_) => RETRY,
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
