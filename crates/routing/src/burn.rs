//! Measures how fast a row consumes its error budget.

use ospreywing_types::{Duration, Instant};
use serde::{Deserialize, Serialize};

/// The duration of one bucket.
const BUCKET: Duration = Duration::from_s(60);
/// The long window: one hour.
const LONG_BUCKETS_COUNT: usize = 60;
/// The short window: five minutes.
const SHORT_BUCKETS_COUNT: usize = 5;

/// Request counts of a time window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// Requests that ended.
    pub total_count: u64,
    /// Requests answered within their deadline.
    pub good_count: u64,
}

impl Window {
    /// Returns the burn rate: consumption of the error budget as a multiple of
    /// the allowed rate.
    ///
    /// One means that the objective is just met, zero that no request failed.
    pub fn burn_rate(&self, objective_permille: u32) -> f64 {
        if self.total_count == 0 {
            return 0.0;
        }
        let bad_count = self.total_count - self.good_count;
        let bad_part = bad_count as f64 / self.total_count as f64;
        let allowed_part = f64::from(1000 - objective_permille.min(999)) / 1000.0;
        bad_part / allowed_part
    }
}

/// The error-budget report of one row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// The row's name.
    pub row: String,
    /// The objective: the share of requests to finish within the deadline, in
    /// thousandths.
    pub objective_permille: u32,
    /// The deadline, in milliseconds.
    pub deadline_ms: u64,
    /// The last five minutes.
    pub short: Window,
    /// The last hour.
    pub long: Window,
}

/// Request counts of one row for each minute of the last hour.
#[derive(Clone, Debug)]
pub struct Burn {
    buckets: [Window; LONG_BUCKETS_COUNT],
    /// The number of the newest bucket, counted from the start of the clock.
    newest: u64,
}

impl Default for Burn {
    fn default() -> Self {
        Self {
            buckets: [Window::default(); LONG_BUCKETS_COUNT],
            newest: 0,
        }
    }
}

impl Burn {
    /// Records a request that ended at `now`.
    pub fn record(&mut self, now: Instant, is_good: bool) {
        self.advance(now);
        let bucket = &mut self.buckets[self.newest as usize % LONG_BUCKETS_COUNT];
        bucket.total_count += 1;
        bucket.good_count += u64::from(is_good);
    }

    /// Returns the counts of the last five minutes.
    pub fn short(&mut self, now: Instant) -> Window {
        self.sum(now, SHORT_BUCKETS_COUNT)
    }

    /// Returns the counts of the last hour.
    pub fn long(&mut self, now: Instant) -> Window {
        self.sum(now, LONG_BUCKETS_COUNT)
    }

    fn advance(&mut self, now: Instant) {
        let number = now.as_ms() / BUCKET.as_ms();
        let passed = number.saturating_sub(self.newest);
        for step in 1..=passed.min(LONG_BUCKETS_COUNT as u64) {
            let index = (self.newest + step) as usize % LONG_BUCKETS_COUNT;
            self.buckets[index] = Window::default();
        }
        self.newest = self.newest.max(number);
    }

    fn sum(&mut self, now: Instant, buckets_count: usize) -> Window {
        self.advance(now);
        let mut sum = Window::default();
        for back in 0..buckets_count as u64 {
            let Some(number) = self.newest.checked_sub(back) else {
                break;
            };
            let bucket = self.buckets[number as usize % LONG_BUCKETS_COUNT];
            sum.total_count += bucket.total_count;
            sum.good_count += bucket.good_count;
        }
        sum
    }
}
