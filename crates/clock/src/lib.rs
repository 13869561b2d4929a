//! The clocks of a process.
//!
//! The kernel's monotonic clock stops while the machine is suspended. A leader that measured
//! its lease with that clock would still consider itself the leader after a resume. All
//! deadlines therefore use the boot-time clock, which keeps running.

use ospreywing_types::Instant;
use rustix::time::{clock_gettime, ClockId};
use std::time::{SystemTime, UNIX_EPOCH};

#[cfg(feature = "simulation")]
pub mod simulation;

/// Returns the time since the machine booted, including time in suspend.
pub fn now() -> Instant {
    stopped_at().unwrap_or_else(boot_time) + suspended()
}

fn boot_time() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    let ms = time.tv_sec as u64 * 1000 + time.tv_nsec as u64 / 1_000_000;
    Instant::from_ms(ms)
}

/// Returns the wall-clock time in milliseconds since 1970. It may jump.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64) + suspended().as_ms()
}

#[cfg(feature = "simulation")]
fn suspended() -> ospreywing_types::Duration {
    simulation::suspended()
}

#[cfg(feature = "simulation")]
fn stopped_at() -> Option<Instant> {
    simulation::stopped_at()
}

#[cfg(not(feature = "simulation"))]
const fn suspended() -> ospreywing_types::Duration {
    ospreywing_types::Duration::ZERO
}

#[cfg(not(feature = "simulation"))]
const fn stopped_at() -> Option<Instant> {
    None
}
