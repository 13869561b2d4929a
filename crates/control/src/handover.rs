//! Handover of a leader's learned statistics to the candidates that may lead after it.
//!
//! The statistics only save a new leader some seconds: without them it learns again. So they
//! are sent from node to node, are never stored, and a lost message is not repeated before
//! the next period.

use crate::clock;
use crate::leader::Term;
use crate::node::Node;
use crate::peer::{self, PeerReply, PeerRequest};
use crate::platform::Platform;
use ospreywing_scheduler::Learned;
use ospreywing_types::{Duration, Instant};
use slog::debug;
use std::rc::Rc;

/// The time between two sends. What was learned since the last one is lost with the leader.
const SEND_PERIOD: Duration = Duration::from_s(10);
/// The timeout for a receiver's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_ms(1000);
/// The number of candidates that receive the statistics. One of the first candidates leads
/// next, unless all of them are lost.
const RECEIVERS_COUNT: usize = 3;
/// The age from which statistics are discarded, since workers may have changed.
const MAX_AGE: Duration = Duration::from_s(300);

/// A leader's learned statistics with the time at which this node received them.
#[derive(Debug, Default)]
pub struct LearnedSnapshot {
    learned: Learned,
    at: Instant,
}

impl LearnedSnapshot {
    /// Creates a snapshot of statistics that were received at `now`.
    pub const fn new(now: Instant, learned: Learned) -> Self {
        Self { learned, at: now }
    }

    /// Returns the statistics aged to `now`; `None` if they are too old or empty.
    pub fn into_learned(mut self, now: Instant) -> Option<Learned> {
        let age = now.since(self.at);
        if age > MAX_AGE || self.learned.is_empty() {
            return None;
        }
        self.learned.age(age);
        Some(self.learned)
    }
}

/// Sends this leader's learned statistics to candidates until its term is over.
pub(crate) async fn send_learned<P: Platform>(node: Rc<Node<P>>, term: Rc<Term<P>>) {
    while !term.is_over() {
        tokio::time::sleep(SEND_PERIOD.into()).await;
        let now = clock::now();
        let learned = term.scheduler.borrow().learned(now);
        if learned.is_empty() || !term.may_send_orders() {
            continue;
        }
        // This node may be elected again.
        *node.learned.borrow_mut() = LearnedSnapshot::new(now, learned.clone());
        let request = PeerRequest::Learned(learned);
        let candidates = node.cell.borrow().list.candidates.clone();
        let others = candidates.iter().filter(|it| it.name != node.settings.name);
        for candidate in others.take(RECEIVERS_COUNT) {
            let address = &candidate.record.address;
            let reply = peer::call(&node.peers, address, &request, ANSWER_TIMEOUT).await;
            if !matches!(reply, Ok(PeerReply::Taken)) {
                debug!(node.log, "learned statistics not sent"; "to" => &candidate.name);
            }
        }
    }
}
