//! The clock that events are stamped with.

use ospreywing_types::Instant;
use rustix::time::{clock_gettime, ClockId};

/// Returns the time since the machine's start, time in suspend included.
pub fn now() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    let ms = time.tv_sec as u64 * 1000 + time.tv_nsec as u64 / 1_000_000;
    Instant::from_ms(ms)
}
