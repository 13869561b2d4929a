//! Admission control: rejects jobs that would finish too late by the leader's forecast.
//!
//! The leader sends its forecast with the answers to notifications of accepted jobs. A node
//! that rejects all jobs receives no new forecast, and so accepts the next job once its
//! forecast is outdated.

use crate::node::Node;
use crate::platform::{Platform, Retry};
use crate::stable_hash::stable_hash_below;
use crate::store::{LeaseId, Store};
use crate::{clock, keys};
use ospreywing_scheduler::{Configuration, Feature, Forecast, JobId, JobRecord, Rejection};
use ospreywing_types::{Duration, Instant};
use slog::info;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// How long no job is rejected after an unconfirmed write of a job: the write may be applied
/// late, and its caller may submit the job again.
const UNCONFIRMED_WRITE_PAUSE: Duration = Duration::from_s(10);

/// A leader's last answer.
#[derive(Clone, Debug)]
struct ReceivedForecast {
    forecast: Option<Forecast>,
    /// The lease of the leader that sent it.
    leader: LeaseId,
    sent_at: Instant,
}

/// A node's view of the leader's forecast.
#[derive(Debug, Default)]
pub struct ForecastView {
    received: RefCell<Option<ReceivedForecast>>,
    unconfirmed_at: Cell<Option<Instant>>,
}

impl ForecastView {
    /// Stores the forecast in a leader's answer to a call that was sent at `sent_at`, unless
    /// there is one of a later call.
    pub fn update(&self, leader: LeaseId, sent_at: Instant, forecast: Option<Forecast>) {
        let mut received = self.received.borrow_mut();
        if received
            .as_ref()
            .is_some_and(|received| received.sent_at > sent_at)
        {
            return;
        }
        *received = Some(ReceivedForecast {
            forecast,
            leader,
            sent_at,
        });
    }

    /// Records that a write of a job is unconfirmed.
    pub fn record_unconfirmed_write(&self, now: Instant) {
        self.unconfirmed_at.set(Some(now));
    }

    /// Returns whether a write was unconfirmed a short while ago.
    pub fn has_recent_unconfirmed_write(&self, now: Instant) -> bool {
        let unconfirmed_at = self.unconfirmed_at.get();
        unconfirmed_at.is_some_and(|at| now.since(at) < UNCONFIRMED_WRITE_PAUSE)
    }

    /// Returns why a job is rejected by this leader's forecast; `None` if it is not.
    pub fn rejection(
        &self,
        now: Instant,
        leader: LeaseId,
        record: &JobRecord,
        configuration: &Configuration,
    ) -> Option<Rejection> {
        let received = self.received.borrow();
        let received = received
            .as_ref()
            .filter(|received| received.leader == leader)?;
        let since = now.since(received.sent_at);
        received
            .forecast
            .as_ref()?
            .rejection(record, configuration, since)
    }
}

/// Checks a job against the forecast; returns when its caller may retry if it is rejected.
///
/// The job may have been accepted before, so the store is read before it is rejected.
pub(crate) async fn check_forecast<P: Platform>(
    node: &Rc<Node<P>>,
    job: JobId,
    record: &JobRecord,
    configuration: &Configuration,
) -> Option<Retry> {
    let rejection = rejection(node, record, configuration)?;
    if !matches!(node.store.get(&keys::job(job)).await, Ok(None)) {
        return None;
    }
    let after = rejection.retry_after(stable_hash_below(&job.to_string(), u64::MAX));
    info!(node.log, "job rejected by forecast"; "job" => %job, "queue" => &record.queue,
        "done_after_ms" => rejection.done_after.as_ms(),
        "worthless_after_ms" => rejection.worthless_after.as_ms(),
        "forecast_age_ms" => rejection.age.as_ms(), "come_back_ms" => after.as_ms());
    node.metrics.count_rejected_by_forecast();
    Some(Retry { after })
}

fn rejection<P: Platform>(
    node: &Rc<Node<P>>,
    record: &JobRecord,
    configuration: &Configuration,
) -> Option<Rejection> {
    let now = clock::now();
    let is_off = !node.settings.features.has(Feature::Admission);
    if is_off || node.forecasts.has_recent_unconfirmed_write(now) || !node.has_store_contact() {
        return None;
    }
    if let Some(term) = node.valid_term() {
        let forecast = term.forecast(now)?;
        return forecast.rejection(record, configuration, Duration::ZERO);
    }
    let leader = node.cell.borrow().leader.as_ref()?.lease;
    node.forecasts.rejection(now, leader, record, configuration)
}
