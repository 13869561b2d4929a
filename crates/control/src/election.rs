//! Leader election: when a node campaigns, and when it evicts a leader.
//!
//! A candidate writes the leader item on the condition that none exists, in one
//! transaction with the keys of the commit lanes. Since that changes the lanes'
//! revisions, a former leader can no longer commit. The transaction's revision
//! is the term's fencing token.

use crate::cell_view::{Candidate, CellView, LeaderRecord, NodeRecord};
use crate::commit::lane_value;
use crate::node::Node;
use crate::platform::Platform;
use crate::stable_hash::stable_hash_below;
use crate::store::{CommitError, LeaseId, Revision, Store, Transaction};
use crate::{clock, keys, leader, membership};
use ospreywing_scheduler::LANES_COUNT;
use ospreywing_types::Duration;
use slog::info;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The duration of the leader lease.
pub const LEADER_LEASE: Duration = Duration::from_ms(1500);
/// The oldest view of the cell on which a node campaigns. A campaign on an outdated
/// view is harmless, since the store decides.
const VIEW_AGE_LIMIT: Duration = Duration::from_ms(15_000);
/// The delay between the campaigns of two successive candidates.
const CAMPAIGN_STAGGER: Duration = Duration::from_ms(25);
/// The minimum time between two evictions by one node.
const EVICTION_PERIOD: Duration = Duration::from_ms(5000);
/// The additional delay of a node that is much weaker than another one.
const WEAK_DELAY: Duration = Duration::from_ms(400);
/// The CPU share from which a node campaigns without that delay if no candidates
/// are known: a whole core.
const NO_DELAY_CORES_MILLI: u32 = 1000;
/// The period over which the campaigns of nodes that are not candidates are spread, so that
/// the nodes of a large cell don't all campaign at once.
const NON_CANDIDATE_SPREAD: Duration = Duration::from_ms(200);
/// The factor between the CPU shares of two nodes from which one is much stronger.
const STRONGER_FACTOR: u32 = 2;
/// The pause before a failed step is retried.
const RETRY_PAUSE: Duration = Duration::from_ms(200);

/// Campaigns whenever there is no leader.
pub async fn campaign<P: Platform>(node: Rc<Node<P>>) {
    loop {
        let changed = node.cell_changed.notified();
        if !may_campaign(&node) {
            // The view may become outdated without a notification.
            let _ = tokio::time::timeout(RETRY_PAUSE.into(), changed).await;
            continue;
        }
        tokio::time::sleep(own_campaign_delay(&node).into()).await;
        if !may_campaign(&node) {
            continue;
        }
        if let Err(error) = run_campaign(&node).await {
            info!(node.log, "campaign failed"; "error" => error.to_string());
            tokio::time::sleep(RETRY_PAUSE.into()).await;
        }
    }
}

fn may_campaign<P: Platform>(node: &Rc<Node<P>>) -> bool {
    let view = node.cell.borrow();
    let is_fresh = clock::now().since(view.confirmed_at) <= VIEW_AGE_LIMIT;
    let is_able = node.configuration.is_known() && !node.is_draining.get();
    view.leader.is_none() && is_fresh && is_able
}

/// Returns how long this node waits before it campaigns.
fn own_campaign_delay<P: Platform>(node: &Rc<Node<P>>) -> Duration {
    let non_candidate_delay_ms =
        stable_hash_below(&node.settings.name, NON_CANDIDATE_SPREAD.as_ms());
    campaign_delay(
        &node.settings.name,
        &membership::own_node_record(node),
        &node.cell.borrow().list.candidates,
        Duration::from_ms(non_candidate_delay_ms),
    )
}

/// Returns how long a node waits before it campaigns.
///
/// Candidates campaign first, in their order. Other nodes follow, each after a further
/// `non_candidate_delay`. A node that is much weaker than another candidate waits until all
/// candidates have campaigned, since the leader's speed limits that of the whole cell.
pub fn campaign_delay(
    name: &str,
    own: &NodeRecord,
    candidates: &[Candidate],
    non_candidate_delay: Duration,
) -> Duration {
    let rank = candidates.iter().position(|other| other.name == name);
    let delay = match rank {
        Some(rank) => CAMPAIGN_STAGGER.times(rank as u64),
        None => CAMPAIGN_STAGGER.times(candidates.len() as u64) + non_candidate_delay,
    };
    let mut others = candidates.iter().filter(|other| other.name != name);
    if candidates.is_empty() {
        delay + weak_delay(own)
    } else if others.any(|other| is_much_stronger(&other.record, own)) {
        delay + WEAK_DELAY
    } else {
        delay
    }
}

/// Returns the delay of a node that knows no candidates: the weaker the node, the longer.
fn weak_delay(own: &NodeRecord) -> Duration {
    let missing_milli = NO_DELAY_CORES_MILLI.saturating_sub(own.cores_milli);
    let delay_ms = WEAK_DELAY.as_ms() * u64::from(missing_milli) / u64::from(NO_DELAY_CORES_MILLI);
    Duration::from_ms(delay_ms)
}

/// Returns whether a live node is much stronger than this one.
pub fn is_much_weaker(own: &NodeRecord, nodes: &BTreeMap<String, NodeRecord>) -> bool {
    nodes.values().any(|record| is_much_stronger(record, own))
}

