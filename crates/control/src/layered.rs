//! A store whose calls pass through a layer, such as for metrics or probes.

use crate::store::{
    CommitError, Committed, Item, LeaseGrant, LeaseId, Page, Revision, Store, StoreError,
    Transaction, Watched,
};
use ospreywing_types::Duration;
use std::future::Future;

/// The kind of a store call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads an item.
    Get,
    /// Reads a page of items.
    Range,
    /// Waits for changes.
    Watch,
    /// Commits a transaction.
    Commit {
        /// The length of the written keys and values.
        len_bytes: usize,
    },
    /// Grants a lease.
    GrantLease,
    /// Renews a lease.
    RenewLease,
    /// Ends a lease.
    EndLease,
}

impl StoreCall {
    /// Returns the label for metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::Range => "range",
            Self::Watch => "watch",
            Self::Commit { .. } => "commit",
            Self::GrantLease => "grant_lease",
            Self::RenewLease => "keep_lease",
            Self::EndLease => "end_lease",
        }
    }
}

/// An error of a store call; implemented by both error types of the store.
pub trait CallFailure: From<StoreError> {
    /// Returns the store's error; `None` if a condition of a transaction did not hold.
    fn store_error(&self) -> Option<&StoreError>;
}

impl CallFailure for StoreError {
    fn store_error(&self) -> Option<&StoreError> {
        Some(self)
    }
}

impl CallFailure for CommitError {
    fn store_error(&self) -> Option<&StoreError> {
        match self {
            Self::Store(error) => Some(error),
            Self::Conflict(_) => None,
        }
    }
}

/// A layer through which each call of a store passes.
#[allow(async_fn_in_trait, reason = "every node runs on one thread")]
pub trait StoreLayer: Clone + 'static {
    /// Makes the call by awaiting `future`.
    ///
    /// # Errors
    ///
    /// Returns the call's error, or one of the layer.
    async fn wrap_call<T, E: CallFailure>(
        &self,
        call: StoreCall,
        future: impl Future<Output = Result<T, E>>,
    ) -> Result<T, E>;

    /// Waits before a failed call is retried.
    async fn pause(&self, duration: Duration) {
        tokio::time::sleep(duration.into()).await;
    }
}

/// A store whose calls pass through a layer.
#[derive(Clone, Debug)]
pub struct LayeredStore<S, L> {
    store: S,
    layer: L,
}

impl<S: Store, L: StoreLayer> LayeredStore<S, L> {
    /// Creates a store that makes the calls of `store` through `layer`.
    pub const fn with_layer(store: S, layer: L) -> Self {
        Self { store, layer }
    }

    /// Returns the layer.
    pub const fn layer(&self) -> &L {
        &self.layer
    }
}

fn len_bytes_of(transaction: &Transaction) -> usize {
    let writes = transaction.put.iter();
    writes
        .map(|write| write.key.len() + write.value.len())
        .sum()
}

impl<S: Store, L: StoreLayer> Store for LayeredStore<S, L> {
    async fn pause(&self, duration: Duration) {
        self.layer.pause(duration).await;
    }

    async fn get(&self, key: &str) -> Result<Option<Item>, StoreError> {
        let future = self.store.get(key);
        self.layer.wrap_call(StoreCall::Get, future).await
    }

    async fn range(&self, prefix: &str, after: Option<&str>) -> Result<Page, StoreError> {
        let future = self.store.range(prefix, after);
        self.layer.wrap_call(StoreCall::Range, future).await
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Watched, StoreError> {
        let future = self.store.watch(prefix, from, wait);
        self.layer.wrap_call(StoreCall::Watch, future).await
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Committed, CommitError> {
        let len_bytes = len_bytes_of(transaction);
        let future = self.store.commit(transaction);
        self.layer
            .wrap_call(StoreCall::Commit { len_bytes }, future)
            .await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseGrant, StoreError> {
        let future = self.store.grant_lease(ttl);
        self.layer.wrap_call(StoreCall::GrantLease, future).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let future = self.store.renew_lease(lease);
        self.layer.wrap_call(StoreCall::RenewLease, future).await
    }

    async fn end_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let future = self.store.end_lease(lease);
        self.layer.wrap_call(StoreCall::EndLease, future).await
    }
}
