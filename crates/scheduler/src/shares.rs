//! Fair sharing of a service's capacity between customers.
//!
//! Each service has a virtual clock, and each customer with work in the service has a tag.
//! The clock advances in real time. A customer's fair share is the part of the service's
//! capacity, by dominant resource, that its weight has of the weights of all customers with
//! open jobs there. The tag of a customer that uses exactly its share advances as fast as the
//! clock; that of a customer that uses twice its share gains a second on the clock in each
//! second. The tag of a customer that uses less moves with the clock, so that nobody
//! accumulates credit, and no tag gets further ahead of the clock than a limit.
//!
//! Tags get ahead only while the service is short of capacity: capacity that no other
//! customer needed isn't charged. Otherwise shares affect neither the scheduling order nor
//! preemption.
//!
//! The store's records show which tasks run or wait and whose they are. A new leader
//! lacks only the tags, which start at the clock; they are wrong by at most the limit.

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

/// Granularity, as a part of a customer's share, by which work over its share is ordered:
/// with a finer one, chance would decide instead of urgency.
const EXCESS_STEP_PPM: u64 = WHOLE_PPM / 4;
/// A customer is logged as within its share again once its tag is ahead by less than this, so
/// that one near the threshold isn't logged all the time.
const LAG_WITHIN_SHARE: Duration = Duration::from_ms(500);
/// Minimum interval between log lines for one customer in one service.
const LOG_PERIOD: Duration = Duration::from_ms(10_000);
/// A customer that uses less than this part of its share is well under it: runs of others may
/// be preempted for its jobs that would miss their objective.
const WELL_UNDER_PPM: u64 = WHOLE_PPM / 2;
/// A job that must start within this time would miss its objective: to stop a run, commit its
/// end and start the next one takes about as long.
const MISS_SLACK: Duration = Duration::from_ms(1000);
/// Interval between searches for runs to preempt in a service.
const SEARCH_PERIOD: Duration = Duration::from_ms(100);
/// The limit of jobs in open queues.
const NO_LIMIT: Resources = Resources::new(u32::MAX, u32::MAX, u32::MAX);
/// The weight of the open queues' jobs if no customer has a weight.
const DEFAULT_WEIGHT: f64 = 1.0;

/// A job's rank by its customer's share; the lowest is served first.
///
/// Jobs beyond their customer's rate have no claim to a share and come last. Among the
/// others, those over their customer's share of capacity come last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ShareRank {
    is_beyond_rate: bool,
    /// By how many steps the job is over its customer's share of a service that is short of
    /// capacity; 0 if it is within the share.
    excess_steps_count: u64,
}

impl ShareRank {
    /// Returns the rank of a job in a service that isn't short of capacity.
    pub(crate) const fn of_job(job: &Job) -> Self {
        Self {
            is_beyond_rate: job.is_beyond_rate,
            excess_steps_count: 0,
        }
    }

    /// Returns the rank of a job whose customer already uses or has requested `used_ppm`
    /// millionths of its share and is allowed `allowed_ppm`.
    const fn with_excess(mut self, used_ppm: u64, allowed_ppm: u64) -> Self {
        let excess_ppm = used_ppm.saturating_sub(allowed_ppm);
        self.excess_steps_count = excess_ppm.div_ceil(EXCESS_STEP_PPM);
        self
    }
}

/// A customer's use of a service's capacity, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShareView {
    /// How far the customer's tag is ahead of the service's clock.
    pub lag: Duration,
    /// Its usage in the last scheduling cycle, in thousandths of its share.
    pub share_per_mille: u64,
    /// The number of its open jobs.
    pub open_jobs_count: usize,
    /// The time on the service's virtual clock.
    pub virtual_time: Duration,
    /// Whether the service was short of capacity.
    pub is_short: bool,
}

impl Scheduler {
    /// Returns whether scarce capacity is shared by the customers' weights.
    pub(crate) fn has_fair_shares(&self) -> bool {
        let has_customers = !self.configuration.customers.is_empty();
        has_customers && self.config.features.has(Feature::FairShares)
    }

