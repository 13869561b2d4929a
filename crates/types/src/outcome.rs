//! The outcome of a request as reported to its caller.

use core::fmt;
use serde::{Deserialize, Serialize};

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran and the reply contains its complete result.
    Done,
    /// The request did not run and will not run.
    NotRun,
    /// The request may or may not have run.
    Unknown,
}

impl Outcome {
    /// Returns the name used on the wire.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
