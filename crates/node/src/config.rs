//! The node's settings, fixed when it is created.

use ospreywing_membership::MembershipConfig;
use ospreywing_routing::RouterConfig;
use ospreywing_shard::OwnerConfig;

/// The settings of a node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The settings of the membership, including the daemon's identity.
    pub membership: MembershipConfig,
    /// The settings of the router.
    pub router: RouterConfig,
    /// The template for the settings of each shard's owner; shard and epoch are
    /// set when a shard is claimed.
    pub owner: OwnerConfig,
    /// The maximum number of commits per second of all daemons together.
    pub commit_rate_per_s: u32,
}

impl NodeConfig {
    /// Creates a configuration with the defaults of each component.
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

/// The store accepts 100 writes per second; the other 40 are for leases, claims
/// and edits of the table.
const DEFAULT_COMMIT_RATE_PER_S: u32 = 60;
