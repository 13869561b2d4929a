//! The operators' configuration and the scheduler's own constants.

use crate::customers::Customer;
use crate::features::Features;
use ospreywing_types::Duration;
use std::collections::HashMap;
use std::sync::Arc;

/// How a queue's advice is to be asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdvicePolicy {
    /// The time that the adviser takes for a call, in milliseconds.
    pub decision_ms: f64,
    /// The time that it takes besides for each worker named, in milliseconds.
    pub per_worker_ms: f64,
    /// How long a ticket holds.
    pub validity: Duration,
}

impl AdvicePolicy {
    /// Returns how long a call that names `workers_count` workers takes.
    pub fn cost(&self, workers_count: usize) -> Duration {
        let cost_ms = self.decision_ms + self.per_worker_ms * workers_count as f64;
        Duration::from_ms(cost_ms.ceil() as u64)
    }
}

/// A queue, as the operators have set it.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// The service whose workers run its tasks.
    pub service: String,
    /// Its priority; 0 comes first.
    pub priority: u32,
    /// How often a task may fail.
    pub attempts_limit_count: u32,
    /// The factor on a job's work in its objective.
    pub stretch: f64,
    /// What the objective allows besides, in milliseconds.
    pub objective_ms: u64,
    /// How advice is asked for, where the queue needs it.
    pub advice: Option<AdvicePolicy>,
}

/// A service, as the operators have set it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServicePolicy {
    /// Its name.
    pub name: String,
}

/// What the operators have set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// The version; a higher one is newer.
    pub version: u64,
    /// The queues by name: there may be thousands, and each job looks its own up.
    pub queues: HashMap<String, Queue>,
    /// The services.
    pub services: Vec<ServicePolicy>,
    /// The customers by name; empty where the operators name none.
    pub customers: HashMap<Arc<str>, Customer>,
}

impl Configuration {
    /// Returns a queue by its name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.get(name)
    }

    /// Returns a customer by its name.
    pub fn customer(&self, name: &str) -> Option<&Customer> {
        self.customers.get(name)
    }

    /// Returns whether the operators have set a service of this name.
    pub fn has_service(&self, name: &str) -> bool {
        self.services.iter().any(|service| service.name == name)
    }
}

/// The lanes in which commits go out side by side.
///
/// One is enough while the store answers within the pace of commits; the
/// others carry on while it is slow.
pub const LANES_COUNT: u32 = 8;

/// Where a task is tried that may have crashed a worker by starting there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbationRule {
    /// Wherever there is room; nothing joins it there until it has outlived its start, so
    /// that each suspect has a worker of its own before long.
    Anywhere,
    /// Away from other jobs' runs, so that a crash costs nobody else.
    Alone,
}

/// When a task is given up under which workers crash. How the ways compare is in
/// docs/design/crashes.md.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashPolicy {
    /// What a crash right after the run's start counts.
    pub suspect_points: u32,
    /// What a crash counts whose cause may be any of several runs.
    pub bystander_points: u32,
    /// The points at which a task is given up: three crashes right after a start. With
    /// five points, one innocent job in some 4,000 was failed on ten workers with three
    /// tasks that crash them and a new leader each 2.5 s.
    pub points_limit: u32,
    /// The crashes of any kind at which a task is given up: the platform allows two
    /// starts more after three crashes of one task.
    pub crashes_limit_count: usize,
    /// Where a suspect is tried.
    pub probation_rule: ProbationRule,
    /// For how long a suspect waits for such a worker; then it goes anywhere. A
    /// judgement: less than the 3 s in which a task must be started where there is room,
    /// and more than a small task takes to leave a worker.
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
    /// The entries that one commit may have.
    pub commit_limit_count: usize,
    /// The time between the starts of two commits.
    pub commit_interval: Duration,
    /// The least time between two passes over the waiting steps.
    pub cycle_interval: Duration,
    /// How many steps passes may look at in a millisecond, so that passes take a part
    /// of the leader's time that is bounded however many steps wait. A judgement; with
    /// four times as many, worth at 1,100 workers did not change (0.565 and 0.566,
    /// without processor cost).
    pub cycle_steps_per_ms: u64,
    /// The least time between two looks for renewals that are due: each goes
    /// over all workers, and a leader of 1,100 takes in a thousand events a second.
    pub renewal_interval: Duration,
    /// How long a renewal keeps a worker's runs alive.
    pub lease: Duration,
    /// The same while the store is in trouble.
    pub extended_lease: Duration,
    /// The longest that a worker's runs can outlive a grant by any leader.
    pub lease_limit: Duration,
    /// The longest that an earlier leader can have leased a worker, from the
    /// start of this term. A leader whose lease was taken away may grant leases
    /// until it learns of it.
    pub recovered_lease_limit: Duration,
    /// The most ends that a worker lists at once: a list with as many may not
    /// hold them all.
    pub listed_ends_limit_count: usize,
    /// How long a renewal waits at the worker for an end, at least.
    pub poll_wait: Duration,
    /// How long it waits at most, where many workers are busy: the workers' own
    /// limit is 2 s, and a lease of 4 s must outlast a renewal that is lost and
    /// the next.
    pub poll_wait_limit: Duration,
    /// The time between an answered renewal and the next.
    pub poll_interval: Duration,
    /// The time between two renewals while an end waits for its commit: the
    /// worker lists it until it is acknowledged, so renewals would not wait for
    /// the next one, and must still come well before a lease is over.
    pub poll_interval_during_commit: Duration,
    /// The time until a stop that was not answered is sent again.
    pub stop_retry: Duration,
    /// How long a stop may take at a worker.
    pub stop_grace: Duration,
    /// How long a worker stays that is leaving and does not tell.
    pub drain_time: Duration,
    /// How long a job's outcome is kept.
    pub retention: Duration,
    /// When a task is given up under which workers crash.
    pub crash_policy: CrashPolicy,
    /// The decisions under load that are on.
    pub features: Features,
}

/// The longest lease that is granted, however long workers would keep one. A lasting task must
/// run again within 9 s of the loss of its worker; 0.3 s of that are for a slow clock, and
/// placing it may take a second.
const LONG_GRANT_LIMIT: Duration = Duration::from_ms(7500);

impl SchedulerConfig {
    /// Creates the constants for a term, where workers keep leases of
    /// `lease_limit` at most.
    pub fn new(fence: u64, lease_limit: Duration) -> Self {
        let limit_ms = lease_limit.as_ms();
        Self {
            fence,
            commit_limit_count: 30,
            commit_interval: Duration::from_ms(22),
            cycle_interval: Duration::from_ms(8),
            cycle_steps_per_ms: 10,
            renewal_interval: Duration::from_ms(5),
            lease: Duration::from_ms(limit_ms.min(4000)),
            extended_lease: Duration::from_ms(limit_ms.min(LONG_GRANT_LIMIT.as_ms())),
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

    /// Adds the time for which an earlier leader may not know that it is none
    /// any more.
    pub fn with_leader_lease(mut self, leader_lease: Duration) -> Self {
        self.recovered_lease_limit = self.lease_limit + leader_lease;
        self
    }

    /// Sets when a task is given up under which workers crash.
    pub fn with_crash_policy(mut self, policy: CrashPolicy) -> Self {
        self.crash_policy = policy;
        self
    }

    /// Sets which decisions under load are on.
    pub fn with_features(mut self, features: Features) -> Self {
        self.features = features;
        self
    }

    /// Sets how long a stop may take at a worker, and how long one stays that is leaving.
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
