//! The operators' configuration and the scheduler's constants.

use crate::customers::Customer;
use crate::features::Features;
use ospreywing_types::Duration;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;

/// The cost and validity of a queue's advice.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdvicePolicy {
    /// The time that the adviser takes for a request, in milliseconds.
    pub decision_ms: f64,
    /// The additional time that it takes for each worker in the request, in milliseconds.
    pub per_worker_ms: f64,
    /// How long a ticket is valid.
    pub validity: Duration,
}

impl AdvicePolicy {
    /// Returns the duration of a request that names `workers_count` workers.
    pub fn cost(&self, workers_count: usize) -> Duration {
        let cost_ms = self.decision_ms + self.per_worker_ms * workers_count as f64;
        Duration::from_ms(cost_ms.ceil() as u64)
    }
}

/// A configured queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// The queue's name.
    pub name: String,
    /// The service whose workers run its tasks.
    pub service: String,
    /// The priority; 0 comes first.
    pub priority: u32,
    /// The number of failures at which a task's job fails.
    pub attempts_limit_count: u32,
    /// The factor applied to a job's work in its objective.
    pub stretch: f64,
    /// The constant part of the objective, in milliseconds.
    pub objective_ms: u64,
    /// The advice policy, if the queue requires advice.
    pub advice: Option<AdvicePolicy>,
}

/// A configured service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServicePolicy {
    /// The service's name.
    pub name: String,
}

/// The operators' configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// The version; a higher one is newer.
    pub version: u64,
    /// The queues by name. There may be thousands, and each job looks up its own.
    pub queues: HashMap<String, Queue>,
    /// The services.
    pub services: Vec<ServicePolicy>,
    /// The customers by name; empty if none is configured.
    pub customers: HashMap<Arc<str>, Customer>,
}

impl Configuration {
    /// Returns a queue by name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.get(name)
    }

    /// Returns a customer by name.
    pub fn customer(&self, name: &str) -> Option<&Customer> {
        self.customers.get(name)
    }

    /// Returns whether a service of this name is configured.
    pub fn has_service(&self, name: &str) -> bool {
        self.services.iter().any(|service| service.name == name)
    }
}

/// The number of lanes in which transactions are committed concurrently.
///
/// One is enough while the store answers within the commit interval; the others are used
/// while it is slow.
pub const LANES_COUNT: u32 = 8;

/// Where a task that may have crashed a worker by starting there runs on probation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbationRule {
    /// On any worker with free capacity. No other run joins it until it has passed its
    /// start window, so each suspected task soon has a worker of its own.
    Anywhere,
    /// On a worker without other jobs' runs, so that a crash affects no other job.
    Alone,
}

/// When a job is failed because workers crash under one of its tasks. docs/design/crashes.md
/// compares the alternatives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashPolicy {
    /// The points for a crash right after the run's start.
    pub suspect_points: u32,
    /// The points for a crash that any of several runs may have caused.
    pub bystander_points: u32,
    /// The points at which a task's job is failed: three crashes right after a start. With a
    /// limit of five, about one job in 4,000 whose tasks crash no worker failed on ten
    /// workers with three tasks that crash them and a new leader every 2.5 s.
    pub points_limit: u32,
    /// The number of crashes of any kind at which a task's job is failed: the platform allows
    /// two more starts after three crashes of one task.
    pub crashes_limit_count: usize,
    /// Where a suspected task runs on probation.
    pub probation_rule: ProbationRule,
    /// How long a suspected task waits for such a worker before it may run anywhere. This
    /// is less than the 3 s within which a task must be started if there is free capacity,
    /// and more than a small task needs to finish and free a worker.
    pub probation_wait: Duration,
}

impl Default for CrashPolicy {
    fn default() -> Self {
        Self {
            suspect_points: 2,
            bystander_points: 1,
            points_limit: 6,
            crashes_limit_count: 5,
            probation_rule: ProbationRule::Alone,
            probation_wait: Duration::from_ms(1000),
        }
    }
}

