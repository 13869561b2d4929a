//! Workers and the runs that occupy them.

use crate::crash_records::Suspicion;
use crate::customers::Charge;
use crate::event::Endpoint;
use crate::incarnation::Incarnation;
use crate::interference::RunRole;
use crate::job::{StepKey, TaskKey};
use crate::learning::WorkerSpeed;
use crate::open_starts::OpenStarts;
use cranelift_entity::entity_impl;
use ospreywing_types::{Duration, Instant, Resources};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Identifies an incarnation of a worker within one scheduler.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkerKey(u32);
entity_impl!(WorkerKey, "worker");

/// The assumed maximum by which a worker's clock runs slow, in thousandths, with a safety
/// margin.
const CLOCK_SLACK_PER_MILLE: u64 = 30;
/// The margin added to every lease bound.
const LEASE_MARGIN: Duration = Duration::from_ms(100);

/// A worker's entry in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerFacts {
    /// The worker's id, which earlier incarnations may have had too.
    pub id: Arc<str>,
    /// The worker's incarnation, if the platform reports it.
    pub incarnation: Option<Incarnation>,
    /// The address of the worker's agent.
    pub address: Arc<str>,
    /// The service that the worker belongs to.
    pub service: Arc<str>,
    /// The machine that the worker runs on, if the platform reports it.
    pub machine: Option<Arc<str>>,
    /// The data centre; empty if the platform reports none.
    pub data_centre: Arc<str>,
    /// The rack, if the platform reports it.
    pub rack: Option<Arc<str>>,
    /// The worker's labels.
    pub labels: Vec<String>,
    /// The worker's total capacity.
    pub capacity: Resources,
    /// Whether the worker is draining.
    pub is_draining: bool,
    /// The earliest departure of a draining worker, in milliseconds on its clock, if
    /// reported.
    pub departs_at_clock_ms: Option<u64>,
}

/// The phase of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// The start is being recorded in the store and has not been sent.
    Recording,
    /// An earlier leader recorded the run, and the worker has not been polled yet.
    Recovered,
    /// The start was sent and is unanswered.
    Starting,
    /// The worker has the run.
    Running {
        /// When the worker confirmed the run.
        since: Instant,
    },
    /// The run is being stopped.
    Stopping {
        /// When the last stop was sent.
        sent_at: Instant,
        /// When the worker accepted a stop, if it did.
        accepted_at: Option<Instant>,
    },
}

/// The progress of a run at an instant.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    pub(crate) percent: u32,
    pub(crate) at: Instant,
}

/// A run that occupies a worker.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) run: u32,
    pub(crate) phase: RunPhase,
    pub(crate) demand: Resources,
    /// The run's charge against its customer's limit and share.
    pub(crate) charge: Charge,
    pub(crate) role: RunRole,
    pub(crate) ticket: Option<Arc<str>>,
    /// The checkpoint that the start order carries.
    pub(crate) checkpoint: Option<String>,
    /// The incarnation for which an earlier leader recorded the run, if known.
    pub(crate) recorded_incarnation: Option<Incarnation>,
    /// The number of times that the start was sent, and how many of these were answered.
    pub(crate) start_sends_count: u32,
    pub(crate) start_answers_count: u32,
    /// When the start was last sent.
    pub(crate) sent_at: Instant,
    pub(crate) placed_at: Instant,
    /// When the worker was first known to have the run.
    pub(crate) begun_at: Option<Instant>,
    /// Whether the connection broke while a start was sent and nothing listened at the
    /// address afterwards: the worker was lost while it had the start.
    pub(crate) was_cut_off: bool,
    /// Whether the start went unanswered and a poll sent afterwards did not list the run.
    pub(crate) was_absent: bool,
    /// Whether the run is on probation, because its task may have crashed a worker by
    /// starting there.
    pub(crate) is_on_probation: bool,
    pub(crate) progress_percent: u32,
    /// The number of times that the run was counted as evidence of a slow machine, because
    /// it took far longer than others.
    pub(crate) overdue_count: u32,
    /// The first known progress; the run's pace is measured from there.
    pub(crate) pace_from: Option<Progress>,
    /// When the worker last listed the run.
    pub(crate) listed_at: Instant,
}

impl Run {
    /// Creates a run whose start has not been sent.
    pub(crate) const fn new(run: u32, demand: Resources, placed_at: Instant) -> Self {
        Self {
            run,
            phase: RunPhase::Recording,
            demand,
            charge: Charge {
                customer: None,
                service: None,
                amount: Resources::ZERO,
            },
            role: RunRole::Plain,
            ticket: None,
            checkpoint: None,
            recorded_incarnation: None,
            start_sends_count: 0,
            start_answers_count: 0,
            sent_at: placed_at,
            placed_at,
            begun_at: None,
            was_cut_off: false,
            was_absent: false,
            is_on_probation: false,
            progress_percent: 0,
            overdue_count: 0,
            pace_from: None,
            listed_at: placed_at,
        }
    }

