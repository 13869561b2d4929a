//! Sends orders to workers and requests to the adviser.

use crate::clock;
use crate::leader::Term;
use crate::node::Node;
use crate::peer::{self, AdviceAnswer, PeerReply, PeerRequest};
use crate::platform::Platform;
use crate::relay::message::Order;
use crate::relay::OpenOrder;
use ospreywing_scheduler::{AdviceReply, Endpoint, Event, StepKey, Ticket};
use ospreywing_types::{Duration, Instant};
use std::rc::Rc;
use std::sync::Arc;

/// The timeout of an advice request beyond the adviser's expected time.
const ADVICE_SLACK: Duration = Duration::from_ms(700);

/// Sends an order to a worker, through its relay if it has one, and passes the reply to
/// the scheduler as an event.
pub fn send_order<P: Platform>(node: &Rc<Node<P>>, term: &Rc<Term<P>>, to: Endpoint, order: Order) {
    let now = clock::now();
    match term.relays.link_for_worker(now, to.worker) {
        Some(link) => link.send(now, to, order),
        None => send_directly(now, node, term, to, order),
    }
}

/// Sends an order from this node in a spawned task, unless the term may be over.
fn send_directly<P: Platform>(
    now: Instant,
    node: &Rc<Node<P>>,
    term: &Rc<Term<P>>,
    to: Endpoint,
    order: Order,
) {
    let open = OpenOrder::new(now, &to, &order);
    let (node, term) = (node.clone(), term.clone());
    tokio::task::spawn_local(async move {
        if !term.may_send_orders() {
            term.send_event(open.not_sent());
            return;
        }
        let reply = order.send_to_worker(&node.platform, &to, term.fence).await;
        term.send_event(open.answered(reply));
    });
}

/// Requests advice on a step through the node `adviser_node`, which may be this one.
pub fn request_advice<P: Platform>(
    node: &Rc<Node<P>>,
    term: &Rc<Term<P>>,
    step: StepKey,
    workers: Vec<Endpoint>,
    adviser_node: &str,
    expected: Duration,
) {
    let is_own = adviser_node == node.settings.name;
    let address = node
        .cell
        .borrow()
        .nodes
        .get(adviser_node)
        .map(|record| record.address.clone());
    let (node, term) = (node.clone(), term.clone());
    tokio::task::spawn_local(async move {
        let ids: Vec<Arc<str>> = workers.iter().map(|to| to.id.clone()).collect();
        let limit = expected + ADVICE_SLACK;
        let reply = match address {
            _ if is_own => node.platform.advise(step, &ids, limit).await,
            Some(address) => advise_through_peer(&node, &address, step, ids, limit).await,
            None => AdviceReply::Unanswered,
        };
        term.send_event(Event::AdviceAnswered {
            step,
            named: workers.iter().map(|to| to.worker).collect(),
            reply,
        });
    });
}

/// Requests advice through another node.
async fn advise_through_peer<P: Platform>(
    node: &Rc<Node<P>>,
    address: &str,
    step: StepKey,
    ids: Vec<Arc<str>>,
    limit: Duration,
) -> AdviceReply {
    let request = PeerRequest::Advise {
        step,
        workers: ids.iter().map(ToString::to_string).collect(),
        limit_ms: limit.as_ms(),
    };
    match peer::call(&node.peers, address, &request, limit).await {
        Ok(PeerReply::Advice(Some(answer))) => to_advice_reply(answer),
        _ => AdviceReply::Unanswered,
    }
}

fn to_advice_reply(answer: AdviceAnswer) -> AdviceReply {
    AdviceReply::Good {
        tickets: answer
            .good
            .into_iter()
            .map(|good| Ticket {
                worker: good.worker,
                text: good.ticket,
            })
            .collect(),
        validity: Duration::from_ms(answer.validity_ms),
    }
}
