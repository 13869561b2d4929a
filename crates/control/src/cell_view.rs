//! What a node knows of the cell: the leader, its candidates and the live nodes.

use crate::keys;
use crate::store::{Item, LeaseId, Revision, UnreadableValue};
use ospreywing_types::Instant;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use thiserror::Error;

/// The candidates that a leader names.
pub const CANDIDATES_COUNT: usize = 8;

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
    /// What the leader tells all nodes.
    pub list: CandidateList,
    /// The live nodes by name; known to the leader alone.
    pub nodes: BTreeMap<String, NodeRecord>,
    /// The revision at which each of them registered.
    pub registered_at: BTreeMap<String, Revision>,
    /// When the store last confirmed the view.
    pub confirmed_at: Instant,
}

/// An item of the cell can't be read.
#[derive(Debug, Error)]
pub(crate) enum CellItemError {
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

/// Returns the nodes that should lead first: the strongest, and of equal ones one of each data
/// centre before a second one of any.
pub fn choose_candidates(nodes: &BTreeMap<String, NodeRecord>) -> Vec<Candidate> {
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

/// Returns what the leader tells of a cell, where configurations are handed on from
/// `sharing_count` nodes on.
pub(crate) fn build_candidate_list(view: &CellView, sharing_count: usize) -> CandidateList {
    let nodes_count = view.nodes.len();
    let is_large = nodes_count >= sharing_count;
    // Nodes that come and go at the bound don't change the way each time.
    let is_still_large = view.list.shares_configuration && nodes_count * 2 >= sharing_count;
    CandidateList {
        candidates: choose_candidates(&view.nodes),
        shares_configuration: is_large || is_still_large,
    }
}
