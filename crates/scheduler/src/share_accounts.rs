//! Fair-share accounts: a virtual clock per service, and what customers use there.
//!
//! Only customers with open jobs or runs have an account, which bounds the number of
//! accounts.

use crate::customers::CustomerKey;
use crate::resource_totals::{ResourceTotals, WHOLE_PPM};
use crate::worker::Run;
use cranelift_entity::{entity_impl, PrimaryMap};
use ospreywing_types::{Duration, Instant, Resources};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// How far a tag may be ahead of the clock before the customer's work over its share comes
/// after that of others; callers arrive in bursts of about a second.
pub(crate) const LAG_SLACK: Duration = Duration::from_ms(1000);
/// Work is over its customer's share if it would put the customer's tag ahead by more than
/// [`LAG_SLACK`] after this time. With the slack, a customer that was within its share may
/// use twice its share.
const HORIZON: Duration = Duration::from_ms(1000);
/// Upper bound of how far a tag is ahead: a customer without runs is within its share again
/// at once, whatever it used before.
const LAG_LIMIT: Duration = Duration::from_ms(LAG_SLACK.as_ms() + HORIZON.as_ms());
/// Runs of a customer that uses more than this part of its share may be preempted, if its tag
/// is ahead by the slack.
const WELL_OVER_PPM: u64 = WHOLE_PPM * 3 / 2;
/// Microseconds of virtual time in a millisecond.
const US_PER_MS: u64 = 1000;

/// A service in the fair-share accounts.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ServiceKey(u32);
entity_impl!(ServiceKey, "service");

/// The owner of an account: a customer, or `None` for the jobs of all open queues.
pub(crate) type AccountOwner = Option<CustomerKey>;

/// A time on a virtual clock, in microseconds. A customer's tag is one too: it advances in
/// real time if the customer uses exactly its share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct VirtualTime {
    us: u64,
}

impl VirtualTime {
    /// Advances by a usage in millionths of a share over a time.
    fn advance(&mut self, share_ppm: u64, elapsed: Duration) {
        let us = elapsed.as_ms().saturating_mul(US_PER_MS) as f64;
        let us = us * share_ppm as f64 / WHOLE_PPM as f64;
        self.us = self.us.saturating_add(us as u64);
    }

    /// Returns the virtual time that is later by `duration`.
    const fn after(self, duration: Duration) -> Self {
        Self {
            us: self.us + duration.as_ms() * US_PER_MS,
        }
    }

    const fn us_since(self, earlier: Self) -> u64 {
        self.us.saturating_sub(earlier.us)
    }

    /// Returns the time since an earlier virtual time.
    pub(crate) const fn since(self, earlier: Self) -> Duration {
        Duration::from_ms(self.us_since(earlier) / US_PER_MS)
    }
}

/// A customer's account in one service.
#[derive(Debug, Default)]
pub(crate) struct ShareAccount {
    pub(crate) open_jobs_count: usize,
    running: ResourceTotals,
    /// The demand of its tasks that are ready to start.
    pub(crate) ready_demand: ResourceTotals,
    tag: VirtualTime,
    /// Its usage in the last scheduling cycle, in millionths of its share.
    pub(crate) share_ppm: u64,
    /// The service's capacity divided by the customer's share.
    scale: f64,
    /// Whether it was last logged as over its share, and the time of the last log line.
    pub(crate) is_logged_over: bool,
    pub(crate) logged_at: Option<Instant>,
}

impl ShareAccount {
    fn is_unused(&self) -> bool {
        self.open_jobs_count == 0 && self.running.is_zero()
    }

    /// Returns how far the tag is ahead of the clock.
    pub(crate) const fn lag(&self, clock: VirtualTime) -> Duration {
        self.tag.since(clock)
    }

    /// Returns how much the customer may use or request before further work is over its
    /// share, in millionths of the share.
    pub(crate) fn allowed_ppm(&self, clock: VirtualTime) -> u64 {
        let remaining_us = clock.after(LAG_LIMIT).us_since(self.tag);
        remaining_us * WHOLE_PPM / (HORIZON.as_ms() * US_PER_MS)
    }

