//! The accounts of shares: a virtual clock for each service, and what customers have there.
//!
//! Only customers with open jobs or runs have an account, so that there are no more than
//! these.

use crate::customers::CustomerKey;
use crate::resource_totals::{ResourceTotals, WHOLE_PPM};
use crate::worker::Run;
use cranelift_entity::{entity_impl, PrimaryMap};
use ospreywing_types::{Duration, Instant, Resources};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// How far a tag may be ahead of the clock before its customer's work beyond its share comes
/// after that of others. A judgement: callers come in waves of about a second.
pub(crate) const LAG_SLACK: Duration = Duration::from_ms(1000);
/// The time ahead for which starting work is weighed: work is beyond its customer's share
/// where the customer's tag would be ahead by more than the slack after so long. With the
/// slack, a customer that was within its share may have twice its share running.
const HORIZON: Duration = Duration::from_ms(1000);
/// How far a tag is ahead at most: a customer that has nothing running is within its share
/// again at once, whatever it had before.
const LAG_LIMIT: Duration = Duration::from_ms(LAG_SLACK.as_ms() + HORIZON.as_ms());
/// A customer that has more than so much of its share running, and whose tag is ahead by the
/// slack, gives way.
const WELL_OVER_PPM: u64 = WHOLE_PPM * 3 / 2;
/// Microseconds of virtual time in a millisecond.
const US_PER_MS: u64 = 1000;

/// A service in the accounts of shares.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ServiceKey(u32);
entity_impl!(ServiceKey, "service");

/// Whose work it is: a customer's, or open queues', which have one account.
pub(crate) type AccountOwner = Option<CustomerKey>;

/// A time that only goes on, in microseconds of a customer's exact share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct VirtualTime {
    us: u64,
}

impl VirtualTime {
    /// Goes on by the work of so many millionths of a share over a time.
    fn advance(&mut self, share_ppm: u64, passed: Duration) {
        let us = passed.as_ms().saturating_mul(US_PER_MS) as f64;
        let us = us * share_ppm as f64 / WHOLE_PPM as f64;
        self.us = self.us.saturating_add(us as u64);
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

    /// Returns the time since an earlier one.
    pub(crate) const fn since(self, earlier: Self) -> Duration {
        Duration::from_ms(self.us_since(earlier) / US_PER_MS)
    }
}

/// What a customer has in one service.
#[derive(Debug, Default)]
pub(crate) struct ShareAccount {
    pub(crate) open_jobs_count: usize,
    running: ResourceTotals,
    /// What is ready to start.
    pub(crate) ready_demand: ResourceTotals,
    tag: VirtualTime,
    /// What it had running when work was last placed, in millionths of its share.
    pub(crate) share_ppm: u64,
    /// What one millionth of the service's room is of its share, in millionths.
    scale: f64,
    /// Whether it was told to be over its share, and when that was told or taken back.
    pub(crate) is_logged_over: bool,
    pub(crate) logged_at: Option<Instant>,
}

impl ShareAccount {
    fn is_unused(&self) -> bool {
        self.open_jobs_count == 0 && self.running.is_zero()
    }

    /// Returns how far its tag is ahead of the clock.
    pub(crate) const fn lag(&self, clock: VirtualTime) -> Duration {
        self.tag.since(clock)
    }

    /// Returns how much it may have running or asked for before its further work is beyond
    /// its share, in millionths of that.
    pub(crate) fn allowed_ppm(&self, clock: VirtualTime) -> u64 {
        let left_us = clock.after(LAG_LIMIT).us_since(self.tag);
        left_us * WHOLE_PPM / (HORIZON.as_ms() * US_PER_MS)
    }

    /// Returns what an amount is of its share, in millionths.
    pub(crate) fn share_of(&self, amount: &ResourceTotals, capacity: &ResourceTotals) -> u64 {
        (amount.dominant_share_ppm(capacity) as f64 * self.scale) as u64
    }
}

/// The accounts of one service.
#[derive(Debug)]
pub(crate) struct ServiceShares {
    pub(crate) name: Arc<str>,
    pub(crate) clock: VirtualTime,
    advanced_at: Instant,
    pub(crate) capacity: ResourceTotals,
    /// Whether what was ready did not fit the free room when work was last placed.
    pub(crate) is_short: bool,
    pub(crate) accounts: BTreeMap<AccountOwner, ShareAccount>,
    /// The customer that is furthest over its share, where one is well over it.
    pub(crate) most_over_share: Option<AccountOwner>,
    /// When room was last sought among its runs.
    pub(crate) last_search_at: Option<Instant>,
}

impl ServiceShares {
    fn new(name: Arc<str>) -> Self {
        Self {
            name,
            clock: VirtualTime::default(),
            advanced_at: Instant::default(),
            capacity: ResourceTotals::default(),
            is_short: false,
            accounts: BTreeMap::new(),
            most_over_share: None,
            last_search_at: None,
        }
    }

