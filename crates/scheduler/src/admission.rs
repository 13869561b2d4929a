//! Whether a job is refused at once, elapsed it would be worth nothing when it is done.

use crate::config::Configuration;
use crate::deadline_selection::ResourceVector;
use crate::job::JobRecord;
use crate::order::{objective_of, LATE_FACTOR};
use crate::placing::counted_demand;
use ospreywing_types::Duration;
use serde::{Deserialize, Serialize};

/// A forecast that is older tells nothing.
pub const FORECAST_AGE_LIMIT: Duration = Duration::from_ms(1000);
/// The soonest that a caller is asked to come back, and the latest.
const MIN_RETRY_AFTER: Duration = Duration::from_ms(500);
const MAX_RETRY_AFTER: Duration = Duration::from_s(30);
/// Callers come back within a time as long as this part of what they are asked to wait, in
/// percent, and this time at least.
const JITTER_PERCENT: u64 = 50;
const MIN_JITTER: Duration = Duration::from_ms(1000);

/// When a job of a queue would be done at the best that is handed in now.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueForecast {
    /// The queue.
    pub queue: String,
    /// It holds for jobs whose objective is as long or longer, in milliseconds.
    pub objective_ms: u64,
    /// It holds for jobs that need as much or more, times milliseconds.
    pub work: ResourceVector,
    /// When such a job would be done at the best, in milliseconds from when it was made.
    pub done_ms: u64,
}

/// What a leader tells of the queues of overloaded services.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Forecast {
    /// How long ago it was made, in milliseconds.
    pub age_ms: u64,
    /// The queues; nothing is known of others.
    pub queues: Vec<QueueForecast>,
}

/// Why a job is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// When it would be done at the best, from now.
    pub done_after: Duration,
    /// When it would be worth nothing, from now.
    pub worthless_after: Duration,
    /// The age of the forecast.
    pub age: Duration,
}

impl Rejection {
    /// Returns when the caller may come back: once there is room for such a job, and spread by
    /// `draw`, a number that differs from caller to caller.
    pub fn retry_after(&self, draw: u64) -> Duration {
        let wait = self.done_after.max(MIN_RETRY_AFTER).min(MAX_RETRY_AFTER);
        let part_ms = wait.as_ms() * JITTER_PERCENT / 100;
        let jitter_ms = part_ms.max(MIN_JITTER.as_ms());
        wait + Duration::from_ms(draw % jitter_ms)
    }
}

impl Forecast {
    /// Returns why a job is refused that is handed in `elapsed` after the forecast came, if it
    /// is: only where it surely would not be done before it is worth nothing.
    pub fn rejection(
        &self,
        record: &JobRecord,
        configuration: &Configuration,
        elapsed: Duration,
    ) -> Option<Rejection> {
        let age = Duration::from_ms(self.age_ms) + elapsed;
        let has_perpetual_step = record.spec.steps.iter().any(|step| step.is_perpetual);
        if age > FORECAST_AGE_LIMIT || has_perpetual_step || record.spec.schedule.is_some() {
            return None;
        }
        let queue = configuration.queue(&record.queue)?;
        let mut forecasts = self.queues.iter();
        let forecast = forecasts.find(|it| it.queue == record.queue)?;
        let objective = objective_of(record, Some(queue));
        let is_covered =
            objective.as_ms() >= forecast.objective_ms && total_work(record).covers(forecast.work);
        let done_ms = forecast.done_ms.saturating_sub(age.as_ms());
        let rejection = Rejection {
            done_after: Duration::from_ms(done_ms),
            worthless_after: objective.times(LATE_FACTOR),
            age,
        };
        (is_covered && rejection.done_after > rejection.worthless_after).then_some(rejection)
    }
}

/// Returns what all tasks of a job need, times milliseconds.
fn total_work(record: &JobRecord) -> ResourceVector {
    let mut work = ResourceVector::default();
    for step in &record.spec.steps {
        let tasks_ms = f64::from(step.tasks_count) * step.estimate_ms as f64;
        work.add(ResourceVector::of(&counted_demand(step)).times(tasks_ms));
    }
    work
}