    /// Returns whether a start that was sent is unanswered, so that the worker may still
    /// carry it out.
    pub(crate) const fn has_unanswered_start(&self) -> bool {
        self.start_sends_count > self.start_answers_count
    }

    /// Returns whether the run was being stopped and not known to have begun when a poll
    /// was sent.
    pub(crate) fn was_unconfirmed_at(&self, sent_at: Instant) -> bool {
        let is_before =
            matches!(self.phase, RunPhase::Stopping { sent_at: at, .. } if at < sent_at);
        is_before && self.begun_at.is_none()
    }

    /// Records the run's progress.
    pub(crate) fn record_progress(&mut self, now: Instant, percent: u32) {
        self.pace_from.get_or_insert(Progress { percent, at: now });
        self.progress_percent = percent;
        self.listed_at = now;
    }

    /// Records that the worker has the run.
    pub(crate) fn mark_begun(&mut self, now: Instant) {
        self.was_absent = false;
        if self.begun_at.is_none() && self.checkpoint.is_none() {
            let percent = 0;
            self.pace_from.get_or_insert(Progress { percent, at: now });
        }
        self.begun_at.get_or_insert(now);
    }
}

/// A run that was lost with its worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LostRun {
    pub(crate) task: TaskKey,
    pub(crate) run: u32,
    pub(crate) suspicion: Suspicion,
    /// The incarnation that the run was assigned to, if known.
    pub(crate) incarnation: Option<Incarnation>,
    /// Whether the run may have begun and is not known to have passed its start window.
    pub(crate) may_be_in_start_window: bool,
}

/// A reading of the worker's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClockReading {
    pub(crate) clock_ms: u64,
    pub(crate) read_at: Instant,
}

/// Capacity reserved for a step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CapacityReservation {
    pub(crate) step: StepKey,
    pub(crate) capacity: Resources,
}

/// A worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) facts: WorkerFacts,
    /// Whether the platform's list contains this incarnation.
    pub(crate) is_listed: bool,
    /// Whether the worker's service is configured.
    pub(crate) has_service: bool,
    /// Whether its data centre is cordoned.
    pub(crate) is_cordoned: bool,
    /// The earliest departure, if the worker is draining.
    pub(crate) departs_at: Option<Instant>,
    /// Whether this incarnation is certainly over.
    pub(crate) is_gone: bool,
    /// Whether the worker has listed its runs under this leader's fencing token.
    pub(crate) is_synced: bool,
    /// Whether the last poll was answered.
    pub(crate) is_reachable: bool,
    /// Since when it is unconfirmed that this incarnation still runs: another one is listed
    /// on its machine, at its address or under its id, and no poll sent since then has been
    /// answered.
    pub(crate) unconfirmed_since: Option<Instant>,
    /// The entry under the worker's id that names another incarnation than the one that
    /// answers.
    pub(crate) other_entry: Option<WorkerFacts>,
    /// Whether the worker has a run whose demand is unknown.
    pub(crate) has_unknown_run: bool,
    /// The incarnation that answers, if reported.
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) clock: Option<ClockReading>,
    /// When every lease granted to the worker has certainly expired.
    pub(crate) leased_until: Instant,
    /// When this leader last granted a lease.
    pub(crate) lease_granted_at: Instant,
    pub(crate) runs: BTreeMap<TaskKey, Run>,
    pub(crate) used: Resources,
    /// The capacity in use when the worker's total capacity shrank below it, reduced as
    /// runs end.
    pub(crate) overcommitted: Resources,
    serving_count: usize,
    fillers_count: usize,
    /// The number of runs on probation.
    pub(crate) probation_runs_count: usize,
    /// Unanswered starts whose runs have ended or were released.
    pub(crate) open_starts: OpenStarts,
    /// Runs that were released while the worker was unresponsive; whether they have ended is
    /// unconfirmed.
    pub(crate) lost_runs: Vec<LostRun>,
    /// When this leader learned that the incarnation is over.
    pub(crate) gone_at: Option<Instant>,
    /// When the worker last answered a call.
    pub(crate) last_answer_at: Instant,
    /// Soft reservations of steps with open advice requests that name the worker. They keep
    /// other advice requests from counting on the same capacity, but don't prevent its use.
    soft_reservations: Vec<CapacityReservation>,
    /// Reservations for gangs; no other step may use this capacity.
    pub(crate) reservations: Vec<CapacityReservation>,
    /// The number up to which the worker may discard its ends.
    pub(crate) acked_end: u64,
    /// The number of the last end that was handled.
    pub(crate) last_seen_end: u64,
    /// The first end that this leader may not acknowledge, because it can't read the job.
    pub(crate) first_unreadable_end: Option<u64>,
    /// Ends whose changes are not yet committed.
    pub(crate) uncommitted_ends: Vec<u64>,
    pub(crate) is_poll_open: bool,
    /// The latest time at which a worker that runs would hold the open poll.
    pub(crate) poll_held_until: Instant,
    /// The number of consecutive unanswered polls.
    pub(crate) unanswered_polls_count: u32,
    pub(crate) next_poll_at: Instant,
    /// The number of consecutive refused starts and failed runs.
    pub(crate) failures_count: u32,
    pub(crate) avoided_until: Instant,
    /// The estimate of the worker's speed.
    pub(crate) speed: WorkerSpeed,
    /// When the worker last listed its runs.
    pub(crate) last_listed_at: Instant,
    /// The longest time for which an end in the last answer may have gone unnoticed: no
    /// poll was waiting at the worker then.
    pub(crate) end_detection_delay: Duration,
}

