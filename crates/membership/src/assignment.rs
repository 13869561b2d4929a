//! Which daemon should own which shard.

use ospreywing_types::{stable_hash, Name};

/// Returns, for each of `shards_count` shards, the index of its owner in `members`.
///
/// Each shard goes to the member with the highest hash of both names that has
/// fewer than its even part. All daemons that see the same members agree, no
/// member gets more than one shard above another, and few shards move when a
/// member comes or goes.
///
/// Returns an empty list where there are no members.
pub fn assign(members: &[Name], shards_count: u32) -> Vec<usize> {
    if members.is_empty() {
        return Vec::new();
    }
    let limit = (shards_count as usize).div_ceil(members.len());
    let mut loads = vec![0; members.len()];
    let mut owners = Vec::with_capacity(shards_count as usize);
    for shard in 0..shards_count {
        let open = (0..members.len()).filter(|&index| loads[index] < limit);
        let best = open.max_by_key(|&index| score(&members[index], shard));
        let owner = best.unwrap_or(0);
        loads[owner] += 1;
        owners.push(owner);
    }
    owners
}

fn score(member: &Name, shard: u32) -> u64 {
    stable_hash(&format!("{member}/{shard}"))
}
