//! The clocks of the stand-ins.

use rustix::time::{clock_gettime, ClockId};

/// Returns the milliseconds since the machine's start, time in suspend included.
///
/// All stand-ins of one machine share it, so their records can be compared.
pub fn now_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1000 + time.tv_nsec as u64 / 1_000_000
}
