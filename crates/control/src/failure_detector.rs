//! A failure detector for the leader: when a node that calls it takes it for gone.
//!
//! The store tells of a leader's loss once its lease has run out. A leader whose box lost its
//! power, or whose links are cut, is silent long before; the detector finds that out from
//! calls that are not answered. It only suspects: two nodes must agree, and whoever led
//! before is fenced by the next leader's election like any other.

use crate::store::LeaseId;
use ospreywing_types::{Duration, Instant};

/// The time between two probes; other calls that the leader answers stand for one.
pub const PROBE_PERIOD: Duration = Duration::from_ms(150);
/// How long a probe waits for its answer.
pub const PROBE_TIMEOUT: Duration = Duration::from_ms(150);
/// How long a leader is silent before it is suspected: several times what it is late while
/// it decides under load, and a third of its lease.
pub const SUSPECT_AFTER: Duration = Duration::from_ms(500);
/// The probes in a row that must have failed by then. A node that stood still itself finds
/// the answers that wait for it with the first.
pub const SUSPECT_MISSES_COUNT: u32 = 3;
/// The same for an observer that confirms what another one suspects: its probes began at
/// another moment.
pub const CONFIRM_MISSES_COUNT: u32 = 2;
/// How long a new leader is not judged: it reads the store and decides on all that waits.
pub const NEW_LEADER_GRACE_TIME: Duration = Duration::from_ms(3000);

/// What one node has heard of one leader.
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

    /// Returns the leader's lease.
    pub const fn leader(&self) -> LeaseId {
        self.leader
    }

    /// Notes that a call that was sent at an instant was answered.
    pub fn record_answer(&mut self, sent_at: Instant) {
        self.answered_at = self.answered_at.max(sent_at);
        self.misses_count = 0;
    }

    /// Notes that a probe was not answered in time.
    pub const fn record_miss(&mut self) {
        self.misses_count += 1;
    }

    /// Returns for how long the leader has been silent.
    pub fn unresponsive_time(&self, now: Instant) -> Duration {
        now.since(self.answered_at)
    }

    /// Returns whether the leader must be asked whether it is there.
    pub fn is_probe_due(&self, now: Instant) -> bool {
        self.unresponsive_time(now) >= PROBE_PERIOD
    }

    /// Returns whether the leader is taken for gone.
    pub fn is_suspected(&self, now: Instant) -> bool {
        let is_new = now.since(self.known_since) < NEW_LEADER_GRACE_TIME;
        let is_unresponsive = self.unresponsive_time(now) >= SUSPECT_AFTER;
        !is_new && is_unresponsive && self.misses_count >= SUSPECT_MISSES_COUNT
    }

    /// Returns whether the leader has left several probes unanswered.
    pub const fn has_missed_probes(&self) -> bool {
        self.misses_count >= CONFIRM_MISSES_COUNT
    }
}
