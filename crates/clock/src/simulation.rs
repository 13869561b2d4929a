//! A suspended machine, for tests: the clocks move on, the runtime's timers do not.

use ospreywing_types::Duration;
use std::cell::Cell;

thread_local! {
    /// For how long this thread has been suspended so far.
    static SUSPENDED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

/// Moves this thread's clocks on, as a suspend of so long does.
pub fn suspend(length: Duration) {
    SUSPENDED.set(SUSPENDED.get() + length);
}

pub(crate) fn suspended() -> Duration {
    SUSPENDED.get()
}
