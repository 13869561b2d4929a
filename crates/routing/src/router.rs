//! The router of one daemon: its state and event handlers.

use crate::action::{Action, GiveUp};
use crate::burn::BurnReport;
use crate::config::RouterConfig;
use crate::entity::{Minion, Request, Service};
use crate::event::{Arrival, Event};
use crate::minion::{MinionTable, Slot};
use crate::request::{RequestData, RequestTable, SlotRef, Stage};
use crate::service::ServiceTable;
use ospreywing_membership::SeatSet;
use ospreywing_table::Repeat;
use ospreywing_types::{Duration, Instant, Outcome};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Request counters for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests received.
    pub arrived_count: u64,
    /// Requests whose complete answer was delivered.
    pub done_count: u64,
    /// Requests that certainly did not run.
    pub not_run_count: u64,
    /// Requests that may or may not have run.
    pub unknown_count: u64,
    /// Repeated sends of requests.
    pub retries_count: u64,
}

/// The router of one daemon.
#[derive(Clone, Debug)]
pub struct Router {
    pub(crate) config: RouterConfig,
    pub(crate) minions: MinionTable,
    pub(crate) services: ServiceTable,
    pub(crate) requests: RequestTable,
    pub(crate) seats: SeatSet,
    pub(crate) queued_count: usize,
    is_deciding: bool,
    rng: Pcg64Mcg,
    counts: Counts,
}

/// The default delay before a retry.
const RETRY_AFTER: Duration = Duration::from_s(1);
/// The delay before a retry while the daemon's table is not known to be current.
const STALE_RETRY_AFTER: Duration = Duration::from_s(2);

