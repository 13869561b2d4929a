//! Backfill under a customer's limit: a reservation for the first step that waits for the
//! limit, and which of the customer's other work may pass it.
//!
//! The limit is used up by what runs alone. Of the steps that don't fit what is left of it,
//! one has a reservation: by the expected ends of the customer's runs it is known when the
//! limit will hold the step, and what will be left beside it then. Other work passes that
//! surely ends before, or fits into what is left.

use crate::customers::{Account, Charge, CustomerKey};
use crate::cycle::SchedulingCycle;
use crate::job::{StepKey, StepSpec};
use crate::packing::fit_in;
use crate::placing::PendingStep;
use crate::scheduler::Scheduler;
use crate::worker::Run;
use ospreywing_types::{Duration, Instant, Resources};
use std::collections::BTreeMap;

/// The time between two forecasts for a customer: each goes over all runs. A reservation that
/// has none yet holds nothing back.
const FORECAST_PERIOD: Duration = Duration::from_ms(100);
/// How much of its estimate a task may take, in percent, that passes because it surely ends
/// in time: estimates are off by half.
const SAFE_LENGTH_PERCENT: u64 = 150;
/// How long a task takes from being placed to its start, and from its end to being noted,
/// besides.
const HANDLING_TIME: Duration = Duration::from_ms(300);
/// For how long a reservation holds other work back after the time that was forecast first,
/// or after the limit held its step: a call for advice and its room take as long. A step
/// that waits for room reserves nothing for longer.
const OVERDUE_TIME: Duration = Duration::from_ms(2000);
/// A step that has waited for so long holds back more urgent work too, so that a stream of
/// it does not keep the step out for ever.
const OVERTAKEN_TIME: Duration = Duration::from_ms(2000);
/// A step that has waited for so long holds other work back also where less than half of the
/// limit is in use, for [`FIRM_TIME`]. Together they are the 3 s within which work is to
/// start whose customer uses so little.
const FIRM_AFTER: Duration = Duration::from_ms(1000);
/// For how long at a time: less than the 3 s within which the work that is held back is to
/// start, by the time that its own start takes.
const FIRM_TIME: Duration = Duration::from_ms(2000);
/// A step whose call for advice takes longer is not held back below half of the limit: the
/// wait and the call together would be over the 3 s.
const FIRM_ADVICE_LIMIT: Duration = Duration::from_ms(300);
/// For how long nothing is reserved after a reservation that lapsed, or that held work back
/// below half of the limit: what was held back is placed meanwhile.
const REST_TIME: Duration = Duration::from_ms(4000);

/// When the limit will hold a step, by the ends that are expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Forecast {
    due: Instant,
    /// What is left of the limit beside the step then.
    surplus: Resources,
}

/// The end of a run that is expected, and what it frees.
#[derive(Clone, Copy, Debug)]
struct ExpectedEnd {
    at: Instant,
    freed: Resources,
}

/// A part of a customer's limit that is kept for a step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitReservation {
    pub(crate) step: StepKey,
    /// What the step needs at once.
    amount: Resources,
    /// Since when the step has waited.
    since: Instant,
    /// `None` until it is worked out: nothing is held back for the step until then.
    forecast: Option<Forecast>,
    /// When it stops holding other work back.
    lapses_at: Option<Instant>,
    /// Whether the limit has held the step since.
    has_arrived: bool,
    /// Whether it holds work back also below half of the limit.
    is_firm: bool,
}

impl LimitReservation {
    const fn new(step: StepKey, amount: Resources, since: Instant) -> Self {
        Self {
            step,
            amount,
            since,
            forecast: None,
            lapses_at: None,
            has_arrived: false,
            is_firm: false,
        }
    }

