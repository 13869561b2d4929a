//! Workers that crash: which of their runs may have caused it, where suspects are tried,
//! and when a task is given up.
//!
//! The signals: a call for a worker's life that another one refuses at its address says
//! that the life is over; silence until every lease has lapsed may be a cut as well, so
//! its records stand only until the worker answers again. A worker that was draining
//! ends by plan: only a run that had just begun there is put on record, as cleared.

use crate::config::TrialRule;
use crate::decision::{Decision, DecisionKind};
use crate::event::Action;
use crate::evidence::{CrashRecord, Suspicion};
use crate::job::{JobId, TaskKey};
use crate::life::LifeStart;
use crate::lives::ListedRuns;
use crate::scheduler::Scheduler;
use crate::state::Phase;
use crate::worker::{LostRun, Run, RunPhase, Worker, WorkerKey};
use ospreywing_types::{Duration, Instant};

/// A run that its worker has outlived by this much did not crash it by starting. A
/// judgement: the crashes seen so far came 10 ms after the start.
const SETTLE_TIME: Duration = Duration::from_ms(500);
/// A run that lives this long clears its task of earlier crashes. A judgement: tasks
/// that last for months must not gather the crashes of all that time.
const CLEARED_AFTER: Duration = Duration::from_s(30);
/// The workers of a rack that must be lost together, and the percentage of those that had
/// runs, to be taken for the loss of the rack and not for some tasks' doing: with half of
/// them, ten bad tasks on 50 workers passed for one, and crashed 4.7 workers each.
const RACK_LOST_COUNT: usize = 3;
const RACK_LOST_PERCENT: usize = 75;
/// Workers of a rack that were lost within this time were lost together: what says that
/// a life is over comes within some seconds of the loss.
const RACK_LOST_PERIOD: Duration = Duration::from_s(5);

impl Worker {
    /// Returns whether the worker has answered long after it said that it has the run.
    fn has_outlived_start(&self, run: &Run) -> bool {
        run.begun_at
            .is_some_and(|begun_at| self.answered_at >= begun_at + SETTLE_TIME)
    }

    /// Returns whether a suspect's run there has not yet outlived its start.
    pub(crate) fn has_trial(&self) -> bool {
        let is_open = |run: &Run| run.is_on_trial && !self.has_outlived_start(run);
        self.trials_count > 0 && self.runs.values().any(is_open)
    }

    /// Returns whether a suspect of the job would hurt nobody else there.
    fn is_free_for_trial(&self, job: JobId) -> bool {
        let is_own = |task: &TaskKey| task.step.job == job;
        let mut reservations = self.reservations.iter();
        self.runs.keys().all(is_own) && reservations.all(|kept| kept.step.job == job)
    }

    /// Returns whether the worker was lost a short while ago, or seems to be lost now.
    fn is_lately_lost(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.since(at) < RACK_LOST_PERIOD;
        let is_silent = self.unanswered_holds_count > 0 && !self.runs.is_empty();
        self.gone_at.is_some_and(is_recent) || is_silent
    }
}

impl Scheduler {
    /// Puts the crash of a worker's life on record for each of its runs, and gives up
    /// the tasks that have crashed too many.
    pub(crate) fn record_crash(&mut self, now: Instant, key: WorkerKey, out: &mut Vec<Action>) {
        let mut lost = core::mem::take(&mut self.workers[key].lost_runs);
        lost.extend(self.runs_to_lose(key));
        self.name_suspects(now, key, &mut lost);
        for run in lost {
            self.record_lost_run(now, key, run, true, out);
        }
    }

    /// Puts the crash of an earlier life on record for runs that an earlier leader recorded
    /// for it, and gives these up.
    pub(crate) fn record_lost_lives(
        &mut self,
        now: Instant,
        key: WorkerKey,
        listed: &ListedRuns,
        out: &mut Vec<Action>,
    ) {
        let worker = &self.workers[key];
        let mut runs = worker.runs.values();
        // Each look comes by here, and only a term's first ones find any.
        if !runs.any(|run| run.phase == RunPhase::Inherited) {
            return;
        }
        let is_lost = |task: &TaskKey, run: &Run| {
            run.phase == RunPhase::Inherited
                && worker.is_other_life(run.recorded_life)
                && !listed.contains(&(*task, run.run))
        };
        let mut lost = self.runs_to_lose(key);
        lost.retain(|lost| is_lost(&lost.task, &worker.runs[&lost.task]));
        // Whether they had begun there is not known, so that the crash is laid on none.
        for run in &lost {
            self.record_lost_run(now, key, *run, true, out);
        }
        for run in lost {
            let reason = "another start answers";
            self.release(now, run.task, DecisionKind::RunLost, reason, out);
        }
    }

