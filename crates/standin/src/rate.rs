//! A rate limit for calls.

/// A token bucket with a capacity of one second of calls.
#[derive(Clone, Debug)]
pub struct RateLimit {
    rate_per_s: u64,
    tokens_milli: u64,
    filled_at_ms: u64,
}

impl RateLimit {
    /// Creates a full bucket.
    pub const fn new(rate_per_s: u64) -> Self {
        Self {
            rate_per_s,
            tokens_milli: rate_per_s * 1000,
            filled_at_ms: 0,
        }
    }

    /// Takes a token and returns true, or returns false if none is left.
    pub fn try_take(&mut self, now_ms: u64) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.filled_at_ms);
        let gained_milli = elapsed_ms.saturating_mul(self.rate_per_s);
        let full_milli = self.rate_per_s * 1000;
        self.tokens_milli = (self.tokens_milli + gained_milli).min(full_milli);
        self.filled_at_ms = now_ms;
        let has_token = self.tokens_milli >= 1000;
        if has_token {
            self.tokens_milli -= 1000;
        }
        has_token
    }
}
