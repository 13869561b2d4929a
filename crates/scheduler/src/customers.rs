//! Customers: the limit of each, and what it uses of it.
//!
//! A customer's account contains the demand of all its runs that may be alive: recorded but
//! not sent yet, in flight, running, being stopped, and those of unresponsive workers until
//! their leases have certainly expired. The same table of runs keeps workers from being
//! overcommitted, so both counts are equally reliable.

use crate::config::Configuration;
use crate::job::{JobRecord, StepKey, StepSpec};
use crate::limits::min_start_count;
use crate::policies::JobPolicy;
use crate::scheduler::Scheduler;
use crate::share_accounts::ServiceKey;
use crate::token_bucket::TokenBucket;
use cranelift_entity::{entity_impl, PrimaryMap};
use ospreywing_types::{Instant, Resources};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;

/// A customer as configured by the operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// The name.
    pub name: Arc<str>,
    /// The rate at which it may submit jobs that are served in the normal order; jobs beyond
    /// it are served last. Also its weight in fair shares.
    pub jobs_per_s: f64,
    /// The resources that all its runs together may use; 0 means no limit for that resource.
    pub limit: Resources,
}

impl Customer {
    /// Returns the first step that can never run within the limit, because a task or, in a
    /// gang, all members together exceed it.
    pub fn impossible_step(&self, record: &JobRecord) -> Option<usize> {
        let limit = effective_limit(self.limit);
        let is_impossible = |step: &StepSpec| !min_demand(step).fits_in(&limit);
        record.spec.steps.iter().position(is_impossible)
    }
}

/// Returns the demand of the tasks that a step must run at once to make progress.
fn min_demand(step: &StepSpec) -> Resources {
    step.demand.times(min_start_count(step))
}

/// Returns the limit with each 0, which means no limit, replaced by the largest number.
fn effective_limit(limit: Resources) -> Resources {
    let part = |limit: u32| if limit == 0 { u32::MAX } else { limit };
    Resources::new(
        part(limit.cores_milli),
        part(limit.memory_mib),
        part(limit.accelerators_count),
    )
}

/// A customer's usage and limit, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CustomerUsage {
    /// The name.
    pub name: Arc<str>,
    /// The resources that its runs use.
    pub used: Resources,
    /// The limit; 0 means no limit for that resource.
    pub limit: Resources,
}

/// The key of a customer's account within one scheduler.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct CustomerKey(u32);
entity_impl!(CustomerKey, "customer");

/// What a run uses of its customer's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Charge {
    /// The customer; `None` for a job of an open queue or an unknown job.
    pub(crate) customer: Option<CustomerKey>,
    /// The service of whose capacity it uses a share; `None` if the job isn't known.
    pub(crate) service: Option<ServiceKey>,
    /// The amount. It includes the cores of fillers, which don't count against their
    /// worker's capacity.
    pub(crate) amount: Resources,
}

/// A customer's usage and limits.
#[derive(Debug)]
pub(crate) struct Account {
    pub(crate) name: Arc<str>,
    /// The limit; 0 means no limit for that resource.
    limit: Resources,
    pub(crate) used: Resources,
    rate: TokenBucket,
    /// The weight in fair shares, if it has one.
    weight: Option<f64>,
    /// The version of the configuration that set the limit and the weight; 0 if none did.
    version: u64,
}

impl Account {
    fn new(name: Arc<str>) -> Self {
        Self {
            name,
            limit: Resources::ZERO,
            used: Resources::ZERO,
            rate: TokenBucket::default(),
            weight: None,
            version: 0,
        }
    }

    fn configure(&mut self, customer: &Customer, version: u64) {
        self.limit = customer.limit;
        self.rate.set_rate(customer.jobs_per_s);
        let is_weight = customer.jobs_per_s.is_finite() && customer.jobs_per_s > 0.0;
        self.weight = is_weight.then_some(customer.jobs_per_s);
        self.version = version;
    }

    /// Returns the usage and the limit for the log.
    pub(crate) fn to_usage(&self) -> CustomerUsage {
        CustomerUsage {
            name: self.name.clone(),
            used: self.used,
            limit: self.limit,
        }
    }