    /// Returns when the limit should hold the step, once that is worked out.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.forecast.map(|forecast| forecast.due)
    }

    /// Returns whether it comes before more urgent work.
    fn is_overtaken(&self, now: Instant) -> bool {
        self.is_firm || now.since(self.since) >= OVERTAKEN_TIME
    }

    fn has_lapsed(&self, now: Instant) -> bool {
        self.lapses_at.is_some_and(|at| now >= at)
    }

    /// Takes in a forecast; the first one says how long other work is held back. A later
    /// one does not put the step off: work that passed it ended before its turn, by then.
    fn set_forecast(&mut self, now: Instant, new: Forecast) {
        let due = self.due().map_or(new.due, |due| due.min(new.due).max(now));
        self.forecast = Some(Forecast { due, ..new });
        self.lapses_at.get_or_insert(due + OVERDUE_TIME);
    }

    /// Makes it hold where it is due within the time for which it may, and the customer has
    /// little in use.
    fn firm_up(&mut self, now: Instant, account: &Account) {
        let is_near = self.due().is_some_and(|due| due <= now + FIRM_TIME);
        let is_long = now.since(self.since) >= FIRM_AFTER;
        if self.is_firm || !is_near || !is_long || !account.is_under_half() {
            return;
        }
        self.is_firm = true;
        let firm_until = now + FIRM_TIME;
        self.lapses_at = Some(self.lapses_at.map_or(firm_until, |at| at.min(firm_until)));
    }
}

/// What is kept of one customer's limit.
#[derive(Debug, Default)]
struct CustomerReservation {
    reservation: Option<LimitReservation>,
    /// What takes its place as the next cycle begins.
    next: Option<LimitReservation>,
    /// Until when nothing is reserved.
    rests_until: Instant,
    /// What runs have of the limit that don't end by themselves.
    endless: Resources,
    /// When the customer's runs were last gone over.
    forecast_at: Instant,
}

impl CustomerReservation {
    /// Returns whether the customer's runs are to be gone over from time to time.
    fn is_watched(&self) -> bool {
        self.reservation.is_some() || self.endless != Resources::ZERO
    }
}

/// The reservations of all customers, one for each at most.
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

    /// Returns how many there are.
    pub(crate) fn count(&self) -> usize {
        let all = self.by_customer.values();
        all.filter(|state| state.reservation.is_some()).count()
    }

    fn iter(&self) -> impl Iterator<Item = (CustomerKey, &LimitReservation)> + '_ {
        let all = self.by_customer.iter();
        all.filter_map(|(customer, state)| Some((*customer, state.reservation.as_ref()?)))
    }

    /// Returns the customers whose runs are to be gone over: all that ever are where it is
    /// time for one of them, since all take one pass.
    fn due_customers(&self, now: Instant) -> Vec<CustomerKey> {
        let is_due = |state: &CustomerReservation| now >= state.forecast_at + FORECAST_PERIOD;
        let watched = || {
            self.by_customer
                .iter()
                .filter(|(_, state)| state.is_watched())
        };
        if watched().map(|(_, state)| state).any(is_due) {
            watched().map(|(customer, _)| *customer).collect()
        } else {
            Vec::new()
        }
    }

    /// Returns how much of a customer's limit may be reserved.
    fn most_reserved(&self, now: Instant, customer: CustomerKey, account: &Account) -> Resources {
        match self.by_customer.get(&customer) {
            Some(state) if now < state.rests_until => Resources::ZERO,
            Some(state) => account.remaining_beside(state.endless),
            None => account.remaining_beside(Resources::ZERO),
        }
    }

    fn set(&mut self, customer: CustomerKey, reservation: LimitReservation) {
        let state = self.by_customer.entry(customer).or_default();
        state.reservation = Some(reservation);
    }

    /// Has a reservation take the place of a customer's as the next cycle begins, where no
    /// other is to whose step has waited for longer: until then it holds work back.
    fn set_next(&mut self, customer: CustomerKey, wanted: LimitReservation) {
        let state = self.by_customer.entry(customer).or_default();
        if state.next.is_none_or(|next| wanted.since < next.since) {
            state.next = Some(wanted);
        }
    }

    /// Brings in what takes the place of others.
    fn take_next(&mut self) {
        for state in self.by_customer.values_mut() {
            state.reservation = state.next.take().or(state.reservation);
        }
    }

    /// Works out when a customer's reservation is due; one that never is ends, so that others
    /// have theirs.
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
        state.endless = ends.iter().fold(account.used, |used, end| used - end.freed);
        if let Some(reservation) = &mut state.reservation {
            match forecast(now, account, reservation.amount, ends) {
                Some(forecast) => reservation.set_forecast(now, forecast),
                None => state.reservation = None,
            }
        }
        if let Some(reservation) = &mut state.reservation {
            reservation.firm_up(now, account);
        }
    }

    /// Ends a customer's reservation; it rests where the reservation lapsed or was firm.
    fn end(&mut self, now: Instant, customer: CustomerKey) {
        let Some(state) = self.by_customer.get_mut(&customer) else {
            return;
        };
        let Some(ended) = state.reservation.take() else {
            return;
        };
        if ended.is_firm || ended.has_lapsed(now) {
            state.rests_until = now + REST_TIME;
        }
    }
}

