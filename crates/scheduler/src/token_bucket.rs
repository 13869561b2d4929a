//! A token bucket that limits the rate at which a customer submits jobs.

use ospreywing_types::{Duration, Instant};

/// Burst that an idle customer may submit, in seconds of its rate: callers arrive in bursts
/// of some seconds.
const BURST_S: f64 = 1.0;
const MS_PER_S: f64 = 1000.0;

/// A token bucket with one token per job.
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
    /// Sets the rate; 0, a negative number or one that isn't finite means no limit.
    pub(crate) fn set_rate(&mut self, jobs_per_s: f64) {
        let is_limit = jobs_per_s.is_finite() && jobs_per_s > 0.0;
        let jobs_per_s = if is_limit { jobs_per_s } else { f64::INFINITY };
        // A bucket that had no limit starts full; otherwise its tokens are kept, up to the new
        // size.
        let full = bucket_size(jobs_per_s);
        self.tokens = if self.tokens.is_finite() {
            self.tokens.min(full)
        } else {
            full
        };
        self.jobs_per_s = jobs_per_s;
    }

    /// Takes one token; returns whether there was one.
    pub(crate) fn try_take(&mut self, now: Instant) -> bool {
        if !self.jobs_per_s.is_finite() {
            return true;
        }
        let elapsed: Duration = now.since(self.refilled_at);
        let earned = self.jobs_per_s * elapsed.as_ms() as f64 / MS_PER_S;
        self.tokens = (self.tokens + earned).min(bucket_size(self.jobs_per_s));
        self.refilled_at = self.refilled_at.max(now);
        let has_one = self.tokens >= 1.0;
        if has_one {
            self.tokens -= 1.0;
        }
        has_one
    }
}

/// Returns the size of the bucket: at least one job, so that slow rates admit some.
fn bucket_size(jobs_per_s: f64) -> f64 {
    (jobs_per_s * BURST_S).max(1.0)
}
