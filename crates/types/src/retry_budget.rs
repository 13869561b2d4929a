//! A bound on how much load retries may add.

/// What one retry costs, in hundredths.
const RETRY_COST_CENTI: u32 = 100;

/// A token bucket: each first call earns a part of a retry, each retry spends one.
///
/// When everything fails at once, as calls do where a network or the caller itself is
/// overloaded, retries without such a bound multiply the load that made them fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    remaining_centi: u32,
    max_centi: u32,
}

impl RetryBudget {
    /// Creates a full budget of so many retries.
    pub const fn new(max_retries_count: u32) -> Self {
        let max_centi = max_retries_count * RETRY_COST_CENTI;
        Self {
            remaining_centi: max_centi,
            max_centi,
        }
    }

    /// Adds what a first call earns, in hundredths of a retry.
    pub fn earn(&mut self, percent: u32) {
        self.remaining_centi = (self.remaining_centi + percent).min(self.max_centi);
    }

    /// Takes one retry; returns whether there was one.
    pub const fn spend(&mut self) -> bool {
        let has_one = self.remaining_centi >= RETRY_COST_CENTI;
        if has_one {
            self.remaining_centi -= RETRY_COST_CENTI;
        }
        has_one
    }
}
