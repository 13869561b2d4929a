//! The order in which waiting jobs are served.

use crate::config::Queue;
use crate::deadline_selection::Selection;
use crate::features::Feature;
use crate::job::{JobId, JobRecord};
use crate::jobs::Job;
use crate::overloads::OverloadRank;
use crate::scheduler::Scheduler;
use crate::shares::ShareRank;
use crate::state::{RoundState, StepState};
use ospreywing_types::{Duration, Instant};

/// How many times its objective a job may take and still be worth something.
pub(crate) const LATE_FACTOR: u64 = 3;
/// The part of an estimate that is surely needed, in percent: estimates are
/// rough, and a job must not be given up that could still make it.
pub(crate) const SURE_PERCENT: u64 = 60;
/// The objective's factor where the queue is no longer configured.
const DEFAULT_STRETCH: f64 = 3.0;
/// The objective's rest where the queue is no longer configured.
const DEFAULT_OBJECTIVE_MS: u64 = 1000;

/// What can still become of a waiting job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Prospect {
    /// It can be done within its objective.
    OnTime,
    /// It can be done late.
    Late,
    /// It will be too late to be worth much; it is done all the same.
    Overdue,
}

/// A job that can be in time is patient while it has more time to spare than this:
/// the time at which work begins to leave room to gangs, and a few times what a
/// step usually waits for room.
pub(crate) const PATIENT_SLACK: Duration = Duration::from_ms(4000);

/// A job's place in the order of service; the smallest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ServiceRank {
    /// Work beyond its customer's rate or share comes after all else.
    share: ShareRank,
    urgency: Urgency,
    /// The priority of its queue; 0 comes first.
    priority: u32,
    /// How large its largest gang is, where it is pressing; 0 otherwise.
    gang_size: u32,
    /// How much it needs, where its service is overloaded and it is not to be in time.
    size_us: u64,
    /// When it must start at the latest.
    due: Instant,
    /// Its number in the order of acceptance.
    number: u64,
    job: JobId,
}

/// How soon a job must be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// It has waited for longer than any job of an overloaded service should.
    Aged,
    /// It will soon be too late to be in time.
    Pressing,
    /// It has time to spare, or can only be late.
    Patient,
    /// Its service is overloaded, and it is to be late.
    Late,
    /// Its service is overloaded, and it is in time also where it comes after late work.
    OnTimeAfterLate,
    /// Its service is overloaded, and it is to be later than it is worth anything.
    Last,
    /// It is worth little whenever it is done.
    Overdue,
}

impl ServiceRank {
    /// Changes the place to that of a job whose service is overloaded.
    fn lower(&mut self, overloaded: &OverloadRank, late_due: Instant) {
        let urgency = match overloaded.selection {
            _ if overloaded.is_aged => Urgency::Aged,
            _ if self.urgency == Urgency::Overdue => return,
            Selection::OnTime => return,
            Selection::OnTimeAfterLate if self.urgency == Urgency::Pressing => return,
            Selection::OnTimeAfterLate => Urgency::OnTimeAfterLate,
            Selection::Late => Urgency::Late,
            Selection::Last => Urgency::Last,
        };
        self.urgency = urgency;
        self.gang_size = 0;
        match urgency {
            Urgency::Late => self.due = late_due,
            Urgency::Last => self.size_us = overloaded.size_us,
            _ => {}
        }
    }
}

impl Scheduler {
    /// Returns the jobs with work left in the order in which they are served: by
    /// urgency, then by priority, then by the latest start at which each is in time.
    pub(crate) fn service_order(&self, now: Instant) -> Vec<JobId> {
        let has_order = self.config.features.has(Feature::OverloadOrder);
        let overloaded = has_order.then(|| self.overloads.ranks());
        let ids = self.active.values();
        let mut order: Vec<ServiceRank> = ids
            .filter_map(|id| self.service_rank(now, *id, overloaded.and_then(|it| it.get(id))))
            .collect();
        order.sort_unstable();
        self.rank_by_shares(&mut order);
        order.into_iter().map(|rank| rank.job).collect()
    }

    /// Has work beyond its customer's share of room that is short come later.
    fn rank_by_shares(&self, order: &mut [ServiceRank]) {
        if !self.is_capacity_short() {
            return;
        }
        let ids: Vec<JobId> = order.iter().map(|rank| rank.job).collect();
        for (rank, share) in order.iter_mut().zip(self.share_ranks(&ids)) {
            rank.share = share;
        }
        // Each customer's own work stays in its order.
        order.sort_by_key(|rank| rank.share);
    }

    fn service_rank(
        &self,
        now: Instant,
        id: JobId,
        overloaded: Option<&OverloadRank>,
    ) -> Option<ServiceRank> {
        let job = self.jobs.get(&id)?;
        let (priority, number) = job.rank;
        let (urgency, due) = self.urgency(now, job);
        let mut rank = ServiceRank {
            share: ShareRank::of_job(job),
            urgency,
            priority,
            gang_size: if urgency == Urgency::Pressing {
                gang_size(&job.record)
            } else {
                0
            },
            size_us: 0,
            due,
            number,
            job: id,
        };
        if let Some(overloaded) = overloaded {
            rank.lower(overloaded, late_due(job));
        }
        Some(rank)
    }

