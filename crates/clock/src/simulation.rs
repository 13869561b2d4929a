//! Control of the clocks in tests: advances them as a suspend does, or stops them. The timers
//! of the runtime are not affected.

use ospreywing_types::{Duration, Instant};
use std::cell::Cell;

thread_local! {
    /// The total simulated time in suspend of this thread.
    static SUSPENDED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    /// The time at which this thread's clock is stopped, if it is.
    static STOPPED_AT: Cell<Option<Instant>> = const { Cell::new(None) };
}

/// Advances this thread's clocks as a suspend of `duration` does.
pub fn suspend(duration: Duration) {
    SUSPENDED.set(SUSPENDED.get() + duration);
}

pub(crate) fn suspended() -> Duration {
    SUSPENDED.get()
}

/// Stops [`now`](crate::now) on this thread, so that everything that follows happens within
/// one millisecond. [`suspend`] still advances it.
pub fn stop() {
    STOPPED_AT.set(Some(crate::boot_time()));
}

pub(crate) fn stopped_at() -> Option<Instant> {
    STOPPED_AT.get()
}
