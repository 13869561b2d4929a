//! Rebuilds a shard's state from its log after the shard was claimed.

use crate::config::OwnerConfig;
use crate::log::Log;
use crate::owner::Owner;
use crate::record::Batch;
use crate::state::State;
use crate::LogError;
use ospreywing_types::Instant;

/// A claimed shard whose log is being read; becomes an [`Owner`].
#[derive(Debug)]
pub struct Recovery {
    config: OwnerConfig,
    state: State,
    log: Log,
    last_seq: u64,
}

impl Recovery {
    /// Creates the recovery of the shard in `config`, with no batch read.
    pub fn new(config: OwnerConfig) -> Self {
        Self {
            config,
            state: State::new(),
            log: Log::default(),
            last_seq: 0,
        }
    }

    /// Applies the next batch. Batches must be read in the order of the log.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a batch of this shard or is out of
    /// order; the shard must not be served then.
    pub fn read(&mut self, seq: u64, value: &[u8]) -> Result<(), LogError> {
        let batch = Batch::decode(seq, value)?;
        if batch.shard != self.config.shard {
            return Err(LogError::OtherShard {
                seq,
                found: batch.shard,
                expected: self.config.shard,
            });
        }
        if batch.seq != seq || seq <= self.last_seq {
            return Err(LogError::OutOfOrder {
                seq,
                previous: self.last_seq,
            });
        }
        self.last_seq = seq;
        for record in &batch.records {
            self.state.apply(record);
        }
        self.state.next_id = self.state.next_id.max(batch.next_id);
        self.log.add_batch(&batch, value.len());
        Ok(())
    }

    /// Returns the owner, once the whole log has been read.
    pub fn finish(self, now: Instant) -> Owner {
        Owner::new(self.config, self.state, self.log, now)
    }
}
