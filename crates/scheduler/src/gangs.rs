//! Capacity reservations for gangs, and handling of gangs that lose a member.

use crate::event::Action;
use crate::job::{JobId, StepKey, TaskKey};
use crate::scheduler::Scheduler;
use crate::worker::{CapacityReservation, RunPhase, WorkerKey};
use ospreywing_types::{Duration, Instant, Resources};

/// How long the other members of a gang that lost one may take to end by themselves, which often
/// makes stopping them unnecessary.
const BROKEN_GANG_STOP_DELAY: Duration = Duration::from_ms(400);

/// Capacity on a worker reserved for a gang.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reservation {
    pub(crate) worker: WorkerKey,
    pub(crate) capacity: Resources,
}

impl Reservation {
    /// Creates a reservation for `members_count` members.
    pub(crate) fn new(worker: WorkerKey, demand: &Resources, members_count: u32) -> Self {
        let capacity = demand.times(members_count);
        Self { worker, capacity }
    }
}

impl Scheduler {
    /// Reserves capacity for a gang, replacing its earlier reservations.
    pub(crate) fn set_reservations(&mut self, step: StepKey, reservations: Vec<Reservation>) {
        self.release_reservations(step);
        let mut workers = Vec::with_capacity(reservations.len());
        for Reservation { worker, capacity } in reservations {
            self.workers[worker]
                .reservations
                .push(CapacityReservation { step, capacity });
            workers.push(worker);
        }
        self.reservations.insert(step, workers);
    }

    /// Releases the capacity reserved for a gang.
    pub(crate) fn release_reservations(&mut self, step: StepKey) {
        let workers = self.reservations.remove(&step).unwrap_or_default();
        for worker in workers {
            let reservations = &mut self.workers[worker].reservations;
            reservations.retain(|reservation| reservation.step != step);
        }
    }

    /// Releases the capacity reserved for all gangs of a job.
    pub(crate) fn release_reservations_of_job(&mut self, job: JobId) {
        let steps = self.reservations.keys().copied();
        let steps: Vec<StepKey> = steps.filter(|step| step.job == job).collect();
        for step in steps {
            self.release_reservations(step);
        }
    }

    /// Handles the loss of a gang member. The other members end by themselves or are stopped after
    /// [`BROKEN_GANG_STOP_DELAY`].
    pub(crate) fn break_gang(&mut self, now: Instant, step: StepKey) {
        if !self.is_gang(step) {
            return;
        }
        let members = self.members(step);
        for task in &members {
            let phase = self.run_phase(*task);
            if phase == Some(RunPhase::Recording) {
                self.unplace(*task);
            }
        }
        self.broken_gangs.entry(step).or_insert(now);
    }

    /// Stops the members of broken gangs that have not ended by themselves.
    pub(crate) fn stop_broken_gangs(&mut self, now: Instant, out: &mut Vec<Action>) {
        let broken: Vec<(StepKey, Instant)> =
            self.broken_gangs.iter().map(|(k, at)| (*k, *at)).collect();
        for (step, broken_at) in broken {
            let members = self.members(step);
            if members.is_empty() {
                self.broken_gangs.remove(&step);
                continue;
            }
            if now.since(broken_at) < BROKEN_GANG_STOP_DELAY {
                continue;
            }
            for task in members {
                self.stop_task(now, task, "gang broken", out);
            }
        }
    }

    /// Returns the tasks of a step that have a run.
    pub(crate) fn members(&self, step: StepKey) -> Vec<TaskKey> {
        let mut members = self.placed_tasks(step.job);
        members.retain(|task| task.step == step);
        members
    }

    fn run_phase(&self, task: TaskKey) -> Option<RunPhase> {
        let worker = self.placements.get(&task)?;
        let run = self.workers[*worker].runs.get(&task)?;
        Some(run.phase)
    }
}
