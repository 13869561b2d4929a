//! Keeps a node's view of the cell up to date by watching the store.
//!
//! Every node has an item with a lease of its own. Only the leader follows these items: if
//! every node did, the store's traffic would grow with the square of the number of nodes.
//! The other nodes follow the leader item and the few candidates that the leader names.

use crate::cell_view::{CandidateList, CellView};
use crate::follow::{follow, Flow, FollowPolicy, Update};
use crate::leader::Term;
use crate::node::{Node, WATCH_TIMEOUT};
use crate::platform::Platform;
use crate::store::{Item, Store, Transaction, WatchedChange};
use crate::{cell_view, clock, election, keys, recovery};
use ospreywing_types::Duration;
use slog::{info, warn, Logger};
use std::rc::Rc;

/// The longest pause between two watches of the node items.
const NODES_MAX_PAUSE: Duration = Duration::from_ms(100);
/// How long a watch of the leader item waits for changes in a large cell.
const LARGE_CELL_WATCH_TIMEOUT: Duration = Duration::from_ms(6000);
/// The time after which the whole view of the cell is read again.
const CELL_REREAD_AFTER: Duration = Duration::from_ms(10_000);
/// The minimum time between two changes of the candidate list, since each is sent to every
/// node.
const CANDIDATES_PERIOD: Duration = Duration::from_ms(500);

/// How the parts of the cell are followed.
const CELL_POLICY: FollowPolicy = FollowPolicy {
    wait: WATCH_TIMEOUT,
    reread_after: Some(CELL_REREAD_AFTER),
    max_pause: Duration::ZERO,
    confirms_changes: false,
    rereads_after_failure: false,
};

/// Follows the leader and the candidates.
pub async fn follow_leader<P: Platform>(node: Rc<Node<P>>) {
    loop {
        let wait = leader_wait(&node);
        let policy = FollowPolicy {
            wait,
            ..CELL_POLICY
        };
        let store = node.store.clone();
        follow(store, keys::LEADER_PREFIX, policy, None, |update, _| {
            handle_leader_update(&node, update);
            if leader_wait(&node) == wait {
                Flow::Continue
            } else {
                Flow::Stop
            }
        })
        .await;
    }
}

/// Returns how long a watch of the leader waits for changes. It is longer in a large cell:
/// there few nodes matter for the next election, and an answer without changes costs as much
/// as one with.
fn leader_wait<P: Platform>(node: &Node<P>) -> Duration {
    if node.cell.borrow().list.shares_configuration {
        LARGE_CELL_WATCH_TIMEOUT
    } else {
        WATCH_TIMEOUT
    }
}

/// Follows the live nodes until the term is over.
pub(crate) async fn follow_nodes<P: Platform>(node: Rc<Node<P>>, term: Rc<Term<P>>) {
    let policy = FollowPolicy {
        max_pause: NODES_MAX_PAUSE,
        ..CELL_POLICY
    };
    let store = node.store.clone();
    follow(store, keys::NODES_PREFIX, policy, None, |update, _| {
        handle_nodes_update(&node, update);
        term.flow()
    })
    .await;
    let mut view = node.cell.borrow_mut();
    view.nodes.clear();
    view.registered_at.clear();
}

fn put(log: &Logger, view: &mut CellView, item: &Item) {
    if let Err(error) = view.put(item) {
        recovery::log_unreadable_item(log, &item.key, &error.to_string());
    }
}

/// Applies an update to a part of the view; returns whether the store answered. `clear`
/// empties that part of the view before a snapshot.
fn apply_update<P: Platform>(
    node: &Node<P>,
    view: &mut CellView,
    update: Update,
    clear: fn(&mut CellView),
) -> bool {
    match update {
        Update::Snapshot(items) => {
            clear(view);
            items.iter().for_each(|item| put(&node.log, view, item));
        }
        Update::Changes(changes) => {
            for change in &changes {
                match change {
                    WatchedChange::Put(item) => put(&node.log, view, item),
                    WatchedChange::Gone { key } => view.remove(key),
                }
            }
        }
        Update::Unchanged => {}
        Update::Failed(error) => {
            warn!(node.log, "store call failed";
                "what" => "cell", "error" => error.to_string());
            return false;
        }
    }
    true
}

fn handle_leader_update<P: Platform>(node: &Rc<Node<P>>, update: Update) {
    let mut view = node.cell.borrow_mut();
    let before = view.leader.clone();
    let clear = |view: &mut CellView| {
        view.leader = None;
        view.list = CandidateList::default();
    };
    if !apply_update(node, &mut view, update, clear) {
        return;
    }
    view.confirmed_at = clock::now();
    if view.leader != before {
        let name = view.leader.as_ref().map(|leader| leader.name.clone());
        info!(node.log, "leader changed"; "leader" => name.unwrap_or_default());
    }
    let stale = view
        .leader
        .clone()
        .filter(|leader| election::is_own_earlier_incarnation(node, leader));
    drop(view);
    if let Some(leader) = stale {
        tokio::task::spawn_local(election::evict_leader(
            node.clone(),
            leader,
            "own earlier life",
        ));
    }
    node.record_store_contact();
    node.cell_changed.notify_waiters();
}

/// Applies an update of the live nodes to the view.
pub(crate) fn handle_nodes_update<P: Platform>(node: &Rc<Node<P>>, update: Update) {
    let clear = |view: &mut CellView| {
        view.nodes.clear();
        view.registered_at.clear();
    };
    let is_answered = apply_update(node, &mut node.cell.borrow_mut(), update, clear);
    if is_answered {
        node.record_store_contact();
        node.cell_changed.notify_waiters();
    }
}

/// Writes the candidate list whenever it changes, until the term is over.
pub(crate) async fn publish_candidates<P: Platform>(node: Rc<Node<P>>, term: Rc<Term<P>>) {
    while !term.is_over() {
        let changed = node.cell_changed.notified();
        let list = cell_view::build_candidate_list(
            &node.cell.borrow(),
            node.settings.sharing_min_nodes_count,
        );
        if list.candidates.is_empty() || node.cell.borrow().list == list {
            // The term may end without a change of the view.
            let _ = tokio::time::timeout(WATCH_TIMEOUT.into(), changed).await;
            continue;
        }
        let value = postcard::to_allocvec(&list).unwrap_or_default();
        let transaction = Transaction::new()
            .with_expect(keys::LEADER, term.fence)
            .with_put(keys::CANDIDATES, value);
        match node.store.commit(&transaction).await {
            Ok(_) => {
                let names = list.candidates.iter().map(|it| it.name.as_str());
                let names: Vec<&str> = names.collect();
                info!(node.log, "candidates named"; "names" => names.join(" "),
                    "shares_configuration" => list.shares_configuration);
                node.cell.borrow_mut().list = list;
            }
            Err(error) => info!(node.log, "candidates not written"; "error" => error.to_string()),
        }
        tokio::time::sleep(CANDIDATES_PERIOD.into()).await;
    }
}
