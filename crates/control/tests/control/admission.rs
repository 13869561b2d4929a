//! Rejection of jobs by the leader's forecast.

use ospreywing_control::admission::ForecastView;
use ospreywing_control::metrics::Metrics;
use ospreywing_control::peer::PeerReply;
use ospreywing_scheduler::deadline_selection::ResourceVector;
use ospreywing_scheduler::{
    Configuration, Forecast, JobRecord, JobSpec, Queue, QueueForecast, StepSpec,
};
use ospreywing_types::{Duration, Instant, Resources};

const QUEUE: &str = "render";
const LEASE: u64 = 7;
const SENT_AT: Instant = Instant::from_ms(50_000);

fn record() -> JobRecord {
    let step = StepSpec {
        tasks_count: 1,
        demand: Resources::new(1000, 1000, 0),
        estimate_ms: 500,
        ..StepSpec::default()
    };
    JobRecord {
        queue: QUEUE.to_owned(),
        spec: JobSpec {
            steps: vec![step],
            ..JobSpec::default()
        },
        ..JobRecord::default()
    }
}

fn configuration() -> Configuration {
    let queue = Queue {
        name: QUEUE.to_owned(),
        service: "gallery".to_owned(),
        priority: 1,
        attempts_limit_count: 3,
        stretch: 2.0,
        objective_ms: 1000,
        advice: None,
    };
    Configuration {
        queues: [(QUEUE.to_owned(), queue)].into(),
        ..Configuration::default()
    }
}

/// A forecast by which jobs of the queue would finish long after they become worthless.
fn forecast() -> Forecast {
    Forecast {
        age_ms: 100,
        queues: vec![QueueForecast {
            queue: QUEUE.to_owned(),
            objective_ms: 2_000,
            work: ResourceVector::of(&Resources::new(1000, 1000, 0)).times(500.0),
            done_ms: 60_000,
        }],
    }
}

/// Returns whether the job is rejected `after_ms` after the leader was called.
fn is_rejected(view: &ForecastView, lease: u64, after_ms: u64) -> bool {
    let now = SENT_AT + Duration::from_ms(after_ms);
    let rejection = view.rejection(now, lease, &record(), &configuration());
    rejection.is_some()
}

#[test]
fn rejection_outdated_forecast() {
    let view = ForecastView::default();
    assert!(!is_rejected(&view, LEASE, 0));
    view.update(LEASE, SENT_AT, Some(forecast()));
    assert!(is_rejected(&view, LEASE, 900));
    assert!(!is_rejected(&view, LEASE, 901));
}

/// Another leader may have more capacity, or know fewer jobs.
#[test]
fn rejection_forecast_of_other_leader() {
    let view = ForecastView::default();
    view.update(LEASE, SENT_AT, Some(forecast()));
    assert!(!is_rejected(&view, LEASE + 1, 0));
}

/// An answer to an earlier call that arrives later changes nothing.
#[test]
fn update_answers_out_of_order() {
    let view = ForecastView::default();
    view.update(LEASE, SENT_AT, None);
    let before = Instant::from_ms(SENT_AT.as_ms() - 50);
    view.update(LEASE, before, Some(forecast()));
    assert!(!is_rejected(&view, LEASE, 0));
    view.update(LEASE, SENT_AT, Some(forecast()));
    assert!(is_rejected(&view, LEASE, 0));
}

#[test]
fn has_recent_unconfirmed_write_expires() {
    let view = ForecastView::default();
    assert!(!view.has_recent_unconfirmed_write(SENT_AT));
    view.record_unconfirmed_write(SENT_AT);
    assert!(view.has_recent_unconfirmed_write(SENT_AT + Duration::from_ms(9_999)));
    assert!(!view.has_recent_unconfirmed_write(SENT_AT + Duration::from_ms(10_000)));
}

#[test]
fn peer_reply_forecast_round_trip() {
    let reply = PeerReply::TakenInOverload(forecast());
    let bytes = postcard::to_allocvec(&reply).expect("the reply can be encoded");
    let read: PeerReply = postcard::from_bytes(&bytes).expect("the reply can be decoded");
    assert_eq!(read, reply);
}

#[test]
fn set_forecast_removes_old_queues() {
    let metrics = Metrics::new();
    metrics.set_forecast(Some(&forecast()));
    metrics.count_rejected_by_forecast();
    let text = metrics.to_text();
    assert!(text.contains(r#"ospreywing_forecast_milliseconds{queue="render"} 60000"#));
    assert!(text.contains("ospreywing_refused_by_forecast_total 1"));
    metrics.set_forecast(None);
    assert!(!metrics.to_text().contains("render"));
}
