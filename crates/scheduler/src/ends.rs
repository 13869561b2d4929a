//! Ends of runs and their effects on tasks, jobs and workers.

use crate::commits::Effect;
use crate::decision::{AttemptsUsed, Decision, DecisionKind};
use crate::event::{Action, EndKind, EndedRun, Endpoint};
use crate::job::{StepKey, TaskKey};
use crate::scheduler::Scheduler;
use crate::state::{Phase, StepState, TaskStatus};
use crate::worker::{RunPhase, WorkerKey};
use ospreywing_types::Instant;

impl Scheduler {
    /// Handles an end that a worker lists.
    pub(crate) fn handle_end(
        &mut self,
        now: Instant,
        key: WorkerKey,
        end: EndedRun,
        out: &mut Vec<Action>,
    ) {
        let worker = &mut self.workers[key];
        if end.number <= worker.last_seen_end {
            return;
        }
        worker.last_seen_end = end.number;
        self.mark_begun(end.task.step.job);
        let worker = &mut self.workers[key];
        let line = Decision::new(DecisionKind::RunEnded, end.kind.as_str())
            .with_run(end.task, end.run)
            .with_worker(&worker.facts.id)
            .with_figure(end.number);
        out.push(Action::Log(line));
        let is_known = worker.runs.get(&end.task).map(|run| run.run) == Some(end.run);
        // A later run of the task may be placed on another worker.
        let is_current = is_known && self.placements.get(&end.task) == Some(&key);
        let finished = self.finished_run(now, key, &end);
        let has_lasted = self.has_lasted(now, key, end.task);
        if is_known {
            self.remove_run(key, end.task);
        }
        if is_current {
            self.placements.remove(&end.task);
        }
        self.record_health(now, key, &end, has_lasted, out);
        self.is_cycle_due = true;
        let changed = self.record_end(&end, is_current);
        if let Some(finished) = finished {
            self.record_finished_run(now, finished);
        }
        if changed {
            self.queue_commit(end.task.step.job, None);
        }
        self.ack_once_recorded(key, &end);
        if changed {
            self.after_end(now, &end, out);
        }
    }

    /// Acknowledges an end once the store has the current state of its job. This holds for
    /// an end that changes nothing too: a change that is not yet committed may have made it
    /// redundant, and a new leader would not know of that change.
    fn ack_once_recorded(&mut self, key: WorkerKey, end: &EndedRun) {
        let number = end.number;
        let id = end.task.step.job;
        if self.unreadable.contains(&id) {
            let first = &mut self.workers[key].first_unreadable_end;
            *first = Some(first.map_or(number, |known| known.min(number)));
            return;
        }
        let job = self.jobs.get_mut(&id);
        if let Some(job) = job.filter(|job| job.is_dirty || job.is_in_flight) {
            let effect = Effect::AckEnd {
                worker: key,
                number,
            };
            job.effects.push((job.version, effect));
            self.workers[key].uncommitted_ends.push(number);
        } else if self.workers[key].uncommitted_ends.is_empty() {
            let worker = &mut self.workers[key];
            worker.acked_end = worker.ackable_end();
        }
    }

