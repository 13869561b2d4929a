//! What a router is told once, when it begins.

use ospreywing_types::Duration;

/// The settings of a router.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// The seed of its choices.
    pub seed: u64,
    /// How many requests may wait for a slot, over all rows.
    pub queue_limit_count: usize,
    /// How long a request may take where its row gives no deadline.
    pub default_deadline: Duration,
    /// How long a minion may go on with a request whose connection broke.
    pub slot_quarantine: Duration,
    /// Failures in a row after which a minion is ejected.
    pub eject_after_count: u32,
    /// How long a minion is ejected the first time.
    pub eject_for: Duration,
    /// The part of the minions that may be ejected at once, in percent.
    pub eject_limit_percent: u32,
    /// Retries allowed for each hundred requests.
    pub retry_budget_percent: u32,
}

impl RouterConfig {
    /// Creates a configuration with every value but the seed at its default.
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
