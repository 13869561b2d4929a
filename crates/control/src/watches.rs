//! What a leader follows in the store: the intake and the list of workers.

use crate::follow::{follow, FollowPolicy, Update, FULL_ANSWER_COUNT};
use crate::keys::{self, IntakeKey};
use crate::leader::Leading;
use crate::node::Node;
use crate::platform::{Platform, WorkerEntryError, WorkerEntryFault};
use crate::recovery::stored_job;
use crate::store::{Item, Revision, WatchedChange};
use crate::worker_entries::{EntryChange, WorkerEntries, WorkerEntry};
use ospreywing_scheduler::{Event, StoredJob};
use ospreywing_types::Duration;
use slog::warn;
use std::rc::Rc;

/// How the intake is followed: nodes tell the leader of what they took, so
/// this finds only what such a message did not bring.
const INTAKE_POLICY: FollowPolicy = FollowPolicy {
    wait: Duration::from_ms(1500),
    refresh: None,
    pace: Duration::from_ms(400),
    is_confirming: false,
    reads_after_failure: false,
};

/// How the list of workers is followed. A watch that hangs is noticed, and the
/// list read, within the 2 s in which a draining worker must be left alone.
pub const WORKERS_POLICY: FollowPolicy = FollowPolicy {
    wait: Duration::from_ms(1000),
    refresh: Some(Duration::from_ms(10_000)),
    pace: Duration::from_ms(400),
    is_confirming: false,
    reads_after_failure: false,
};

/// Tells the scheduler of accepted jobs and cancels until the term is over.
pub async fn follow_intake<P: Platform>(node: Rc<Node<P>>, leading: Rc<Leading<P>>, at: Revision) {
    let store = node.store.clone();
    follow(
        store,
        keys::INTAKE_PREFIX,
        INTAKE_POLICY,
        Some(at),
        |update, _| {
            match update {
                Update::Snapshot(items) => {
                    node.note_contact();
                    items.iter().for_each(|item| learn_intake(&leading, item));
                }
                Update::Changes(changes) => {
                    node.note_contact();
                    for change in &changes {
                        if let WatchedChange::Put(item) = change {
                            learn_intake(&leading, item);
                        }
                    }
                }
                Update::Unchanged => node.note_contact(),
                Update::Failed(error) => {
                    warn!(node.log, "store call failed";
                    "what" => "intake", "error" => error.to_string());
                }
            }
            leading.flow()
        },
    )
    .await;
}

fn learn_intake<P: Platform>(leading: &Leading<P>, item: &Item) {
    match keys::parse_intake(&item.key) {
        Some(IntakeKey::Job(job)) if leading.job(job).is_none() => {
            if let Ok(StoredJob::Accepted(record)) = stored_job(item) {
                leading.tell(Event::JobAccepted { job, record });
            }
        }
        Some(IntakeKey::Cancel(job)) => leading.tell(Event::CancelAccepted { job }),
        _ => {}
    }
}

/// Tells the scheduler of the list of workers until the term is over.
pub async fn follow_workers<P: Platform>(node: Rc<Node<P>>, leading: Rc<Leading<P>>) {
    let mut known = WorkerEntries::default();
    let store = node.store.clone();
    let prefix = node.platform.workers_prefix();
    follow(store, prefix, WORKERS_POLICY, None, |update, true_at| {
        let mut is_newest = true;
        match update {
            Update::Snapshot(items) => {
                if known.replace(items.iter().map(|item| read(&node, item))) {
                    let workers = known.workers().cloned().collect();
                    leading.tell(Event::WorkersListed(workers));
                }
            }
            Update::Changes(changes) => {
                is_newest = changes.len() < FULL_ANSWER_COUNT;
                node.metrics.note_worker_entries(changes.len());
                let changed = known.apply(changes.into_iter().map(|it| entry_change(&node, it)));
                if !changed.is_empty() {
                    leading.tell(Event::WorkersChanged(changed));
                }
            }
            Update::Unchanged => {}
            Update::Failed(error) => {
                warn!(node.log, "store call failed";
                    "what" => "workers", "error" => error.to_string());
                return leading.flow();
            }
        }
        for error in known.take_new_faults() {
            node.metrics.note_unreadable_entry(error.fault);
            warn!(node.log, "worker's entry names no worker to use";
                "key" => &error.key, "reason" => error.fault.as_str(), "detail" => &error.detail);
        }
        node.note_contact();
        if is_newest {
            leading.beliefs.workers.confirm(true_at);
        }
        leading.flow()
    })
    .await;
}

fn entry_change<P: Platform>(node: &Node<P>, change: WatchedChange) -> EntryChange {
    match change {
        WatchedChange::Put(item) => EntryChange::Written(read(node, &item)),
        WatchedChange::Gone { key } => EntryChange::Gone(key),
    }
}

fn read<P: Platform>(node: &Node<P>, item: &Item) -> WorkerEntry {
    let read = match item.bytes() {
        Ok(value) => node.platform.parse_worker(&item.key, value),
        Err(error) => Err(WorkerEntryError {
            key: item.key.clone(),
            fault: WorkerEntryFault::Form,
            detail: error.to_string(),
        }),
    };
    WorkerEntry::new(item.key.clone(), item.revision, read)
}
