//! The age limit of store views on which starts depend.

use ospreywing_control::freshness::{max_view_age, Freshness};
use ospreywing_types::{Duration, Instant};
use rstest::rstest;

#[rstest]
#[case::long(5000, 3500)]
#[case::medium(3000, 1500)]
#[case::short(2000, 1000)]
fn max_view_age_of_bound(#[case] bound_ms: u64, #[case] expected_ms: u64) {
    let limit = max_view_age(Duration::from_ms(bound_ms));
    assert_eq!(limit.as_ms(), expected_ms);
}

#[test]
fn is_outdated_until_confirmed() {
    let view = Freshness::new("workers", Duration::from_ms(1500));
    let at = Instant::from_ms;
    assert!(view.is_outdated(at(10_000)));
    view.confirm(at(10_000));
    assert!(!view.is_outdated(at(11_500)));
    assert!(view.is_outdated(at(11_501)));
    // A late confirmation of an earlier instant changes nothing.
    view.confirm(at(9_000));
    assert!(view.is_outdated(at(11_501)));
}