impl Worker {
    pub(crate) fn new(facts: WorkerFacts, leased_until: Instant) -> Self {
        Self {
            facts,
            is_listed: true,
            has_service: true,
            is_cordoned: false,
            departs_at: None,
            is_gone: false,
            is_synced: false,
            is_reachable: true,
            unconfirmed_since: None,
            other_entry: None,
            has_unknown_run: false,
            incarnation: None,
            clock: None,
            leased_until,
            lease_granted_at: Instant::default(),
            runs: BTreeMap::new(),
            used: Resources::ZERO,
            overcommitted: Resources::ZERO,
            serving_count: 0,
            fillers_count: 0,
            probation_runs_count: 0,
            open_starts: OpenStarts::default(),
            lost_runs: Vec::new(),
            gone_at: None,
            last_answer_at: Instant::default(),
            soft_reservations: Vec::new(),
            reservations: Vec::new(),
            acked_end: 0,
            last_seen_end: 0,
            first_unreadable_end: None,
            uncommitted_ends: Vec::new(),
            is_poll_open: false,
            poll_held_until: Instant::default(),
            unanswered_polls_count: 0,
            next_poll_at: Instant::default(),
            failures_count: 0,
            avoided_until: Instant::default(),
            speed: WorkerSpeed::default(),
            last_listed_at: Instant::default(),
            end_detection_delay: Duration::ZERO,
        }
    }

    /// Returns the number up to which the worker may discard its ends once all uncommitted
    /// ends are in the store.
    pub(crate) fn ackable_end(&self) -> u64 {
        let last_readable = self
            .first_unreadable_end
            .map(|number| number.saturating_sub(1));
        last_readable.map_or(self.last_seen_end, |last| last.min(self.last_seen_end))
    }

    /// Returns whether the worker may discard ends and has not been told so.
    pub(crate) fn has_new_ack(&self) -> bool {
        self.ackable_end() > self.acked_end
    }

    /// Replaces the worker's entry.
    pub(crate) fn set_facts(&mut self, facts: WorkerFacts) {
        self.facts = facts;
        self.update_overcommitted();
    }

    /// Returns whether the worker's runs need more than its capacity, which has shrunk.
    pub(crate) fn is_overcommitted(&self) -> bool {
        !self.used.fits_in(&self.facts.capacity)
    }

    fn update_overcommitted(&mut self) {
        self.overcommitted = if self.is_overcommitted() {
            self.used
        } else {
            Resources::ZERO
        };
    }

    /// Returns whether a recorded start still fits alongside all runs whose start was sent.
    pub(crate) fn has_capacity_to_send(&self, task: TaskKey) -> bool {
        if !self.is_overcommitted() {
            return true;
        }
        let mut needed = Resources::ZERO;
        for (other, run) in &self.runs {
            if *other == task || run.phase != RunPhase::Recording {
                needed += run.demand;
            }
        }
        needed.fits_in(&self.facts.capacity)
    }

    /// Returns the free capacity.
    pub(crate) fn free(&self) -> Resources {
        self.facts.capacity - self.used
    }

    /// Adds a soft reservation for `tasks_count` tasks of a step.
    pub(crate) fn add_soft_reservation(
        &mut self,
        step: StepKey,
        demand: &Resources,
        tasks_count: u32,
    ) {
        let capacity = demand.times(tasks_count);
        self.soft_reservations
            .push(CapacityReservation { step, capacity });
    }

    /// Drops the soft reservations of a step.
    pub(crate) fn drop_soft_reservation(&mut self, step: StepKey) {
        self.soft_reservations
            .retain(|reservation| reservation.step != step);
    }

