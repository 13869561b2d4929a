//! The identity of a worker's incarnation.

use serde::{Deserialize, Serialize};

/// An incarnation of a worker, identified by its start time as the worker reports it, in
/// milliseconds since the Unix epoch.
///
/// A worker may restart under the same id. It then has no state from before, and its clock
/// and the numbers of its ends start anew. Different start times mean different
/// incarnations, but not which one is later, since the wall clock may be set back or ahead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Creates an incarnation from a start time in milliseconds since the Unix epoch.
    pub const fn from_ms(wall_ms: u64) -> Self {
        Self(wall_ms)
    }

    /// Returns the start time in milliseconds since the Unix epoch.
    pub const fn as_ms(self) -> u64 {
        self.0
    }
}
