//! Workers and the runs that occupy them.

use crate::customers::Charge;
use crate::event::Endpoint;
use crate::evidence::Suspicion;
use crate::interference::RunRole;
use crate::job::{StepKey, TaskKey};
use crate::learning::WorkerSpeed;
use crate::life::LifeStart;
use crate::open_starts::OpenStarts;
use cranelift_entity::entity_impl;
use ospreywing_types::{Duration, Instant, Resources};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A worker's life, as known to one scheduler.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkerKey(u32);
entity_impl!(WorkerKey, "worker");

/// The share by which a worker's clock may be slow, in thousandths, and more
/// to be sure.
const CLOCK_SLACK_PER_MILLE: u64 = 30;
/// What is added to every bound on a lease.
const LEASE_MARGIN: Duration = Duration::from_ms(100);

/// What the platform's list says of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerFacts {
    /// Its id, which it may have had in an earlier life too.
    pub id: Arc<str>,
    /// When this life started, where the platform tells.
    pub life_start: Option<LifeStart>,
    /// The address of its agent.
    pub address: Arc<str>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// The machine that it is a life of, where the platform tells.
    pub machine: Option<Arc<str>>,
    /// Its data centre; empty where the platform tells none.
    pub data_centre: Arc<str>,
    /// Its rack, where the platform tells.
    pub rack: Option<Arc<str>>,
    /// Its labels.
    pub labels: Vec<String>,
    /// What it holds.
    pub capacity: Resources,
    /// Whether it is leaving.
    pub is_draining: bool,
    /// When it goes at the earliest, on its clock in milliseconds, where it is leaving and
    /// tells.
    pub leaves_clock_ms: Option<u64>,
}

/// Where a run stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// Its record is on the way to the store; nothing was sent.
    Recording,
    /// An earlier leader recorded it; the worker has not been asked yet.
    Inherited,
    /// The start was sent and is not answered.
    Starting,
    /// The worker has it, at least since this instant.
    Running {
        /// When the worker said so.
        since: Instant,
    },
    /// It is being stopped.
    Stopping {
        /// When the last stop was sent.
        sent_at: Instant,
        /// When the worker took a stop.
        taken_at: Option<Instant>,
    },
}

/// How much of a run's work was done at an instant.
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
    /// What it takes of its customer's limit.
    pub(crate) charge: Charge,
    pub(crate) role: RunRole,
    pub(crate) ticket: Option<Arc<str>>,
    /// The checkpoint that its start brings.
    pub(crate) checkpoint: Option<String>,
    /// The life for which an earlier leader recorded it, where that is known.
    pub(crate) recorded_life: Option<LifeStart>,
    /// How often its start was sent, and how many of these were answered.
    pub(crate) sends_count: u32,
    pub(crate) answers_count: u32,
    /// When its start was sent last.
    pub(crate) sent_at: Instant,
    pub(crate) placed_at: Instant,
    /// Since when the worker is known to have it.
    pub(crate) begun_at: Option<Instant>,
    /// Whether the connection of its start broke and nothing listened there any more: the
    /// worker was lost while it had the start.
    pub(crate) was_cut_off: bool,
    /// Whether the worker did not list it in answer to a look that was sent after its start
    /// had gone unanswered.
    pub(crate) was_absent: bool,
    /// Whether its task may have crashed a worker by starting there.
    pub(crate) is_on_trial: bool,
    pub(crate) progress_percent: u32,
    /// How often it has told that its machine is slow, by taking far longer than others.
    pub(crate) overdue_count: u32,
    /// How much of its work was done when that was known first: its pace counts from there.
    pub(crate) pace_from: Option<Progress>,
    /// When it was listed last.
    pub(crate) listed_at: Instant,
}

