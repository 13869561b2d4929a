//! An in-memory store that loses, refuses or delays calls as a test requests.

pub mod node;

use ospreywing_control::{
    BoxSize, CommitError, Committed, Item, LeaseGrant, LeaseId, NodeSettings, Page, Revision,
    Store, StoreError, Transaction, Watched, WatchedChange,
};
use ospreywing_scheduler::{Configuration, Features, Queue, ServicePolicy, WorkerFacts};
use ospreywing_types::{Duration, Resources};
use slog::{o, Discard, Logger};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

/// How the store handles a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Treatment {
    /// Applies it and answers.
    Answer,
    /// Applies it, but does not answer.
    Lose,
    /// Does not answer, and applies it later, in [`MemoryStore::apply_delayed`].
    Delay,
    /// Refuses it.
    Refuse,
}

#[derive(Default)]
struct Inner {
    items: BTreeMap<String, Item>,
    revision: Revision,
    history: Vec<(Revision, WatchedChange)>,
    compacted_revision: Revision,
    treatments: VecDeque<Treatment>,
    delayed: Vec<Transaction>,
    failing_watches_count: usize,
    empty_watches_count: usize,
    watch_waits: Vec<Duration>,
    failing_reads_count: usize,
    reads: Vec<Read>,
    item_keys: Vec<String>,
    after_read: Option<(String, Transaction)>,
    after_page: Option<(String, Transaction)>,
    are_watches_held: bool,
    is_unresponsive: bool,
    commit_time: Duration,
}

/// How long a lease renewal hangs while the store is unresponsive before it fails. Other
/// calls hang forever, also after the store has recovered.
const HANGING_RENEWAL_TIMEOUT: Duration = Duration::from_ms(300);

/// A kind of read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Read {
    /// One item.
    Item,
    /// A page of items.
    Page,
}

/// An in-memory store.
#[derive(Clone, Default)]
pub struct MemoryStore(Rc<RefCell<Inner>>);

impl MemoryStore {
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets how the next transactions are handled; later ones are applied and answered.
    pub fn set_treatments(&self, treatments: &[Treatment]) {
        self.0
            .borrow_mut()
            .treatments
            .extend(treatments.iter().copied());
    }

    /// Applies the delayed transactions whose conditions still hold.
    pub fn apply_delayed(&self) {
        let delayed = core::mem::take(&mut self.0.borrow_mut().delayed);
        for transaction in delayed {
            let _ = self.0.borrow_mut().apply(&transaction);
        }
    }

    /// Makes the next `count` watches fail.
    pub fn fail_watches(&self, count: usize) {
        self.0.borrow_mut().failing_watches_count = count;
    }

    /// Makes the next `count` watches that would return changes return none, but the
    /// newest revision.
    pub fn hide_changes_from_watches(&self, count: usize) {
        self.0.borrow_mut().empty_watches_count = count;
    }

    /// Makes the next `count` reads of items and pages fail without an answer.
    pub fn fail_reads(&self, count: usize) {
        self.0.borrow_mut().failing_reads_count = count;
    }

    /// Returns the reads of items and pages so far.
    pub fn reads(&self) -> Vec<Read> {
        self.0.borrow().reads.clone()
    }

    /// Commits a transaction right after the next read of an item with this key.
    pub fn commit_after_read_of(&self, key: &str, transaction: Transaction) {
        self.0.borrow_mut().after_read = Some((key.to_owned(), transaction));
    }

    /// Commits a transaction right after the next read of a page with this prefix.
    pub fn commit_after_page(&self, prefix: &str, transaction: Transaction) {
        self.0.borrow_mut().after_page = Some((prefix.to_owned(), transaction));
    }

    /// Sets whether watches return nothing, not even when their wait is over.
    pub fn hold_watches(&self, are_held: bool) {
        self.0.borrow_mut().are_watches_held = are_held;
    }

    /// Returns the keys of the items that were read so far.
    pub fn item_keys(&self) -> Vec<String> {
        self.0.borrow().item_keys.clone()
    }

    /// Returns the wait time of each watch so far.
    pub fn watch_waits(&self) -> Vec<Duration> {
        self.0.borrow().watch_waits.clone()
    }

    /// Sets whether calls that are sent from now on hang.
    pub fn set_unresponsive(&self, is_unresponsive: bool) {
        self.0.borrow_mut().is_unresponsive = is_unresponsive;
    }