    /// Updates the job's state; returns whether it has to be committed.
    fn record_end(&mut self, end: &EndedRun, is_current: bool) -> bool {
        let Some(job) = self.jobs.get_mut(&end.task.step.job) else {
            return false;
        };
        if job.state.phase != Phase::Active {
            return false;
        }
        let Some(spec) = job.record.spec.steps.get(end.task.step.step as usize) else {
            return false;
        };
        let (is_gang, is_perpetual) = (spec.is_gang, spec.is_perpetual);
        let round = job.state.round_mut(end.task.step.round);
        let Some(step) = round.and_then(|r| r.steps.get_mut(end.task.step.step as usize)) else {
            return false;
        };
        let index = end.task.index as usize;
        if index >= step.tasks.len() {
            return false;
        }
        let is_stopped_for_checkpoint = job.gang_stops.get(&end.task.step) == Some(&end.run);
        let is_checkpoint_older = is_stopped_for_checkpoint && end.kind != EndKind::Stopped;
        if end.checkpoint.is_some() && !is_checkpoint_older {
            let checkpoint_owner = if is_gang { 0 } else { index };
            step.tasks[checkpoint_owner]
                .checkpoint
                .clone_from(&end.checkpoint);
        }
        if end.kind == EndKind::Done && !is_perpetual {
            if is_gang {
                step.tasks
                    .iter_mut()
                    .for_each(|task| task.status = TaskStatus::Done);
                job.state.clear_gang_crashes(end.task.step);
            } else {
                step.tasks[index].status = TaskStatus::Done;
                job.state.clear_crashes(end.task);
            }
            return true;
        }
        if end.kind == EndKind::Failed && !is_perpetual {
            let failed_runs = if is_gang {
                &mut step.gang_failed_runs
            } else {
                &mut step.tasks[index].failed_runs
            };
            if !failed_runs.contains(&end.run) {
                failed_runs.push(end.run);
            }
        }
        let task = &mut step.tasks[index];
        if is_current && task.status != TaskStatus::Done {
            task.status = TaskStatus::Waiting;
        }
        is_current || end.kind == EndKind::Failed
    }

    fn after_end(&mut self, now: Instant, end: &EndedRun, out: &mut Vec<Action>) {
        let step = end.task.step;
        if end.kind == EndKind::Done {
            self.stop_later_runs(now, end, out);
            if self.is_step_done(step) {
                self.record_finished_step(now, step);
                self.update_remaining(step.job);
                self.remove_advice(step);
            }
            self.complete_if_done(now, step.job, out);
            return;
        }
        if end.kind == EndKind::Failed && self.was_last_attempt(end, out) {
            self.end_job(now, step.job, Phase::Failed, "attempts used up", out);
            return;
        }
        self.break_gang(now, step);
    }

    /// Stops the other runs of a task, or of a gang, that is done. The members of the run
    /// that ended stop by themselves.
    fn stop_later_runs(&mut self, now: Instant, end: &EndedRun, out: &mut Vec<Action>) {
        let tasks = if self.is_gang(end.task.step) {
            self.members(end.task.step)
        } else {
            vec![end.task]
        };
        for task in tasks {
            let worker = self.placements.get(&task);
            let run = worker.and_then(|worker| self.workers[*worker].runs.get(&task));
            if run.is_some_and(|run| run.run != end.run) {
                self.stop_task(now, task, "done elsewhere", out);
            }
        }
    }

    /// Logs a failed attempt; returns whether the task, or its gang, has no attempts left.
    fn was_last_attempt(&self, end: &EndedRun, out: &mut Vec<Action>) -> bool {
        let Some(attempts) = self.attempts_used(end.task) else {
            return false;
        };
        let is_last = attempts.failed_count >= attempts.limit_count as usize;
        let reason = if is_last { "last" } else { "may be repeated" };
        let line = Decision::new(DecisionKind::AttemptFailed, reason)
            .with_run(end.task, end.run)
            .with_attempts(attempts);
        out.push(Action::Log(line));
        is_last
    }

    /// Returns how many attempts of a task, or of its gang, have failed; `None` for perpetual
    /// tasks, which may fail without a limit.
    fn attempts_used(&self, task: TaskKey) -> Option<AttemptsUsed> {
        let job = self.jobs.get(&task.step.job)?;
        let spec = job.record.spec.steps.get(task.step.step as usize)?;
        if spec.is_perpetual {
            return None;
        }
        let round = job.state.round(task.step.round)?;
        let step = round.steps.get(task.step.step as usize)?;
        let task = step.tasks.get(task.index as usize);
        let failed_count = task.map_or(0, |task| task.failed_runs.len());
        Some(AttemptsUsed {
            failed_count: step.gang_failed_runs.len().max(failed_count),
            limit_count: job.queue(&self.configuration).attempts_limit_count,
            limit_source: job.queue_source(&self.configuration),
        })
    }

    fn is_step_done(&self, step: StepKey) -> bool {
        let job = self.jobs.get(&step.job);
        let round = job.and_then(|job| job.state.round(step.round));
        let state = round.and_then(|round| round.steps.get(step.step as usize));
        state.is_none_or(StepState::is_done)
    }

