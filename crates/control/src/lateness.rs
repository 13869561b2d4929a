//! Measures how late a node's own event loop is.
//!
//! A node that has more work than its CPU share allows reads every answer late.
//! Timeouts for the answers of others must allow for that: otherwise each answer that
//! is only read late causes a repeated call, and so more work.

use ospreywing_types::{Duration, Instant};

/// The decay of an earlier lateness at each tick, in eighths: with ticks of 20 ms it
/// halves in 0.1 s.
const DECAY_EIGHTHS: u64 = 7;

/// The lateness of a loop that ticks at a fixed period: a decaying maximum.
#[derive(Clone, Copy, Debug)]
pub struct Lateness {
    period: Duration,
    ticked_at: Instant,
    current: Duration,
}

impl Lateness {
    /// Creates the lateness of a loop that starts at `now` and ticks every `period`.
    pub const fn new(now: Instant, period: Duration) -> Self {
        Self {
            period,
            ticked_at: now,
            current: Duration::ZERO,
        }
    }

    /// Records a tick of the loop.
    pub fn record_tick(&mut self, now: Instant) {
        let gap = now.since(self.ticked_at);
        let late_ms = gap.as_ms().saturating_sub(self.period.as_ms());
        let remaining_ms = self.current.as_ms() * DECAY_EIGHTHS / 8;
        self.current = Duration::from_ms(late_ms.max(remaining_ms));
        self.ticked_at = now;
    }

    /// Returns the loop's recent lateness.
    pub const fn current(&self) -> Duration {
        self.current
    }
}
