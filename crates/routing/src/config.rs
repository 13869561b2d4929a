//! The router's settings, fixed when it is created.

use ospreywing_types::Duration;

/// The settings of a router.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// Seeds the random choices.
    pub seed: u64,
    /// The maximum number of requests that wait for a slot, over all rows.
    pub queue_limit_count: usize,
    /// The deadline of requests whose row sets none.
    pub default_deadline: Duration,
    /// How long a minion may continue to run a request after its connection
    /// broke; the slot stays unavailable for this time.
    pub slot_quarantine: Duration,
    /// The number of consecutive failures after which a minion is ejected.
    pub eject_after_count: u32,
    /// The duration of a minion's first ejection.
    pub eject_for: Duration,
    /// The maximum share of live minions ejected at a time, in percent.
    pub eject_limit_percent: u32,
    /// The number of retries allowed for every hundred requests.
    pub retry_budget_percent: u32,
}

impl RouterConfig {
    /// Creates a configuration with defaults for all values except the seed.
    pub const fn new(seed: u64) -> Self {
        Self {
            seed,
            queue_limit_count: 2000,
            default_deadline: Duration::from_s(10),
            slot_quarantine: Duration::from_s(10),
            eject_after_count: 3,
            eject_for: Duration::from_s(5),
            eject_limit_percent: 34,
            retry_budget_percent: 10,
        }
    }
}
