//! The instant that decision code is given in place of a clock.

use core::fmt;
use core::ops::{Add, Sub};
use serde::{Deserialize, Serialize};

/// A point on a monotonic clock that runs through a suspend, in milliseconds.
///
/// The decision crates never read a clock. The daemon stamps each event with
/// the boot-time clock, and traces carry the instant as data.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Instant(u64);

/// A length of time in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Duration(u64);

impl Instant {
    /// Creates an instant from milliseconds since the clock's start.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms)
    }

    /// Returns the milliseconds since the clock's start.
    pub const fn as_ms(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero where `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration(self.0.saturating_sub(earlier.0))
    }
}

impl Duration {
    /// No time at all.
    pub const ZERO: Self = Self(0);

    /// Creates a length from milliseconds.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms)
    }

    /// Creates a length from seconds.
    pub const fn from_s(s: u64) -> Self {
        Self(s * 1000)
    }

    /// Returns the length in milliseconds.
    pub const fn as_ms(self) -> u64 {
        self.0
    }

    /// Returns the length in whole seconds, rounded up and at least one.
    ///
    /// This is the unit of HTTP's `Retry-After`.
    pub const fn as_retry_after_s(self) -> u64 {
        let s = self.0.div_ceil(1000);
        if s == 0 {
            1
        } else {
            s
        }
    }

    /// Returns the length multiplied by `factor`.
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
