//! The messages between a leader and its relays.

use crate::platform::{Platform, WorkerPoll};
use ospreywing_scheduler::{Endpoint, HoldReply, StartOrder, StartReply, StopReply, TaskKey};
use ospreywing_types::Instant;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Identifies a session: the use of one relay by one leader until a call between them fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RelaySession {
    /// The leader's fencing token.
    pub fence: u64,
    /// The session's number in the leader's term.
    pub number: u64,
}

/// An order to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Starts a run.
    Start(StartOrder),
    /// Stops a run.
    Stop {
        /// The task.
        task: TaskKey,
        /// The run.
        run: u32,
    },
    /// Polls the worker for its runs, and may renew its lease.
    Hold(WorkerPoll),
}

impl Order {
    /// Sends the order to a worker, with the fencing token of the leader that decided it.
    pub(crate) async fn send_to_worker<P: Platform>(
        self,
        platform: &P,
        to: &Endpoint,
        fence: u64,
    ) -> OrderReply {
        match self {
            Self::Start(order) => OrderReply::Start(platform.start(to, fence, &order).await),
            Self::Stop { task, run } => OrderReply::Stop(platform.stop(to, fence, task, run).await),
            Self::Hold(poll) => OrderReply::Hold(platform.hold(to, fence, poll).await),
        }
    }
}

/// An order that a relay is to send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedOrder {
    /// The order's number in the session.
    pub number: u64,
    /// The worker.
    pub to: Endpoint,
    /// The order.
    pub order: Order,
}

/// When a batch was sent, on its relay's clock; `None` if that is not known.
///
/// It is the last field of its message, and `None` is encoded as nothing, so nodes of earlier
/// versions ignore it and their messages lack it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentAt(pub Option<Instant>);

impl Serialize for SentAt {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self.0 {
            Some(sent_at) => sent_at.serialize(serializer),
            None => serializer.serialize_unit(),
        }
    }
}

impl<'de> Deserialize<'de> for SentAt {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // The only error is that the message ends before the field.
        Ok(Self(Instant::deserialize(deserializer).ok()))
    }
}

/// The reply to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderReply {
    /// The reply to a start.
    Start(StartReply),
    /// The reply to a stop.
    Stop(StopReply),
    /// The reply to a poll.
    Hold(HoldReply),
}

/// The reply to an order that a relay sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedReply {
    /// The order's number in the session.
    pub number: u64,
    /// The worker's reply.
    pub reply: OrderReply,
}
