//! Probes the leader: the first candidates call it periodically, and evict it once two of
//! them agree that it is unresponsive while the store answers.

use crate::cell_view::{CellView, LeaderRecord};
use crate::failure_detector::{FailureDetector, PROBE_PERIOD, PROBE_TIMEOUT};
use crate::node::Node;
use crate::peer::{self, PeerReply, PeerRequest};
use crate::platform::Platform;
use crate::store::LeaseId;
use crate::{clock, election};
use ospreywing_scheduler::Feature;
use ospreywing_types::Instant;
use slog::info;
use std::rc::Rc;

/// The number of candidates that probe the leader: one suspects it, another confirms that.
const OBSERVERS_COUNT: usize = 2;

/// Probes the leader for as long as the node runs.
pub(crate) async fn probe_leader<P: Platform>(node: Rc<Node<P>>) {
    if !node.settings.features.has(Feature::LeaderProbes) {
        return;
    }
    loop {
        if !node.detector.get().is_probe_due(clock::now()) || observed_leader(&node).is_none() {
            tokio::time::sleep(PROBE_PERIOD.into()).await;
        }
        let Some(leader) = observed_leader(&node) else {
            continue;
        };
        reset_if_new_leader(&node, leader.lease);
        if !node.detector.get().is_probe_due(clock::now()) {
            continue;
        }
        probe(&node, &leader).await;
        if node.detector.get().is_suspected(clock::now()) {
            evict_if_confirmed(&node, leader).await;
        }
    }
}

/// Returns the leader if this node is to probe it.
///
/// In a large cell no node probes it: there a leader may be busy for longer than the detector
/// waits, so only its lease counts.
fn observed_leader<P: Platform>(node: &Node<P>) -> Option<LeaderRecord> {
    let cell = node.cell.borrow();
    let leader = cell.leader.clone()?;
    let is_observer = observers(&cell).any(|name| name == node.settings.name);
    let is_able = !cell.list.shares_configuration && node.has_store_contact();
    (is_observer && is_able && !node.is_draining.get()).then_some(leader)
}

/// Returns the names of the nodes that probe the leader.
fn observers(cell: &CellView) -> impl Iterator<Item = &str> {
    let leader = cell.leader.as_ref().map(|leader| leader.name.as_str());
    let names = cell.list.candidates.iter().map(|it| it.name.as_str());
    names
        .filter(move |name| Some(*name) != leader)
        .take(OBSERVERS_COUNT)
}

/// Resets the failure detector if there is a new leader.
fn reset_if_new_leader<P: Platform>(node: &Node<P>, lease: LeaseId) {
    if node.detector.get().leader() != lease {
        node.detector.set(FailureDetector::new(lease, clock::now()));
    }
}

/// Records that the leader with this lease has answered a call.
pub(crate) fn record_answer<P: Platform>(node: &Node<P>, lease: LeaseId, sent_at: Instant) {
    let mut detector = node.detector.get();
    if detector.leader() == lease {
        detector.record_answer(sent_at);
        node.detector.set(detector);
    }
}

async fn probe<P: Platform>(node: &Rc<Node<P>>, leader: &LeaderRecord) {
    let sent_at = clock::now();
    let reply = peer::call(
        &node.peers,
        &leader.address,
        &PeerRequest::Leader,
        PROBE_TIMEOUT,
    )
    .await;
    if reply.is_ok() {
        record_answer(node, leader.lease, sent_at);
        return;
    }
    let mut detector = node.detector.get();
    detector.record_miss();
    node.detector.set(detector);
    if reply.is_err_and(|error| error.is_unreachable()) {
        election::evict_unreachable_leader(node, leader.clone());
    }
}

/// Evicts the leader if another observer confirms that it is unresponsive.
async fn evict_if_confirmed<P: Platform>(node: &Rc<Node<P>>, leader: LeaderRecord) {
    let Some(address) = confirming_observer(node, &leader).await else {
        return;
    };
    let unresponsive_time = node.detector.get().unresponsive_time(clock::now());
    let name = leader.name.clone();
    if election::evict_unresponsive_leader(node, leader) {
        info!(node.log, "leader unresponsive";
            "leader" => name, "silence_ms" => unresponsive_time.as_ms(), "confirmed_by" => address);
    }
}

/// Returns the address of another observer that also finds the leader unresponsive.
async fn confirming_observer<P: Platform>(
    node: &Rc<Node<P>>,
    leader: &LeaderRecord,
) -> Option<String> {
    for address in other_observers(node) {
        let request = PeerRequest::IsLeaderSilent(leader.lease);
        let reply = peer::call(&node.peers, &address, &request, PROBE_TIMEOUT).await;
        if matches!(reply, Ok(PeerReply::LeaderSilent(true))) {
            return Some(address);
        }
    }
    None
}

fn other_observers<P: Platform>(node: &Node<P>) -> Vec<String> {
    let cell = node.cell.borrow();
    let names: Vec<&str> = observers(&cell).collect();
    let own = node.settings.name.as_str();
    let others = cell.list.candidates.iter();
    let others = others.filter(|it| it.name != own && names.contains(&it.name.as_str()));
    others.map(|it| it.record.address.clone()).collect()
}

/// Returns whether this node, as an observer, finds the leader with this lease unresponsive.
pub(crate) fn is_unresponsive<P: Platform>(node: &Node<P>, lease: LeaseId) -> bool {
    let detector = node.detector.get();
    detector.leader() == lease && detector.has_missed_probes()
}
