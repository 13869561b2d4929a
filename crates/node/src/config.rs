//! What a node is told once, when it begins.

use ospreywing_membership::MembershipConfig;
use ospreywing_routing::RouterConfig;
use ospreywing_shard::OwnerConfig;

/// The settings of a node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The settings of its membership, with its identity.
    pub membership: MembershipConfig,
    /// The settings of its router.
    pub router: RouterConfig,
    /// The pattern for the settings of each owner; shard and epoch are set
    /// when a shard is claimed.
    pub owner: OwnerConfig,
    /// Commits a second that all daemons together may make.
    pub commit_rate_per_s: u32,
}

impl NodeConfig {
    /// Creates a configuration with the defaults of every part.
    pub fn new(membership: MembershipConfig, seed: u64) -> Self {
        let identity = membership.me.identity.clone();
        let owner = OwnerConfig::new(0, membership.shards_count, 0, identity);
        Self {
            membership,
            router: RouterConfig::new(seed),
            owner,
            commit_rate_per_s: DEFAULT_COMMIT_RATE_PER_S,
        }
    }
}

/// Of the store's hundred writes a second; the rest is for leases, claims and
/// edits of the table.
const DEFAULT_COMMIT_RATE_PER_S: u32 = 60;