    /// Returns whether what is ready does not fit a room, of each customer as much as may
    /// still start of it.
    pub(crate) fn ready_demand_exceeds(
        &self,
        free: &ResourceTotals,
        remaining_of: impl Fn(AccountOwner) -> Resources,
    ) -> bool {
        let mut ready_demand = ResourceTotals::default();
        for (owner, account) in &self.accounts {
            ready_demand.add_totals(&account.ready_demand.capped(&remaining_of(*owner)));
        }
        !ready_demand.fits_in(free)
    }

    /// Returns a customer's account, which begins at the clock.
    fn account(&mut self, owner: AccountOwner) -> &mut ShareAccount {
        let tag = self.clock;
        let account = self.accounts.entry(owner);
        account.or_insert_with(|| ShareAccount {
            tag,
            ..ShareAccount::default()
        })
    }

    fn drop_if_unused(&mut self, owner: AccountOwner) {
        let account = self.accounts.get(&owner);
        if account.is_some_and(ShareAccount::is_unused) {
            self.accounts.remove(&owner);
        }
    }

    /// Lets the clock and the tags go on.
    pub(crate) fn advance(&mut self, now: Instant) {
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
    pub(crate) fn update_shares(&mut self, weight_of: impl Fn(AccountOwner) -> f64) {
        let weights = self.accounts.keys().map(|owner| weight_of(*owner));
        let sum: f64 = weights.sum();
        for (owner, account) in &mut self.accounts {
            account.scale = sum / weight_of(*owner);
            account.share_ppm = account.share_of(&account.running, &self.capacity);
        }
        self.most_over_share = self.find_most_over_share();
    }

    fn find_most_over_share(&self) -> Option<AccountOwner> {
        if !self.is_short {
            return None;
        }
        let over = self.accounts.iter().filter(|(owner, account)| {
            let is_well_over = account.share_ppm > WELL_OVER_PPM;
            owner.is_some() && is_well_over && account.lag(self.clock) >= LAG_SLACK
        });
        let most = over.max_by_key(|(_, account)| account.share_ppm);
        most.map(|(owner, _)| *owner)
    }
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
    pub(crate) services: PrimaryMap<ServiceKey, ServiceShares>,
    pub(crate) by_name: HashMap<Arc<str>, ServiceKey>,
}

impl Shares {
    pub(crate) fn key_or_insert(&mut self, name: &str) -> ServiceKey {
        if let Some(&key) = self.by_name.get(name) {
            return key;
        }
        let name: Arc<str> = Arc::from(name);
        let key = self.services.push(ServiceShares::new(name.clone()));
        self.by_name.insert(name, key);
        key
    }

    pub(crate) fn open_job(&mut self, service: ServiceKey, owner: AccountOwner) {
        self.services[service].account(owner).open_jobs_count += 1;
    }

    pub(crate) fn close_job(&mut self, service: ServiceKey, owner: AccountOwner) {
        let service = &mut self.services[service];
        service.account(owner).open_jobs_count -= 1;
        service.drop_if_unused(owner);
    }

    /// Counts anew what a job asks for in a service.
    pub(crate) fn replace_ready_demand(
        &mut self,
        service: ServiceKey,
        owner: AccountOwner,
        before: &ResourceTotals,
        after: &ResourceTotals,
    ) {
        let account = self.services[service].account(owner);
        account.ready_demand.subtract_totals(before);
        account.ready_demand.add_totals(after);
    }

    /// Notes that nothing asks for room.
    pub(crate) fn mark_none_short(&mut self, now: Instant) {
        for service in self.services.values_mut().filter(|it| it.is_short) {
            service.advance(now);
            service.is_short = false;
            service.most_over_share = None;
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
    pub(crate) fn refund(&mut self, run: &Run) {
        if let Some(service) = run.charge.service {
            let owner = run.charge.customer;
            let service = &mut self.services[service];
            service.account(owner).running.remove(&run.demand);
            service.drop_if_unused(owner);
        }
    }

    /// Returns how customers stand.
    pub(crate) fn summary(&self) -> ShareSummary {
        let mut summary = ShareSummary::default();
        for service in self.services.values() {
            for account in service.accounts.values() {
                let lag = account.lag(service.clock);
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
        counted: &BTreeMap<(ServiceKey, AccountOwner), CountedShare>,
    ) -> Option<Arc<str>> {
        let known_count: usize = self.services.values().map(|it| it.accounts.len()).sum();
        let is_wrong = |key: ServiceKey, service: &ServiceShares| {
            let mut accounts = service.accounts.iter();
            accounts.any(|(owner, account)| {
                let held = CountedShare {
                    open_jobs_count: account.open_jobs_count,
                    running: account.running,
                    ready_demand: account.ready_demand,
                };
                let last = service.clock.after(LAG_LIMIT);
                counted.get(&(key, *owner)) != Some(&held) || account.tag > last
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
    pub(crate) running: ResourceTotals,
    pub(crate) ready_demand: ResourceTotals,
}
