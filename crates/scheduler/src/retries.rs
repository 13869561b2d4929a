//! Retry budgets for unanswered calls.

use ospreywing_types::RetryBudget;

/// The retries of a full budget. They last about ten seconds when a fault loses the answers
/// to a third of 40 starts a second.
const FULL_COUNT: u32 = 100;
/// The budget earned by each first call, in hundredths of a retry. At this rate at most a
/// fifth of all calls are retries.
const EARNED_PERCENT: u32 = 25;

/// The retry budget of one kind of call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Retries(RetryBudget);

impl Default for Retries {
    fn default() -> Self {
        Self(RetryBudget::new(FULL_COUNT))
    }
}

impl Retries {
    /// Records a first call.
    pub(crate) fn record_first_call(&mut self) {
        self.0.earn(EARNED_PERCENT);
    }

    /// Spends one retry; returns whether the budget allowed it.
    pub(crate) const fn spend(&mut self) -> bool {
        self.0.spend()
    }
}

/// The retry budgets of a leader. Each kind of call has its own, so that failures of one
/// kind leave the others' retries available.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RetryBudgets {
    pub(crate) starts: Retries,
    pub(crate) polls: Retries,
    pub(crate) advice: Retries,
}
