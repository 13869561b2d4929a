//! Evidence of workers that crashed under a task, as the store keeps it.
//!
//! A run that was lost with its worker is recorded in its job's progress, so the next
//! start of its task is in the store together with all that speaks against it, and a new
//! leader gives the same verdict.

use crate::job::TaskKey;
use crate::state::JobState;
use serde::{Deserialize, Serialize};

/// What a crash right after the run's start counts.
const SUSPECT_POINTS: u32 = 2;
/// What a crash counts whose cause may be any of several runs.
const BYSTANDER_POINTS: u32 = 1;
/// The points at which a task is given up: three crashes right after a start. A judgement:
/// with five points, one innocent job in some 4,000 was failed on ten workers with three
/// tasks that crash them and a new leader each 2.5 s.
const POINTS_LIMIT: u32 = 6;
/// The crashes of any kind at which a task is given up: the platform allows two starts
/// more after three crashes of one task.
const CRASHES_LIMIT_COUNT: usize = 5;

/// What ties a run to its worker's crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Suspicion {
    /// The run had begun just before, or was about to, or was tried alone.
    Suspect,
    /// The run had outlived its start, or much of the rack was lost with the worker, or
    /// how far the run was is not known.
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
    const fn points(&self) -> u32 {
        match self.suspicion {
            Suspicion::Suspect if self.is_confirmed => SUSPECT_POINTS,
            Suspicion::Suspect | Suspicion::Bystander => BYSTANDER_POINTS,
            Suspicion::Cleared => 0,
        }
    }
}

impl JobState {
    /// Returns whether a task may be one that crashes its workers: one crashed right
    /// after its start, or several did under it.
    pub fn is_suspect(&self, task: TaskKey) -> bool {
        let points: u32 = self.crashes_of(task).map(CrashRecord::points).sum();
        let is_tied = |crash: &CrashRecord| crash.suspicion == Suspicion::Suspect;
        points >= SUSPECT_POINTS || self.crashes_of(task).any(is_tied)
    }

    /// Returns whether so many workers have crashed under a task that it is given up.
    pub fn is_condemned(&self, task: TaskKey) -> bool {
        let points: u32 = self.crashes_of(task).map(CrashRecord::points).sum();
        points >= POINTS_LIMIT || self.crashes_of(task).count() >= CRASHES_LIMIT_COUNT
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

    /// Takes a task off the record: a run of it has lived on long after its start.
    pub fn clear_crashes(&mut self, task: TaskKey) {
        self.crashes.retain(|crash| crash.task != task);
    }
}