    /// Opens a job in its customer's account in the service that runs it now, and closes it
    /// in the previous service's account.
    pub(crate) fn open_in_share_account(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let service = &job.queue(&self.configuration).service;
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
        self.stale_demands.insert(id);
    }

    /// Closes a job in its customer's account; its runs stay charged.
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

    /// Moves open jobs to the accounts of the services that their queues belong to now.
    pub(crate) fn update_share_services(&mut self) {
        let ids: Vec<JobId> = self.active.values().copied().collect();
        for id in ids {
            self.open_in_share_account(id);
        }
    }

    /// Updates the shares with the capacity and the demand at the start of a scheduling
    /// cycle.
    pub(crate) fn refresh_shares(
        &mut self,
        now: Instant,
        cycle: &SchedulingCycle,
        out: &mut Vec<Action>,
    ) {
        if !self.has_fair_shares() {
            // All jobs are marked as stale once fair shares are enabled.
            self.stale_demands.clear();
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
            service.capacity = cycle.total_capacity(&service.name);
            let free = cycle.total_free(&service.name);
            service.is_short = service.ready_demand_exceeds(&free, remaining_of);
            service.update_shares(weight_of);
        }
        self.log_share_changes(now, out);
    }

    /// Recomputes the ready demand of jobs that have changed.
    fn refresh_ready_demand(&mut self) {
        for id in self.stale_demands.drain() {
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

    /// Logs the customers that went over their share or returned within it.
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
                // In thousandths of its share.
                let figure = account.share_ppm / 1000;
                let line = Decision::new(DecisionKind::ShareChanged, reason).with_figure(figure);
                out.push(Action::Log(
                    line.with_customer(accounts.get(*owner).to_usage()),
                ));
            }
        }
    }

    /// Returns whether any service is short of capacity that is shared.
    pub(crate) fn is_capacity_short(&self) -> bool {
        let mut services = self.shares.services.values();
        self.has_fair_shares() && services.any(|service| service.is_short)
    }

    /// Returns the ranks of jobs by their customers' shares. `order` is the order in which
    /// each customer's own jobs are served.
    pub(crate) fn share_ranks(&self, order: &[JobId]) -> Vec<ShareRank> {
        let mut ahead: HashMap<(ServiceKey, AccountOwner), u64> = HashMap::new();
        let jobs = order.iter().map(|id| self.jobs.get(id));
        let ranks = jobs.map(|job| job.map(|job| self.share_rank(job, &mut ahead)));
        ranks.map(Option::unwrap_or_default).collect()
    }

    /// Returns a job's rank, and adds its ready demand to what is ahead of its customer's
    /// later jobs.
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
        let requested_ppm = account.share_of(&job.ready_demand, &service.capacity);
        *before_ppm = before_ppm.saturating_add(requested_ppm);
        rank
    }

    /// Returns the customer whose runs may be preempted for a job: the one that is most over
    /// its share, if the job would miss its objective and its own customer is well under its
    /// share.
    pub(crate) fn customer_to_preempt(&self, now: Instant, job: &Job) -> Option<AccountOwner> {
        let service = &self.shares.services[job.service?];
        let preempted_customer = service.most_over_share.filter(|_| self.has_fair_shares())?;
        let account = service.accounts.get(&job.customer)?;
        let latest_start = (job.accepted_at + job.objective) - Duration::from_ms(job.remaining_ms);
        let would_miss = latest_start < now + MISS_SLACK;
        (would_miss && account.share_ppm < WELL_UNDER_PPM).then_some(preempted_customer)
    }

    /// Returns whether runs in a job's service may be searched for preemption now, and
    /// records that they are. This limits how often the service's workers are searched.
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

    /// Returns a customer's share in a service; `None` if it has no account there.
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

/// Returns whether a job is ranked by its customer's share. Jobs of open queues have no
/// customer. Perpetual work that has begun keeps its capacity: if one of its tasks ends, it
/// must restart at once.
fn is_subject_to_share(job: &Job) -> bool {
    let is_perpetual = job.record.spec.steps.iter().any(|step| step.is_perpetual);
    job.customer.is_some() && !(is_perpetual && job.has_begun)
}
