//! What an owner is told once, when it begins.

use ospreywing_types::{DaemonIdentity, Duration};

/// The settings of an owner. None of them may change while it owns the shard.
#[derive(Clone, Debug)]
pub struct OwnerConfig {
    /// The shard, in `0..shards_count`.
    pub shard: u32,
    /// How many shards the cell has.
    pub shards_count: u32,
    /// The epoch of this ownership: the store's revision of the claim.
    pub epoch: u64,
    /// The process that owns.
    pub identity: DaemonIdentity,
    /// How long a worker runs an attempt without a renewal.
    pub lease: Duration,
    /// How often leases are renewed.
    pub renew_every: Duration,
    /// How often a worker is asked for its report.
    pub report_every: Duration,
    /// How often it is asked while a start on it is in doubt.
    pub unconfirmed_report_every: Duration,
    /// How long an awake worker may take to read what is in its buffers.
    pub settling_time: Duration,
    /// How long after a box has left the box list nothing runs on it.
    pub unlisted_quarantine: Duration,
    /// How long a commit may take before new work is refused.
    pub commit_timeout: Duration,
    /// How long results of ended tasks are kept.
    pub result_retention: Duration,
    /// How long granted request keys are kept.
    pub key_retention: Duration,
    /// How many tasks may wait in the shard.
    pub waiting_limit_count: usize,
    /// Waiting that raises a task's priority by one.
    pub ageing_step: Duration,
}

impl OwnerConfig {
    /// Creates a configuration with every period at its default.
    pub const fn new(shard: u32, shards_count: u32, epoch: u64, identity: DaemonIdentity) -> Self {
        Self {
            shard,
            shards_count,
            epoch,
            identity,
            lease: Duration::from_s(30),
            renew_every: Duration::from_s(5),
            report_every: Duration::from_s(20),
            unconfirmed_report_every: Duration::from_ms(1500),
            settling_time: Duration::from_s(5),
            unlisted_quarantine: Duration::from_s(120),
            commit_timeout: Duration::from_ms(1500),
            result_retention: Duration::from_s(900),
            key_retention: Duration::from_s(900),
            waiting_limit_count: 50_000,
            ageing_step: Duration::from_s(30),
        }
    }

    /// Returns how long after the last order was sent a silent worker may run an
    /// attempt.
    ///
    /// A worker may take a moment to read a renewal, and one that was checked
    /// before a pause can reach a worker that still holds the lease, once:
    /// hence twice the lease. The margin of a quarter is for clocks that run
    /// at different rates.
    pub const fn max_lease_time(&self) -> Duration {
        Duration::from_ms(self.lease.as_ms() * 2 + self.lease.as_ms() / 4)
    }
}