    /// Decides on which of a lost worker's runs its crash is laid.
    ///
    /// On those that were on trial, where there are any; on nobody in particular where
    /// much of the rack was lost with the worker. Of a run that an earlier leader recorded
    /// nothing tells how far it was; the crash is laid on it where it was alone.
    ///
    /// A worker that was draining takes its runs with it by plan; only one that had just
    /// begun there may have ended it sooner.
    fn name_suspects(&self, now: Instant, key: WorkerKey, lost: &mut Vec<LostRun>) {
        if self.workers[key].facts.is_draining {
            lost.retain(|run| run.is_open);
            lay_on_all(lost, Suspicion::Cleared);
            return;
        }
        let is_on_trial = |run: &LostRun| run.is_open && self.is_suspect(run.task);
        let has_trial = lost.iter().any(is_on_trial);
        if !has_trial && self.is_rack_lost(now, key) {
            lay_on_all(lost, Suspicion::Bystander);
        } else if lost.len() == 1 && lost[0].is_open {
            lay_on_all(lost, Suspicion::Suspect);
        } else if has_trial {
            for run in lost {
                run.suspicion = match is_on_trial(run) {
                    true => Suspicion::Suspect,
                    false => Suspicion::Cleared,
                };
            }
        }
    }

    /// Puts runs on record that are given up since their worker is silent. The records
    /// are taken back where it answers again.
    pub(crate) fn record_silence(&mut self, now: Instant, key: WorkerKey, out: &mut Vec<Action>) {
        let mut lost = self.runs_to_lose(key);
        self.name_suspects(now, key, &mut lost);
        for run in &lost {
            self.record_lost_run(now, key, *run, false, out);
        }
        self.workers[key].lost_runs = lost;
    }

    /// Takes back what was recorded of a worker that was silent and has answered, as the life
    /// with this start. What was given to another life is lost for certain.
    pub(crate) fn retract_silence(
        &mut self,
        now: Instant,
        key: WorkerKey,
        life_start: Option<LifeStart>,
        out: &mut Vec<Action>,
    ) {
        for lost in core::mem::take(&mut self.workers[key].lost_runs) {
            if lost.life_start.is_some() && life_start.is_some() && lost.life_start != life_start {
                self.record_lost_run(now, key, lost, true, out);
            } else if let Some(job) = self.jobs.get_mut(&lost.task.step.job) {
                job.state.retract_crash(lost.task, lost.run);
            }
        }
    }

    /// Returns the runs that are lost with a worker; of those whose start was never sent
    /// nothing can be said. Those that the worker had answered not to have can't have crashed
    /// it by then, and their starts were being stopped.
    fn runs_to_lose(&self, key: WorkerKey) -> Vec<LostRun> {
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
            life_start: worker.life_start.or(run.recorded_life),
            is_open: is_open(worker, run),
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
        job.probation_until = now + policy.trial_wait;
        let is_condemned = job.state.is_condemned(lost.task, &policy);
        let worker = &self.workers[key];
        let line = Decision::new(DecisionKind::WorkerCrashed, reason_of(&lost, is_confirmed))
            .with_run(lost.task, lost.run)
            .with_worker(&worker.facts.id)
            .with_figure(worker.runs.len().saturating_sub(1) as u64);
        out.push(Action::Log(line));
        self.touch(id, None);
        if is_condemned {
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
        let is_counted = |w: &&Worker| w.is_lately_lost(now) || !w.runs.is_empty();
        let counted: Vec<&Worker> = in_rack.filter(is_counted).collect();
        let lost_count = counted.iter().filter(|w| w.is_lately_lost(now)).count();
        lost_count >= RACK_LOST_COUNT && lost_count * 100 >= counted.len() * RACK_LOST_PERCENT
    }

    /// Clears a task whose run its worker has listed long after its start.
    pub(crate) fn clear_suspect(&mut self, now: Instant, task: TaskKey, begun_at: Instant) {
        if now.since(begun_at) < CLEARED_AFTER {
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

    /// Returns whether tasks of a job are kept for workers without other jobs' runs. Where
    /// no such worker comes free they go anywhere after a while.
    pub(crate) fn is_kept_for_trial(&self, now: Instant, id: JobId) -> bool {
        let policy = &self.config.crash_policy;
        let job = self.jobs.get(&id);
        let is_kept = job.is_some_and(|job| {
            let mut tasks = job.state.crashes.iter().map(|crash| crash.task);
            now < job.probation_until && tasks.any(|task| job.state.is_suspect(task, policy))
        });
        is_kept && policy.trial_rule == TrialRule::Alone
    }

    /// Returns whether a task of a job that is kept for trial may be started on a worker.
    pub(crate) fn is_trial_site(&self, task: TaskKey, key: WorkerKey) -> bool {
        !self.is_suspect(task) || self.workers[key].is_free_for_trial(task.step.job)
    }
}

fn lay_on_all(lost: &mut [LostRun], suspicion: Suspicion) {
    for run in lost {
        run.suspicion = suspicion;
    }
}

/// Returns whether a run may have begun and is not known to have outlived its start.
fn is_open(worker: &Worker, run: &Run) -> bool {
    let may_have_begun =
        run.begun_at.is_some() || run.was_cut_off || run.phase == RunPhase::Inherited;
    may_have_begun && !worker.has_outlived_start(run)
}

fn suspicion_of(worker: &Worker, run: &Run) -> Suspicion {
    if run.phase != RunPhase::Inherited && is_open(worker, run) {
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
