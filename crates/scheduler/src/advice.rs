//! Tickets for steps whose queue needs advice.

use crate::worker::WorkerKey;
use ospreywing_types::{Duration, Instant};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What is taken off a ticket's validity for the ways between.
const TICKET_MARGIN: Duration = Duration::from_ms(150);

/// What is known of one worker for one step.
#[derive(Clone, Debug)]
enum Opinion {
    Good { ticket: Arc<str>, until: Instant },
    Bad,
}

/// A part of a call for advice, which one node makes.
#[derive(Clone, Debug)]
pub(crate) struct OpenPart {
    /// When it was made.
    pub(crate) asked_at: Instant,
    /// The node that makes it.
    pub(crate) node: Arc<str>,
    /// The workers that it names; no two parts name the same.
    pub(crate) named: Box<[WorkerKey]>,
}

/// The advice for one step. Who may run a step never changes, tickets expire.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepAdvice {
    opinions: BTreeMap<WorkerKey, Opinion>,
    /// The parts of the open call that have not been answered.
    pub(crate) open: Vec<OpenPart>,
    /// When the last call was answered.
    pub(crate) last_answer_at: Instant,
    /// When the next call may be made after one that failed.
    pub(crate) retry_at: Instant,
    /// When a gang may next search for room.
    pub(crate) search_at: Instant,
}

impl StepAdvice {
    /// Takes in an answer that named `named` and found `good` of them.
    pub(crate) fn take_in(
        &mut self,
        now: Instant,
        named: &[WorkerKey],
        good: &[(WorkerKey, Arc<str>)],
        validity: Duration,
    ) {
        for &worker in named {
            self.opinions.insert(worker, Opinion::Bad);
        }
        let until = (now + validity) - TICKET_MARGIN;
        for (worker, ticket) in good {
            let ticket = ticket.clone();
            self.opinions
                .insert(*worker, Opinion::Good { ticket, until });
        }
    }

    /// Returns whether a call is open.
    pub(crate) fn is_open(&self) -> bool {
        !self.open.is_empty()
    }

    /// Returns whether the open call names a worker.
    pub(crate) fn is_asked_about(&self, worker: WorkerKey) -> bool {
        self.open.iter().any(|part| part.named.contains(&worker))
    }

    /// Takes out the part of the open call that names these workers.
    pub(crate) fn take_part(&mut self, named: &[WorkerKey]) -> Option<OpenPart> {
        let first = named.first()?;
        let index = self
            .open
            .iter()
            .position(|part| part.named.first() == Some(first))?;
        Some(self.open.swap_remove(index))
    }

    /// Returns the worker's ticket, where one holds.
    pub(crate) fn ticket(&self, now: Instant, worker: WorkerKey) -> Option<Arc<str>> {
        match self.opinions.get(&worker) {
            Some(Opinion::Good { ticket, until }) if now < *until => Some(ticket.clone()),
            _ => None,
        }
    }

    /// Returns the workers whose tickets hold.
    pub(crate) fn ticketed(&self, now: Instant) -> Vec<WorkerKey> {
        let holds =
            |opinion: &Opinion| matches!(opinion, Opinion::Good { until, .. } if now < *until);
        let holding = self.opinions.iter().filter(|(_, opinion)| holds(opinion));
        holding.map(|(worker, _)| *worker).collect()
    }

    /// Returns the workers known to be fit, whether or not their tickets hold.
    pub(crate) fn good(&self) -> Vec<WorkerKey> {
        let is_good = |opinion: &Opinion| matches!(opinion, Opinion::Good { .. });
        let good = self.opinions.iter().filter(|(_, opinion)| is_good(opinion));
        good.map(|(worker, _)| *worker).collect()
    }

    /// Returns whether nothing is known of any worker.
    pub(crate) fn is_empty(&self) -> bool {
        self.opinions.is_empty()
    }

    /// Returns whether anything is known of the worker.
    pub(crate) fn is_known(&self, worker: WorkerKey) -> bool {
        self.opinions.contains_key(&worker)
    }

    /// Ends the ticket of a worker that refused it.
    pub(crate) fn expire(&mut self, worker: WorkerKey) {
        if let Some(Opinion::Good { until, .. }) = self.opinions.get_mut(&worker) {
            *until = Instant::default();
        }
    }
}
