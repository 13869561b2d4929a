//! Errors of traces.

use thiserror::Error;

/// The reason why a trace is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TraceError {
    /// The first line does not contain the name and version of the format.
    #[error("line 1: must be {expected:?}")]
    Format {
        /// The expected line.
        expected: &'static str,
    },
    /// A line can't be parsed or is out of order.
    #[error("line {line}: {reason}")]
    Line {
        /// The line number, starting at 1.
        line: usize,
        /// The reason.
        reason: String,
    },
}
