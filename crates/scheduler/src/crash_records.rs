//! Records of worker crashes under a task, as stored.
//!
//! A run that was lost with its worker is recorded in its job's progress. The next start of
//! the task is therefore stored together with all earlier crashes, and a new leader comes
//! to the same decision.

use crate::config::CrashPolicy;
use crate::job::{StepKey, TaskKey};
use crate::state::JobState;
use serde::{Deserialize, Serialize};

/// The confirmed crashes required before points decide: the platform allows a task to be
/// failed after two workers have crashed under it, and an unresponsive worker may only be
/// partitioned.
const MIN_CONFIRMED_COUNT: usize = 2;

/// The relation of a run to its worker's crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Suspicion {
    /// The run had just begun, or was alone on the worker, or was on probation.
    Suspect,
    /// The run had passed its start window, or much of the rack was lost with the worker,
    /// or it is unknown whether the run had begun.
    Bystander,
    /// Another run on the worker was on probation, or the worker was draining.
    Cleared,
}

/// A worker crash while a run of a task was on the worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The task.
    pub task: TaskKey,
    /// The run. Each run is recorded once, however often its crash is reported.
    pub run: u32,
    /// The relation of the run to the crash.
    pub suspicion: Suspicion,
    /// Whether the worker's incarnation is certainly over. A worker that is unresponsive
    /// until its leases expire may only be partitioned.
    pub is_confirmed: bool,
}

impl CrashRecord {
    const fn points(&self, policy: &CrashPolicy) -> u32 {
        match self.suspicion {
            Suspicion::Suspect if self.is_confirmed => policy.suspect_points,
            Suspicion::Suspect | Suspicion::Bystander => policy.bystander_points,
            Suspicion::Cleared => 0,
        }
    }
}

impl JobState {
    /// Returns whether a task is suspected of crashing its workers: one crashed right after
    /// the task's start, or several crashed under it.
    pub fn is_suspect(&self, task: TaskKey, policy: &CrashPolicy) -> bool {
        let is_suspected = |crash: &CrashRecord| crash.suspicion == Suspicion::Suspect;
        self.points_of(task, policy) >= policy.suspect_points
            || self.crashes_of(task).any(is_suspected)
    }

    /// Returns whether the crashes under a task have reached a limit of the policy, so that its
    /// job is to be failed.
    pub fn exceeds_crash_limits(&self, task: TaskKey, policy: &CrashPolicy) -> bool {
        let confirmed = self.crashes_of(task).filter(|crash| crash.is_confirmed);
        let is_certain = confirmed.count() >= MIN_CONFIRMED_COUNT;
        let has_enough_points = is_certain && self.points_of(task, policy) >= policy.points_limit;
        // The limit on restarts applies even without confirmed crashes.
        has_enough_points || self.crashes_of(task).count() >= policy.crashes_limit_count
    }

    fn points_of(&self, task: TaskKey, policy: &CrashPolicy) -> u32 {
        let points = self.crashes_of(task).map(|crash| crash.points(policy));
        points.sum()
    }

    fn crashes_of(&self, task: TaskKey) -> impl Iterator<Item = &CrashRecord> {
        self.crashes.iter().filter(move |crash| crash.task == task)
    }

    /// Records a crash; replaces an earlier record of the same run.
    pub fn record_crash(&mut self, record: CrashRecord) {
        self.retract_crash(record.task, record.run);
        self.crashes.push(record);
    }

    /// Removes the record of a run whose worker was only partitioned.
    pub fn retract_crash(&mut self, task: TaskKey, run: u32) {
        let is_other = |crash: &CrashRecord| (crash.task, crash.run) != (task, run);
        self.crashes.retain(is_other);
    }

    /// Removes the records of a task: a run of it is done, or is still alive long after its
    /// start.
    pub fn clear_crashes(&mut self, task: TaskKey) {
        self.crashes.retain(|crash| crash.task != task);
    }

    /// Removes the records of all tasks of a step: its gang is done.
    pub fn clear_gang_crashes(&mut self, step: StepKey) {
        self.crashes.retain(|crash| crash.task.step != step);
    }
}
