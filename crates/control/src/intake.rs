//! Group commits of accepted jobs and cancels to the store.
//!
//! Every entry is written on the condition that its key does not exist. So a
//! repeated id stays one job whichever node accepts it, and a write that is
//! applied late overwrites nothing.

use crate::clock;
use crate::store::{CommitError, Item, Store, StoreError, Transaction};
use ospreywing_types::Duration;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};

/// The maximum number of entries of one transaction; each needs a condition and a write.
const GROUP_LIMIT_COUNT: usize = 15;
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
    /// The entry is not in the store and the write will not be applied.
    NotStored,
    /// The write may have been applied, or may still be.
    Unknown,
}

struct Entry {
    key: String,
    value: Vec<u8>,
    queued_at: ospreywing_types::Instant,
    /// Whether a commit with this entry had no answer, so that it may have been applied.
    is_unconfirmed: bool,
    reply: oneshot::Sender<IntakeOutcome>,
}

impl Entry {
    /// Returns the outcome for an entry whose key exists as `item`.
    fn existing_outcome(&self, item: Item) -> IntakeOutcome {
        if item.has_value(&self.value) {
            return IntakeOutcome::Stored;
        }
        item.value
            .map_or(IntakeOutcome::Unknown, IntakeOutcome::Exists)
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
        let (reply, outcome) = oneshot::channel();
        if self.queue.borrow().len() >= QUEUE_LIMIT_COUNT {
            return IntakeOutcome::NotStored;
        }
        self.queue.borrow_mut().push_back(Entry {
            key,
            value,
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
            let count = self.queue.borrow().len().min(GROUP_LIMIT_COUNT);
            let group: Vec<Entry> = self.queue.borrow_mut().drain(..count).collect();
            self.write_group(group).await;
        }
    }

    async fn write_group(&self, mut group: Vec<Entry>) {
        let mut transaction = Transaction::new();
        for entry in &group {
            transaction = transaction
                .with_expect(entry.key.clone(), 0)
                .with_put(entry.key.clone(), entry.value.clone());
        }
        match self.store.commit(&transaction).await {
            Ok(_) => {
                self.failures_count.set(0);
                answer_all(group, &IntakeOutcome::Stored);
            }
            Err(CommitError::Conflict(items)) => {
                self.failures_count.set(0);
                let existing = items.into_iter().filter(|item| item.revision > 0);
                let mut existing: HashMap<String, Item> =
                    existing.map(|item| (item.key.clone(), item)).collect();
                let (found, rest): (Vec<Entry>, Vec<Entry>) = group
                    .into_iter()
                    .partition(|entry| existing.contains_key(&entry.key));
                if found.is_empty() {
                    // The conflict does not show which entries exist.
                    return answer_all(rest, &IntakeOutcome::Unknown);
                }
                for entry in found {
                    let item = existing.remove(&entry.key);
                    let outcome =
                        item.map_or(IntakeOutcome::Unknown, |item| entry.existing_outcome(item));
                    entry.answer(outcome);
                }
                self.requeue(rest);
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
