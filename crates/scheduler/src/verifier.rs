//! Checks of the scheduler's invariants, for tests and searches.

use crate::customers::CustomerKey;
use crate::job::{JobId, StepKey, TaskKey};
use crate::scheduler::Scheduler;
use crate::share_accounts::{AccountOwner, CountedShare, ServiceKey};
use crate::speeds::TYPICAL_SPEED;
use crate::state::{Phase, TaskStatus};
use crate::worker::RunPhase;
use ospreywing_types::Resources;
use std::collections::{BTreeMap, HashMap};
use thiserror::Error;

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// A worker's used capacity differs from the sum of its runs.
    #[error("the used capacity of worker {0} differs from its runs")]
    Capacity(String),
    /// The runs on a worker need more than its capacity.
    #[error("the runs on worker {0} exceed its capacity")]
    Overcommitted(String),
    /// A customer's usage differs from the sum of its runs.
    #[error("the usage of customer {0} differs from its runs")]
    Account(String),
    /// A service's fair-share accounts differ from its jobs and runs, or a customer's tag is
    /// too far ahead of the service's clock.
    #[error("the share accounts of service {0} are inconsistent")]
    Share(String),
    /// A task's state and the table of placements disagree.
    #[error("the state of task {0} disagrees with its placement")]
    Placement(TaskKey),
    /// A worker's reservations differ from those of the gangs.
    #[error("the reservations on worker {0} are inconsistent")]
    Reservation(String),
    /// A worker has a soft reservation without an open advice request that names it.
    #[error("step {0} has a soft reservation on worker {1} without an advice request")]
    SoftReservation(StepKey, String),
    /// A job is in more than one open transaction, or its commit flag is wrong.
    #[error("a job's open commit is inconsistent")]
    Commit,
    /// A step waits for something that can't happen.
    #[error("step {0} waits for something that can't happen: {1}")]
    Wait(StepKey, &'static str),
    /// A worker's estimated speed is invalid.
    #[error("the speed of worker {0} can't be")]
    Speed(String),
    /// The lower estimate of a job's remaining work exceeds the expected one.
    #[error("the minimum remaining work of job {0} exceeds the expected one")]
    RemainingWork(JobId),
    /// The table of task shapes is over its limit or contains an invalid shape.
    #[error("the table of task shapes is inconsistent")]
    Shapes,
    /// A cancel is kept although its job is known.
    #[error("the cancel of job {0} is kept although the job is known")]
    EarlyCancel(JobId),
    /// Failures of a step are kept although its job has ended.
    #[error("failures of a step of job {0} are kept although the job has ended")]
    FailingStep(JobId),
    /// A job that has ended is still in the scheduling order.
    #[error("an ended job is still in the scheduling order")]
    Outcome,
}

impl Scheduler {
    /// Checks every invariant.
    ///
    /// # Errors
    ///
    /// Returns the first [`Violation`] found.
    pub fn verify(&self) -> Result<(), Violation> {
        self.verify_capacities()?;
        self.verify_accounts()?;
        self.verify_shares()?;
        self.verify_placements()?;
        self.verify_reservations()?;
        self.verify_soft_reservations()?;
        self.verify_commits()?;
        self.verify_waits()?;
        self.verify_learned()?;
        if !self.shapes.are_bounded() {
            return Err(Violation::Shapes);
        }
        let mut failing = self.failing_steps.jobs();
        if let Some(job) = failing.find(|job| !self.is_active(*job)) {
            return Err(Violation::FailingStep(job));
        }
        if let Some(job) = self
            .jobs
            .keys()
            .find(|job| self.early_cancels.contains(**job))
        {
            return Err(Violation::EarlyCancel(*job));
        }
        let is_over = |id| {
            self.jobs
                .get(id)
                .is_none_or(|j| j.state.phase != Phase::Active)
        };
        if self.active.values().any(is_over) {
            return Err(Violation::Outcome);
        }
        Ok(())
    }

    fn verify_learned(&self) -> Result<(), Violation> {
        for worker in self.workers.values() {
            let factor = worker.speed.factor;
            let is_allowed = self.is_learning() || factor == TYPICAL_SPEED;
            if !factor.is_finite() || factor <= 0.0 || !is_allowed {
                return Err(Violation::Speed(worker.facts.id.to_string()));
            }
        }
        let mut jobs = self.jobs.iter();
        let wrong = jobs.find(|(_, job)| job.min_remaining_ms > job.remaining_ms);
        wrong.map_or(Ok(()), |(id, _)| Err(Violation::RemainingWork(*id)))
    }

    fn verify_capacities(&self) -> Result<(), Violation> {
        for worker in self.workers.values() {
            let mut used = Resources::ZERO;
            for run in worker.runs.values() {
                used += run.demand;
            }
            if used != worker.used {
                return Err(Violation::Capacity(worker.facts.id.to_string()));
            }
            let is_counted = !worker.facts.address.is_empty() && !worker.is_gone;
            // Some of the runs that an earlier leader recorded may have ended without a
            // record, so they may seem to exceed the capacity until the worker has listed
            // its runs. Nothing is placed on it before that.
            let mut known = Resources::ZERO;
            for run in worker.runs.values() {
                if run.phase != RunPhase::Recovered {
                    known += run.demand;
                }
            }
            // A worker whose capacity has shrunk may still hold the runs from before.
            let capacity = worker.facts.capacity.max(worker.overcommitted);
            if is_counted && !known.fits_in(&capacity) {
                return Err(Violation::Overcommitted(worker.facts.id.to_string()));
            }
        }
        Ok(())
    }

