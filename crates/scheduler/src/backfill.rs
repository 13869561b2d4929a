//! Backfill under a customer's limit: reserves the limit for a step that waits for it, and lets
//! other work of the customer pass.
//!
//! Only running tasks use up the limit. One of the steps that don't fit the rest of the limit gets
//! a reservation. The expected ends of the customer's runs give the time at which the limit will
//! fit the step, and the surplus that will remain then. Other work may pass if it is sure to end
//! before that time or fits the surplus.

use crate::customers::{Account, Charge, CustomerKey};
use crate::cycle::SchedulingCycle;
use crate::job::{StepKey, StepSpec};
use crate::packing::count_fitting;
use crate::placement::PendingStep;
use crate::scheduler::Scheduler;
use crate::worker::Run;
use ospreywing_types::{Duration, Instant, Resources};
use std::collections::BTreeMap;

/// The interval between forecasts for a customer. Each forecast iterates over all runs. A
/// reservation without a forecast holds nothing back.
const FORECAST_PERIOD: Duration = Duration::from_ms(100);
/// The percentage of its expected duration that a task is assumed to take at most when deciding
/// whether it may pass a reservation. Estimates are off by half.
const MAX_DURATION_PERCENT: u64 = 150;
/// The additional time for a task's start after its placement, and for recording its end.
const START_AND_END_DELAY: Duration = Duration::from_ms(300);
/// How long a reservation holds other work back after its first due time, or after the limit first
/// fits its step. The step needs about this long to get advice and capacity. If it waits for
/// capacity longer, it loses the reservation.
const OVERDUE_GRACE: Duration = Duration::from_ms(2000);
/// After this wait, a step's reservation also holds back more urgent work. Otherwise a stream of
/// urgent work could keep the step waiting forever.
const STARVED_AFTER: Duration = Duration::from_ms(2000);
/// After this wait, a reservation may become firm for [`FIRM_DURATION`]: it then holds other work
/// back even while less than half of the limit is in use. The two times add up to 3 s: work of a
/// customer that uses less than half of its limit must start within that time.
const FIRM_AFTER: Duration = Duration::from_ms(1000);
/// How long a firm reservation holds other work back. That work must start within 3 s, and its own
/// start takes part of this time.
const FIRM_DURATION: Duration = Duration::from_ms(2000);
/// A step whose advice request takes longer than this is not held back below half of the limit: the
/// wait and the request together would exceed 3 s.
const FIRM_ADVICE_LIMIT: Duration = Duration::from_ms(300);
/// How long a customer gets no reservation after one that expired or was firm. The work that it
/// held back is placed in this time.
const COOLDOWN: Duration = Duration::from_ms(4000);

/// When a limit will fit a step, according to the expected ends of runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Forecast {
    due: Instant,
    /// What will remain of the limit alongside the step at that time.
    surplus: Resources,
}

/// The expected end of a run, and the part of the limit that it frees.
#[derive(Clone, Copy, Debug)]
struct ExpectedEnd {
    at: Instant,
    freed: Resources,
}

/// A reservation of a customer's limit for a step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitReservation {
    pub(crate) step: StepKey,
    /// What the step needs at once.
    amount: Resources,
    /// When the step began to wait.
    since: Instant,
    /// The current forecast. While it is `None`, the reservation holds nothing back.
    forecast: Option<Forecast>,
    /// When the reservation stops holding other work back.
    expires_at: Option<Instant>,
    /// Whether the limit has fit the step since the reservation was made.
    has_fit_limit: bool,
    /// Whether the reservation also holds work back while less than half of the limit is in use.
    is_firm: bool,
}

impl LimitReservation {
    const fn new(step: StepKey, amount: Resources, since: Instant) -> Self {
        Self {
            step,
            amount,
            since,
            forecast: None,
            expires_at: None,
            has_fit_limit: false,
            is_firm: false,
        }
    }