impl Run {
    /// Creates a run of which nothing was sent yet.
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
            recorded_life: None,
            sends_count: 0,
            answers_count: 0,
            sent_at: placed_at,
            placed_at,
            begun_at: None,
            was_cut_off: false,
            was_absent: false,
            is_on_trial: false,
            progress_percent: 0,
            overdue_count: 0,
            pace_from: None,
            listed_at: placed_at,
        }
    }

    /// Returns whether a start that was sent may still be carried out.
    pub(crate) const fn has_open_start(&self) -> bool {
        self.sends_count > self.answers_count
    }

    /// Returns whether it was being stopped, and is not known to have begun, when a look was
    /// sent.
    pub(crate) fn was_unknown_at(&self, sent_at: Instant) -> bool {
        let is_before =
            matches!(self.phase, RunPhase::Stopping { sent_at: at, .. } if at < sent_at);
        is_before && self.begun_at.is_none()
    }

    /// Notes how much of its work is done.
    pub(crate) fn note_progress(&mut self, now: Instant, percent: u32) {
        self.pace_from.get_or_insert(Progress { percent, at: now });
        self.progress_percent = percent;
        self.listed_at = now;
    }

    /// Notes that the worker has it.
    pub(crate) fn mark_begun(&mut self, now: Instant) {
        self.was_absent = false;
        if self.begun_at.is_none() && self.checkpoint.is_none() {
            let percent = 0;
            self.pace_from.get_or_insert(Progress { percent, at: now });
        }
        self.begun_at.get_or_insert(now);
    }
}

/// A run that was given up with its worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LostRun {
    pub(crate) task: TaskKey,
    pub(crate) run: u32,
    pub(crate) suspicion: Suspicion,
    /// The life that it was given to, where that is known.
    pub(crate) life_start: Option<LifeStart>,
    /// Whether it is not known to have outlived its start, and may have begun.
    pub(crate) is_open: bool,
}

/// The worker's clock as it was last told.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClockReading {
    pub(crate) clock_ms: u64,
    pub(crate) read_at: Instant,
}

/// Room that a step counts on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Claim {
    pub(crate) step: StepKey,
    pub(crate) room: Resources,
}

/// A worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) facts: WorkerFacts,
    /// Whether the platform's list has this life of it.
    pub(crate) is_listed: bool,
    /// Whether its service is one that the operators have set.
    pub(crate) has_service: bool,
    /// Whether its data centre is cordoned.
    pub(crate) is_cordoned: bool,
    /// When it goes at the earliest, where it is leaving.
    pub(crate) leaves_at: Option<Instant>,
    /// Whether this life is certainly over.
    pub(crate) is_gone: bool,
    /// Whether its lists have been taken over under this fence.
    pub(crate) is_synced: bool,
    /// Whether the last renewal was answered.
    pub(crate) is_reachable: bool,
    /// Since when another life is listed at its place or under its id, where it has not
    /// answered a look that was sent since.
    pub(crate) doubted_at: Option<Instant>,
    /// The entry under its id, where that names another life than the one that answers.
    pub(crate) other_entry: Option<WorkerFacts>,
    /// Whether it runs something that nobody can account for.
    pub(crate) has_unknown_run: bool,
    /// When the life started that answers, where it tells.
    pub(crate) life_start: Option<LifeStart>,
    pub(crate) clock: Option<ClockReading>,
    /// When every lease granted to its runs is certainly over.
    pub(crate) leased_until: Instant,
    /// When this leader granted a lease last.
    pub(crate) granted_at: Instant,
    pub(crate) runs: BTreeMap<TaskKey, Run>,
    pub(crate) used: Resources,
    /// What its runs held when its room shrank below them, less what has ended since.
    pub(crate) overfull: Resources,
    serving_count: usize,
    fillers_count: usize,
    /// Runs of tasks that may have crashed a worker before.
    pub(crate) trials_count: usize,
    /// Starts whose runs were given up without an answer.
    pub(crate) open_starts: OpenStarts,
    /// Runs that were given up while it was silent; what became of it is not known.
    pub(crate) lost_runs: Vec<LostRun>,
    /// When this leader learned that its life is over.
    pub(crate) gone_at: Option<Instant>,
    /// When it last answered a call.
    pub(crate) answered_at: Instant,
    /// Room that steps count on whose calls for advice name the worker. It
    /// keeps others from naming it too, not from taking the room.
    claims: Vec<Claim>,
    /// Room that is kept for gangs: nobody else may take it.
    pub(crate) reservations: Vec<Claim>,
    /// The last end that it may forget.
    pub(crate) acked_end: u64,
    /// The last end that was taken in.
    pub(crate) seen_end: u64,
    /// The first end that this leader may not acknowledge, since it can't read
    /// the job.
    pub(crate) kept_end: Option<u64>,
    /// Ends that wait for their commit.
    pub(crate) uncommitted_ends: Vec<u64>,
    pub(crate) is_hold_open: bool,
    /// Renewals in a row that were not answered.
    pub(crate) unanswered_holds_count: u32,
    pub(crate) next_hold_at: Instant,
    /// Starts that were refused or runs that failed, in a row.
    pub(crate) failures_count: u32,
    pub(crate) avoided_until: Instant,
    /// What is believed of its speed.
    pub(crate) speed: WorkerSpeed,
    /// When its lists came last.
    pub(crate) lists_at: Instant,
    /// For how long an end that it listed last may have been unknown: nobody waited for its
    /// lists then.
    pub(crate) end_lag: Duration,
}

