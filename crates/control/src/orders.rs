//! Orders to workers and calls for advice.

use crate::clock;
use crate::leader::Leading;
use crate::node::Node;
use crate::peer::{self, AdviceAnswer, PeerReply, PeerRequest};
use crate::platform::Platform;
use crate::relay::message::Order;
use crate::relay::OpenOrder;
use ospreywing_scheduler::{AdviceReply, Endpoint, Event, StepKey, Ticket};
use ospreywing_types::{Duration, Instant};
use std::rc::Rc;
use std::sync::Arc;

/// What a call for advice may take beyond the adviser's own time.
const ADVICE_SLACK: Duration = Duration::from_ms(700);

/// Gives an order to a worker, through its relay where it has one, and tells the
/// scheduler what became of it.
pub fn give<P: Platform>(node: &Rc<Node<P>>, leading: &Rc<Leading<P>>, to: Endpoint, order: Order) {
    let now = clock::now();
    match leading.relays.link_of(now, to.worker) {
        Some(link) => link.send(now, to, order),
        None => give_directly(now, node, leading, to, order),
    }
}

/// Gives an order in a task of its own, unless the term may be over.
fn give_directly<P: Platform>(
    now: Instant,
    node: &Rc<Node<P>>,
    leading: &Rc<Leading<P>>,
    to: Endpoint,
    order: Order,
) {
    let open = OpenOrder::new(now, &to, &order);
    let (node, leading) = (node.clone(), leading.clone());
    tokio::task::spawn_local(async move {
        if !leading.may_order() {
            leading.tell(open.not_given());
            return;
        }
        let reply = order.give(&node.platform, &to, leading.fence).await;
        leading.tell(open.answered(reply));
    });
}

/// Has a node ask the adviser.
pub fn advise<P: Platform>(
    node: &Rc<Node<P>>,
    leading: &Rc<Leading<P>>,
    step: StepKey,
    workers: Vec<Endpoint>,
    asker: &str,
    expected: Duration,
) {
    let is_own = asker == node.settings.name;
    let address = node
        .cell
        .borrow()
        .nodes
        .get(asker)
        .map(|record| record.address.clone());
    let (node, leading) = (node.clone(), leading.clone());
    tokio::task::spawn_local(async move {
        let ids: Vec<Arc<str>> = workers.iter().map(|to| to.id.clone()).collect();
        let limit = expected + ADVICE_SLACK;
        let reply = match address {
            _ if is_own => node.platform.advise(step, &ids, limit).await,
            Some(address) => ask(&node, &address, step, ids, limit).await,
            None => AdviceReply::Unanswered,
        };
        leading.tell(Event::AdviceAnswered {
            step,
            queried: workers.iter().map(|to| to.worker).collect(),
            reply,
        });
    });
}

/// Asks through another node.
async fn ask<P: Platform>(
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
        Ok(PeerReply::Advice(Some(answer))) => advice_of(answer),
        _ => AdviceReply::Unanswered,
    }
}

fn advice_of(answer: AdviceAnswer) -> AdviceReply {
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
