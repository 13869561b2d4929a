//! What the configuration says for an accepted job.
//!
//! A job outlives the configuration with which it was accepted. While its queue and its
//! customer are configured, the present configuration applies. Once one of them has been
//! removed, the policy that the job keeps in the store applies, for every later leader.
//!
//! The policy at acceptance is stored with the job and never changes. A later one is stored
//! with the job's progress: in its next write, and at once if its queue or customer is
//! removed.

use crate::config::{Configuration, Queue};
use crate::customers::Customer;
use crate::job::{JobId, JobRecord};
use crate::jobs::Job;
use crate::scheduler::Scheduler;
use crate::state::Phase;
use serde::{Deserialize, Serialize};

/// A queue of which nothing is known. It applies to jobs of removed queues that were accepted
/// before records contained a policy.
static UNKNOWN_QUEUE: Queue = Queue {
    name: String::new(),
    service: String::new(),
    priority: 9,
    attempts_limit_count: 3,
    stretch: 3.0,
    objective_ms: 1000,
    advice: None,
};

/// What a configuration says for a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobPolicy {
    /// The configuration's version.
    pub version: u64,
    /// The job's queue.
    pub queue: Queue,
    /// The job's customer, if it has one.
    pub customer: Option<Customer>,
}

/// Where a job's policy comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicySource {
    /// The present configuration.
    Configured,
    /// The job's policy in the store.
    Stored,
    /// Nothing is known of the queue, so a default applies.
    Default,
}

impl PolicySource {
    /// Returns the value for log entries.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Configured => "configured",
            Self::Stored => "stored",
            Self::Default => "default",
        }
    }
}

impl JobPolicy {
    /// Returns the policy of a job of which nothing is known but its record.
    fn unknown(record: &JobRecord) -> Self {
        let queue = Queue {
            name: record.queue.clone(),
            service: record.service.clone(),
            ..UNKNOWN_QUEUE.clone()
        };
        Self {
            version: 0,
            queue,
            customer: None,
        }
    }
}

impl Configuration {
    /// Returns what the configuration says for a job; `None` if its queue isn't configured.
    pub fn policy(&self, queue: &str, customer: Option<&str>) -> Option<JobPolicy> {
        Some(JobPolicy {
            version: self.version,
            queue: self.queue(queue)?.clone(),
            customer: customer.and_then(|name| self.customer(name)).cloned(),
        })
    }
}

impl Job {
    /// Returns the newest policy that is stored with the job or will be in its next write.
    pub(crate) fn known_policy(&self) -> Option<&JobPolicy> {
        let of_state = self.state.policy.as_deref();
        of_state.or(self.record.policy.as_deref())
    }

    /// Returns the job's queue as it is configured; `None` if it isn't, or if a later
    /// configuration is known to the job.
    fn configured_queue<'a>(&self, configuration: &'a Configuration) -> Option<&'a Queue> {
        let known = self.known_policy();
        let is_outdated = known.is_some_and(|known| known.version > configuration.version);
        let queue = configuration.queue(&self.record.queue);
        queue.filter(|_| !is_outdated)
    }

    /// Returns what is known of the job's queue. Every decision on an accepted job uses this.
    pub(crate) fn queue<'a>(&'a self, configuration: &'a Configuration) -> &'a Queue {
        let configured = self.configured_queue(configuration);
        let known = || self.known_policy().map(|known| &known.queue);
        configured.or_else(known).unwrap_or(&UNKNOWN_QUEUE)
    }

    /// Returns where [`Self::queue`] comes from.
    pub(crate) fn queue_source(&self, configuration: &Configuration) -> PolicySource {
        if self.configured_queue(configuration).is_some() {
            return PolicySource::Configured;
        }
        match self.known_policy() {
            Some(known) if known.version > 0 => PolicySource::Stored,
            _ => PolicySource::Default,
        }
    }

    /// Adopts what a configuration says, unless that is known already or outdated.
    pub(crate) fn update_policy(&mut self, configuration: &Configuration) {
        let queue = configuration.queue(&self.record.queue);
        let customer = self.record.customer.as_deref();
        let customer = customer.and_then(|name| configuration.customer(name));
        let is_known = |known: &JobPolicy| {
            let is_queue_known = queue.is_none_or(|queue| *queue == known.queue);
            let is_customer_known = customer.is_none() || customer == known.customer.as_ref();
            known.version > configuration.version || is_queue_known && is_customer_known
        };
        if self.known_policy().is_some_and(is_known) {
            return;
        }
        let known = self.known_policy().cloned();
        let mut policy = known.unwrap_or_else(|| JobPolicy::unknown(&self.record));
        if let Some(queue) = queue {
            policy.queue = queue.clone();
        }
        if let Some(customer) = customer {
            policy.customer = Some(customer.clone());
        }
        if queue.is_some() || customer.is_some() {
            policy.version = configuration.version;
            self.is_policy_unsaved = true;
        }
        self.state.policy = Some(Box::new(policy));
    }

    /// Returns whether the configuration lacks the job's queue or customer.
    fn is_unconfigured(&self, configuration: &Configuration) -> bool {
        let customer = self.record.customer.as_deref();
        configuration.queue(&self.record.queue).is_none()
            || customer.is_some_and(|name| configuration.customer(name).is_none())
    }
}

impl Scheduler {
    /// Updates the policies of all jobs with work left after a change of the configuration.
    pub(crate) fn update_policies(&mut self) {
        let ids: Vec<JobId> = self.active.values().copied().collect();
        for id in ids {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.update_policy(&self.configuration);
            }
            self.save_policy_if_unconfigured(id);
        }
    }

    /// Stores a job's policy at once if it isn't stored and the configuration lacks it.
    pub(crate) fn save_policy_if_unconfigured(&mut self, id: JobId) {
        let is_at_risk = |job: &Job| {
            let is_active = job.state.phase == Phase::Active;
            is_active && job.is_policy_unsaved && job.is_unconfigured(&self.configuration)
        };
        if self.jobs.get(&id).is_some_and(is_at_risk) {
            self.queue_commit(id, None);
        }
    }
}
