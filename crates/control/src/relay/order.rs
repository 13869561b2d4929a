//! An order that was sent and is not answered yet.

use crate::relay::message::{Order, OrderReply};
use ospreywing_scheduler::{
    Endpoint, Event, HoldReply, RefusedStart, StartReply, StopReply, TaskKey, WorkerKey,
};
use ospreywing_types::Instant;

/// The part of an order that is needed for the event that reports its reply.
#[derive(Clone, Copy, Debug)]
pub(crate) enum OpenOrder {
    Start {
        worker: WorkerKey,
        task: TaskKey,
        run: u32,
    },
    Stop {
        worker: WorkerKey,
        task: TaskKey,
        run: u32,
    },
    Hold {
        worker: WorkerKey,
        sent_at: Instant,
    },
}

impl OpenOrder {
    pub(crate) const fn new(now: Instant, to: &Endpoint, order: &Order) -> Self {
        let worker = to.worker;
        match order {
            Order::Start(order) => Self::Start {
                worker,
                task: order.task,
                run: order.run,
            },
            Order::Stop { task, run } => Self::Stop {
                worker,
                task: *task,
                run: *run,
            },
            Order::Hold(_) => Self::Hold {
                worker,
                sent_at: now,
            },
        }
    }

    pub(crate) const fn worker(&self) -> WorkerKey {
        match self {
            Self::Start { worker, .. } | Self::Stop { worker, .. } | Self::Hold { worker, .. } => {
                *worker
            }
        }
    }

    /// Returns the event for a reply; a reply to another kind of order counts as none.
    pub(crate) fn answered(self, reply: OrderReply) -> Event {
        match (self, reply) {
            (Self::Start { worker, task, run }, OrderReply::Start(reply)) => Event::StartAnswered {
                worker,
                task,
                run,
                reply,
            },
            (Self::Stop { worker, task, run }, OrderReply::Stop(reply)) => Event::StopAnswered {
                worker,
                task,
                run,
                reply,
            },
            (Self::Hold { worker, sent_at }, OrderReply::Hold(reply)) => Event::HoldAnswered {
                worker,
                sent_at,
                reply,
            },
            (order, _) => order.unanswered(),
        }
    }

    /// Returns the event for an order that was not answered.
    pub(crate) fn unanswered(self) -> Event {
        self.answered(match self {
            Self::Start { .. } => OrderReply::Start(StartReply::Unanswered),
            Self::Stop { .. } => OrderReply::Stop(StopReply::Unanswered),
            Self::Hold { .. } => OrderReply::Hold(HoldReply::Unanswered),
        })
    }

    /// Returns the event for an order that was certainly not sent.
    pub(crate) fn not_sent(self) -> Event {
        match self {
            Self::Start { .. } => {
                let refused = StartReply::Refused(RefusedStart::Late);
                self.answered(OrderReply::Start(refused))
            }
            _ => self.unanswered(),
        }
    }
}

/// Returns whether a reply means that the worker did not answer.
pub(crate) const fn is_unanswered(reply: &OrderReply) -> bool {
    matches!(
        reply,
        OrderReply::Start(StartReply::Unanswered)
            | OrderReply::Stop(StopReply::Unanswered)
            | OrderReply::Hold(HoldReply::Unanswered)
    )
}
