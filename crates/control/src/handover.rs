//! What a leader has learned, handed on to the nodes that stand for leader after it.
//!
//! It is worth seconds, not truth: a node without it learns anew. So it goes from node to node
//! and never to the store, and an answer that is lost is not repeated before the next turn.

use crate::clock;
use crate::leader::Leading;
use crate::node::Node;
use crate::peer::{self, PeerReply, PeerRequest};
use crate::platform::Platform;
use ospreywing_scheduler::Learned;
use ospreywing_types::{Duration, Instant};
use slog::debug;
use std::rc::Rc;

/// The time between two turns. What is learned within one is lost with the leader.
const PERIOD: Duration = Duration::from_s(10);
/// How long a node may take to answer.
const ANSWER_LIMIT: Duration = Duration::from_ms(1000);
/// How many candidates it goes to: one of the first leads next, unless all of them are lost.
const RECEIVERS_COUNT: usize = 3;
/// How old what was handed on may be: workers may have changed since.
const AGE_LIMIT: Duration = Duration::from_s(300);

/// What an earlier leader has learned, as a node keeps it.
#[derive(Debug, Default)]
pub struct KeptLearned {
    learned: Learned,
    at: Instant,
}

impl KeptLearned {
    /// Keeps what has come from the leader.
    pub const fn new(now: Instant, learned: Learned) -> Self {
        Self { learned, at: now }
    }

    /// Returns what was learned as it is now, where it is not too old.
    pub fn into_learned(mut self, now: Instant) -> Option<Learned> {
        let kept = now.since(self.at);
        if kept > AGE_LIMIT || self.learned.is_empty() {
            return None;
        }
        self.learned.add_age(kept);
        Some(self.learned)
    }
}

/// Hands on what this leader has learned, until its term is over.
pub(crate) async fn hand_on<P: Platform>(node: Rc<Node<P>>, leading: Rc<Leading<P>>) {
    while !leading.is_over() {
        tokio::time::sleep(PERIOD.into()).await;
        let now = clock::now();
        let learned = leading.scheduler.borrow().learned(now);
        if learned.is_empty() || !leading.may_order() {
            continue;
        }
        // This node may be elected again.
        *node.learned.borrow_mut() = KeptLearned::new(now, learned.clone());
        let request = PeerRequest::Learned(learned);
        let candidates = node.cell.borrow().list.candidates.clone();
        let others = candidates.iter().filter(|it| it.name != node.settings.name);
        for candidate in others.take(RECEIVERS_COUNT) {
            let address = &candidate.record.address;
            let reply = peer::call(&node.peers, address, &request, ANSWER_LIMIT).await;
            if !matches!(reply, Ok(PeerReply::Taken)) {
                debug!(node.log, "learned not handed on"; "to" => &candidate.name);
            }
        }
    }
}
