//! Tests of the trace parser, and replays of the sample traces with expected results.

use ospreywing_replay::{replay_first_fit, replay_trace, ReplayReport, Trace};
use ospreywing_table::from_csv;
use rstest::rstest;

const SWARAMALA: &str = include_str!("../../../examples/traces/swaramala.trace");
const GALLERY: &str = include_str!("../../../examples/traces/gallery.trace");
const LETTER: &str = include_str!("../../../examples/traces/letter.trace");
const SWARAMALA_TABLE: &str = include_str!("../../../examples/swaramala.csv");
const GALLERY_TABLE: &str = include_str!("../../../examples/gallery.csv");
const LETTER_TABLE: &str = include_str!("../../../examples/letter.csv");

#[rstest]
#[case::no_format("0 worker w r 1 1 0\n", "line 1: must be \"ospreywing-trace 1\"")]
#[case::other_version("ospreywing-trace 2\n", "line 1: must be")]
#[case::no_event("ospreywing-trace 1\n5 jump\n", "line 2: \"jump\": no such event")]
#[case::time("ospreywing-trace 1\nx lost w\n", "line 2: time: \"x\"")]
#[case::order("ospreywing-trace 1\n5 lost w\n\n4 lost w\n", "line 4: 4 ms is before")]
#[case::fields("ospreywing-trace 1\n5 task k r 1\n", "line 2: \"task\"")]
#[case::number(
    "ospreywing-trace 1\n5 task k r 1 -1 0 9\n",
    "line 2: memory_mib: \"-1\""
)]
#[case::name("ospreywing-trace 1\n5 lost a/b\n", "line 2: name: \"a/b\"")]
fn parse_names_invalid_line(#[case] text: &str, #[case] expected: &str) {
    let error = Trace::parse(text).expect_err("the trace is invalid");
    assert!(error.to_string().starts_with(expected), "{error}");
}

fn replay(trace: &str, table: &str) -> ReplayReport {
    let trace = Trace::parse(trace).expect("the trace is valid");
    let table = from_csv(table).expect("the table is valid");
    replay_trace(&trace, &table)
}

#[rstest]
#[case::swaramala(SWARAMALA, SWARAMALA_TABLE)]
#[case::gallery(GALLERY, GALLERY_TABLE)]
#[case::letter(LETTER, LETTER_TABLE)]
fn replay_trace_sample_keeps_invariants(#[case] trace: &str, #[case] table: &str) {
    let report = replay(trace, table);
    assert!(report.tasks > 1000, "{report:?}");
    assert_eq!(report.refused, 0);
    assert_eq!(report.lost, 0);
    assert_eq!(report.run_twice, 0);
    assert_eq!(report.overcommits, 0);
    assert!(report.packing_ratio <= report.packing_bound_ratio + 1e-9);
}

#[test]
fn replay_trace_is_deterministic() {
    let (first, second) = (
        replay(GALLERY, GALLERY_TABLE),
        replay(GALLERY, GALLERY_TABLE),
    );
    assert_eq!(first.wait_ms, second.wait_ms);
    assert_eq!(first.wait_by_row, second.wait_by_row);
    assert_eq!(first.packing, second.packing);
    assert_eq!(first.length_ms, second.length_ms);
}

#[test]
fn replay_trace_waiting_row_does_not_delay_others() {
    let report = replay(GALLERY, GALLERY_TABLE);
    let baseline = replay_first_fit(&Trace::parse(GALLERY).expect("the trace is valid"));
    let longest = |report: &ReplayReport, row: &str| {
        let mut rows = report.wait_by_row.iter();
        let row = rows.find(|wait| wait.row == row).expect("the row is there");
        row.wait_ms.max
    };
    // Albums wait for accelerators. Bundles need none and must not wait behind them.
    assert!(longest(&report, "guest-bundle") < 1000.0);
    assert!(longest(&baseline, "guest-bundle") > 60_000.0);
}

const TINY: &str = "ospreywing-trace 1
0 worker w0 r0 4000 4096 0
0 worker w1 r1 4000 4096 0
1000 task a plan 4000 1024 0 60000
1000 task b plan 4000 1024 0 60000
5000 task c plan 4000 1024 0 1000
9000 lost w0
20000 back w0
";

#[test]
fn replay_trace_lost_worker_restarts_task() {
    let report = replay(TINY, "row,kind\nplan,batch\n");
    assert_eq!(report.restarted, 1);
    assert_eq!(report.lost, 0);
    assert_eq!(report.run_twice, 0);
}

#[test]
fn replay_trace_row_not_in_table_is_refused() {
    let report = replay(TINY, "row,kind\nother,batch\n");
    assert_eq!(report.refused, 3);
    assert_eq!(report.lost, 0);
}