    /// Sets the duration of each transaction.
    pub fn set_commit_time(&self, time: Duration) {
        self.0.borrow_mut().commit_time = time;
    }

    /// Never returns if the store is unresponsive now.
    async fn hang_while_unresponsive(&self) {
        if self.0.borrow().is_unresponsive {
            std::future::pending().await
        }
    }

    /// Compacts the history: watches from earlier revisions fail.
    pub fn compact(&self) {
        let mut inner = self.0.borrow_mut();
        inner.compacted_revision = inner.revision;
        inner.history.clear();
    }

    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let inner = self.0.borrow();
        inner
            .items
            .get(key)
            .map(|item| item.bytes().expect("a value").to_vec())
    }
}

impl Inner {
    fn record_read(&mut self, read: Read) -> Result<(), StoreError> {
        self.reads.push(read);
        if self.failing_reads_count == 0 {
            return Ok(());
        }
        self.failing_reads_count -= 1;
        Err(no_answer())
    }

    fn apply(&mut self, transaction: &Transaction) -> Result<Committed, CommitError> {
        let revision_of = |key: &String| self.items.get(key).map_or(0, |item| item.revision);
        if transaction
            .expect
            .iter()
            .any(|(key, revision)| revision_of(key) != *revision)
        {
            let keys = transaction.expect.iter().map(|(key, _)| key);
            let items = keys.filter_map(|key| self.items.get(key).cloned());
            return Err(CommitError::Conflict(items.collect()));
        }
        self.revision += 1;
        let revision = self.revision;
        for write in &transaction.put {
            let item = Item {
                key: write.key.clone(),
                value: Ok(write.value.clone()),
                revision,
            };
            self.history
                .push((revision, WatchedChange::Put(item.clone())));
            self.items.insert(write.key.clone(), item);
        }
        for key in &transaction.remove {
            if self.items.remove(key).is_some() {
                let gone = WatchedChange::Gone { key: key.clone() };
                self.history.push((revision, gone));
            }
        }
        Ok(Committed { revision })
    }
}

fn no_answer() -> StoreError {
    StoreError::Unknown("lost".to_owned())
}

