//! The choice of relays and their assignment to workers.

use ospreywing_control::cell_view::NodeRecord;
use ospreywing_control::peer::{self, PeerRequest};
use ospreywing_control::relay::assignment::{Assignment, RelayCandidate};
use ospreywing_control::relay::batch::{is_start_expired, START_HOLD_LIMIT};
use ospreywing_control::relay::message::{Order, RelaySession, RelayedOrder, SentAt};
use ospreywing_control::relay::relay_clock::RelayClock;
use ospreywing_scheduler::{Endpoint, JobId, StepKey, TaskKey, WorkerKey};
use ospreywing_types::Instant;
use rstest::rstest;
use std::collections::BTreeMap;
use std::sync::Arc;

const MIN_WORKERS_COUNT: usize = 600;

fn candidate(name: &str, data_centre: &str, cores_milli: u32) -> RelayCandidate {
    RelayCandidate {
        name: Arc::from(name),
        address: Arc::from(format!("at {name}")),
        data_centre: Arc::from(data_centre),
        cores_milli,
    }
}

fn counts(counts: &[(&str, usize)]) -> BTreeMap<Arc<str>, usize> {
    let counts = counts.iter();
    counts
        .map(|(name, count)| (Arc::from(*name), *count))
        .collect()
}

fn names(assignment: &Assignment) -> Vec<&str> {
    let relays = assignment.relays.values();
    relays.map(|relay| relay.name.as_ref()).collect()
}

#[rstest]
#[case::few_workers(&[("a", 300), ("b", 299)], &[])]
#[case::one_each(&[("a", 300), ("b", 300)], &["a1", "b0"])]
#[case::more_in_one(&[("a", 801), ("b", 1)], &["a1", "b0", "a0", "a2"])]
#[case::more_than_nodes(&[("b", 4000)], &["b0"])]
#[case::nowhere_near(&[("c", 700)], &[])]
fn new_by_worker_counts(#[case] workers: &[(&str, usize)], #[case] expected: &[&str]) {
    let candidates = vec![
        candidate("a0", "a", 120),
        candidate("a1", "a", 500),
        candidate("a2", "a", 120),
        candidate("b0", "b", 250),
    ];
    let assignment = Assignment::new(candidates, &counts(workers), MIN_WORKERS_COUNT);
    assert_eq!(names(&assignment), expected);
}

/// If a relay is lost, the workers of the other relays keep theirs.
#[test]
fn relay_for_worker_after_relay_loss() {
    let all = ["a0", "a1", "a2"].map(|name| candidate(name, "a", 120));
    let workers = counts(&[("a", 1200)]);
    let before = Assignment::new(all.to_vec(), &workers, MIN_WORKERS_COUNT);
    let after = Assignment::new(all[..2].to_vec(), &workers, MIN_WORKERS_COUNT);
    let name_of = |assignment: &Assignment, worker: &str| {
        let relay = assignment.relay_for_worker(worker, "a").expect("a relay");
        assignment.relays[relay].name.clone()
    };
    let mut counts: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    for number in 0..1200 {
        let worker = format!("w{number}");
        let relay = name_of(&before, &worker);
        *counts.entry(relay.clone()).or_default() += 1;
        if *relay != *"a2" {
            assert_eq!(name_of(&after, &worker), relay);
        }
    }
    let is_even = |count: &usize| (300..500).contains(count);
    assert!(
        counts.len() == 3 && counts.values().all(is_even),
        "{counts:?}"
    );
    assert_eq!(before.relay_for_worker("w0", "b"), None);
}

/// Nodes of an earlier version wrote records without a data centre.
#[test]
fn from_bytes_without_data_centre() {
    let record = NodeRecord {
        address: "10.0.0.1:7000".to_owned(),
        cores_milli: 250,
        data_centre: "a".to_owned(),
    };
    let bytes = postcard::to_allocvec(&record).expect("the record can be encoded");
    assert_eq!(NodeRecord::from_bytes(&bytes), Ok(record.clone()));
    let earlier =
        postcard::to_allocvec(&("10.0.0.1:7000", 250u32)).expect("the record can be encoded");
    let expected = NodeRecord {
        data_centre: String::new(),
        ..record
    };
    assert_eq!(NodeRecord::from_bytes(&earlier), Ok(expected));
    assert!(NodeRecord::from_bytes(&earlier[..3]).is_err());
}

/// The position of `RelayOrders` among the requests, by which nodes of all versions know it.
const RELAY_ORDERS_TAG: u32 = 9;

