//! The leader's watches of the intake and of the worker list in the store.

use crate::follow::{follow, FollowPolicy, Update, FULL_ANSWER_COUNT};
use crate::intake_snapshot::{AcceptedJob, IntakeSnapshot};
use crate::keys::{self, IntakeKey};
use crate::leader::Term;
use crate::node::Node;
use crate::platform::{Platform, WorkerEntryError, WorkerEntryFault};
use crate::recovery::{log_unreadable_item, parse_stored_job};
use crate::store::{Item, Revision, WatchedChange};
use crate::worker_entries::{EntryChange, WorkerEntries, WorkerEntry};
use ospreywing_scheduler::{Event, StoredJob};
use ospreywing_types::Duration;
use slog::{info, warn};
use std::rc::Rc;

/// How the intake is followed. Nodes notify the leader of what they accepted, so this
/// finds only what those messages missed.
const INTAKE_POLICY: FollowPolicy = FollowPolicy {
    wait: Duration::from_ms(1500),
    reread_after: None,
    max_pause: Duration::from_ms(400),
    confirms_changes: false,
    rereads_after_failure: false,
};

/// How the worker list is followed. A watch that hangs is detected, and the list is read
/// again, within the 2 s after which no run may start on a draining worker.
pub const WORKERS_POLICY: FollowPolicy = FollowPolicy {
    wait: Duration::from_ms(1000),
    reread_after: Some(Duration::from_ms(10_000)),
    max_pause: Duration::from_ms(400),
    confirms_changes: false,
    rereads_after_failure: false,
};

/// Passes accepted jobs and cancels from the store to the scheduler until the term is over.
pub async fn follow_intake<P: Platform>(node: Rc<Node<P>>, term: Rc<Term<P>>, at: Revision) {
    let store = node.store.clone();
    follow(
        store,
        keys::INTAKE_PREFIX,
        INTAKE_POLICY,
        Some(at),
        |update, _| {
            match update {
                Update::Snapshot(items) => {
                    node.record_store_contact();
                    handle_intake_snapshot(&node, &term, items);
                }
                Update::Changes(changes) => {
                    node.record_store_contact();
                    for change in &changes {
                        if let WatchedChange::Put(item) = change {
                            handle_intake_item(&node, &term, item);
                        }
                    }
                }
                Update::Unchanged => node.record_store_contact(),
                Update::Failed(error) => {
                    warn!(node.log, "store call failed";
                    "what" => "intake", "error" => error.to_string());
                }
            }
            term.flow()
        },
    )
    .await;
}

/// Passes the jobs and cancels to the scheduler that it has missed, each cancel after its job.
fn handle_intake_snapshot<P: Platform>(node: &Node<P>, term: &Term<P>, items: Vec<Item>) {
    let snapshot = IntakeSnapshot::new(&node.log, items);
    let is_new = |job: &AcceptedJob| term.job(job.id).is_none();
    let new_jobs: Vec<AcceptedJob> = snapshot.accepted.into_iter().filter(is_new).collect();
    info!(node.log, "intake read whole";
        "new_jobs" => new_jobs.len(), "cancels" => snapshot.cancelled.len(),
        "ended" => snapshot.ended.len(), "fence" => term.fence);
    for AcceptedJob { id: job, record } in new_jobs {
        let record = Box::new(record);
        term.send_event(Event::JobAccepted { job, record });
    }
    for job in snapshot.cancelled {
        term.send_event(Event::CancelAccepted { job });
    }
}

/// Passes a written item to the scheduler. A watch returns a job before its cancel.
fn handle_intake_item<P: Platform>(node: &Node<P>, term: &Term<P>, item: &Item) {
    match keys::parse_intake(&item.key) {
        Some(IntakeKey::Job(job)) if term.job(job).is_none() => match parse_stored_job(item) {
            Ok(StoredJob::Accepted(record)) => {
                term.send_event(Event::JobAccepted { job, record });
            }
            Ok(StoredJob::Ended(_)) => {}
            Err(error) => log_unreadable_item(&node.log, &item.key, &error.to_string()),
        },
        Some(IntakeKey::Job(_)) => {}
        Some(IntakeKey::Cancel(job)) => term.send_event(Event::CancelAccepted { job }),
        None => log_unreadable_item(&node.log, &item.key, "unknown key"),
    }
}

/// Passes changes of the worker list to the scheduler until the term is over.
pub async fn follow_workers<P: Platform>(node: Rc<Node<P>>, term: Rc<Term<P>>) {
    let mut entries = WorkerEntries::default();
    let store = node.store.clone();
    let prefix = node.platform.workers_prefix();
    follow(store, prefix, WORKERS_POLICY, None, |update, as_of| {
        let mut is_newest = true;
        match update {
            Update::Snapshot(items) => {
                if entries.replace(items.iter().map(|item| parse_entry(&node, item))) {
                    let workers = entries.workers().cloned().collect();
                    term.send_event(Event::WorkersListed(workers));
                }
            }
            Update::Changes(changes) => {
                is_newest = changes.len() < FULL_ANSWER_COUNT;
                node.metrics.count_worker_entries(changes.len());
                let changed = entries.apply(changes.into_iter().map(|it| entry_change(&node, it)));
                if !changed.is_empty() {
                    term.send_event(Event::WorkersChanged(changed));
                }
            }
            Update::Unchanged => {}
            Update::Failed(error) => {
                warn!(node.log, "store call failed";
                    "what" => "workers", "error" => error.to_string());
                return term.flow();
            }
        }
        for error in entries.take_new_faults() {
            node.metrics.count_unreadable_entry(error.fault);
            warn!(node.log, "unusable worker entry";
                "key" => &error.key, "reason" => error.fault.as_str(), "detail" => &error.detail);
        }
        node.record_store_contact();
        if is_newest {
            term.store_views.workers.confirm(as_of);
        }
        term.flow()
    })
    .await;
}

fn entry_change<P: Platform>(node: &Node<P>, change: WatchedChange) -> EntryChange {
    match change {
        WatchedChange::Put(item) => EntryChange::Written(parse_entry(node, &item)),
        WatchedChange::Gone { key } => EntryChange::Gone(key),
    }
}

fn parse_entry<P: Platform>(node: &Node<P>, item: &Item) -> WorkerEntry {
    let parsed = match item.bytes() {
        Ok(value) => node.platform.parse_worker(&item.key, value),
        Err(error) => Err(WorkerEntryError {
            key: item.key.clone(),
            fault: WorkerEntryFault::Form,
            detail: error.to_string(),
        }),
    };
    WorkerEntry::new(item.key.clone(), item.revision, parsed)
}