    fn verify_accounts(&self) -> Result<(), Violation> {
        let mut used: HashMap<CustomerKey, Resources> = HashMap::new();
        let runs = self.workers.values().flat_map(|worker| &worker.runs);
        for (_, run) in runs {
            if let Some(customer) = run.charge.customer {
                *used.entry(customer).or_default() += run.charge.amount;
            }
        }
        for (key, account) in self.accounts.iter() {
            if account.used != used.get(&key).copied().unwrap_or_default() {
                return Err(Violation::Account(account.name.to_string()));
            }
        }
        Ok(())
    }

    fn verify_shares(&self) -> Result<(), Violation> {
        let mut counted: BTreeMap<(ServiceKey, AccountOwner), CountedShare> = BTreeMap::new();
        for job in self.active.values().filter_map(|id| self.jobs.get(id)) {
            if let Some(service) = job.service {
                let share = counted.entry((service, job.customer)).or_default();
                share.open_jobs_count += 1;
                share.ready_demand.add_totals(&job.ready_demand);
            }
        }
        for run in self
            .workers
            .values()
            .flat_map(|worker| worker.runs.values())
        {
            if let Some(service) = run.charge.service {
                let share = counted.entry((service, run.charge.customer)).or_default();
                share.running.add(&run.demand, 1);
            }
        }
        self.verify_demands()?;
        let wrong = self.shares.miscounted(&counted);
        wrong.map_or(Ok(()), |service| Err(Violation::Share(service.to_string())))
    }

    /// Checks the recorded demand of jobs that are not due to be recomputed.
    fn verify_demands(&self) -> Result<(), Violation> {
        if !self.has_fair_shares() {
            return Ok(());
        }
        let is_wrong = |id: &&JobId| {
            let job = self
                .jobs
                .get(id)
                .filter(|_| !self.stale_demands.contains(id));
            job.is_some_and(|job| {
                let ready = job.ready.as_deref();
                ready.is_none_or(|ready| job.waiting_demand(ready) != job.ready_demand)
            })
        };
        let wrong = self.active.values().find(is_wrong);
        wrong.map_or(Ok(()), |id| Err(Violation::Share(format!("of job {id}"))))
    }

    /// Checks the wait reasons of the last scheduling cycle, unless something has changed
    /// since.
    fn verify_waits(&self) -> Result<(), Violation> {
        if self.is_cycle_due {
            return Ok(());
        }
        let mut waits = self.waits.of_last_cycle();
        let impossible = waits.find(|(step, reason)| !self.can_wait_end(*step, *reason));
        impossible.map_or(Ok(()), |(step, reason)| {
            Err(Violation::Wait(step, reason.as_str()))
        })
    }

    fn verify_commits(&self) -> Result<(), Violation> {
        let open: Vec<JobId> = self.commits.open_jobs().collect();
        let flagged_count = self.jobs.values().filter(|job| job.is_in_flight).count();
        let known = open.iter().filter_map(|id| self.jobs.get(id));
        let are_flagged = known.clone().all(|job| job.is_in_flight);
        if are_flagged && known.count() == flagged_count {
            Ok(())
        } else {
            Err(Violation::Commit)
        }
    }

    fn verify_reservations(&self) -> Result<(), Violation> {
        for (key, worker) in self.workers.iter() {
            let is_known = |step| {
                let workers = self.reservations.get(step);
                workers.is_some_and(|workers| workers.contains(&key))
            };
            let held = worker.reservations.iter();
            let matching_count = held.filter(|held| is_known(&held.step)).count();
            let known = self.reservations.values().flatten();
            let known_count = known.filter(|known| **known == key).count();
            if matching_count != worker.reservations.len() || matching_count != known_count {
                return Err(Violation::Reservation(worker.facts.id.to_string()));
            }
        }
        Ok(())
    }

    fn verify_soft_reservations(&self) -> Result<(), Violation> {
        for (key, worker) in self.workers.iter() {
            for step in worker.soft_reserving_steps() {
                let advice = self.advice.get(&step);
                if !advice.is_some_and(|advice| advice.is_queried(key)) {
                    return Err(Violation::SoftReservation(
                        step,
                        worker.facts.id.to_string(),
                    ));
                }
            }
        }
        Ok(())
    }

    fn verify_placements(&self) -> Result<(), Violation> {
        for (task, worker) in &self.placements {
            if !self.workers[*worker].runs.contains_key(task) {
                return Err(Violation::Placement(*task));
            }
        }
        for (id, job) in &self.jobs {
            if job.state.phase != Phase::Active {
                continue;
            }
            for round in &job.state.rounds {
                for (number, step) in round.steps.iter().enumerate() {
                    for (index, state) in step.tasks.iter().enumerate() {
                        let step = StepKey {
                            job: *id,
                            round: round.number,
                            step: number as u32,
                        };
                        let task = step.task(index as u32);
                        let is_placed = matches!(state.status, TaskStatus::Placed { .. });
                        let has_run = self.placements.contains_key(&task);
                        if is_placed && !has_run || has_run && state.status == TaskStatus::Waiting {
                            return Err(Violation::Placement(task));
                        }
                    }
                }
            }
        }
        Ok(())
    }
}