    pub(crate) fn is_gang(&self, step: StepKey) -> bool {
        let spec = self.step_spec(step);
        spec.is_some_and(|spec| spec.is_gang)
    }

    /// Removes a run that was never sent or can no longer be alive, and sets its task back to
    /// waiting.
    pub(crate) fn unplace(&mut self, task: TaskKey) {
        let Some(key) = self.placements.remove(&task) else {
            return;
        };
        self.remove_run(key, task);
        if let Some(state) = self.task_state_mut(task) {
            if state.status != TaskStatus::Done {
                state.status = TaskStatus::Waiting;
            }
        }
        self.queue_commit(task.step.job, None);
        self.is_cycle_due = true;
    }

    /// Logs and removes a run that can no longer be alive, and marks its gang as broken.
    pub(crate) fn release_run(
        &mut self,
        now: Instant,
        task: TaskKey,
        kind: DecisionKind,
        reason: &'static str,
        out: &mut Vec<Action>,
    ) {
        let Some(&key) = self.placements.get(&task) else {
            return;
        };
        let worker = &self.workers[key];
        let run = worker.runs.get(&task).map_or(0, |run| run.run);
        let line = Decision::new(kind, reason)
            .with_run(task, run)
            .with_worker(&worker.facts.id);
        out.push(Action::Log(line));
        self.unplace(task);
        self.break_gang(now, task.step);
    }

    /// Removes all runs of a worker whose incarnation is over or whose leases have expired.
    pub(crate) fn release_all_runs(
        &mut self,
        now: Instant,
        key: WorkerKey,
        reason: &'static str,
        out: &mut Vec<Action>,
    ) {
        let tasks: Vec<TaskKey> = self.workers[key].runs.keys().copied().collect();
        for task in tasks {
            if self.placements.get(&task) == Some(&key) {
                self.release_run(now, task, DecisionKind::RunLost, reason, out);
            } else {
                self.remove_run(key, task);
            }
        }
    }

    /// Handles an answer from another incarnation at the worker's address: the expected one
    /// is over.
    pub(crate) fn on_incarnation_over(
        &mut self,
        now: Instant,
        key: WorkerKey,
        out: &mut Vec<Action>,
    ) {
        if self.workers[key].is_gone {
            return;
        }
        let reason = "another life answers";
        let line = Decision::new(DecisionKind::WorkerGone, reason);
        let figure = self.workers[key].runs.len() as u64;
        let line = line.with_worker(&self.workers[key].facts.id);
        out.push(Action::Log(line.with_figure(figure)));
        self.mark_gone(now, key, out);
        self.release_all_runs(now, key, reason, out);
    }

    /// Marks an incarnation as over and records its crash for the runs that were there.
    pub(crate) fn mark_gone(&mut self, now: Instant, key: WorkerKey, out: &mut Vec<Action>) {
        self.workers[key].is_gone = true;
        self.record_crash(now, key, out);
        self.workers[key].gone_at = Some(now);
    }

    /// Repeats the stops that are unanswered.
    pub(crate) fn repeat_stops(&mut self, now: Instant, out: &mut Vec<Action>) {
        let retry = self.config.stop_retry;
        for (key, worker) in self.workers.iter_mut() {
            if worker.is_gone || worker.facts.address.is_empty() {
                continue;
            }
            let (id, address) = (&worker.facts.id, &worker.facts.address);
            for (task, run) in &mut worker.runs {
                let RunPhase::Stopping {
                    sent_at,
                    accepted_at: None,
                } = run.phase
                else {
                    continue;
                };
                if now.since(sent_at) < retry {
                    continue;
                }
                run.phase = RunPhase::Stopping {
                    sent_at: now,
                    accepted_at: None,
                };
                out.push(Action::Stop {
                    to: Endpoint {
                        worker: key,
                        id: id.clone(),
                        incarnation: worker.incarnation,
                        address: address.clone(),
                    },
                    task: *task,
                    run: run.run,
                });
            }
        }
    }
}
