//! Clocks that tests set: they move on as in a suspend, or stand still, while the
//! runtime's timers do neither.

use ospreywing_types::{Duration, Instant};
use std::cell::Cell;

thread_local! {
    /// For how long this thread has been suspended so far.
    static SUSPENDED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    /// Where this thread's clock stands still.
    static STOPPED_AT: Cell<Option<Instant>> = const { Cell::new(None) };
}

/// Moves this thread's clocks on, as a suspend of so long does.
pub fn suspend(length: Duration) {
    SUSPENDED.set(SUSPENDED.get() + length);
}

pub(crate) fn suspended() -> Duration {
    SUSPENDED.get()
}

/// Has [`now`](crate::now) stand still on this thread, but for what [`suspend`] adds: all
/// that follows happens within one millisecond.
pub fn stop() {
    STOPPED_AT.set(Some(crate::boot_time()));
}

pub(crate) fn stopped_at() -> Option<Instant> {
    STOPPED_AT.get()
}
