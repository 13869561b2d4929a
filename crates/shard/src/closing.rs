//! An ownership that has ended, until nothing of it is on its way.

use ospreywing_types::AttemptId;
use std::collections::BTreeSet;

/// A former owner with the starts it has sent and not heard of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Closing {
    shard: u32,
    epoch: u64,
    starts_in_flight: BTreeSet<AttemptId>,
}

impl Closing {
    /// Creates the closing of an epoch with `attempts` on their way.
    pub fn new(shard: u32, epoch: u64, attempts: Vec<AttemptId>) -> Self {
        Self {
            shard,
            epoch,
            starts_in_flight: attempts.into_iter().collect(),
        }
    }

    /// Notes that a start was taken, not sent, or lost with its connection.
    pub fn resolve(&mut self, attempt: AttemptId) {
        self.starts_in_flight.remove(&attempt);
    }

    /// Returns whether no start of the epoch is on its way.
    pub fn is_closed(&self) -> bool {
        self.starts_in_flight.is_empty()
    }

    /// Returns the shard.
    pub const fn shard(&self) -> u32 {
        self.shard
    }

    /// Returns the epoch.
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }
}
