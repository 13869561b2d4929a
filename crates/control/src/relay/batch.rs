//! The age of a batch at its relay.

use crate::node::Node;
use crate::platform::Platform;
use crate::relay::link::ANSWER_TIMEOUT;
use crate::relay::message::{Order, RelaySession, RelayedOrder};
use ospreywing_types::{Duration, Instant};
use slog::warn;
use std::cell::Cell;

/// How long a relay may hold a start: as long as the leader waits for its answer.
pub const START_HOLD_LIMIT: Duration = ANSWER_TIMEOUT;
/// By how much the leader's estimate of this node's clock may be ahead of it, because of drift.
/// A time further ahead was read from the clock of another machine at this address.
pub(crate) const CLOCK_TOLERANCE: Duration = Duration::from_ms(100);

/// Returns whether a start is to be given up: it was sent too long ago, or at a time that is
/// not one of this clock.
pub fn is_start_expired(now: Instant, sent_at: Instant) -> bool {
    now.since(sent_at) >= START_HOLD_LIMIT || sent_at.since(now) > CLOCK_TOLERANCE
}

/// A batch whose orders are being sent to workers.
pub(crate) struct Batch {
    session: RelaySession,
    /// When the leader sent the batch, on this node's clock; when it was read, if the leader
    /// does not tell.
    sent_at: Instant,
    pending_starts_count: Cell<usize>,
    is_given_up: Cell<bool>,
}

impl Batch {
    pub(crate) fn new(session: RelaySession, sent_at: Instant, orders: &[RelayedOrder]) -> Self {
        let is_start = |relayed: &&RelayedOrder| matches!(relayed.order, Order::Start(_));
        Self {
            session,
            sent_at,
            pending_starts_count: Cell::new(orders.iter().filter(is_start).count()),
            is_given_up: Cell::new(false),
        }
    }

    /// Returns whether the batch's next start may be sent; logs once if none may be any more.
    pub(crate) fn may_send_start<P: Platform>(&self, node: &Node<P>, now: Instant) -> bool {
        let pending_count = self.pending_starts_count.get();
        self.pending_starts_count
            .set(pending_count.saturating_sub(1));
        if !is_start_expired(now, self.sent_at) {
            return true;
        }
        if !self.is_given_up.replace(true) {
            warn!(node.log, "relayed starts given up"; "fence" => self.session.fence,
                "session" => self.session.number, "starts" => pending_count,
                "age_ms" => now.since(self.sent_at).as_ms(),
                "ahead_ms" => self.sent_at.since(now).as_ms(),
                "limit_ms" => START_HOLD_LIMIT.as_ms());
        }
        false
    }
}
