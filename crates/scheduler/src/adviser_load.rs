//! The load that requests of one kind put on the adviser nodes.

use ospreywing_types::{Duration, Instant};

/// The time constant of the average; it spans part of a burst of callers.
const AVERAGING_PERIOD: Duration = Duration::from_ms(2000);

/// The average number of nodes kept busy by recent requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AdviserLoad {
    busy_nodes: f64,
    updated_at: Instant,
}

impl AdviserLoad {
    /// Returns the current load, as a number of busy nodes.
    pub(crate) fn busy_nodes(&self, now: Instant) -> f64 {
        let passed = now.since(self.updated_at).as_ms() as f64;
        self.busy_nodes * (-passed / AVERAGING_PERIOD.as_ms() as f64).exp()
    }

    /// Adds a request that keeps a node busy for `cost`.
    pub(crate) fn add(&mut self, now: Instant, cost: Duration) {
        let added = cost.as_ms() as f64 / AVERAGING_PERIOD.as_ms() as f64;
        self.busy_nodes = self.busy_nodes(now) + added;
        self.updated_at = now;
    }
}
