//! Advice for steps whose queue needs it: which workers are suitable, and their tickets.

use crate::worker::WorkerKey;
use ospreywing_types::{Duration, Instant};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Subtracted from a ticket's validity to allow for network delays.
const TICKET_MARGIN: Duration = Duration::from_ms(150);

/// Whether a worker may run a step.
#[derive(Clone, Debug)]
enum Suitability {
    Suitable { ticket: Arc<str>, expiry: Instant },
    Unsuitable,
}

/// One request to the adviser, sent by one node. A query may be split into several requests.
#[derive(Clone, Debug)]
pub(crate) struct AdviceRequest {
    /// When the request was sent.
    pub(crate) sent_at: Instant,
    /// The node that sends it.
    pub(crate) node: Arc<str>,
    /// The queried workers. Requests for the same step never overlap.
    pub(crate) queried: Box<[WorkerKey]>,
}

/// The advice for one step. Whether a worker is suitable never changes, but tickets expire.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepAdvice {
    suitability_by_worker: BTreeMap<WorkerKey, Suitability>,
    /// The requests that have not been answered.
    pub(crate) pending_requests: Vec<AdviceRequest>,
    /// When the last request was answered.
    pub(crate) last_answer_at: Instant,
    /// When the next request may be sent after a failed one.
    pub(crate) retry_at: Instant,
    /// When a gang may next search for capacity.
    pub(crate) next_search_at: Instant,
}

impl StepAdvice {
    /// Records a reply about the `queried` workers that found the `suitable` ones among them.
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
        let expiry = (now + validity) - TICKET_MARGIN;
        for (worker, ticket) in suitable {
            let ticket = ticket.clone();
            self.suitability_by_worker
                .insert(*worker, Suitability::Suitable { ticket, expiry });
        }
    }

    /// Returns whether a request is pending.
    pub(crate) fn has_pending_request(&self) -> bool {
        !self.pending_requests.is_empty()
    }

    /// Returns whether a pending request queries a worker.
    pub(crate) fn is_queried(&self, worker: WorkerKey) -> bool {
        self.pending_requests
            .iter()
            .any(|request| request.queried.contains(&worker))
    }

    /// Removes and returns the pending request for the given workers.
    pub(crate) fn remove_request(&mut self, queried: &[WorkerKey]) -> Option<AdviceRequest> {
        let first = queried.first()?;
        let index = self
            .pending_requests
            .iter()
            .position(|request| request.queried.first() == Some(first))?;
        Some(self.pending_requests.swap_remove(index))
    }

    /// Returns the worker's ticket if it is valid.
    pub(crate) fn ticket(&self, now: Instant, worker: WorkerKey) -> Option<Arc<str>> {
        match self.suitability_by_worker.get(&worker) {
            Some(Suitability::Suitable { ticket, expiry }) if now < *expiry => Some(ticket.clone()),
            _ => None,
        }
    }

    /// Returns the workers with valid tickets.
    pub(crate) fn ticketed_workers(&self, now: Instant) -> Vec<WorkerKey> {
        let is_valid =
            |it: &Suitability| matches!(it, Suitability::Suitable { expiry, .. } if now < *expiry);
        let valid = self
            .suitability_by_worker
            .iter()
            .filter(|(_, suitability)| is_valid(suitability));
        valid.map(|(worker, _)| *worker).collect()
    }

    /// Returns the workers known to be suitable, with or without a valid ticket.
    pub(crate) fn suitable_workers(&self) -> Vec<WorkerKey> {
        let is_suitable =
            |suitability: &Suitability| matches!(suitability, Suitability::Suitable { .. });
        let suitable = self
            .suitability_by_worker
            .iter()
            .filter(|(_, suitability)| is_suitable(suitability));
        suitable.map(|(worker, _)| *worker).collect()
    }

    /// Returns whether no worker's suitability is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.suitability_by_worker.is_empty()
    }

    /// Returns whether the worker's suitability is known.
    pub(crate) fn is_known(&self, worker: WorkerKey) -> bool {
        self.suitability_by_worker.contains_key(&worker)
    }

    /// Returns whether the worker is known to be unsuitable.
    pub(crate) fn is_unsuitable(&self, worker: WorkerKey) -> bool {
        let suitability = self.suitability_by_worker.get(&worker);
        matches!(suitability, Some(Suitability::Unsuitable))
    }

    /// Expires the ticket of a worker that refused it.
    pub(crate) fn expire_ticket(&mut self, worker: WorkerKey) {
        if let Some(Suitability::Suitable { expiry, .. }) =
            self.suitability_by_worker.get_mut(&worker)
        {
            *expiry = Instant::default();
        }
    }
}
