//! Fair shares of a service's room among customers.
//!
//! Each service has a virtual clock, and each customer with work there a tag on it. The
//! clock runs at the pace at which a customer's tag does that has exactly its share running:
//! its weight's part of the service's room, by dominant resource, among the customers that
//! have open jobs there. A customer that has twice its share running is a second further on
//! after each second. The tag of one that has less running goes with the clock, so that
//! nobody saves credit up, and nobody's tag is ahead by more than [`LAG_LIMIT`].
//!
//! Tags only go ahead while the service is short of room: what nobody else asked for is not
//! owed. Neither do the order of service and preemption look at shares otherwise.
//!
//! What is running, what waits and whose it is follow from the store's records. A new leader
//! only does not know the tags, which begin at the clock: it is off by [`LAG_LIMIT`] at most.

use crate::customers::CustomerKey;
use crate::cycle::SchedulingCycle;
use crate::decision::{Decision, DecisionKind};
use crate::dominant::{Room, WHOLE_PPM};
use crate::event::Action;
use crate::features::Feature;
use crate::job::JobId;
use crate::jobs::Job;
use crate::scheduler::Scheduler;
use crate::worker::Run;
use cranelift_entity::{entity_impl, PrimaryMap};
use ospreywing_types::{Duration, Instant};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// How far a tag may be ahead of the clock before its customer's work beyond its share comes
/// after that of others. A judgement: callers come in waves of about a second.
const LAG_SLACK: Duration = Duration::from_ms(1000);
/// The time ahead for which starting work is weighed: work is beyond its customer's share
/// where the customer's tag would be ahead by more than the slack after so long. With the
/// slack, a customer that was within its share may have twice its share running.
const HORIZON: Duration = Duration::from_ms(1000);
/// How far a tag is ahead at most: a customer that has nothing running is within its share
/// again at once, whatever it had before.
const LAG_LIMIT: Duration = Duration::from_ms(LAG_SLACK.as_ms() + HORIZON.as_ms());
/// The steps, in parts of a customer's share, by which work beyond shares is ordered: finer
/// steps would order it by chance in place of urgency.
const EXCESS_STEP_PPM: u64 = WHOLE_PPM / 4;
/// A customer's tag is told as back within its share once it is ahead by less than this, so
/// that one at the threshold is not told of all the time.
const LAG_TOLD_BACK: Duration = Duration::from_ms(500);
/// The least time between two log lines on one customer in one service.
const TOLD_PERIOD: Duration = Duration::from_ms(10_000);
/// A customer that has less than this part of its share running is well under it: others'
/// work may be stopped for what it would miss.
const WELL_UNDER_PPM: u64 = WHOLE_PPM / 2;
/// A customer that has more than so much of its share running, and whose tag is ahead by the
/// slack, gives way.
const WELL_OVER_PPM: u64 = WHOLE_PPM * 3 / 2;
/// A job that must start within this time would miss its objective: a stop, its end in the
/// store and the start that follows take about as long.
const MISS_SLACK: Duration = Duration::from_ms(1000);
/// The time between two searches for runs that give way in a service.
const SEARCH_PERIOD: Duration = Duration::from_ms(100);
/// The weight of open queues' jobs where no customer has one.
const DEFAULT_WEIGHT: f64 = 1.0;
/// Microseconds of virtual time in a millisecond.
const US_PER_MS: u64 = 1000;

/// A service in the accounts of shares.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ServiceKey(u32);
entity_impl!(ServiceKey, "service");

/// Whose work it is: a customer's, or open queues', which have one account.
pub(crate) type Holder = Option<CustomerKey>;

/// A job's place by its customer's share; the smallest is served first.
///
/// Nothing is owed for jobs beyond their customer's rate, so that they come last; and among
/// the others, those beyond its share of room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ShareRank {
    is_beyond_rate: bool,
    /// By how many steps it is beyond its customer's share of room that is short; 0 where it
    /// is within it.
    excess_steps_count: u64,
}

impl ShareRank {
    /// Returns the rank of a job where no room is short.
    pub(crate) const fn of_job(job: &Job) -> Self {
        Self {
            is_beyond_rate: job.is_beyond_rate,
            excess_steps_count: 0,
        }
    }

