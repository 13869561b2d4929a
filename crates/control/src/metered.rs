//! A store whose calls are counted.

use crate::clock;
use crate::layered::{CallFailure, LayeredStore, StoreCall, StoreLayer};
use crate::metrics::Metrics;
use crate::store::{Store, StoreError};
use std::future::Future;
use std::rc::Rc;

/// Counts calls in metrics.
#[derive(Clone, Debug)]
pub struct Metering(Rc<Metrics>);

/// A store whose calls are counted.
pub type MeteredStore<S> = LayeredStore<S, Metering>;

impl<S: Store> MeteredStore<S> {
    /// Creates a store that counts its calls in `metrics`.
    pub const fn new(store: S, metrics: Rc<Metrics>) -> Self {
        Self::with_layer(store, Metering(metrics))
    }
}

impl StoreLayer for Metering {
    async fn around<T, E: CallFailure>(
        &self,
        call: StoreCall,
        made: impl Future<Output = Result<T, E>>,
    ) -> Result<T, E> {
        let begun_at = clock::now();
        let result = made.await;
        // A watch waits, so its time tells nothing of the store.
        if call != StoreCall::Watch {
            let outcome = result.as_ref().err().map_or("ok", outcome_of);
            self.0.note_store_call(call.as_str(), outcome, begun_at);
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
