//! Numbers that differ from node to node, so that nodes which act alike do not act at once
//! or all on the same other node.

use std::hash::{Hash, Hasher};

/// Returns a number below `bound` for a node of this name, always the same one; 0 where the
/// bound is 0.
pub fn stable_hash_below(name: &str, bound: u64) -> u64 {
    let mut hasher = siphasher::sip::SipHasher13::new();
    name.hash(&mut hasher);
    hasher.finish().checked_rem(bound).unwrap_or(0)
}
