//! What an owner knows of a recorded start beyond the log.

use ospreywing_types::Instant;

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
    InDoubt {
        /// When a report first lacked it after every sender had closed.
        absent_since: Option<Instant>,
    },
}

impl Presence {
    /// In doubt, with no report that lacks it.
    pub const IN_DOUBT: Self = Self::InDoubt { absent_since: None };

    /// Returns whether the worker said that it has the attempt.
    pub const fn is_confirmed(&self) -> bool {
        matches!(self, Self::Confirmed { .. })
    }
}
