//! What an owner knows of a recorded start beyond the log.

use ospreywing_types::Instant;

/// Reports of one open connection that lacked an attempt, one after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Absence {
    /// When the first came.
    pub since: Instant,
    /// When the last came; the next is asked for after it.
    pub last_at: Instant,
    /// How many there were.
    pub reports_count: u32,
}

impl Absence {
    /// Creates the absence that one report shows.
    pub const fn new(now: Instant) -> Self {
        Self {
            since: now,
            last_at: now,
            reports_count: 1,
        }
    }
}

/// Whether a recorded start has reached its worker.
///
/// Until it is resolved, a start counts as occupying its worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Presence {
    /// No start is on record.
    #[default]
    None,
    /// The record is not committed; nothing was sent.
    Recording,
    /// Sent over the worker's open connection; no answer yet.
    Sent,
    /// The worker said that it has it.
    Confirmed {
        /// When the worker's word came.
        since: Instant,
    },
    /// It may have been sent, by a former owner or over a connection that broke.
    Unconfirmed {
        /// Reports that lacked it, all after every sender had closed.
        absence: Option<Absence>,
    },
}

impl Presence {
    /// In doubt, with no report that lacks it.
    pub const UNCONFIRMED: Self = Self::Unconfirmed { absence: None };

    /// Returns whether the worker said that it has the attempt.
    pub const fn is_confirmed(&self) -> bool {
        matches!(self, Self::Confirmed { .. })
    }
}
