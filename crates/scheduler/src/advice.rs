//! Tickets for steps whose queue needs advice.

use crate::worker::WorkerKey;
use ospreywing_types::{Duration, Instant};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What is taken off a ticket's validity for the ways between.
const TICKET_MARGIN: Duration = Duration::from_ms(150);

/// What is known of one worker for one step.
#[derive(Clone, Debug)]
enum Suitability {
    Suitable {
        ticket: Arc<str>,
        expires_at: Instant,
    },
    Unsuitable,
}

/// A part of a call for advice, which one node makes.
#[derive(Clone, Debug)]
pub(crate) struct AdviceRequest {
    /// When it was made.
    pub(crate) sent_at: Instant,
    /// The node that makes it.
    pub(crate) node: Arc<str>,
    /// The workers that it names; no two parts name the same.
    pub(crate) queried: Box<[WorkerKey]>,
}

/// The advice for one step. Who may run a step never changes, tickets expire.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepAdvice {
    suitability_by_worker: BTreeMap<WorkerKey, Suitability>,
    /// The parts of the open call that have not been answered.
    pub(crate) pending_requests: Vec<AdviceRequest>,
    /// When the last call was answered.
    pub(crate) answered_at: Instant,
    /// When the next call may be made after one that failed.
    pub(crate) retry_at: Instant,
    /// When a gang may next search for room.
    pub(crate) next_search_at: Instant,
}

impl StepAdvice {
    /// Takes in an answer that named `queried` and found `suitable` of them.
    pub(crate) fn record_reply(
        &mut self,
        now: Instant,
        queried: &[WorkerKey],
        suitable: &[(WorkerKey, Arc<str>)],
        validity: Duration,
    ) {
        for &worker in queried {
            self.suitability_by_worker
                .insert(worker, Suitability::Unsuitable);
        }
        let expires_at = (now + validity) - TICKET_MARGIN;
        for (worker, ticket) in suitable {
            let ticket = ticket.clone();
            self.suitability_by_worker
                .insert(*worker, Suitability::Suitable { ticket, expires_at });
        }
    }

    /// Returns whether a call is open.
    pub(crate) fn has_pending_request(&self) -> bool {
        !self.pending_requests.is_empty()
    }

    /// Returns whether the open call names a worker.
    pub(crate) fn is_queried(&self, worker: WorkerKey) -> bool {
        self.pending_requests
            .iter()
            .any(|request| request.queried.contains(&worker))
    }

    /// Takes out the part of the open call that names these workers.
    pub(crate) fn remove_request(&mut self, queried: &[WorkerKey]) -> Option<AdviceRequest> {
        let first = queried.first()?;
        let index = self
            .pending_requests
            .iter()
            .position(|request| request.queried.first() == Some(first))?;
        Some(self.pending_requests.swap_remove(index))
    }

    /// Returns the worker's ticket, where one holds.
    pub(crate) fn ticket(&self, now: Instant, worker: WorkerKey) -> Option<Arc<str>> {
        match self.suitability_by_worker.get(&worker) {
            Some(Suitability::Suitable { ticket, expires_at }) if now < *expires_at => {
                Some(ticket.clone())
            }
            _ => None,
        }
    }

    /// Returns the workers whose tickets hold.
    pub(crate) fn ticketed(&self, now: Instant) -> Vec<WorkerKey> {
        let holds = |suitability: &Suitability| matches!(suitability, Suitability::Suitable { expires_at, .. } if now < *expires_at);
        let holding = self
            .suitability_by_worker
            .iter()
            .filter(|(_, suitability)| holds(suitability));
        holding.map(|(worker, _)| *worker).collect()
    }

    /// Returns the workers known to be fit, whether or not their tickets hold.
    pub(crate) fn suitable(&self) -> Vec<WorkerKey> {
        let is_suitable =
            |suitability: &Suitability| matches!(suitability, Suitability::Suitable { .. });
        let suitable = self
            .suitability_by_worker
            .iter()
            .filter(|(_, suitability)| is_suitable(suitability));
        suitable.map(|(worker, _)| *worker).collect()
    }

    /// Returns whether nothing is known of any worker.
    pub(crate) fn is_empty(&self) -> bool {
        self.suitability_by_worker.is_empty()
    }

    /// Returns whether anything is known of the worker.
    pub(crate) fn is_known(&self, worker: WorkerKey) -> bool {
        self.suitability_by_worker.contains_key(&worker)
    }

    /// Ends the ticket of a worker that refused it.
    pub(crate) fn expire_ticket(&mut self, worker: WorkerKey) {
        if let Some(Suitability::Suitable { expires_at, .. }) =
            self.suitability_by_worker.get_mut(&worker)
        {
            *expires_at = Instant::default();
        }
    }
}
