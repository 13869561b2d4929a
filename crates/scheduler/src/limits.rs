//! Customers' limits, as a scheduling cycle keeps them.
//!
//! Steps are looked at in the order in which they are served. What one of them waits for
//! is taken off what its customer may still start, so that those behind it neither ask
//! advisers nor keep room for what could not be started beside it.

use crate::asking::fit_in;
use crate::customers::CustomerKey;
use crate::cycle::SchedulingCycle;
use crate::job::{JobId, StepSpec};
use crate::placing::PendingStep;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Returns how many tasks of a step its customer's limit lets start.
    pub(crate) fn allowed_count(
        &self,
        customer: Option<CustomerKey>,
        spec: &StepSpec,
        cycle: &SchedulingCycle,
    ) -> u32 {
        let Some(customer) = customer else {
            return u32::MAX;
        };
        let left = self.accounts.get(customer).left() - cycle.claimed_limit(customer);
        fit_in(&left, &spec.demand)
    }

    /// Returns whether what a job's customer has running, recorded starts with it, is within
    /// its limit.
    pub(crate) fn is_within_limit(&self, job: JobId) -> bool {
        let customer = self.jobs.get(&job).and_then(|job| job.customer);
        customer.is_none_or(|customer| self.accounts.get(customer).is_within_limit())
    }

    /// Takes what a step still waits for off its customer's limit for this cycle.
    pub(crate) fn claim_limit(&self, pending: &PendingStep, cycle: &mut SchedulingCycle) {
        let customer = self.jobs.get(&pending.key.job).and_then(|job| job.customer);
        let Some(customer) = customer else {
            return;
        };
        let is_waiting = |index: &&u32| !self.placements.contains_key(&pending.key.task(**index));
        let waiting_count = pending.waiting.iter().filter(is_waiting).count();
        let claimed = pending.spec().demand.times(waiting_count as u32);
        cycle.claim_limit(customer, claimed);
    }

    /// Keeps what is left of a customer's limit for a gang that does not fit it yet, so
    /// that the customer's less urgent tasks don't keep the gang out for ever.
    ///
    /// Not while the customer has less than half of its limit in use: its tasks are to
    /// start then, whatever waits before them.
    pub(crate) fn hold_limit_for_gang(
        &self,
        customer: Option<CustomerKey>,
        spec: &StepSpec,
        cycle: &mut SchedulingCycle,
    ) {
        let Some(customer) = customer.filter(|_| spec.is_gang) else {
            return;
        };
        if !self.accounts.get(customer).is_under_half() {
            cycle.claim_limit(customer, spec.demand.times(spec.tasks_count));
        }
    }
}
