//! The relay's side: sends the orders of one leader to workers, and keeps the replies
//! until the leader collects them.

use crate::clock;
use crate::node::Node;
use crate::peer::PeerReply;
use crate::platform::Platform;
use crate::relay::batch::Batch;
use crate::relay::message::{Order, OrderReply, RelaySession, RelayedOrder, RelayedReply, SentAt};
use ospreywing_scheduler::{Endpoint, RefusedStart, StartReply};
use ospreywing_types::Duration;
use slog::info;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::timeout;

/// How long a collect call waits for a first reply.
pub(crate) const COLLECT_TIMEOUT: Duration = Duration::from_ms(300);
/// How long a collect call then waits for further replies, so that one answer holds many.
/// At 1,100 workers, 5 ms (with batches every 4 ms instead of 8) made no difference beyond
/// the noise: the completed work had a value of 0.536 instead of 0.542, in one run each.
const BATCHING_DELAY: Duration = Duration::from_ms(15);
/// The maximum number of replies in one answer: a worker's lists have up to 30 KB with 500 ended
/// runs, and answers are limited to 8 MB.
const REPLIES_LIMIT_COUNT: usize = 200;

struct Session {
    id: RelaySession,
    replies: RefCell<Vec<RelayedReply>>,
    replied: Notify,
}

/// The session in which this node is a relay, if any.
#[derive(Default)]
pub(crate) struct RelayServer {
    current: RefCell<Option<Rc<Session>>>,
}

impl RelayServer {
    /// Returns the session with this id, which replaces an earlier one; `None` if a later
    /// one exists.
    fn session(&self, id: RelaySession) -> Option<Rc<Session>> {
        let mut current = self.current.borrow_mut();
        match &*current {
            Some(session) if session.id == id => return Some(session.clone()),
            Some(session) if session.id > id => return None,
            _ => {}
        }
        let session = Rc::new(Session {
            id,
            replies: RefCell::default(),
            replied: Notify::new(),
        });
        *current = Some(session.clone());
        Some(session)
    }
}

/// Accepts orders and sends each to its worker in a spawned task. Starts that were held for too
/// long are answered as certainly not sent.
pub(crate) fn accept_orders<P: Platform>(
    node: &Rc<Node<P>>,
    id: RelaySession,
    orders: Vec<RelayedOrder>,
    sent_at: SentAt,
) -> PeerReply {
    let Some(session) = node.relay_server.session(id) else {
        info!(node.log, "relayed orders refused"; "reason" => "a later session",
            "fence" => id.fence, "orders" => orders.len());
        return PeerReply::Refused;
    };
    let sent_at = sent_at.0.unwrap_or_else(clock::now);
    let batch = Rc::new(Batch::new(id, sent_at, &orders));
    for RelayedOrder { number, to, order } in orders {
        let (node, session, batch) = (node.clone(), session.clone(), batch.clone());
        tokio::task::spawn_local(async move {
            let reply = send_unless_expired(&node, &batch, &to, order, session.id.fence).await;
            let reply = RelayedReply { number, reply };
            session.replies.borrow_mut().push(reply);
            session.replied.notify_one();
        });
    }
    PeerReply::Taken
}

async fn send_unless_expired<P: Platform>(
    node: &Node<P>,
    batch: &Batch,
    to: &Endpoint,
    order: Order,
    fence: u64,
) -> OrderReply {
    if matches!(order, Order::Start(_)) && !batch.may_send_start(node, clock::now()) {
        return OrderReply::Start(StartReply::Refused(RefusedStart::Late));
    }
    order.send_to_worker(&node.platform, to, fence).await
}

/// Returns the replies that have arrived, after a short wait for some.
pub(crate) async fn collect_replies<P: Platform>(
    node: &Rc<Node<P>>,
    id: RelaySession,
) -> PeerReply {
    let Some(session) = node.relay_server.session(id) else {
        return PeerReply::Refused;
    };
    if session.replies.borrow().is_empty() {
        // On a timeout the answer is empty.
        let _ = timeout(COLLECT_TIMEOUT.into(), session.replied.notified()).await;
    }
    tokio::time::sleep(BATCHING_DELAY.into()).await;
    let mut replies = session.replies.borrow_mut();
    let count = replies.len().min(REPLIES_LIMIT_COUNT);
    PeerReply::Relayed(replies.drain(..count).collect())
}
