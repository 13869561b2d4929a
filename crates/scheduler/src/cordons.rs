//! Cordons: data centres in which the operators allow no new starts.
//!
//! Runs that are already there continue. Cordons are checked again when a start is sent,
//! since recording it in the store after the placement may take seconds.

use crate::decision::{Decision, DecisionKind};
use crate::event::Action;
use crate::placement::PendingStep;
use crate::scheduler::Scheduler;
use crate::worker::Worker;
use std::collections::BTreeSet;
use std::sync::Arc;

/// The cordoned data centres.
#[derive(Debug, Default)]
pub(crate) struct Cordons {
    data_centres: BTreeSet<Arc<str>>,
}

impl Cordons {
    /// Creates the set from the cordons stored at the start of a term.
    pub(crate) const fn new(data_centres: BTreeSet<Arc<str>>) -> Self {
        Self { data_centres }
    }

    /// Returns the number of cordoned data centres.
    pub(crate) fn len(&self) -> usize {
        self.data_centres.len()
    }

    /// Returns whether a data centre is cordoned.
    pub(crate) fn contains(&self, data_centre: &str) -> bool {
        self.data_centres.contains(data_centre)
    }
}

impl Scheduler {
    /// Replaces the cordoned data centres and logs the difference.
    pub(crate) fn set_cordons(&mut self, data_centres: BTreeSet<Arc<str>>, out: &mut Vec<Action>) {
        let before = core::mem::replace(&mut self.cordons.data_centres, data_centres);
        let after = &self.cordons.data_centres;
        let mut log = |data_centre: &Arc<str>, reason| {
            let line = Decision::new(DecisionKind::CordonChanged, reason);
            out.push(Action::Log(line.with_data_centre(data_centre)));
        };
        after.difference(&before).for_each(|it| log(it, "set"));
        before.difference(after).for_each(|it| log(it, "lifted"));
        self.update_cordoned_workers();
        self.is_cycle_due = true;
    }

    /// Pauses or resumes starts.
    pub(crate) fn set_starts_paused(&mut self, are_paused: bool) {
        self.are_starts_paused = are_paused;
        self.is_cycle_due = true;
    }

    /// Returns whether no start may be sent to a worker, even for a run that is already
    /// placed there.
    pub(crate) const fn is_closed_to_starts(&self, worker: &Worker) -> bool {
        let is_departing = worker.facts.is_draining || !worker.is_listed;
        self.are_starts_paused || worker.is_cordoned || is_departing
    }

    /// Updates which workers are in a cordoned data centre.
    pub(crate) fn update_cordoned_workers(&mut self) {
        for worker in self.workers.values_mut() {
            worker.is_cordoned = self.cordons.contains(&worker.facts.data_centre);
        }
    }

    /// Returns whether all workers that may run a step are in cordoned data centres.
    pub(crate) fn is_confined_to_cordons(&self, pending: &PendingStep) -> bool {
        if self.cordons.len() == 0 {
            return false;
        }
        let is_eligible = |worker: &&Worker| {
            worker.is_listed && !worker.is_gone && Self::is_eligible(pending, worker)
        };
        let mut eligible = self.workers.values().filter(is_eligible);
        let is_open = |worker: &Worker| !worker.is_cordoned;
        // The first worker in an open data centre ends the search.
        let first = eligible.next();
        first.is_some_and(|first| !is_open(first) && !eligible.any(is_open))
    }
}
