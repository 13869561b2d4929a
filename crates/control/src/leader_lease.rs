//! The leader's lease: renewed, and handed over where the store does not answer.

use crate::clock;
use crate::election::LEADER_LEASE;
use crate::leader::{Leading, LEASE_MARGIN};
use crate::node::Node;
use crate::peer::{self, PeerReply, PeerRequest};
use crate::platform::Platform;
use crate::requests;
use crate::store::{Store, StoreError};
use ospreywing_types::Duration;
use slog::{info, warn};
use std::rc::Rc;

/// The time between two renewals of the leader's lease.
const RENEWAL: Duration = Duration::from_ms(350);
/// Failed renewals in a row after which the lead is handed over.
const HAND_OVER_AFTER_COUNT: u32 = 2;
/// Failed renewals after which that is tried again.
const HAND_OVER_PERIOD_COUNT: u32 = 6;
/// How long another node may take to end the lease.
const HAND_OVER_LIMIT: Duration = Duration::from_ms(300);
/// The time until something that failed is tried again.
const RETRY: Duration = Duration::from_ms(100);

/// Renews the lease until the term is over.
pub(crate) async fn renew_lease<P: Platform>(node: Rc<Node<P>>, leading: Rc<Leading<P>>) {
    let mut failures_count = 0;
    while !leading.is_over() {
        if failures_count == 0 {
            tokio::time::sleep(RENEWAL.into()).await;
        } else {
            node.store.pause(RETRY).await;
        }
        let sent_at = clock::now();
        let open_since = &leading.renewal_open_since;
        open_since.set(open_since.get().or(Some(sent_at)));
        match node.store.renew_lease(leading.lease).await {
            Ok(()) => {
                node.note_contact();
                failures_count = 0;
                open_since.set(None);
                leading
                    .valid_until
                    .set((sent_at + LEADER_LEASE) - LEASE_MARGIN);
            }
            Err(StoreError::LeaseOver) => {
                warn!(node.log, "leader's lease lost"; "fence" => leading.fence);
                leading.end();
            }
            Err(error) => {
                warn!(node.log, "leader's lease not renewed"; "error" => error.to_string());
                failures_count += 1;
                if failures_count % HAND_OVER_PERIOD_COUNT == HAND_OVER_AFTER_COUNT {
                    hand_over(&node, &leading).await;
                }
            }
        }
    }
}

/// Has another node end the lease, where the store answers that node: a
/// leader that can't commit is none, and the others need not wait for its
/// lease to run out.
async fn hand_over<P: Platform>(node: &Rc<Node<P>>, leading: &Rc<Leading<P>>) {
    let request = PeerRequest::EndLease(leading.lease);
    for address in requests::other_nodes(node) {
        let reply = peer::call(&node.peers, &address, &request, HAND_OVER_LIMIT).await;
        if matches!(reply, Ok(PeerReply::Ended)) {
            info!(node.log, "lead handed over"; "fence" => leading.fence, "through" => address);
            leading.end();
            return;
        }
    }
}
