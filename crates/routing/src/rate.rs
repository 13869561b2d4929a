//! Limits the request rate of a row.

use ospreywing_types::Instant;

const MILLI: u64 = 1000;

/// A token bucket that holds the tokens of one second; rate zero means no limit.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rate {
    rate_per_s: u32,
    tokens_milli: u64,
    filled_at: Instant,
}

impl Rate {
    /// Sets the rate; a bucket that had no limit before starts full.
    pub(crate) fn set(&mut self, rate_per_s: u32) {
        if self.rate_per_s == 0 {
            self.tokens_milli = u64::from(rate_per_s) * MILLI;
        }
        self.rate_per_s = rate_per_s;
    }

    /// Takes a token and returns whether one was available; without a limit
    /// always returns true.
    pub(crate) fn try_acquire(&mut self, now: Instant) -> bool {
        if self.rate_per_s == 0 {
            return true;
        }
        let full_milli = u64::from(self.rate_per_s) * MILLI;
        let gained_milli = now.since(self.filled_at).as_ms() * u64::from(self.rate_per_s);
        self.tokens_milli = (self.tokens_milli + gained_milli).min(full_milli);
        self.filled_at = now;
        let has_token = self.tokens_milli >= MILLI;
        if has_token {
            self.tokens_milli -= MILLI;
        }
        has_token
    }
}
