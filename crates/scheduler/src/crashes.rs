//! Worker crashes: which runs may have caused one, where suspected tasks run on probation,
//! and when their job is failed.
//!
//! A crash is confirmed when another incarnation answers at the worker's address. A worker
//! that is unresponsive until its leases expire may only be partitioned, so its records are
//! retracted if it answers again. A draining worker departs as planned: only a run that had
//! just begun there is recorded, as cleared.

use crate::config::ProbationRule;
use crate::crash_records::{CrashRecord, Suspicion};
use crate::decision::{Decision, DecisionKind};
use crate::event::Action;
use crate::incarnation::Incarnation;
use crate::incarnations::ListedRuns;
use crate::job::{JobId, TaskKey};
use crate::scheduler::Scheduler;
use crate::state::Phase;
use crate::worker::{LostRun, Run, RunPhase, Worker, WorkerKey};
use ospreywing_types::{Duration, Instant};

/// A run did not crash its worker by starting if the worker answers this long after the run
/// began. The crashes observed came 10 ms after the start.
const START_WINDOW: Duration = Duration::from_ms(500);
/// A run that lasts this long clears its task of earlier crashes, so that tasks which run
/// for months don't accumulate the crashes of all that time.
const CLEARING_TIME: Duration = Duration::from_s(30);
/// The loss of a rack is assumed, and no task suspected, if at least this many of its
/// workers are lost together and they are at least this percentage of those that had runs.
/// At 50 percent, ten crashing tasks on 50 workers were taken for a rack loss and crashed
/// 4.7 workers each.
const RACK_LOST_COUNT: usize = 3;
const RACK_LOST_PERCENT: usize = 75;
/// Workers of a rack that are lost within this period count as lost together: the
/// confirmation that an incarnation is over takes a few seconds.
const RACK_LOST_PERIOD: Duration = Duration::from_s(5);

impl Worker {
    /// Returns whether the worker has answered a full start window after it reported the
    /// run.
    fn has_passed_start_window(&self, run: &Run) -> bool {
        run.begun_at
            .is_some_and(|begun_at| self.last_answer_at >= begun_at + START_WINDOW)
    }

    /// Returns whether a run on probation is still in its start window on the worker.
    pub(crate) fn has_probation_run(&self) -> bool {
        let may_be_in_start_window =
            |run: &Run| run.is_on_probation && !self.has_passed_start_window(run);
        self.probation_runs_count > 0 && self.runs.values().any(may_be_in_start_window)
    }

    /// Returns whether a crash of the worker would affect no job but the given one.
    fn is_isolated_for(&self, job: JobId) -> bool {
        let is_own = |task: &TaskKey| task.step.job == job;
        let mut reservations = self.reservations.iter();
        self.runs.keys().all(is_own) && reservations.all(|reserved| reserved.step.job == job)
    }

    /// Returns whether the worker was lost recently or appears to be lost now.
    fn is_recently_lost(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.since(at) < RACK_LOST_PERIOD;
        let is_unresponsive = self.unanswered_polls_count > 0 && !self.runs.is_empty();
        self.gone_at.is_some_and(is_recent) || is_unresponsive
    }
}

impl Scheduler {
    /// Records the crash of an incarnation for each of its runs, and fails the jobs
    /// of tasks that have reached a crash limit.
    pub(crate) fn record_crash(&mut self, now: Instant, key: WorkerKey, out: &mut Vec<Action>) {
        let mut lost = core::mem::take(&mut self.workers[key].lost_runs);
        lost.extend(self.runs_lost_with(key));
        self.attribute_crash(now, key, &mut lost);
        for run in lost {
            self.record_lost_run(now, key, run, true, out);
        }
    }

    /// Records the crash of an earlier incarnation for the runs that an earlier leader
    /// recorded for it, and releases them.
    pub(crate) fn record_lost_incarnations(
        &mut self,
        now: Instant,
        key: WorkerKey,
        listed: &ListedRuns,
        out: &mut Vec<Action>,
    ) {
        let worker = &self.workers[key];
        let mut runs = worker.runs.values();
        // This is called for each poll, and only the first ones of a term find such runs.
        if !runs.any(|run| run.phase == RunPhase::Recovered) {
            return;
        }
        let is_lost = |task: &TaskKey, run: &Run| {
            run.phase == RunPhase::Recovered
                && worker.is_other_incarnation(run.recorded_incarnation)
                && !listed.contains(&(*task, run.run))
        };
        let mut lost = self.runs_lost_with(key);
        lost.retain(|lost| is_lost(&lost.task, &worker.runs[&lost.task]));
        // It is unknown whether these runs had begun, so the crash is attributed to none of
        // them.
        for run in &lost {
            self.record_lost_run(now, key, *run, true, out);
        }
        for run in lost {
            let reason = "another start answers";
            self.release_run(now, run.task, DecisionKind::RunLost, reason, out);
        }
    }

