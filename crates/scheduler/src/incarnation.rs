//! The start of a worker's life.

use serde::{Deserialize, Serialize};

/// When a worker has started, in milliseconds since 1970, as the worker tells it.
///
/// A worker may start again under the id that it had. It then knows nothing of before, and
/// its clock and the numbers of its ends begin anew. Two starts that differ are two lives;
/// which one is the later they don't tell, since the time of day is set back and ahead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Creates a start from milliseconds since 1970.
    pub const fn from_ms(wall_ms: u64) -> Self {
        Self(wall_ms)
    }

    /// Returns the milliseconds since 1970.
    pub const fn as_ms(self) -> u64 {
        self.0
    }
}
