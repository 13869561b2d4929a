//! The leader's commits, one transaction at a time in each lane.
//!
//! Each transaction of a lane writes the lane's key, on the condition that the key has
//! the revision of the transaction before. So a transaction that arrives late, or is sent
//! by a former leader, finds another revision and has no effect.

use crate::keys;
use crate::store::{CommitError, Revision, Store, Transaction};
use ospreywing_scheduler::{Change, ChangeKind};
use ospreywing_types::Duration;
use std::cell::Cell;
use std::rc::Rc;

/// The pause before a failed commit is retried.
const RETRY_PAUSE: Duration = Duration::from_ms(60);

/// The outcome of a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The changes are in the store.
    Done,
    /// Another leader has written the lane's key, or the term is over.
    Lost,
}

/// A sequence of the leader's commits, independent of the other lanes.
pub struct CommitLane<S> {
    store: S,
    number: u32,
    fence: u64,
    revision: Cell<Revision>,
    sequence: Cell<u64>,
}

/// Returns the value of a lane's key after commit `sequence` of the term with this fence.
pub fn lane_value(fence: u64, sequence: u64) -> Vec<u8> {
    format!("{fence}.{sequence}").into_bytes()
}

impl<S: Store> CommitLane<S> {
    /// Creates a lane whose key has the given revision.
    pub fn new(store: S, number: u32, fence: u64, revision: Revision) -> Rc<Self> {
        Rc::new(Self {
            store,
            number,
            fence,
            revision: Cell::new(revision),
            sequence: Cell::new(0),
        })
    }

    /// Commits changes, and retries until they are certainly stored or another leader has
    /// written the lane's key. After a failed call it also stops once `is_over` returns true.
    pub async fn commit(&self, changes: Vec<Change>, is_over: impl Fn() -> bool) -> CommitOutcome {
        let key = keys::lane(self.number);
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        let value = lane_value(self.fence, sequence);
        let transaction = transaction_of(&key, self.revision.get(), &value, changes);
        loop {
            match self.store.commit(&transaction).await {
                Ok(committed) => {
                    self.revision.set(committed.revision);
                    return CommitOutcome::Done;
                }
                Err(CommitError::Conflict(items)) => {
                    let item = items.into_iter().find(|item| item.key == key);
                    let Some(item) = item.filter(|item| item.has_value(&value)) else {
                        return CommitOutcome::Lost;
                    };
                    // An earlier attempt of this transaction succeeded, but its answer was lost.
                    self.revision.set(item.revision);
                    return CommitOutcome::Done;
                }
                Err(CommitError::Store(_)) => {
                    if is_over() {
                        return CommitOutcome::Lost;
                    }
                    self.store.pause(RETRY_PAUSE).await;
                }
            }
        }
    }
}

fn transaction_of(
    key: &str,
    revision: Revision,
    value: &[u8],
    changes: Vec<Change>,
) -> Transaction {
    let mut transaction = Transaction::new()
        .with_expect(key, revision)
        .with_put(key, value.to_vec());
    for change in changes {
        let state_key = keys::state(change.job);
        transaction = match change.kind {
            ChangeKind::Progress(state) => transaction.with_put(state_key, state),
            ChangeKind::Outcome(outcome) => transaction
                .with_put(keys::job(change.job), outcome)
                .with_remove(state_key),
            ChangeKind::Forget => transaction
                .with_remove(state_key)
                .with_remove(keys::job(change.job))
                .with_remove(keys::cancel(change.job)),
        };
    }
    transaction
}