impl Router {
    /// Creates a router without minions, rows or seats.
    pub fn new(config: RouterConfig) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(config.seed);
        Self {
            config,
            minions: MinionTable::default(),
            services: ServiceTable::default(),
            requests: RequestTable::default(),
            seats: SeatSet::EMPTY,
            queued_count: 0,
            is_deciding: false,
            rng,
            counts: Counts::default(),
        }
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Boxes(boxes) => self.minions.set_boxes(&boxes),
            Event::Table(table) => self.services.set_table(&table, self.seats),
            Event::Seats(seats) => {
                self.seats = seats;
                self.services.set_seats(seats);
            }
            Event::Deciding(is_deciding) => self.set_deciding(now, is_deciding, actions),
            Event::Arrived(arrival) => self.on_arrived(now, arrival, actions),
            Event::CallerDisconnected { token } => self.on_caller_disconnected(token),
            Event::KeyGranted(request) => self.on_key_granted(now, request, actions),
            Event::KeyTaken(request) => self.on_key_taken(now, request, actions),
            Event::KeyRefused {
                request,
                retry_after,
            } => self.on_key_refused(now, request, retry_after, actions),
            Event::Answered(request) => self.on_answered(now, request, actions),
            Event::NotSent(request) => self.on_not_sent(now, request, actions),
            Event::Interrupted(request) => self.on_interrupted(now, request, actions),
            Event::Tick => self.on_tick(now, actions),
        }
        self.dispatch(now, actions);
    }

    fn set_deciding(&mut self, now: Instant, is_deciding: bool, actions: &mut Vec<Action>) {
        self.is_deciding = is_deciding;
        if is_deciding {
            return;
        }
        let queued = |stage| stage == Stage::Queued;
        for request in self.requests_where(queued) {
            let reason = "this daemon does not know whether its table is current";
            let give_up = not_run(reason, STALE_RETRY_AFTER);
            self.remove_from_queue(request);
            self.give_up(now, request, give_up, actions);
            self.requests.remove(request);
        }
    }

    fn requests_where(&self, is_wanted: impl Fn(Stage) -> bool) -> Vec<Request> {
        let wanted = self
            .requests
            .iter()
            .filter(|(_, data)| is_wanted(data.stage));
        wanted.map(|(request, _)| request).collect()
    }

    fn on_arrived(&mut self, now: Instant, arrival: Arrival, actions: &mut Vec<Action>) {
        self.counts.arrived_count += 1;
        let token = arrival.token;
        let service = match self.admit(now, &arrival) {
            Ok(service) => service,
            Err(give_up) => {
                if let Some(service) = self.services.listed(&arrival.row) {
                    self.services.get_mut(service).burn.record(now, false);
                }
                self.counts.not_run_count += 1;
                actions.push(Action::GiveUp { token, give_up });
                return;
            }
        };
        let percent = self.config.retry_budget_percent;
        let data = self.services.get_mut(service);
        data.retry_budget.earn(percent);
        let deadline = data.deadline.unwrap_or(self.config.default_deadline);
        let needs_key = data.repeat == Repeat::AtMostOnce;
        let request = self.requests.insert(RequestData {
            service,
            key: arrival.key.filter(|_| needs_key),
            sent_at: now,
            expires_at: now + deadline,
            retries_count: 0,
            stage: Stage::Queued,
            is_key_granted: false,
            token: Some(token),
        });
        self.enqueue(request);
    }

    fn enqueue(&mut self, request: Request) {
        let service = self.requests.get(request).service;
        self.requests.get_mut(request).stage = Stage::Queued;
        self.services.get_mut(service).queue.push_back(request);
        self.queued_count += 1;
    }

    /// Returns the row of an admitted request.
    ///
    /// # Errors
    ///
    /// Returns the reply to the caller if the request is rejected.
    fn admit(&mut self, now: Instant, arrival: &Arrival) -> Result<Service, GiveUp> {
        let Some(service) = self.services.listed(&arrival.row) else {
            let reason = format!("row: the table has no service row {:?}", arrival.row);
            return Err(GiveUp {
                outcome: Outcome::NotRun,
                reason,
                retry_after: None,
            });
        };
        if !self.is_deciding {
            let reason = "this daemon does not know whether its table is current";
            return Err(not_run(reason, STALE_RETRY_AFTER));
        }
        if self.services.get(service).repeat == Repeat::AtMostOnce && arrival.key.is_none() {
            let reason = "request-key: needed, since the row is unsafe to repeat";
            return Err(GiveUp {
                outcome: Outcome::NotRun,
                reason: reason.to_owned(),
                retry_after: None,
            });
        }
        if self.queued_count >= self.config.queue_limit_count {
            let reason = "too many requests wait at this daemon";
            return Err(not_run(reason, self.expected_wait(service)));
        }
        let expected_wait = self.expected_wait(service);
        let deadline = self.services.get(service).deadline;
        if deadline.is_some_and(|deadline| expected_wait > deadline) {
            let reason = "the queue is longer than the row's deadline allows";
            return Err(not_run(reason, expected_wait));
        }
        if !self.services.get_mut(service).rate.try_acquire(now) {
            return Err(not_run("cap_rate_per_s: reached", RETRY_AFTER));
        }
        Ok(service)
    }

    /// Estimates how long a request that arrives now waits, from the queue length
    /// and the service time.
    fn expected_wait(&self, service: Service) -> Duration {
        let data = self.services.get(service);
        let serves = |minion: &crate::minion::MinionData| {
            minion.is_live && minion.serves.contains(&data.name)
        };
        let minions = self.minions.iter().filter(|(_, minion)| serves(minion));
        let slots_count = minions.count() as u64 * u64::from(self.seats.len());
        let ahead_count = data.queue.len() as f64;
        let wait_ms = ahead_count * data.service_time_ms / slots_count.max(1) as f64;
        Duration::from_ms(wait_ms as u64)
    }

    /// Sends queued requests to free slots: by priority, then by share.
    fn dispatch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.queued_count == 0 || !self.is_deciding || self.seats.is_empty() {
            return;
        }
        let mut skipped: Vec<Service> = Vec::new();
        while let Some(service) = self.next_service(&skipped) {
            let request = self.services.get(service).queue[0];
            match self.choose_minion(now, service) {
                Some(slot_ref) => {
                    self.remove_from_queue(request);
                    self.assign_slot(now, request, slot_ref, actions);
                }
                None => skipped.push(service),
            }
        }
    }

    fn next_service(&self, skipped: &[Service]) -> Option<Service> {
        let open = self.services.iter().filter(|(service, data)| {
            !data.queue.is_empty() && data.has_inflight_capacity() && !skipped.contains(service)
        });
        let best = open.max_by_key(|(_, data)| {
            let credit = u64::from(data.share) * 1000 / (u64::from(data.inflight_count) + 1);
            (data.priority, credit)
        });
        best.map(|(service, _)| service)
    }

    /// Draws two minions with a free slot at random and returns a slot of the less
    /// busy one.
    fn choose_minion(&mut self, now: Instant, service: Service) -> Option<SlotRef> {
        let name = &self.services.get(service).name;
        let is_open = |data: &crate::minion::MinionData| {
            data.is_live && !data.is_ejected(now) && data.serves.contains(name)
        };
        let seats = self.seats;
        let open: Vec<SlotRef> = self
            .minions
            .iter()
            .filter(|(_, data)| is_open(data))
            .filter_map(|(minion, data)| {
                let seat = data.free_slot(seats)?;
                Some(SlotRef { minion, seat })
            })
            .collect();
        if open.is_empty() {
            return None;
        }
        let first = open[self.rng.random_range(0..open.len())];
        let second = open[self.rng.random_range(0..open.len())];
        let busy_count = |slot_ref: &SlotRef| self.minions.get(slot_ref.minion).busy_count();
        if busy_count(&second) < busy_count(&first) {
            Some(second)
        } else {
            Some(first)
        }
    }

    fn assign_slot(
        &mut self,
        now: Instant,
        request: Request,
        slot_ref: SlotRef,
        actions: &mut Vec<Action>,
    ) {
        self.minions
            .set_slot(slot_ref.minion, slot_ref.seat, Slot::Busy(request));
        let data = self.requests.get(request);
        self.services.get_mut(data.service).inflight_count += 1;
        match &data.key {
            Some(key) if !data.is_key_granted => {
                let key = key.clone();
                self.requests.get_mut(request).stage = Stage::AwaitingKey(slot_ref);
                actions.push(Action::TakeKey { request, key });
            }
            _ => self.send(now, request, slot_ref, actions),
        }
    }

    fn send(
        &mut self,
        now: Instant,
        request: Request,
        slot_ref: SlotRef,
        actions: &mut Vec<Action>,
    ) {
        let data = self.requests.get_mut(request);
        let Some(token) = data.token else { return };
        data.stage = Stage::Sent(slot_ref);
        data.sent_at = now;
        let timeout = data.expires_at.since(now);
        let minion = self.minions.get(slot_ref.minion);
        actions.push(Action::Send {
            request,
            token,
            minion: minion.name.clone(),
            addr: minion.addr.clone(),
            timeout,
        });
    }

    fn on_key_granted(&mut self, now: Instant, request: Request, actions: &mut Vec<Action>) {
        let data = self.requests.get_mut(request);
        let Stage::AwaitingKey(slot_ref) = data.stage else {
            return;
        };
        data.is_key_granted = true;
        if data.token.is_none() || now >= data.expires_at {
            // Granted too late: the request is not sent. The caller has its final
            // reply or gets it now.
            self.free_slot(request, slot_ref, Slot::Free);
            self.give_up(now, request, deadline_passed(), actions);
            self.requests.remove(request);
            return;
        }
        self.send(now, request, slot_ref, actions);
    }

    fn on_key_taken(&mut self, now: Instant, request: Request, actions: &mut Vec<Action>) {
        let Stage::AwaitingKey(slot_ref) = self.requests.get(request).stage else {
            return;
        };
        self.free_slot(request, slot_ref, Slot::Free);
        let give_up = GiveUp {
            outcome: Outcome::Unknown,
            reason: "request-key: was asked before; that request may have run".to_owned(),
            retry_after: None,
        };
        self.give_up(now, request, give_up, actions);
        self.requests.remove(request);
    }

    fn on_key_refused(
        &mut self,
        now: Instant,
        request: Request,
        retry_after: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Stage::AwaitingKey(slot_ref) = self.requests.get(request).stage else {
            return;
        };
        self.free_slot(request, slot_ref, Slot::Free);
        let give_up = not_run("the request's key can't be put on record now", retry_after);
        self.give_up(now, request, give_up, actions);
        self.requests.remove(request);
    }

    fn on_answered(&mut self, now: Instant, request: Request, actions: &mut Vec<Action>) {
        let data = self.requests.get(request);
        let Stage::Sent(slot_ref) = data.stage else {
            return;
        };
        let (service, took) = (data.service, now.since(data.sent_at));
        let is_good = now <= data.expires_at;
        self.free_slot(request, slot_ref, Slot::Free);
        self.minions.record_success(slot_ref.minion);
        self.services.get_mut(service).record_service_time(took);
        if let Some(token) = self.requests.detach_caller(request) {
            self.counts.done_count += 1;
            self.services.get_mut(service).burn.record(now, is_good);
            actions.push(Action::Deliver { token });
        }
        self.requests.remove(request);
    }

    /// Retries a request that was not sent; this is safe even if the request is
    /// unsafe to repeat.
    fn on_not_sent(&mut self, now: Instant, request: Request, actions: &mut Vec<Action>) {
        let Stage::Sent(slot_ref) = self.requests.get(request).stage else {
            return;
        };
        self.free_slot(request, slot_ref, Slot::Free);
        self.record_failure(now, slot_ref.minion);
        if self.may_retry(now, request) {
            self.retry(request);
            return;
        }
        let give_up = not_run("no minion could be reached", RETRY_AFTER);
        self.give_up(now, request, give_up, actions);
        self.requests.remove(request);
    }

    fn on_interrupted(&mut self, now: Instant, request: Request, actions: &mut Vec<Action>) {
        let Stage::Sent(slot_ref) = self.requests.get(request).stage else {
            return;
        };
        let until = now + self.config.slot_quarantine;
        self.free_slot(request, slot_ref, Slot::Quarantined(until));
        self.record_failure(now, slot_ref.minion);
        let data = self.requests.get(request);
        let is_repeatable = self.services.get(data.service).repeat == Repeat::Repeatable;
        if is_repeatable && self.may_retry(now, request) {
            self.retry(request);
            return;
        }
        let give_up = GiveUp {
            outcome: Outcome::Unknown,
            reason: "the minion's answer was lost".to_owned(),
            retry_after: is_repeatable.then_some(RETRY_AFTER),
        };
        self.give_up(now, request, give_up, actions);
        self.requests.remove(request);
    }

    fn may_retry(&mut self, now: Instant, request: Request) -> bool {
        let data = self.requests.get(request);
        let service = self.services.get_mut(data.service);
        data.token.is_some()
            && now < data.expires_at
            && data.retries_count < service.retry_limit_count
            && service.retry_budget.spend()
    }

    fn retry(&mut self, request: Request) {
        self.counts.retries_count += 1;
        let data = self.requests.get_mut(request);
        data.retries_count += 1;
        let service = data.service;
        data.stage = Stage::Queued;
        self.services.get_mut(service).queue.push_front(request);
        self.queued_count += 1;
    }

    fn record_failure(&mut self, now: Instant, minion: Minion) {
        let config = &self.config;
        self.minions.record_failure(
            now,
            minion,
            config.eject_after_count,
            config.eject_for,
            config.eject_limit_percent,
        );
    }

    fn free_slot(&mut self, request: Request, slot_ref: SlotRef, slot: Slot) {
        self.minions.set_slot(slot_ref.minion, slot_ref.seat, slot);
        let service = self.requests.get(request).service;
        self.services.get_mut(service).inflight_count -= 1;
    }

    fn remove_from_queue(&mut self, request: Request) {
        let service = self.requests.get(request).service;
        let queue = &mut self.services.get_mut(service).queue;
        let before = queue.len();
        queue.retain(|queued| *queued != request);
        self.queued_count -= before - queue.len();
    }

    fn on_caller_disconnected(&mut self, token: u64) {
        let Some(request) = self.requests.request_of_caller(token) else {
            return;
        };
        self.requests.detach_caller(request);
        if self.requests.get(request).stage == Stage::Queued {
            self.remove_from_queue(request);
            self.requests.remove(request);
        }
    }

    /// Sends the caller its final reply.
    fn give_up(
        &mut self,
        now: Instant,
        request: Request,
        give_up: GiveUp,
        actions: &mut Vec<Action>,
    ) {
        let Some(token) = self.requests.detach_caller(request) else {
            return;
        };
        match give_up.outcome {
            Outcome::NotRun => self.counts.not_run_count += 1,
            Outcome::Unknown | Outcome::Done => self.counts.unknown_count += 1,
        }
        let service = self.requests.get(request).service;
        self.services.get_mut(service).burn.record(now, false);
        actions.push(Action::GiveUp { token, give_up });
    }

    fn on_tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.minions.end_quarantines(now);
        let expired: Vec<Request> = self
            .requests
            .iter()
            .filter(|(_, data)| now >= data.expires_at && data.token.is_some())
            .map(|(request, _)| request)
            .collect();
        for request in expired {
            self.expire(now, request, actions);
        }
    }

    fn expire(&mut self, now: Instant, request: Request, actions: &mut Vec<Action>) {
        match self.requests.get(request).stage {
            Stage::Vacant => {}
            Stage::Queued => {
                self.remove_from_queue(request);
                self.give_up(now, request, deadline_passed(), actions);
                self.requests.remove(request);
            }
            // The run may still be granted; the grant is then not used.
            Stage::AwaitingKey(_) => self.give_up(now, request, deadline_passed(), actions),
            // The slot stays in use until the daemon reports the end of the send.
            Stage::Sent(_) => {
                let give_up = GiveUp {
                    outcome: Outcome::Unknown,
                    reason: "the minion did not answer by the deadline".to_owned(),
                    retry_after: None,
                };
                self.give_up(now, request, give_up, actions);
            }
        }
    }

    /// Returns whether no slot of `seat` is in use, so that the seat can be released.
    pub fn is_seat_idle(&self, seat: u32) -> bool {
        self.minions.is_seat_idle(seat)
    }

    /// Returns the number of requests without a final reply or with a slot in use.
    pub fn open_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of requests that wait for a slot.
    pub const fn queued_count(&self) -> usize {
        self.queued_count
    }

    /// Returns the request counters.
    pub const fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the error-budget reports of the current table's rows.
    pub fn burn(&mut self, now: Instant) -> Vec<BurnReport> {
        let services: Vec<Service> = self.services.keys().collect();
        let mut reports = Vec::new();
        for service in services {
            let data = self.services.get_mut(service);
            if data.is_listed {
                reports.push(BurnReport {
                    row: data.name.to_string(),
                    objective_permille: data.objective_permille,
                    deadline_ms: data
                        .deadline
                        .unwrap_or(self.config.default_deadline)
                        .as_ms(),
                    short: data.burn.short(now),
                    long: data.burn.long(now),
                });
            }
        }
        reports
    }
}

fn not_run(reason: &str, retry_after: Duration) -> GiveUp {
    GiveUp {
        outcome: Outcome::NotRun,
        reason: reason.to_owned(),
        retry_after: Some(retry_after.max(RETRY_AFTER)),
    }
}

fn deadline_passed() -> GiveUp {
    not_run("no slot became free by the deadline", RETRY_AFTER)
}
