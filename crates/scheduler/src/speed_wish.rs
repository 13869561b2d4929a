//! Which workers a step wants where their speeds differ: one that must soon be served the
//! fast ones, patient work the slow ones, so that the fast ones are left to who needs them.

use crate::learning::{scaled, ServiceSpeeds, SpeedClass, WorkerSpeed};
use crate::order::{Prospect, PATIENT_SLACK};
use crate::placing::PendingStep;
use crate::scheduler::Scheduler;
use crate::worker::Run;
use ospreywing_types::{Duration, Instant};

/// A run that ends within this by its own pace is not stopped for another: a stop takes
/// nearly as long, and the work is not lost.
const NEARLY_DONE: Duration = Duration::from_ms(500);
/// Workers that are slow of late come behind those of all classes.
const EJECTED_RANK: u8 = 3;

/// Which workers a step wants first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SpeedWish {
    Any,
    Fast,
    Slow,
}

impl SpeedWish {
    /// Returns a worker's rank; the smallest comes first.
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
    /// Returns which workers a step wants first.
    pub(crate) fn speed_wish(&self, now: Instant, pending: &PendingStep) -> SpeedWish {
        let speeds = self.learning.services.get(&pending.service);
        let job = self.jobs.get(&pending.key.job);
        let Some((speeds, job)) = speeds.zip(job) else {
            return SpeedWish::Any;
        };
        if pending.spec().is_perpetual || self.prospect(now, job) != Prospect::OnTime {
            return SpeedWish::Any;
        }
        let left = Duration::from_ms(job.remaining_ms);
        let ends_by = job.accepted_at + job.objective;
        if now + left + PATIENT_SLACK > ends_by {
            return SpeedWish::Fast;
        }
        if now + slow_left(left, speeds) + PATIENT_SLACK <= ends_by {
            SpeedWish::Slow
        } else {
            SpeedWish::Any
        }
    }

    /// Returns whether a run ends soon by its own pace.
    pub(crate) fn is_nearly_done(&self, run: &Run) -> bool {
        let left = run
            .remaining_by_steady_progress()
            .filter(|_| self.is_learning());
        left.is_some_and(|left| left <= NEARLY_DONE)
    }
}

/// Returns how long what is left takes on the slow workers.
fn slow_left(left: Duration, speeds: &ServiceSpeeds) -> Duration {
    scaled(left, 1.0 / speeds.low_factor)
}
