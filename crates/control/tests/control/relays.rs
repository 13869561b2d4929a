//! The choice of relays and their assignment to workers.

use ospreywing_control::cell_view::NodeRecord;
use ospreywing_control::relay::assignment::{Assignment, RelayCandidate};
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