    /// Decides which of a lost worker's runs its crash is attributed to.
    ///
    /// If suspected tasks had runs in their start window, only these runs are suspected and
    /// the others are cleared. Otherwise no run is suspected if much of the rack was lost
    /// with the worker. The progress of a run that an earlier leader recorded is unknown;
    /// such a run is suspected only if it was alone on the worker.
    ///
    /// A draining worker ends its runs as planned; only a run that had just begun may have
    /// ended it early.
    fn attribute_crash(&self, now: Instant, key: WorkerKey, lost: &mut Vec<LostRun>) {
        if self.workers[key].facts.is_draining {
            lost.retain(|run| run.may_be_in_start_window);
            set_suspicion_of_all(lost, Suspicion::Cleared);
            return;
        }
        let is_on_probation =
            |run: &LostRun| run.may_be_in_start_window && self.is_suspect(run.task);
        let has_probation_run = lost.iter().any(is_on_probation);
        if !has_probation_run && self.is_rack_lost(now, key) {
            set_suspicion_of_all(lost, Suspicion::Bystander);
        } else if lost.len() == 1 && lost[0].may_be_in_start_window {
            set_suspicion_of_all(lost, Suspicion::Suspect);
        } else if has_probation_run {
            for run in lost {
                run.suspicion = match is_on_probation(run) {
                    true => Suspicion::Suspect,
                    false => Suspicion::Cleared,
                };
            }
        }
    }

    /// Records the runs that are released because their worker is unresponsive. The records
    /// are retracted if it answers again.
    pub(crate) fn record_unresponsive(
        &mut self,
        now: Instant,
        key: WorkerKey,
        out: &mut Vec<Action>,
    ) {
        let mut lost = self.runs_lost_with(key);
        self.attribute_crash(now, key, &mut lost);
        for run in &lost {
            self.record_lost_run(now, key, *run, false, out);
        }
        self.workers[key].lost_runs = lost;
    }

    /// Retracts the records of an unresponsive worker that has answered. Runs assigned to
    /// an incarnation other than the one that answered are confirmed as lost.
    pub(crate) fn retract_unresponsive(
        &mut self,
        now: Instant,
        key: WorkerKey,
        incarnation: Option<Incarnation>,
        out: &mut Vec<Action>,
    ) {
        for lost in core::mem::take(&mut self.workers[key].lost_runs) {
            if lost.incarnation.is_some()
                && incarnation.is_some()
                && lost.incarnation != incarnation
            {
                self.record_lost_run(now, key, lost, true, out);
            } else if let Some(job) = self.jobs.get_mut(&lost.task.step.job) {
                job.state.retract_crash(lost.task, lost.run);
            }
        }
    }

    /// Returns the runs that are lost with a worker. It leaves out those whose start was
    /// never sent, and those that the worker did not list while their starts were being
    /// stopped: these can't have crashed it by then.
    fn runs_lost_with(&self, key: WorkerKey) -> Vec<LostRun> {
        let worker = &self.workers[key];
        let placed = worker.runs.iter().filter(|(task, run)| {
            run.phase != RunPhase::Recording
                && !run.was_absent
                && self.placements.get(task) == Some(&key)
        });
        let lost = placed.map(|(task, run)| LostRun {
            task: *task,
            run: run.run,
            suspicion: suspicion_of(worker, run),
            incarnation: worker.incarnation.or(run.recorded_incarnation),
            may_be_in_start_window: may_be_in_start_window(worker, run),
        });
        lost.collect()
    }

