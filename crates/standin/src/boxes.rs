//! The platform's box list, from which a removed box disappears with a delay.

use ospreywing_types::{BoxFacts, BoxState, Name};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The body of an announcement; each host of workers or minions sends one every
/// second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The boxes that run on the sender.
    pub boxes: Vec<BoxFacts>,
}

#[derive(Clone, Debug)]
struct Entry {
    facts: BoxFacts,
    announced_at_ms: u64,
}

/// The boxes that have announced themselves.
#[derive(Clone, Debug)]
pub struct BoxList {
    entries: BTreeMap<Name, Entry>,
    leaving: Vec<Name>,
    lag_ms: u64,
    frozen: Option<Vec<BoxFacts>>,
}

impl BoxList {
    /// Creates a list that drops a box `lag_ms` after its last announcement.
    pub const fn new(lag_ms: u64) -> Self {
        Self {
            entries: BTreeMap::new(),
            leaving: Vec::new(),
            lag_ms,
            frozen: None,
        }
    }

    /// Records an announcement.
    pub fn announce(&mut self, announcement: Announcement, now_ms: u64) {
        for facts in announcement.boxes {
            let announced_at_ms = now_ms;
            let name = facts.name.clone();
            self.entries.insert(
                name,
                Entry {
                    facts,
                    announced_at_ms,
                },
            );
        }
    }

    /// Marks a box as leaving.
    pub fn mark_leaving(&mut self, name: Name) {
        self.leaving.push(name);
    }

    /// Freezes the list at its current content, or resumes updates.
    pub fn set_frozen(&mut self, is_frozen: bool, now_ms: u64) {
        let list = is_frozen.then(|| self.list(now_ms));
        if self.frozen.is_none() || !is_frozen {
            self.frozen = list;
        }
    }

    /// Returns the listed boxes.
    pub fn list(&self, now_ms: u64) -> Vec<BoxFacts> {
        if let Some(frozen) = &self.frozen {
            return frozen.clone();
        }
        let entries = self.entries.values();
        let listed = entries.filter(|entry| now_ms < entry.announced_at_ms + self.lag_ms);
        let with_state = listed.map(|entry| {
            let mut facts = entry.facts.clone();
            if self.leaving.contains(&facts.name) {
                facts.state = BoxState::Leaving;
            }
            facts
        });
        with_state.collect()
    }
}
