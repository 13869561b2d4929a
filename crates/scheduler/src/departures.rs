//! Departures: what becomes of runs on workers that are leaving.
//!
//! Whatever still runs on a worker when it goes is lost with it, and the loss is known only
//! once its leases are over. So a run that can't end in time is stopped before, and placed
//! elsewhere at once: late where it saves checkpoints, since the stop saves one; as soon as
//! the leaving is known where it saves none, since all that it still did would be lost. The
//! members of a gang are stopped together.

use crate::event::Action;
use crate::job::TaskKey;
use crate::scheduler::Scheduler;
use crate::worker::{Run, RunPhase, Worker};
use ospreywing_types::{Duration, Instant};
use std::collections::BTreeSet;

/// How long before a worker goes its runs are stopped, beside the time that a stop takes: the
/// order is on its way, and the end must be listed and asked for.
const STOP_MARGIN: Duration = Duration::from_ms(1000);
/// How long before a worker goes a run must end: its end must be listed and asked for.
const END_MARGIN: Duration = Duration::from_ms(300);

/// Why a run is stopped.
const REASON: &str = "worker leaving";

impl Worker {
    /// Notes when the worker goes at the earliest, as its entry tells now.
    pub(crate) fn note_departure(&mut self, now: Instant, drain_time: Duration) {
        if !self.facts.is_draining {
            self.leaves_at = None;
            return;
        }
        let told = self.told_departure();
        // Without a word on it, the time counts from when the leaving was told first.
        let known = self.leaves_at.unwrap_or(now + drain_time);
        self.leaves_at = Some(told.unwrap_or(known));
    }

    /// Returns when the worker goes at the earliest, where it tells and its clock is known.
    fn told_departure(&self) -> Option<Instant> {
        let clock = self.clock?;
        let remaining_ms = self.facts.leaves_clock_ms?.checked_sub(clock.clock_ms);
        Some(clock.read_at + Duration::from_ms(remaining_ms.unwrap_or(0)))
    }
}

impl Scheduler {
    /// Stops the runs that would be lost with workers that are leaving.
    pub(crate) fn stop_before_departures(&mut self, now: Instant, out: &mut Vec<Action>) {
        let leaving = self.workers.values().filter(|worker| !worker.is_gone);
        let leaving = leaving.filter_map(|worker| Some((worker, worker.leaves_at?)));
        let mut doomed: BTreeSet<TaskKey> = BTreeSet::new();
        for (worker, leaves_at) in leaving {
            let runs = worker.runs.iter();
            let lost = runs.filter(|(task, run)| self.must_stop(now, leaves_at, **task, run));
            doomed.extend(lost.map(|(task, _)| *task));
        }
        for task in doomed {
            if self.is_gang(task.step) {
                self.note_gang_stop(task);
                for member in self.members(task.step) {
                    self.stop_task(now, member, REASON, out);
                }
            } else {
                self.stop_task(now, task, REASON, out);
            }
        }
    }

    /// Returns whether a run on a worker that goes at `leaves_at` is to be stopped now.
    fn must_stop(&self, now: Instant, leaves_at: Instant, task: TaskKey, run: &Run) -> bool {
        if !matches!(run.phase, RunPhase::Running { .. }) {
            return false;
        }
        let job = self.jobs.get(&task.step.job);
        let spec = job.and_then(|job| job.record.spec.steps.get(task.step.step as usize));
        let Some(spec) = spec else {
            return false;
        };
        let ends_in_time =
            !spec.is_perpetual && self.earliest_end(task, spec, run) + END_MARGIN <= leaves_at;
        let is_last_moment = now + STOP_MARGIN + self.config.stop_grace >= leaves_at;
        let loses_all = !spec.saves_progress && !spec.is_perpetual;
        !ends_in_time && (loses_all || is_last_moment)
    }

    /// Notes that a gang's run is being stopped for a checkpoint.
    fn note_gang_stop(&mut self, task: TaskKey) {
        let worker = self.placements.get(&task);
        let run = worker.and_then(|worker| self.workers[*worker].runs.get(&task));
        let Some(run) = run.map(|run| run.run) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            job.gang_stops.insert(task.step, run);
        }
    }
}
