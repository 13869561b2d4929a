//! The store, as far as an owner meets it: one fenced log.

use ospreywing_shard::Commit;
use std::collections::BTreeMap;

/// One shard's keys.
#[derive(Default)]
pub struct StoreFake {
    /// The epoch of the newest claim, and who made it.
    pub epoch: u64,
    pub owner: Option<usize>,
    pub batches: BTreeMap<u64, Vec<u8>>,
    revision: u64,
}

impl StoreFake {
    /// Claims the shard where the caller saw it at `epoch`.
    pub fn claim(&mut self, daemon: usize, epoch: u64) -> Option<u64> {
        if self.epoch != epoch {
            return None;
        }
        self.revision += 1;
        self.epoch = self.revision;
        self.owner = Some(daemon);
        Some(self.epoch)
    }

    /// Writes a commit; returns whether it stands, as the daemon's shell does.
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
