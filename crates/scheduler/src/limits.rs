//! Customers' limits, as a scheduling cycle keeps them.
//!
//! Steps are looked at in the order in which they are served. What one of them waits for
//! is taken off what its customer may still start, so that those behind it neither ask
//! advisers nor keep room for what could not be started beside it.

use crate::customers::{Charge, CustomerKey};
use crate::cycle::SchedulingCycle;
use crate::decision::{Decision, DecisionKind};
use crate::event::Action;
use crate::job::{JobId, StepKey, StepSpec};
use crate::packing::fit_in;
use crate::placing::PendingStep;
use crate::scheduler::Scheduler;
use ospreywing_types::Resources;

impl Scheduler {
    /// Returns how many runs of such a charge their customer's limit lets start.
    pub(crate) fn allowed_count(&self, charge: Charge, cycle: &SchedulingCycle) -> u32 {
        let Some(customer) = charge.customer else {
            return u32::MAX;
        };
        let left = self.accounts.get(customer).left() - cycle.claimed_limit(customer);
        fit_in(&left, &charge.amount)
    }

    /// Returns whether a step is held back by its customer's limit, which lets so many of its
    /// tasks start. Going on would cost a cycle more, for nothing.
    pub(crate) fn is_held(
        &mut self,
        step: StepKey,
        charge: Charge,
        allowed_count: u32,
        cycle: &mut SchedulingCycle,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return false;
        };
        let spec = job.record.spec.steps.get(step.step as usize);
        let least_count = spec.map_or(0, least_count);
        let is_held = allowed_count < least_count;
        if is_held && !job.is_waiting_whole(step) {
            // Members of its last run are still there, and count.
            return true;
        }
        // Told again once something of the job was placed in between.
        let is_news = is_held && !core::mem::replace(&mut job.is_held, true);
        let Some(customer) = charge.customer.filter(|_| is_held) else {
            return is_held;
        };
        if is_news {
            let line = Decision::new(DecisionKind::JobHeld, "limit of its customer");
            let line = line
                .with_job(step.job)
                .with_figure(u64::from(least_count))
                .with_customer(self.accounts.get(customer).to_use());
            out.push(Action::Log(line));
        }
        if least_count > 1 {
            let amount = charge.amount.times(least_count);
            self.hold_limit_for_gang(customer, amount, cycle);
        }
        true
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
    fn hold_limit_for_gang(
        &self,
        customer: CustomerKey,
        amount: Resources,
        cycle: &mut SchedulingCycle,
    ) {
        if !self.accounts.get(customer).is_under_half() {
            cycle.claim_limit(customer, amount);
        }
    }
}

/// Returns how many tasks of a step must be let start for any to be placed.
pub(crate) const fn least_count(spec: &StepSpec) -> u32 {
    if spec.is_gang {
        spec.tasks_count
    } else {
        1
    }
}
