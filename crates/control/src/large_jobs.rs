//! Refuses large jobs that the leader has no room for.

use crate::job_room::SMALL_JOB_BYTES;
use crate::node::Node;
use crate::peer::{PeerReply, PeerRequest};
use crate::platform::Platform;
use crate::refusal_log::Refusal;
use crate::store::Store;
use crate::{clock, keys, requests};
use ospreywing_scheduler::{JobId, JobRecord};
use slog::info;
use std::rc::Rc;

/// Returns whether a job may be accepted: it is small, or the leader has room for it.
///
/// The job may have been accepted before, so the store is read before it is refused.
pub(crate) async fn has_room<P: Platform>(
    node: &Rc<Node<P>>,
    job: JobId,
    record: &JobRecord,
) -> bool {
    let bytes = record.spec.memory_bytes();
    if bytes <= SMALL_JOB_BYTES || reserve_at_leader(node, job, bytes).await {
        return true;
    }
    if !matches!(node.store.get(&keys::job(job)).await, Ok(None)) {
        return true;
    }
    info!(node.log, "large job refused"; "job" => %job, "queue" => &record.queue,
        "bytes" => bytes);
    node.record_refusal(Refusal::JobRefused);
    false
}

/// Reserves room for a job at the leader, if there is a leader and it has room.
async fn reserve_at_leader<P: Platform>(node: &Rc<Node<P>>, job: JobId, bytes: usize) -> bool {
    if let Some(term) = node.valid_term() {
        return term.reserve_room(clock::now(), job, bytes);
    }
    let Some(leader) = requests::find_leader(node).await else {
        return false;
    };
    let request = PeerRequest::ReserveRoom {
        job,
        bytes: bytes as u64,
    };
    let reply = requests::call_leader(node, leader, &request).await;
    matches!(reply, Ok(PeerReply::Taken))
}