/// The scheduler's constants.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerConfig {
    /// The fencing token of this leader's term.
    pub fence: u64,
    /// The maximum number of entries in one transaction.
    pub commit_limit_count: usize,
    /// The interval between the beginnings of two transactions.
    pub commit_interval: Duration,
    /// The minimum interval between two scheduling cycles.
    pub cycle_interval: Duration,
    /// The number of steps that cycles may examine per millisecond, which bounds the share
    /// of the leader's time that cycles take however many steps wait. With four times as
    /// many, the value of the completed work at 1,100 workers did not change (0.565 and
    /// 0.566, without CPU cost).
    pub cycle_steps_per_ms: u64,
    /// The minimum interval between two searches for due polls. Each search scans all
    /// workers, and a leader of 1,100 workers handles a thousand events a second.
    pub poll_scan_interval: Duration,
    /// The duration of a lease.
    pub lease: Duration,
    /// The duration of a lease while the store is slow or unavailable.
    pub extended_lease: Duration,
    /// The maximum duration of a lease that workers accept from any leader.
    pub lease_limit: Duration,
    /// The maximum time from the start of this term for which leases of an earlier leader
    /// may last. A leader that has lost its own lease may grant leases until it learns of
    /// the loss.
    pub recovered_lease_limit: Duration,
    /// The maximum number of ends that a worker lists at once; a list of that length may be
    /// incomplete.
    pub listed_ends_limit_count: usize,
    /// The minimum time for which a worker holds a poll until a run ends.
    pub poll_wait: Duration,
    /// The maximum time for which a worker holds a poll, used when many workers are busy.
    /// The workers' own limit is 2 s, and a lease of 4 s must outlast a lost poll and the
    /// next one.
    pub poll_wait_limit: Duration,
    /// The interval between an answered poll and the next.
    pub poll_interval: Duration,
    /// The interval between two polls while an end waits for its commit. The worker lists
    /// the end until it is acknowledged and so answers every poll at once, which is why
    /// polls are spaced out; the next one must still come well before the lease expires.
    pub poll_interval_during_commit: Duration,
    /// The interval after which an unanswered stop is repeated.
    pub stop_retry: Duration,
    /// The maximum time that a worker takes to stop a run.
    pub stop_grace: Duration,
    /// How long a draining worker stays if it doesn't report its departure.
    pub drain_time: Duration,
    /// How long a job's outcome is kept.
    pub retention: Duration,
    /// When a job is failed because workers crash under one of its tasks.
    pub crash_policy: CrashPolicy,
    /// The optional scheduling features that are enabled.
    pub features: Features,
}

/// The maximum duration of a lease, even if workers accept longer ones. A perpetual task
/// must run again within 9 s of the loss of its worker; 0.3 s of that allow for a slow
/// clock, and placing it may take a second.
const EXTENDED_LEASE_LIMIT: Duration = Duration::from_ms(7500);

impl SchedulerConfig {
    /// Creates the constants for a term on workers that accept leases of at most
    /// `lease_limit`.
    pub fn new(fence: u64, lease_limit: Duration) -> Self {
        let limit_ms = lease_limit.as_ms();
        Self {
            fence,
            commit_limit_count: 30,
            commit_interval: Duration::from_ms(22),
            cycle_interval: Duration::from_ms(8),
            cycle_steps_per_ms: 10,
            poll_scan_interval: Duration::from_ms(5),
            lease: Duration::from_ms(limit_ms.min(4000)),
            extended_lease: Duration::from_ms(limit_ms.min(EXTENDED_LEASE_LIMIT.as_ms())),
            lease_limit,
            recovered_lease_limit: lease_limit,
            listed_ends_limit_count: 500,
            poll_wait: Duration::from_ms(800),
            poll_wait_limit: Duration::from_ms((limit_ms.min(4000) * 9 / 20).max(800)),
            poll_interval: Duration::from_ms(80),
            poll_interval_during_commit: Duration::from_ms(limit_ms.min(4000) / 4),
            stop_retry: Duration::from_ms(400),
            stop_grace: Duration::from_ms(200),
            drain_time: Duration::from_ms(2000),
            retention: Duration::from_s(300),
            crash_policy: CrashPolicy::default(),
            features: Features::default(),
        }
    }

    /// Adds the time for which an earlier leader may not know that its term is over.
    pub fn with_leader_lease(mut self, leader_lease: Duration) -> Self {
        self.recovered_lease_limit = self.lease_limit + leader_lease;
        self
    }

    /// Sets when a job is failed because workers crash under one of its tasks.
    pub fn with_crash_policy(mut self, policy: CrashPolicy) -> Self {
        self.crash_policy = policy;
        self
    }

    /// Sets the enabled scheduling features.
    pub fn with_features(mut self, features: Features) -> Self {
        self.features = features;
        self
    }

    /// Sets the maximum time that a worker takes to stop a run, and the time for which a
    /// draining worker stays.
    pub fn with_departures(mut self, stop_grace: Duration, drain_time: Duration) -> Self {
        self.stop_grace = stop_grace;
        self.drain_time = drain_time;
        self
    }

    /// Sets how long outcomes are kept.
    pub fn with_retention(mut self, retention: Duration) -> Self {
        self.retention = retention;
        self
    }
}
