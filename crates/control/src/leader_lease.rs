//! The leader's lease: renewed, and handed over where the store does not answer.

use crate::clock;
use crate::election::LEADER_LEASE;
use crate::leader::{Term, LEASE_MARGIN};
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
pub(crate) async fn renew_lease<P: Platform>(node: Rc<Node<P>>, term: Rc<Term<P>>) {
    let mut failures_count = 0;
    while !term.is_over() {
        if failures_count == 0 {
            tokio::time::sleep(RENEWAL.into()).await;
        } else {
            node.store.pause(RETRY).await;
        }
        let sent_at = clock::now();
        let open_since = &term.renewal_open_since;
        open_since.set(open_since.get().or(Some(sent_at)));
        match node.store.renew_lease(term.lease).await {
            Ok(()) => {
                node.record_store_contact();
                failures_count = 0;
                open_since.set(None);
                term.valid_until
                    .set((sent_at + LEADER_LEASE) - LEASE_MARGIN);
            }
            Err(StoreError::LeaseOver) => {
                warn!(node.log, "leader's lease lost"; "fence" => term.fence);
                term.end();
            }
            Err(error) => {
                warn!(node.log, "leader's lease not renewed"; "error" => error.to_string());
                failures_count += 1;
                if failures_count % HAND_OVER_PERIOD_COUNT == HAND_OVER_AFTER_COUNT {
                    end_lease_through_peer(&node, &term).await;
                }
            }
        }
    }
}

/// Has another node end the lease, where the store answers that node: a
/// leader that can't commit is none, and the others need not wait for its
/// lease to run out.
async fn end_lease_through_peer<P: Platform>(node: &Rc<Node<P>>, term: &Rc<Term<P>>) {
    let request = PeerRequest::EndLease(term.lease);
    for address in requests::forward_addresses(node) {
        let reply = peer::call(&node.peers, &address, &request, HAND_OVER_LIMIT).await;
        if matches!(reply, Ok(PeerReply::Ended)) {
            info!(node.log, "lead handed over"; "fence" => term.fence, "through" => address);
            term.end();
            return;
        }
    }
}
