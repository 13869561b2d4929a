//! What a node knows of the leader's forecast, and the jobs that it refuses by it.
//!
//! The forecast comes with the leader's answers on jobs that were taken. A node that refuses
//! all jobs hears of none any more, and takes the next one as soon as what it knows is old.

use crate::node::Node;
use crate::platform::{Platform, Retry};
use crate::spread::draw_below;
use crate::store::{LeaseId, Store};
use crate::{clock, keys};
use ospreywing_scheduler::{Configuration, Feature, Forecast, JobId, JobRecord, Rejection};
use ospreywing_types::{Duration, Instant};
use slog::info;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Nothing is refused for so long after a write of a job was in doubt: it may be done late,
/// and its caller may hand it in again.
const DOUBT_TIME: Duration = Duration::from_s(10);

/// What a leader told.
#[derive(Clone, Debug)]
struct Kept {
    forecast: Option<Forecast>,
    /// The lease of the leader that told it.
    leader: LeaseId,
    asked_at: Instant,
}

/// What a node knows of the leader's forecast.
#[derive(Debug, Default)]
pub struct ForecastView {
    kept: RefCell<Option<Kept>>,
    doubted_at: Cell<Option<Instant>>,
}

impl ForecastView {
    /// Takes in what a leader that was asked at `asked_at` told.
    pub fn learn(&self, leader: LeaseId, asked_at: Instant, forecast: Option<Forecast>) {
        let mut kept = self.kept.borrow_mut();
        if kept.as_ref().is_some_and(|kept| kept.asked_at > asked_at) {
            return;
        }
        *kept = Some(Kept {
            forecast,
            leader,
            asked_at,
        });
    }

    /// Notes that a write of a job is in doubt.
    pub fn note_doubt(&self, now: Instant) {
        self.doubted_at.set(Some(now));
    }

    /// Returns whether a write was in doubt a short while ago.
    pub fn is_in_doubt(&self, now: Instant) -> bool {
        let doubted_at = self.doubted_at.get();
        doubted_at.is_some_and(|at| now.since(at) < DOUBT_TIME)
    }

    /// Returns why a job is refused by what this leader told, if it is.
    pub fn rejection(
        &self,
        now: Instant,
        leader: LeaseId,
        record: &JobRecord,
        configuration: &Configuration,
    ) -> Option<Rejection> {
        let kept = self.kept.borrow();
        let kept = kept.as_ref().filter(|kept| kept.leader == leader)?;
        let since = now.since(kept.asked_at);
        kept.forecast
            .as_ref()?
            .rejection(record, configuration, since)
    }
}

/// Returns when the caller of a job may come back that is refused, if it is.
///
/// Only the store tells whether the job was handed in before and is there, so it is read
/// before a job is refused.
pub(crate) async fn refuse<P: Platform>(
    node: &Rc<Node<P>>,
    job: JobId,
    record: &JobRecord,
    configuration: &Configuration,
) -> Option<Retry> {
    let rejection = rejection(node, record, configuration)?;
    if !matches!(node.store.get(&keys::job(job)).await, Ok(None)) {
        return None;
    }
    let after = rejection.retry_after(draw_below(&job.to_string(), u64::MAX));
    info!(node.log, "job refused"; "job" => %job, "queue" => &record.queue,
        "done_after_ms" => rejection.done_after.as_ms(),
        "worthless_after_ms" => rejection.worthless_after.as_ms(),
        "forecast_age_ms" => rejection.age.as_ms(), "come_back_ms" => after.as_ms());
    node.metrics.note_refused_by_forecast();
    Some(Retry { after })
}

fn rejection<P: Platform>(
    node: &Rc<Node<P>>,
    record: &JobRecord,
    configuration: &Configuration,
) -> Option<Rejection> {
    let now = clock::now();
    let is_off = !node.settings.features.has(Feature::Admission);
    if is_off || node.forecasts.is_in_doubt(now) || !node.has_contact() {
        return None;
    }
    if let Some(leading) = node.leading() {
        let forecast = leading.forecast(now)?;
        return forecast.rejection(record, configuration, Duration::ZERO);
    }
    let leader = node.cell.borrow().leader.as_ref()?.lease;
    node.forecasts.rejection(now, leader, record, configuration)
}
