//! Interning of names that many workers share.

use crate::worker::WorkerFacts;
use std::collections::HashSet;
use std::sync::Arc;

/// The interned names of services and racks.
///
/// Each scheduling cycle compares the services of all workers. Interned names share one
/// allocation, so equal ones compare by address; comparing the texts took 7% of the CPU
/// samples of a leader of 3,000 workers.
#[derive(Debug, Default)]
pub(crate) struct NameInterner {
    names: HashSet<Arc<str>>,
}

impl NameInterner {
    /// Returns the shared copy of a name.
    pub(crate) fn intern(&mut self, name: &str) -> Arc<str> {
        if let Some(interned) = self.names.get(name) {
            return interned.clone();
        }
        let interned: Arc<str> = Arc::from(name);
        self.names.insert(interned.clone());
        interned
    }

    /// Replaces the names in a worker's entry by shared copies.
    pub(crate) fn intern_all(&mut self, facts: &mut WorkerFacts) {
        facts.service = self.intern(&facts.service);
        facts.rack = facts.rack.as_deref().map(|rack| self.intern(rack));
    }

    /// Removes names without other users.
    pub(crate) fn remove_unused(&mut self) {
        self.names.retain(|name| Arc::strong_count(name) > 1);
    }
}
