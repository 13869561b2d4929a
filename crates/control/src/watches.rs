//! What a leader follows in the store: the intake and the list of workers.

use crate::follow::{follow, Flow, FollowPolicy, Update};
use crate::keys::{self, IntakeKey};
use crate::leader::Leading;
use crate::node::Node;
use crate::platform::Platform;
use crate::recovery::damaged;
use crate::store::{Item, Revision, WatchedChange};
use ospreywing_scheduler::{Event, StoredJob, WorkerFacts};
use ospreywing_types::Duration;
use slog::warn;
use std::collections::BTreeMap;
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
const WORKERS_POLICY: FollowPolicy = FollowPolicy {
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
            flow_of(&leading)
        },
    )
    .await;
}

fn flow_of<P: Platform>(leading: &Leading<P>) -> Flow {
    if leading.is_over() {
        Flow::Stop
    } else {
        Flow::Continue
    }
}

fn learn_intake<P: Platform>(leading: &Leading<P>, item: &Item) {
    match keys::parse_intake(&item.key) {
        Some(IntakeKey::Job(job)) if leading.job(job).is_none() => {
            if let Ok(StoredJob::Accepted(record)) = StoredJob::from_bytes(&item.value) {
                leading.tell(Event::JobAccepted { job, record });
            }
        }
        Some(IntakeKey::Cancel(job)) => leading.tell(Event::CancelAccepted { job }),
        _ => {}
    }
}

/// Tells the scheduler of the list of workers until the term is over.
pub async fn follow_workers<P: Platform>(node: Rc<Node<P>>, leading: Rc<Leading<P>>) {
    let mut known: BTreeMap<String, KnownWorker> = BTreeMap::new();
    let store = node.store.clone();
    let prefix = node.platform.workers_prefix();
    follow(store, prefix, WORKERS_POLICY, None, |update, _| {
        let has_changed = match update {
            Update::Snapshot(items) => {
                let read = items.iter().filter_map(|item| read_worker(&node, item));
                let read: BTreeMap<_, _> = read.collect();
                let has_changed = !are_alike(&read, &known);
                known = read;
                has_changed
            }
            Update::Changes(changes) => {
                let before = known.clone();
                for change in changes {
                    match change {
                        WatchedChange::Put(item) if is_newer(&known, &item) => {
                            known.extend(read_worker(&node, &item));
                        }
                        // A later page of a list showed what came after this change.
                        WatchedChange::Put(_) => {}
                        WatchedChange::Gone { key } => {
                            known.remove(&key);
                        }
                    }
                }
                !are_alike(&before, &known)
            }
            Update::Unchanged => false,
            Update::Failed(error) => {
                warn!(node.log, "store call failed";
                    "what" => "workers", "error" => error.to_string());
                return flow_of(&leading);
            }
        };
        node.note_contact();
        if has_changed {
            let facts = known.values().map(|worker| worker.facts.clone());
            leading.tell(Event::WorkersListed(facts.collect()));
        }
        flow_of(&leading)
    })
    .await;
}

/// A worker's entry as it was read last.
#[derive(Clone, Debug)]
struct KnownWorker {
    facts: WorkerFacts,
    revision: Revision,
}

/// Returns whether an item was written after what is known of its key: a worker's room
/// may shrink, and an older word must not bring it back.
fn is_newer(known: &BTreeMap<String, KnownWorker>, item: &Item) -> bool {
    let known = known.get(&item.key);
    known.is_none_or(|worker| worker.revision < item.revision)
}

/// Returns whether both lists say the same of the workers; entries are rewritten all the
/// time.
fn are_alike(one: &BTreeMap<String, KnownWorker>, other: &BTreeMap<String, KnownWorker>) -> bool {
    let one = one.values().map(|worker| &worker.facts);
    let other = other.values().map(|worker| &worker.facts);
    one.eq(other)
}

fn read_worker<P: Platform>(node: &Node<P>, item: &Item) -> Option<(String, KnownWorker)> {
    let revision = item.revision;
    match node.platform.parse_worker(&item.key, &item.value) {
        Ok(facts) => Some((item.key.clone(), KnownWorker { facts, revision })),
        Err(error) => {
            damaged(&node.log, &item.key, &error.to_string());
            None
        }
    }
}
