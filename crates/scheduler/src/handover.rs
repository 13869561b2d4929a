//! The durations and speeds that a leader has learned, as sent to the nodes that may
//! lead next.
//!
//! All numbers are bounded integers, so that invalid values can be detected.

use crate::durations::Durations;
use crate::scheduler::Scheduler;
use crate::speeds::Speeds;
use ospreywing_types::{Duration, Instant};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Quantiles of durations in milliseconds, or of ratios of durations to estimates in
/// thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LearnedQuantiles {
    /// The 0.1 quantile.
    pub sure: u64,
    /// The median.
    pub likely: u64,
    /// The 0.9 quantile.
    pub late: u64,
    /// The standard deviation of the logarithm, in thousandths.
    pub spread_milli: u32,
}

impl LearnedQuantiles {
    /// Returns whether the quantiles are positive and in ascending order.
    pub(crate) const fn is_ordered(&self) -> bool {
        self.sure > 0 && self.sure <= self.likely && self.likely <= self.late
    }
}

/// Learned durations of a queue's steps of one size.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LearnedSize {
    /// The queue.
    pub queue: Arc<str>,
    /// Whether the steps are gangs.
    pub is_gang: bool,
    /// The binary logarithm of the size class's lower bound of estimates; `None` for all
    /// sizes together.
    pub size: Option<u32>,
    /// Ratios of durations to estimates, if the steps had estimates.
    pub ratios: Option<LearnedQuantiles>,
    /// Durations.
    pub lengths: LearnedQuantiles,
    /// The number of steps observed.
    pub count: u64,
    /// The age of the newest observation, in milliseconds.
    pub age_ms: u64,
}

/// The learned speed of a machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LearnedSpeed {
    /// The machine.
    pub machine: Arc<str>,
    /// The baseline speed, in thousandths of the typical one.
    pub speed_milli: u32,
    /// The number of runs observed.
    pub runs_count: u32,
    /// The age of the newest observation, in milliseconds.
    pub age_ms: u64,
}

/// The durations and speeds that a leader has learned.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Learned {
    /// The learned durations.
    pub sizes: Vec<LearnedSize>,
    /// The learned speeds.
    pub speeds: Vec<LearnedSpeed>,
}

impl Learned {
    /// Returns whether nothing has been learned.
    pub fn is_empty(&self) -> bool {
        self.sizes.is_empty() && self.speeds.is_empty()
    }

    /// Adds the time since the snapshot was taken to all ages.
    pub fn add_age(&mut self, elapsed: Duration) {
        let sizes = self.sizes.iter_mut().map(|it| &mut it.age_ms);
        let speeds = self.speeds.iter_mut().map(|it| &mut it.age_ms);
        for age_ms in sizes.chain(speeds) {
            *age_ms = age_ms.saturating_add(elapsed.as_ms());
        }
    }
}

impl Scheduler {
    /// Returns what this leader has learned.
    pub fn learned(&self, now: Instant) -> Learned {
        Learned {
            sizes: self.learning.durations.learned(now),
            speeds: self.learning.speeds.learned(now),
        }
    }

    /// Restores what an earlier leader learned; replaces what this one has learned so far.
    pub fn restore_learned(&mut self, now: Instant, learned: &Learned) {
        if !self.is_learning() {
            return;
        }
        self.learning.now = now;
        self.learning.durations = Durations::from_learned(now, &learned.sizes);
        self.learning.speeds = Speeds::from_learned(now, &learned.speeds);
        let jobs: Vec<_> = self.active.values().copied().collect();
        for job in jobs {
            self.update_remaining(job);
        }
    }
}
