//! The node's clocks.

use ospreywing_types::Instant;
use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the monotonic clock.
pub fn now() -> Instant {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    let ms = time.tv_sec as u64 * 1000 + time.tv_nsec as u64 / 1_000_000;
    Instant::from_ms(ms)
}

/// Returns the time of day in milliseconds since 1970; it may jump.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