/// Returns whether a much stronger node has registered after a revision.
///
/// An older registration may belong to a node that has stopped or is partitioned:
/// its item exists until its lease expires.
pub fn has_stronger_joined(own: &NodeRecord, view: &CellView, since: Revision) -> bool {
    let mut joined = view.registered_at.iter().filter(|(_, at)| **at > since);
    joined.any(|(name, _)| {
        let record = view.nodes.get(name);
        record.is_some_and(|record| is_much_stronger(record, own))
    })
}

const fn is_much_stronger(other: &NodeRecord, own: &NodeRecord) -> bool {
    other.cores_milli >= own.cores_milli * STRONGER_FACTOR
}

/// Campaigns once and, if elected, leads until the term is over.
async fn run_campaign<P: Platform>(node: &Rc<Node<P>>) -> Result<(), CommitError> {
    let sent_at = clock::now();
    let grant = node.store.grant_lease(LEADER_LEASE).await?;
    node.own_lease.set(grant.id);
    let record = own_leader_record(node);
    let fence = elect(node, &record, grant.id).await?;
    info!(node.log, "elected"; "fence" => fence, "lease" => grant.id);
    let valid_until = sent_at + grant.ttl;
    let was_resigned = leader::run_term(node, grant, fence, valid_until).await;
    info!(node.log, "term over"; "fence" => fence, "was_resigned" => was_resigned);
    Ok(())
}

/// Returns the leader record that this node publishes when it leads.
pub fn own_leader_record<P: Platform>(node: &Rc<Node<P>>) -> LeaderRecord {
    LeaderRecord {
        name: node.settings.name.clone(),
        address: node.settings.peer_address.to_string(),
        lease: node.own_lease.get(),
    }
}

/// Writes the leader item and returns the term's fencing token.
async fn elect<P: Platform>(
    node: &Rc<Node<P>>,
    record: &LeaderRecord,
    lease: LeaseId,
) -> Result<Revision, CommitError> {
    let value = postcard::to_allocvec(record).unwrap_or_default();
    let mut transaction = Transaction::new()
        .with_expect(keys::LEADER, 0)
        .with_leased_put(keys::LEADER, value.clone(), lease);
    for lane in 0..LANES_COUNT {
        // The fencing token is not known yet, so the lease id identifies the term.
        transaction = transaction.with_put(keys::lane(lane), lane_value(lease, 0));
    }
    let started_at = clock::now();
    loop {
        match node.store.commit(&transaction).await {
            Ok(committed) => return Ok(committed.revision),
            Err(CommitError::Conflict(items)) => {
                let own = items
                    .iter()
                    .find(|item| item.key == keys::LEADER && item.has_value(&value));
                // An earlier attempt of this transaction succeeded, but its answer was lost.
                return own
                    .map(|item| item.revision)
                    .ok_or(CommitError::Conflict(items.clone()));
            }
            Err(error) => {
                if clock::now().since(started_at) >= LEADER_LEASE {
                    return Err(error);
                }
                tokio::time::sleep(RETRY_PAUSE.into()).await;
            }
        }
    }
}

/// Returns whether the leader is an earlier incarnation of this node: it has the same
/// address, but a lease that this process did not take.
pub(crate) fn is_own_earlier_incarnation<P: Platform>(
    node: &Rc<Node<P>>,
    leader: &LeaderRecord,
) -> bool {
    let own_address = node.settings.peer_address.to_string();
    leader.address == own_address && node.own_lease.get() != leader.lease
}

/// Ends the lease of a leader that no longer leads.
pub(crate) async fn evict_leader<P: Platform>(
    node: Rc<Node<P>>,
    leader: LeaderRecord,
    reason: &'static str,
) {
    info!(node.log, "leader evicted"; "leader" => leader.name, "reason" => reason);
    // If the call fails, the lease expires by itself.
    let _ = node.store.end_lease(leader.lease).await;
}

/// Evicts a leader whose address refuses connections.
pub fn evict_unreachable_leader<P: Platform>(node: &Rc<Node<P>>, leader: LeaderRecord) {
    evict_rate_limited(node, leader, "connection refused");
}

/// Evicts a leader that leaves calls of several nodes unanswered; returns whether it does.
pub(crate) fn evict_unresponsive_leader<P: Platform>(
    node: &Rc<Node<P>>,
    leader: LeaderRecord,
) -> bool {
    evict_rate_limited(node, leader, "calls unanswered")
}

/// Evicts a leader, unless this node has evicted one within the eviction period; returns
/// whether it does.
///
/// The limit is there because a node that is itself partitioned suspects every leader. A
/// mistaken eviction is safe: the evicted leader's commits and orders are fenced like
/// those of any former leader.
fn evict_rate_limited<P: Platform>(
    node: &Rc<Node<P>>,
    leader: LeaderRecord,
    reason: &'static str,
) -> bool {
    let now = clock::now();
    let is_current = node.cell.borrow().leader.as_ref() == Some(&leader);
    if !is_current || now < node.next_eviction_at.get() {
        return false;
    }
    node.next_eviction_at.set(now + EVICTION_PERIOD);
    tokio::task::spawn_local(evict_leader(node.clone(), leader, reason));
    true
}
