//! The store as the product needs it: items with revisions, conditional
//! transactions, leases, watches.

use ospreywing_types::Duration;
use thiserror::Error;

/// The bytes of a transaction for which its call is given a millisecond more: 1 Mbit
/// a second, a tenth of the narrowest link that is planned for.
const SENT_PER_MS_BYTES: usize = 125;

/// Returns the time that a transaction of so many bytes may take on its way.
pub const fn transfer_time(len_bytes: usize) -> Duration {
    Duration::from_ms((len_bytes / SENT_PER_MS_BYTES) as u64)
}

/// A revision of the store; it rises with every change.
pub type Revision = u64;

/// A lease's number; 0 stands for none.
pub type LeaseId = u64;

/// A value that the store holds and that did not come whole.
///
/// It is neither an empty value nor a missing one, and the items beside it hold.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("the value can't be read: {0}")]
pub struct UnreadableValue(pub String);

/// A stored item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Its key.
    pub key: String,
    /// Its value, where that can be read.
    pub value: Result<Vec<u8>, UnreadableValue>,
    /// The revision of its last change.
    pub revision: Revision,
}

impl Item {
    /// Returns the value's bytes.
    ///
    /// # Errors
    ///
    /// Returns an [`UnreadableValue`] where they did not come whole.
    pub fn bytes(&self) -> Result<&[u8], UnreadableValue> {
        self.value.as_deref().map_err(Clone::clone)
    }

    /// Returns whether the value is this one.
    pub fn has_value(&self, value: &[u8]) -> bool {
        self.value.as_deref() == Ok(value)
    }
}

/// A page of items.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The items, by key.
    pub items: Vec<Item>,
    /// Whether more follow.
    pub has_more: bool,
    /// The store's revision.
    pub at: Revision,
}

/// One change that a watch brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchedChange {
    /// An item was written.
    Put(Item),
    /// An item is gone.
    Gone {
        /// Its key.
        key: String,
    },
}

/// What a watch brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Watched {
    /// The changes, oldest first; none where the time was up.
    pub changes: Vec<WatchedChange>,
    /// Where the next call goes on.
    pub at: Revision,
}

/// An item to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// The lease that it goes with; 0 for none.
    pub lease: LeaseId,
}

/// A transaction: all or nothing.
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

    /// Adds an item that goes with a lease.
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

/// A transaction that was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Committed {
    /// Its revision.
    pub revision: Revision,
}

/// A lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Its number.
    pub id: LeaseId,
    /// How long it holds from each renewal.
    pub ttl: Duration,
}

/// Why a call of the store brought nothing.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The store turned the call away: nothing was done.
    #[error("turned away: {0}")]
    Refused(String),
    /// There was no answer: the call may have been done, or may be done yet.
    #[error("no answer: {0}")]
    Unknown(String),
    /// The history that a watch asked for is gone.
    #[error("the history is gone")]
    Compacted,
    /// The lease is over.
    #[error("the lease is over")]
    LeaseOver,
}

/// Why a transaction was not seen to be done.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommitError {
    /// A condition did not hold; the items of the conditions as they are.
    #[error("a condition does not hold")]
    Conflict(Vec<Item>),
    /// See [`StoreError`].
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// The store.
#[allow(async_fn_in_trait, reason = "every node runs on one thread")]
pub trait Store: Clone + 'static {
    /// Waits before a call that failed is repeated; ends sooner where a silent
    /// store is seen to answer again.
    async fn pause(&self, length: Duration) {
        tokio::time::sleep(length.into()).await;
    }

    /// Reads an item.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] where there was no answer.
    async fn get(&self, key: &str) -> Result<Option<Item>, StoreError>;

    /// Reads a page of items whose keys have the prefix and follow `after`.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] where there was no answer.
    async fn range(&self, prefix: &str, after: Option<&str>) -> Result<Page, StoreError>;

    /// Waits up to `wait` for changes later than `from` below the prefix.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Compacted`] where the history is gone, another
    /// [`StoreError`] where there was no answer.
    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Watched, StoreError>;

    /// Does a transaction.
    ///
    /// # Errors
    ///
    /// Returns a [`CommitError`] where it was not seen to be done.
    async fn commit(&self, transaction: &Transaction) -> Result<Committed, CommitError>;

    /// Takes a lease.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] where there was no answer.
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseGrant, StoreError>;

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::LeaseOver`] where it is over.
    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Ends a lease, and its items with it.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] where there was no answer.
    async fn end_lease(&self, lease: LeaseId) -> Result<(), StoreError>;
}