impl Worker {
    pub(crate) fn new(facts: WorkerFacts, leased_until: Instant) -> Self {
        Self {
            facts,
            is_listed: true,
            has_service: true,
            is_cordoned: false,
            leaves_at: None,
            is_gone: false,
            is_synced: false,
            is_reachable: true,
            doubted_at: None,
            other_entry: None,
            has_unknown_run: false,
            life_start: None,
            clock: None,
            leased_until,
            granted_at: Instant::default(),
            runs: BTreeMap::new(),
            used: Resources::ZERO,
            overfull: Resources::ZERO,
            serving_count: 0,
            fillers_count: 0,
            trials_count: 0,
            open_starts: OpenStarts::default(),
            lost_runs: Vec::new(),
            gone_at: None,
            answered_at: Instant::default(),
            claims: Vec::new(),
            reservations: Vec::new(),
            acked_end: 0,
            seen_end: 0,
            kept_end: None,
            uncommitted_ends: Vec::new(),
            is_hold_open: false,
            unanswered_holds_count: 0,
            next_hold_at: Instant::default(),
            failures_count: 0,
            avoided_until: Instant::default(),
            speed: WorkerSpeed::default(),
            lists_at: Instant::default(),
            end_lag: Duration::ZERO,
        }
    }

    /// Returns up to which end the worker may forget, once all that wait for
    /// their commit are in the store.
    pub(crate) fn ackable_end(&self) -> u64 {
        let kept = self.kept_end.map(|number| number.saturating_sub(1));
        kept.map_or(self.seen_end, |last| last.min(self.seen_end))
    }

    /// Takes in what is listed of it now.
    pub(crate) fn set_facts(&mut self, facts: WorkerFacts) {
        self.facts = facts;
        self.note_overfull();
    }

    /// Returns whether its runs need more than it holds since its room has shrunk.
    pub(crate) fn is_overfull(&self) -> bool {
        !self.used.fits_in(&self.facts.capacity)
    }

    fn note_overfull(&mut self) {
        self.overfull = if self.is_overfull() {
            self.used
        } else {
            Resources::ZERO
        };
    }

