//! Time values that are passed to decision code, which never reads a clock.

use core::fmt;
use core::ops::{Add, Sub};
use serde::{Deserialize, Serialize};

/// A point in time in milliseconds, on a monotonic clock that also advances while
/// the machine is suspended.
///
/// The decision crates never read a clock: the daemon stamps each event with the
/// boot-time clock, and traces contain the instants as data.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Instant(u64);

/// A span of time in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Duration(u64);

impl Instant {
    /// Creates an instant from the milliseconds since the clock's origin.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms)
    }

    /// Returns the milliseconds since the clock's origin.
    pub const fn as_ms(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is after `self`.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration(self.0.saturating_sub(earlier.0))
    }
}

impl Duration {
    /// A duration of zero.
    pub const ZERO: Self = Self(0);

    /// Creates a duration from milliseconds.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms)
    }

    /// Creates a duration from seconds.
    pub const fn from_s(s: u64) -> Self {
        Self(s * 1000)
    }

    /// Returns the duration in milliseconds.
    pub const fn as_ms(self) -> u64 {
        self.0
    }

    /// Returns the duration in whole seconds, rounded up, at least one, as used in
    /// HTTP's `Retry-After` header.
    pub const fn as_retry_after_s(self) -> u64 {
        let s = self.0.div_ceil(1000);
        if s == 0 {
            1
        } else {
            s
        }
    }

    /// Returns the duration multiplied by `factor`, saturating at the maximum.
    pub const fn times(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.0))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration.0))
    }
}

impl Add for Duration {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl From<Duration> for core::time::Duration {
    fn from(duration: Duration) -> Self {
        Self::from_millis(duration.0)
    }
}

impl fmt::Display for Instant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl fmt::Display for Duration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}
