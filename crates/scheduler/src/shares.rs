//! Fair shares of a service's room among customers.
//!
//! Each service has a virtual clock, and each customer with work there a tag on it. The
//! clock runs at the pace at which a customer's tag does that has exactly its share running:
//! its weight's part of the service's room, by dominant resource, among the customers that
//! have open jobs there. A customer that has twice its share running is a second further on
//! after each second. The tag of one that has less running goes with the clock, so that
//! nobody saves credit up, and nobody's tag is ahead by more than its limit.
//!
//! Tags only go ahead while the service is short of room: what nobody else asked for is not
//! owed. Neither do the order of service and preemption look at shares otherwise.
//!
//! What is running, what waits and whose it is follow from the store's records. A new leader
//! only does not know the tags, which begin at the clock: it is off by that limit at most.

use crate::cycle::SchedulingCycle;
use crate::decision::{Decision, DecisionKind};
use crate::event::Action;
use crate::features::Feature;
use crate::job::JobId;
use crate::jobs::Job;
use crate::resource_totals::{ResourceTotals, WHOLE_PPM};
use crate::scheduler::Scheduler;
use crate::share_accounts::{AccountOwner, ServiceKey, VirtualTime, LAG_SLACK};
use crate::state::Phase;
use ospreywing_types::{Duration, Instant, Resources};
use std::collections::HashMap;

