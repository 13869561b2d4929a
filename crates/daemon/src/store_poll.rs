//! Reads what changed in the store's control part.
//!
//! Each poll asks for the keys changed since the one before. The reply also
//! counts all keys: where the count does not fit, keys have gone, and the
//! whole part is read. A watch would show changes sooner but proves nothing
//! while it is silent; a poll that is answered proves that all is known.

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

/// Keys that one call may return.
const PAGE_COUNT: u64 = 1000;

/// The poller.
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
    /// `is_registered` says whether the last poll found `member_key`.
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

    /// Polls for ever, at each `period` and whenever `wake` is notified.
    pub async fn run(mut self, period: Duration, wake: Arc<Notify>) {
        loop {
            // A poll that fails proves nothing, and the next one comes soon.
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
        let page = self
            .store
            .range(&prefix, &prefix, first, PAGE_COUNT)
            .await?;
        let changed = page.key_values.iter().map(|found| found.key.clone());
        let mut known = self.known.clone();
        known.extend(changed);
        let is_whole = self.revision == 0;
        let fits = known.len() as u64 == page.count && !page.has_more;
        if fits {
            self.known = known;
            self.send_event(asked_at, &page, is_whole).await;
            return Ok(());
        }
        let asked_at = clock::now();
        StoreCounts::add(&self.counts.polls_count);
        let whole = self.store.range_all(&prefix, PAGE_COUNT).await?;
        let keys = whole.key_values.iter().map(|found| found.key.clone());
        self.known = keys.collect();
        self.send_event(asked_at, &whole, true).await;
        Ok(())
    }

    async fn send_event(
        &mut self,
        asked_at: ospreywing_types::Instant,
        page: &Page,
        is_whole: bool,
    ) {
        self.revision = page.revision;
        let is_registered = self.known.contains(&self.member_key);
        self.is_registered.store(is_registered, Ordering::Relaxed);
        let found = page.key_values.iter();
        let poll = Poll {
            asked_at,
            changes: found
                .filter_map(|found| self.layout.change(found))
                .collect(),
            is_whole,
        };
        self.engine.send_event(Event::Polled(poll)).await;
    }
}
