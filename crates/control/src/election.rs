//! Membership and the leader's lease.
//!
//! The leader's item is written on the condition that there is none, in one
//! transaction with the keys of the commit lanes: whoever led before can
//! commit nothing from then on. The transaction's revision is the term's
//! fencing token.
//!
//! Every node keeps an item with a lease of its own. The leader alone follows
//! these: where each node did, what the store tells would grow with the square
//! of the cell. The others follow the leader and the few nodes that it names as
//! candidates, which stand first where it is gone.

use crate::commit::lane_value;
use crate::follow::{follow, Flow, FollowPolicy, Update};
use crate::leader::Leading;
use crate::node::{Node, WATCH_WAIT};
use crate::platform::Platform;
use crate::spread::draw_below;

use crate::store::{
    CommitError, Item, LeaseId, Revision, Store, StoreError, Transaction, UnreadableValue,
    WatchedChange,
};
use crate::{clock, keys, leader, recovery};
use ospreywing_scheduler::LANES_COUNT;
use ospreywing_types::{Duration, Instant};
use serde::{Deserialize, Serialize};
use slog::{info, warn, Logger};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use thiserror::Error;

/// The leader's lease.
pub const LEADER_LEASE: Duration = Duration::from_ms(1500);
/// A node's lease.
const NODE_LEASE: Duration = Duration::from_ms(4000);
/// The time between two renewals of a node's lease.
const NODE_RENEWAL: Duration = Duration::from_ms(900);
/// The time between two answers on nodes that come and go.
const NODES_PACE: Duration = Duration::from_ms(100);
/// How long a watch of the leader waits in a large cell.
const WATCH_WAIT_IN_LARGE_CELL: Duration = Duration::from_ms(6000);
/// The time after which the view of the cell is read again.
const CELL_REFRESH: Duration = Duration::from_ms(10_000);
/// The longest that a look at the cell may be old for a campaign; a campaign
/// on an old view is harmless, since the store decides.
const VIEW_LIMIT: Duration = Duration::from_ms(15_000);
/// The time by which each further node campaigns later.
const CAMPAIGN_STAGGER: Duration = Duration::from_ms(25);
/// The least time between two evictions by one node.
const EVICTION_PERIOD: Duration = Duration::from_ms(5000);
/// The candidates that a leader names.
pub const CANDIDATES_COUNT: usize = 8;
/// How much longer a node waits that is much weaker than others.
const WEAK_DELAY: Duration = Duration::from_ms(400);
/// The strength of a node that does not wait as a weak one where no candidates are known:
/// a whole core.
const STRONG_CORES_MILLI: u32 = 1000;
/// Within which time nodes that are no candidates stand, each at a moment of its own, so
/// that a large cell does not stand as one.
const CROWD_PERIOD: Duration = Duration::from_ms(200);
/// The least time between two changes of the candidates: every node is told of each.
const CANDIDATES_PERIOD: Duration = Duration::from_ms(500);
/// How many times as strong a node must be to count as much stronger.
const STRONGER_FACTOR: u32 = 2;
/// The time until something that failed is tried again.
const RETRY: Duration = Duration::from_ms(200);

/// A node, as the others find it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Where it is called.
    pub address: String,
    /// Its share of a core, in thousandths.
    pub cores_milli: u32,
    /// Its data centre; empty where it is not known.
    pub data_centre: String,
}

impl NodeRecord {
    /// Reads the stored form, also that of nodes which tell no data centre.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with bytes that can't be read.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (address, cores_milli, rest): (String, u32, &[u8]) = {
            let ((address, cores_milli), rest) = postcard::take_from_bytes(bytes)?;
            (address, cores_milli, rest)
        };
        let data_centre = if rest.is_empty() {
            String::new()
        } else {
            postcard::from_bytes(rest)?
        };
        Ok(Self {
            address,
            cores_milli,
            data_centre,
        })
    }
}

/// The leader, as the others find it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The node's name.
    pub name: String,
    /// Where it is called.
    pub address: String,
    /// Its lease.
    pub lease: LeaseId,
}

/// A node that stands for leader before others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// Its name.
    pub name: String,
    /// What it tells of itself.
    pub record: NodeRecord,
}

/// What a leader tells all nodes of the cell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CandidateList {
    /// The nodes that stand first where there is no leader, in their order.
    pub candidates: Vec<Candidate>,
    /// Whether the others have configurations from these rather than from the store.
    pub shares_configuration: bool,
}

