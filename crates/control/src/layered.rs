//! A store with a layer around its calls.

use crate::store::{
    CommitError, Committed, Item, LeaseGrant, LeaseId, Page, Revision, Store, StoreError,
    Transaction, Watched,
};
use ospreywing_types::Duration;
use std::future::Future;

/// A call of the store, as a layer sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// An item is read.
    Get,
    /// A page of items is read.
    Range,
    /// Changes are waited for.
    Watch,
    /// A transaction is done.
    Commit {
        /// The bytes of its keys and values.
        len_bytes: usize,
    },
    /// A lease is taken.
    GrantLease,
    /// A lease is renewed.
    RenewLease,
    /// A lease is ended.
    EndLease,
}

impl StoreCall {
    /// Returns the word for metrics.
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

/// Why a call failed: both kinds of the store's errors.
pub trait CallFailure: From<StoreError> {
    /// Returns the store's error; `None` where a condition did not hold.
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

/// What is done around each call of a store.
#[allow(async_fn_in_trait, reason = "every node runs on one thread")]
pub trait StoreLayer: Clone + 'static {
    /// Makes a call.
    ///
    /// # Errors
    ///
    /// Returns the call's own error, or one of the layer's.
    async fn wrap_call<T, E: CallFailure>(
        &self,
        call: StoreCall,
        future: impl Future<Output = Result<T, E>>,
    ) -> Result<T, E>;

    /// Waits before a call that failed is repeated.
    async fn pause(&self, length: Duration) {
        tokio::time::sleep(length.into()).await;
    }
}

/// A store with a layer around its calls.
#[derive(Clone, Debug)]
pub struct LayeredStore<S, L> {
    store: S,
    layer: L,
}

impl<S: Store, L: StoreLayer> LayeredStore<S, L> {
    /// Puts a layer around a store.
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
    async fn pause(&self, length: Duration) {
        self.layer.pause(length).await;
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
