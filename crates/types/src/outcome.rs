//! What a caller is told about its request.

use core::fmt;
use serde::{Deserialize, Serialize};

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran and its whole answer is given.
    Done,
    /// The request certainly did not run and will not run.
    NotRun,
    /// Whether the request ran can't be proved.
    Unknown,
}

impl Outcome {
    /// Returns the word used on the wire.
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
