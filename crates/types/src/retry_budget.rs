//! A limit on the additional load that retries cause.

/// The cost of one retry, in hundredths of a retry.
const RETRY_COST_CENTI: u32 = 100;

/// A token bucket for retries: each first call adds a fraction of a retry, and each
/// retry uses up one.
///
/// When all calls fail at once, as they do when the network or the caller itself is
/// overloaded, unlimited retries would multiply the load that made the calls fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    remaining_centi: u32,
    max_centi: u32,
}

impl RetryBudget {
    /// Creates a full budget of `max_retries_count` retries.
    pub const fn new(max_retries_count: u32) -> Self {
        let max_centi = max_retries_count * RETRY_COST_CENTI;
        Self {
            remaining_centi: max_centi,
            max_centi,
        }
    }

    /// Adds `percent` hundredths of a retry for a first call, up to the full budget.
    pub fn earn(&mut self, percent: u32) {
        self.remaining_centi = (self.remaining_centi + percent).min(self.max_centi);
    }

    /// Uses up one retry and returns true, or returns false if less than one is left.
    pub const fn spend(&mut self) -> bool {
        let has_one = self.remaining_centi >= RETRY_COST_CENTI;
        if has_one {
            self.remaining_centi -= RETRY_COST_CENTI;
        }
        has_one
    }
}
