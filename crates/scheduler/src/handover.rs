//! What a leader has learned, in a form that it hands on to those who may lead next.
//!
//! Numbers are whole and bounded, so that what can't be is told apart from what was learned.

use crate::durations::Durations;
use crate::scheduler::Scheduler;
use crate::speeds::Speeds;
use ospreywing_types::{Duration, Instant};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Quantiles of lengths in milliseconds, or of ratios to estimates in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LearnedQuantiles {
    /// What one in ten is below.
    pub sure: u64,
    /// The median.
    pub likely: u64,
    /// What nine in ten are below.
    pub late: u64,
    /// The standard deviation of the logarithm, in thousandths.
    pub spread_milli: u32,
}

impl LearnedQuantiles {
    /// Returns whether they are in their order.
    pub(crate) const fn is_possible(&self) -> bool {
        self.sure > 0 && self.sure <= self.likely && self.likely <= self.late
    }
}

/// What was learned of a queue's steps of one size.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LearnedSize {
    /// The queue.
    pub queue: Arc<str>,
    /// Whether they are gangs.
    pub is_gang: bool,
    /// The power of two that their estimates lie above; `None` for all sizes together.
    pub size: Option<u32>,
    /// Lengths to estimates, where steps had estimates.
    pub ratios: Option<LearnedQuantiles>,
    /// Lengths.
    pub lengths: LearnedQuantiles,
    /// The steps from which this was learned.
    pub count: u64,
    /// The age of the newest of them, in milliseconds.
    pub age_ms: u64,
}

/// What was learned of a machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LearnedSpeed {
    /// The machine.
    pub machine: Arc<str>,
    /// Its speed by nature, in thousandths of the usual one.
    pub speed_milli: u32,
    /// The runs from which this was learned.
    pub runs_count: u32,
    /// The age of the newest of them, in milliseconds.
    pub age_ms: u64,
}

/// What a leader has learned.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Learned {
    /// Lengths.
    pub sizes: Vec<LearnedSize>,
    /// Speeds.
    pub speeds: Vec<LearnedSpeed>,
}

impl Learned {
    /// Returns whether there is nothing in it.
    pub fn is_empty(&self) -> bool {
        self.sizes.is_empty() && self.speeds.is_empty()
    }

    /// Adds the time for which it was kept.
    pub fn age(&mut self, kept: Duration) {
        let sizes = self.sizes.iter_mut().map(|it| &mut it.age_ms);
        let speeds = self.speeds.iter_mut().map(|it| &mut it.age_ms);
        for age_ms in sizes.chain(speeds) {
            *age_ms = age_ms.saturating_add(kept.as_ms());
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

    /// Takes in what an earlier leader has learned; what this one learns takes its place.
    pub fn take_learned(&mut self, now: Instant, learned: &Learned) {
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
