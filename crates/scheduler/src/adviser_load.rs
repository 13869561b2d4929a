//! How busy calls of one kind keep the adviser's nodes.

use ospreywing_types::{Duration, Instant};

/// The time over which a load is averaged: some of a wave of callers.
const AVERAGING_PERIOD: Duration = Duration::from_ms(2000);

/// How many nodes calls kept busy lately, on average.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AdviserLoad {
    busy_nodes: f64,
    updated_at: Instant,
}

impl AdviserLoad {
    /// Returns the load now.
    pub(crate) fn busy_nodes(&self, now: Instant) -> f64 {
        let passed = now.since(self.updated_at).as_ms() as f64;
        self.busy_nodes * (-passed / AVERAGING_PERIOD.as_ms() as f64).exp()
    }

    /// Adds a call.
    pub(crate) fn add(&mut self, now: Instant, cost: Duration) {
        let added = cost.as_ms() as f64 / AVERAGING_PERIOD.as_ms() as f64;
        self.busy_nodes = self.busy_nodes(now) + added;
        self.updated_at = now;
    }
}
