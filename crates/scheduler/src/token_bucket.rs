//! The rate at which a customer may hand jobs in.

use ospreywing_types::{Duration, Instant};

/// For how long a customer that was idle may go beyond its rate: a bucket of so many
/// seconds of it. A judgement: callers come in waves of some seconds.
const BURST_S: f64 = 1.0;
const MS_PER_S: f64 = 1000.0;

/// A token bucket of jobs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    jobs_per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl Default for TokenBucket {
    /// Creates a bucket without a limit.
    fn default() -> Self {
        Self {
            jobs_per_s: f64::INFINITY,
            tokens: f64::INFINITY,
            refilled_at: Instant::default(),
        }
    }
}

impl TokenBucket {
    /// Sets the rate; 0, or what is no rate, stands for no limit.
    pub(crate) fn set_rate(&mut self, jobs_per_s: f64) {
        let is_limit = jobs_per_s.is_finite() && jobs_per_s > 0.0;
        let jobs_per_s = if is_limit { jobs_per_s } else { f64::INFINITY };
        // The bucket begins full, and stays as full as it was.
        let full = bucket_size(jobs_per_s);
        self.tokens = if self.tokens.is_finite() {
            self.tokens.min(full)
        } else {
            full
        };
        self.jobs_per_s = jobs_per_s;
    }

    /// Takes one job off; returns whether there was one.
    pub(crate) fn try_take(&mut self, now: Instant) -> bool {
        if !self.jobs_per_s.is_finite() {
            return true;
        }
        let passed: Duration = now.since(self.refilled_at);
        let earned = self.jobs_per_s * passed.as_ms() as f64 / MS_PER_S;
        self.tokens = (self.tokens + earned).min(bucket_size(self.jobs_per_s));
        self.refilled_at = self.refilled_at.max(now);
        let has_one = self.tokens >= 1.0;
        if has_one {
            self.tokens -= 1.0;
        }
        has_one
    }
}

/// Returns what a full bucket holds: one job at least, so that a slow rate lets some pass.
fn bucket_size(jobs_per_s: f64) -> f64 {
    (jobs_per_s * BURST_S).max(1.0)
}
