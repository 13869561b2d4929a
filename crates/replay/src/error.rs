//! Errors of a trace.

use thiserror::Error;

/// What is wrong with a trace.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TraceError {
    /// The first line is not the format's name and version.
    #[error("line 1: must be {expected:?}")]
    Format {
        /// The line expected.
        expected: &'static str,
    },
    /// A line can't be read.
    #[error("line {line}: {reason}")]
    Line {
        /// The line, from one.
        line: usize,
        /// What is wrong with it.
        reason: String,
    },
}
