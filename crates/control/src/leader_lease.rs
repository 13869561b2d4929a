//! Renews the leader lease, and has another node end it if the store does not answer.

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

/// The time between two renewals of the leader lease.
const RENEWAL: Duration = Duration::from_ms(350);
/// Failed renewals in a row after which another node is asked to end the lease.
const END_THROUGH_PEER_AFTER_COUNT: u32 = 2;
/// Further failed renewals after which that is retried.
const END_THROUGH_PEER_PERIOD_COUNT: u32 = 6;
/// The timeout for another node to end the lease.
const END_THROUGH_PEER_TIMEOUT: Duration = Duration::from_ms(300);
/// The pause before a failed renewal is retried.
const RETRY_PAUSE: Duration = Duration::from_ms(100);

/// Renews the leader lease until the term is over.
pub(crate) async fn renew_lease<P: Platform>(node: Rc<Node<P>>, term: Rc<Term<P>>) {
    let mut failures_count = 0;
    while !term.is_over() {
        if failures_count == 0 {
            tokio::time::sleep(RENEWAL.into()).await;
        } else {
            node.store.pause(RETRY_PAUSE).await;
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
                warn!(node.log, "leader lease lost"; "fence" => term.fence);
                term.end();
            }
            Err(error) => {
                warn!(node.log, "leader lease renewal failed"; "error" => error.to_string());
                failures_count += 1;
                if failures_count % END_THROUGH_PEER_PERIOD_COUNT == END_THROUGH_PEER_AFTER_COUNT {
                    end_lease_through_peer(&node, &term).await;
                }
            }
        }
    }
}

/// Asks other nodes to end the lease, in case the store still answers them.
///
/// A leader that can't commit is useless, and this way the other nodes need not
/// wait for its lease to expire.
async fn end_lease_through_peer<P: Platform>(node: &Rc<Node<P>>, term: &Rc<Term<P>>) {
    let request = PeerRequest::EndLease(term.lease);
    for address in requests::forward_addresses(node) {
        let reply = peer::call(&node.peers, &address, &request, END_THROUGH_PEER_TIMEOUT).await;
        if matches!(reply, Ok(PeerReply::Ended)) {
            info!(node.log, "leader lease ended through another node";
                "fence" => term.fence, "through" => address);
            term.end();
            return;
        }
    }
}
