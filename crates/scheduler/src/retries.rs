//! Budgets of what is sent again where no answer came.

use ospreywing_types::RetryBudget;

/// The retries of a full budget. A judgement: a fault that loses the answers of a third of
/// 40 starts a second uses them up in some ten seconds.
const FULL_COUNT: u32 = 100;
/// What each first call earns, in hundredths of a retry. A judgement: of what is sent, a
/// fifth at most is sent again.
const EARNED_PERCENT: u32 = 25;

/// The retries of one kind of call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Retries(RetryBudget);

impl Default for Retries {
    fn default() -> Self {
        Self(RetryBudget::new(FULL_COUNT))
    }
}

impl Retries {
    /// Notes a first call.
    pub(crate) fn record_first_call(&mut self) {
        self.0.earn(EARNED_PERCENT);
    }

    /// Returns whether one more call may be sent again.
    pub(crate) const fn spend(&mut self) -> bool {
        self.0.spend()
    }
}

/// The budgets of a leader. Each kind of call has its own, so that one which fails leaves
/// the others theirs.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RetryBudgets {
    pub(crate) starts: Retries,
    pub(crate) polls: Retries,
    pub(crate) advice: Retries,
}