    /// Returns the same for a job before which its customer has so much running or asked for,
    /// in millionths of its share, where so much is allowed.
    const fn with_ahead(mut self, ahead_ppm: u64, allowed_ppm: u64) -> Self {
        let excess_ppm = ahead_ppm.saturating_sub(allowed_ppm);
        self.excess_steps_count = excess_ppm.div_ceil(EXCESS_STEP_PPM);
        self
    }
}

/// A time that only goes on, in microseconds of a customer's exact share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct VirtualTime {
    us: u64,
}

impl VirtualTime {
    /// Goes on by the work of so many millionths of a share over a time.
    fn advance(&mut self, share_ppm: u64, passed: Duration) {
        let us = passed.as_ms().saturating_mul(US_PER_MS) as f64;
        self.us += (us * share_ppm as f64 / WHOLE_PPM as f64) as u64;
    }

    /// Returns the same, so much later.
    const fn after(self, length: Duration) -> Self {
        Self {
            us: self.us + length.as_ms() * US_PER_MS,
        }
    }

    const fn us_since(self, earlier: Self) -> u64 {
        self.us.saturating_sub(earlier.us)
    }
}

/// What a customer has in one service.
#[derive(Debug, Default)]
struct ShareAccount {
    open_jobs_count: usize,
    running: Room,
    tag: VirtualTime,
    /// What it had running when work was last placed, in millionths of its share.
    share_ppm: u64,
    /// What one millionth of the service's room is of its share, in millionths.
    scale: f64,
    /// Whether it was told to be over its share, and when that was told or taken back.
    is_told_over: bool,
    told_at: Option<Instant>,
}

impl ShareAccount {
    fn is_unused(&self) -> bool {
        self.open_jobs_count == 0 && self.running.is_zero()
    }

    /// Returns how much it may have running or asked for before its further work is beyond
    /// its share, in millionths of that.
    fn allowed_ppm(&self, clock: VirtualTime) -> u64 {
        let left_us = clock.after(LAG_LIMIT).us_since(self.tag);
        left_us * WHOLE_PPM / (HORIZON.as_ms() * US_PER_MS)
    }

    /// Returns what an amount is of its share, in millionths.
    fn share_of(&self, amount: &Room, capacity: &Room) -> u64 {
        (amount.dominant_ppm(capacity) as f64 * self.scale) as u64
    }
}

/// The accounts of one service.
#[derive(Debug)]
struct ServiceShares {
    name: Arc<str>,
    clock: VirtualTime,
    advanced_at: Instant,
    capacity: Room,
    /// Whether what was ready did not fit the free room when work was last placed.
    is_short: bool,
    accounts: BTreeMap<Holder, ShareAccount>,
    /// The customer that is furthest over its share, where one is well over it.
    most_over: Option<Holder>,
    /// When room was last sought among its runs.
    sought_at: Option<Instant>,
}

impl ServiceShares {
    fn new(name: Arc<str>) -> Self {
        Self {
            name,
            clock: VirtualTime::default(),
            advanced_at: Instant::default(),
            capacity: Room::default(),
            is_short: false,
            accounts: BTreeMap::new(),
            most_over: None,
            sought_at: None,
        }
    }

    /// Returns a customer's account, which begins at the clock.
    fn account(&mut self, holder: Holder) -> &mut ShareAccount {
        let tag = self.clock;
        let account = self.accounts.entry(holder);
        account.or_insert_with(|| ShareAccount {
            tag,
            ..ShareAccount::default()
        })
    }

    fn drop_if_unused(&mut self, holder: Holder) {
        if self
            .accounts
            .get(&holder)
            .is_some_and(ShareAccount::is_unused)
        {
            self.accounts.remove(&holder);
        }
    }

    /// Lets the clock and the tags go on.
    fn advance(&mut self, now: Instant) {
        let passed = now.since(self.advanced_at);
        self.advanced_at = self.advanced_at.max(now);
        self.clock.advance(WHOLE_PPM, passed);
        let last = self.clock.after(LAG_LIMIT);
        for account in self.accounts.values_mut() {
            if self.is_short {
                account.tag.advance(account.share_ppm, passed);
            }
            account.tag = account.tag.clamp(self.clock, last);
        }
    }

