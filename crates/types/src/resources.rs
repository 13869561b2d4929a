//! Amounts of CPU, memory and accelerators.

use core::fmt;
use core::ops::{Add, AddAssign, Sub, SubAssign};
use serde::{Deserialize, Serialize};

/// An amount of CPU, memory and accelerators: a demand or a capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// CPU, in thousandths of a core.
    pub cores_milli: u32,
    /// Memory, in mebibytes.
    pub memory_mib: u32,
    /// The number of accelerators.
    #[serde(default)]
    pub accelerators_count: u32,
}

impl Resources {
    /// Zero of each resource.
    pub const ZERO: Self = Self::new(0, 0, 0);

    /// Creates an amount from its parts.
    pub const fn new(cores_milli: u32, memory_mib: u32, accelerators_count: u32) -> Self {
        Self {
            cores_milli,
            memory_mib,
            accelerators_count,
        }
    }

    /// Returns whether this amount fits in `capacity`.
    pub const fn fits_in(&self, capacity: &Self) -> bool {
        self.cores_milli <= capacity.cores_milli
            && self.memory_mib <= capacity.memory_mib
            && self.accelerators_count <= capacity.accelerators_count
    }

    /// Returns `self - other`, or `None` if any resource would be negative.
    pub fn checked_sub(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cores_milli: self.cores_milli.checked_sub(other.cores_milli)?,
            memory_mib: self.memory_mib.checked_sub(other.memory_mib)?,
            accelerators_count: self
                .accelerators_count
                .checked_sub(other.accelerators_count)?,
        })
    }

    /// Returns the amount multiplied by `count`; each resource saturates at `u32::MAX`.
    pub const fn times(&self, count: u32) -> Self {
        Self {
            cores_milli: self.cores_milli.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            accelerators_count: self.accelerators_count.saturating_mul(count),
        }
    }

    /// Returns the maximum of both amounts for each resource.
    pub fn max(&self, other: Self) -> Self {
        Self {
            cores_milli: self.cores_milli.max(other.cores_milli),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators_count: self.accelerators_count.max(other.accelerators_count),
        }
    }

    /// Returns whether every resource is zero.
    pub fn is_zero(&self) -> bool {
        *self == Self::ZERO
    }
}

impl Add for Resources {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            cores_milli: self.cores_milli.saturating_add(other.cores_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators_count: self
                .accelerators_count
                .saturating_add(other.accelerators_count),
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Resources {
    type Output = Self;

    /// Subtracts `other`; each resource saturates at zero.
    fn sub(self, other: Self) -> Self {
        Self {
            cores_milli: self.cores_milli.saturating_sub(other.cores_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators_count: self
                .accelerators_count
                .saturating_sub(other.accelerators_count),
        }
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}m/{}MiB/{}acc",
            self.cores_milli, self.memory_mib, self.accelerators_count
        )
    }
}
