//! A hash that is the same in every daemon, so that all of them assign a text to
//! the same shard without communicating.

use core::hash::Hasher;
use siphasher::sip::SipHasher13;

const KEY_LOW: u64 = 0x6f73_7072_6579_7769;
const KEY_HIGH: u64 = 0x6e67_2d73_6861_7264;

/// Returns a hash of `text` that is the same in every process and every version
/// of the program.
pub fn stable_hash(text: &str) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(KEY_LOW, KEY_HIGH);
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// Returns the shard, in `0..shard_count`, that `text` is assigned to.
///
/// # Panics
///
/// Panics if `shard_count` is zero.
pub fn shard_of(text: &str, shard_count: u32) -> u32 {
    (stable_hash(text) % u64::from(shard_count)) as u32
}
