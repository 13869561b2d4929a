//! The leader's side of one relay: sends orders in batches and collects the replies.

use crate::leader::Term;
use crate::node::Node;
use crate::peer::{self, PeerError, PeerReply, PeerRequest};
use crate::platform::Platform;
use crate::relay::message::{Order, RelaySession, RelayedOrder, SentAt};
use crate::relay::order::{is_unanswered, OpenOrder};
use crate::relay::relay_clock::RelayClock;
use crate::relay::server::COLLECT_TIMEOUT;
use ospreywing_scheduler::Endpoint;
use ospreywing_types::{Duration, Instant};
use slog::{info, warn};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::Notify;
use tokio::time::timeout;

/// The timeout for a relay to acknowledge a batch, and to answer a collect call beyond
/// its wait. An answer usually takes some milliseconds.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_ms(400);
/// The minimum time between two batches to one relay. Starts are sent in groups, one
/// for each commit.
const BATCH_INTERVAL: Duration = Duration::from_ms(8);
/// The maximum number of orders in a batch: a start has up to 4.5 KB, including its job's payload,
/// and nodes accept bodies of 4 MB from one another.
const BATCH_LIMIT_COUNT: usize = 500;
/// How long an idle loop waits before it checks whether the term is over.
const IDLE_TIMEOUT: Duration = Duration::from_ms(500);
/// How long an order may be open. The longest is a poll, which waits 2 s at its
/// worker and may then take another second.
const ORDER_TIMEOUT: Duration = Duration::from_ms(5000);

/// An order that was queued for a relay and is not answered yet.
struct OpenEntry {
    order: OpenOrder,
    queued_at: Instant,
}

/// The leader's session with one relay.
pub(crate) struct RelayLink {
    pub(crate) name: Arc<str>,
    address: Arc<str>,
    session: RelaySession,
    next_number: Cell<u64>,
    queue: RefCell<Vec<RelayedOrder>>,
    open: RefCell<BTreeMap<u64, OpenEntry>>,
    queued: Notify,
    opened: Notify,
    relay_clock: Cell<RelayClock>,
    is_lost: Cell<bool>,
    /// Whether no further orders are sent to the relay.
    is_retired: Cell<bool>,
}

impl RelayLink {
    pub(crate) fn new(name: Arc<str>, address: Arc<str>, session: RelaySession) -> Rc<Self> {
        Rc::new(Self {
            name,
            address,
            session,
            next_number: Cell::new(0),
            queue: RefCell::default(),
            open: RefCell::default(),
            queued: Notify::new(),
            opened: Notify::new(),
            relay_clock: Cell::default(),
            is_lost: Cell::new(false),
            is_retired: Cell::new(false),
        })
    }

    pub(crate) fn is_lost(&self) -> bool {
        self.is_lost.get()
    }

    pub(crate) fn set_retired(&self, is_retired: bool) {
        self.is_retired.set(is_retired);
    }

    /// Queues an order for the next batch.
    pub(crate) fn send(&self, now: Instant, to: Endpoint, order: Order) {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let entry = OpenEntry {
            order: OpenOrder::new(now, &to, &order),
            queued_at: now,
        };
        self.open.borrow_mut().insert(number, entry);
        let relayed = RelayedOrder { number, to, order };
        self.queue.borrow_mut().push(relayed);
        self.queued.notify_one();
        self.opened.notify_one();
    }

    /// Returns whether the link is closed. A retired link is marked as lost once it has no
    /// open orders, so that it is not used again.
    fn is_over<P: Platform>(&self, term: &Term<P>) -> bool {
        if self.is_retired.get() && self.open.borrow().is_empty() {
            self.is_lost.set(true);
        }
        self.is_lost.get() || term.is_over()
    }

    fn take_batch(&self) -> Vec<RelayedOrder> {
        let mut queue = self.queue.borrow_mut();
        let count = queue.len().min(BATCH_LIMIT_COUNT);
        queue.drain(..count).collect()
    }

    /// Reports to the scheduler that orders were certainly not sent.
    fn report_not_sent<P: Platform>(&self, term: &Term<P>, numbers: &[u64]) {
        for number in numbers {
            if let Some(entry) = self.open.borrow_mut().remove(number) {
                term.send_event(entry.order.not_sent());
            }
        }
    }

    /// Closes the link since the relay does not answer: orders that were sent to it count as
    /// unanswered, queued ones as not sent.
    fn mark_lost<P: Platform>(&self, node: &Node<P>, term: &Term<P>, reason: &str) {
        if self.is_lost.replace(true) {
            return;
        }
        let unsent = core::mem::take(&mut *self.queue.borrow_mut());
        let unsent: Vec<u64> = unsent.iter().map(|order| order.number).collect();
        self.report_not_sent(term, &unsent);
        let open = core::mem::take(&mut *self.open.borrow_mut());
        warn!(node.log, "relay lost"; "relay" => self.name.as_ref(), "reason" => reason,
            "session" => self.session.number, "unsent" => unsent.len(), "open" => open.len());
        node.metrics.count_lost_relay();
        term.relays.pause_relay(&self.name);
        for entry in open.into_values() {
            term.send_event(entry.order.unanswered());
        }
    }

