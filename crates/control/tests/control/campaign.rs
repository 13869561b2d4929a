//! Who stands first.

use ospreywing_control::election::{campaign_delay, is_much_weaker, NodeRecord};
use rstest::rstest;
use std::collections::BTreeMap;

fn record(cores_milli: u32) -> NodeRecord {
    NodeRecord {
        address: "10.0.0.1:1".to_owned(),
        cores_milli,
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
