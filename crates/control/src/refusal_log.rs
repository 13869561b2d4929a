//! Counts what clients are refused for lack of resources, and bounds the log lines about it.

use ospreywing_types::{Duration, Instant};

/// The shortest time between two log lines for one reason.
const LOG_PERIOD: Duration = Duration::from_s(10);

/// Why a client's connection or request was refused for lack of resources.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// A connection that waited for its client was closed in favour of a new one.
    ConnectionDisplaced,
    /// A new connection was closed, since all connections handle requests.
    ConnectionRefused,
    /// A body that arrived slowly was dropped, and its connection closed, in favour of another.
    BodyDisplaced,
    /// A request was refused, since there was no room for its body.
    BodyRefused,
    /// A request was refused, since others took too long to be handled.
    RequestRefused,
    /// A large job was refused, since the leader has no room for it.
    JobRefused,
    /// A connection could not be accepted.
    AcceptFailed,
}

impl Refusal {
    /// The number of reasons.
    pub const COUNT: usize = 7;

    /// Returns the name of the reason in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ConnectionDisplaced => "connection displaced",
            Self::ConnectionRefused => "connection refused",
            Self::BodyDisplaced => "body displaced",
            Self::BodyRefused => "body refused",
            Self::RequestRefused => "request refused",
            Self::JobRefused => "large job refused",
            Self::AcceptFailed => "accept failed",
        }
    }
}

/// The refusals of one reason.
#[derive(Clone, Copy, Debug, Default)]
struct Unlogged {
    count: u64,
    logged_at: Option<Instant>,
}

/// Decides which refusals are logged: the first of each reason, then one line per
/// [`LOG_PERIOD`] with the number since the line before.
#[derive(Debug, Default)]
pub struct RefusalLog {
    reasons: [Unlogged; Refusal::COUNT],
}

impl RefusalLog {
    /// Records a refusal; returns the number of refusals to log, if a line is due.
    pub fn record(&mut self, now: Instant, refusal: Refusal) -> Option<u64> {
        let unlogged = &mut self.reasons[refusal as usize];
        unlogged.count += 1;
        let is_early = |at: Instant| now.since(at) < LOG_PERIOD;
        if unlogged.logged_at.is_some_and(is_early) {
            return None;
        }
        unlogged.logged_at = Some(now);
        Some(core::mem::take(&mut unlogged.count))
    }
}
