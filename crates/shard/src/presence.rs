//! An owner's knowledge of whether a recorded start has reached its worker.
//!
//! It is kept in memory only.

use ospreywing_types::Instant;

/// Successive reports over one open connection that did not list an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Absence {
    /// When the first of them was received.
    pub since: Instant,
    /// When the last of them was received; a report counts only if it was
    /// requested after that.
    pub last_at: Instant,
    /// The number of such reports.
    pub reports_count: u32,
}

impl Absence {
    /// Creates the absence after a first report, received at `now`.
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
/// Until it is resolved, a start occupies capacity of its worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Presence {
    /// No start is recorded.
    #[default]
    None,
    /// The record is not committed yet; the start was not sent.
    Recording,
    /// The start was sent over the worker's open connection and not answered yet.
    Sent,
    /// The worker acknowledged the attempt or listed it in a report.
    Confirmed {
        /// When the acknowledgement or report was received.
        since: Instant,
    },
    /// The start may have been sent, by a former owner or over a connection that
    /// broke.
    Unconfirmed {
        /// Reports that did not list it, received after the epoch that recorded
        /// the start was closed.
        absence: Option<Absence>,
    },
}

impl Presence {
    /// Unconfirmed, with no report yet that does not list the attempt.
    pub const UNCONFIRMED: Self = Self::Unconfirmed { absence: None };

    /// Returns whether the worker confirmed that it has the attempt.
    pub const fn is_confirmed(&self) -> bool {
        matches!(self, Self::Confirmed { .. })
    }
}