    /// Returns the steps with soft reservations.
    pub(crate) fn soft_reserving_steps(&self) -> impl Iterator<Item = StepKey> + '_ {
        self.soft_reservations
            .iter()
            .map(|reservation| reservation.step)
    }

    /// Returns the sum of the soft reservations.
    pub(crate) fn soft_reserved(&self) -> Resources {
        sum_of(self.soft_reservations.iter())
    }

    /// Returns the capacity reserved for gangs other than `step`.
    pub(crate) fn reserved(&self, step: StepKey) -> Resources {
        let others = self.reservations.iter();
        sum_of(others.filter(|reservation| reservation.step != step))
    }

    /// Returns the free capacity once all runs that are being stopped have ended.
    pub(crate) fn free_after_stops(&self) -> Resources {
        let mut capacity = self.free();
        for run in self.runs.values() {
            if matches!(run.phase, RunPhase::Stopping { .. }) {
                capacity += run.demand;
            }
        }
        capacity
    }

    /// Returns whether a new run may be placed on the worker.
    pub(crate) fn is_placeable(&self, now: Instant) -> bool {
        self.accepts_runs() && now >= self.avoided_until
    }

    /// Returns whether a new run may be placed on the worker unless it is avoided.
    pub(crate) fn accepts_runs(&self) -> bool {
        self.is_listed
            && self.has_service
            && !self.is_cordoned
            && !self.is_gone
            && self.is_synced
            && self.is_reachable
            && self.unconfirmed_since.is_none()
            && !self.has_unknown_run
            && !self.facts.is_draining
            // No run joins one that may crash the worker.
            && !self.has_probation_run()
    }

    pub(crate) fn endpoint(&self, worker: WorkerKey) -> Endpoint {
        Endpoint {
            worker,
            id: self.facts.id.clone(),
            incarnation: self.incarnation,
            address: self.facts.address.clone(),
        }
    }

    pub(crate) fn insert_run(&mut self, task: TaskKey, run: Run) {
        self.used += run.demand;
        if let Some(count) = self.counter_of(run.role) {
            *count += 1;
        }
        self.probation_runs_count += usize::from(run.is_on_probation);
        self.runs.insert(task, run);
    }

    /// Adds a run that this leader didn't place on the worker: an earlier leader started it,
    /// or it was placed on an earlier incarnation. The capacity may have been larger then.
    pub(crate) fn insert_foreign_run(&mut self, task: TaskKey, run: Run) {
        self.insert_run(task, run);
        self.update_overcommitted();
    }

    const fn counter_of(&mut self, role: RunRole) -> Option<&mut usize> {
        match role {
            RunRole::Plain => None,
            RunRole::Serving => Some(&mut self.serving_count),
            RunRole::Filler => Some(&mut self.fillers_count),
        }
    }

    /// Returns whether a serving task runs on the worker.
    pub(crate) const fn is_serving(&self) -> bool {
        self.serving_count > 0
    }

    /// Returns whether a filler runs on the worker alongside a serving task.
    pub(crate) const fn is_shared(&self) -> bool {
        self.serving_count > 0 && self.fillers_count > 0
    }

    pub(crate) fn remove_run(&mut self, task: TaskKey) -> Option<Run> {
        let run = self.runs.remove(&task)?;
        self.used -= run.demand;
        self.update_overcommitted();
        if let Some(count) = self.counter_of(run.role) {
            *count -= 1;
        }
        self.probation_runs_count -= usize::from(run.is_on_probation);
        Some(run)
    }

    /// Grants a lease of `duration` and returns its end on the worker's clock.
    ///
    /// Returns `None` if the worker's clock is unknown. That clock may be slow, so the
    /// lease may last longer on this node's clock.
    pub(crate) fn grant_lease(&mut self, now: Instant, duration: Duration) -> Option<u64> {
        let clock = self.clock?;
        let age = now.since(clock.read_at);
        let slack = clock_slack(duration + age);
        let bound = now + duration + slack + LEASE_MARGIN;
        self.leased_until = self.leased_until.max(bound);
        self.lease_granted_at = now;
        let span_ms = age.as_ms() + duration.as_ms();
        Some(clock.clock_ms.saturating_add(span_ms))
    }
}

/// Returns when every lease granted by `now` has certainly expired on a worker that limits
/// leases to `limit`.
pub(crate) fn lease_bound(now: Instant, limit: Duration) -> Instant {
    now + limit + clock_slack(limit) + LEASE_MARGIN
}

/// Returns by how much a time span on a worker's clock may be longer on this node's clock.
const fn clock_slack(duration: Duration) -> Duration {
    Duration::from_ms(duration.as_ms() * CLOCK_SLACK_PER_MILLE / 1000)
}

fn sum_of<'a>(reservations: impl Iterator<Item = &'a CapacityReservation>) -> Resources {
    let mut capacity = Resources::ZERO;
    for reservation in reservations {
        capacity += reservation.capacity;
    }
    capacity
}
