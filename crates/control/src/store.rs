//! The interface to the store: items with revisions, conditional transactions, leases and
//! watches.

use ospreywing_types::Duration;
use thiserror::Error;

/// The bytes of a transaction for which its timeout grows by a millisecond: 1 Mbit/s, a
/// tenth of the narrowest supported link.
const SENT_PER_MS_BYTES: usize = 125;

/// Returns the time that a transaction of `len_bytes` bytes may take to be sent.
pub const fn transfer_time(len_bytes: usize) -> Duration {
    Duration::from_ms((len_bytes / SENT_PER_MS_BYTES) as u64)
}

/// A revision of the store; it increases with every change.
pub type Revision = u64;

/// The id of a lease; 0 means none.
pub type LeaseId = u64;

/// A stored value that was not received whole.
///
/// It is neither an empty value nor a missing one, and the other items of the answer are
/// valid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("the value can't be read: {0}")]
pub struct UnreadableValue(pub String);

/// A stored item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Its key.
    pub key: String,
    /// Its value, if it could be read.
    pub value: Result<Vec<u8>, UnreadableValue>,
    /// The revision of its last change.
    pub revision: Revision,
}

impl Item {
    /// Returns the value's bytes.
    ///
    /// # Errors
    ///
    /// Returns an [`UnreadableValue`] if they were not received whole.
    pub fn bytes(&self) -> Result<&[u8], UnreadableValue> {
        self.value.as_deref().map_err(Clone::clone)
    }

    /// Returns whether the item has this value.
    pub fn has_value(&self, value: &[u8]) -> bool {
        self.value.as_deref() == Ok(value)
    }
}

/// A page of items.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The items, in the order of their keys.
    pub items: Vec<Item>,
    /// Whether there are more items after these.
    pub has_more: bool,
    /// The store's revision at which the page was read.
    pub at: Revision,
}

/// A change that a watch returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchedChange {
    /// An item was written.
    Put(Item),
    /// An item was removed.
    Gone {
        /// Its key.
        key: String,
    },
}

/// The answer of a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Watched {
    /// The changes, oldest first; empty if the watch timed out.
    pub changes: Vec<WatchedChange>,
    /// The revision from which the next watch continues.
    pub at: Revision,
}

/// An item to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// The lease with which it is removed; 0 for none.
    pub lease: LeaseId,
}

/// A transaction: if all conditions hold, all changes are made, otherwise none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys and the revisions that they must have; 0 for a key that must not exist.
    pub expect: Vec<(String, Revision)>,
    /// Items to be written.
    pub put: Vec<Write>,
    /// Keys to be removed.
    pub remove: Vec<String>,
}

impl Transaction {
    /// Creates an empty transaction.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a condition.
    pub fn with_expect(mut self, key: impl Into<String>, revision: Revision) -> Self {
        self.expect.push((key.into(), revision));
        self
    }

    /// Adds an item that stays until it is removed.
    pub fn with_put(self, key: impl Into<String>, value: Vec<u8>) -> Self {
        self.with_leased_put(key, value, 0)
    }

    /// Adds an item that is removed with a lease.
    pub fn with_leased_put(
        mut self,
        key: impl Into<String>,
        value: Vec<u8>,
        lease: LeaseId,
    ) -> Self {
        self.put.push(Write {
            key: key.into(),
            value,
            lease,
        });
        self
    }

    /// Adds a key to be removed.
    pub fn with_remove(mut self, key: impl Into<String>) -> Self {
        self.remove.push(key.into());
        self
    }
}

/// The result of a committed transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Committed {
    /// Its revision.
    pub revision: Revision,
}

/// A granted lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The lease's id.
    pub id: LeaseId,
    /// How long it is valid after each renewal.
    pub ttl: Duration,
}

/// Why a store call failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The store refused the call: nothing was done.
    #[error("turned away: {0}")]
    Refused(String),
    /// There was no answer: the call may have been applied, or may still be.
    #[error("no answer: {0}")]
    Unknown(String),
    /// The history from a watch's revision was compacted.
    #[error("the history since the revision was compacted")]
    Compacted,
    /// The lease has expired or was ended.
    #[error("the lease has ended")]
    LeaseOver,
}

/// Why a transaction is not known to be committed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommitError {
    /// A condition did not hold; contains the current items of the conditions' keys.
    #[error("a condition does not hold")]
    Conflict(Vec<Item>),
    /// The call failed.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// The platform's key-value store.
#[allow(async_fn_in_trait, reason = "every node runs on one thread")]
pub trait Store: Clone + 'static {
    /// Waits before a failed call is retried; returns earlier if the end of an outage is
    /// detected.
    async fn pause(&self, duration: Duration) {
        tokio::time::sleep(duration.into()).await;
    }

    /// Reads an item.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if there was no answer.
    async fn get(&self, key: &str) -> Result<Option<Item>, StoreError>;

    /// Reads a page of items whose keys have the prefix and follow `after`.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if there was no answer.
    async fn range(&self, prefix: &str, after: Option<&str>) -> Result<Page, StoreError>;

    /// Waits up to `wait` for changes after revision `from` to keys with the prefix.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Compacted`] if the history since `from` was compacted, another
    /// [`StoreError`] if there was no answer.
    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Watched, StoreError>;

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// Returns a [`CommitError`] if it is not known to be committed.
    async fn commit(&self, transaction: &Transaction) -> Result<Committed, CommitError>;

    /// Grants a lease.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if there was no answer.
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseGrant, StoreError>;

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::LeaseOver`] if the lease has ended, another [`StoreError`] if there
    /// was no answer.
    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Ends a lease and removes its items.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if there was no answer.
    async fn end_lease(&self, lease: LeaseId) -> Result<(), StoreError>;
}