    /// Returns when the limit is expected to fit the step, or `None` without a forecast.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.forecast.map(|forecast| forecast.due)
    }

    /// Returns whether the reservation also holds back more urgent work.
    fn is_starved(&self, now: Instant) -> bool {
        self.is_firm || now.since(self.since) >= STARVED_AFTER
    }

    fn has_expired(&self, now: Instant) -> bool {
        self.expires_at.is_some_and(|at| now >= at)
    }

    /// Sets the forecast. The first one determines when the reservation expires. Later ones never
    /// postpone the due time: work that passed the step ends before that time.
    fn set_forecast(&mut self, now: Instant, new: Forecast) {
        let due = self.due().map_or(new.due, |due| due.min(new.due).max(now));
        self.forecast = Some(Forecast { due, ..new });
        self.expires_at.get_or_insert(due + OVERDUE_GRACE);
    }

    /// Makes the reservation firm if it is due within [`FIRM_DURATION`], the step has waited for
    /// [`FIRM_AFTER`], and the customer uses less than half of its limit.
    fn make_firm_if_due(&mut self, now: Instant, account: &Account) {
        let is_near = self.due().is_some_and(|due| due <= now + FIRM_DURATION);
        let is_long = now.since(self.since) >= FIRM_AFTER;
        if self.is_firm || !is_near || !is_long || !account.is_under_half() {
            return;
        }
        self.is_firm = true;
        let firm_until = now + FIRM_DURATION;
        self.expires_at = Some(self.expires_at.map_or(firm_until, |at| at.min(firm_until)));
    }
}

/// Reservation state of one customer.
#[derive(Debug, Default)]
struct CustomerReservation {
    reservation: Option<LimitReservation>,
    /// Replaces `reservation` when the next cycle begins.
    next: Option<LimitReservation>,
    /// Until this time, nothing is reserved for the customer.
    cooldown_until: Instant,
    /// The part of the limit used by runs that don't end by themselves.
    perpetual_used: Resources,
    /// When the customer's last forecast was made.
    forecast_at: Instant,
}

impl CustomerReservation {
    /// Returns whether forecasts are needed for the customer.
    fn needs_forecast(&self) -> bool {
        self.reservation.is_some() || self.perpetual_used != Resources::ZERO
    }
}

/// The limit reservations of all customers, at most one for each.
#[derive(Debug, Default)]
pub(crate) struct LimitReservations {
    by_customer: BTreeMap<CustomerKey, CustomerReservation>,
}

impl LimitReservations {
    /// Returns a customer's reservation.
    pub(crate) fn get(&self, customer: CustomerKey) -> Option<&LimitReservation> {
        self.by_customer.get(&customer)?.reservation.as_ref()
    }

    fn get_mut(&mut self, customer: CustomerKey) -> Option<&mut LimitReservation> {
        self.by_customer.get_mut(&customer)?.reservation.as_mut()
    }

    /// Returns the number of reservations.
    pub(crate) fn count(&self) -> usize {
        let all = self.by_customer.values();
        all.filter(|state| state.reservation.is_some()).count()
    }

