//! Customers: what each may have running, and what it has.
//!
//! A customer's account holds the demand of all its runs that may be alive: recorded and
//! not yet sent, on their way, running, being stopped, and those of silent workers until
//! their leases are certainly over. The same table of runs keeps workers from being given
//! more than they hold, so both accounts are as sure as each other.

use crate::job::{JobRecord, StepKey, StepSpec};
use crate::limits::least_count;
use crate::scheduler::Scheduler;
use crate::share_accounts::ServiceKey;
use crate::token_bucket::TokenBucket;
use cranelift_entity::{entity_impl, PrimaryMap};
use ospreywing_types::{Instant, Resources};
use std::collections::HashMap;
use std::sync::Arc;

/// A customer, as the operators have set it.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Its name.
    pub name: Arc<str>,
    /// The jobs a second that it may hand in and have served beside everybody else's.
    pub jobs_per_s: f64,
    /// What it may have running on all workers together; a part that is 0 has no limit.
    pub limit: Resources,
}

impl Customer {
    /// Returns the first step that can never run within the limit: a task that is larger
    /// than it, or a gang whose members are.
    pub fn impossible_step(&self, record: &JobRecord) -> Option<usize> {
        let limit = effective_limit(self.limit);
        let is_impossible = |step: &StepSpec| !min_demand(step).fits_in(&limit);
        record.spec.steps.iter().position(is_impossible)
    }
}

/// Returns what a step must have running at once to get anywhere.
fn min_demand(step: &StepSpec) -> Resources {
    step.demand.times(least_count(step))
}

/// Returns a limit with the parts raised that have none.
fn effective_limit(limit: Resources) -> Resources {
    let part = |limit: u32| if limit == 0 { u32::MAX } else { limit };
    Resources::new(
        part(limit.cores_milli),
        part(limit.memory_mib),
        part(limit.accelerators_count),
    )
}

/// What a customer has running and what it may have, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CustomerUsage {
    /// Its name.
    pub name: Arc<str>,
    /// What it has running.
    pub used: Resources,
    /// What it may have; a part that is 0 has no limit.
    pub limit: Resources,
}

/// A customer's account in one scheduler.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct CustomerKey(u32);
entity_impl!(CustomerKey, "customer");

/// What a run takes of its customer's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Charge {
    /// The customer; `None` where the job is nobody's.
    pub(crate) customer: Option<CustomerKey>,
    /// The service of whose room it takes a share; `None` where the job is not known.
    pub(crate) service: Option<ServiceKey>,
    /// What it takes. Processors count for fillers too, which don't count against a
    /// worker's room.
    pub(crate) amount: Resources,
}

/// What a customer has running, and what it may have.
#[derive(Debug)]
pub(crate) struct Account {
    pub(crate) name: Arc<str>,
    /// The limit; a part that is 0 has none.
    limit: Resources,
    pub(crate) used: Resources,
    rate: TokenBucket,
    /// Its weight in shares of room, where it has one.
    weight: Option<f64>,
}

impl Account {
    fn new(name: Arc<str>) -> Self {
        Self {
            name,
            limit: Resources::ZERO,
            used: Resources::ZERO,
            rate: TokenBucket::default(),
            weight: None,
        }
    }

    /// Returns the customer's use for the log.
    pub(crate) fn to_usage(&self) -> CustomerUsage {
        CustomerUsage {
            name: self.name.clone(),
            used: self.used,
            limit: self.limit,
        }
    }

    /// Returns its weight in shares of room, where it has one.
    pub(crate) const fn weight(&self) -> Option<f64> {
        self.weight
    }

    /// Returns what may still be started. A limit that was lowered below what runs leaves
    /// nothing.
    pub(crate) fn remaining(&self) -> Resources {
        self.remaining_beside(self.used)
    }

    /// Returns what may still be started beside so much.
    pub(crate) fn remaining_beside(&self, used: Resources) -> Resources {
        effective_limit(self.limit) - used
    }

    /// Returns whether what is in use is within the limit; it is not where the limit was
    /// lowered.
    pub(crate) fn is_within_limit(&self) -> bool {
        self.used.fits_in(&effective_limit(self.limit))
    }

    /// Returns whether less than half of each part of the limit is in use.
    pub(crate) fn is_under_half(&self) -> bool {
        self.used.times(2).fits_in(&effective_limit(self.limit))
    }
}

/// All customers' accounts. One that the operators have removed keeps its last limit:
/// what was accepted of it is still run.
#[derive(Debug, Default)]
pub(crate) struct Accounts {
    accounts: PrimaryMap<CustomerKey, Account>,
    by_name: HashMap<Arc<str>, CustomerKey>,
}

impl Accounts {
    /// Returns a customer's key, with an account of its own from then on.
    pub(crate) fn key_or_insert(&mut self, name: &str) -> CustomerKey {
        if let Some(&key) = self.by_name.get(name) {
            return key;
        }
        let name: Arc<str> = Arc::from(name);
        let key = self.accounts.push(Account::new(name.clone()));
        self.by_name.insert(name, key);
        key
    }

    /// Takes in what the operators have set.
    pub(crate) fn configure<'a>(&mut self, customers: impl Iterator<Item = &'a Customer>) {
        for customer in customers {
            let key = self.key_or_insert(&customer.name);
            let account = &mut self.accounts[key];
            account.limit = customer.limit;
            account.rate.set_rate(customer.jobs_per_s);
            let is_weight = customer.jobs_per_s.is_finite() && customer.jobs_per_s > 0.0;
            account.weight = is_weight.then_some(customer.jobs_per_s);
        }
    }

    /// Returns a customer's account.
    pub(crate) fn get(&self, key: CustomerKey) -> &Account {
        &self.accounts[key]
    }

    /// Returns the key of a customer that is known.
    pub(crate) fn key_by_name(&self, name: &str) -> Option<CustomerKey> {
        self.by_name.get(name).copied()
    }

    /// Returns the mean of the customers' weights, where any has one.
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

    /// Takes a run off.
    pub(crate) fn refund(&mut self, charge: Charge) {
        if let Some(key) = charge.customer {
            self.accounts[key].used -= charge.amount;
        }
    }

    /// Notes that a customer handed a job in; returns whether it is more than its share.
    pub(crate) fn record_job(&mut self, key: CustomerKey, accepted_at: Instant) -> bool {
        !self.accounts[key].rate.try_take(accepted_at)
    }
}

impl Scheduler {
    /// Returns what a run of a step takes of its customer's limit.
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
