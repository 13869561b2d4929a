//! Starts and stops, and what their answers mean.

use crate::decision::{Decision, DecisionKind};
use crate::event::{Action, RefusedStart, StartOrder, StartReply, StopReply};
use crate::job::TaskKey;
use crate::scheduler::Scheduler;
use crate::worker::{RunPhase, WorkerKey};
use ospreywing_types::Instant;

/// How often a start is sent that is not answered. A worker that has the run
/// answers a repeat as it answers the first; a lost answer is rare enough that
/// three in a row tell of the worker.
const START_SENDS_LIMIT_COUNT: u32 = 3;

impl Scheduler {
    /// Sends a start whose record is in the store.
    pub(crate) fn send_start(
        &mut self,
        now: Instant,
        key: WorkerKey,
        task: TaskKey,
        number: u32,
        out: &mut Vec<Action>,
    ) {
        let checkpoint = self.checkpoint_of(task);
        let needs_ticket = self.needs_ticket(task.step);
        let fresh = self.advice.get(&task.step);
        let fresh = fresh.and_then(|advice| advice.ticket(now, key));
        let is_within_limit = self.is_within_limit(task.step.job);
        let is_closed = self.is_closed(&self.workers[key]);
        let worker = &mut self.workers[key];
        let has_room = worker.has_room_to_send(task);
        let Some(run) = worker.runs.get_mut(&task) else {
            return;
        };
        if run.run != number || run.phase != RunPhase::Recording {
            return;
        }
        if needs_ticket && fresh.is_none() {
            self.release(now, task, DecisionKind::NotStarted, "ticket over", out);
            return;
        }
        if !has_room {
            // It has shrunk since the start was placed.
            self.release(now, task, DecisionKind::NotStarted, "room shrank", out);
            return;
        }
        if is_closed {
            // It was open when the start was placed.
            self.release(now, task, DecisionKind::NotStarted, "worker closed", out);
            return;
        }
        if !is_within_limit {
            // It was lowered since the start was placed.
            self.release(now, task, DecisionKind::NotStarted, "limit lowered", out);
            return;
        }
        run.ticket = fresh;
        run.checkpoint = checkpoint;
        run.phase = RunPhase::Starting;
        let waited_ms = now.since(run.placed_at).as_ms();
        let line = Decision::new(DecisionKind::StartSent, "recorded")
            .with_run(task, number)
            .with_worker(&worker.facts.id)
            .with_figure(waited_ms);
        if self.send_order(now, key, task, out) {
            self.retries.starts.note_first();
            out.push(Action::Log(line));
        } else {
            self.release(now, task, DecisionKind::NotStarted, "worker lost", out);
        }
    }

    /// Sends a run's start with a lease; returns whether the worker could be
    /// granted one.
    fn send_order(
        &mut self,
        now: Instant,
        key: WorkerKey,
        task: TaskKey,
        out: &mut Vec<Action>,
    ) -> bool {
        let length = self.grant_length();
        let Some(job) = self.jobs.get(&task.step.job) else {
            return false;
        };
        let payload = job.payload.clone();
        let worker = &mut self.workers[key];
        let is_able = !worker.is_gone && worker.is_reachable && worker.is_synced;
        if !is_able {
            return false;
        }
        let Some(until_ms) = worker.grant(now, length) else {
            return false;
        };
        let to = worker.endpoint(key);
        let Some(run) = worker.runs.get_mut(&task) else {
            return false;
        };
        run.sends_count += 1;
        run.sent_at = now;
        out.push(Action::Start {
            to,
            order: StartOrder {
                task,
                run: run.run,
                payload,
                until_ms,
                checkpoint: run.checkpoint.clone(),
                ticket: run.ticket.clone(),
            },
        });
        true
    }

    /// Sends a start again that was not answered; returns whether it did.
    fn repeat_start(
        &mut self,
        now: Instant,
        key: WorkerKey,
        task: TaskKey,
        out: &mut Vec<Action>,
    ) -> bool {
        let worker = &self.workers[key];
        let Some(run) = worker.runs.get(&task) else {
            return false;
        };
        // The first one may not have arrived, and its room may be gone, its customer's limit
        // be lower, or its data centre be cordoned.
        let is_closed = self.is_closed(worker);
        if is_closed || worker.is_overfull() || !self.is_within_limit(task.step.job) {
            return false;
        }
        let is_open = run.phase == RunPhase::Starting && run.sends_count < START_SENDS_LIMIT_COUNT;
        is_open && self.retries.starts.spend() && self.send_order(now, key, task, out)
    }