    /// Works out what each customer has running of its share.
    fn weigh(&mut self, weight_of: impl Fn(Holder) -> f64) {
        let weights = self.accounts.keys().map(|holder| weight_of(*holder));
        let sum: f64 = weights.sum();
        for (holder, account) in &mut self.accounts {
            account.scale = sum / weight_of(*holder);
            account.share_ppm = account.share_of(&account.running, &self.capacity);
        }
        self.most_over = self.find_most_over();
    }
}

impl ServiceShares {
    fn find_most_over(&self) -> Option<Holder> {
        if !self.is_short {
            return None;
        }
        let over = self.accounts.iter().filter(|(_, account)| {
            let lag_us = account.tag.us_since(self.clock);
            account.share_ppm > WELL_OVER_PPM && lag_us >= LAG_SLACK.as_ms() * US_PER_MS
        });
        let most = over.max_by_key(|(_, account)| account.share_ppm);
        most.map(|(holder, _)| *holder)
    }
}

/// What a customer has of a service's room, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShareView {
    /// How far the customer's tag is ahead of the service's clock.
    pub lag: Duration,
    /// What it had running when work was last placed, in thousandths of its share.
    pub share_per_mille: u64,
    /// Its open jobs.
    pub open_jobs_count: usize,
    /// The service's virtual time.
    pub virtual_time: Duration,
    /// Whether the service was short of room.
    pub is_short: bool,
}

/// How customers stand to their shares, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ShareSummary {
    pub(crate) beyond_count: usize,
    pub(crate) largest_lag: Duration,
}

/// The accounts of shares in all services.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    services: PrimaryMap<ServiceKey, ServiceShares>,
    by_name: HashMap<Arc<str>, ServiceKey>,
}

impl Shares {
    fn key_of(&mut self, name: &str) -> ServiceKey {
        if let Some(&key) = self.by_name.get(name) {
            return key;
        }
        let name: Arc<str> = Arc::from(name);
        let key = self.services.push(ServiceShares::new(name.clone()));
        self.by_name.insert(name, key);
        key
    }

    fn open_job(&mut self, service: ServiceKey, holder: Holder) {
        self.services[service].account(holder).open_jobs_count += 1;
    }

    fn close_job(&mut self, service: ServiceKey, holder: Holder) {
        let service = &mut self.services[service];
        service.account(holder).open_jobs_count -= 1;
        service.drop_if_unused(holder);
    }

    /// Notes that nothing asks for room.
    pub(crate) fn rest(&mut self, now: Instant) {
        for service in self.services.values_mut().filter(|it| it.is_short) {
            service.advance(now);
            service.is_short = false;
            service.most_over = None;
        }
    }

    /// Adds a run.
    pub(crate) fn charge(&mut self, run: &Run) {
        if let Some(service) = run.charge.service {
            let account = self.services[service].account(run.charge.customer);
            account.running.add(&run.demand, 1);
        }
    }

    /// Takes a run off.
    pub(crate) fn give_back(&mut self, run: &Run) {
        if let Some(service) = run.charge.service {
            let holder = run.charge.customer;
            let service = &mut self.services[service];
            service.account(holder).running.remove(&run.demand);
            service.drop_if_unused(holder);
        }
    }

    /// Returns how customers stand.
    pub(crate) fn summary(&self) -> ShareSummary {
        let mut summary = ShareSummary::default();
        for service in self.services.values() {
            for account in service.accounts.values() {
                let lag_us = account.tag.us_since(service.clock);
                let lag = Duration::from_ms(lag_us / US_PER_MS);
                summary.largest_lag = summary.largest_lag.max(lag);
                summary.beyond_count += usize::from(lag >= LAG_SLACK);
            }
        }
        summary
    }

