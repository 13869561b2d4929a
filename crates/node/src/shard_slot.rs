//! What a node has to do with one shard.

use ospreywing_shard::{Closing, Owner};
use ospreywing_types::Instant;

/// The life of a shard at one daemon, over and over.
#[derive(Clone, Debug, Default)]
pub(crate) enum ShardSlot {
    /// Nothing.
    #[default]
    Idle,
    /// Its claim is under way.
    Claiming,
    /// It is owned.
    Owned(Box<Owner>),
    /// It is owned and to be given up.
    HandingOver {
        owner: Box<Owner>,
        since: Instant,
        /// Whether the last commit was made.
        is_finishing: bool,
    },
    /// It was owned, and starts may be on their way.
    Closing(Closing),
    /// It was given up, and its key is to say so.
    Vacating { epoch: u64, asked_at: Instant },
}

impl ShardSlot {
    /// Returns the owner, where the shard is owned.
    pub(crate) fn owner(&self) -> Option<&Owner> {
        match self {
            Self::Owned(owner) | Self::HandingOver { owner, .. } => Some(owner),
            Self::Idle | Self::Claiming | Self::Closing(_) | Self::Vacating { .. } => None,
        }
    }

    /// Returns the epoch under which connections to workers are needed.
    pub(crate) fn epoch(&self) -> Option<u64> {
        match self {
            Self::Owned(owner) | Self::HandingOver { owner, .. } => Some(owner.config().epoch),
            Self::Closing(closing) => Some(closing.epoch()),
            Self::Idle | Self::Claiming | Self::Vacating { .. } => None,
        }
    }

    /// Returns the owner to be changed, where the shard is owned.
    pub(crate) fn owner_mut(&mut self) -> Option<&mut Owner> {
        match self {
            Self::Owned(owner) | Self::HandingOver { owner, .. } => Some(owner),
            Self::Idle | Self::Claiming | Self::Closing(_) | Self::Vacating { .. } => None,
        }
    }
}
