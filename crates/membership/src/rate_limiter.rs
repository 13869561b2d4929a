//! Limits the rate of this daemon's calls to the store.

use ospreywing_types::Instant;

/// A token bucket whose rate is an even share of a rate common to all daemons.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    rate_per_s: u32,
    burst_count: u32,
    sharers_count: u32,
    /// Tokens, in thousandths.
    tokens_milli: u64,
    filled_at: Instant,
}

const MILLI: u64 = 1000;

impl RateLimiter {
    /// Creates a full bucket that uses the whole of `rate_per_s`.
    pub const fn new(rate_per_s: u32, burst_count: u32) -> Self {
        Self {
            rate_per_s,
            burst_count,
            sharers_count: 1,
            tokens_milli: burst_count as u64 * MILLI,
            filled_at: Instant::from_ms(0),
        }
    }

    /// Sets the number of daemons that share the rate.
    pub fn set_sharers(&mut self, sharers_count: usize) {
        self.sharers_count = (sharers_count as u32).max(1);
    }

    /// Takes a token and returns whether one was available.
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        let elapsed_ms = now.since(self.filled_at).as_ms();
        // N tokens per second are N thousandths of a token per millisecond.
        let gained_milli = elapsed_ms * u64::from(self.rate_per_s) / u64::from(self.sharers_count);
        if gained_milli > 0 {
            let full_milli = u64::from(self.burst_count) * MILLI;
            self.tokens_milli = (self.tokens_milli + gained_milli).min(full_milli);
            self.filled_at = now;
        }
        let has_token = self.tokens_milli >= MILLI;
        if has_token {
            self.tokens_milli -= MILLI;
        }
        has_token
    }
}
