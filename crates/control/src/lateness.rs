//! How late a node's own event loop is.
//!
//! A node that has more to do than its share of a core allows hears of every
//! answer late. Limits on the answers of others have to allow for that: otherwise
//! each answer that is only read late becomes a repeat, and so more work.

use ospreywing_types::{Duration, Instant};

/// What remains of an earlier lateness at each tick, of eight parts: with ticks
/// of 20 ms it falls by half in 0.1 s.
const REMAINING_EIGHTHS: u64 = 7;

/// The lateness of a loop that ticks at a fixed period.
#[derive(Clone, Copy, Debug)]
pub struct Lateness {
    period: Duration,
    ticked_at: Instant,
    current: Duration,
}

impl Lateness {
    /// Creates the lateness of a loop that begins now and ticks at `period`.
    pub const fn new(now: Instant, period: Duration) -> Self {
        Self {
            period,
            ticked_at: now,
            current: Duration::ZERO,
        }
    }

    /// Takes in that the loop ticks.
    pub fn record_tick(&mut self, now: Instant) {
        let gap = now.since(self.ticked_at);
        let late_ms = gap.as_ms().saturating_sub(self.period.as_ms());
        let remaining_ms = self.current.as_ms() * REMAINING_EIGHTHS / 8;
        self.current = Duration::from_ms(late_ms.max(remaining_ms));
        self.ticked_at = now;
    }

    /// Returns how late the loop was lately.
    pub const fn current(&self) -> Duration {
        self.current
    }
}
