//! Chooses the nodes that are relays, and the relay for each worker's orders.

use cranelift_entity::entity_impl;
use cranelift_entity::PrimaryMap;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// The default number of workers from which a cell has relays. A leader of 350 workers
/// needs none, and a relay delays an order by up to 8 ms and its reply by up to 15 ms.
pub const RELAYS_MIN_WORKERS_COUNT: usize = 600;
/// The workers for each relay. At 1,100 workers with some three calls a second each, a
/// relay makes a thousand calls a second.
pub const WORKERS_PER_RELAY: usize = 400;

/// A node that may be a relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayCandidate {
    /// The node's name.
    pub name: Arc<str>,
    /// The address for calls of other nodes.
    pub address: Arc<str>,
    /// Its data centre; empty if the platform does not name one.
    pub data_centre: Arc<str>,
    /// Its CPU share, in thousandths of a core.
    pub cores_milli: u32,
}

/// Identifies a relay in an [`Assignment`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RelayKey(u32);
entity_impl!(RelayKey, "relay");

/// The relays of a cell.
///
/// A relay serves only workers in its own data centre. So only batches cross between
/// data centres, which keeps the traffic low, and single calls stay within one.
#[derive(Clone, Debug, Default)]
pub struct Assignment {
    /// The relays.
    pub relays: PrimaryMap<RelayKey, RelayCandidate>,
    by_data_centre: BTreeMap<Arc<str>, Vec<RelayKey>>,
}

impl Assignment {
    /// Chooses the relays of a cell with `workers_counts` workers by data centre: the nodes
    /// with the largest CPU share in each, in the order of their names if equal. A cell of
    /// fewer than `min_workers_count` workers has none.
    pub fn new(
        mut candidates: Vec<RelayCandidate>,
        workers_counts: &BTreeMap<Arc<str>, usize>,
        min_workers_count: usize,
    ) -> Self {
        let mut assignment = Self::default();
        let workers_count: usize = workers_counts.values().sum();
        if workers_count < min_workers_count {
            return assignment;
        }
        candidates.sort_by(|a, b| {
            (Reverse(a.cores_milli), &a.name).cmp(&(Reverse(b.cores_milli), &b.name))
        });
        for candidate in candidates {
            let data_centre = candidate.data_centre.clone();
            let local_workers_count = workers_counts.get(&data_centre).copied().unwrap_or(0);
            let wanted_count = local_workers_count.div_ceil(WORKERS_PER_RELAY);
            let in_data_centre = assignment.by_data_centre.entry(data_centre).or_default();
            if in_data_centre.len() < wanted_count {
                in_data_centre.push(assignment.relays.push(candidate));
            }
        }
        assignment
    }

    /// Returns the relay of a worker, chosen by rendezvous hashing among those of its data
    /// centre: if a relay fails, only its own workers move to another.
    pub fn relay_for_worker(&self, worker_id: &str, data_centre: &str) -> Option<RelayKey> {
        let in_data_centre = self.by_data_centre.get(data_centre)?;
        let weight = |key: &RelayKey| weight_of(worker_id, &self.relays[*key].name);
        in_data_centre.iter().copied().max_by_key(weight)
    }
}

/// Returns the rendezvous weight of a relay for a worker, the same on every node.
fn weight_of(worker_id: &str, relay: &str) -> u64 {
    let mut hasher = siphasher::sip::SipHasher13::new();
    worker_id.hash(&mut hasher);
    relay.hash(&mut hasher);
    hasher.finish()
}
