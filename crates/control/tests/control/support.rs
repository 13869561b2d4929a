//! A store in memory that loses, refuses and delays on demand.

use ospreywing_control::{
    CommitError, Committed, Item, LeaseGrant, LeaseId, Page, Revision, Store, StoreError,
    Transaction, Watched, WatchedChange,
};
use ospreywing_types::Duration;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// How the store treats a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Treatment {
    /// As it should.
    Answer,
    /// It is done and not answered.
    Lose,
    /// It is not answered and done later, by [`MemoryStore::apply_delayed`].
    Delay,
    /// It is turned away.
    Refuse,
}

#[derive(Default)]
struct Inner {
    items: BTreeMap<String, Item>,
    revision: Revision,
    history: Vec<(Revision, WatchedChange)>,
    compacted: Revision,
    treatments: VecDeque<Treatment>,
    late: Vec<Transaction>,
    failing_watches_count: usize,
    blind_watches_count: usize,
    watch_waits: Vec<Duration>,
    silent_reads_count: usize,
    reads: Vec<Read>,
    item_keys: Vec<String>,
    after_read: Option<Transaction>,
    is_silent: bool,
    commit_time: Duration,
}

/// How long the renewal of a lease hangs at a silent store. Other calls hang for
/// ever, also once the store answers again.
const RENEWAL_TIMEOUT: Duration = Duration::from_ms(300);

/// A kind of reading call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Read {
    /// One item.
    Item,
    /// A page of items.
    Page,
}

/// A store in memory.
#[derive(Clone, Default)]
pub struct MemoryStore(Rc<RefCell<Inner>>);

impl MemoryStore {
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets how the next transactions are treated; later ones are answered.
    pub fn set_treatments(&self, treatments: &[Treatment]) {
        self.0
            .borrow_mut()
            .treatments
            .extend(treatments.iter().copied());
    }

    /// Does the transactions that were delayed, as far as their conditions hold.
    pub fn apply_delayed(&self) {
        let late = core::mem::take(&mut self.0.borrow_mut().late);
        for transaction in late {
            let _ = self.0.borrow_mut().apply(&transaction);
        }
    }

    /// Lets the next watches fail.
    pub fn fail_watches(&self, count: usize) {
        self.0.borrow_mut().failing_watches_count = count;
    }

    /// Lets the next watches that have changes to tell of end as if there were
    /// none.
    pub fn hide_changes_from_watches(&self, count: usize) {
        self.0.borrow_mut().blind_watches_count = count;
    }

    /// Lets the next reads of items and pages go without an answer.
    pub fn fail_reads(&self, count: usize) {
        self.0.borrow_mut().silent_reads_count = count;
    }

    /// Returns the reads of items and pages so far.
    pub fn reads(&self) -> Vec<Read> {
        self.0.borrow().reads.clone()
    }

    /// Has a transaction done right after the next read of an item.
    pub fn do_after_read(&self, transaction: Transaction) {
        self.0.borrow_mut().after_read = Some(transaction);
    }

    /// Returns the keys of the items that were asked for.
    pub fn item_keys(&self) -> Vec<String> {
        self.0.borrow().item_keys.clone()
    }

    /// Returns how long each watch so far was to wait.
    pub fn watch_waits(&self) -> Vec<Duration> {
        self.0.borrow().watch_waits.clone()
    }

    /// Lets calls that are sent from now on hang, or be answered again.
    pub fn set_silent(&self, is_silent: bool) {
        self.0.borrow_mut().is_silent = is_silent;
    }

    /// Lets each transaction take so long.
    pub fn set_commit_time(&self, time: Duration) {
        self.0.borrow_mut().commit_time = time;
    }

    /// Never returns where the store is silent.
    async fn hang_while_silent(&self) {
        if self.0.borrow().is_silent {
            std::future::pending().await
        }
    }

    /// Forgets the history.
    pub fn compact(&self) {
        let mut inner = self.0.borrow_mut();
        inner.compacted = inner.revision;
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
        if self.silent_reads_count == 0 {
            return Ok(());
        }
        self.silent_reads_count -= 1;
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
        self.hang_while_silent().await;
        self.0.borrow_mut().item_keys.push(key.to_owned());
        self.0.borrow_mut().record_read(Read::Item)?;
        let found = self.0.borrow().items.get(key).cloned();
        let after = self.0.borrow_mut().after_read.take();
        if let Some(transaction) = after {
            self.commit(&transaction)
                .await
                .expect("its condition holds");
        }
        Ok(found)
    }

    async fn range(&self, prefix: &str, after: Option<&str>) -> Result<Page, StoreError> {
        const PAGE_COUNT: usize = 2;
        self.0.borrow_mut().record_read(Read::Page)?;
        let inner = self.0.borrow();
        let found = inner
            .items
            .values()
            .filter(|item| item.key.starts_with(prefix));
        let found = found.filter(|item| after.is_none_or(|after| item.key.as_str() > after));
        let mut items: Vec<Item> = found.cloned().collect();
        let has_more = items.len() > PAGE_COUNT;
        items.truncate(PAGE_COUNT);
        Ok(Page {
            items,
            has_more,
            at: inner.revision,
        })
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Watched, StoreError> {
        tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        let mut inner = self.0.borrow_mut();
        inner.watch_waits.push(wait);
        if inner.failing_watches_count > 0 {
            inner.failing_watches_count -= 1;
            return Err(no_answer());
        }
        if from < inner.compacted {
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
        if inner.blind_watches_count > 0 && !changes.is_empty() {
            inner.blind_watches_count -= 1;
            changes.clear();
        }
        Ok(Watched {
            changes,
            at: inner.revision,
        })
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Committed, CommitError> {
        tokio::task::yield_now().await;
        self.hang_while_silent().await;
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
                inner.late.push(transaction.clone());
                Err(no_answer().into())
            }
            Treatment::Refuse => Err(StoreError::Refused("busy".to_owned()).into()),
        }
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseGrant, StoreError> {
        Ok(LeaseGrant { id: 1, ttl })
    }

    async fn renew_lease(&self, _lease: LeaseId) -> Result<(), StoreError> {
        if self.0.borrow().is_silent {
            tokio::time::sleep(RENEWAL_TIMEOUT.into()).await;
            return Err(no_answer());
        }
        Ok(())
    }

    async fn end_lease(&self, _lease: LeaseId) -> Result<(), StoreError> {
        Ok(())
    }
}

/// Runs a test on one thread, as a node runs.
pub fn run_local(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}
