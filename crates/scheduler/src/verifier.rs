//! A verifier of the scheduler's invariants, for tests and searches.

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

/// An invariant that does not hold.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// A worker's account of its room differs from its runs.
    #[error("the room of worker {0} is miscounted")]
    Room(String),
    /// A worker has been given more than it holds.
    #[error("worker {0} has been given more than it holds")]
    Overcommitted(String),
    /// A customer's account differs from its runs.
    #[error("the account of customer {0} is miscounted")]
    Account(String),
    /// A service's account of shares differs from its jobs and runs, or a tag from its
    /// clock.
    #[error("the shares of service {0} are miscounted")]
    Share(String),
    /// A task's state and the table of runs disagree.
    #[error("task {0} is not where its state says")]
    Placement(TaskKey),
    /// A worker keeps room for a gang that has none kept, or the reverse.
    #[error("the room that is kept on worker {0} is miscounted")]
    Reservation(String),
    /// A step counts on room of a worker that no open call of it names.
    #[error("step {0} counts on room of worker {1} without a call")]
    Claim(StepKey, String),
    /// A job is in more than one open transaction, or its note of that is wrong.
    #[error("a job's commit is miscounted")]
    Commit,
    /// A step waits for what can't come.
    #[error("step {0} waits for what can't come: {1}")]
    Wait(StepKey, &'static str),
    /// What is believed of a worker's speed can't be.
    #[error("the speed of worker {0} can't be")]
    Speed(String),
    /// More is surely left of a job than likely.
    #[error("more is surely left of job {0} than likely")]
    Left(JobId),
    /// More shapes of tasks are kept than may be, or some that are none.
    #[error("the shapes of tasks are miscounted")]
    Shapes,
    /// A job with an outcome is still served.
    #[error("a job that has its outcome is still served")]
    Outcome,
}

impl Scheduler {
    /// Checks every invariant.
    ///
    /// # Errors
    ///
    /// Returns the first [`Violation`] found.
    pub fn verify(&self) -> Result<(), Violation> {
        self.verify_rooms()?;
        self.verify_accounts()?;
        self.verify_shares()?;
        self.verify_placements()?;
        self.verify_reservations()?;
        self.verify_claims()?;
        self.verify_commits()?;
        self.verify_waits()?;
        self.verify_learned()?;
        if !self.shapes.are_bounded() {
            return Err(Violation::Shapes);
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
            let is_told = self.is_learning() || factor == TYPICAL_SPEED;
            if !factor.is_finite() || factor <= 0.0 || !is_told {
                return Err(Violation::Speed(worker.facts.id.to_string()));
            }
        }
        let mut jobs = self.jobs.iter();
        let wrong = jobs.find(|(_, job)| job.min_remaining_ms > job.remaining_ms);
        wrong.map_or(Ok(()), |(id, _)| Err(Violation::Left(*id)))
    }

    fn verify_rooms(&self) -> Result<(), Violation> {
        for worker in self.workers.values() {
            let mut used = Resources::ZERO;
            for run in worker.runs.values() {
                used += run.demand;
            }
            if used != worker.used {
                return Err(Violation::Room(worker.facts.id.to_string()));
            }
            let is_counted = !worker.facts.address.is_empty() && !worker.is_gone;
            // Of runs that an earlier leader recorded, some may have ended without
            // a record, so more than the worker holds may seem to be there until
            // its lists are known. Nothing is placed there before.
            let mut known = Resources::ZERO;
            for run in worker.runs.values() {
                if run.phase != RunPhase::Inherited {
                    known += run.demand;
                }
            }
            // A worker whose room has shrunk may hold what it held then.
            let room = worker.facts.capacity.max(worker.overfull);
            if is_counted && !known.fits_in(&room) {
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
        self.verify_asked()?;
        let wrong = self.shares.miscounted(&counted);
        wrong.map_or(Ok(()), |service| Err(Violation::Share(service.to_string())))
    }

    /// Checks what jobs ask for that are not to be counted anew.
    fn verify_asked(&self) -> Result<(), Violation> {
        if !self.has_fair_shares() {
            return Ok(());
        }
        let is_wrong = |id: &&JobId| {
            let job = self
                .jobs
                .get(id)
                .filter(|_| !self.stale_ready_demand.contains(id));
            job.is_some_and(|job| {
                let ready = job.ready.as_deref();
                ready.is_none_or(|ready| job.waiting_demand(ready) != job.ready_demand)
            })
        };
        let wrong = self.active.values().find(is_wrong);
        wrong.map_or(Ok(()), |id| Err(Violation::Share(format!("of job {id}"))))
    }

    /// Checks the reasons that the last cycle gave, until something changes.
    fn verify_waits(&self) -> Result<(), Violation> {
        if self.is_place_due {
            return Ok(());
        }
        let mut waits = self.waits.of_last_cycle();
        let endless = waits.find(|(step, reason)| !self.can_end(*step, *reason));
        endless.map_or(Ok(()), |(step, reason)| {
            Err(Violation::Wait(step, reason.as_str()))
        })
    }

    fn verify_commits(&self) -> Result<(), Violation> {
        let open: Vec<JobId> = self.commits.open_jobs().collect();
        let noted_count = self.jobs.values().filter(|job| job.is_in_flight).count();
        let known = open.iter().filter_map(|id| self.jobs.get(id));
        let is_noted = known.clone().all(|job| job.is_in_flight);
        if is_noted && known.count() == noted_count {
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
            let kept = worker.reservations.iter();
            let kept_count = kept.filter(|kept| is_known(&kept.step)).count();
            let known = self.reservations.values().flatten();
            let known_count = known.filter(|known| **known == key).count();
            if kept_count != worker.reservations.len() || kept_count != known_count {
                return Err(Violation::Reservation(worker.facts.id.to_string()));
            }
        }
        Ok(())
    }

    fn verify_claims(&self) -> Result<(), Violation> {
        for (key, worker) in self.workers.iter() {
            for step in worker.claiming_steps() {
                let advice = self.advice.get(&step);
                if !advice.is_some_and(|advice| advice.is_asked_about(key)) {
                    return Err(Violation::Claim(step, worker.facts.id.to_string()));
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