    /// Returns the weight in fair shares, if it has one.
    pub(crate) const fn weight(&self) -> Option<f64> {
        self.weight
    }

    /// Returns what may still be started: nothing if the limit was lowered below the usage.
    pub(crate) fn remaining(&self) -> Resources {
        self.remaining_beside(self.used)
    }

    /// Returns what may be started if this much is used.
    pub(crate) fn remaining_beside(&self, used: Resources) -> Resources {
        effective_limit(self.limit) - used
    }

    /// Returns whether the usage is within the limit. It may exceed a limit that was lowered.
    pub(crate) fn is_within_limit(&self) -> bool {
        self.used.fits_in(&effective_limit(self.limit))
    }

    /// Returns whether less than half of the limit of each resource is used.
    pub(crate) fn is_under_half(&self) -> bool {
        self.used.times(2).fits_in(&effective_limit(self.limit))
    }
}

/// All customers' accounts. A customer that the operators have removed keeps its last limit,
/// since its accepted jobs still run.
#[derive(Debug, Default)]
pub(crate) struct Accounts {
    accounts: PrimaryMap<CustomerKey, Account>,
    by_name: HashMap<Arc<str>, CustomerKey>,
}

impl Accounts {
    /// Returns a customer's key; creates an account if there is none.
    pub(crate) fn key_or_insert(&mut self, name: &str) -> CustomerKey {
        if let Some(&key) = self.by_name.get(name) {
            return key;
        }
        let name: Arc<str> = Arc::from(name);
        let key = self.accounts.push(Account::new(name.clone()));
        self.by_name.insert(name, key);
        key
    }

    /// Applies a configuration.
    pub(crate) fn configure(&mut self, configuration: &Configuration) {
        for customer in configuration.customers.values() {
            let key = self.key_or_insert(&customer.name);
            self.accounts[key].configure(customer, configuration.version);
        }
    }

    /// Applies what a job's policy says for its customer, unless a later configuration is known.
    pub(crate) fn apply_policy(&mut self, key: CustomerKey, policy: &JobPolicy) {
        let account = &mut self.accounts[key];
        if let Some(customer) = &policy.customer {
            if policy.version > account.version {
                account.configure(customer, policy.version);
            }
        }
    }

    /// Returns a customer's account.
    pub(crate) fn get(&self, key: CustomerKey) -> &Account {
        &self.accounts[key]
    }

    /// Returns a customer's key if it has an account.
    pub(crate) fn key_by_name(&self, name: &str) -> Option<CustomerKey> {
        self.by_name.get(name).copied()
    }

    /// Returns the mean of the customers' weights, if any has one.
    pub(crate) fn mean_weight(&self) -> Option<f64> {
        let weights = self.accounts.values().filter_map(Account::weight);
        let (sum, count) = weights.fold((0.0, 0_u32), |(sum, count), it| (sum + it, count + 1));
        (count > 0).then(|| sum / f64::from(count))
    }

    /// Returns all accounts.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (CustomerKey, &Account)> + '_ {
        self.accounts.iter()
    }

    /// Adds a run.
    pub(crate) fn charge(&mut self, charge: Charge) {
        if let Some(key) = charge.customer {
            self.accounts[key].used += charge.amount;
        }
    }

    /// Removes a run.
    pub(crate) fn refund(&mut self, charge: Charge) {
        if let Some(key) = charge.customer {
            self.accounts[key].used -= charge.amount;
        }
    }

    /// Records that a customer submitted a job; returns whether it exceeds the customer's
    /// rate.
    pub(crate) fn record_job(&mut self, key: CustomerKey, accepted_at: Instant) -> bool {
        !self.accounts[key].rate.try_take(accepted_at)
    }
}

impl Scheduler {
    /// Returns what a run of a step uses of its customer's limit.
    pub(crate) fn charge_of(&self, step: StepKey) -> Charge {
        let Some(job) = self.jobs.get(&step.job) else {
            return Charge::default();
        };
        let spec = job.record.spec.steps.get(step.step as usize);
        Charge {
            customer: job.customer,
            service: job.service,
            amount: spec.map_or(Resources::ZERO, |spec| spec.demand),
        }
    }
}