/// What a node knows of the cell.
#[derive(Clone, Debug, Default)]
pub struct CellView {
    /// The leader, where there is one.
    pub leader: Option<LeaderRecord>,
    /// The nodes that stand first where there is none, in their order.
    pub candidates: Vec<Candidate>,
    /// Whether configurations are handed on by the candidates.
    pub shares_configuration: bool,
    /// The live nodes by name; known to the leader alone.
    pub nodes: BTreeMap<String, NodeRecord>,
    /// The revision at which each of them registered.
    pub registered: BTreeMap<String, Revision>,
    /// When the store last confirmed the view.
    pub seen_at: Instant,
}

/// An item of the cell can't be read.
#[derive(Debug, Error)]
enum CellItemError {
    /// Its value did not come whole.
    #[error(transparent)]
    Value(#[from] UnreadableValue),
    /// The value is of another form.
    #[error(transparent)]
    Form(#[from] postcard::Error),
}

impl CellView {
    /// Takes in an item.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with an item that can't be read; a leader that
    /// can't be read is taken for none, so that one is elected once its lease
    /// is over.
    fn put(&mut self, item: &Item) -> Result<(), CellItemError> {
        if item.key == keys::LEADER {
            self.leader = None;
            self.leader = Some(postcard::from_bytes(item.bytes()?)?);
        } else if item.key == keys::CANDIDATES {
            let list: CandidateList = postcard::from_bytes(item.bytes()?)?;
            self.take_candidates(list);
        } else if let Some(name) = item.key.strip_prefix(keys::NODES_PREFIX) {
            let record = NodeRecord::from_bytes(item.bytes()?)?;
            self.nodes.insert(name.to_owned(), record);
            self.registered.insert(name.to_owned(), item.revision);
        }
        Ok(())
    }

    fn has_list(&self, list: &CandidateList) -> bool {
        self.candidates == list.candidates && self.shares_configuration == list.shares_configuration
    }

    fn take_candidates(&mut self, list: CandidateList) {
        self.candidates = list.candidates;
        self.shares_configuration = list.shares_configuration;
    }

    fn remove(&mut self, key: &str) {
        if key == keys::LEADER {
            self.leader = None;
        } else if key == keys::CANDIDATES {
            self.take_candidates(CandidateList::default());
        } else if let Some(name) = key.strip_prefix(keys::NODES_PREFIX) {
            self.nodes.remove(name);
            self.registered.remove(name);
        }
    }
}

/// How the parts of the cell are followed.
const CELL_POLICY: FollowPolicy = FollowPolicy {
    wait: WATCH_WAIT,
    refresh: Some(CELL_REFRESH),
    pace: Duration::ZERO,
    is_confirming: false,
    reads_after_failure: false,
};

/// Keeps the view of the leader and the candidates.
pub async fn follow_leader<P: Platform>(node: Rc<Node<P>>) {
    loop {
        let wait = leader_wait(&node);
        let policy = FollowPolicy {
            wait,
            ..CELL_POLICY
        };
        let store = node.store.clone();
        follow(store, keys::LEADER_PREFIX, policy, None, |update, _| {
            learn_leader(&node, update);
            if leader_wait(&node) == wait {
                Flow::Continue
            } else {
                Flow::Stop
            }
        })
        .await;
    }
}

/// Returns how long a watch of the leader waits. In a large cell few nodes matter for the
/// next election, and each answer without a change costs as much as one with.
fn leader_wait<P: Platform>(node: &Node<P>) -> Duration {
    if node.cell.borrow().shares_configuration {
        WATCH_WAIT_IN_LARGE_CELL
    } else {
        WATCH_WAIT
    }
}

/// Keeps the view of the live nodes until the term is over.
pub(crate) async fn follow_nodes<P: Platform>(node: Rc<Node<P>>, leading: Rc<Leading<P>>) {
    let policy = FollowPolicy {
        pace: NODES_PACE,
        ..CELL_POLICY
    };
    let store = node.store.clone();
    follow(store, keys::NODES_PREFIX, policy, None, |update, _| {
        learn_nodes(&node, update);
        leading.flow()
    })
    .await;
    let mut view = node.cell.borrow_mut();
    view.nodes.clear();
    view.registered.clear();
}

fn put(log: &Logger, view: &mut CellView, item: &Item) {
    if let Err(error) = view.put(item) {
        recovery::damaged(log, &item.key, &error.to_string());
    }
}

/// Takes in a part of the cell; returns whether the store answered.
fn take_in<P: Platform>(
    node: &Node<P>,
    view: &mut CellView,
    update: Update,
    forget: fn(&mut CellView),
) -> bool {
    match update {
        Update::Snapshot(items) => {
            forget(view);
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

fn learn_leader<P: Platform>(node: &Rc<Node<P>>, update: Update) {
    let mut view = node.cell.borrow_mut();
    let before = view.leader.clone();
    let forget = |view: &mut CellView| {
        view.leader = None;
        view.take_candidates(CandidateList::default());
    };
    if !take_in(node, &mut view, update, forget) {
        return;
    }
    view.seen_at = clock::now();
    if view.leader != before {
        let name = view.leader.as_ref().map(|leader| leader.name.clone());
        info!(node.log, "leader known"; "leader" => name.unwrap_or_default());
    }
    let stale = view
        .leader
        .clone()
        .filter(|leader| is_own_earlier_life(node, leader));
    drop(view);
    if let Some(leader) = stale {
        tokio::task::spawn_local(evict(node.clone(), leader, "own earlier life"));
    }
    node.note_contact();
    node.cell_changed.notify_waiters();
}

/// Takes in which nodes live.
pub(crate) fn learn_nodes<P: Platform>(node: &Rc<Node<P>>, update: Update) {
    let forget = |view: &mut CellView| {
        view.nodes.clear();
        view.registered.clear();
    };
    let is_answered = take_in(node, &mut node.cell.borrow_mut(), update, forget);
    if is_answered {
        node.note_contact();
        node.cell_changed.notify_waiters();
    }
}

/// Keeps the candidates written that the leader names, until its term is over.
pub(crate) async fn publish_candidates<P: Platform>(node: Rc<Node<P>>, leading: Rc<Leading<P>>) {
    while !leading.is_over() {
        let changed = node.cell_changed.notified();
        let list = candidate_list(&node.cell.borrow(), node.settings.sharing_nodes_count);
        if list.candidates.is_empty() || node.cell.borrow().has_list(&list) {
            // The term may end without a change.
            let _ = tokio::time::timeout(WATCH_WAIT.into(), changed).await;
            continue;
        }
        let value = postcard::to_allocvec(&list).unwrap_or_default();
        let transaction = Transaction::new()
            .with_expect(keys::LEADER, leading.fence)
            .with_put(keys::CANDIDATES, value);
        match node.store.commit(&transaction).await {
            Ok(_) => {
                let names = list.candidates.iter().map(|it| it.name.as_str());
                let names: Vec<&str> = names.collect();
                info!(node.log, "candidates named"; "names" => names.join(" "),
                    "shares_configuration" => list.shares_configuration);
                node.cell.borrow_mut().take_candidates(list);
            }
            Err(error) => info!(node.log, "candidates not named"; "error" => error.to_string()),
        }
        tokio::time::sleep(CANDIDATES_PERIOD.into()).await;
    }
}

/// Returns what the leader tells of a cell, where configurations are handed on from
/// `sharing_count` nodes on.
fn candidate_list(view: &CellView, sharing_count: usize) -> CandidateList {
    let nodes_count = view.nodes.len();
    let is_large = nodes_count >= sharing_count;
    // Nodes that come and go at the bound don't change the way each time.
    let is_still_large = view.shares_configuration && nodes_count * 2 >= sharing_count;
    CandidateList {
        candidates: candidates_of(&view.nodes),
        shares_configuration: is_large || is_still_large,
    }
}

/// Returns the nodes that should lead first: the strongest, and of equal ones one of each data
/// centre before a second one of any.
pub fn candidates_of(nodes: &BTreeMap<String, NodeRecord>) -> Vec<Candidate> {
    let mut ranked: Vec<(&String, &NodeRecord)> = nodes.iter().collect();
    ranked.sort_by_key(|(name, record)| (Reverse(record.cores_milli), *name));
    let mut counts: HashMap<(u32, &str), usize> = HashMap::new();
    let mut by_turns: Vec<_> = ranked
        .into_iter()
        .map(|(name, record)| {
            let count = counts
                .entry((record.cores_milli, &record.data_centre))
                .or_default();
            *count += 1;
            ((Reverse(record.cores_milli), *count, name), record)
        })
        .collect();
    by_turns.sort_by_key(|(turn, _)| *turn);
    let first = by_turns.into_iter().take(CANDIDATES_COUNT);
    let candidates = first.map(|((_, _, name), record)| Candidate {
        name: name.clone(),
        record: record.clone(),
    });
    candidates.collect()
}

/// Keeps the node's own item.
pub async fn keep_membership<P: Platform>(node: Rc<Node<P>>) {
    let mut lease = None;
    while !node.is_draining.get() {
        let kept = match lease {
            None => register(&node).await,
            Some(lease) => node.store.keep_lease(lease).await.map(|()| lease),
        };
        let pause = match kept {
            Ok(kept) => {
                lease = Some(kept);
                node.note_contact();
                NODE_RENEWAL
            }
            Err(StoreError::LeaseOver) => {
                lease = None;
                Duration::ZERO
            }
            Err(_) => RETRY,
        };
        tokio::time::sleep(pause.into()).await;
    }
}

async fn register<P: Platform>(node: &Rc<Node<P>>) -> Result<LeaseId, StoreError> {
    let grant = node.store.grant_lease(NODE_LEASE).await?;
    let record = membership_record(node);
    let value = postcard::to_allocvec(&record).unwrap_or_default();
    let key = keys::node(&node.settings.name);
    let transaction = Transaction::new().with_leased_put(key, value, grant.id);
    match node.store.commit(&transaction).await {
        Ok(_) => Ok(grant.id),
        Err(CommitError::Store(error)) => Err(error),
        Err(CommitError::Conflict(_)) => Err(StoreError::LeaseOver),
    }
}

/// Takes the node's own item away, so that nobody calls it any more.
pub async fn leave<P: Platform>(node: &Rc<Node<P>>) {
    let key = keys::node(&node.settings.name);
    let transaction = Transaction::new().with_remove(key);
    // The item goes with its lease otherwise.
    let _ = node.store.commit(&transaction).await;
}

/// Campaigns whenever there is no leader.
pub async fn campaign<P: Platform>(node: Rc<Node<P>>) {
    loop {
        let changed = node.cell_changed.notified();
        if !may_campaign(&node) {
            // A view that grows old is noticed by the clock.
            let _ = tokio::time::timeout(RETRY.into(), changed).await;
            continue;
        }
        tokio::time::sleep(stagger(&node).into()).await;
        if !may_campaign(&node) {
            continue;
        }
        if let Err(error) = run_campaign(&node).await {
            info!(node.log, "campaign lost"; "error" => error.to_string());
            tokio::time::sleep(RETRY.into()).await;
        }
    }
}

fn may_campaign<P: Platform>(node: &Rc<Node<P>>) -> bool {
    let view = node.cell.borrow();
    let is_fresh = clock::now().since(view.seen_at) <= VIEW_LIMIT;
    let is_able = node.configuration.is_known() && !node.is_draining.get();
    view.leader.is_none() && is_fresh && is_able
}

/// Returns how long this node lets others go first.
fn stagger<P: Platform>(node: &Rc<Node<P>>) -> Duration {
    let draw_ms = draw_below(&node.settings.name, CROWD_PERIOD.as_ms());
    campaign_delay(
        &node.settings.name,
        &membership_record(node),
        &node.cell.borrow().candidates,
        Duration::from_ms(draw_ms),
    )
}

/// Returns what the others are told of this node.
pub fn membership_record<P: Platform>(node: &Node<P>) -> NodeRecord {
    NodeRecord {
        address: node.settings.peer_address.to_string(),
        cores_milli: node.settings.cores_milli,
        data_centre: node.settings.data_centre.clone(),
    }
}

/// Returns how long a node lets others stand first: the candidates, in their order. Whoever
/// is none stands after them, at a moment that `draw` tells. A node that is much weaker than
/// others waits long enough for all of them, since the whole cell's speed is the leader's.
pub fn campaign_delay(
    name: &str,
    own: &NodeRecord,
    candidates: &[Candidate],
    draw: Duration,
) -> Duration {
    let rank = candidates.iter().position(|other| other.name == name);
    let delay = match rank {
        Some(rank) => CAMPAIGN_STAGGER.times(rank as u64),
        None => CAMPAIGN_STAGGER.times(candidates.len() as u64) + draw,
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

/// Returns how long a node lets others go first of which it knows nothing.
fn weak_delay(own: &NodeRecord) -> Duration {
    let missing_milli = STRONG_CORES_MILLI.saturating_sub(own.cores_milli);
    let part_ms = WEAK_DELAY.as_ms() * u64::from(missing_milli) / u64::from(STRONG_CORES_MILLI);
    Duration::from_ms(part_ms)
}

/// Returns whether a live node is much stronger than this one.
pub fn is_much_weaker(own: &NodeRecord, nodes: &BTreeMap<String, NodeRecord>) -> bool {
    nodes.values().any(|record| is_much_stronger(record, own))
}

/// Returns whether a much stronger node has registered after this revision.
///
/// An older registration may be that of a node which is gone or cut off: its
/// item stays until its lease is over.
pub fn has_stronger_joined(own: &NodeRecord, view: &CellView, since: Revision) -> bool {
    let mut joined = view.registered.iter().filter(|(_, at)| **at > since);
    joined.any(|(name, _)| {
        let record = view.nodes.get(name);
        record.is_some_and(|record| is_much_stronger(record, own))
    })
}

const fn is_much_stronger(other: &NodeRecord, own: &NodeRecord) -> bool {
    other.cores_milli >= own.cores_milli * STRONGER_FACTOR
}

/// Campaigns for the lead, and leads where elected until the term is over.
async fn run_campaign<P: Platform>(node: &Rc<Node<P>>) -> Result<(), CommitError> {
    let asked_at = clock::now();
    let grant = node.store.grant_lease(LEADER_LEASE).await?;
    node.own_lease.set(grant.id);
    let record = own_record(node);
    let fence = elect(node, &record, grant.id).await?;
    info!(node.log, "elected"; "fence" => fence, "lease" => grant.id);
    let valid_until = asked_at + grant.ttl;
    let was_resigned = leader::lead(node, grant, fence, valid_until).await;
    info!(node.log, "term over"; "fence" => fence, "was_resigned" => was_resigned);
    Ok(())
}

/// Returns what the others are told where this node leads.
pub fn own_record<P: Platform>(node: &Rc<Node<P>>) -> LeaderRecord {
    LeaderRecord {
        name: node.settings.name.clone(),
        address: node.settings.peer_address.to_string(),
        lease: node.own_lease.get(),
    }
}

/// Writes the leader's item; returns the term's fencing token.
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
        // The lease's number is the term's until its fence is known.
        transaction = transaction.with_put(keys::lane(lane), lane_value(lease, 0));
    }
    let begun = clock::now();
    loop {
        match node.store.commit(&transaction).await {
            Ok(committed) => return Ok(committed.revision),
            Err(CommitError::Conflict(items)) => {
                let own = items
                    .iter()
                    .find(|item| item.key == keys::LEADER && item.has_value(&value));
                // An earlier call of this transaction was done, unheard.
                return own
                    .map(|item| item.revision)
                    .ok_or(CommitError::Conflict(items.clone()));
            }
            Err(error) => {
                if clock::now().since(begun) >= LEADER_LEASE {
                    return Err(error);
                }
                tokio::time::sleep(RETRY.into()).await;
            }
        }
    }
}

/// Returns whether the leader is an earlier life of this very process.
fn is_own_earlier_life<P: Platform>(node: &Rc<Node<P>>, leader: &LeaderRecord) -> bool {
    let own_address = node.settings.peer_address.to_string();
    leader.address == own_address && node.own_lease.get() != leader.lease
}

/// Ends the lease of a leader that is certainly gone.
async fn evict<P: Platform>(node: Rc<Node<P>>, leader: LeaderRecord, reason: &'static str) {
    info!(node.log, "leader evicted"; "leader" => leader.name, "reason" => reason);
    // The lease runs out by itself otherwise.
    let _ = node.store.end_lease(leader.lease).await;
}

/// Takes in that nothing listens at the leader's address any more.
///
/// A node that is itself cut off in a way that refuses connections would be
/// mistaken, so each node does this once in a while at most. A leader that is
/// evicted by mistake loses its lease, not its promises: its commits and its
/// orders are fenced like those of any former leader.
pub fn suspect_leader<P: Platform>(node: &Rc<Node<P>>, leader: LeaderRecord) {
    let now = clock::now();
    let is_current = node.cell.borrow().leader.as_ref() == Some(&leader);
    if !is_current || now < node.next_eviction_at.get() {
        return;
    }
    node.next_eviction_at.set(now + EVICTION_PERIOD);
    tokio::task::spawn_local(evict(node.clone(), leader, "connection refused"));
}
