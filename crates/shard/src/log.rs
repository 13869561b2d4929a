//! The shard's log: batches in order, cleaned as they are written.
//!
//! Each commit writes one batch. Where the log has grown beyond twice what is
//! live, the commit also writes again what is still live of the oldest batch
//! and deletes that batch in the same transaction. No commit rewrites more
//! than a bounded part, and a takeover never reads more than about twice the
//! live state.

use crate::record::{Batch, Record};
use crate::state::State;
use ospreywing_types::{Key, TaskId};
use std::collections::{HashSet, VecDeque};

/// A write of the log: one batch put, and the batches it replaces deleted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Commit {
    /// The new batch's place in the log.
    pub seq: u64,
    /// The new batch's value.
    pub value: Vec<u8>,
    /// Every batch before this number is deleted; zero for none.
    pub first_kept_seq: u64,
    /// How many records it carries.
    pub records_count: usize,
}

/// What a batch has a record about.
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

/// The log's shape, as far as the cleaner needs it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    batches: VecDeque<BatchInfo>,
    size_bytes: usize,
    next_seq: u64,
}

/// A log smaller than this is not cleaned.
const CLEAN_MIN_BYTES: usize = 32 * 1024;
/// What an entity takes in the log, at a guess: the cleaner's notion of live.
const LIVE_TASK_BYTES: usize = 160;
const LIVE_KEY_BYTES: usize = 48;
/// The log may be this many times as large as what is live.
const CLEAN_FACTOR: usize = 2;
/// Batches that one commit may clean; two keep the log from growing.
const CLEAN_BATCHES_COUNT: usize = 4;
/// The largest batch, well under the store's limit of a megabyte.
const BATCH_LIMIT_BYTES: usize = 256 * 1024;

impl Log {
    /// Notes a batch found in the store.
    pub(crate) fn add_batch(&mut self, batch: &Batch, size_bytes: usize) {
        self.push(batch.seq, &batch.records, size_bytes);
        self.next_seq = batch.seq + 1;
    }

    /// Returns the log's size in bytes.
    pub(crate) const fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    /// Makes the next commit of `records`, with cleaning where it is due.
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
            if !self.is_cleaning_due(state) || written_bytes > BATCH_LIMIT_BYTES {
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
