//! Workers' entries in the store, as they were read last.
//!
//! An entry may come from another writer, or be damaged on its way. One that can't be read
//! names no worker to use: nothing new is started there until a good one is written. What
//! runs there is neither given up nor started elsewhere for that reason; leases decide that,
//! as for an entry that has gone.

use crate::platform::WorkerEntryError;
use crate::store::Revision;
use ospreywing_scheduler::{WorkerChange, WorkerFacts};
use std::collections::BTreeMap;

/// The faults that are told of one update at most, so that a writer that changes many
/// entries all the time fills no log.
const NEW_FAULTS_LIMIT_COUNT: usize = 20;

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    key: String,
    revision: Revision,
    read: Result<WorkerFacts, WorkerEntryError>,
}

impl WorkerEntry {
    /// Creates an entry from what was read of it.
    pub const fn new(
        key: String,
        revision: Revision,
        read: Result<WorkerFacts, WorkerEntryError>,
    ) -> Self {
        Self {
            key,
            revision,
            read,
        }
    }
}

/// A change of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// It was written.
    Written(WorkerEntry),
    /// The entry with this key has gone.
    Gone(String),
}

/// All entries.
#[derive(Debug, Default)]
pub struct WorkerEntries {
    entries: BTreeMap<String, WorkerEntry>,
    new_faults: Vec<WorkerEntryError>,
}

impl WorkerEntries {
    /// Returns the workers that may be used.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerFacts> + '_ {
        let entries = self.entries.values();
        entries.filter_map(|entry| entry.read.as_ref().ok())
    }

    /// Takes in a whole list; returns whether the workers have changed.
    pub fn replace(&mut self, entries: impl Iterator<Item = WorkerEntry>) -> bool {
        let before = core::mem::take(&mut self.entries);
        for entry in entries {
            self.record_fault(before.get(&entry.key), &entry);
            self.entries.insert(entry.key.clone(), entry);
        }
        let old = before.values().filter_map(|entry| entry.read.as_ref().ok());
        !old.eq(self.workers())
    }

    /// Takes in changes; returns what has changed of the workers, in its order. Entries are
    /// rewritten all the time, so that is next to nothing of what comes in.
    pub fn apply(&mut self, changes: impl Iterator<Item = EntryChange>) -> Vec<WorkerChange> {
        let changed = changes.filter_map(|change| match change {
            EntryChange::Written(entry) => self.write(entry),
            EntryChange::Gone(key) => self.remove(&key),
        });
        changed.collect()
    }

    /// Takes in an entry, unless a later page of a list showed what came after it: a
    /// worker's room may shrink, and an older word must not bring it back.
    fn write(&mut self, entry: WorkerEntry) -> Option<WorkerChange> {
        let known = self.entries.get(&entry.key);
        if known.is_some_and(|known| known.revision >= entry.revision) {
            return None;
        }
        let facts = entry.read.as_ref().ok().cloned();
        let known = self.entries.remove(&entry.key);
        self.record_fault(known.as_ref(), &entry);
        self.entries.insert(entry.key.clone(), entry);
        let facts_before = known.and_then(|known| known.read.ok());
        if facts == facts_before {
            return None;
        }
        match facts {
            Some(facts) => Some(WorkerChange::Listed(facts)),
            None => facts_before.map(|before| WorkerChange::Unlisted(before.id)),
        }
    }

    fn remove(&mut self, key: &str) -> Option<WorkerChange> {
        let facts = self.entries.remove(key)?.read.ok()?;
        Some(WorkerChange::Unlisted(facts.id))
    }

    /// Notes an entry that has become unreadable, or is it for another reason.
    fn record_fault(&mut self, before: Option<&WorkerEntry>, entry: &WorkerEntry) {
        let Err(error) = &entry.read else {
            return;
        };
        let fault_before = before.and_then(|before| before.read.as_ref().err());
        let is_known = fault_before.is_some_and(|before| before.fault == error.fault);
        if !is_known && self.new_faults.len() < NEW_FAULTS_LIMIT_COUNT {
            self.new_faults.push(error.clone());
        }
    }

    /// Returns the entries that have become unreadable since the last call.
    pub fn take_new_faults(&mut self) -> Vec<WorkerEntryError> {
        core::mem::take(&mut self.new_faults)
    }
}