fn relay_orders(sent_at: Option<Instant>) -> (RelaySession, Vec<RelayedOrder>, PeerRequest) {
    let session = RelaySession {
        fence: 300,
        number: 2,
    };
    let step = StepKey {
        job: JobId::new(1),
        round: 0,
        step: 0,
    };
    let orders = vec![RelayedOrder {
        number: 5,
        to: Endpoint {
            worker: WorkerKey::from_u32(3),
            id: Arc::from("w3"),
            incarnation: None,
            address: Arc::from("127.0.0.1:9"),
        },
        order: Order::Stop {
            task: TaskKey { step, index: 0 },
            run: 1,
        },
    }];
    let request = PeerRequest::RelayOrders {
        session,
        orders: orders.clone(),
        sent_at: SentAt(sent_at),
    };
    (session, orders, request)
}

/// During an upgrade, nodes of two versions relay for one another.
#[rstest]
#[case::time_told(Some(Instant::from_ms(123_456_789)))]
#[case::time_unknown(None)]
fn relay_orders_between_versions(#[case] sent_at: Option<Instant>) {
    let (session, orders, request) = relay_orders(sent_at);
    let bytes = postcard::to_allocvec(&request).expect("the request can be encoded");
    assert_eq!(peer::decode(&bytes).as_ref(), Some(&request));
    let read: (u32, RelaySession, Vec<RelayedOrder>) =
        postcard::from_bytes(&bytes).expect("an earlier version can decode it");
    assert_eq!(read, (RELAY_ORDERS_TAG, session, orders.clone()));
    let earlier = postcard::to_allocvec(&(RELAY_ORDERS_TAG, session, orders));
    let earlier = earlier.expect("the earlier form can be encoded");
    let (_, _, without_time) = relay_orders(None);
    assert_eq!(peer::decode(&earlier), Some(without_time));
}

/// A relay's clock may be read from another machine at its address; such times are no evidence
/// that a start is recent.
#[rstest]
#[case::just_sent(10_000, false)]
#[case::before_limit(10_000 - START_HOLD_LIMIT.as_ms() + 1, false)]
#[case::at_limit(10_000 - START_HOLD_LIMIT.as_ms(), true)]
#[case::drifted_ahead(10_050, false)]
#[case::far_ahead(20_000, true)]
fn is_start_expired_by_time_sent(#[case] sent_at_ms: u64, #[case] expected: bool) {
    let now = Instant::from_ms(10_000);
    let sent_at = Instant::from_ms(sent_at_ms);
    assert_eq!(is_start_expired(now, sent_at), expected);
}

/// Records readings, each as the times when it was requested, received and the relay's time,
/// and returns the estimate at `now_ms`.
fn estimate_after(readings_ms: &[(u64, u64, u64)], now_ms: u64) -> Option<u64> {
    let mut clock = RelayClock::default();
    for (sent_at, received_at, relay_time) in readings_ms {
        let at = Instant::from_ms;
        clock.record(at(*sent_at), at(*received_at), at(*relay_time));
    }
    let estimate = clock.estimate(Instant::from_ms(now_ms));
    estimate.map(Instant::as_ms)
}

/// An estimate ahead of the relay's clock would let the relay hold starts for longer; one that
/// lags by a slow answer would make it give starts up that it holds for a moment only.
#[rstest]
#[case::none(&[], 100, None)]
#[case::goes_on(&[(0, 2, 5_000)], 102, Some(5_100))]
#[case::slow_one_ignored(&[(0, 2, 5_000), (100, 500, 5_101)], 500, Some(5_498))]
#[case::better_one_used(&[(0, 400, 5_001), (900, 901, 5_901)], 901, Some(5_901))]
#[case::old_one_dropped(&[(0, 2, 5_000), (70_000, 70_002, 74_990)], 70_002, Some(74_990))]
#[case::relay_rebooted(&[(0, 2, 5_000_000), (10_002, 10_003, 20_000)], 10_003, Some(20_000))]
fn estimate_by_readings(
    #[case] readings_ms: &[(u64, u64, u64)],
    #[case] now_ms: u64,
    #[case] expected: Option<u64>,
) {
    assert_eq!(estimate_after(readings_ms, now_ms), expected);
}

/// A reading that was slow lags, so it must not stand for long; a relay of an earlier version
/// must not be asked before each batch.
#[test]
fn is_reading_due_by_last_answer() {
    let at = Instant::from_ms;
    let mut clock = RelayClock::default();
    assert!(clock.is_reading_due(at(1)));
    clock.record(at(1), at(3), at(5_000));
    assert!(!clock.is_reading_due(at(10_002)));
    assert!(clock.is_reading_due(at(10_003)));
    clock.record(at(10_003), at(10_203), at(15_100));
    assert!(clock.is_reading_due(at(10_703)));
    clock.record_none(at(10_800));
    assert!(!clock.is_reading_due(at(11_800)));
    assert_eq!(clock.estimate(at(11_800)), None);
}