    fn record_lost_run(
        &mut self,
        now: Instant,
        key: WorkerKey,
        lost: LostRun,
        is_confirmed: bool,
        out: &mut Vec<Action>,
    ) {
        let id = lost.task.step.job;
        let policy = self.config.crash_policy;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.state.phase != Phase::Active {
            return;
        }
        job.state.record_crash(CrashRecord {
            task: lost.task,
            run: lost.run,
            suspicion: lost.suspicion,
            is_confirmed,
        });
        job.probation_until = now + policy.probation_wait;
        let exceeds_crash_limits = job.state.exceeds_crash_limits(lost.task, &policy);
        let worker = &self.workers[key];
        let line = Decision::new(DecisionKind::WorkerCrashed, reason_of(&lost, is_confirmed))
            .with_run(lost.task, lost.run)
            .with_worker(&worker.facts.id)
            .with_figure(worker.runs.len().saturating_sub(1) as u64);
        out.push(Action::Log(line));
        self.queue_commit(id, None);
        if exceeds_crash_limits {
            self.end_job(now, id, Phase::Failed, "workers crashed under a task", out);
        }
    }

    /// Returns whether much of a worker's rack was lost with it.
    fn is_rack_lost(&self, now: Instant, key: WorkerKey) -> bool {
        let rack = &self.workers[key].facts.rack;
        if rack.is_none() {
            return false;
        }
        let in_rack = self.workers.values().filter(|w| w.facts.rack == *rack);
        let is_counted = |w: &&Worker| w.is_recently_lost(now) || !w.runs.is_empty();
        let counted: Vec<&Worker> = in_rack.filter(is_counted).collect();
        let lost_count = counted.iter().filter(|w| w.is_recently_lost(now)).count();
        lost_count >= RACK_LOST_COUNT && lost_count * 100 >= counted.len() * RACK_LOST_PERCENT
    }

    /// Clears a task of crashes if its worker lists the run long after its start.
    pub(crate) fn clear_suspect(&mut self, now: Instant, task: TaskKey, begun_at: Instant) {
        if now.since(begun_at) < CLEARING_TIME {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            job.state.clear_crashes(task);
        }
    }

    /// Returns whether a task may have crashed a worker by starting there.
    pub(crate) fn is_suspect(&self, task: TaskKey) -> bool {
        let job = self.jobs.get(&task.step.job);
        job.is_some_and(|job| job.state.is_suspect(task, &self.config.crash_policy))
    }

    /// Returns whether suspected tasks of a job wait for a worker without other jobs' runs.
    /// After the policy's `probation_wait` they may run anywhere.
    pub(crate) fn is_awaiting_probation(&self, now: Instant, id: JobId) -> bool {
        let policy = &self.config.crash_policy;
        let job = self.jobs.get(&id);
        let is_awaiting = job.is_some_and(|job| {
            let mut tasks = job.state.crashes.iter().map(|crash| crash.task);
            now < job.probation_until && tasks.any(|task| job.state.is_suspect(task, policy))
        });
        is_awaiting && policy.probation_rule == ProbationRule::Alone
    }

    /// Returns whether a task of a job that awaits probation may be started on a worker.
    pub(crate) fn is_probation_worker(&self, task: TaskKey, key: WorkerKey) -> bool {
        !self.is_suspect(task) || self.workers[key].is_isolated_for(task.step.job)
    }
}

fn set_suspicion_of_all(lost: &mut [LostRun], suspicion: Suspicion) {
    for run in lost {
        run.suspicion = suspicion;
    }
}

/// Returns whether a run may have begun and is not known to have passed its start window.
fn may_be_in_start_window(worker: &Worker, run: &Run) -> bool {
    let may_have_begun =
        run.begun_at.is_some() || run.was_cut_off || run.phase == RunPhase::Recovered;
    may_have_begun && !worker.has_passed_start_window(run)
}

fn suspicion_of(worker: &Worker, run: &Run) -> Suspicion {
    if run.phase != RunPhase::Recovered && may_be_in_start_window(worker, run) {
        Suspicion::Suspect
    } else {
        Suspicion::Bystander
    }
}

const fn reason_of(lost: &LostRun, is_confirmed: bool) -> &'static str {
    match (lost.suspicion, is_confirmed) {
        (Suspicion::Suspect, true) => "right after its start",
        (Suspicion::Suspect, false) => "silent right after its start",
        (Suspicion::Bystander, true) => "among others",
        (Suspicion::Bystander, false) => "silent",
        (Suspicion::Cleared, true) => "cleared",
        (Suspicion::Cleared, false) => "cleared, silent",
    }
}
