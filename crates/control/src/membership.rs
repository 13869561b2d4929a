//! Registers a node in the cell, by an item in the store that is bound to a lease.

use crate::cell_view::NodeRecord;
use crate::keys;
use crate::node::Node;
use crate::platform::Platform;
use crate::store::{CommitError, LeaseId, Store, StoreError, Transaction};
use ospreywing_types::Duration;
use std::rc::Rc;

/// The duration of a node's lease.
const NODE_LEASE: Duration = Duration::from_ms(4000);
/// The time between two renewals of a node's lease.
const NODE_RENEWAL: Duration = Duration::from_ms(900);
/// The pause before a failed call is retried.
const RETRY_PAUSE: Duration = Duration::from_ms(200);

/// Registers the node and renews its lease until it drains.
pub async fn maintain_membership<P: Platform>(node: Rc<Node<P>>) {
    let mut lease = None;
    while !node.is_draining.get() {
        let renewed = match lease {
            None => register(&node).await,
            Some(lease) => node.store.renew_lease(lease).await.map(|()| lease),
        };
        let pause = match renewed {
            Ok(renewed) => {
                lease = Some(renewed);
                node.record_store_contact();
                NODE_RENEWAL
            }
            Err(StoreError::LeaseOver) => {
                lease = None;
                Duration::ZERO
            }
            Err(_) => RETRY_PAUSE,
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

/// Removes the node's item, so that other nodes stop calling it.
pub async fn deregister<P: Platform>(node: &Rc<Node<P>>) {
    let key = keys::node(&node.settings.name);
    let transaction = Transaction::new().with_remove(key);
    // If the call fails, the item is removed when its lease expires.
    let _ = node.store.commit(&transaction).await;
}

/// Returns the record that this node publishes of itself.
pub(crate) fn own_node_record<P: Platform>(node: &Node<P>) -> NodeRecord {
    NodeRecord {
        address: node.settings.peer_address.to_string(),
        cores_milli: node.settings.cores_milli,
        data_centre: node.settings.data_centre.clone(),
    }
}
