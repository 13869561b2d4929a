//! Scheduling features that operators can switch off one by one, to measure the effect of
//! each.

use std::str::FromStr;
use thiserror::Error;

/// A feature that can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feature {
    /// Only runs use up customers' limits: a gang that waits for its customer's limit
    /// reserves it, and short work is backfilled.
    Backfill,
    /// The scheduler learns durations of tasks and speeds of workers.
    Learning,
    /// Under overload, jobs that can still be on time go first, selected so that the fewest
    /// are late.
    OverloadOrder,
    /// Scarce capacity is shared between customers by their dominant resources.
    FairShares,
    /// Jobs that can't complete in time are rejected at once.
    Admission,
    /// Tasks are packed by the scarcest resource.
    Packing,
    /// Candidates probe the leader, and evict an unresponsive one before its lease expires.
    LeaderProbes,
}

/// The error for a name that isn't a feature's.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("unknown feature {0}: expected one of {names}", names = Feature::ALL.map(Feature::as_str).join(", "))]
pub struct UnknownFeature(String);

impl Feature {
    /// All features.
    pub const ALL: [Self; 7] = [
        Self::Backfill,
        Self::Learning,
        Self::OverloadOrder,
        Self::FairShares,
        Self::Admission,
        Self::Packing,
        Self::LeaderProbes,
    ];

    /// Returns the name of the feature in settings.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Backfill => "backfill",
            Self::Learning => "learning",
            Self::OverloadOrder => "overload-order",
            Self::FairShares => "fair-shares",
            Self::Admission => "admission",
            Self::Packing => "packing",
            Self::LeaderProbes => "leader-probes",
        }
    }
}

impl FromStr for Feature {
    type Err = UnknownFeature;

    fn from_str(name: &str) -> Result<Self, UnknownFeature> {
        let mut all = Self::ALL.into_iter();
        let found = all.find(|feature| feature.as_str() == name);
        found.ok_or_else(|| UnknownFeature(name.to_owned()))
    }
}

/// The enabled features.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Features {
    bits: u8,
}

impl Default for Features {
    /// Returns all features.
    fn default() -> Self {
        Self::all()
    }
}

impl Features {
    /// Returns all features.
    pub const fn all() -> Self {
        Self { bits: u8::MAX }
    }

    /// Returns the features without one.
    pub const fn without(self, feature: Feature) -> Self {
        Self {
            bits: self.bits & !(1 << feature as u8),
        }
    }

    /// Returns whether a feature is enabled.
    pub const fn has(self, feature: Feature) -> bool {
        self.bits & (1 << feature as u8) != 0
    }
}