/// The steps, in parts of a customer's share, by which work beyond shares is ordered: finer
/// steps would order it by chance in place of urgency.
const EXCESS_STEP_PPM: u64 = WHOLE_PPM / 4;
/// A customer's tag is told as back within its share once it is ahead by less than this, so
/// that one at the threshold is not told of all the time.
const LAG_WITHIN_SHARE: Duration = Duration::from_ms(500);
/// The least time between two log lines on one customer in one service.
const LOG_PERIOD: Duration = Duration::from_ms(10_000);
/// A customer that has less than this part of its share running is well under it: others'
/// work may be stopped for what it would miss.
const WELL_UNDER_PPM: u64 = WHOLE_PPM / 2;
/// A job that must start within this time would miss its objective: a stop, its end in the
/// store and the start that follows take about as long.
const MISS_SLACK: Duration = Duration::from_ms(1000);
/// The time between two searches for runs that give way in a service.
const SEARCH_PERIOD: Duration = Duration::from_ms(100);
/// What open queues' jobs may have running.
const NO_LIMIT: Resources = Resources::new(u32::MAX, u32::MAX, u32::MAX);
/// The weight of open queues' jobs where no customer has one.
const DEFAULT_WEIGHT: f64 = 1.0;

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
    const fn with_excess(mut self, used_ppm: u64, allowed_ppm: u64) -> Self {
        let excess_ppm = used_ppm.saturating_sub(allowed_ppm);
        self.excess_steps_count = excess_ppm.div_ceil(EXCESS_STEP_PPM);
        self
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

impl Scheduler {
    /// Returns whether room that is short is shared by customers' weights.
    pub(crate) fn has_fair_shares(&self) -> bool {
        let has_customers = !self.configuration.customers.is_empty();
        has_customers && self.config.features.has(Feature::FairShares)
    }

    /// Opens a job in the account of its customer in the service that runs it now, and closes
    /// it in the one that did before.
    pub(crate) fn open_in_share_account(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let queue = self.configuration.queue(&job.record.queue);
        let service = queue.map_or(&job.record.service, |queue| &queue.service);
        let service = self.shares.key_or_insert(service);
        self.shares.open_job(service, job.customer);
        if let Some(before) = job.service.replace(service) {
            let ready_demand = core::mem::take(&mut job.ready_demand);
            let owner = job.customer;
            self.shares.replace_ready_demand(
                before,
                owner,
                &ready_demand,
                &ResourceTotals::default(),
            );
            self.shares.close_job(before, job.customer);
        }
        self.stale_ready_demand.insert(id);
    }

    /// Closes a job's share; what of it still runs stays charged.
    pub(crate) fn close_in_share_account(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if let Some(service) = job.service {
            let ready_demand = core::mem::take(&mut job.ready_demand);
            let owner = job.customer;
            self.shares.replace_ready_demand(
                service,
                owner,
                &ready_demand,
                &ResourceTotals::default(),
            );
            self.shares.close_job(service, job.customer);
        }
    }

    /// Has open jobs follow their queues to other services.
    pub(crate) fn update_share_services(&mut self) {
        let ids: Vec<JobId> = self.active.values().copied().collect();
        for id in ids {
            self.open_in_share_account(id);
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
            // All are counted once shares come into force.
            self.stale_ready_demand.clear();
            return;
        }
        self.refresh_ready_demand();
        let mean_weight = self.accounts.mean_weight().unwrap_or(DEFAULT_WEIGHT);
        let accounts = &self.accounts;
        let weight_of = |owner: AccountOwner| {
            let weight = owner.and_then(|key| accounts.get(key).weight());
            weight.unwrap_or(mean_weight)
        };
        let remaining_of =
            |owner: AccountOwner| owner.map_or(NO_LIMIT, |key| accounts.get(key).remaining());
        for service in self.shares.services.values_mut() {
            service.advance(now);
            service.capacity = cycle.capacity_of(&service.name);
            let free = cycle.free_of(&service.name);
            service.is_short = service.ready_demand_exceeds(&free, remaining_of);
            service.update_shares(weight_of);
        }
        self.log_share_changes(now, out);
    }

    /// Counts anew what jobs ask for that have changed.
    fn refresh_ready_demand(&mut self) {
        for id in self.stale_ready_demand.drain() {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if let Some(service) = job.service.filter(|_| job.state.phase == Phase::Active) {
                let ready_demand = job.current_ready_demand(id);
                let before = core::mem::replace(&mut job.ready_demand, ready_demand);
                let owner = job.customer;
                self.shares
                    .replace_ready_demand(service, owner, &before, &ready_demand);
            }
        }
    }

    /// Tells of customers that went over their share, or came back.
    fn log_share_changes(&mut self, now: Instant, out: &mut Vec<Action>) {
        let accounts = &self.accounts;
        for service in self.shares.services.values_mut() {
            for (owner, account) in &mut service.accounts {
                let Some(owner) = owner else {
                    continue;
                };
                let lag = account.lag(service.clock);
                let is_over = match account.is_logged_over {
                    true => lag >= LAG_WITHIN_SHARE,
                    false => lag >= LAG_SLACK,
                };
                let is_due = account
                    .logged_at
                    .is_none_or(|at| now.since(at) >= LOG_PERIOD);
                if is_over == account.is_logged_over || !is_due {
                    continue;
                }
                account.is_logged_over = is_over;
                account.logged_at = Some(now);
                let reason = match is_over {
                    true => "over its share",
                    false => "within its share",
                };
                // Thousandths of its share.
                let figure = account.share_ppm / 1000;
                let line = Decision::new(DecisionKind::Share, reason).with_figure(figure);
                out.push(Action::Log(
                    line.with_customer(accounts.get(*owner).to_usage()),
                ));
            }
        }
    }

    /// Returns whether a service is short of room that is shared.
    pub(crate) fn is_capacity_short(&self) -> bool {
        let mut services = self.shares.services.values();
        self.has_fair_shares() && services.any(|service| service.is_short)
    }

    /// Returns the ranks of jobs by their customers' shares, in the order of the jobs, which is
    /// that in which each customer's own work is served.
    pub(crate) fn share_ranks(&self, order: &[JobId]) -> Vec<ShareRank> {
        let mut ahead: HashMap<(ServiceKey, AccountOwner), u64> = HashMap::new();
        let jobs = order.iter().map(|id| self.jobs.get(id));
        let ranks = jobs.map(|job| job.map(|job| self.share_rank(job, &mut ahead)));
        ranks.map(Option::unwrap_or_default).collect()
    }

    /// Returns a job's rank, and adds what it asks for to what is ahead of later jobs.
    fn share_rank(
        &self,
        job: &Job,
        ahead: &mut HashMap<(ServiceKey, AccountOwner), u64>,
    ) -> ShareRank {
        let rank = ShareRank::of_job(job);
        let Some(key) = job.service.filter(|_| is_subject_to_share(job)) else {
            return rank;
        };
        let service = &self.shares.services[key];
        let account = service.accounts.get(&job.customer);
        let Some(account) = account.filter(|_| service.is_short) else {
            return rank;
        };
        let before = ahead.entry((key, job.customer));
        let before_ppm = before.or_insert(account.share_ppm);
        let rank = rank.with_excess(*before_ppm, account.allowed_ppm(service.clock));
        let asked_ppm = account.share_of(&job.ready_demand, &service.capacity);
        *before_ppm = before_ppm.saturating_add(asked_ppm);
        rank
    }

    /// Returns whose runs give way to a job: the customer that is most over its share, where
    /// the job would miss its objective and its own customer is well under its share.
    pub(crate) fn customer_to_preempt(&self, now: Instant, job: &Job) -> Option<AccountOwner> {
        let service = &self.shares.services[job.service?];
        let preempted_customer = service.most_over_share.filter(|_| self.has_fair_shares())?;
        let account = service.accounts.get(&job.customer)?;
        let latest_start = (job.accepted_at + job.objective) - Duration::from_ms(job.remaining_ms);
        let would_miss = latest_start < now + MISS_SLACK;
        (would_miss && account.share_ppm < WELL_UNDER_PPM).then_some(preempted_customer)
    }

    /// Returns whether room may be sought now among runs in the service of a job, and notes
    /// that it is: that goes over the service's workers.
    pub(crate) fn try_begin_share_search(&mut self, now: Instant, id: JobId) -> bool {
        let key = self.jobs.get(&id).and_then(|job| job.service);
        let Some(key) = key else {
            return false;
        };
        let last_search_at = &mut self.shares.services[key].last_search_at;
        let is_due = last_search_at.is_none_or(|at| now.since(at) >= SEARCH_PERIOD);
        if is_due {
            *last_search_at = Some(now);
        }
        is_due
    }

    /// Returns how a customer stands in a service; `None` where it has nothing there.
    pub fn share_of(&self, service: &str, customer: Option<&str>) -> Option<ShareView> {
        let key = self.shares.by_name.get(service)?;
        let owner = match customer {
            Some(name) => Some(self.accounts.key_by_name(name)?),
            None => None,
        };
        let service = &self.shares.services[*key];
        let account = service.accounts.get(&owner)?;
        Some(ShareView {
            lag: account.lag(service.clock),
            share_per_mille: account.share_ppm / 1000,
            open_jobs_count: account.open_jobs_count,
            virtual_time: service.clock.since(VirtualTime::default()),
            is_short: service.is_short,
        })
    }
}

/// Returns whether a job comes later where its customer is over its share. Jobs of open
/// queues are nobody's to be held to one, and perpetual work that has begun keeps its room: a
/// task of it that ends must go on at once.
fn is_subject_to_share(job: &Job) -> bool {
    let is_perpetual = job.record.spec.steps.iter().any(|step| step.is_perpetual);
    job.customer.is_some() && !(is_perpetual && job.has_begun)
}
