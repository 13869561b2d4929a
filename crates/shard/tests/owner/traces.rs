//! Runs each trace in `tests/traces` and checks its expected outcomes.

use rstest::rstest;
use std::path::PathBuf;

#[rstest]
fn run_trace_expected_outcomes(#[files("tests/traces/*.trace")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).expect("the trace can be read");
    if let Err(broken) = crate::support::script::run_trace(&text) {
        panic!("{}: {}", path.display(), broken.0);
    }
}
