//! Decisions under load that operators can switch off one by one, to measure what each is
//! worth.

use std::str::FromStr;
use thiserror::Error;

/// A decision that can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feature {
    /// Customers' limits are used up by what runs alone; a gang that waits for its limit
    /// reserves it, and short work passes.
    Backfill,
    /// Lengths of tasks and speeds of workers are learned.
    Learning,
    /// Under overload, room goes first to what can still be in time, by its worth for the
    /// room that it takes.
    OverloadOrder,
    /// Room that is short is shared among customers by their dominant resources.
    FairShares,
    /// Jobs that can't be done in time are refused at once.
    Admission,
    /// Tasks are packed by the resource that is scarcest.
    Packing,
    /// Candidates probe the leader, and evict one that is silent before its lease is over.
    LeaderProbes,
}

/// No feature has this name.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0} is none of {names}", names = Feature::ALL.map(Feature::as_str).join(", "))]
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

    /// Returns the name for settings.
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

/// The features that are on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Features {
    bits: u8,
}

impl Default for Features {
    /// Returns all of them.
    fn default() -> Self {
        Self::all()
    }
}

impl Features {
    /// Returns all of them.
    pub const fn all() -> Self {
        Self { bits: u8::MAX }
    }

    /// Returns the same without one.
    pub const fn without(self, feature: Feature) -> Self {
        Self {
            bits: self.bits & !(1 << feature as u8),
        }
    }

    /// Returns whether a feature is on.
    pub const fn has(self, feature: Feature) -> bool {
        self.bits & (1 << feature as u8) != 0
    }
}
