//! The ownership state of one shard at a node.

use ospreywing_shard::{Closing, Owner};
use ospreywing_types::Instant;

/// The ownership state of one shard at this daemon; the states recur.
#[derive(Clone, Debug, Default)]
pub(crate) enum ShardSlot {
    /// Not owned, and no claim is pending.
    #[default]
    Idle,
    /// A claim is pending.
    Claiming,
    /// The shard is owned.
    Owned(Box<Owner>),
    /// The shard is owned and being handed over.
    HandingOver {
        owner: Box<Owner>,
        since: Instant,
        /// Whether the owner's final commit was requested.
        is_finishing: bool,
    },
    /// The ownership ended, and starts may still be in flight.
    Closing(Closing),
    /// The shard was handed over, and its key is being vacated.
    Vacating { epoch: u64, asked_at: Instant },
}

impl ShardSlot {
    /// Returns the owner if the shard is owned.
    pub(crate) fn owner(&self) -> Option<&Owner> {
        match self {
            Self::Owned(owner) | Self::HandingOver { owner, .. } => Some(owner),
            Self::Idle | Self::Claiming | Self::Closing(_) | Self::Vacating { .. } => None,
        }
    }

    /// Returns the epoch that needs connections to the shard's workers.
    pub(crate) fn epoch(&self) -> Option<u64> {
        match self {
            Self::Owned(owner) | Self::HandingOver { owner, .. } => Some(owner.config().epoch),
            Self::Closing(closing) => Some(closing.epoch()),
            Self::Idle | Self::Claiming | Self::Vacating { .. } => None,
        }
    }

    /// Returns the owner for modification if the shard is owned.
    pub(crate) fn owner_mut(&mut self) -> Option<&mut Owner> {
        match self {
            Self::Owned(owner) | Self::HandingOver { owner, .. } => Some(owner),
            Self::Idle | Self::Claiming | Self::Closing(_) | Self::Vacating { .. } => None,
        }
    }
}
