//! Polls the store for changes under the `control/` prefix.
//!
//! Each poll requests the keys that changed since the previous one. The reply also has the
//! total number of keys: if it differs from the number of known keys, some were deleted, and
//! all keys are read again. A watch would report changes sooner, but without events it
//! doesn't prove that nothing changed; a completed poll does.

use crate::clock;
use crate::engine::EngineHandle;
use crate::layout::Layout;
use crate::metrics::StoreCounts;
use ospreywing_node::{Event, Poll};
use ospreywing_store::{Page, StoreClient, StoreError};
use ospreywing_types::Duration;
use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tokio::sync::Notify;

/// Maximum number of keys that a call returns.
const PAGE_SIZE: u64 = 1000;

/// Polls the store and sends the changes to the engine.
pub struct StorePoll {
    store: StoreClient,
    layout: Layout,
    engine: EngineHandle,
    counts: Arc<StoreCounts>,
    known: HashSet<String>,
    revision: u64,
    member_key: String,
    is_registered: Arc<AtomicBool>,
}

impl StorePoll {
    /// Creates the poller.
    ///
    /// The poller sets `is_registered` to whether the last poll found `member_key`.
    pub fn new(
        store: StoreClient,
        layout: Layout,
        engine: EngineHandle,
        counts: Arc<StoreCounts>,
        member_key: String,
        is_registered: Arc<AtomicBool>,
    ) -> Self {
        Self {
            store,
            layout,
            engine,
            counts,
            known: HashSet::new(),
            revision: 0,
            member_key,
            is_registered,
        }
    }

    /// Polls without end, every `period` and whenever `wake` is notified.
    pub async fn run(mut self, period: Duration, wake: Arc<Notify>) {
        loop {
            // A failed poll changes no state, and the next one follows soon.
            let _ = self.poll().await;
            tokio::select! {
                () = tokio::time::sleep(period.into()) => {}
                () = wake.notified() => {}
            }
        }
    }

    async fn poll(&mut self) -> Result<(), StoreError> {
        let prefix = self.layout.control();
        let asked_at = clock::now();
        StoreCounts::add(&self.counts.polls_count);
        let first = self.revision + 1;
        let page = self.store.range(&prefix, &prefix, first, PAGE_SIZE).await?;
        let changed = page.key_values.iter().map(|found| found.key.clone());
        let mut known = self.known.clone();
        known.extend(changed);
        let is_snapshot = self.revision == 0;
        let is_count_matching = known.len() as u64 == page.count && !page.has_more;
        if is_count_matching {
            self.known = known;
            self.send_event(asked_at, &page, is_snapshot).await;
            return Ok(());
        }
        let asked_at = clock::now();
        StoreCounts::add(&self.counts.polls_count);
        let whole = self.store.range_all(&prefix, PAGE_SIZE).await?;
        let keys = whole.key_values.iter().map(|found| found.key.clone());
        self.known = keys.collect();
        self.send_event(asked_at, &whole, true).await;
        Ok(())
    }

    async fn send_event(
        &mut self,
        asked_at: ospreywing_types::Instant,
        page: &Page,
        is_snapshot: bool,
    ) {
        self.revision = page.revision;
        let is_registered = self.known.contains(&self.member_key);
        self.is_registered.store(is_registered, Ordering::Relaxed);
        let found = page.key_values.iter();
        let poll = Poll {
            asked_at,
            changes: found
                .filter_map(|found| self.layout.parse_change(found))
                .collect(),
            is_snapshot,
        };
        self.engine.send_event(Event::Polled(poll)).await;
    }
}