    /// Returns whether a job has time to spare, or can only be late.
    pub(crate) fn is_patient(&self, now: Instant, id: JobId) -> bool {
        let job = self.jobs.get(&id);
        job.is_some_and(|job| self.urgency(now, job).0 != Urgency::Pressing)
    }

    /// Returns how soon a job must be served, and by when.
    fn urgency(&self, now: Instant, job: &Job) -> (Urgency, Instant) {
        let left = Duration::from_ms(job.remaining_ms);
        let due = (job.accepted_at + job.objective) - left;
        match self.prospect(now, job) {
            Prospect::OnTime if due < now + PATIENT_SLACK => (Urgency::Pressing, due),
            Prospect::OnTime => (Urgency::Patient, due),
            Prospect::Late => (Urgency::Patient, late_due(job)),
            Prospect::Overdue => (Urgency::Overdue, due),
        }
    }

    pub(crate) fn prospect(&self, now: Instant, job: &Job) -> Prospect {
        if !job.has_objective() {
            return Prospect::OnTime;
        }
        let sure = Duration::from_ms(job.min_remaining_ms);
        let objective = job.objective;
        let ends_at = now + sure;
        if ends_at <= job.accepted_at + objective {
            Prospect::OnTime
        } else if ends_at <= job.accepted_at + objective.times(LATE_FACTOR) {
            Prospect::Late
        } else {
            Prospect::Overdue
        }
    }

    /// Returns the time within which a job should be done, by its estimates.
    pub(crate) fn estimated_objective(&self, record: &JobRecord) -> Duration {
        objective_of(record, self.configuration.queue(&record.queue))
    }

    /// Returns the time within which a job should be done, by the length of each step in
    /// milliseconds.
    pub(crate) fn objective(
        &self,
        record: &JobRecord,
        length_ms: impl Fn(usize) -> u64,
    ) -> Duration {
        objective_by(record, self.configuration.queue(&record.queue), length_ms)
    }
}

/// Returns the time within which a job of a queue should be done, by its estimates.
pub(crate) fn objective_of(record: &JobRecord, queue: Option<&Queue>) -> Duration {
    objective_by(record, queue, |number| {
        record.spec.steps[number].estimate_ms
    })
}

fn objective_by(
    record: &JobRecord,
    queue: Option<&Queue>,
    length_ms: impl Fn(usize) -> u64,
) -> Duration {
    let stretch = queue.map_or(DEFAULT_STRETCH, |queue| queue.stretch);
    let rest_ms = queue.map_or(DEFAULT_OBJECTIVE_MS, |queue| queue.objective_ms);
    let chain = chain(record, None, length_ms) as f64;
    Duration::from_ms((chain * stretch) as u64 + rest_ms)
}

/// Returns when a job must start at the latest to be worth something.
fn late_due(job: &Job) -> Instant {
    let worth_until = job.accepted_at + job.objective.times(LATE_FACTOR);
    worth_until - Duration::from_ms(job.remaining_ms)
}

/// Returns how large a job's largest gang is, in powers of two of a thousandth of a core; 0
/// without any, since single tasks find room one by one.
///
/// Of gangs that are equally urgent the smaller goes first, and of about as large ones the
/// one that must start earlier: where not all can be in time, one that needs much room at
/// once would hold up several that need little. Gangs earned 0.70 of their worth that way
/// in place of 0.68 (means of ten plays of five loads). What can only be late goes by time
/// alone, so that the largest are not passed over for ever.
fn gang_size(record: &JobRecord) -> u32 {
    let gangs = record.spec.steps.iter().filter(|step| step.is_gang);
    let sizes = gangs.map(|step| step.demand.times(step.tasks_count).cores_milli);
    let largest = sizes.max().unwrap_or(0);
    largest.checked_ilog2().unwrap_or(0)
}

/// Returns the length of a job's longest chain of steps that are not done, by the length of
/// each step.
pub(crate) fn chain(
    record: &JobRecord,
    round: Option<&RoundState>,
    length_of: impl Fn(usize) -> u64,
) -> u64 {
    let mut ends: Vec<u64> = Vec::with_capacity(record.spec.steps.len());
    for (number, step) in record.spec.steps.iter().enumerate() {
        let begin = step
            .depends_on
            .iter()
            .filter_map(|earlier| ends.get(*earlier as usize))
            .max()
            .copied()
            .unwrap_or(0);
        let is_done = round
            .and_then(|round| round.steps.get(number))
            .is_some_and(StepState::is_done);
        let length = if is_done { 0 } else { length_of(number) };
        ends.push(begin + length);
    }
    ends.into_iter().max().unwrap_or(0)
}