    fn iter(&self) -> impl Iterator<Item = (CustomerKey, &LimitReservation)> + '_ {
        let all = self.by_customer.iter();
        all.filter_map(|(customer, state)| Some((*customer, state.reservation.as_ref()?)))
    }

    /// Returns the customers to make forecasts for. If a forecast is due for any customer, returns
    /// all that need forecasts, because one pass over the runs serves all of them.
    fn due_customers(&self, now: Instant) -> Vec<CustomerKey> {
        let is_due = |state: &CustomerReservation| now >= state.forecast_at + FORECAST_PERIOD;
        let needing_forecast = || {
            self.by_customer
                .iter()
                .filter(|(_, state)| state.needs_forecast())
        };
        if needing_forecast().map(|(_, state)| state).any(is_due) {
            needing_forecast().map(|(customer, _)| *customer).collect()
        } else {
            Vec::new()
        }
    }

    /// Returns how much of a customer's limit may be reserved.
    fn max_reservation(&self, now: Instant, customer: CustomerKey, account: &Account) -> Resources {
        match self.by_customer.get(&customer) {
            Some(state) if now < state.cooldown_until => Resources::ZERO,
            Some(state) => account.remaining_beside(state.perpetual_used),
            None => account.remaining_beside(Resources::ZERO),
        }
    }

    fn set(&mut self, customer: CustomerKey, reservation: LimitReservation) {
        let state = self.by_customer.entry(customer).or_default();
        state.reservation = Some(reservation);
    }

    /// Sets the reservation that replaces the customer's current one when the next cycle begins,
    /// unless a step that has waited longer is already set. The current one stays in force until
    /// then.
    fn set_next(&mut self, customer: CustomerKey, wanted: LimitReservation) {
        let state = self.by_customer.entry(customer).or_default();
        if state.next.is_none_or(|next| wanted.since < next.since) {
            state.next = Some(wanted);
        }
    }

    /// Replaces reservations by those set with [`Self::set_next`].
    fn promote_next(&mut self) {
        for state in self.by_customer.values_mut() {
            state.reservation = state.next.take().or(state.reservation);
        }
    }

    /// Updates the forecast of a customer's reservation. If the limit will never fit the step, ends
    /// the reservation so that other steps can get one.
    fn forecast(
        &mut self,
        now: Instant,
        customer: CustomerKey,
        account: &Account,
        ends: &[ExpectedEnd],
    ) {
        let Some(state) = self.by_customer.get_mut(&customer) else {
            return;
        };
        state.forecast_at = now;
        state.perpetual_used = ends.iter().fold(account.used, |used, end| used - end.freed);
        if let Some(reservation) = &mut state.reservation {
            match forecast(now, account, reservation.amount, ends) {
                Some(forecast) => reservation.set_forecast(now, forecast),
                None => state.reservation = None,
            }
        }
        if let Some(reservation) = &mut state.reservation {
            reservation.make_firm_if_due(now, account);
        }
    }

    /// Ends a customer's reservation. A cooldown follows if it has expired or was firm.
    fn end(&mut self, now: Instant, customer: CustomerKey) {
        let Some(state) = self.by_customer.get_mut(&customer) else {
            return;
        };
        let Some(ended) = state.reservation.take() else {
            return;
        };
        if ended.is_firm || ended.has_expired(now) {
            state.cooldown_until = now + COOLDOWN;
        }
    }
}

impl Scheduler {
    /// Updates all reservations at the start of a cycle: ends those that have expired or whose step
    /// is no longer ready, makes due forecasts, and enforces the starved reservations from the
    /// start.
    pub(crate) fn begin_reservations(&mut self, now: Instant, cycle: &mut SchedulingCycle) {
        self.limit_reservations.promote_next();
        let reserved: Vec<(CustomerKey, StepKey)> = self
            .limit_reservations
            .iter()
            .map(|(customer, reservation)| (customer, reservation.step))
            .collect();
        for (customer, step) in reserved {
            let job = self.jobs.get_mut(&step.job);
            let is_ready = job.is_some_and(|job| job.ready_steps(step.job).contains(&step));
            let reservation = self.limit_reservations.get(customer);
            if !is_ready || reservation.is_some_and(|it| it.has_expired(now)) {
                self.limit_reservations.end(now, customer);
            }
        }
        self.make_forecasts(now);
        for (customer, reservation) in self.limit_reservations.iter() {
            if reservation.is_starved(now) {
                cycle.enforce_reservation(customer);
            }
        }
    }

    /// Makes all due forecasts in one pass over all runs.
    fn make_forecasts(&mut self, now: Instant) {
        let due = self.limit_reservations.due_customers(now).into_iter();
        let mut ends: BTreeMap<CustomerKey, Vec<ExpectedEnd>> =
            due.map(|customer| (customer, Vec::new())).collect();
        if ends.is_empty() {
            return;
        }
        for (task, run) in self.workers.values().flat_map(|worker| &worker.runs) {
            let customer = run.charge.customer;
            let Some(ends) = customer.and_then(|customer| ends.get_mut(&customer)) else {
                continue;
            };
            if let Some(remaining) = self.remaining_time(*task, run) {
                ends.push(ExpectedEnd {
                    at: now + remaining_by_age(now, run, remaining),
                    freed: run.charge.amount,
                });
            }
        }
        for (customer, mut ends) in ends {
            ends.sort_unstable_by_key(|end| end.at);
            let account = self.accounts.get(customer);
            self.limit_reservations
                .forecast(now, customer, account, &ends);
        }
    }

