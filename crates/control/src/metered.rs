//! A store whose calls are counted.

use crate::clock;
use crate::metrics::Metrics;
use crate::store::{
    CommitError, Committed, Item, LeaseGrant, LeaseId, Page, Revision, Store, StoreError,
    Transaction, Watched,
};
use ospreywing_types::{Duration, Instant};
use std::rc::Rc;

/// A store whose calls are counted.
#[derive(Clone, Debug)]
pub struct MeteredStore<S> {
    store: S,
    metrics: Rc<Metrics>,
}

impl<S: Store> MeteredStore<S> {
    /// Creates a store that counts its calls in `metrics`.
    pub const fn new(store: S, metrics: Rc<Metrics>) -> Self {
        Self { store, metrics }
    }

    fn note<T>(&self, call: &'static str, begun_at: Instant, result: &Result<T, StoreError>) {
        let outcome = result.as_ref().err().map_or("ok", outcome_of);
        self.metrics.note_store_call(call, outcome, begun_at);
    }
}

const fn outcome_of(error: &StoreError) -> &'static str {
    match error {
        StoreError::Refused(_) => "refused",
        StoreError::Unknown(_) => "no_answer",
        StoreError::Compacted => "compacted",
        StoreError::LeaseOver => "lease_over",
    }
}

impl<S: Store> Store for MeteredStore<S> {
    async fn get(&self, key: &str) -> Result<Option<Item>, StoreError> {
        let begun_at = clock::now();
        let result = self.store.get(key).await;
        self.note("get", begun_at, &result);
        result
    }

    async fn range(&self, prefix: &str, after: Option<&str>) -> Result<Page, StoreError> {
        let begun_at = clock::now();
        let result = self.store.range(prefix, after).await;
        self.note("range", begun_at, &result);
        result
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Watched, StoreError> {
        // A watch waits, so its time tells nothing of the store.
        self.store.watch(prefix, from, wait).await
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Committed, CommitError> {
        let begun_at = clock::now();
        let result = self.store.commit(transaction).await;
        let outcome = match &result {
            Ok(_) => "ok",
            Err(CommitError::Conflict(_)) => "conflict",
            Err(CommitError::Store(error)) => outcome_of(error),
        };
        self.metrics.note_store_call("commit", outcome, begun_at);
        result
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseGrant, StoreError> {
        let begun_at = clock::now();
        let result = self.store.grant_lease(ttl).await;
        self.note("grant_lease", begun_at, &result);
        result
    }

    async fn keep_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let begun_at = clock::now();
        let result = self.store.keep_lease(lease).await;
        self.note("keep_lease", begun_at, &result);
        result
    }

    async fn end_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let begun_at = clock::now();
        let result = self.store.end_lease(lease).await;
        self.note("end_lease", begun_at, &result);
        result
    }
}
