//! Evidence of workers that crashed under a task, as the store keeps it.
//!
//! A run that was lost with its worker is recorded in its job's progress, so the next
//! start of its task is in the store together with all that speaks against it, and a new
//! leader gives the same verdict.

use crate::config::CrashPolicy;
use crate::job::{StepKey, TaskKey};
use crate::state::JobState;
use serde::{Deserialize, Serialize};

/// The crashes that must be certain for a verdict by points: the platform allows a task to
/// be given up under which two workers have crashed, and a silent worker may only be cut
/// off.
const CONFIRMED_LEAST_COUNT: usize = 2;

/// What ties a run to its worker's crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Suspicion {
    /// The run had begun just before, or was tried alone.
    Suspect,
    /// The run had outlived its start, or much of the rack was lost with the worker, or
    /// nothing tells whether the run had begun.
    Bystander,
    /// Another run there was on trial, or the worker was leaving by plan.
    Cleared,
}

/// The crash of a worker while a run of a task was on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The task.
    pub task: TaskKey,
    /// The run; each run is on record once, whoever learns of the crash and how often.
    pub run: u32,
    /// What ties the run to the crash.
    pub suspicion: Suspicion,
    /// Whether the worker's life is certainly over; one that is silent while its leases
    /// lapse may only be cut off.
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
    /// Returns whether a task may be one that crashes its workers: one crashed right
    /// after its start, or several did under it.
    pub fn is_suspect(&self, task: TaskKey, policy: &CrashPolicy) -> bool {
        let is_tied = |crash: &CrashRecord| crash.suspicion == Suspicion::Suspect;
        self.points_of(task, policy) >= policy.suspect_points || self.crashes_of(task).any(is_tied)
    }

    /// Returns whether so many workers have crashed under a task that it is given up.
    pub fn exceeds_crash_limits(&self, task: TaskKey, policy: &CrashPolicy) -> bool {
        let confirmed = self.crashes_of(task).filter(|crash| crash.is_confirmed);
        let is_certain = confirmed.count() >= CONFIRMED_LEAST_COUNT;
        let is_proved = is_certain && self.points_of(task, policy) >= policy.points_limit;
        // The bound on restarts goes before certainty.
        is_proved || self.crashes_of(task).count() >= policy.crashes_limit_count
    }

    fn points_of(&self, task: TaskKey, policy: &CrashPolicy) -> u32 {
        let points = self.crashes_of(task).map(|crash| crash.points(policy));
        points.sum()
    }

    fn crashes_of(&self, task: TaskKey) -> impl Iterator<Item = &CrashRecord> {
        self.crashes.iter().filter(move |crash| crash.task == task)
    }

    /// Puts a crash on record, in the place of what was known of the same run.
    pub fn record_crash(&mut self, record: CrashRecord) {
        self.retract_crash(record.task, record.run);
        self.crashes.push(record);
    }

    /// Takes a run off the record: its worker was only cut off.
    pub fn retract_crash(&mut self, task: TaskKey, run: u32) {
        let is_other = |crash: &CrashRecord| (crash.task, crash.run) != (task, run);
        self.crashes.retain(is_other);
    }

    /// Takes a task off the record: a run of it is done, or has lived on long after its
    /// start.
    pub fn clear_crashes(&mut self, task: TaskKey) {
        self.crashes.retain(|crash| crash.task != task);
    }

    /// Takes all tasks of a step off the record: its gang is done.
    pub fn clear_gang_crashes(&mut self, step: StepKey) {
        self.crashes.retain(|crash| crash.task.step != step);
    }
}
