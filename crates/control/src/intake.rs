//! Group commits of what clients hand in: accepted jobs and cancels.
//!
//! Every entry is written on the condition that its key does not exist, so a
//! repeated id stays one job whichever node takes it, and a write that is done
//! late can do no harm.

use crate::clock;
use crate::store::{CommitError, Item, Store, StoreError, Transaction};
use ospreywing_types::Duration;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};

/// Entries of one transaction; each takes a condition and a write.
const GROUP_LIMIT_COUNT: usize = 15;
/// Entries that may wait.
const QUEUE_LIMIT_COUNT: usize = 400;
/// How long an entry is tried for that may be in the store.
const UNCONFIRMED_TIMEOUT: Duration = Duration::from_ms(1200);
/// How long an entry is tried for that certainly is not: others can take it.
const NOT_STORED_TIMEOUT: Duration = Duration::from_ms(120);
/// The time until a call that failed is made again.
const RETRY: Duration = Duration::from_ms(40);
/// Failed calls in a row after which the store is taken not to answer.
const FAILING_COUNT: u32 = 2;

/// What became of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IntakeOutcome {
    /// It is in the store.
    Stored,
    /// The store has its key already, with this other value.
    Exists(Vec<u8>),
    /// It certainly is not and will not be.
    NotStored,
    /// It may be, or may come to be.
    Unknown,
}

struct Entry {
    key: String,
    value: Vec<u8>,
    queued_at: ospreywing_types::Instant,
    /// Whether a call that carried it had no answer.
    is_unconfirmed: bool,
    reply: oneshot::Sender<IntakeOutcome>,
}

impl Entry {
    /// Returns what became of the entry where the store has its key.
    fn found(&self, item: Item) -> IntakeOutcome {
        if item.has_value(&self.value) {
            return IntakeOutcome::Stored;
        }
        item.value
            .map_or(IntakeOutcome::Unknown, IntakeOutcome::Exists)
    }

    fn answer(self, outcome: IntakeOutcome) {
        // Who asked may have gone.
        let _ = self.reply.send(outcome);
    }
}

/// The queue before the store.
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

    /// Writes an entry, once, and waits for what becomes of it.
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

    /// Returns whether the last calls have failed and no other call of the
    /// node has been answered since.
    pub fn is_failing(&self) -> bool {
        self.failures_count.get() >= FAILING_COUNT
    }

    /// Notes that the store has answered some other call.
    pub fn record_answer(&self) {
        self.failures_count.set(0);
    }

    /// Writes groups for ever.
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
                let there = items.into_iter().filter(|item| item.revision > 0);
                let mut there: HashMap<String, Item> =
                    there.map(|item| (item.key.clone(), item)).collect();
                let (found, rest): (Vec<Entry>, Vec<Entry>) = group
                    .into_iter()
                    .partition(|entry| there.contains_key(&entry.key));
                if found.is_empty() {
                    // A conflict that names no entry can't be told apart from none.
                    return answer_all(rest, &IntakeOutcome::Unknown);
                }
                for entry in found {
                    let item = there.remove(&entry.key);
                    let outcome = item.map_or(IntakeOutcome::Unknown, |item| entry.found(item));
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
        let is_over = |entry: &Entry| {
            let limit = if entry.is_unconfirmed {
                UNCONFIRMED_TIMEOUT
            } else {
                NOT_STORED_TIMEOUT
            };
            now.since(entry.queued_at) >= limit
        };
        let (over, rest): (Vec<_>, Vec<_>) = group.into_iter().partition(is_over);
        for entry in over {
            let outcome = if entry.is_unconfirmed {
                IntakeOutcome::Unknown
            } else {
                IntakeOutcome::NotStored
            };
            entry.answer(outcome);
        }
        self.requeue(rest);
        self.store.pause(RETRY).await;
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