    /// Reserves a customer's limit for a step that doesn't fit the rest of it, if the step is the
    /// first such step of the cycle or the longest starved one.
    pub(crate) fn reserve_limit(
        &mut self,
        now: Instant,
        step: StepKey,
        customer: CustomerKey,
        amount: Resources,
        cycle: &mut SchedulingCycle,
    ) {
        let account = self.accounts.get(customer);
        let max_amount = self
            .limit_reservations
            .max_reservation(now, customer, account);
        if !amount.fits_in(&max_amount) {
            return;
        }
        let since = self.waits.since(step).unwrap_or(now);
        let wanted = LimitReservation::new(step, amount, since);
        let is_starved = wanted.is_starved(now);
        let is_enforced = cycle.is_reservation_enforced(customer);
        cycle.enforce_reservation(customer);
        match self.limit_reservations.get_mut(customer) {
            Some(known) if known.step == step => known.amount = amount,
            Some(known) if known.is_firm => {}
            Some(known) if is_starved && !(known.is_starved(now) && known.since <= since) => {
                self.limit_reservations.set_next(customer, wanted);
            }
            Some(known) if known.is_starved(now) || is_enforced => {}
            Some(_) | None => self.limit_reservations.set(customer, wanted),
        }
    }

    /// Returns how many tasks of a step may start alongside the customer's enforced reservation.
    pub(crate) fn count_beside_reservation(
        &self,
        now: Instant,
        step: StepKey,
        charge: Charge,
        cycle: &SchedulingCycle,
    ) -> u32 {
        match self.surplus_for(now, step, charge, cycle) {
            Some(surplus) => count_fitting(&surplus, &charge.amount),
            None => u32::MAX,
        }
    }

    /// Returns the surplus that an enforced reservation leaves to a step, or `None` if the
    /// reservation doesn't hold the step back.
    fn surplus_for(
        &self,
        now: Instant,
        step: StepKey,
        charge: Charge,
        cycle: &SchedulingCycle,
    ) -> Option<Resources> {
        let customer = charge
            .customer
            .filter(|key| cycle.is_reservation_enforced(*key))?;
        let reservation = self.limit_reservations.get(customer)?;
        let forecast = reservation.forecast?;
        let is_held_below_half = reservation.is_firm && !self.must_start_at_once(step);
        let is_free = !is_held_below_half && self.accounts.get(customer).is_under_half();
        if reservation.step == step || is_free || self.is_sure_to_end_by(now, step, forecast.due) {
            return None;
        }
        Some(forecast.surplus)
    }

    /// Returns whether a step must not be held back by a firm reservation: perpetual work must run
    /// regardless of other waiting work, and a long advice request would add to the wait.
    fn must_start_at_once(&self, step: StepKey) -> bool {
        let Some(job) = self.jobs.get(&step.job) else {
            return false;
        };
        let advice = job.queue(&self.configuration).advice;
        let has_long_advice = advice.is_some_and(|policy| policy.cost(1) > FIRM_ADVICE_LIMIT);
        let spec = job.record.spec.steps.get(step.step as usize);
        has_long_advice || spec.is_some_and(|spec| spec.is_perpetual)
    }