    /// Returns the accounts that hold something else than `counted` does, and those whose
    /// tags are behind the clock, or further ahead than any may be.
    pub(crate) fn miscounted(
        &self,
        counted: &BTreeMap<(ServiceKey, Holder), CountedShare>,
    ) -> Option<Arc<str>> {
        let known_count: usize = self.services.values().map(|it| it.accounts.len()).sum();
        let is_wrong = |key: ServiceKey, service: &ServiceShares| {
            service.accounts.iter().any(|(holder, account)| {
                let held = CountedShare {
                    open_jobs_count: account.open_jobs_count,
                    running: account.running,
                };
                let last = service.clock.after(LAG_LIMIT);
                counted.get(&(key, *holder)) != Some(&held) || account.tag > last
            })
        };
        let mut services = self.services.iter();
        let wrong = services.find(|(key, service)| is_wrong(*key, service));
        let missing = (known_count != counted.len()).then(|| Arc::from("of all"));
        wrong.map(|(_, service)| service.name.clone()).or(missing)
    }
}

/// What a customer has in one service, counted anew.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct CountedShare {
    pub(crate) open_jobs_count: usize,
    pub(crate) running: Room,
}

impl Scheduler {
    /// Returns whether room that is short is shared by customers' weights.
    pub(crate) fn has_fair_shares(&self) -> bool {
        let has_customers = !self.configuration.customers.is_empty();
        has_customers && self.config.features.has(Feature::FairShares)
    }

    /// Opens a job in the account of its customer in the service that runs it now.
    pub(crate) fn open_share(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let queue = self.configuration.queue(&job.record.queue);
        let service = queue.map_or(&job.record.service, |queue| &queue.service);
        let service = self.shares.key_of(service);
        job.service = Some(service);
        self.shares.open_job(service, job.customer);
    }

    /// Closes a job's share; what of it still runs stays charged.
    pub(crate) fn close_share(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if let Some(service) = job.service {
            self.shares.close_job(service, job.customer);
        }
    }

    /// Has open jobs follow their queues to other services.
    pub(crate) fn move_shares(&mut self) {
        let ids: Vec<JobId> = self.active.values().copied().collect();
        for id in ids {
            self.close_share(id);
            self.open_share(id);
        }
    }

    /// Takes in, at the begin of a cycle, what room there is and how much is asked for.
    pub(crate) fn refresh_shares(
        &mut self,
        now: Instant,
        cycle: &SchedulingCycle,
        out: &mut Vec<Action>,
    ) {
        if !self.has_fair_shares() {
            return;
        }
        let asked = self.asked_rooms();
        let mean_weight = self.accounts.mean_weight().unwrap_or(DEFAULT_WEIGHT);
        let accounts = &self.accounts;
        let weight_of = |holder: Holder| {
            let weight = holder.and_then(|key| accounts.get(key).weight());
            weight.unwrap_or(mean_weight)
        };
        for (key, service) in self.shares.services.iter_mut() {
            service.advance(now);
            service.capacity = cycle.capacity_of(&service.name);
            let asked = asked.get(&key).copied().unwrap_or_default();
            service.is_short = !asked.fits_in(&cycle.free_of(&service.name));
            service.weigh(weight_of);
        }
        self.tell_shares(now, out);
    }

    /// Returns what is ready to start, by service.
    fn asked_rooms(&mut self) -> HashMap<ServiceKey, Room> {
        let mut asked: HashMap<ServiceKey, Room> = HashMap::new();
        for id in self.active.values() {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            let room = job.ready_room(*id);
            if let Some(service) = job.service.filter(|_| !room.is_zero()) {
                asked.entry(service).or_default().add_room(&room);
            }
        }
        asked
    }

    /// Tells of customers that went over their share, or came back.
    fn tell_shares(&mut self, now: Instant, out: &mut Vec<Action>) {
        let accounts = &self.accounts;
        for service in self.shares.services.values_mut() {
            for (holder, account) in &mut service.accounts {
                let lag_ms = account.tag.us_since(service.clock) / US_PER_MS;
                let is_over = match account.is_told_over {
                    true => lag_ms >= LAG_TOLD_BACK.as_ms(),
                    false => lag_ms >= LAG_SLACK.as_ms(),
                };
                let is_due = account
                    .told_at
                    .is_none_or(|at| now.since(at) >= TOLD_PERIOD);
                if is_over == account.is_told_over || !is_due {
                    continue;
                }
                account.is_told_over = is_over;
                account.told_at = Some(now);
                let reason = match is_over {
                    true => "over its share",
                    false => "within its share",
                };
                // Thousandths of its share.
                let figure = account.share_ppm / 1000;
                let mut line = Decision::new(DecisionKind::Share, reason).with_figure(figure);
                if let Some(key) = holder {
                    line = line.with_customer(accounts.get(*key).to_use());
                }
                out.push(Action::Log(line));
            }
        }
    }