    /// Returns whether a recorded start still fits beside all whose start was sent.
    pub(crate) fn has_room_to_send(&self, task: TaskKey) -> bool {
        if !self.is_overfull() {
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

    /// Returns what is not taken.
    pub(crate) fn free(&self) -> Resources {
        self.facts.capacity - self.used
    }

    /// Notes that a step counts on room for so many tasks.
    pub(crate) fn claim(&mut self, step: StepKey, demand: &Resources, tasks_count: u32) {
        let room = demand.times(tasks_count);
        self.claims.push(Claim { step, room });
    }

    /// Drops what a step counted on.
    pub(crate) fn drop_claim(&mut self, step: StepKey) {
        self.claims.retain(|claim| claim.step != step);
    }

    /// Returns the steps that count on room here.
    pub(crate) fn claiming_steps(&self) -> impl Iterator<Item = StepKey> + '_ {
        self.claims.iter().map(|claim| claim.step)
    }

    /// Returns what steps count on whose calls for advice are open.
    pub(crate) fn claimed(&self) -> Resources {
        sum_of(self.claims.iter())
    }

    /// Returns what is kept for gangs other than `step`.
    pub(crate) fn reserved(&self, step: StepKey) -> Resources {
        let others = self.reservations.iter();
        sum_of(others.filter(|reservation| reservation.step != step))
    }

    /// Returns what will not be taken once the runs that are being stopped
    /// have ended.
    pub(crate) fn room_without_stopping(&self) -> Resources {
        let mut room = self.free();
        for run in self.runs.values() {
            if matches!(run.phase, RunPhase::Stopping { .. }) {
                room += run.demand;
            }
        }
        room
    }

    /// Returns whether a new run may be sent there.
    pub(crate) fn is_placeable(&self, now: Instant) -> bool {
        self.is_listed
            && self.has_service
            && !self.is_cordoned
            && !self.is_gone
            && self.is_synced
            && self.is_reachable
            && self.doubted_at.is_none()
            && !self.has_unknown_run
            && !self.facts.is_draining
            // Nothing joins a run that may crash the worker.
            && !self.has_trial()
            && now >= self.avoided_until
    }

    pub(crate) fn endpoint(&self, worker: WorkerKey) -> Endpoint {
        Endpoint {
            worker,
            id: self.facts.id.clone(),
            life_start: self.life_start,
            address: self.facts.address.clone(),
        }
    }

    pub(crate) fn insert_run(&mut self, task: TaskKey, run: Run) {
        self.used += run.demand;
        if let Some(count) = self.count_of(run.role) {
            *count += 1;
        }
        self.trials_count += usize::from(run.is_on_trial);
        self.runs.insert(task, run);
    }

    /// Adds a run that an earlier leader started, when the worker may have held more.
    pub(crate) fn insert_foreign_run(&mut self, task: TaskKey, run: Run) {
        self.insert_run(task, run);
        self.note_overfull();
    }

    const fn count_of(&mut self, role: RunRole) -> Option<&mut usize> {
        match role {
            RunRole::Plain => None,
            RunRole::Serving => Some(&mut self.serving_count),
            RunRole::Filler => Some(&mut self.fillers_count),
        }
    }

    /// Returns whether a task that serves users runs there.
    pub(crate) const fn is_serving(&self) -> bool {
        self.serving_count > 0
    }

    /// Returns whether a filler runs there beside a task that serves users.
    pub(crate) const fn is_shared(&self) -> bool {
        self.serving_count > 0 && self.fillers_count > 0
    }

    pub(crate) fn remove_run(&mut self, task: TaskKey) -> Option<Run> {
        let run = self.runs.remove(&task)?;
        self.used -= run.demand;
        self.note_overfull();
        if let Some(count) = self.count_of(run.role) {
            *count -= 1;
        }
        self.trials_count -= usize::from(run.is_on_trial);
        Some(run)
    }

    /// Grants a lease of `length` and returns its end on the worker's clock.
    ///
    /// Returns `None` where the worker's clock is not known. The worker's own
    /// clock may be slow, so the lease may last longer on this node's clock.
    pub(crate) fn grant(&mut self, now: Instant, length: Duration) -> Option<u64> {
        let clock = self.clock?;
        let age = now.since(clock.read_at);
        let slack = clock_slack(length + age);
        let bound = now + length + slack + LEASE_MARGIN;
        self.leased_until = self.leased_until.max(bound);
        self.granted_at = now;
        Some(clock.clock_ms + age.as_ms() + length.as_ms())
    }
}

/// Returns when a lease is certainly over that was granted by now, on a worker
/// that keeps leases of `limit` at most.
pub(crate) fn lease_bound(now: Instant, limit: Duration) -> Instant {
    now + limit + clock_slack(limit) + LEASE_MARGIN
}

/// Returns how much longer a time on a worker's clock may be on this node's.
const fn clock_slack(length: Duration) -> Duration {
    Duration::from_ms(length.as_ms() * CLOCK_SLACK_PER_MILLE / 1000)
}

fn sum_of<'a>(claims: impl Iterator<Item = &'a Claim>) -> Resources {
    let mut room = Resources::ZERO;
    for claim in claims {
        room += claim.room;
    }
    room
}
