//! A node's view of the cell: the leader, its candidates and the live nodes.

use crate::keys;
use crate::store::{Item, LeaseId, Revision, UnreadableValue};
use ospreywing_types::Instant;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use thiserror::Error;

/// The maximum number of candidates that a leader names.
pub const CANDIDATES_COUNT: usize = 8;

/// The record of a live node, as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// The address for calls of other nodes.
    pub address: String,
    /// Its CPU share, in thousandths of a core.
    pub cores_milli: u32,
    /// Its data centre; empty if it is not known.
    pub data_centre: String,
}

impl NodeRecord {
    /// Parses the stored record, also that of earlier versions without a data centre.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes can't be parsed.
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

/// The record of the leader, as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The node's name.
    pub name: String,
    /// The address for calls of other nodes.
    pub address: String,
    /// The leader lease, which identifies the term.
    pub lease: LeaseId,
}

/// A node that campaigns before others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// The node's name.
    pub name: String,
    /// The node's record.
    pub record: NodeRecord,
}

/// The information that a leader publishes to all nodes of the cell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CandidateList {
    /// The nodes that campaign first if there is no leader, in this order.
    pub candidates: Vec<Candidate>,
    /// Whether the other nodes fetch configurations from the candidates instead of the store.
    pub shares_configuration: bool,
}

/// A node's view of the cell.
#[derive(Clone, Debug, Default)]
pub struct CellView {
    /// The leader, if there is one.
    pub leader: Option<LeaderRecord>,
    /// The list that the leader published.
    pub list: CandidateList,
    /// The live nodes by name; known only to the leader.
    pub nodes: BTreeMap<String, NodeRecord>,
    /// The revision at which each of them registered.
    pub registered_at: BTreeMap<String, Revision>,
    /// When the store last confirmed the leader and the list.
    pub confirmed_at: Instant,
}

/// An item of the cell can't be parsed.
#[derive(Debug, Error)]
pub(crate) enum CellItemError {
    /// The value was not received whole.
    #[error(transparent)]
    Value(#[from] UnreadableValue),
    /// The value has an unknown format.
    #[error(transparent)]
    Form(#[from] postcard::Error),
}

impl CellView {
    /// Applies an item that was written.
    ///
    /// # Errors
    ///
    /// Returns an error if the item can't be parsed. A leader item that can't be parsed
    /// counts as no leader, so that a new one is elected once its lease has expired.
    pub(crate) fn put(&mut self, item: &Item) -> Result<(), CellItemError> {
        if item.key == keys::LEADER {
            self.leader = None;
            self.leader = Some(postcard::from_bytes(item.bytes()?)?);
        } else if item.key == keys::CANDIDATES {
            self.list = postcard::from_bytes(item.bytes()?)?;
        } else if let Some(name) = item.key.strip_prefix(keys::NODES_PREFIX) {
            let record = NodeRecord::from_bytes(item.bytes()?)?;
            self.nodes.insert(name.to_owned(), record);
            self.registered_at.insert(name.to_owned(), item.revision);
        }
        Ok(())
    }

    pub(crate) fn remove(&mut self, key: &str) {
        if key == keys::LEADER {
            self.leader = None;
        } else if key == keys::CANDIDATES {
            self.list = CandidateList::default();
        } else if let Some(name) = key.strip_prefix(keys::NODES_PREFIX) {
            self.nodes.remove(name);
            self.registered_at.remove(name);
        }
    }
}

/// Returns the nodes that should campaign first: those with the largest CPU share, and among
/// equal ones one of each data centre before a second one of any.
pub fn choose_candidates(nodes: &BTreeMap<String, NodeRecord>) -> Vec<Candidate> {
    let mut ranked: Vec<(&String, &NodeRecord)> = nodes.iter().collect();
    ranked.sort_by_key(|(name, record)| (Reverse(record.cores_milli), *name));
    let mut counts: HashMap<(u32, &str), usize> = HashMap::new();
    let mut ranked_by_turn: Vec<_> = ranked
        .into_iter()
        .map(|(name, record)| {
            let count = counts
                .entry((record.cores_milli, &record.data_centre))
                .or_default();
            *count += 1;
            ((Reverse(record.cores_milli), *count, name), record)
        })
        .collect();
    ranked_by_turn.sort_by_key(|(turn, _)| *turn);
    let first = ranked_by_turn.into_iter().take(CANDIDATES_COUNT);
    let candidates = first.map(|((_, _, name), record)| Candidate {
        name: name.clone(),
        record: record.clone(),
    });
    candidates.collect()
}

/// Builds the list that the leader publishes; nodes share configurations in a cell of at
/// least `sharing_count` nodes.
pub(crate) fn build_candidate_list(view: &CellView, sharing_count: usize) -> CandidateList {
    let nodes_count = view.nodes.len();
    let is_large = nodes_count >= sharing_count;
    // Hysteresis: changes of the node count near the limit must not switch it each time.
    let is_still_large = view.list.shares_configuration && nodes_count * 2 >= sharing_count;
    CandidateList {
        candidates: choose_candidates(&view.nodes),
        shares_configuration: is_large || is_still_large,
    }
}
