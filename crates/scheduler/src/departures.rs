//! Departures: stops runs on draining workers in time.
//!
//! A run that is still on a worker when it departs is lost, and the loss is certain only
//! once the worker's leases have expired. A run that can't end in time is therefore stopped
//! before and placed elsewhere at once. If it saves checkpoints it is stopped as late as
//! possible, since the stop saves one. If it saves none it is stopped as soon as the
//! departure is known, since all further work would be lost. The members of a gang are
//! stopped together.

use crate::event::Action;
use crate::job::TaskKey;
use crate::scheduler::Scheduler;
use crate::worker::{Run, RunPhase, Worker};
use ospreywing_types::{Duration, Instant};
use std::collections::BTreeSet;

/// How long before a departure runs are stopped, in addition to the time that a stop takes:
/// the order must arrive, and a poll must report the end.
const STOP_MARGIN: Duration = Duration::from_ms(1000);
/// How long before a departure a run must end, so that a poll can report its end.
const END_MARGIN: Duration = Duration::from_ms(300);

/// The reason that is logged for these stops.
const REASON: &str = "worker leaving";

impl Worker {
    /// Updates the worker's earliest departure from its entry.
    pub(crate) fn update_departure(&mut self, now: Instant, drain_time: Duration) {
        if !self.facts.is_draining {
            self.departs_at = None;
            return;
        }
        let reported = self.reported_departure();
        // If no departure is reported, the time counts from when the worker was first
        // listed as draining.
        let known = self.departs_at.unwrap_or(now + drain_time);
        self.departs_at = Some(reported.unwrap_or(known));
    }

    /// Returns the earliest departure, if it is reported and the worker's clock is known.
    fn reported_departure(&self) -> Option<Instant> {
        let clock = self.clock?;
        let remaining_ms = self.facts.departs_at_clock_ms?.checked_sub(clock.clock_ms);
        Some(clock.read_at + Duration::from_ms(remaining_ms.unwrap_or(0)))
    }
}

impl Scheduler {
    /// Stops the runs that would be lost with departing workers.
    pub(crate) fn stop_before_departures(&mut self, now: Instant, out: &mut Vec<Action>) {
        let departing = self.workers.values().filter(|worker| !worker.is_gone);
        let departing = departing.filter_map(|worker| Some((worker, worker.departs_at?)));
        let mut to_stop: BTreeSet<TaskKey> = BTreeSet::new();
        for (worker, departs_at) in departing {
            let runs = worker.runs.iter();
            let lost = runs.filter(|(task, run)| self.is_stop_due(now, departs_at, **task, run));
            to_stop.extend(lost.map(|(task, _)| *task));
        }
        for task in to_stop {
            if self.is_gang(task.step) {
                self.record_gang_stop(task);
                for member in self.members(task.step) {
                    self.stop_task(now, member, REASON, out);
                }
            } else {
                self.stop_task(now, task, REASON, out);
            }
        }
    }

    /// Returns whether a run on a worker that departs at `departs_at` has to be stopped
    /// now.
    fn is_stop_due(&self, now: Instant, departs_at: Instant, task: TaskKey, run: &Run) -> bool {
        if !matches!(run.phase, RunPhase::Running { .. }) {
            return false;
        }
        let job = self.jobs.get(&task.step.job);
        let spec = job.and_then(|job| job.record.spec.steps.get(task.step.step as usize));
        let Some(spec) = spec else {
            return false;
        };
        let ends_in_time =
            !spec.is_perpetual && self.earliest_end(task, spec, run) + END_MARGIN <= departs_at;
        let is_last_moment = now + STOP_MARGIN + self.config.stop_grace >= departs_at;
        let loses_all = !spec.saves_progress && !spec.is_perpetual;
        !ends_in_time && (loses_all || is_last_moment)
    }

    /// Records that a gang's run is being stopped to save a checkpoint.
    fn record_gang_stop(&mut self, task: TaskKey) {
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
