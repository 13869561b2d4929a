//! An ownership that has ended, kept until none of its starts is in flight.

use ospreywing_types::AttemptId;
use std::collections::BTreeSet;

/// An ended ownership and its starts that were sent and not yet resolved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Closing {
    shard: u32,
    epoch: u64,
    starts_in_flight: BTreeSet<AttemptId>,
}

impl Closing {
    /// Creates the closing state of an epoch with the starts of `attempts` in flight.
    pub fn new(shard: u32, epoch: u64, attempts: Vec<AttemptId>) -> Self {
        Self {
            shard,
            epoch,
            starts_in_flight: attempts.into_iter().collect(),
        }
    }

    /// Records that a start was acknowledged, not sent, or lost with its connection.
    pub fn resolve(&mut self, attempt: AttemptId) {
        self.starts_in_flight.remove(&attempt);
    }

    /// Returns whether no start of the epoch is in flight.
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
