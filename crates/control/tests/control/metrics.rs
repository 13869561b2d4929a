//! A node's metrics.

use crate::support::{run_local, MemoryStore, Treatment};
use ospreywing_control::metered::MeteredStore;
use ospreywing_control::metrics::Metrics;
use ospreywing_control::{clock, Reply, Retry, Store, Transaction};
use ospreywing_scheduler::{Decision, DecisionKind, SchedulerStatus};
use ospreywing_types::Duration;
use std::rc::Rc;

#[test]
fn to_text_counts_by_label() {
    let metrics = Metrics::new();
    let refused = Reply::Unavailable(Retry {
        after: Duration::from_s(1),
    });
    metrics.count_reply(&refused, clock::now());
    metrics.count_reply(&Reply::Accepted, clock::now());
    metrics.count_reply(&Reply::Accepted, clock::now());
    let decision = Decision::new(DecisionKind::NotStarted, "ticket over");
    metrics.count_decision(&decision);
    let text = metrics.to_text();
    for line in [
        r#"ospreywing_replies_total{outcome="accepted"} 2"#,
        r#"ospreywing_replies_total{outcome="unavailable"} 1"#,
        r#"ospreywing_decisions_total{kind="not started",reason="ticket over"} 1"#,
        "ospreywing_reply_seconds_count 3",
    ] {
        assert!(text.contains(line), "{line} in:\n{text}");
    }
}

#[test]
fn set_leading_false_clears_gauges() {
    let metrics = Metrics::new();
    metrics.set_leading(true);
    metrics.set_status(&SchedulerStatus {
        runs_count: 7,
        slow_workers_count: 2,
        beyond_share_count: 3,
        largest_share_lag: Duration::from_ms(1500),
        ..SchedulerStatus::default()
    });
    let text = metrics.to_text();
    assert!(text.contains("ospreywing_runs 7"));
    assert!(text.contains("ospreywing_slow_workers 2"));
    assert!(text.contains("ospreywing_beyond_share_customers 3"));
    assert!(text.contains("ospreywing_largest_share_lag_milliseconds 1500"));
    metrics.set_leading(false);
    let text = metrics.to_text();
    assert!(text.contains("ospreywing_runs 0"));
    assert!(text.contains("ospreywing_slow_workers 0"));
    assert!(text.contains("ospreywing_is_leader 0"));
    assert!(text.contains("ospreywing_terms_total 1"));
}

#[test]
fn set_configuration_version_and_age() {
    let metrics = Metrics::new();
    metrics.set_configuration(16, Duration::from_ms(750));
    let text = metrics.to_text();
    assert!(text.contains("ospreywing_configuration_version 16"));
    assert!(text.contains("ospreywing_configuration_age_milliseconds 750"));
}

#[test]
fn commit_counted_by_outcome() {
    run_local(async {
        let metrics = Rc::new(Metrics::new());
        let inner = MemoryStore::new();
        inner.set_treatments(&[Treatment::Answer, Treatment::Lose, Treatment::Refuse]);
        let store = MeteredStore::new(inner, metrics.clone());
        let new = Transaction::new()
            .with_expect("k", 0)
            .with_put("k", vec![1]);
        // The last commit finds that the key exists.
        for _ in 0..4 {
            let _ = store.commit(&new).await;
        }
        let text = metrics.to_text();
        for outcome in ["ok", "refused", "conflict"] {
            let line = format!(r#"store_calls_total{{call="commit",outcome="{outcome}"}} 1"#);
            assert!(text.contains(&line), "{line} in:\n{text}");
        }
        assert!(text.contains("ospreywing_store_call_seconds_count 4"));
    });
}
