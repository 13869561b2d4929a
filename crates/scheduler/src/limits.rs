//! Customers' limits, as a scheduling cycle keeps them.
//!
//! Steps are looked at in the order in which they are served. A limit is used up by what
//! runs, and by what is reserved for one step of the customer that waits for the limit
//! itself. A step that waits for room takes nothing of it.
//!
//! With [`Feature::Backfill`] off, what each step waits for is taken off the limit for the
//! steps behind it.

use crate::customers::{Charge, CustomerKey};
use crate::cycle::SchedulingCycle;
use crate::decision::{Decision, DecisionKind, ReservedLimit};
use crate::event::Action;
use crate::features::Feature;
use crate::job::{JobId, StepKey, StepSpec};
use crate::packing::fit_in;
use crate::placing::PendingStep;
use crate::scheduler::Scheduler;
use crate::waiting::WaitReason;
use ospreywing_types::Instant;

/// How many runs of a step its customer's limit lets start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Allowance {
    /// How many the limit itself holds.
    limit_count: u32,
    /// How many of them what is reserved for another step leaves.
    pub(crate) allowed_count: u32,
}

impl Scheduler {
    /// Returns how many runs of a step its customer's limit lets start.
    pub(crate) fn allowance(
        &self,
        now: Instant,
        step: StepKey,
        charge: Charge,
        cycle: &SchedulingCycle,
    ) -> Allowance {
        let Some(customer) = charge.customer else {
            return Allowance {
                limit_count: u32::MAX,
                allowed_count: u32::MAX,
            };
        };
        let remaining = self.accounts.get(customer).remaining() - cycle.claimed_limit(customer);
        let limit_count = fit_in(&remaining, &charge.amount);
        let beside_count = self.count_beside_reservation(now, step, charge, cycle);
        Allowance {
            limit_count,
            allowed_count: limit_count.min(beside_count),
        }
    }

    /// Returns why a step is held back by its customer's limit, which lets so many of its
    /// tasks start; `None` where it is not. Going on would cost a cycle more, for nothing.
    pub(crate) fn reason_to_hold(
        &mut self,
        now: Instant,
        step: StepKey,
        charge: Charge,
        allowance: Allowance,
        cycle: &mut SchedulingCycle,
        out: &mut Vec<Action>,
    ) -> Option<WaitReason> {
        let job = self.jobs.get(&step.job)?;
        let spec = job.record.spec.steps.get(step.step as usize);
        let least_count = spec.map_or(0, least_count);
        if allowance.allowed_count >= least_count {
            self.note_limit_holds(now, step, charge, cycle);
            return None;
        }
        if !job.is_whole_step_waiting(step) {
            // Members of its last run are still there, and count.
            return Some(WaitReason::LastRun);
        }
        let customer = charge.customer?;
        let is_limit = allowance.limit_count < least_count;
        if is_limit {
            self.hold_limit(now, step, charge, least_count, cycle);
        }
        let reason = if is_limit {
            WaitReason::Limit
        } else {
            WaitReason::Reserved
        };
        self.tell_held(now, step, customer, reason, least_count, out);
        Some(reason)
    }

    /// Tells that a step is held back: once, and again once something of its job was placed.
    fn tell_held(
        &mut self,
        now: Instant,
        step: StepKey,
        customer: CustomerKey,
        reason: WaitReason,
        least_count: u32,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return;
        };
        if core::mem::replace(&mut job.is_held_by_limit, true) {
            return;
        }
        let reservation = self.limit_reservations.get(customer);
        let reserved = reservation.map(|reservation| ReservedLimit {
            step: reservation.step,
            due_in: reservation.due().map(|due| due.since(now)),
        });
        let line = Decision::new(DecisionKind::JobHeld, reason.as_str())
            .with_job(step.job)
            .with_figure(u64::from(least_count))
            .with_customer(self.accounts.get(customer).to_usage())
            .with_reserved(reserved);
        out.push(Action::Log(line));
    }

    /// Notes what became of a step that the limit let start.
    pub(crate) fn note_served(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        charge: Charge,
        cycle: &mut SchedulingCycle,
    ) {
        let Some(customer) = charge.customer else {
            return;
        };
        if !self.config.features.has(Feature::Backfill) {
            self.claim_limit(customer, pending, cycle);
            return;
        }
        self.note_limit_taken(now, pending, charge, cycle);
    }

    /// Returns whether what a job's customer has running, recorded starts with it, is within
    /// its limit.
    pub(crate) fn is_within_limit(&self, job: JobId) -> bool {
        let customer = self.jobs.get(&job).and_then(|job| job.customer);
        customer.is_none_or(|customer| self.accounts.get(customer).is_within_limit())
    }

    /// Returns whether a step waits for its customer's limit: less of it is left than the
    /// step needs at once.
    pub(crate) fn is_limit_reached(&self, step: StepKey) -> bool {
        let charge = self.charge_of(step);
        let Some(customer) = charge.customer else {
            return false;
        };
        let job = self.jobs.get(&step.job);
        let spec = job.and_then(|job| job.record.spec.steps.get(step.step as usize));
        let needed = charge.amount.times(spec.map_or(0, least_count));
        let is_claimed = !self.config.features.has(Feature::Backfill);
        is_claimed || !needed.fits_in(&self.accounts.get(customer).remaining())
    }

    /// Returns whether the limit of a step's customer is reserved for another step.
    pub(crate) fn is_limit_reserved(&self, step: StepKey) -> bool {
        let customer = self.charge_of(step).customer;
        let reservation = customer.and_then(|customer| self.limit_reservations.get(customer));
        reservation.is_some_and(|it| it.step != step && it.due().is_some())
    }

    /// Takes what a step still waits for off its customer's limit for this cycle.
    fn claim_limit(
        &self,
        customer: CustomerKey,
        pending: &PendingStep,
        cycle: &mut SchedulingCycle,
    ) {
        let missing_count = self.missing_count(pending);
        cycle.claim_limit(customer, pending.spec().demand.times(missing_count));
    }

    fn missing_count(&self, pending: &PendingStep) -> u32 {
        pending.waiting.len() as u32 - self.placed_count(pending)
    }

    /// Keeps what is left of a customer's limit for a step that does not fit it yet, so
    /// that the customer's less urgent tasks don't keep it out for ever.
    ///
    /// Not while the customer has less than half of its limit in use: its tasks are to
    /// start then, whatever waits before them.
    fn hold_limit(
        &mut self,
        now: Instant,
        step: StepKey,
        charge: Charge,
        least_count: u32,
        cycle: &mut SchedulingCycle,
    ) {
        let Some(customer) = charge.customer else {
            return;
        };
        let amount = charge.amount.times(least_count);
        if self.config.features.has(Feature::Backfill) {
            self.reserve_limit(now, step, customer, amount, cycle);
        } else if least_count > 1 && !self.accounts.get(customer).is_under_half() {
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
