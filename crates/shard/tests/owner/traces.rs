//! Plays each trace of `tests/traces` against its stated outcomes.

use rstest::rstest;
use std::path::PathBuf;

#[rstest]
fn trace_has_its_outcome(#[files("tests/traces/*.trace")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).expect("the trace can be read");
    if let Err(broken) = crate::support::script::run_script(&text) {
        panic!("{}: {}", path.display(), broken.0);
    }
}