    /// Returns the checkpoint from which a task goes on.
    fn checkpoint_of(&self, task: TaskKey) -> Option<String> {
        let job = self.jobs.get(&task.step.job)?;
        let spec = job.record.spec.steps.get(task.step.step as usize)?;
        let step = job.state.round(task.step.round)?;
        let step = step.steps.get(task.step.step as usize)?;
        // Any member's checkpoint is good for its gang, if all bring the same.
        let keeper = if spec.is_gang { 0 } else { task.index };
        step.tasks.get(keeper as usize)?.checkpoint.clone()
    }

    pub(crate) fn on_start_answered(
        &mut self,
        now: Instant,
        key: WorkerKey,
        task: TaskKey,
        number: u32,
        reply: StartReply,
        out: &mut Vec<Action>,
    ) {
        if reply == StartReply::OtherLife {
            self.mark_gone(now, key, out);
            return;
        }
        // The run may have gone over to a life that has answered meanwhile.
        let key = self.life_with(key, task);
        let worker = &mut self.workers[key];
        let Some(run) = worker.runs.get_mut(&task) else {
            return;
        };
        if run.run != number {
            return;
        }
        run.answers_count += u32::from(reply != StartReply::Unanswered);
        let is_refused = reply == StartReply::Refused(RefusedStart::NotSent);
        run.was_cut_off |= is_refused && run.sends_count > 1;
        let reply = told_by_repeat(reply, run.sends_count);
        let id = worker.facts.id.clone();
        let line = |kind, reason| {
            let line = Decision::new(kind, reason);
            Action::Log(line.with_run(task, number).with_worker(&id))
        };
        match reply {
            StartReply::Started => {
                run.mark_begun(now);
                worker.answered_at = now;
                if run.phase == RunPhase::Starting {
                    run.phase = RunPhase::Running { since: now };
                }
                out.push(line(DecisionKind::Started, "answered"));
                self.mark_begun(task.step.job);
            }
            StartReply::Unanswered => {
                if self.repeat_start(now, key, task, out) {
                    out.push(line(DecisionKind::StartUnknown, "no answer, sent again"));
                    return;
                }
                out.push(line(DecisionKind::StartUnknown, "no answer"));
                self.note_failure(now, key, "starts unanswered", out);
                self.stop_task(now, task, "start unknown", out);
            }
            StartReply::Refused(why) => {
                if why == RefusedStart::Fence {
                    out.push(Action::StepDown);
                    return;
                }
                self.on_refused(now, key, task, why, out);
            }
            StartReply::OtherLife => {}
        }
    }

    fn on_refused(
        &mut self,
        now: Instant,
        key: WorkerKey,
        task: TaskKey,
        why: RefusedStart,
        out: &mut Vec<Action>,
    ) {
        match why {
            RefusedStart::Ticket => {
                if let Some(advice) = self.advice.get_mut(&task.step) {
                    advice.expire(key);
                }
            }
            RefusedStart::Unhealthy | RefusedStart::NotSent | RefusedStart::Room => {
                self.note_failure(now, key, "starts refused", out);
            }
            _ => {}
        }
        self.release(now, task, DecisionKind::NotStarted, why.as_str(), out);
    }

    pub(crate) fn on_stop_answered(
        &mut self,
        now: Instant,
        key: WorkerKey,
        task: TaskKey,
        number: u32,
        reply: StopReply,
        out: &mut Vec<Action>,
    ) {
        match reply {
            StopReply::OtherLife => self.mark_gone(now, key, out),
            StopReply::Fenced => out.push(Action::StepDown),
            StopReply::Unanswered => {}
            StopReply::Stopping => {
                let worker = &mut self.workers[key];
                worker.answered_at = now;
                worker.open_starts.note_refused(task, number);
                let Some(run) = worker.runs.get_mut(&task) else {
                    return;
                };
                if let RunPhase::Stopping { sent_at, .. } = run.phase {
                    if run.run == number {
                        run.phase = RunPhase::Stopping {
                            sent_at,
                            taken_at: Some(now),
                        };
                    }
                }
            }
        }
    }
}

/// Returns what the answer to a start tells where the start may have been sent
/// before: an earlier one may have been carried out, or may still be.
fn told_by_repeat(reply: StartReply, sends_count: u32) -> StartReply {
    match reply {
        StartReply::Refused(_) if sends_count < 2 => reply,
        // The run is or was there, or has been stopped: the worker's lists tell.
        StartReply::Refused(RefusedStart::Old) => StartReply::Started,
        StartReply::Refused(RefusedStart::Fence) => reply,
        StartReply::Refused(_) => StartReply::Unanswered,
        _ => reply,
    }
}
