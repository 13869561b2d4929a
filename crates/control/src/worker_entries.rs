//! The workers' entries in the store, as last read.
//!
//! An entry may come from another writer, or be damaged in transit. A worker whose entry is
//! unusable gets no new runs until a valid entry is written. Its runs are not released or
//! started elsewhere for that reason; as with a removed entry, their leases decide that.

use crate::platform::WorkerEntryError;
use crate::store::Revision;
use ospreywing_scheduler::{WorkerChange, WorkerFacts};
use std::collections::BTreeMap;

/// The maximum number of faults that are reported for one update, so that a writer that keeps
/// changing many entries does not flood the log.
const NEW_FAULTS_LIMIT_COUNT: usize = 20;

/// A worker's entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    key: String,
    revision: Revision,
    parsed: Result<WorkerFacts, WorkerEntryError>,
}

impl WorkerEntry {
    /// Creates an entry from its parsed value.
    pub const fn new(
        key: String,
        revision: Revision,
        parsed: Result<WorkerFacts, WorkerEntryError>,
    ) -> Self {
        Self {
            key,
            revision,
            parsed,
        }
    }
}

/// A change of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// The entry was written.
    Written(WorkerEntry),
    /// The entry with this key was removed.
    Gone(String),
}

/// All entries by key, and the faults that are not reported yet.
#[derive(Debug, Default)]
pub struct WorkerEntries {
    entries: BTreeMap<String, WorkerEntry>,
    new_faults: Vec<WorkerEntryError>,
}

impl WorkerEntries {
    /// Returns the workers with usable entries.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerFacts> + '_ {
        let entries = self.entries.values();
        entries.filter_map(|entry| entry.parsed.as_ref().ok())
    }

    /// Replaces all entries; returns whether the usable workers have changed.
    pub fn replace(&mut self, entries: impl Iterator<Item = WorkerEntry>) -> bool {
        let before = core::mem::take(&mut self.entries);
        for entry in entries {
            self.record_fault(before.get(&entry.key), &entry);
            self.entries.insert(entry.key.clone(), entry);
        }
        let old = before
            .values()
            .filter_map(|entry| entry.parsed.as_ref().ok());
        !old.eq(self.workers())
    }

    /// Applies changes of entries; returns the resulting changes of workers, in their order.
    /// There are far fewer of these, since most entries are rewritten unchanged.
    pub fn apply(&mut self, changes: impl Iterator<Item = EntryChange>) -> Vec<WorkerChange> {
        let changed = changes.filter_map(|change| match change {
            EntryChange::Written(entry) => self.write(entry),
            EntryChange::Gone(key) => self.remove(&key),
        });
        changed.collect()
    }

    /// Applies an entry that was written, unless a later version is known from a page of a
    /// list: a worker's capacity may shrink, and an older entry must not restore it.
    fn write(&mut self, entry: WorkerEntry) -> Option<WorkerChange> {
        let known = self.entries.get(&entry.key);
        if known.is_some_and(|known| known.revision >= entry.revision) {
            return None;
        }
        let facts = entry.parsed.as_ref().ok().cloned();
        let known = self.entries.remove(&entry.key);
        self.record_fault(known.as_ref(), &entry);
        self.entries.insert(entry.key.clone(), entry);
        let facts_before = known.and_then(|known| known.parsed.ok());
        if facts == facts_before {
            return None;
        }
        match facts {
            Some(facts) => Some(WorkerChange::Listed(facts)),
            None => facts_before.map(|before| WorkerChange::Unlisted(before.id)),
        }
    }

    fn remove(&mut self, key: &str) -> Option<WorkerChange> {
        let facts = self.entries.remove(key)?.parsed.ok()?;
        Some(WorkerChange::Unlisted(facts.id))
    }

    /// Records the fault of an entry that has become unusable, or is now so for another reason.
    fn record_fault(&mut self, before: Option<&WorkerEntry>, entry: &WorkerEntry) {
        let Err(error) = &entry.parsed else {
            return;
        };
        let fault_before = before.and_then(|before| before.parsed.as_ref().err());
        let is_known = fault_before.is_some_and(|before| before.fault == error.fault);
        if !is_known && self.new_faults.len() < NEW_FAULTS_LIMIT_COUNT {
            self.new_faults.push(error.clone());
        }
    }

    /// Returns and clears the faults of entries that have become unusable since the last call.
    pub fn take_new_faults(&mut self) -> Vec<WorkerEntryError> {
        core::mem::take(&mut self.new_faults)
    }
}