impl Scheduler {
    /// Looks at all reservations as a cycle begins: those that are over end, forecasts are
    /// made where they are due, and those come into force that more urgent work overtakes.
    pub(crate) fn begin_reservations(&mut self, now: Instant, cycle: &mut SchedulingCycle) {
        self.limit_reservations.take_next();
        let reserved: Vec<(CustomerKey, StepKey)> = self
            .limit_reservations
            .iter()
            .map(|(customer, reservation)| (customer, reservation.step))
            .collect();
        for (customer, step) in reserved {
            let job = self.jobs.get_mut(&step.job);
            let is_ready = job.is_some_and(|job| job.ready_steps(step.job).contains(&step));
            let reservation = self.limit_reservations.get(customer);
            if !is_ready || reservation.is_some_and(|it| it.has_lapsed(now)) {
                self.limit_reservations.end(now, customer);
            }
        }
        self.make_forecasts(now);
        for (customer, reservation) in self.limit_reservations.iter() {
            if reservation.is_overtaken(now) {
                cycle.keep_limit(customer);
            }
        }
    }

    /// Works out for all reservations when they are due, in one pass over all runs, where it
    /// is time.
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
                    at: now + left_by_age(now, run, remaining),
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

    /// Reserves a customer's limit for a step that does not fit what is left of it, where it
    /// is the first such step of the cycle, or has been overtaken for longest.
    pub(crate) fn reserve_limit(
        &mut self,
        now: Instant,
        step: StepKey,
        customer: CustomerKey,
        amount: Resources,
        cycle: &mut SchedulingCycle,
    ) {
        let account = self.accounts.get(customer);
        let most = self
            .limit_reservations
            .most_reserved(now, customer, account);
        if !amount.fits_in(&most) {
            return;
        }
        let since = self.waits.since(step).unwrap_or(now);
        let wanted = LimitReservation::new(step, amount, since);
        let is_overtaken = wanted.is_overtaken(now);
        let is_in_force = cycle.is_limit_kept(customer);
        cycle.keep_limit(customer);
        match self.limit_reservations.get_mut(customer) {
            Some(known) if known.step == step => known.amount = amount,
            Some(known) if known.is_firm => {}
            Some(known) if is_overtaken && !(known.is_overtaken(now) && known.since <= since) => {
                self.limit_reservations.set_next(customer, wanted);
            }
            Some(known) if known.is_overtaken(now) || is_in_force => {}
            Some(_) | None => self.limit_reservations.set(customer, wanted),
        }
    }

    /// Returns how many tasks of a step may start beside the reservation of its customer
    /// that is in force.
    pub(crate) fn count_beside_reservation(
        &self,
        now: Instant,
        step: StepKey,
        charge: Charge,
        cycle: &SchedulingCycle,
    ) -> u32 {
        match self.surplus_for(now, step, charge, cycle) {
            Some(surplus) => fit_in(&surplus, &charge.amount),
            None => u32::MAX,
        }
    }

