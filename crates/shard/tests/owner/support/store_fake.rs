//! A fake of the store, as far as an owner uses it: one fenced log.

use ospreywing_shard::Commit;
use std::collections::BTreeMap;

/// The claim and the log of one shard.
#[derive(Default)]
pub struct StoreFake {
    /// The epoch of the latest claim.
    pub epoch: u64,
    /// The daemon that made the latest claim.
    pub owner: Option<usize>,
    pub batches: BTreeMap<u64, Vec<u8>>,
    revision: u64,
}

impl StoreFake {
    /// Claims the shard if its epoch is still `epoch`; returns the new epoch.
    pub fn claim(&mut self, daemon: usize, epoch: u64) -> Option<u64> {
        if self.epoch != epoch {
            return None;
        }
        self.revision += 1;
        self.epoch = self.revision;
        self.owner = Some(daemon);
        Some(self.epoch)
    }

    /// Writes a commit and returns whether the log holds it.
    ///
    /// Like the daemon's store client, it accepts a commit that was written
    /// before.
    pub fn commit(&mut self, epoch: u64, commit: &Commit) -> bool {
        if let Some(there) = self.batches.get(&commit.seq) {
            return *there == commit.value;
        }
        if self.epoch != epoch {
            return false;
        }
        self.revision += 1;
        self.batches.insert(commit.seq, commit.value.clone());
        if commit.first_kept_seq > 1 {
            self.batches = self.batches.split_off(&commit.first_kept_seq);
        }
        true
    }
}
