//! Start and stop orders and the handling of their answers.

use crate::decision::{Decision, DecisionKind};
use crate::event::{Action, RefusedStart, StartOrder, StartReply, StopReply};
use crate::job::TaskKey;
use crate::scheduler::Scheduler;
use crate::worker::{RunPhase, WorkerKey};
use ospreywing_types::Instant;

/// How often an unanswered start is sent. A worker that has the run answers a repeat like
/// the first order, and answers are lost so rarely that three in a row point to a fault of
/// the worker.
const START_SENDS_LIMIT_COUNT: u32 = 3;

impl Scheduler {
    /// Sends a start that is recorded in the store.
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
        let ticket = self.advice.get(&task.step);
        let ticket = ticket.and_then(|advice| advice.ticket(now, key));
        let is_within_limit = self.is_within_limit(task.step.job);
        let is_closed_to_starts = self.is_closed_to_starts(&self.workers[key]);
        let worker = &mut self.workers[key];
        let has_capacity = worker.has_capacity_to_send(task);
        let Some(run) = worker.runs.get_mut(&task) else {
            return;
        };
        if run.run != number || run.phase != RunPhase::Recording {
            return;
        }
        if needs_ticket && ticket.is_none() {
            self.release_run(now, task, DecisionKind::NotStarted, "ticket over", out);
            return;
        }
        if !has_capacity {
            // The worker's capacity has shrunk since the placement.
            self.release_run(now, task, DecisionKind::NotStarted, "room shrank", out);
            return;
        }
        if is_closed_to_starts {
            // The worker has been closed to starts since the placement.
            self.release_run(now, task, DecisionKind::NotStarted, "worker closed", out);
            return;
        }
        if !is_within_limit {
            // The limit has been lowered since the placement.
            self.release_run(now, task, DecisionKind::NotStarted, "limit lowered", out);
            return;
        }
        run.ticket = ticket;
        run.checkpoint = checkpoint;
        run.phase = RunPhase::Starting;
        let waited_ms = now.since(run.placed_at).as_ms();
        let line = Decision::new(DecisionKind::StartSent, "recorded")
            .with_run(task, number)
            .with_worker(&worker.facts.id)
            .with_figure(waited_ms);
        if self.send_order(now, key, task, out) {
            self.retries.starts.record_first_call();
            out.push(Action::Log(line));
        } else {
            self.release_run(now, task, DecisionKind::NotStarted, "worker lost", out);
        }
    }

    /// Sends a start order with a lease; returns whether the worker could be granted one.
    fn send_order(
        &mut self,
        now: Instant,
        key: WorkerKey,
        task: TaskKey,
        out: &mut Vec<Action>,
    ) -> bool {
        let lease_duration = self.lease_duration();
        let Some(job) = self.jobs.get(&task.step.job) else {
            return false;
        };
        let payload = job.payload.clone();
        let worker = &mut self.workers[key];
        let can_receive = !worker.is_gone && worker.is_reachable && worker.is_synced;
        if !can_receive {
            return false;
        }
        let Some(until_ms) = worker.grant_lease(now, lease_duration) else {
            return false;
        };
        let to = worker.endpoint(key);
        let Some(run) = worker.runs.get_mut(&task) else {
            return false;
        };
        run.start_sends_count += 1;
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

    /// Repeats an unanswered start; returns whether it was sent.
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
        // The first order may not have arrived. Meanwhile the worker's capacity may have
        // shrunk, the customer's limit may have been lowered, or the data centre may have
        // been cordoned.
        let is_closed_to_starts = self.is_closed_to_starts(worker);
        if is_closed_to_starts || worker.is_overcommitted() || !self.is_within_limit(task.step.job)
        {
            return false;
        }
        let may_repeat =
            run.phase == RunPhase::Starting && run.start_sends_count < START_SENDS_LIMIT_COUNT;
        may_repeat && self.retries.starts.spend() && self.send_order(now, key, task, out)
    }

    /// Returns the checkpoint from which a task resumes.
    fn checkpoint_of(&self, task: TaskKey) -> Option<String> {
        let job = self.jobs.get(&task.step.job)?;
        let spec = job.record.spec.steps.get(task.step.step as usize)?;
        let step = job.state.round(task.step.round)?;
        let step = step.steps.get(task.step.step as usize)?;
        // A checkpoint of any member serves the whole gang, provided that all members start
        // from the same one.
        let checkpoint_owner = if spec.is_gang { 0 } else { task.index };
        step.tasks
            .get(checkpoint_owner as usize)?
            .checkpoint
            .clone()
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
        if reply == StartReply::OtherIncarnation {
            self.on_incarnation_over(now, key, out);
            return;
        }
        let is_not_sent = reply == StartReply::Refused(RefusedStart::NotSent);
        if is_not_sent {
            // Nothing listens at the address, or another incarnation does.
            self.doubt_incarnation(now, key);
        }
        // The run may have moved to an incarnation that has answered meanwhile.
        let key = self.incarnation_with(key, task);
        let worker = &mut self.workers[key];
        let Some(run) = worker.runs.get_mut(&task) else {
            return;
        };
        if run.run != number {
            return;
        }
        run.start_answers_count += u32::from(reply != StartReply::Unanswered);
        run.was_cut_off |= is_not_sent && run.start_sends_count > 1;
        let reply = interpret_repeat(reply, run.start_sends_count);
        let id = worker.facts.id.clone();
        let line = |kind, reason| {
            let line = Decision::new(kind, reason);
            Action::Log(line.with_run(task, number).with_worker(&id))
        };
        match reply {
            StartReply::Started => {
                run.mark_begun(now);
                worker.last_answer_at = now;
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
                self.record_failure(now, key, "starts unanswered", out);
                self.stop_task(now, task, "start unknown", out);
            }
            StartReply::Refused(reason) => {
                if reason == RefusedStart::Fence {
                    out.push(Action::StepDown);
                    return;
                }
                self.on_refused(now, key, task, reason, out);
            }
            StartReply::OtherIncarnation => {}
        }
    }

    fn on_refused(
        &mut self,
        now: Instant,
        key: WorkerKey,
        task: TaskKey,
        reason: RefusedStart,
        out: &mut Vec<Action>,
    ) {
        match reason {
            RefusedStart::Ticket => {
                if let Some(advice) = self.advice.get_mut(&task.step) {
                    advice.expire_ticket(key);
                }
            }
            RefusedStart::Unhealthy | RefusedStart::NotSent | RefusedStart::Room => {
                self.record_failure(now, key, "starts refused", out);
            }
            _ => {}
        }
        self.release_run(now, task, DecisionKind::NotStarted, reason.as_str(), out);
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
            StopReply::OtherIncarnation => self.on_incarnation_over(now, key, out),
            StopReply::Fenced => out.push(Action::StepDown),
            StopReply::Unanswered => {}
            StopReply::Stopping => {
                let worker = &mut self.workers[key];
                worker.last_answer_at = now;
                worker.open_starts.confirm_stop(task, number);
                let Some(run) = worker.runs.get_mut(&task) else {
                    return;
                };
                if let RunPhase::Stopping { sent_at, .. } = run.phase {
                    if run.run == number {
                        run.phase = RunPhase::Stopping {
                            sent_at,
                            accepted_at: Some(now),
                        };
                    }
                }
            }
        }
    }
}

/// Returns the meaning of an answer to a start that may have been sent before: an earlier
/// order may have been carried out, or may still be.
fn interpret_repeat(reply: StartReply, start_sends_count: u32) -> StartReply {
    match reply {
        StartReply::Refused(_) if start_sends_count < 2 => reply,
        // The worker has or had the run, or has stopped it; its next list of runs shows
        // which.
        StartReply::Refused(RefusedStart::Old) => StartReply::Started,
        StartReply::Refused(RefusedStart::Fence) => reply,
        StartReply::Refused(_) => StartReply::Unanswered,
        _ => reply,
    }
}