    /// Returns what a reservation leaves of its customer's limit to a step; `None` where it
    /// does not hold the step back.
    fn surplus_for(
        &self,
        now: Instant,
        step: StepKey,
        charge: Charge,
        cycle: &SchedulingCycle,
    ) -> Option<Resources> {
        let customer = charge.customer.filter(|key| cycle.is_limit_kept(*key))?;
        let reservation = self.limit_reservations.get(customer)?;
        let forecast = reservation.forecast?;
        let is_held_below_half = reservation.is_firm && !self.must_start_at_once(step);
        let is_free = !is_held_below_half && self.accounts.get(customer).is_under_half();
        if reservation.step == step || is_free || self.surely_ends(now, step, forecast.due) {
            return None;
        }
        Some(forecast.surplus)
    }

    /// Returns whether a step would start too late after a firm reservation: perpetual work is
    /// to go on whatever else waits, and a long call for advice comes on top of the wait.
    fn must_start_at_once(&self, step: StepKey) -> bool {
        let Some(job) = self.jobs.get(&step.job) else {
            return false;
        };
        let queue = self.configuration.queue(&job.record.queue);
        let advice = queue.and_then(|queue| queue.advice);
        let has_long_advice = advice.is_some_and(|policy| policy.cost(1) > FIRM_ADVICE_LIMIT);
        let spec = job.record.spec.steps.get(step.step as usize);
        has_long_advice || spec.is_some_and(|spec| spec.is_perpetual)
    }

    /// Returns whether a task of the step that is placed now has surely ended by then.
    fn surely_ends(&self, now: Instant, step: StepKey, until: Instant) -> bool {
        let Some(job) = self.jobs.get(&step.job) else {
            return false;
        };
        let spec = job.record.spec.steps.get(step.step as usize);
        spec.is_some_and(|spec: &StepSpec| {
            let length_ms = self.expected_task_duration(&job.record.queue, spec).as_ms();
            let safe = Duration::from_ms(length_ms * SAFE_LENGTH_PERCENT / 100);
            let is_known = length_ms > 0 && !spec.is_perpetual;
            is_known && now + safe + HANDLING_TIME <= until
        })
    }

    /// Takes in that the limit holds a step: its reservation stays for a while, since the
    /// step may need advice and room.
    pub(crate) fn note_limit_holds(
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
        cycle.keep_limit(customer);
        reservation.forecast = Some(Forecast {
            due: now,
            surplus: remaining - reservation.amount,
        });
        if !reservation.has_arrived {
            reservation.has_arrived = true;
            let until = now + OVERDUE_TIME;
            let firm_until = reservation.lapses_at.filter(|_| reservation.is_firm);
            reservation.lapses_at = Some(firm_until.map_or(until, |at| at.min(until)));
        }
    }

    /// Takes the tasks of a step that were just placed off the surplus of the reservation
    /// that they passed, or ends the step's own reservation.
    pub(crate) fn note_limit_taken(
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
            // What it held back may go on.
            self.is_place_due = true;
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

    /// Returns how many of the tasks that a cycle found waiting have been placed.
    pub(crate) fn placed_count(&self, pending: &PendingStep) -> u32 {
        let waiting = pending.waiting.iter();
        let is_placed = |index: &&u32| self.placements.contains_key(&pending.key.task(**index));
        waiting.filter(is_placed).count() as u32
    }
}

/// Returns how long a run should still take where its worker does not tell how far on it
/// is.
fn left_by_age(now: Instant, run: &Run, remaining: Duration) -> Duration {
    match run.begun_at {
        Some(begun_at) if run.progress_percent == 0 => {
            let age_ms = now.since(begun_at).as_ms();
            Duration::from_ms(remaining.as_ms().saturating_sub(age_ms))
        }
        _ => remaining,
    }
}

/// Returns when a customer's limit will hold an amount, by the expected ends of its runs,
/// the soonest first; `None` where these don't make enough of it free.
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
        // Runs that end together count together.
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
