//! The settings of an owner.

use ospreywing_types::{DaemonIdentity, Duration};

/// The settings of an owner, constant for as long as it owns the shard.
#[derive(Clone, Debug)]
pub struct OwnerConfig {
    /// The shard, in `0..shards_count`.
    pub shard: u32,
    /// The number of shards in the cell.
    pub shards_count: u32,
    /// The epoch of this ownership: the store's revision at which the shard was claimed.
    pub epoch: u64,
    /// The daemon process that owns the shard.
    pub identity: DaemonIdentity,
    /// How long a worker runs an attempt without a lease renewal.
    pub lease: Duration,
    /// The interval between lease renewals.
    pub renew_every: Duration,
    /// The interval between requests for a worker's report.
    pub report_every: Duration,
    /// The interval between these requests while a start on the worker is
    /// unconfirmed.
    pub unconfirmed_report_every: Duration,
    /// The longest time for which a running worker may leave a message unread in
    /// its buffers.
    pub settling_time: Duration,
    /// The time after which nothing runs any more on a box that has left the box
    /// list.
    pub unlisted_quarantine: Duration,
    /// The time after which an unanswered commit causes new work to be rejected.
    pub commit_timeout: Duration,
    /// How long results of ended tasks are kept.
    pub result_retention: Duration,
    /// How long granted request keys are kept.
    pub key_retention: Duration,
    /// The maximum number of waiting tasks in the shard.
    pub waiting_limit_count: usize,
    /// The waiting time that raises a task's priority by one.
    pub ageing_step: Duration,
}

impl OwnerConfig {
    /// Creates a configuration with all other settings at their defaults.
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

    /// Returns the longest time for which an unresponsive worker may run an
    /// attempt after the last order was sent.
    ///
    /// This is twice the lease plus a quarter. A worker may read a renewal with a
    /// delay, and a daemon that pauses between its ownership check and the send
    /// can renew once more while the worker still holds the lease; hence twice.
    /// The quarter allows for clocks that run at different rates.
    pub const fn max_lease_time(&self) -> Duration {
        Duration::from_ms(self.lease.as_ms() * 2 + self.lease.as_ms() / 4)
    }
}
