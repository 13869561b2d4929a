//! Follows the operators' cordons in the store.
//!
//! The leader follows them during its term, and starts no run while it may have missed one.

use crate::follow::{follow, FollowPolicy, Update};
use crate::leader::Term;
use crate::node::Node;
use crate::platform::{CordonError, CordonFault, Platform};
use crate::store::{Item, WatchedChange};
use ospreywing_scheduler::Event;
use ospreywing_types::Duration;
use slog::warn;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

/// The watches that fit into the time for which a confirmation is valid, so that two may fail.
const CONFIRMATIONS_COUNT: u64 = 3;

/// The cordons by key, as last read.
#[derive(Debug, Default)]
pub struct CordonList {
    by_key: BTreeMap<String, Arc<str>>,
}

impl CordonList {
    /// Replaces the whole list; returns the errors of unusable cordons.
    pub fn replace(
        &mut self,
        items: impl Iterator<Item = (String, Result<Arc<str>, CordonError>)>,
    ) -> Vec<CordonError> {
        let before = core::mem::take(&mut self.by_key);
        let mut errors = Vec::new();
        for (key, parsed) in items {
            match parsed {
                Ok(data_centre) => {
                    self.by_key.insert(key, data_centre);
                }
                Err(error) => {
                    // An unusable cordon leaves the state as it was.
                    if let Some(data_centre) = before.get(&key) {
                        self.by_key.insert(key, data_centre.clone());
                    }
                    errors.push(error);
                }
            }
        }
        errors
    }

    /// Applies a cordon that was written.
    ///
    /// # Errors
    ///
    /// Returns the [`CordonError`] of an unusable cordon, which leaves the list as it was.
    pub fn write(
        &mut self,
        key: String,
        parsed: Result<Arc<str>, CordonError>,
    ) -> Result<(), CordonError> {
        self.by_key.insert(key, parsed?);
        Ok(())
    }

    /// Removes a cordon that was lifted.
    pub fn lift(&mut self, key: &str) {
        self.by_key.remove(key);
    }

    /// Returns the cordoned data centres.
    pub fn data_centres(&self) -> BTreeSet<Arc<str>> {
        self.by_key.values().cloned().collect()
    }
}

/// Parses a stored cordon.
pub(crate) fn parse_item<P: Platform>(
    node: &Node<P>,
    item: &Item,
) -> Result<Arc<str>, CordonError> {
    let value = item.bytes().map_err(|error| CordonError {
        key: item.key.clone(),
        fault: CordonFault::Form,
        detail: error.to_string(),
    })?;
    node.platform.parse_cordon(&item.key, value)
}

/// Parses the cordons that are set at the start of a term.
pub(crate) fn parse_all<P: Platform>(node: &Node<P>, items: &[Item]) -> BTreeSet<Arc<str>> {
    let mut list = CordonList::default();
    let parsed = items
        .iter()
        .map(|item| (item.key.clone(), parse_item(node, item)));
    for error in list.replace(parsed) {
        log_cordon_error(node, &error);
    }
    list.data_centres()
}

fn log_cordon_error<P: Platform>(node: &Node<P>, error: &CordonError) {
    node.metrics.count_unusable_cordon(error.fault);
    warn!(node.log, "cordon not followed";
        "key" => &error.key, "reason" => error.fault.as_str(), "detail" => &error.detail);
}

/// Returns the policy for following cordons whose confirmations are valid for `limit`.
fn policy(limit: Duration) -> FollowPolicy {
    FollowPolicy {
        wait: Duration::from_ms(limit.as_ms() / CONFIRMATIONS_COUNT),
        reread_after: None,
        max_pause: Duration::ZERO,
        confirms_changes: true,
        rereads_after_failure: true,
    }
}

/// Passes changes of the cordons to the scheduler until the term is over.
pub(crate) async fn follow_cordons<P: Platform>(node: Rc<Node<P>>, term: Rc<Term<P>>) {
    let mut list = CordonList::default();
    let mut last_sent = None;
    let store = node.store.clone();
    let prefix = node.platform.cordons_prefix();
    let policy = policy(term.store_views.cordons.limit());
    follow(store, prefix, policy, None, |update, as_of| {
        let errors = match update {
            Update::Snapshot(items) => {
                let parsed = items
                    .iter()
                    .map(|item| (item.key.clone(), parse_item(&node, item)));
                list.replace(parsed)
            }
            Update::Changes(changes) => apply_changes(&node, &mut list, changes),
            Update::Unchanged => Vec::new(),
            Update::Failed(error) => {
                warn!(node.log, "store call failed";
                    "what" => "cordons", "error" => error.to_string());
                return term.flow();
            }
        };
        errors
            .iter()
            .for_each(|error| log_cordon_error(&node, error));
        let data_centres = list.data_centres();
        if last_sent.as_ref() != Some(&data_centres) {
            term.send_event(Event::CordonsListed(data_centres.clone()));
            last_sent = Some(data_centres);
        }
        term.store_views.cordons.confirm(as_of);
        term.flow()
    })
    .await;
}

fn apply_changes<P: Platform>(
    node: &Node<P>,
    list: &mut CordonList,
    changes: Vec<WatchedChange>,
) -> Vec<CordonError> {
    let mut errors = Vec::new();
    for change in changes {
        match change {
            WatchedChange::Put(item) => {
                let parsed = parse_item(node, &item);
                errors.extend(list.write(item.key, parsed).err());
            }
            WatchedChange::Gone { key } => list.lift(&key),
        }
    }
    errors
}
