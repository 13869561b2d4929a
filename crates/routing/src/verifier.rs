//! Checks the invariants of a router's data; each error names the entity at fault.

use crate::entity::{Minion, Request, Service};
use crate::minion::Slot;
use crate::request::{SlotRef, Stage};
use crate::router::Router;
use thiserror::Error;

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum VerifierError {
    /// A slot refers to a request that does not use it.
    #[error("{minion}, seat {seat}: names {request}, which does not use it")]
    Slot {
        /// The minion.
        minion: Minion,
        /// The seat.
        seat: u32,
        /// The request that the slot refers to.
        request: Request,
    },
    /// A request uses a slot that does not refer to it.
    #[error("{request}: uses a slot of {minion} that does not name it")]
    SlotNotMarked {
        /// The request.
        request: Request,
        /// The minion.
        minion: Minion,
    },
    /// A row's count of requests in flight is wrong.
    #[error("{service}: counts {counted} in flight, {found} are")]
    Inflight {
        /// The row.
        service: Service,
        /// The stored count.
        counted: u32,
        /// The number of requests found.
        found: u32,
    },
    /// A queued request is not in exactly one queue, or another request is in a
    /// queue.
    #[error("{request}: is queued {queued_count} times")]
    Queued {
        /// The request.
        request: Request,
        /// How often the request occurs in queues.
        queued_count: usize,
    },
    /// A request that is unsafe to repeat was sent before its run was granted.
    #[error("{request}: sent without the grant of its key")]
    SentWithoutGrant {
        /// The request.
        request: Request,
    },
}

/// Checks all invariants.
///
/// # Errors
///
/// Returns every violation found.
pub fn verify(router: &Router) -> Result<(), Vec<VerifierError>> {
    let mut errors = Vec::new();
    verify_slots(router, &mut errors);
    verify_requests(router, &mut errors);
    verify_services(router, &mut errors);
    if errors.is_empty() {
        Ok(())
    } else {
        Err(errors)
    }
}

fn slot_of(stage: Stage) -> Option<SlotRef> {
    match stage {
        Stage::AwaitingKey(slot_ref) | Stage::Sent(slot_ref) => Some(slot_ref),
        Stage::Vacant | Stage::Queued => None,
    }
}

fn verify_slots(router: &Router, errors: &mut Vec<VerifierError>) {
    for (minion, data) in router.minions.iter() {
        for (seat, slot) in (0..).zip(data.slots) {
            let Slot::Busy(request) = slot else { continue };
            let slot_ref = slot_of(router.requests.get(request).stage);
            if slot_ref != Some(SlotRef { minion, seat }) {
                errors.push(VerifierError::Slot {
                    minion,
                    seat,
                    request,
                });
            }
        }
    }
}

fn verify_requests(router: &Router, errors: &mut Vec<VerifierError>) {
    for (request, data) in router.requests.iter() {
        if let Some(slot_ref) = slot_of(data.stage) {
            let minion = slot_ref.minion;
            let slot = router.minions.get(minion).slots[slot_ref.seat as usize];
            if slot != Slot::Busy(request) {
                errors.push(VerifierError::SlotNotMarked { request, minion });
            }
        }
        if matches!(data.stage, Stage::Sent(_)) && data.key.is_some() && !data.is_key_granted {
            errors.push(VerifierError::SentWithoutGrant { request });
        }
        let queues = router.services.iter().map(|(_, service)| &service.queue);
        let queued_count = queues
            .flatten()
            .filter(|queued| **queued == request)
            .count();
        if queued_count != usize::from(data.stage == Stage::Queued) {
            errors.push(VerifierError::Queued {
                request,
                queued_count,
            });
        }
    }
}

fn verify_services(router: &Router, errors: &mut Vec<VerifierError>) {
    for (service, data) in router.services.iter() {
        let uses = router
            .requests
            .iter()
            .filter(|(_, request)| request.service == service && slot_of(request.stage).is_some());
        let found = uses.count() as u32;
        if found != data.inflight_count {
            errors.push(VerifierError::Inflight {
                service,
                counted: data.inflight_count,
                found,
            });
        }
    }
}
