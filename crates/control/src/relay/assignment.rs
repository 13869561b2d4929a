//! Which nodes are relays, and which of them carries a worker's orders.

use cranelift_entity::entity_impl;
use cranelift_entity::PrimaryMap;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// By default, a cell with fewer workers has no relays: a leader of 350 needs none,
/// and a relay adds up to 8 ms to the way of an order and 15 ms to that of its reply.
pub const RELAYS_MIN_WORKERS_COUNT: usize = 600;
/// The workers that one relay carries the orders of. A judgement: at 1,100 workers
/// with some three calls a second each, a relay makes a thousand calls a second.
pub const WORKERS_PER_RELAY: usize = 400;

/// A node that may be a relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayCandidate {
    /// Its name.
    pub name: Arc<str>,
    /// Where it is called.
    pub address: Arc<str>,
    /// Its data centre; empty where the platform tells none.
    pub data_centre: Arc<str>,
    /// Its share of a core, in thousandths.
    pub cores_milli: u32,
}

/// A relay, in an [`Assignment`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RelayKey(u32);
entity_impl!(RelayKey, "relay");

/// The relays of a cell.
///
/// A relay carries the orders of workers of its own data centre alone: bytes
/// between data centres are few where batches cross, and calls stay inside.
#[derive(Clone, Debug, Default)]
pub struct Assignment {
    /// The relays.
    pub relays: PrimaryMap<RelayKey, RelayCandidate>,
    by_data_centre: BTreeMap<Arc<str>, Vec<RelayKey>>,
}

impl Assignment {
    /// Chooses the relays of a cell with so many workers in each data centre: the
    /// strongest nodes there, and of equal ones those whose names come first. There
    /// are none with fewer than `min_workers_count` workers in all.
    pub fn new(
        mut candidates: Vec<RelayCandidate>,
        workers_counts: &BTreeMap<Arc<str>, usize>,
        min_workers_count: usize,
    ) -> Self {
        let mut chosen = Self::default();
        let workers_count: usize = workers_counts.values().sum();
        if workers_count < min_workers_count {
            return chosen;
        }
        candidates.sort_by(|a, b| {
            (Reverse(a.cores_milli), &a.name).cmp(&(Reverse(b.cores_milli), &b.name))
        });
        for candidate in candidates {
            let data_centre = candidate.data_centre.clone();
            let here_count = workers_counts.get(&data_centre).copied().unwrap_or(0);
            let wanted_count = here_count.div_ceil(WORKERS_PER_RELAY);
            let here = chosen.by_data_centre.entry(data_centre).or_default();
            if here.len() < wanted_count {
                here.push(chosen.relays.push(candidate));
            }
        }
        chosen
    }

    /// Returns the relay of a worker, by rendezvous hashing among those of its data
    /// centre: where one goes, only its own workers move.
    pub fn relay_for_worker(&self, worker_id: &str, data_centre: &str) -> Option<RelayKey> {
        let here = self.by_data_centre.get(data_centre)?;
        let weight = |key: &RelayKey| weight_of(worker_id, &self.relays[*key].name);
        here.iter().copied().max_by_key(weight)
    }
}

/// Returns the weight of a relay for a worker, the same on every node.
fn weight_of(worker_id: &str, relay: &str) -> u64 {
    let mut hasher = siphasher::sip::SipHasher13::new();
    worker_id.hash(&mut hasher);
    relay.hash(&mut hasher);
    hasher.finish()
}
