//! The lateness of a node's event loop.

use ospreywing_control::lateness::Lateness;
use ospreywing_types::{Duration, Instant};
use rstest::rstest;

const PERIOD: Duration = Duration::from_ms(20);

#[rstest]
#[case::in_time(&[20, 20], 0)]
#[case::late(&[20, 120], 100)]
#[case::remembered(&[180, 20, 20], 122)]
#[case::later_still(&[60, 220], 200)]
#[case::once(&[60], 40)]
fn record_tick_after_gaps(#[case] gaps_ms: &[u64], #[case] expected_ms: u64) {
    let mut now = Instant::from_ms(1000);
    let mut lateness = Lateness::new(now, PERIOD);
    for gap_ms in gaps_ms {
        now = now + Duration::from_ms(*gap_ms);
        lateness.record_tick(now);
    }
    assert_eq!(lateness.current(), Duration::from_ms(expected_ms));
}
