//! How old what the leader believes of the store may be while it gives orders.
//!
//! A follower of the store confirms its belief whenever an answer shows that nothing newer
//! is there. While a belief on which starts rest may be older than its limit, none is sent.

use ospreywing_types::{Duration, Instant};
use slog::{info, warn, Logger};
use std::cell::Cell;

/// How long an order may be on its way after it was decided: it waits for a batch, and its
/// relay may have to connect to the worker first.
const ORDER_TIME: Duration = Duration::from_ms(1500);

/// Returns how old a belief may be when an order is decided, where the order must be carried
/// out within `bound` of a change.
///
/// A short bound leaves a half of it for the order.
pub fn max_view_age(bound: Duration) -> Duration {
    let half_ms = bound.as_ms() / 2;
    let left_ms = bound.as_ms().saturating_sub(ORDER_TIME.as_ms());
    Duration::from_ms(left_ms.max(half_ms))
}

/// The age of one belief.
#[derive(Debug)]
pub struct Freshness {
    /// What is believed, for the log.
    name: &'static str,
    limit: Duration,
    confirmed_at: Cell<Instant>,
}

impl Freshness {
    /// Creates the age of a belief that nothing has confirmed yet.
    pub fn new(name: &'static str, limit: Duration) -> Self {
        Self {
            name,
            limit,
            confirmed_at: Cell::new(Instant::default()),
        }
    }

    /// Returns how old the belief may be.
    pub(crate) const fn limit(&self) -> Duration {
        self.limit
    }

    /// Notes that the store knew of nothing newer at an instant.
    pub fn confirm(&self, as_of: Instant) {
        self.confirmed_at.set(self.confirmed_at.get().max(as_of));
    }

    /// Returns the time since the belief was confirmed.
    pub fn age(&self, now: Instant) -> Duration {
        now.since(self.confirmed_at.get())
    }

    /// Returns whether there may be something newer that counts.
    pub fn is_outdated(&self, now: Instant) -> bool {
        self.age(now) > self.limit
    }
}

/// The ages of all beliefs on which a leader's starts rest.
#[derive(Debug)]
pub(crate) struct StoreViews {
    pub(crate) cordons: Freshness,
    pub(crate) workers: Freshness,
    is_outdated: Cell<bool>,
}

impl StoreViews {
    /// Creates the ages for a leader that knows nothing yet.
    pub(crate) const fn new(cordons: Freshness, workers: Freshness) -> Self {
        Self {
            cordons,
            workers,
            is_outdated: Cell::new(false),
        }
    }

    /// Returns whether starts must be held back, where that has changed since the last call.
    pub(crate) fn update_starts_held(&self, now: Instant, log: &Logger) -> Option<bool> {
        let mut store_views = [&self.cordons, &self.workers].into_iter();
        let outdated = store_views.find(|belief| belief.is_outdated(now));
        let was_outdated = self.is_outdated.replace(outdated.is_some());
        if was_outdated == outdated.is_some() {
            return None;
        }
        match outdated {
            Some(belief) => warn!(log, "starts held back";
                "reason" => "not confirmed", "belief" => belief.name,
                "age_ms" => belief.age(now).as_ms(), "limit_ms" => belief.limit.as_ms()),
            None => info!(log, "starts go on"),
        }
        Some(outdated.is_some())
    }
}
