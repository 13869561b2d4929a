//! A failure detector for the leader.
//!
//! The store shows the loss of a leader only once its lease has expired. A leader whose box
//! lost power, or that is partitioned, is unresponsive long before; the detector finds
//! that out from unanswered calls. Its result is only a suspicion: two nodes must agree before
//! the leader is evicted, and the next election fences it like any former leader.

use crate::store::LeaseId;
use ospreywing_types::{Duration, Instant};

/// The time between two probes; any other call that the leader answers replaces a probe.
pub const PROBE_PERIOD: Duration = Duration::from_ms(150);
/// The timeout of a probe.
pub const PROBE_TIMEOUT: Duration = Duration::from_ms(150);
/// How long a leader is unresponsive before it is suspected: several times its lateness
/// under load, and a third of its lease.
pub const SUSPECT_AFTER: Duration = Duration::from_ms(500);
/// The probes in a row that must also have failed. A node that was itself suspended does not
/// reach this count: it reads the pending answers with its first probe after the suspend.
pub const SUSPECT_MISSES_COUNT: u32 = 3;
/// The failed probes for an observer that confirms another one's suspicion: its probes
/// started at another time, so fewer have failed.
pub const CONFIRM_MISSES_COUNT: u32 = 2;
/// How long a new leader is not suspected, since it first reads the store and decides on all
/// waiting jobs.
pub const NEW_LEADER_GRACE_TIME: Duration = Duration::from_ms(3000);

/// One node's record of one leader's answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureDetector {
    leader: LeaseId,
    known_since: Instant,
    answered_at: Instant,
    misses_count: u32,
}

impl FailureDetector {
    /// Creates a detector for the leader that holds this lease.
    pub const fn new(leader: LeaseId, now: Instant) -> Self {
        Self {
            leader,
            known_since: now,
            answered_at: now,
            misses_count: 0,
        }
    }

    /// Returns the leader's lease, which identifies it.
    pub const fn leader(&self) -> LeaseId {
        self.leader
    }

    /// Records the answer to a call that was sent at `sent_at`.
    pub fn record_answer(&mut self, sent_at: Instant) {
        self.answered_at = self.answered_at.max(sent_at);
        self.misses_count = 0;
    }

    /// Records that a probe timed out.
    pub const fn record_miss(&mut self) {
        self.misses_count += 1;
    }

    /// Returns how long ago the last answered call was sent.
    pub fn unresponsive_time(&self, now: Instant) -> Duration {
        now.since(self.answered_at)
    }

    /// Returns whether the leader must be probed now.
    pub fn is_probe_due(&self, now: Instant) -> bool {
        self.unresponsive_time(now) >= PROBE_PERIOD
    }

    /// Returns whether the leader is suspected to have failed.
    pub fn is_suspected(&self, now: Instant) -> bool {
        let is_new = now.since(self.known_since) < NEW_LEADER_GRACE_TIME;
        let is_unresponsive = self.unresponsive_time(now) >= SUSPECT_AFTER;
        !is_new && is_unresponsive && self.misses_count >= SUSPECT_MISSES_COUNT
    }

    /// Returns whether enough probes have failed to confirm another node's suspicion.
    pub const fn has_missed_probes(&self) -> bool {
        self.misses_count >= CONFIRM_MISSES_COUNT
    }
}
