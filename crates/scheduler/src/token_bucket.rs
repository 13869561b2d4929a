//! A token bucket that limits a rate, such as that at which a customer submits jobs.

use ospreywing_types::{Duration, Instant};

/// The burst that a full bucket allows, in seconds of its rate: callers arrive in bursts of some
/// seconds.
const BURST_S: f64 = 1.0;
const MS_PER_S: f64 = 1000.0;

/// A token bucket with one token for each job or call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl Default for TokenBucket {
    /// Creates a bucket without a limit.
    fn default() -> Self {
        Self {
            rate_per_s: f64::INFINITY,
            tokens: f64::INFINITY,
            refilled_at: Instant::default(),
        }
    }
}

impl TokenBucket {
    /// Sets the rate; 0, a negative number or one that isn't finite means no limit.
    pub(crate) fn set_rate(&mut self, rate_per_s: f64) {
        let is_limit = rate_per_s.is_finite() && rate_per_s > 0.0;
        let rate_per_s = if is_limit { rate_per_s } else { f64::INFINITY };
        // A bucket that had no limit starts full; otherwise its tokens are kept, up to the new
        // size.
        let full = bucket_size(rate_per_s);
        self.tokens = if self.tokens.is_finite() {
            self.tokens.min(full)
        } else {
            full
        };
        self.rate_per_s = rate_per_s;
    }

    /// Takes one token; returns whether there was one.
    pub(crate) fn try_take(&mut self, now: Instant) -> bool {
        if !self.rate_per_s.is_finite() {
            return true;
        }
        let elapsed: Duration = now.since(self.refilled_at);
        let earned = self.rate_per_s * elapsed.as_ms() as f64 / MS_PER_S;
        self.tokens = (self.tokens + earned).min(bucket_size(self.rate_per_s));
        self.refilled_at = self.refilled_at.max(now);
        let has_one = self.tokens >= 1.0;
        if has_one {
            self.tokens -= 1.0;
        }
        has_one
    }
}

/// Returns the size of the bucket: at least one token, so that slow rates admit some.
fn bucket_size(rate_per_s: f64) -> f64 {
    (rate_per_s * BURST_S).max(1.0)
}
