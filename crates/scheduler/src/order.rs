//! The order in which waiting jobs are served.

use crate::config::Queue;
use crate::job::{JobId, JobRecord};
use crate::jobs::Job;
use crate::overload::Selection;
use crate::overloads::{OverloadRank, OverloadRanks};
use crate::scheduler::Scheduler;
use crate::state::{JobState, RoundState, StepState};
use ospreywing_types::{Duration, Instant};

/// How many times its objective a job may take and still be worth something.
pub(crate) const LATE_FACTOR: u64 = 3;
/// The part of an estimate that is surely needed, in percent: estimates are
/// rough, and a job must not be given up that could still make it.
const SURE_PERCENT: u64 = 60;
/// The objective's factor where the queue is no longer configured.
const DEFAULT_STRETCH: f64 = 3.0;
/// The objective's rest where the queue is no longer configured.
const DEFAULT_OBJECTIVE_MS: u64 = 1000;

/// What can still become of a waiting job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Prospect {
    /// It can be done within its objective.
    InTime,
    /// It can be done late.
    Late,
    /// It will be too late to be worth much; it is done all the same.
    Overdue,
}

/// A job that can be in time is patient while it has more time to spare than this:
/// the time at which work begins to leave room to gangs, and a few times what a
/// step usually waits for room.
const PATIENT_SLACK: Duration = Duration::from_ms(4000);

/// A job's place in the order of service; the smallest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ServiceRank {
    /// Whether its customer hands in more than its share: that work comes after all else.
    is_beyond_share: bool,
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
    CanWait,
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
            Selection::InTime => return,
            Selection::CanWait if self.urgency == Urgency::Pressing => return,
            Selection::CanWait => Urgency::CanWait,
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
    pub(crate) fn service_order(&self, now: Instant, overloaded: &OverloadRanks) -> Vec<JobId> {
        let ids = self.active.values();
        let mut order: Vec<ServiceRank> = ids
            .filter_map(|id| self.service_rank(now, *id, overloaded.get(id)))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|rank| rank.job).collect()
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
            is_beyond_share: job.is_beyond_share,
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
        let left = Duration::from_ms(job.left_ms);
        let due = (job.accepted_at + job.objective) - left;
        match self.prospect(now, job) {
            Prospect::InTime if due < now + PATIENT_SLACK => (Urgency::Pressing, due),
            Prospect::InTime => (Urgency::Patient, due),
            Prospect::Late => (Urgency::Patient, late_due(job)),
            Prospect::Overdue => (Urgency::Overdue, due),
        }
    }

    pub(crate) fn prospect(&self, now: Instant, job: &Job) -> Prospect {
        if !job.may_be_late() {
            return Prospect::InTime;
        }
        let sure = Duration::from_ms(job.left_ms * SURE_PERCENT / 100);
        let objective = job.objective;
        let ends_at = now + sure;
        if ends_at <= job.accepted_at + objective {
            Prospect::InTime
        } else if ends_at <= job.accepted_at + objective.times(LATE_FACTOR) {
            Prospect::Late
        } else {
            Prospect::Overdue
        }
    }

    /// Returns the time within which a job should be done, by its estimates.
    pub(crate) fn objective(&self, record: &JobRecord) -> Duration {
        objective_of(record, self.configuration.queue(&record.queue))
    }
}

/// Returns the time within which a job of a queue should be done, by its estimates.
pub(crate) fn objective_of(record: &JobRecord, queue: Option<&Queue>) -> Duration {
    let stretch = queue.map_or(DEFAULT_STRETCH, |queue| queue.stretch);
    let rest_ms = queue.map_or(DEFAULT_OBJECTIVE_MS, |queue| queue.objective_ms);
    let chain = chain_ms(record, None) as f64;
    Duration::from_ms((chain * stretch) as u64 + rest_ms)
}

/// Returns when a job must start at the latest to be worth something.
fn late_due(job: &Job) -> Instant {
    let worth_until = job.accepted_at + job.objective.times(LATE_FACTOR);
    worth_until - Duration::from_ms(job.left_ms)
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

/// Returns the estimate of what is left of a job's longest chain.
pub(crate) fn left_ms(record: &JobRecord, state: &JobState) -> u64 {
    let rounds = state.rounds.iter();
    let left_ms = rounds.map(|round| chain_ms(record, Some(round)));
    left_ms.max().unwrap_or(0)
}

/// Returns the estimate of a job's longest chain of steps that are not done.
fn chain_ms(record: &JobRecord, round: Option<&RoundState>) -> u64 {
    let mut ends_ms: Vec<u64> = Vec::with_capacity(record.spec.steps.len());
    for (number, step) in record.spec.steps.iter().enumerate() {
        let begins_ms = step
            .depends_on
            .iter()
            .filter_map(|earlier| ends_ms.get(*earlier as usize))
            .max()
            .copied()
            .unwrap_or(0);
        let is_done = round
            .and_then(|round| round.steps.get(number))
            .is_some_and(StepState::is_done);
        let length_ms = if is_done { 0 } else { step.estimate_ms };
        ends_ms.push(begins_ms + length_ms);
    }
    ends_ms.into_iter().max().unwrap_or(0)
}
