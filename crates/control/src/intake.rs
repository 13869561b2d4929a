//! Group commits of accepted jobs and cancels to the store.
//!
//! Every entry is written on the condition that its key does not exist. So a
//! repeated id stays one job whichever node accepts it, and a write that is
//! applied late overwrites nothing.
//!
//! A cancel is also written on the condition that its job is unchanged, since the job and its
//! cancel are removed together: a cancel that was written after that would remain, and would
//! concern the next job with the same id.

use crate::clock;
use crate::store::{CommitError, Item, Revision, Store, StoreError, Transaction};
use ospreywing_types::Duration;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};

/// The maximum number of conditions and writes of one transaction.
const GROUP_LIMIT_COUNT: usize = 30;
/// The maximum number of entries that may be queued.
const QUEUE_LIMIT_COUNT: usize = 400;
/// How long an entry is retried that may already be in the store.
const UNCONFIRMED_TIMEOUT: Duration = Duration::from_ms(1200);
/// How long an entry is retried that certainly is not in the store: other nodes can
/// write it.
const NOT_STORED_TIMEOUT: Duration = Duration::from_ms(120);
/// The pause before a failed commit is retried.
const RETRY_PAUSE: Duration = Duration::from_ms(40);
/// Failed commits in a row after which the store is taken to be unreachable.
const FAILING_COUNT: u32 = 2;

/// The outcome of writing an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IntakeOutcome {
    /// The entry is in the store.
    Stored,
    /// The key already exists, with this other value.
    Exists(Vec<u8>),
    /// The item that the entry requires has changed or is gone; the entry is not in the store
    /// and the write will not be applied.
    RequirementChanged,
    /// The entry is not in the store and the write will not be applied.
    NotStored,
    /// The write may have been applied, or may still be.
    Unknown,
}

/// An item that an entry needs to be unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Requirement {
    /// The item's key.
    pub key: String,
    /// The item's revision.
    pub revision: Revision,
}

/// How an entry contributed to a conflict of its group.
enum ConflictRole {
    /// It caused the conflict, and has this outcome.
    Decided(IntakeOutcome),
    /// It caused the conflict, and replaces the item with this revision.
    Replaces(Revision),
    /// It did not cause the conflict.
    Unaffected,
}

struct Entry {
    key: String,
    value: Vec<u8>,
    /// The revision that the key must have; 0 if it must not exist.
    expected: Revision,
    requirement: Option<Requirement>,
    queued_at: ospreywing_types::Instant,
    /// Whether a commit with this entry had no answer, so that it may have been applied.
    is_unconfirmed: bool,
    reply: oneshot::Sender<IntakeOutcome>,
}

impl Entry {
    /// Returns the number of conditions and writes that the entry needs.
    const fn operations_count(&self) -> usize {
        if self.requirement.is_some() {
            3
        } else {
            2
        }
    }

    /// Adds the entry's conditions and its write to a transaction.
    fn add_to(&self, transaction: Transaction) -> Transaction {
        let transaction = match &self.requirement {
            Some(required) => transaction.with_expect(required.key.clone(), required.revision),
            None => transaction,
        };
        transaction
            .with_expect(self.key.clone(), self.expected)
            .with_put(self.key.clone(), self.value.clone())
    }

    /// Returns how the entry contributed to a conflict, by the items of the conditions.
    fn conflict_role(&self, items: &HashMap<String, Item>) -> ConflictRole {
        if let Some(required) = &self.requirement {
            let revision = items.get(&required.key).map_or(0, |item| item.revision);
            if revision != required.revision {
                return ConflictRole::Decided(IntakeOutcome::RequirementChanged);
            }
        }
        match items.get(&self.key) {
            None => ConflictRole::Unaffected,
            Some(item) if item.revision == self.expected => ConflictRole::Unaffected,
            Some(item) if self.is_outdated(item) => ConflictRole::Replaces(item.revision),
            Some(item) => ConflictRole::Decided(self.existing_outcome(item)),
        }
    }

    /// Returns whether an item with the entry's key was written for an earlier item with the key
    /// of the required one.
    fn is_outdated(&self, item: &Item) -> bool {
        let required = self.requirement.as_ref();
        required.is_some_and(|required| item.revision < required.revision)
    }

    /// Returns the outcome for an entry whose key exists as `item`.
    fn existing_outcome(&self, item: &Item) -> IntakeOutcome {
        if item.has_value(&self.value) {
            return IntakeOutcome::Stored;
        }
        let value = item.value.clone();
        value.map_or(IntakeOutcome::Unknown, IntakeOutcome::Exists)
    }

    fn answer(self, outcome: IntakeOutcome) {
        // The caller may have been dropped.
        let _ = self.reply.send(outcome);
    }
}

/// The queue of entries to be written to the store.
pub struct Intake<S> {
    store: S,
    queue: RefCell<VecDeque<Entry>>,
    arrived: Notify,
    failures_count: Cell<u32>,
}

impl<S: Store> Intake<S> {
    /// Creates an empty queue.
    pub fn new(store: S) -> Rc<Self> {
        Rc::new(Self {
            store,
            queue: RefCell::new(VecDeque::new()),
            arrived: Notify::new(),
            failures_count: Cell::new(0),
        })
    }

