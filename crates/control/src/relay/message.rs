//! What a leader and its relays say to one another.

use crate::platform::{Platform, WorkerPoll};
use ospreywing_scheduler::{Endpoint, HoldReply, StartOrder, StartReply, StopReply, TaskKey};
use serde::{Deserialize, Serialize};

/// The time in which a leader uses one relay without a fault between them.
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
    /// To start a run.
    Start(StartOrder),
    /// To stop a run.
    Stop {
        /// The task.
        task: TaskKey,
        /// The run.
        run: u32,
    },
    /// To renew the worker's lease and tell its lists.
    Hold(WorkerPoll),
}

impl Order {
    /// Gives the order to a worker, under the fence of the leader that decided it.
    pub(crate) async fn send_to_worker<P: Platform>(
        self,
        platform: &P,
        to: &Endpoint,
        fence: u64,
    ) -> OrderReply {
        match self {
            Self::Start(order) => OrderReply::Start(platform.start(to, fence, &order).await),
            Self::Stop { task, run } => OrderReply::Stop(platform.stop(to, fence, task, run).await),
            Self::Hold(look) => OrderReply::Hold(platform.hold(to, fence, look).await),
        }
    }
}

/// An order that a relay is to give.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedOrder {
    /// Its number in the session.
    pub number: u64,
    /// The worker.
    pub to: Endpoint,
    /// The order.
    pub order: Order,
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderReply {
    /// Of a start.
    Start(StartReply),
    /// Of a stop.
    Stop(StopReply),
    /// Of a renewal.
    Hold(HoldReply),
}

/// What became of an order that a relay gave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedReply {
    /// The order's number in the session.
    pub number: u64,
    /// What became of it.
    pub reply: OrderReply,
}
