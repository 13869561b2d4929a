//! Numbers derived from names, by which nodes that run the same code are spread: they don't
//! all act at the same time or call the same other node.

use std::hash::{Hash, Hasher};

/// Returns a number below `bound` that depends only on the name and the bound; 0 if the bound
/// is 0.
pub fn stable_hash_below(name: &str, bound: u64) -> u64 {
    let mut hasher = siphasher::sip::SipHasher13::new();
    name.hash(&mut hasher);
    hasher.finish().checked_rem(bound).unwrap_or(0)
}
