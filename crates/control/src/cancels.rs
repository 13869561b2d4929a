//! Cancels of jobs, by clients and for other nodes.

use crate::caller::Caller;
use crate::intake::{IntakeOutcome, Requirement};
use crate::keys;
use crate::node::Node;
use crate::peer::{PeerReply, PeerRequest};
use crate::platform::{Platform, Reply};
use crate::requests::{forward, is_store_unreachable, send_to_leader};
use crate::store::Store;
use crate::stored_view::{access, Access};
use ospreywing_scheduler::{Event, JobId};
use slog::info;
use std::rc::Rc;

/// The attempts to write a cancel while its job changes: the job ends and is removed at most
/// once, and may be submitted again.
const CANCEL_ATTEMPTS_COUNT: usize = 3;

/// Cancels a job for a client.
pub(crate) async fn cancel<P: Platform>(node: &Rc<Node<P>>, job: JobId, caller: Caller) -> Reply {
    let reply = match write_cancel(node, job, &caller).await {
        PeerReply::Accepted => Reply::Cancelled,
        PeerReply::NoJob => Reply::NoJob,
        PeerReply::Refused => {
            let request = PeerRequest::Cancel { job, caller };
            forward(node, request, Reply::Cancelled).await
        }
        _ => Reply::Unknown,
    };
    let is_done = reply == Reply::Cancelled;
    info!(node.log, "cancel answered"; "job" => %job, "is_done" => is_done);
    reply
}

/// Writes a cancel to the store and notifies the leader.
pub(crate) async fn write_cancel<P: Platform>(
    node: &Rc<Node<P>>,
    job: JobId,
    caller: &Caller,
) -> PeerReply {
    if is_store_unreachable(node) {
        return PeerReply::Refused;
    }
    for _ in 0..CANCEL_ATTEMPTS_COUNT {
        let requirement = match find_cancellable(node, job, caller).await {
            Ok(requirement) => requirement,
            Err(reply) => return reply,
        };
        let written = node
            .intake
            .write_dependent(keys::cancel(job), Vec::new(), requirement)
            .await;
        match written {
            IntakeOutcome::Stored | IntakeOutcome::Exists(_) => {
                notify_leader_of_cancel(node, job);
                return PeerReply::Accepted;
            }
            // The job has ended or was removed.
            IntakeOutcome::RequirementChanged => {}
            IntakeOutcome::NotStored => return PeerReply::Refused,
            IntakeOutcome::Unknown => return PeerReply::Unknown,
        }
    }
    PeerReply::Refused
}

/// Returns the item that a job's cancel depends on.
///
/// # Errors
///
/// Returns the reply if the job can't be cancelled, or has ended and needs no cancel.
async fn find_cancellable<P: Platform>(
    node: &Rc<Node<P>>,
    job: JobId,
    caller: &Caller,
) -> Result<Requirement, PeerReply> {
    let key = keys::job(job);
    let found = node.store.get(&key).await;
    let item = found
        .map_err(|_| PeerReply::Refused)?
        .ok_or(PeerReply::NoJob)?;
    match access(&item, caller) {
        Access::Open => Ok(Requirement {
            key,
            revision: item.revision,
        }),
        Access::Ended => Err(PeerReply::Accepted),
        Access::Closed => Err(PeerReply::NoJob),
        // Another node may be able to parse it.
        Access::Unreadable => Err(PeerReply::Refused),
    }
}

fn notify_leader_of_cancel<P: Platform>(node: &Rc<Node<P>>, job: JobId) {
    match node.valid_term() {
        Some(term) => term.send_event(Event::CancelAccepted { job }),
        None => send_to_leader(node, PeerRequest::CancelTaken(job)),
    }
}
