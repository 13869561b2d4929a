//! Entries of the box list that another program wrote.

use crate::cell::Cell;
use ospreywing_daemon::box_entries::parse_boxes;
use ospreywing_standin::faults::PlatformFaults;
use ospreywing_types::{BoxFacts, BoxKind, BoxState, Name, Resources};
use rstest::rstest;

/// The depth of a nested value.
const DEPTH: usize = 4000;

fn worker_entry() -> String {
    entry("worker", "127.0.0.1:7001", &resources("4000"))
}

fn resources(cores: &str) -> String {
    format!(r#"{{"cores_milli":{cores},"memory_mib":0,"accelerators_count":0}}"#)
}

fn entry(kind: &str, addr: &str, resources: &str) -> String {
    format!(
        r#"{{"name":"odd","kind":"{kind}","state":"live","addr":"{addr}","data_centre":"dc-a","rack":"r","resources":{resources}}}"#
    )
}

fn nested() -> String {
    "[".repeat(DEPTH) + &"]".repeat(DEPTH)
}

/// Returns the usable entry with another field, which daemons don't know.
fn with_unknown_field(value: &str) -> String {
    worker_entry().replacen('{', &format!(r#"{{"note":{value},"#), 1)
}

/// Guards against one odd entry that keeps a daemon from following the whole list.
#[rstest]
#[case::nested_entry(nested())]
#[case::nested_field(entry("worker", "127.0.0.1:7001", &nested()))]
#[case::number_too_large(entry("worker", "127.0.0.1:7001", &resources("4294967296")))]
#[case::number_below_zero(entry("worker", "127.0.0.1:7001", &resources("-1")))]
#[case::number_beyond_floats(entry("worker", "127.0.0.1:7001", &resources("1e400")))]
#[case::port_out_of_range(entry("worker", "127.0.0.1:99999", &resources("1")))]
#[case::port_zero(entry("minion", "127.0.0.1:0", &resources("1")))]
#[case::no_address(entry("minion", "", &resources("1")))]
#[case::unknown_kind(entry("printer", "127.0.0.1:7001", &resources("1")))]
#[case::no_object("7".to_owned())]
#[case::null("null".to_owned())]
fn parse_boxes_unusable_entry(#[case] odd: String) {
    let list = format!("[{odd},{}]", worker_entry());
    let entries = parse_boxes(list.as_bytes()).expect("a list");
    let indices: Vec<usize> = entries.unusable.iter().map(|error| error.index).collect();
    assert_eq!(indices, [0]);
    assert_eq!(entries.boxes, [usable()]);
}

#[rstest]
#[case::nested(with_unknown_field(&nested()))]
#[case::number(with_unknown_field("1e400"))]
fn parse_boxes_odd_value_in_unknown_field(#[case] odd: String) {
    let entries = parse_boxes(format!("[{odd}]").as_bytes()).expect("a list");
    assert_eq!(entries.boxes, [usable()]);
}

#[test]
fn parse_boxes_entry_with_invalid_bytes() {
    let mut list = format!("[{},", worker_entry()).into_bytes();
    list.extend(b"\"\xff\xfe\"]");
    let entries = parse_boxes(&list).expect("a list");
    assert_eq!(entries.boxes, [usable()]);
    assert_eq!(entries.unusable.len(), 1);
}

#[rstest]
#[case::cut_off(b"[1,")]
#[case::object(b"{}")]
#[case::empty(b"")]
fn parse_boxes_no_list(#[case] body: &[u8]) {
    assert!(parse_boxes(body).is_err());
}

fn usable() -> BoxFacts {
    let name = |text: &str| Name::new(text).expect("a name");
    BoxFacts {
        name: name("odd"),
        kind: BoxKind::Worker,
        state: BoxState::Live,
        addr: "127.0.0.1:7001".to_owned(),
        data_centre: name("dc-a"),
        rack: name("r"),
        resources: Resources::new(4000, 0, 0),
        serves: Vec::new(),
    }
}

/// Daemons go on following the list, and serving, beside odd entries of another program.
#[test]
fn box_list_followed_beside_foreign_entries() {
    const DAEMONS_COUNT: usize = 2;
    let cell = Cell::new(DAEMONS_COUNT);
    let faults = PlatformFaults {
        foreign_boxes: vec![
            nested(),
            entry("worker", "127.0.0.1:99999", &resources("4294967296")),
        ],
        ..PlatformFaults::default()
    };
    cell.set_faults(&cell.platform_addr, &faults);
    cell.start_worker_host("late");
    cell.wait_for("the new workers are known", |cell| {
        let is_late = |facts: &BoxFacts| facts.name.as_str().starts_with("late");
        let knows_late = |daemon: usize| cell.boxes(daemon).iter().any(is_late);
        (0..DAEMONS_COUNT).all(knows_late)
    });
    let drive = cell.drive("odd");
    let report = cell.wait_for_drive(drive);
    cell.assert_clean(&report);
}
