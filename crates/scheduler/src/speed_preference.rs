//! Which workers a step prefers if their speeds differ. Urgent steps prefer fast workers;
//! deferrable steps prefer slow ones and leave the fast ones to urgent steps.

use crate::learning::{scaled, ServiceSpeeds, SpeedClass, WorkerSpeed};
use crate::placement::PendingStep;
use crate::scheduler::Scheduler;
use crate::scheduling_order::{Prospect, DEFERRABLE_SLACK};
use crate::worker::Run;
use ospreywing_types::{Duration, Instant};

/// A run that is expected to end within this time is not preempted: stopping it takes nearly as
/// long, and its work would be lost.
const NEARLY_DONE: Duration = Duration::from_ms(500);
/// The rank of workers that have been slow recently; they come after all speed classes.
const EJECTED_RANK: u8 = 3;

/// The speed class that a step prefers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SpeedPreference {
    Any,
    Fast,
    Slow,
}

impl SpeedPreference {
    /// Returns a worker's rank; smaller ranks are preferred.
    pub(crate) const fn rank(self, speed: &WorkerSpeed) -> u8 {
        if speed.is_ejected {
            return EJECTED_RANK;
        }
        match (self, speed.class) {
            (Self::Any, _) => 0,
            (Self::Fast, SpeedClass::Fast) | (Self::Slow, SpeedClass::Slow) => 0,
            (_, SpeedClass::Typical) => 1,
            (Self::Fast, SpeedClass::Slow) | (Self::Slow, SpeedClass::Fast) => 2,
        }
    }
}

impl Scheduler {
    /// Returns the speed class that a step prefers.
    pub(crate) fn speed_preference(&self, now: Instant, pending: &PendingStep) -> SpeedPreference {
        let speeds = self.learning.services.get(&pending.service);
        let job = self.jobs.get(&pending.key.job);
        let Some((speeds, job)) = speeds.zip(job) else {
            return SpeedPreference::Any;
        };
        if pending.spec().is_perpetual || self.prospect(now, job) != Prospect::OnTime {
            return SpeedPreference::Any;
        }
        let remaining = Duration::from_ms(job.remaining_ms);
        let ends_by = job.accepted_at + job.objective;
        if now + remaining + DEFERRABLE_SLACK > ends_by {
            return SpeedPreference::Fast;
        }
        if now + remaining_on_slow(remaining, speeds) + DEFERRABLE_SLACK <= ends_by {
            SpeedPreference::Slow
        } else {
            SpeedPreference::Any
        }
    }

    /// Returns whether a run is expected to end soon, judged by its progress so far.
    pub(crate) fn is_nearly_done(&self, run: &Run) -> bool {
        let remaining = run
            .remaining_by_steady_progress()
            .filter(|_| self.is_learning());
        remaining.is_some_and(|remaining| remaining <= NEARLY_DONE)
    }
}

/// Returns the remaining time of a task on slow workers.
fn remaining_on_slow(remaining: Duration, speeds: &ServiceSpeeds) -> Duration {
    scaled(remaining, 1.0 / speeds.low_factor)
}
