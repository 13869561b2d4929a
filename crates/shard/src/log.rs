//! The shard's log and its cleaner.
//!
//! Each commit writes one batch. If the log has grown beyond twice the size of
//! the live state, the commit also rewrites the live entities of the oldest
//! batches and deletes these batches in the same transaction. A commit rewrites
//! a bounded amount, and a recovery reads no more than about twice the live
//! state.

use crate::record::{Batch, Record};
use crate::state::State;
use ospreywing_types::{Key, TaskId};
use std::collections::{HashSet, VecDeque};

/// A transaction on the log: one batch is written, and batches whose live
/// entities it rewrites are deleted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Commit {
    /// The new batch's sequence number.
    pub seq: u64,
    /// The new batch, encoded.
    pub value: Vec<u8>,
    /// Batches before this sequence number are deleted.
    pub first_kept_seq: u64,
    /// The number of records, without those rewritten by the cleaner.
    pub records_count: usize,
}

/// The entity that a record concerns.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Subject {
    Task(TaskId),
    Key(Key),
    Epoch(u64),
}

#[derive(Clone, Debug)]
struct BatchInfo {
    seq: u64,
    size_bytes: usize,
    subjects: Vec<Subject>,
}

/// The log's batches, with their sizes and the entities in them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    batches: VecDeque<BatchInfo>,
    size_bytes: usize,
    next_seq: u64,
}

/// The size up to which the log is not cleaned.
const CLEAN_MIN_BYTES: usize = 32 * 1024;
/// The estimated size of a task in the log; gives the size of the live state.
const LIVE_TASK_BYTES: usize = 160;
/// The estimated size of a granted request key in the log.
const LIVE_KEY_BYTES: usize = 48;
/// The ratio of the log's size to the live state's beyond which it is cleaned.
const CLEAN_FACTOR: usize = 2;
/// The maximum number of batches that one commit cleans; two are enough to
/// keep the log from growing.
const CLEAN_BATCHES_COUNT: usize = 4;
/// The number of cleaned bytes after which a commit cleans no further batch;
/// keeps batches well under the store's limit of 1 MB.
const CLEAN_LIMIT_BYTES: usize = 256 * 1024;

impl Log {
    /// Adds a batch read from the store.
    pub(crate) fn add_batch(&mut self, batch: &Batch, size_bytes: usize) {
        self.push(batch.seq, &batch.records, size_bytes);
        self.next_seq = batch.seq + 1;
    }

    /// Returns the log's size in bytes.
    pub(crate) const fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    /// Builds the next commit from `records` and cleans the log if it is due.
    pub(crate) fn commit(
        &mut self,
        shard: u32,
        epoch: u64,
        mut records: Vec<Record>,
        state: &State,
    ) -> Commit {
        let seq = self.next_seq.max(1);
        let records_count = records.len();
        self.clean(state, &mut records);
        let batch = Batch {
            shard,
            epoch,
            seq,
            next_id: state.next_id,
            records,
        };
        let value = batch.encode();
        self.push(seq, &batch.records, value.len());
        self.next_seq = seq + 1;
        let first_kept_seq = self.batches.front().map_or(0, |info| info.seq);
        Commit {
            seq,
            value,
            first_kept_seq,
            records_count,
        }
    }

    fn push(&mut self, seq: u64, records: &[Record], size_bytes: usize) {
        let subjects = records.iter().map(subject).collect();
        self.size_bytes += size_bytes;
        self.batches.push_back(BatchInfo {
            seq,
            size_bytes,
            subjects,
        });
    }

    fn clean(&mut self, state: &State, records: &mut Vec<Record>) {
        let mut written_bytes = 0;
        let mut seen = HashSet::new();
        for _ in 0..CLEAN_BATCHES_COUNT {
            if !self.is_cleaning_due(state) || written_bytes > CLEAN_LIMIT_BYTES {
                return;
            }
            let Some(oldest) = self.batches.pop_front() else {
                return;
            };
            self.size_bytes -= oldest.size_bytes;
            written_bytes += oldest.size_bytes;
            for subject in oldest.subjects {
                if !seen.contains(&subject) {
                    rewrite(&subject, state, records);
                    seen.insert(subject);
                }
            }
        }
    }

    fn is_cleaning_due(&self, state: &State) -> bool {
        let live_bytes =
            state.tasks_count() * LIVE_TASK_BYTES + state.taken_keys.len() * LIVE_KEY_BYTES;
        self.size_bytes > CLEAN_MIN_BYTES.max(live_bytes * CLEAN_FACTOR)
    }
}

fn subject(record: &Record) -> Subject {
    match record {
        Record::Open { epoch, .. } | Record::Close { epoch } => Subject::Epoch(*epoch),
        Record::Submit { id, .. }
        | Record::Start { id, .. }
        | Record::Confirm { id, .. }
        | Record::Requeue { id, .. }
        | Record::Cancel { id }
        | Record::End { id, .. }
        | Record::Forget { id } => Subject::Task(*id),
        Record::Task(image) => Subject::Task(image.id),
        Record::TakeKey { key, .. } | Record::ForgetKey { key } => Subject::Key(key.clone()),
    }
}

fn rewrite(subject: &Subject, state: &State, records: &mut Vec<Record>) {
    let record = match subject {
        Subject::Task(id) => state
            .by_id(*id)
            .map(|task| Record::Task(state.tasks[task].image.clone())),
        Subject::Key(key) => state.taken_keys.get(key).map(|nonce| Record::TakeKey {
            key: key.clone(),
            nonce: *nonce,
        }),
        Subject::Epoch(epoch) => state.open_epochs.get(epoch).map(|owner| Record::Open {
            epoch: *epoch,
            owner: owner.clone(),
        }),
    };
    records.extend(record);
}