impl Store for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Item>, StoreError> {
        self.hang_while_unresponsive().await;
        self.0.borrow_mut().item_keys.push(key.to_owned());
        self.0.borrow_mut().record_read(Read::Item)?;
        let found = self.0.borrow().items.get(key).cloned();
        let is_chosen = |(chosen, _): &mut (String, Transaction)| chosen == key;
        let after = self.0.borrow_mut().after_read.take_if(is_chosen);
        if let Some((_, transaction)) = after {
            self.commit(&transaction)
                .await
                .expect("its condition holds");
        }
        Ok(found)
    }

    async fn range(&self, prefix: &str, after: Option<&str>) -> Result<Page, StoreError> {
        const PAGE_COUNT: usize = 2;
        let mut inner = self.0.borrow_mut();
        inner.record_read(Read::Page)?;
        let found = inner
            .items
            .values()
            .filter(|item| item.key.starts_with(prefix));
        let found = found.filter(|item| after.is_none_or(|after| item.key.as_str() > after));
        let mut items: Vec<Item> = found.cloned().collect();
        let has_more = items.len() > PAGE_COUNT;
        items.truncate(PAGE_COUNT);
        let at = inner.revision;
        let is_chosen = |(chosen, _): &mut (String, Transaction)| chosen == prefix;
        if let Some((_, transaction)) = inner.after_page.take_if(is_chosen) {
            inner.apply(&transaction).expect("its condition holds");
        }
        Ok(Page {
            items,
            has_more,
            at,
        })
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Watched, StoreError> {
        tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        while self.0.borrow().are_watches_held {
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
        let mut inner = self.0.borrow_mut();
        inner.watch_waits.push(wait);
        if inner.failing_watches_count > 0 {
            inner.failing_watches_count -= 1;
            return Err(no_answer());
        }
        if from < inner.compacted_revision {
            return Err(StoreError::Compacted);
        }
        let later = inner
            .history
            .iter()
            .filter(|(revision, _)| *revision > from);
        let is_ours = |change: &WatchedChange| match change {
            WatchedChange::Put(item) => item.key.starts_with(prefix),
            WatchedChange::Gone { key } => key.starts_with(prefix),
        };
        let changes = later.map(|(_, change)| change.clone()).filter(is_ours);
        let mut changes: Vec<WatchedChange> = changes.collect();
        if inner.empty_watches_count > 0 && !changes.is_empty() {
            inner.empty_watches_count -= 1;
            changes.clear();
        }
        Ok(Watched {
            changes,
            at: inner.revision,
        })
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Committed, CommitError> {
        tokio::task::yield_now().await;
        self.hang_while_unresponsive().await;
        let commit_time = self.0.borrow().commit_time;
        if commit_time != Duration::ZERO {
            tokio::time::sleep(commit_time.into()).await;
        }
        let mut inner = self.0.borrow_mut();
        match inner.treatments.pop_front().unwrap_or(Treatment::Answer) {
            Treatment::Answer => inner.apply(transaction),
            Treatment::Lose => {
                let _ = inner.apply(transaction);
                Err(no_answer().into())
            }
            Treatment::Delay => {
                inner.delayed.push(transaction.clone());
                Err(no_answer().into())
            }
            Treatment::Refuse => Err(StoreError::Refused("busy".to_owned()).into()),
        }
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseGrant, StoreError> {
        Ok(LeaseGrant { id: 1, ttl })
    }

    async fn renew_lease(&self, _lease: LeaseId) -> Result<(), StoreError> {
        if self.0.borrow().is_unresponsive {
            tokio::time::sleep(HANGING_RENEWAL_TIMEOUT.into()).await;
            return Err(no_answer());
        }
        Ok(())
    }

    async fn end_lease(&self, _lease: LeaseId) -> Result<(), StoreError> {
        Ok(())
    }
}

/// Returns a logger whose entries are discarded.
pub fn discarding_log() -> Logger {
    Logger::root(Discard, o!())
}

/// Returns an item that was read from a store.
pub fn stored_item(key: String, value: Vec<u8>, revision: Revision) -> Item {
    Item {
        key,
        value: Ok(value),
        revision,
    }
}

/// Runs a test on a single thread, as a node runs.
pub fn run_local(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Returns the settings of a node that listens on free ports and uses no relays.
pub fn settings() -> NodeSettings {
    let any_port = "127.0.0.1:0".parse().expect("an address");
    NodeSettings {
        name: "n0".to_owned(),
        front_address: any_port,
        ready_address: any_port,
        peer_address: any_port,
        metrics_address: None,
        data_centre: String::new(),
        cores_milli: 1000,
        box_size: BoxSize {
            memory_bytes: 260_000_000,
            sockets_count: 4000,
        },
        relays_min_workers_count: 600,
        sharing_min_nodes_count: 100,
        lease_limit: Duration::from_s(6),
        grace: Duration::from_s(6),
        retention: Duration::from_s(120),
        apply_limit: Duration::from_s(2),
        stretch_limit: Duration::from_s(5),
        cordon_limit: Duration::from_s(5),
        drain_limit: Duration::from_s(2),
        stop_grace: Duration::from_ms(200),
        revoke_limit: None,
        features: Features::default(),
    }
}

pub const SERVICE: &str = "gallery";
pub const QUEUE: &str = "render";

/// Returns a configuration with one queue and its service.
pub fn one_queue_configuration() -> Configuration {
    let queue = Queue {
        name: QUEUE.to_owned(),
        service: SERVICE.to_owned(),
        priority: 0,
        attempts_limit_count: 3,
        stretch: 2.0,
        objective_ms: 1000,
        advice: None,
    };
    Configuration {
        version: 1,
        queues: [(QUEUE.to_owned(), queue)].into(),
        services: vec![ServicePolicy {
            name: SERVICE.to_owned(),
        }],
        ..Configuration::default()
    }
}

/// Returns the entry of the only worker, which has room for many runs.
pub fn one_worker_facts() -> WorkerFacts {
    WorkerFacts {
        id: Arc::from("w0"),
        incarnation: None,
        address: Arc::from("127.0.0.1:9"),
        service: Arc::from(SERVICE),
        machine: None,
        data_centre: Arc::from(""),
        rack: None,
        labels: Vec::new(),
        capacity: Resources::new(64_000, 64_000, 0),
        is_draining: false,
        departs_at_clock_ms: None,
    }
}