    /// Returns whether a service is short of room that is shared.
    pub(crate) fn is_room_short(&self) -> bool {
        let mut services = self.shares.services.values();
        self.has_fair_shares() && services.any(|service| service.is_short)
    }

    /// Returns the ranks of jobs by their customers' shares, in the order of the jobs, which is
    /// that in which each customer's own work is served.
    pub(crate) fn share_ranks(&self, order: &[JobId]) -> Vec<ShareRank> {
        let mut ahead: HashMap<(ServiceKey, Holder), u64> = HashMap::new();
        let jobs = order.iter().map(|id| self.jobs.get(id));
        let ranks = jobs.map(|job| job.map(|job| self.share_rank(job, &mut ahead)));
        ranks.map(Option::unwrap_or_default).collect()
    }

    /// Returns a job's rank, and adds what it asks for to what is ahead of later jobs.
    fn share_rank(&self, job: &Job, ahead: &mut HashMap<(ServiceKey, Holder), u64>) -> ShareRank {
        let rank = ShareRank::of_job(job);
        let Some(key) = job.service else {
            return rank;
        };
        let service = &self.shares.services[key];
        let account = service.accounts.get(&job.customer);
        let Some(account) = account.filter(|_| service.is_short) else {
            return rank;
        };
        let before = ahead.entry((key, job.customer));
        let before_ppm = before.or_insert(account.share_ppm);
        let rank = rank.with_ahead(*before_ppm, account.allowed_ppm(service.clock));
        *before_ppm += account.share_of(&job.asked, &service.capacity);
        rank
    }

    /// Returns whose runs give way to a job: the customer that is most over its share, where
    /// the job would miss its objective and its own customer is well under its share.
    pub(crate) fn giver_for(&self, now: Instant, job: &Job) -> Option<Holder> {
        let service = &self.shares.services[job.service?];
        let giver = service.most_over.filter(|_| self.has_fair_shares())?;
        let account = service.accounts.get(&job.customer)?;
        let latest_start = (job.accepted_at + job.objective) - Duration::from_ms(job.left_ms);
        let would_miss = latest_start < now + MISS_SLACK;
        (would_miss && account.share_ppm < WELL_UNDER_PPM).then_some(giver)
    }

    /// Returns whether room may be sought now among runs in the service of a job, and notes
    /// that it is: that goes over the service's workers.
    pub(crate) fn begin_search_for_share(&mut self, now: Instant, id: JobId) -> bool {
        let key = self.jobs.get(&id).and_then(|job| job.service);
        let Some(key) = key else {
            return false;
        };
        let sought_at = &mut self.shares.services[key].sought_at;
        let is_due = sought_at.is_none_or(|at| now.since(at) >= SEARCH_PERIOD);
        if is_due {
            *sought_at = Some(now);
        }
        is_due
    }

    /// Returns how a customer stands in a service; `None` where it has nothing there.
    pub fn share_of(&self, service: &str, customer: Option<&str>) -> Option<ShareView> {
        let key = self.shares.by_name.get(service)?;
        let holder = match customer {
            Some(name) => Some(self.accounts.key_by_name(name)?),
            None => None,
        };
        let service = &self.shares.services[*key];
        let account = service.accounts.get(&holder)?;
        Some(ShareView {
            lag: Duration::from_ms(account.tag.us_since(service.clock) / US_PER_MS),
            share_per_mille: account.share_ppm / 1000,
            open_jobs_count: account.open_jobs_count,
            virtual_time: Duration::from_ms(service.clock.us / US_PER_MS),
            is_short: service.is_short,
        })
    }
}
