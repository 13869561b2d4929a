//! Checks cordons at each start, independently of the scheduler.

use super::worker::FakeWorker;
use ospreywing_scheduler::StartOrder;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How long after a cordon a start may arrive that was in flight.
const IN_FLIGHT_MS: u64 = 100;

/// The current cordons, with the time at which each was set.
pub struct CordonRule {
    since_ms: BTreeMap<Arc<str>, u64>,
    /// How long an order may be in flight.
    in_flight_ms: u64,
}

impl CordonRule {
    /// Creates the rule for a simulation in which relays hold orders up to `relay_hold_ms`.
    pub const fn new(relay_hold_ms: u64) -> Self {
        Self {
            since_ms: BTreeMap::new(),
            in_flight_ms: IN_FLIGHT_MS + relay_hold_ms,
        }
    }

    /// Sets or lifts a cordon.
    pub fn toggle(&mut self, now_ms: u64, data_centre: Arc<str>) {
        if self.since_ms.remove(&data_centre).is_none() {
            self.since_ms.insert(data_centre, now_ms);
        }
    }

    /// Lifts all cordons.
    pub fn lift_all(&mut self) {
        self.since_ms.clear();
    }

    /// Returns the data centres that are cordoned.
    pub fn data_centres(&self) -> BTreeSet<Arc<str>> {
        self.since_ms.keys().cloned().collect()
    }

    /// Checks a start that a worker is about to carry out on time.
    pub fn check_start(&self, now_ms: u64, worker: &FakeWorker, order: &StartOrder) {
        let Some(since_ms) = self.since_ms.get(&worker.data_centre) else {
            return;
        };
        assert!(
            now_ms <= since_ms + self.in_flight_ms,
            "{} starts at {now_ms} ms on {}, whose data centre was cordoned at {since_ms} ms",
            order.task,
            worker.id
        );
    }
}
