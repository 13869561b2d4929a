//! Sharing of configurations between nodes.
//!
//! A configuration may have hundreds of kilobytes. In a large cell the store would send each
//! change to every node, and this would block its link, which carries all other answers too,
//! for longer the larger the cell is. So only the leader and the candidates follow the store.
//! The other nodes fetch the configuration from a candidate, if possible in their own data
//! centre. A candidate's answer includes the configuration's age, so that each node knows how
//! outdated its own may be. A node whose candidate does not answer, or is outdated itself,
//! follows the store.

use crate::cell_view::Candidate;
use crate::clock;
use crate::node::Node;
use crate::peer::{self, PeerReply, PeerRequest, SharedConfiguration, SharedItem};
use crate::platform::Platform;
use crate::stable_hash::stable_hash_below;
use crate::store::{Item, Revision};
use ospreywing_types::{Duration, Instant};
use slog::info;
use std::collections::HashMap;
use std::rc::Rc;
use thiserror::Error;

/// The default number of nodes from which configurations are shared between nodes.
pub const SHARING_MIN_NODES_COUNT: usize = 100;
/// The fetches that fit into the time within which a change must be in force.
const FETCHES_COUNT: u64 = 4;
/// The timeout of a fetch beyond the time that it waits for a change.
const ANSWER_TIMEOUT: Duration = Duration::from_ms(300);
/// How long a node that did not answer is not asked again.
const AVOID_TIME: Duration = Duration::from_ms(3000);
/// The longest time that a node holds another node's fetch.
const WAIT_LIMIT: Duration = Duration::from_ms(5000);

/// Why a configuration could not be fetched from another node.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
enum SharingError {
    /// There was no usable answer.
    #[error(transparent)]
    Peer(#[from] peer::PeerError),
    /// The other node has no configuration.
    #[error("the other node has no configuration")]
    Refused,
    /// The other node's configuration may be outdated.
    #[error("the other node's configuration was confirmed {} ms ago", .0.as_ms())]
    Outdated(Duration),
}

/// The nodes that are not asked for a while, since they gave no usable answer.
#[derive(Debug, Default)]
pub(crate) struct AvoidedNodes(HashMap<String, Instant>);

impl AvoidedNodes {
    fn avoid(&mut self, now: Instant, name: &str) {
        self.0.retain(|_, until| now < *until);
        self.0.insert(name.to_owned(), now + AVOID_TIME);
    }

    fn has(&self, now: Instant, name: &str) -> bool {
        self.0.get(name).is_some_and(|until| now < *until)
    }
}

/// Returns the candidate from which a node fetches configurations: if possible one in its own
/// data centre. The choice depends on the node's name, to spread the load. A candidate itself
/// has none.
pub fn choose_source_among<'c>(
    name: &str,
    data_centre: &str,
    candidates: &'c [Candidate],
    is_avoided: impl Fn(&str) -> bool,
) -> Option<&'c Candidate> {
    if candidates.iter().any(|candidate| candidate.name == name) {
        return None;
    }
    let usable: Vec<&Candidate> = candidates
        .iter()
        .filter(|candidate| !is_avoided(&candidate.name))
        .collect();
    let is_near = |candidate: &&&Candidate| candidate.record.data_centre == data_centre;
    let near: Vec<&Candidate> = usable.iter().filter(is_near).copied().collect();
    let choice = if near.is_empty() { usable } else { near };
    let index = stable_hash_below(name, choice.len() as u64) as usize;
    choice.get(index).copied()
}

/// Returns the node to fetch the configuration from; `None` if it is read from the store.
pub(crate) fn choose_source<P: Platform>(node: &Node<P>) -> Option<Candidate> {
    let now = clock::now();
    let cell = node.cell.borrow();
    if !cell.list.shares_configuration || node.term().is_some() {
        return None;
    }
    let avoided = node.configuration.avoided_sources.borrow();
    let settings = &node.settings;
    let is_avoided = |name: &str| avoided.has(now, name);
    choose_source_among(
        &settings.name,
        &settings.data_centre,
        &cell.list.candidates,
        is_avoided,
    )
    .cloned()
}

/// Fetches a newer configuration from a candidate and applies it; returns whether there was
/// a usable answer.
pub(crate) async fn fetch<P: Platform>(node: &Rc<Node<P>>, source: &Candidate) -> bool {
    let Err(error) = try_fetch(node, source).await else {
        return true;
    };
    info!(node.log, "configuration not fetched from another node";
        "by" => &source.name, "error" => error.to_string());
    let mut avoided = node.configuration.avoided_sources.borrow_mut();
    avoided.avoid(clock::now(), &source.name);
    false
}

async fn try_fetch<P: Platform>(
    node: &Rc<Node<P>>,
    source: &Candidate,
) -> Result<(), SharingError> {
    let wait = Duration::from_ms(node.settings.apply_limit.as_ms() / FETCHES_COUNT);
    let request = PeerRequest::Configuration {
        known: node.configuration.revision(),
        wait_ms: wait.as_ms(),
    };
    let sent_at = clock::now();
    let address = &source.record.address;
    let reply = peer::call(&node.peers, address, &request, wait + ANSWER_TIMEOUT).await?;
    let PeerReply::Configuration(shared) = reply else {
        return Err(SharingError::Refused);
    };
    let age = Duration::from_ms(shared.age_ms);
    if age.times(2) > node.settings.apply_limit + wait {
        return Err(SharingError::Outdated(age));
    }
    // The nodes' clocks differ, but the time for which the request was held has also passed
    // on this node's clock.
    let answered_at = sent_at + Duration::from_ms(shared.held_ms);
    let item = shared.item.map(|item| Item {
        key: node.platform.configuration_key().to_owned(),
        value: Ok(item.value),
        revision: item.revision,
    });
    node.apply_configuration_items(item.as_slice(), answered_at - age);
    Ok(())
}

/// Handles another node's fetch: answers as soon as there is a configuration newer than
/// `known`, or after `wait`.
pub(crate) async fn handle_request<P: Platform>(
    node: &Rc<Node<P>>,
    known: Revision,
    wait: Duration,
) -> PeerReply {
    let started_at = clock::now();
    let wait = wait.min(WAIT_LIMIT);
    let view = &node.configuration;
    loop {
        let changed = view.changed();
        let held = clock::now().since(started_at);
        let is_newer = view.revision() > known;
        if is_newer || held >= wait {
            break;
        }
        let left = Duration::from_ms(wait.as_ms() - held.as_ms());
        // Whether notified or timed out, the revision is checked again.
        let _ = tokio::time::timeout(left.into(), changed).await;
    }
    let Some(stored) = view.stored() else {
        return PeerReply::Refused;
    };
    let now = clock::now();
    let item = (stored.revision > known).then(|| SharedItem {
        revision: stored.revision,
        value: stored.value.clone(),
    });
    PeerReply::Configuration(SharedConfiguration {
        item,
        age_ms: view.age(now).as_ms(),
        held_ms: now.since(started_at).as_ms(),
    })
}
