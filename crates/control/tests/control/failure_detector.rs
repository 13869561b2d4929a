//! When the failure detector suspects the leader.

use ospreywing_control::failure_detector::{
    FailureDetector, NEW_LEADER_GRACE_TIME, PROBE_TIMEOUT, SUSPECT_AFTER, SUSPECT_MISSES_COUNT,
};
use ospreywing_control::peer::PeerError;
use ospreywing_http::HttpError;
use ospreywing_types::{Duration, Instant};
use rstest::rstest;

const LEADER: u64 = 7;
const ELECTED_AT: Instant = Instant::from_ms(1000);

/// Returns a detector and the instant of the leader's last answer, at the end of the grace
/// time of a new leader.
fn settled() -> (FailureDetector, Instant) {
    let mut detector = FailureDetector::new(LEADER, ELECTED_AT);
    let answered_at = ELECTED_AT + NEW_LEADER_GRACE_TIME;
    detector.record_answer(answered_at);
    (detector, answered_at)
}

/// A failed leader is suspected within half of its lease.
#[test]
fn is_suspected_unresponsive_leader() {
    let (mut detector, answered_at) = settled();
    let mut now = answered_at;
    while !detector.is_suspected(now) {
        now = now + PROBE_TIMEOUT;
        detector.record_miss();
        assert!(now.since(answered_at) <= Duration::from_ms(750), "too late");
    }
    assert!(now.since(answered_at) >= SUSPECT_AFTER);
}

#[rstest]
#[case::few_misses(SUSPECT_AFTER, SUSPECT_MISSES_COUNT - 1)]
#[case::short_silence(Duration::from_ms(300), SUSPECT_MISSES_COUNT)]
#[case::own_standstill(Duration::from_ms(9000), 1)]
fn is_suspected_insufficient_evidence(#[case] silence: Duration, #[case] misses_count: u32) {
    let (mut detector, answered_at) = settled();
    (0..misses_count).for_each(|_| detector.record_miss());
    assert!(!detector.is_suspected(answered_at + silence));
}

#[test]
fn is_suspected_new_leader() {
    let mut detector = FailureDetector::new(LEADER, ELECTED_AT);
    (0..9).for_each(|_| detector.record_miss());
    assert!(!detector.is_suspected(ELECTED_AT + Duration::from_ms(2900)));
}

#[test]
fn is_suspected_after_answer() {
    let (mut detector, answered_at) = settled();
    (0..2).for_each(|_| detector.record_miss());
    detector.record_answer(answered_at + Duration::from_ms(400));
    detector.record_miss();
    assert!(!detector.is_suspected(answered_at + Duration::from_ms(1000)));
    assert!(!detector.has_missed_probes());
}

/// A node that stood still while it connected to the leader evicted it, though it had only given
/// up its own call.
#[rstest]
#[case::refused(HttpError::NotSent("refused".to_owned()), true)]
#[case::held_too_long(HttpError::Expired, false)]
#[case::unanswered(HttpError::TimedOut { limit_ms: 1, received_bytes: 0 }, false)]
fn is_unreachable_by_error(#[case] error: HttpError, #[case] expected: bool) {
    assert_eq!(PeerError::from(error).is_unreachable(), expected);
}
