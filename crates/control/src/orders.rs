//! Orders to workers and calls for advice, each in a task of its own.

use crate::clock;
use crate::leader::Leading;
use crate::node::Node;
use crate::peer::{self, AdviceAnswer, PeerReply, PeerRequest};
use crate::platform::{Look, Platform};
use ospreywing_scheduler::{
    AdviceReply, Endpoint, Event, HoldReply, RefusedStart, StartOrder, StartReply, StepKey,
    StopReply, TaskKey, Ticket,
};
use ospreywing_types::Duration;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;

/// What a call for advice may take beyond the adviser's own time.
const ADVICE_SLACK: Duration = Duration::from_ms(700);

/// Gives an order in a task of its own, unless the term may be over, and tells
/// the scheduler what became of it.
fn spawn_order<P: Platform, R: 'static>(
    leading: &Rc<Leading<P>>,
    order: impl Future<Output = R> + 'static,
    not_sent: R,
    event: impl FnOnce(R) -> Event + 'static,
) {
    let leading = leading.clone();
    tokio::task::spawn_local(async move {
        let reply = if leading.may_order() {
            order.await
        } else {
            not_sent
        };
        leading.tell(event(reply));
    });
}

/// Sends a start, unless the term may be over.
pub fn start<P: Platform>(
    node: &Rc<Node<P>>,
    leading: &Rc<Leading<P>>,
    to: Endpoint,
    order: StartOrder,
) {
    let (node, fence) = (node.clone(), leading.fence);
    let (worker, task, run) = (to.worker, order.task, order.run);
    let sent = async move { node.platform.start(&to, fence, &order).await };
    let not_sent = StartReply::Refused(RefusedStart::Late);
    spawn_order(leading, sent, not_sent, move |reply| Event::StartAnswered {
        worker,
        task,
        run,
        reply,
    });
}

/// Sends a stop, unless the term may be over.
pub fn stop<P: Platform>(
    node: &Rc<Node<P>>,
    leading: &Rc<Leading<P>>,
    to: Endpoint,
    task: TaskKey,
    run: u32,
) {
    let (node, fence) = (node.clone(), leading.fence);
    let worker = to.worker;
    let sent = async move { node.platform.stop(&to, fence, task, run).await };
    spawn_order(leading, sent, StopReply::Unanswered, move |reply| {
        Event::StopAnswered {
            worker,
            task,
            run,
            reply,
        }
    });
}

/// Renews a worker's lease, unless the term may be over.
pub fn hold<P: Platform>(node: &Rc<Node<P>>, leading: &Rc<Leading<P>>, to: Endpoint, look: Look) {
    let (node, fence) = (node.clone(), leading.fence);
    let (worker, sent_at) = (to.worker, clock::now());
    let sent = async move { node.platform.hold(&to, fence, look).await };
    spawn_order(leading, sent, HoldReply::Unanswered, move |reply| {
        Event::HoldAnswered {
            worker,
            sent_at,
            reply,
        }
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
            named: workers.iter().map(|to| to.worker).collect(),
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
