//! Admission control: rejects a job at once where its result would be worthless by the time
//! it completed.

use crate::config::Configuration;
use crate::deadline_selection::ResourceVector;
use crate::job::JobRecord;
use crate::placement::counted_demand;
use crate::scheduling_order::{objective_of, WORTHLESS_FACTOR};
use ospreywing_types::Duration;
use serde::{Deserialize, Serialize};

/// Forecasts older than this are ignored.
pub const FORECAST_AGE_LIMIT: Duration = Duration::from_ms(1000);
/// Bounds of the retry delay that a rejected caller is given.
const MIN_RETRY_AFTER: Duration = Duration::from_ms(500);
const MAX_RETRY_AFTER: Duration = Duration::from_s(30);
/// Random part of the retry delay: up to this percentage of the delay, and at least up to
/// `MIN_JITTER`.
const JITTER_PERCENT: u64 = 50;
const MIN_JITTER: Duration = Duration::from_ms(1000);

/// The earliest completion of a job that is submitted to a queue now.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueForecast {
    /// The name of the queue.
    pub queue: String,
    /// Applies to jobs whose objective is at least this, in milliseconds.
    pub objective_ms: u64,
    /// Applies to jobs that need at least this, as resources times milliseconds.
    pub work: ResourceVector,
    /// The earliest completion of such a job, in milliseconds after the forecast was made.
    pub done_ms: u64,
}

/// A leader's forecast for the queues of overloaded services.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Forecast {
    /// The age of the forecast, in milliseconds.
    pub age_ms: u64,
    /// Forecasts by queue; queues that aren't listed have none.
    pub queues: Vec<QueueForecast>,
}

/// Why a job is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The time from now until the job would complete at the earliest.
    pub done_after: Duration,
    /// The time from now after which the job's result is worthless.
    pub worthless_after: Duration,
    /// The age of the forecast.
    pub age: Duration,
}

impl Rejection {
    /// Returns the delay after which the caller should retry: when there is capacity for such
    /// a job, plus a jitter from `draw`, a number that differs between callers.
    pub fn retry_after(&self, draw: u64) -> Duration {
        let wait = self.done_after.max(MIN_RETRY_AFTER).min(MAX_RETRY_AFTER);
        let part_ms = wait.as_ms() * JITTER_PERCENT / 100;
        let jitter_ms = part_ms.max(MIN_JITTER.as_ms());
        wait + Duration::from_ms(draw % jitter_ms)
    }
}

impl Forecast {
    /// Returns why a job that is submitted `elapsed` after the forecast was received is
    /// rejected, or `None` if it isn't. A job is rejected only if it can't complete before
    /// its result is worthless.
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
        let objective = objective_of(record, queue);
        let is_covered =
            objective.as_ms() >= forecast.objective_ms && total_work(record).covers(forecast.work);
        let done_ms = forecast.done_ms.saturating_sub(age.as_ms());
        let rejection = Rejection {
            done_after: Duration::from_ms(done_ms),
            worthless_after: objective.times(WORTHLESS_FACTOR),
            age,
        };
        (is_covered && rejection.done_after > rejection.worthless_after).then_some(rejection)
    }
}

/// Returns the work of all tasks of a job, as resources times milliseconds.
fn total_work(record: &JobRecord) -> ResourceVector {
    let mut work = ResourceVector::default();
    for step in &record.spec.steps {
        let tasks_ms = f64::from(step.tasks_count) * step.estimate_ms as f64;
        work.add(ResourceVector::of(&counted_demand(step)).times(tasks_ms));
    }
    work
}
