//! A store layer that counts calls and their durations.

use crate::clock;
use crate::layered::{CallFailure, LayeredStore, StoreCall, StoreLayer};
use crate::metrics::Metrics;
use crate::store::{Store, StoreError};
use std::future::Future;
use std::rc::Rc;

/// Counts store calls in metrics.
#[derive(Clone, Debug)]
pub struct MeteringLayer(Rc<Metrics>);

/// A store whose calls are counted.
pub type MeteredStore<S> = LayeredStore<S, MeteringLayer>;

impl<S: Store> MeteredStore<S> {
    /// Creates a store that counts its calls in `metrics`.
    pub const fn new(store: S, metrics: Rc<Metrics>) -> Self {
        Self::with_layer(store, MeteringLayer(metrics))
    }
}

impl StoreLayer for MeteringLayer {
    async fn wrap_call<T, E: CallFailure>(
        &self,
        call: StoreCall,
        future: impl Future<Output = Result<T, E>>,
    ) -> Result<T, E> {
        let started_at = clock::now();
        let result = future.await;
        // A watch waits for changes, so its duration says nothing about the store.
        if call != StoreCall::Watch {
            let outcome = result.as_ref().err().map_or("ok", outcome_of);
            self.0.count_store_call(call.as_str(), outcome, started_at);
        }
        result
    }
}

fn outcome_of(error: &impl CallFailure) -> &'static str {
    match error.store_error() {
        None => "conflict",
        Some(StoreError::Refused(_)) => "refused",
        Some(StoreError::Unknown(_)) => "no_answer",
        Some(StoreError::Compacted) => "compacted",
        Some(StoreError::LeaseOver) => "lease_over",
    }
}
