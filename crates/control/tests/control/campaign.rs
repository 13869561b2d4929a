//! Who stands first.

use ospreywing_control::election::{
    campaign_delay, has_stronger_joined, is_much_weaker, CellView, NodeRecord,
};
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

/// Found on the grown swaramala-ow's scale-2: a node of 0.12 cores was elected
/// beside nodes of 0.5, and could not read the store's pages in time.
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
    let first = campaign_delay(first, &record(first_cores), &nodes());
    let second = campaign_delay(second, &record(second_cores), &nodes());
    assert!(first < second);
}

#[test]
fn campaign_delay_much_weaker_waits_for_all() {
    let strong = campaign_delay("b", &record(500), &nodes());
    let weak = campaign_delay("c", &record(120), &nodes());
    assert!(weak.as_ms() >= strong.as_ms() + 300);
}

#[rstest]
#[case::strong(500, false)]
#[case::nearly(300, false)]
#[case::weak(120, true)]
fn is_much_weaker_than_the_strongest(#[case] cores_milli: u32, #[case] expected: bool) {
    assert_eq!(is_much_weaker(&record(cores_milli), &nodes()), expected);
}

/// Found on the grown swaramala-ow's scale-2: every strong node was killed or
/// cut off at once; a weak one was elected 10 ms before they were back, and
/// led for 7 s.
#[rstest]
#[case::strong_since("a", 41, true)]
#[case::strong_before_may_be_gone("a", 39, false)]
#[case::as_weak_since("d", 41, false)]
fn has_stronger_joined_since_election(
    #[case] name: &str,
    #[case] registered: u64,
    #[case] expected: bool,
) {
    let view = CellView {
        nodes: nodes(),
        registered: [(name.to_owned(), registered)].into(),
        ..CellView::default()
    };
    assert_eq!(has_stronger_joined(&record(120), &view, 40), expected);
}
