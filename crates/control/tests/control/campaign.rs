//! Which nodes campaign first, and which candidate shares its configuration.

use ospreywing_control::cell_view::{
    choose_candidates, Candidate, CellView, NodeRecord, CANDIDATES_COUNT,
};
use ospreywing_control::configuration_sharing::choose_source_among;
use ospreywing_control::election::{campaign_delay, has_stronger_joined, is_much_weaker};
use ospreywing_control::{keys, stable_hash};
use ospreywing_types::Duration;
use rstest::rstest;
use std::collections::BTreeMap;

fn record(cores_milli: u32) -> NodeRecord {
    NodeRecord {
        address: "10.0.0.1:1".to_owned(),
        cores_milli,
        data_centre: String::new(),
    }
}

fn nodes() -> BTreeMap<String, NodeRecord> {
    let cores = [("a", 500), ("b", 500), ("c", 120), ("d", 120)];
    let nodes = cores.map(|(name, cores_milli)| (name.to_owned(), record(cores_milli)));
    nodes.into()
}

/// Returns how long a node of the cell waits if the leader has named the candidates.
fn delay(name: &str, cores_milli: u32) -> Duration {
    let candidates = choose_candidates(&nodes());
    campaign_delay(name, &record(cores_milli), &candidates, Duration::ZERO)
}

/// Stronger nodes campaign first. A node with 0.12 cores was elected although there were
/// nodes with 0.5, and could not read the store's pages in time.
#[rstest]
#[case::first_of_equals("a", 500, "b", 500)]
#[case::stronger("b", 500, "c", 120)]
#[case::weak_ones_by_name("c", 120, "d", 120)]
fn campaign_delay_order(
    #[case] first: &str,
    #[case] first_cores: u32,
    #[case] second: &str,
    #[case] second_cores: u32,
) {
    let first = delay(first, first_cores);
    let second = delay(second, second_cores);
    assert!(first < second);
}

#[test]
fn campaign_delay_much_weaker_node() {
    let strong = delay("b", 500);
    let weak = delay("c", 120);
    assert!(weak.as_ms() >= strong.as_ms() + 300);
}

#[rstest]
#[case::strong(500, false)]
#[case::nearly(300, false)]
#[case::weak(120, true)]
fn is_much_weaker_than_strongest(#[case] cores_milli: u32, #[case] expected: bool) {
    assert_eq!(is_much_weaker(&record(cores_milli), &nodes()), expected);
}

/// A weak leader steps down if a stronger node registers after the election. All strong nodes
/// had been killed or partitioned at once, a weak one was elected 10 ms before they returned,
/// and it led for 7 s.
#[rstest]
#[case::strong_since("a", 41, true)]
#[case::strong_before_may_be_gone("a", 39, false)]
#[case::as_weak_since("d", 41, false)]
fn has_stronger_joined_since_election(
    #[case] name: &str,
    #[case] registered_at: u64,
    #[case] expected: bool,
) {
    let view = CellView {
        nodes: nodes(),
        registered_at: [(name.to_owned(), registered_at)].into(),
        ..CellView::default()
    };
    assert_eq!(has_stronger_joined(&record(120), &view, 40), expected);
}

/// The prefix that every node follows contains no node items: otherwise each node would
/// receive each change of a node, and the traffic would grow with the square of the cell.
#[test]
fn leader_prefix_excludes_nodes() {
    let node = keys::node("front-a-1");
    assert!(!node.starts_with(keys::LEADER_PREFIX));
    assert!(keys::LEADER.starts_with(keys::LEADER_PREFIX));
    assert!(keys::CANDIDATES.starts_with(keys::LEADER_PREFIX));
}

fn large_cell(count: usize) -> BTreeMap<String, NodeRecord> {
    let node = |number: usize| {
        let cores_milli = if number.is_multiple_of(10) { 1000 } else { 120 };
        (format!("n{number:04}"), record(cores_milli))
    };
    (0..count).map(node).collect()
}

/// Even in a large cell only a few candidates are named, the strongest nodes.
#[rstest]
#[case::small(6)]
#[case::large(585)]
#[case::larger(2_099)]
fn choose_candidates_by_cell_size(#[case] nodes_count: usize) {
    let candidates = choose_candidates(&large_cell(nodes_count));
    assert_eq!(candidates.len(), nodes_count.min(CANDIDATES_COUNT));
    if nodes_count > 100 {
        assert!(candidates.iter().all(|it| it.record.cores_milli == 1000));
    }
}

/// Equally strong candidates are spread over the data centres, so that the loss of one
/// removes only a few.
#[test]
fn choose_candidates_several_data_centres() {
    let node = |number: usize| {
        let data_centre = ["a", "b", "c"][number / 100].to_owned();
        let record = NodeRecord {
            data_centre,
            ..record(500)
        };
        (format!("n{number:03}"), record)
    };
    let candidates = choose_candidates(&(0..300).map(node).collect());
    let count_in = |name: &str| {
        let here = candidates.iter().filter(|it| it.record.data_centre == name);
        here.count()
    };
    assert_eq!([count_in("a"), count_in("b"), count_in("c")], [3, 3, 2]);
}

/// A node fetches from a candidate in its own data centre if possible; a candidate itself
/// uses the store.
#[test]
fn choose_source_among_candidates() {
    let candidate = |name: &str, data_centre: &str| Candidate {
        name: name.to_owned(),
        record: NodeRecord {
            data_centre: data_centre.to_owned(),
            ..record(1000)
        },
    };
    let candidates = [
        candidate("x", "a"),
        candidate("y", "a"),
        candidate("z", "b"),
    ];
    let chosen = |name: &str, data_centre: &str, avoided: &[&str]| {
        let is_avoided = |name: &str| avoided.contains(&name);
        let source = choose_source_among(name, data_centre, &candidates, is_avoided);
        source.map(|source| source.name.clone())
    };
    assert_eq!(chosen("n", "b", &[]).as_deref(), Some("z"));
    assert_eq!(chosen("n", "a", &["x"]).as_deref(), Some("y"));
    assert!(
        chosen("n", "b", &["z"]).is_some(),
        "a candidate in another data centre"
    );
    assert!(chosen("n", "c", &[]).is_some());
    assert_eq!(chosen("n", "a", &["x", "y", "z"]), None);
    assert_eq!(
        chosen("x", "a", &[]),
        None,
        "a candidate reads the store itself"
    );
}

/// In a large cell the campaigns of nodes that are not candidates are spread over time.
#[test]
fn campaign_delay_many_non_candidates() {
    let nodes = large_cell(2_099);
    let candidates = choose_candidates(&nodes);
    let mut at_ms: BTreeMap<u64, usize> = BTreeMap::new();
    for (name, record) in &nodes {
        let draw = Duration::from_ms(stable_hash::stable_hash_below(name, 200));
        let delay = campaign_delay(name, record, &candidates, draw);
        *at_ms.entry(delay.as_ms()).or_default() += 1;
    }
    // Some two thousand nodes are spread over 200 ms.
    assert!(at_ms.values().all(|count| *count <= 40), "{at_ms:?}");
    assert_eq!(at_ms.first_key_value(), Some((&0, &1)));
}

/// At the first start of a cell there are no candidates: stronger nodes campaign first.
#[test]
fn campaign_delay_without_candidates() {
    let of = |cores_milli| campaign_delay("n", &record(cores_milli), &[], Duration::ZERO);
    assert_eq!(of(1000), Duration::ZERO);
    assert!(of(500) < of(120));
    assert!(of(120).as_ms() >= 300);
}
