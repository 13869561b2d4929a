//! Assigns shards to daemons.

use ospreywing_types::{stable_hash, Name};

/// Returns the index in `members` of the owner of each of `shards_count` shards.
///
/// Uses rendezvous hashing with a load limit: each shard goes to the member with
/// the highest hash of member and shard among those below the even share. All
/// daemons that see the same members compute the same assignment, no member
/// exceeds the even share (rounded up), and few shards move when a member joins
/// or leaves.
///
/// Returns an empty list if there are no members.
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