    /// Returns whether a task of the step that is placed now is sure to end by the given time.
    fn is_sure_to_end_by(&self, now: Instant, step: StepKey, until: Instant) -> bool {
        let Some(job) = self.jobs.get(&step.job) else {
            return false;
        };
        let spec = job.record.spec.steps.get(step.step as usize);
        spec.is_some_and(|spec: &StepSpec| {
            let duration_ms = self.expected_task_duration(&job.record.queue, spec).as_ms();
            let max_duration = Duration::from_ms(duration_ms * MAX_DURATION_PERCENT / 100);
            let is_known = duration_ms > 0 && !spec.is_perpetual;
            is_known && now + max_duration + START_AND_END_DELAY <= until
        })
    }

    /// Handles that the limit now fits a step: its reservation stays for [`OVERDUE_GRACE`], since
    /// the step may still need advice and capacity.
    pub(crate) fn on_limit_fits(
        &mut self,
        now: Instant,
        step: StepKey,
        charge: Charge,
        cycle: &mut SchedulingCycle,
    ) {
        let Some(customer) = charge.customer else {
            return;
        };
        let remaining = self.accounts.get(customer).remaining();
        let reservation = self.limit_reservations.get_mut(customer);
        let Some(reservation) = reservation.filter(|it| it.step == step) else {
            return;
        };
        cycle.enforce_reservation(customer);
        reservation.forecast = Some(Forecast {
            due: now,
            surplus: remaining - reservation.amount,
        });
        if !reservation.has_fit_limit {
            reservation.has_fit_limit = true;
            let until = now + OVERDUE_GRACE;
            let firm_until = reservation.expires_at.filter(|_| reservation.is_firm);
            reservation.expires_at = Some(firm_until.map_or(until, |at| at.min(until)));
        }
    }

    /// Subtracts a step's newly placed tasks from the surplus of the reservation that they passed,
    /// or ends the step's own reservation.
    pub(crate) fn on_tasks_placed(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        charge: Charge,
        cycle: &SchedulingCycle,
    ) {
        let Some(customer) = charge.customer else {
            return;
        };
        let Some(reservation) = self.limit_reservations.get(customer) else {
            return;
        };
        let placed_count = self.placed_count(pending);
        if placed_count == 0 {
            return;
        }
        if reservation.step == pending.key {
            self.limit_reservations.end(now, customer);
            // Work that the reservation held back may now start.
            self.is_cycle_due = true;
            return;
        }
        if self.surplus_for(now, pending.key, charge, cycle).is_none() {
            return;
        }
        let reservation = self.limit_reservations.get_mut(customer);
        if let Some(forecast) = reservation.and_then(|it| it.forecast.as_mut()) {
            forecast.surplus -= charge.amount.times(placed_count);
        }
    }

    /// Returns how many of the tasks that the cycle found waiting have been placed.
    pub(crate) fn placed_count(&self, pending: &PendingStep) -> u32 {
        let waiting = pending.waiting.iter();
        let is_placed = |index: &&u32| self.placements.contains_key(&pending.key.task(**index));
        waiting.filter(is_placed).count() as u32
    }
}

/// Returns the expected remaining time of a run, corrected by its age if its worker reports no
/// progress.
fn remaining_by_age(now: Instant, run: &Run, remaining: Duration) -> Duration {
    match run.begun_at {
        Some(begun_at) if run.progress_percent == 0 => {
            let age_ms = now.since(begun_at).as_ms();
            Duration::from_ms(remaining.as_ms().saturating_sub(age_ms))
        }
        _ => remaining,
    }
}

/// Returns when a customer's limit will fit an amount, given the expected ends of its runs in
/// ascending order. Returns `None` if they don't free enough.
fn forecast(
    now: Instant,
    account: &Account,
    amount: Resources,
    ends: &[ExpectedEnd],
) -> Option<Forecast> {
    let mut used = account.used;
    let mut due = amount
        .fits_in(&account.remaining_beside(used))
        .then_some(now);
    for end in ends {
        // Ends at the same instant are combined.
        if due.is_some_and(|due| end.at > due) {
            break;
        }
        used -= end.freed;
        if due.is_none() && amount.fits_in(&account.remaining_beside(used)) {
            due = Some(end.at);
        }
    }
    let surplus = account.remaining_beside(used) - amount;
    due.map(|due| Forecast { due, surplus })
}
