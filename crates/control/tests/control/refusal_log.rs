//! How often refusals of clients are logged.

use ospreywing_control::refusal_log::{Refusal, RefusalLog};
use ospreywing_types::Instant;

#[test]
fn record_logs_once_per_period() {
    let mut log = RefusalLog::default();
    let refusal = Refusal::ConnectionDisplaced;
    assert_eq!(log.record(Instant::from_ms(1000), refusal), Some(1));
    assert_eq!(log.record(Instant::from_ms(1001), refusal), None);
    assert_eq!(log.record(Instant::from_ms(10_999), refusal), None);
    assert_eq!(log.record(Instant::from_ms(11_000), refusal), Some(3));
}

#[test]
fn record_logs_each_reason() {
    let mut log = RefusalLog::default();
    let now = Instant::from_ms(1000);
    assert_eq!(log.record(now, Refusal::ConnectionDisplaced), Some(1));
    assert_eq!(log.record(now, Refusal::ConnectionRefused), Some(1));
    assert_eq!(log.record(now, Refusal::AcceptFailed), Some(1));
}
