//! Cordons: data centres in which the operators want nothing new started.
//!
//! What runs there goes on. A start is looked at again when it is sent: between its placement
//! and that moment its record goes to the store, which may take seconds.

use crate::decision::{Decision, DecisionKind};
use crate::event::Action;
use crate::placement::PendingStep;
use crate::scheduler::Scheduler;
use crate::worker::Worker;
use std::collections::BTreeSet;
use std::sync::Arc;

/// The data centres that are cordoned.
#[derive(Debug, Default)]
pub(crate) struct Cordons {
    data_centres: BTreeSet<Arc<str>>,
}

impl Cordons {
    /// Creates what the store told at the start of a term.
    pub(crate) const fn new(data_centres: BTreeSet<Arc<str>>) -> Self {
        Self { data_centres }
    }

    /// Returns how many data centres are cordoned.
    pub(crate) fn len(&self) -> usize {
        self.data_centres.len()
    }

    /// Returns whether a data centre is cordoned.
    pub(crate) fn contains(&self, data_centre: &str) -> bool {
        self.data_centres.contains(data_centre)
    }
}

impl Scheduler {
    /// Takes in which data centres are cordoned.
    pub(crate) fn set_cordons(&mut self, data_centres: BTreeSet<Arc<str>>, out: &mut Vec<Action>) {
        let before = core::mem::replace(&mut self.cordons.data_centres, data_centres);
        let after = &self.cordons.data_centres;
        let mut tell = |data_centre: &Arc<str>, reason| {
            let line = Decision::new(DecisionKind::Cordon, reason);
            out.push(Action::Log(line.with_data_centre(data_centre)));
        };
        after.difference(&before).for_each(|it| tell(it, "set"));
        before.difference(after).for_each(|it| tell(it, "lifted"));
        self.note_cordons();
        self.is_place_due = true;
    }

    /// Holds starts back, or lets them go on.
    pub(crate) fn hold_starts(&mut self, are_held: bool) {
        self.are_starts_held = are_held;
        self.is_place_due = true;
    }

    /// Returns whether nothing new may be sent to a worker on which a run was placed.
    pub(crate) const fn is_closed(&self, worker: &Worker) -> bool {
        let is_leaving = worker.facts.is_draining || !worker.is_listed;
        self.are_starts_held || worker.is_cordoned || is_leaving
    }

    /// Notes which workers are in a cordoned data centre.
    pub(crate) fn note_cordons(&mut self) {
        for worker in self.workers.values_mut() {
            worker.is_cordoned = self.cordons.contains(&worker.facts.data_centre);
        }
    }

    /// Returns whether a step may run on workers in cordoned data centres alone.
    pub(crate) fn is_confined_to_cordons(&self, pending: &PendingStep) -> bool {
        if self.cordons.len() == 0 {
            return false;
        }
        let is_eligible = |worker: &&Worker| {
            worker.is_listed && !worker.is_gone && Self::is_eligible(pending, worker)
        };
        let mut eligible = self.workers.values().filter(is_eligible);
        let is_open = |worker: &Worker| !worker.is_cordoned;
        // The first one in an open data centre ends the search.
        let first = eligible.next();
        first.is_some_and(|first| !is_open(first) && !eligible.any(is_open))
    }
}
