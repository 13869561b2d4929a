//! Limits the age of the leader's cached views of the store.
//!
//! A follower of the store confirms its view whenever an answer shows that it is the newest.
//! While a view on which starts depend may be older than its limit, no start is sent.

use ospreywing_types::{Duration, Instant};
use slog::{info, warn, Logger};
use std::cell::Cell;

/// How long an order may take to arrive after it was decided: it waits for a batch, and its
/// relay may have to connect to the worker first.
const ORDER_DELIVERY_TIME: Duration = Duration::from_ms(1500);

/// Returns how old a view may be when an order is decided, if no order may still be executed
/// `bound` after a change that forbids it.
///
/// Of a short bound, half is left for the order.
pub fn max_view_age(bound: Duration) -> Duration {
    let half_ms = bound.as_ms() / 2;
    let left_ms = bound.as_ms().saturating_sub(ORDER_DELIVERY_TIME.as_ms());
    Duration::from_ms(left_ms.max(half_ms))
}

/// The age of one store view.
#[derive(Debug)]
pub struct Freshness {
    /// The view's name, for the log.
    name: &'static str,
    limit: Duration,
    confirmed_at: Cell<Instant>,
}

impl Freshness {
    /// Creates the age of a view that is not confirmed yet.
    pub fn new(name: &'static str, limit: Duration) -> Self {
        Self {
            name,
            limit,
            confirmed_at: Cell::new(Instant::default()),
        }
    }

    /// Returns how old the view may be.
    pub(crate) const fn limit(&self) -> Duration {
        self.limit
    }

    /// Records that the store had nothing newer at `as_of`.
    pub fn confirm(&self, as_of: Instant) {
        self.confirmed_at.set(self.confirmed_at.get().max(as_of));
    }

    /// Returns the time since the view was confirmed.
    pub fn age(&self, now: Instant) -> Duration {
        now.since(self.confirmed_at.get())
    }

    /// Returns whether the view is older than its limit.
    pub fn is_outdated(&self, now: Instant) -> bool {
        self.age(now) > self.limit
    }
}

/// The ages of all store views on which a leader's starts depend.
#[derive(Debug)]
pub(crate) struct StoreViews {
    pub(crate) cordons: Freshness,
    pub(crate) workers: Freshness,
    is_outdated: Cell<bool>,
}

impl StoreViews {
    /// Creates the ages for a new leader.
    pub(crate) const fn new(cordons: Freshness, workers: Freshness) -> Self {
        Self {
            cordons,
            workers,
            is_outdated: Cell::new(false),
        }
    }

    /// Returns whether starts must be paused, if that has changed since the last call.
    pub(crate) fn update_starts_paused(&self, now: Instant, log: &Logger) -> Option<bool> {
        let mut store_views = [&self.cordons, &self.workers].into_iter();
        let outdated_view = store_views.find(|view| view.is_outdated(now));
        let was_outdated = self.is_outdated.replace(outdated_view.is_some());
        if was_outdated == outdated_view.is_some() {
            return None;
        }
        match outdated_view {
            Some(view) => warn!(log, "starts paused";
                "reason" => "not confirmed", "belief" => view.name,
                "age_ms" => view.age(now).as_ms(), "limit_ms" => view.limit.as_ms()),
            None => info!(log, "starts resumed"),
        }
        Some(outdated_view.is_some())
    }
}
