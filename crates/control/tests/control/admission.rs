//! What a node makes of the leader's forecast.

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
const ASKED_AT: Instant = Instant::from_ms(50_000);

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

/// A forecast by which jobs of the queue would be done long after they are worth anything.
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

/// Returns whether the job is refused so long after the leader was asked.
fn is_refused(view: &ForecastView, lease: u64, after_ms: u64) -> bool {
    let now = ASKED_AT + Duration::from_ms(after_ms);
    let rejection = view.rejection(now, lease, &record(), &configuration());
    rejection.is_some()
}

#[test]
fn refusal_by_fresh_forecast_alone() {
    let view = ForecastView::default();
    assert!(!is_refused(&view, LEASE, 0));
    view.learn(LEASE, ASKED_AT, Some(forecast()));
    assert!(is_refused(&view, LEASE, 900));
    assert!(!is_refused(&view, LEASE, 901));
}

/// Another leader may have more room, or know of less.
#[test]
fn refusal_by_same_leader_alone() {
    let view = ForecastView::default();
    view.learn(LEASE, ASKED_AT, Some(forecast()));
    assert!(!is_refused(&view, LEASE + 1, 0));
}

/// An answer that was asked for earlier and comes later changes nothing.
#[test]
fn learn_newest_asked() {
    let view = ForecastView::default();
    view.learn(LEASE, ASKED_AT, None);
    let before = Instant::from_ms(ASKED_AT.as_ms() - 50);
    view.learn(LEASE, before, Some(forecast()));
    assert!(!is_refused(&view, LEASE, 0));
    view.learn(LEASE, ASKED_AT, Some(forecast()));
    assert!(is_refused(&view, LEASE, 0));
}

#[test]
fn is_in_doubt_for_a_while() {
    let view = ForecastView::default();
    assert!(!view.is_in_doubt(ASKED_AT));
    view.note_doubt(ASKED_AT);
    assert!(view.is_in_doubt(ASKED_AT + Duration::from_ms(9_999)));
    assert!(!view.is_in_doubt(ASKED_AT + Duration::from_ms(10_000)));
}

#[test]
fn forecast_passes_between_nodes() {
    let reply = PeerReply::TakenInOverload(forecast());
    let bytes = postcard::to_allocvec(&reply).expect("a form");
    let read: PeerReply = postcard::from_bytes(&bytes).expect("the same");
    assert_eq!(read, reply);
}

#[test]
fn note_forecast_names_queues_of_now() {
    let metrics = Metrics::new();
    metrics.note_forecast(Some(&forecast()));
    metrics.note_refused_by_forecast();
    let text = metrics.to_text();
    assert!(text.contains(r#"ospreywing_forecast_milliseconds{queue="render"} 60000"#));
    assert!(text.contains("ospreywing_refused_by_forecast_total 1"));
    metrics.note_forecast(None);
    assert!(!metrics.to_text().contains("render"));
}