    /// Returns an amount in millionths of the customer's share.
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
    /// Whether the ready demand exceeded the free capacity in the last scheduling cycle.
    pub(crate) is_short: bool,
    pub(crate) accounts: BTreeMap<AccountOwner, ShareAccount>,
    /// The customer that is most over its share, if one is well over it.
    pub(crate) most_over_share: Option<AccountOwner>,
    /// The time of the last search for runs to preempt.
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

    /// Returns whether the ready demand exceeds the free capacity; the demand of each
    /// customer counts up to its remaining limit.
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

    /// Returns a customer's account; a new one's tag starts at the clock.
    fn account(&mut self, owner: AccountOwner) -> &mut ShareAccount {
        let tag = self.clock;
        let account = self.accounts.entry(owner);
        account.or_insert_with(|| ShareAccount {
            tag,
            ..ShareAccount::default()
        })
    }

    fn remove_if_unused(&mut self, owner: AccountOwner) {
        let account = self.accounts.get(&owner);
        if account.is_some_and(ShareAccount::is_unused) {
            self.accounts.remove(&owner);
        }
    }

    /// Advances the clock and the tags.
    pub(crate) fn advance(&mut self, now: Instant) {
        let elapsed = now.since(self.advanced_at);
        self.advanced_at = self.advanced_at.max(now);
        self.clock.advance(WHOLE_PPM, elapsed);
        let last = self.clock.after(LAG_LIMIT);
        for account in self.accounts.values_mut() {
            if self.is_short {
                account.tag.advance(account.share_ppm, elapsed);
            }
            account.tag = account.tag.clamp(self.clock, last);
        }
    }

    /// Recomputes each customer's usage of its share.
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

/// A summary of all accounts, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ShareSummary {
    pub(crate) over_share_count: usize,
    pub(crate) largest_lag: Duration,
}

/// The fair-share accounts of all services.
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
        service.remove_if_unused(owner);
    }

    /// Replaces a job's ready demand in its customer's account.
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

    /// Marks all services as not short of capacity, since no job waits for any.
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

    /// Removes a run.
    pub(crate) fn refund(&mut self, run: &Run) {
        if let Some(service) = run.charge.service {
            let owner = run.charge.customer;
            let service = &mut self.services[service];
            service.account(owner).running.subtract(&run.demand);
            service.remove_if_unused(owner);
        }
    }

    /// Returns a summary of all accounts.
    pub(crate) fn summary(&self) -> ShareSummary {
        let mut summary = ShareSummary::default();
        for service in self.services.values() {
            for account in service.accounts.values() {
                let lag = account.lag(service.clock);
                summary.largest_lag = summary.largest_lag.max(lag);
                summary.over_share_count += usize::from(lag >= LAG_SLACK);
            }
        }
        summary
    }

    /// Returns the service of an account that differs from `counted`, or whose tag is further
    /// ahead of the clock than the limit. Returns `of all` if only the number of accounts
    /// differs.
    pub(crate) fn miscounted(
        &self,
        counted: &BTreeMap<(ServiceKey, AccountOwner), CountedShare>,
    ) -> Option<Arc<str>> {
        let known_count: usize = self.services.values().map(|it| it.accounts.len()).sum();
        let is_wrong = |key: ServiceKey, service: &ServiceShares| {
            let mut accounts = service.accounts.iter();
            accounts.any(|(owner, account)| {
                let recorded = CountedShare {
                    open_jobs_count: account.open_jobs_count,
                    running: account.running,
                    ready_demand: account.ready_demand,
                };
                let last = service.clock.after(LAG_LIMIT);
                counted.get(&(key, *owner)) != Some(&recorded) || account.tag > last
            })
        };
        let mut services = self.services.iter();
        let wrong = services.find(|(key, service)| is_wrong(*key, service));
        let missing = (known_count != counted.len()).then(|| Arc::from("of all"));
        wrong.map(|(_, service)| service.name.clone()).or(missing)
    }
}

/// A customer's use of one service, recomputed for verification.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct CountedShare {
    pub(crate) open_jobs_count: usize,
    pub(crate) running: ResourceTotals,
    pub(crate) ready_demand: ResourceTotals,
}
