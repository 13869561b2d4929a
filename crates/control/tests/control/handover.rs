//! Learned statistics, as handed over to the next leader.

use ospreywing_control::handover::LearnedSnapshot;
use ospreywing_control::peer::{self, PeerRequest};
use ospreywing_scheduler::{Learned, LearnedSpeed};
use ospreywing_types::{Duration, Instant};
use rstest::rstest;
use std::sync::Arc;

const AT: Instant = Instant::from_ms(50_000);

fn learned(age_ms: u64) -> Learned {
    Learned {
        sizes: Vec::new(),
        speeds: vec![LearnedSpeed {
            machine: Arc::from("m0"),
            speed_milli: 500,
            runs_count: 9,
            age_ms,
        }],
    }
}

/// Kept statistics are aged; too old or empty ones are discarded.
#[rstest]
#[case::fresh(learned(20), 100, Some(learned(120)))]
#[case::old(learned(20), 299_000, Some(learned(299_020)))]
#[case::too_old(learned(20), 301_000, None)]
#[case::empty(Learned::default(), 100, None)]
fn into_learned_by_age(
    #[case] received: Learned,
    #[case] kept_ms: u64,
    #[case] expected: Option<Learned>,
) {
    let kept = LearnedSnapshot::new(AT, received);
    let now = AT + Duration::from_ms(kept_ms);
    assert_eq!(kept.into_learned(now), expected);
}

#[test]
fn decode_learned() {
    let request = PeerRequest::Learned(learned(20));
    let body = postcard::to_allocvec(&request).expect("the request can be encoded");
    assert_eq!(peer::decode(&body), Some(request));
    assert_eq!(peer::decode(&body[..body.len() - 1]), None);
}