    /// Reports orders as unanswered that have been open for too long.
    fn expire_orders<P: Platform>(&self, term: &Term<P>, now: Instant) {
        let is_old = |entry: &OpenEntry| now.since(entry.queued_at) > ORDER_TIMEOUT;
        loop {
            let mut open = self.open.borrow_mut();
            let oldest = open.first_entry().filter(|oldest| is_old(oldest.get()));
            let Some(oldest) = oldest else {
                return;
            };
            let entry = oldest.remove();
            drop(open);
            term.send_event(entry.order.unanswered());
        }
    }
}

/// Starts the tasks that send a relay's orders and collect its replies.
pub(crate) fn open<P: Platform>(node: &Rc<Node<P>>, term: &Rc<Term<P>>, link: &Rc<RelayLink>) {
    info!(node.log, "relay used"; "relay" => link.name.as_ref(),
        "session" => link.session.number, "fence" => link.session.fence);
    tokio::task::spawn_local(send_orders(node.clone(), term.clone(), link.clone()));
    tokio::task::spawn_local(collect_replies(node.clone(), term.clone(), link.clone()));
}

/// Sends queued orders until the link is closed.
async fn send_orders<P: Platform>(node: Rc<Node<P>>, term: Rc<Term<P>>, link: Rc<RelayLink>) {
    while !link.is_over(&term) {
        if link.queue.borrow().is_empty() {
            // Whether notified or timed out, the queue is checked again.
            let _ = timeout(IDLE_TIMEOUT.into(), link.queued.notified()).await;
            continue;
        }
        if let Err(error) = read_clock_if_due(&node, &link).await {
            return link.mark_lost(&node, &term, &error.to_string());
        }
        let orders = link.take_batch();
        let numbers: Vec<u64> = orders.iter().map(|order| order.number).collect();
        if !term.may_send_orders() {
            link.report_not_sent(&term, &numbers);
            continue;
        }
        node.metrics.count_relayed_orders(orders.len());
        let session = link.session;
        let sent_at = SentAt(link.relay_clock.get().estimate(crate::clock::now()));
        let request = PeerRequest::RelayOrders {
            session,
            orders,
            sent_at,
        };
        match peer::call(&node.peers, &link.address, &request, ANSWER_TIMEOUT).await {
            Ok(PeerReply::Taken) => {}
            Ok(_) => return link.mark_lost(&node, &term, "it refuses orders"),
            Err(error) => {
                if error.is_not_sent() {
                    link.report_not_sent(&term, &numbers);
                }
                return link.mark_lost(&node, &term, &error.to_string());
            }
        }
        tokio::time::sleep(BATCH_INTERVAL.into()).await;
    }
}

/// Reads the relay's clock unless a recent reading is known.
///
/// # Errors
///
/// Returns a [`PeerError`] if the relay does not answer.
async fn read_clock_if_due<P: Platform>(node: &Node<P>, link: &RelayLink) -> Result<(), PeerError> {
    let mut relay_clock = link.relay_clock.get();
    let sent_at = crate::clock::now();
    if !relay_clock.is_reading_due(sent_at) {
        return Ok(());
    }
    let request = PeerRequest::Clock;
    let reply = peer::call(&node.peers, &link.address, &request, ANSWER_TIMEOUT).await;
    let now = crate::clock::now();
    match reply {
        Ok(PeerReply::Clock(relay_time)) => relay_clock.record(sent_at, now, relay_time),
        // A node of an earlier version can't parse the request.
        Ok(_) | Err(PeerError::Malformed) => relay_clock.record_none(now),
        Err(error) => return Err(error),
    }
    link.relay_clock.set(relay_clock);
    Ok(())
}

/// Collects replies until the link is closed.
async fn collect_replies<P: Platform>(node: Rc<Node<P>>, term: Rc<Term<P>>, link: Rc<RelayLink>) {
    let request = PeerRequest::RelayReplies {
        session: link.session,
    };
    while !link.is_over(&term) {
        if link.open.borrow().is_empty() {
            let _ = timeout(IDLE_TIMEOUT.into(), link.opened.notified()).await;
            continue;
        }
        let limit = COLLECT_TIMEOUT + ANSWER_TIMEOUT;
        let replies = match peer::call(&node.peers, &link.address, &request, limit).await {
            Ok(PeerReply::Relayed(replies)) => replies,
            Ok(_) => return link.mark_lost(&node, &term, "it refuses to tell replies"),
            Err(error) => return link.mark_lost(&node, &term, &error.to_string()),
        };
        let now = crate::clock::now();
        for relayed in replies {
            let Some(entry) = link.open.borrow_mut().remove(&relayed.number) else {
                continue;
            };
            if is_unanswered(&relayed.reply) {
                term.relays.bypass_relay(now, entry.order.worker());
            }
            term.send_event(entry.order.answered(relayed.reply));
        }
        link.expire_orders(&term, now);
    }
}
