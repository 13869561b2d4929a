//! Enforces customers' limits in a scheduling cycle.
//!
//! Steps are examined in scheduling order. A limit is used up by running tasks, and by a
//! reservation for one step of the customer that waits for the limit itself. A step that waits for
//! worker capacity uses none of it.
//!
//! Without [`Feature::Backfill`], each waiting step claims its demand from the limit ahead of the
//! steps examined after it.

use crate::customers::{Charge, CustomerKey};
use crate::cycle::SchedulingCycle;
use crate::decision::{Decision, DecisionKind, ReservedLimit};
use crate::event::Action;
use crate::features::Feature;
use crate::job::{JobId, StepKey, StepSpec};
use crate::packing::count_fitting;
use crate::placement::PendingStep;
use crate::scheduler::Scheduler;
use crate::wait_reasons::WaitReason;
use ospreywing_types::Instant;

/// How many tasks of a step may start under its customer's limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Allowance {
    /// The number that the limit itself allows.
    limit_count: u32,
    /// The number that may start alongside the reservation for another step, at most `limit_count`.
    pub(crate) allowed_count: u32,
}

impl Scheduler {
    /// Returns how many tasks of a step may start under its customer's limit.
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
        let limit_count = count_fitting(&remaining, &charge.amount);
        let beside_count = self.count_beside_reservation(now, step, charge, cycle);
        Allowance {
            limit_count,
            allowed_count: limit_count.min(beside_count),
        }
    }

    /// Returns why the customer's limit prevents a step from starting, or `None` if it doesn't.
    /// Examining such a step further would only lengthen the cycle.
    pub(crate) fn limit_wait_reason(
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
        let min_start_count = spec.map_or(0, min_start_count);
        if allowance.allowed_count >= min_start_count {
            self.on_limit_fits(now, step, charge, cycle);
            return None;
        }
        if !job.is_whole_step_waiting(step) {
            // Members of the step's previous run are still alive and use up the limit.
            return Some(WaitReason::PreviousRun);
        }
        let customer = charge.customer?;
        let is_limit = allowance.limit_count < min_start_count;
        if is_limit {
            self.reserve_or_claim_limit(now, step, charge, min_start_count, cycle);
        }
        let reason = if is_limit {
            WaitReason::Limit
        } else {
            WaitReason::Reserved
        };
        self.log_job_held(now, step, customer, reason, min_start_count, out);
        Some(reason)
    }

    /// Logs that a step is held back by the limit: once, and again after another task of its job
    /// was placed.
    fn log_job_held(
        &mut self,
        now: Instant,
        step: StepKey,
        customer: CustomerKey,
        reason: WaitReason,
        min_start_count: u32,
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
        let line = Decision::new(DecisionKind::JobHeldByLimit, reason.as_str())
            .with_job(step.job)
            .with_figure(u64::from(min_start_count))
            .with_customer(self.accounts.get(customer).to_usage())
            .with_reserved(reserved);
        out.push(Action::Log(line));
    }

    /// Updates the customer's reservation or claims after a step was examined that the limit
    /// allowed to start.
    pub(crate) fn update_limit_reservations(
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
        self.on_tasks_placed(now, pending, charge, cycle);
    }

    /// Returns whether the customer of a job is within its limit, counting recorded starts as
    /// running.
    pub(crate) fn is_within_limit(&self, job: JobId) -> bool {
        let customer = self.jobs.get(&job).and_then(|job| job.customer);
        customer.is_none_or(|customer| self.accounts.get(customer).is_within_limit())
    }

    /// Returns whether a step waits for its customer's limit: less is left than the step needs at
    /// once.
    pub(crate) fn is_limit_reached(&self, step: StepKey) -> bool {
        let charge = self.charge_of(step);
        let Some(customer) = charge.customer else {
            return false;
        };
        let job = self.jobs.get(&step.job);
        let spec = job.and_then(|job| job.record.spec.steps.get(step.step as usize));
        let needed = charge.amount.times(spec.map_or(0, min_start_count));
        let is_claimed = !self.config.features.has(Feature::Backfill);
        is_claimed || !needed.fits_in(&self.accounts.get(customer).remaining())
    }

    /// Returns whether the limit of a step's customer is reserved for another step.
    pub(crate) fn is_limit_reserved(&self, step: StepKey) -> bool {
        let customer = self.charge_of(step).customer;
        let reservation = customer.and_then(|customer| self.limit_reservations.get(customer));
        reservation.is_some_and(|it| it.step != step && it.due().is_some())
    }

    /// Claims the demand of a step's unplaced tasks from its customer's limit for this cycle.
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

    /// Reserves or claims the customer's remaining limit for a step that doesn't fit it yet.
    /// Otherwise the customer's less urgent tasks could keep the step waiting forever.
    ///
    /// Nothing is claimed while the customer uses less than half of its limit, because its tasks
    /// must then start regardless of other waiting work.
    fn reserve_or_claim_limit(
        &mut self,
        now: Instant,
        step: StepKey,
        charge: Charge,
        min_start_count: u32,
        cycle: &mut SchedulingCycle,
    ) {
        let Some(customer) = charge.customer else {
            return;
        };
        let amount = charge.amount.times(min_start_count);
        if self.config.features.has(Feature::Backfill) {
            self.reserve_limit(now, step, customer, amount, cycle);
        } else if min_start_count > 1 && !self.accounts.get(customer).is_under_half() {
            cycle.claim_limit(customer, amount);
        }
    }
}

/// Returns the number of tasks that must be allowed to start before any can be placed.
pub(crate) const fn min_start_count(spec: &StepSpec) -> u32 {
    if spec.is_gang {
        spec.tasks_count
    } else {
        1
    }
}
