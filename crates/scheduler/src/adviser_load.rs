//! How busy calls of one kind keep the adviser's nodes.

use ospreywing_types::{Duration, Instant};

/// The time over which a load is averaged: some of a wave of callers.
const PERIOD: Duration = Duration::from_ms(2000);

/// How many nodes calls kept busy lately, on average.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AdviserLoad {
    nodes: f64,
    at: Instant,
}

impl AdviserLoad {
    /// Returns the load now.
    pub(crate) fn nodes(&self, now: Instant) -> f64 {
        let passed = now.since(self.at).as_ms() as f64;
        self.nodes * (-passed / PERIOD.as_ms() as f64).exp()
    }

    /// Adds a call.
    pub(crate) fn add(&mut self, now: Instant, cost: Duration) {
        let added = cost.as_ms() as f64 / PERIOD.as_ms() as f64;
        self.nodes = self.nodes(now) + added;
        self.at = now;
    }
}