    /// Writes an entry if its key does not exist, and waits for the outcome.
    pub async fn write(&self, key: String, value: Vec<u8>) -> IntakeOutcome {
        self.enqueue(key, value, None).await
    }

    /// Writes an entry if its key does not exist and the required item is unchanged, and waits
    /// for the outcome. An existing item that is older than the required one is replaced.
    pub async fn write_dependent(
        &self,
        key: String,
        value: Vec<u8>,
        requirement: Requirement,
    ) -> IntakeOutcome {
        self.enqueue(key, value, Some(requirement)).await
    }

    async fn enqueue(
        &self,
        key: String,
        value: Vec<u8>,
        requirement: Option<Requirement>,
    ) -> IntakeOutcome {
        let (reply, outcome) = oneshot::channel();
        if self.queue.borrow().len() >= QUEUE_LIMIT_COUNT {
            return IntakeOutcome::NotStored;
        }
        self.queue.borrow_mut().push_back(Entry {
            key,
            value,
            expected: 0,
            requirement,
            queued_at: clock::now(),
            is_unconfirmed: false,
            reply,
        });
        self.arrived.notify_one();
        outcome.await.unwrap_or(IntakeOutcome::Unknown)
    }

    /// Returns whether the last commits have failed and the store has answered no
    /// other call of this node since.
    pub fn is_failing(&self) -> bool {
        self.failures_count.get() >= FAILING_COUNT
    }

    /// Records that the store has answered a call.
    pub fn record_answer(&self) {
        self.failures_count.set(0);
    }

    /// Writes queued entries in groups; never returns.
    pub async fn run(&self) {
        loop {
            if self.queue.borrow().is_empty() {
                self.arrived.notified().await;
                continue;
            }
            let group = self.take_group();
            self.write_group(group).await;
        }
    }

    /// Removes from the queue as many entries as one transaction holds.
    fn take_group(&self) -> Vec<Entry> {
        let mut queue = self.queue.borrow_mut();
        let mut operations_count = 0;
        let fits = |entry: &&Entry| {
            operations_count += entry.operations_count();
            operations_count <= GROUP_LIMIT_COUNT
        };
        let count = queue.iter().take_while(fits).count();
        queue.drain(..count).collect()
    }

    async fn write_group(&self, mut group: Vec<Entry>) {
        let entries = group.iter();
        let transaction = entries.fold(Transaction::new(), |all, entry| entry.add_to(all));
        match self.store.commit(&transaction).await {
            Ok(_) => {
                self.failures_count.set(0);
                answer_all(group, &IntakeOutcome::Stored);
            }
            Err(CommitError::Conflict(items)) => {
                self.failures_count.set(0);
                self.resolve_conflict(group, items);
            }
            Err(CommitError::Store(error)) => {
                self.failures_count.set(self.failures_count.get() + 1);
                if !matches!(error, StoreError::Refused(_)) {
                    group
                        .iter_mut()
                        .for_each(|entry| entry.is_unconfirmed = true);
                }
                self.retry_or_give_up(group).await;
            }
        }
    }

    /// Answers the entries that caused a conflict, and queues the others again.
    fn resolve_conflict(&self, group: Vec<Entry>, items: Vec<Item>) {
        let existing = items.into_iter().filter(|item| item.revision > 0);
        let existing: HashMap<String, Item> =
            existing.map(|item| (item.key.clone(), item)).collect();
        let mut rest = Vec::new();
        let mut is_cause_known = false;
        for mut entry in group {
            match entry.conflict_role(&existing) {
                ConflictRole::Decided(outcome) => {
                    is_cause_known = true;
                    entry.answer(outcome);
                }
                ConflictRole::Replaces(revision) => {
                    is_cause_known = true;
                    entry.expected = revision;
                    rest.push(entry);
                }
                ConflictRole::Unaffected => rest.push(entry),
            }
        }
        if is_cause_known {
            self.requeue(rest);
        } else {
            // The same transaction would fail again.
            answer_all(rest, &IntakeOutcome::Unknown);
        }
    }

    async fn retry_or_give_up(&self, group: Vec<Entry>) {
        let now = clock::now();
        let has_timed_out = |entry: &Entry| {
            let limit = if entry.is_unconfirmed {
                UNCONFIRMED_TIMEOUT
            } else {
                NOT_STORED_TIMEOUT
            };
            now.since(entry.queued_at) >= limit
        };
        let (timed_out, rest): (Vec<_>, Vec<_>) = group.into_iter().partition(has_timed_out);
        for entry in timed_out {
            let outcome = if entry.is_unconfirmed {
                IntakeOutcome::Unknown
            } else {
                IntakeOutcome::NotStored
            };
            entry.answer(outcome);
        }
        self.requeue(rest);
        self.store.pause(RETRY_PAUSE).await;
    }

    fn requeue(&self, rest: Vec<Entry>) {
        let mut queue = self.queue.borrow_mut();
        for entry in rest.into_iter().rev() {
            queue.push_front(entry);
        }
    }
}

fn answer_all(group: Vec<Entry>, outcome: &IntakeOutcome) {
    for entry in group {
        entry.answer(outcome.clone());
    }
}
