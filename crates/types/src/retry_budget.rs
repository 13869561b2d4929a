//! A bound on how much load retries may add.

/// What one retry costs, in hundredths.
const RETRY_CENTI: u32 = 100;

/// A token bucket: each first call earns a part of a retry, each retry spends one.
///
/// When everything fails at once, as calls do where a network or the caller itself is
/// overloaded, retries without such a bound multiply the load that made them fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    left_centi: u32,
    full_centi: u32,
}

impl RetryBudget {
    /// Creates a full budget of so many retries.
    pub const fn new(full_count: u32) -> Self {
        let full_centi = full_count * RETRY_CENTI;
        Self {
            left_centi: full_centi,
            full_centi,
        }
    }

    /// Adds what a first call earns, in hundredths of a retry.
    pub fn earn(&mut self, percent: u32) {
        self.left_centi = (self.left_centi + percent).min(self.full_centi);
    }

    /// Takes one retry; returns whether there was one.
    pub const fn spend(&mut self) -> bool {
        let has_one = self.left_centi >= RETRY_CENTI;
        if has_one {
            self.left_centi -= RETRY_CENTI;
        }
        has_one
    }
}
