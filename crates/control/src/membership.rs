//! A node's own item among the live nodes, which lives by a lease.

use crate::cell_view::NodeRecord;
use crate::keys;
use crate::node::Node;
use crate::platform::Platform;
use crate::store::{CommitError, LeaseId, Store, StoreError, Transaction};
use ospreywing_types::Duration;
use std::rc::Rc;

/// A node's lease.
const NODE_LEASE: Duration = Duration::from_ms(4000);
/// The time between two renewals of a node's lease.
const NODE_RENEWAL: Duration = Duration::from_ms(900);
/// The time until something that failed is tried again.
const RETRY: Duration = Duration::from_ms(200);

/// Keeps the node's own item.
pub async fn maintain_membership<P: Platform>(node: Rc<Node<P>>) {
    let mut lease = None;
    while !node.is_draining.get() {
        let kept = match lease {
            None => register(&node).await,
            Some(lease) => node.store.renew_lease(lease).await.map(|()| lease),
        };
        let pause = match kept {
            Ok(kept) => {
                lease = Some(kept);
                node.record_store_contact();
                NODE_RENEWAL
            }
            Err(StoreError::LeaseOver) => {
                lease = None;
                Duration::ZERO
            }
            Err(_) => RETRY,
        };
        tokio::time::sleep(pause.into()).await;
    }
}

async fn register<P: Platform>(node: &Rc<Node<P>>) -> Result<LeaseId, StoreError> {
    let grant = node.store.grant_lease(NODE_LEASE).await?;
    let own = own_node_record(node);
    let value = postcard::to_allocvec(&own).unwrap_or_default();
    let key = keys::node(&node.settings.name);
    let transaction = Transaction::new().with_leased_put(key, value, grant.id);
    match node.store.commit(&transaction).await {
        Ok(_) => Ok(grant.id),
        Err(CommitError::Store(error)) => Err(error),
        Err(CommitError::Conflict(_)) => Err(StoreError::LeaseOver),
    }
}

/// Takes the node's own item away, so that nobody calls it any more.
pub async fn leave<P: Platform>(node: &Rc<Node<P>>) {
    let key = keys::node(&node.settings.name);
    let transaction = Transaction::new().with_remove(key);
    // The item goes with its lease otherwise.
    let _ = node.store.commit(&transaction).await;
}

/// Returns what the others are told of this node.
pub(crate) fn own_node_record<P: Platform>(node: &Node<P>) -> NodeRecord {
    NodeRecord {
        address: node.settings.peer_address.to_string(),
        cores_milli: node.settings.cores_milli,
        data_centre: node.settings.data_centre.clone(),
    }
}
