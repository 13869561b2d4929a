//! Resolves recorded starts: determines whether their attempts run or are over.
//!
//! Workers don't check who sends an order, and a paused former owner may resume
//! at any time and send a start that it recorded. A recorded start therefore
//! occupies capacity of its worker until one of these proofs resolves it:
//!
//! 1. The worker reports that the attempt runs or has ended.
//! 2. Another incarnation of the worker answers. A start is sent only over a
//!    connection to the recorded incarnation.
//! 3. Every daemon that could send the start has closed its epoch, and several
//!    reports of the worker, each requested after the one before was received
//!    and together spanning the settling time, don't list the attempt.
//! 4. The worker once confirmed the attempt, its lease has expired, and no other
//!    daemon can have renewed it since.
//! 5. The platform removed the worker from its box list longer ago than the
//!    quarantine, and every former epoch has been closed for as long.

use crate::action::Action;
use crate::entity::{Task, Worker};
use crate::owner::{Effect, Owner, Retained};
use crate::presence::{Absence, Presence};
use crate::record::Record;
use crate::state::Started;
use crate::worker::{Listing, Session};
use ospreywing_table::Repeat;
use ospreywing_types::worker::{Ended, Order, Report, Stop};
use ospreywing_types::{AttemptId, Instant, Name, TaskEnd, TaskPhase};

/// The number of successive reports that must not list an unconfirmed attempt
/// before it counts as absent.
const ABSENT_REPORTS_COUNT: u32 = 4;

impl Owner {
    /// Returns whether the worker's open connection is `session`.
    ///
    /// Events of an earlier connection may be handled after those of a later one.
    pub(crate) fn has_session(&self, name: &Name, session: u64) -> bool {
        let worker = self.workers.by_name(name);
        let open = worker.and_then(|worker| self.workers.get(worker).session.as_ref());
        open.is_some_and(|open| open.number == session)
    }

    pub(crate) fn on_session_opened(
        &mut self,
        now: Instant,
        name: &Name,
        session: u64,
        report: &Report,
    ) {
        if self.has_session(name, session) {
            return;
        }
        self.on_session_closed(now, name);
        let worker = self.workers.intern(name);
        self.workers.update(worker, |data| {
            data.session = Some(Session {
                number: session,
                incarnation: report.incarnation,
                asked_at: now,
                renewed_at: Instant::default(),
            });
        });
        self.read_report(now, now, worker, report);
    }

    pub(crate) fn on_session_closed(&mut self, now: Instant, name: &Name) {
        let worker = self.workers.intern(name);
        self.workers.update(worker, |data| {
            if data.session.take().is_some() {
                data.disconnected_since = now;
            }
        });
        for task in self.tasks_on(worker) {
            if matches!(self.presence[task], Presence::Unconfirmed { .. }) {
                self.presence[task] = Presence::UNCONFIRMED;
            }
        }
    }

    pub(crate) fn on_report(
        &mut self,
        now: Instant,
        asked_at: Instant,
        name: &Name,
        report: &Report,
        actions: &mut Vec<Action>,
    ) {
        let worker = self.workers.intern(name);
        let session = self.workers.get(worker).session.as_ref();
        if session.is_none_or(|session| session.incarnation != report.incarnation) {
            return;
        }
        self.read_report(now, asked_at, worker, report);
        self.stop_stray_attempts(worker, report, actions);
        for task in self.tasks_on(worker) {
            if self.state.tasks[task].image.is_cancelled {
                self.send_stop(task, actions);
            }
        }
    }

    fn tasks_on(&self, worker: Worker) -> Vec<Task> {
        self.workers.get(worker).tasks.iter().copied().collect()
    }

    fn read_report(&mut self, now: Instant, asked_at: Instant, worker: Worker, report: &Report) {
        for ended in &report.ended {
            self.on_ended(now, worker, ended);
        }
        for task in self.tasks_on(worker) {
            let Some(started) = self.state.tasks[task].started().cloned() else {
                continue;
            };
            let attempt = self.state.attempt(self.config.shard, task);
            if started.incarnation != report.incarnation {
                self.on_other_incarnation(now, task, &started);
            } else if attempt.is_some_and(|attempt| report.running.contains(&attempt)) {
                self.confirm(now, task);
            } else {
                self.on_absent(now, asked_at, task, &started);
            }
        }
    }

    /// Proof 2: the only incarnation of the worker that could receive the start is
    /// over.
    ///
    /// A start that is not sent yet is not sent any more: [`Self::send_start`]
    /// checks the incarnation.
    fn on_other_incarnation(&mut self, now: Instant, task: Task, started: &Started) {
        let is_own = started.epoch == self.config.epoch;
        match self.presence[task] {
            Presence::Recording => {}
            // The connection to the former incarnation breaks, and the daemon
            // then reports the start as unconfirmed.
            Presence::Sent if is_own => {}
            _ => self.handle_lost_attempt(now, task),
        }
    }

    fn on_absent(&mut self, now: Instant, asked_at: Instant, task: Task, started: &Started) {
        match self.presence[task] {
            Presence::None | Presence::Recording | Presence::Sent => {}
            Presence::Confirmed { since } => {
                if since < asked_at {
                    self.presence[task] = Presence::UNCONFIRMED;
                    self.record_absence(now, asked_at, task, started);
                }
            }
            Presence::Unconfirmed { .. } => self.record_absence(now, asked_at, task, started),
        }
    }

    /// Counts successive reports that don't list an unconfirmed attempt.
    ///
    /// A report counts only if it was requested after the previous one was
    /// received. A worker that was frozen may read a report request before an
    /// older start in another connection's buffer, but that does not repeat over
    /// several requests, each sent after the answer to the one before.
    fn record_absence(&mut self, now: Instant, asked_at: Instant, task: Task, started: &Started) {
        let Presence::Unconfirmed { absence } = self.presence[task] else {
            return;
        };
        if !self.is_epoch_closed(started.epoch) {
            return;
        }
        let absence = match absence {
            None => Absence::new(now),
            Some(absence) if asked_at > absence.last_at => Absence {
                since: absence.since,
                last_at: now,
                reports_count: absence.reports_count + 1,
            },
            Some(_) => return,
        };
        self.presence[task] = Presence::Unconfirmed {
            absence: Some(absence),
        };
        let is_settled = now >= absence.since + self.config.settling_time;
        if is_settled && absence.reports_count >= ABSENT_REPORTS_COUNT {
            self.on_absence_proven(now, task, started);
        }
    }

    /// Proof 3: no daemon will send the start, and the worker does not have it.
    fn on_absence_proven(&mut self, now: Instant, task: Task, started: &Started) {
        if started.is_confirmed {
            self.handle_lost_attempt(now, task);
        } else if self.state.tasks[task].image.is_cancelled {
            self.end_task(now, task, TaskPhase::Cancelled, None);
        } else {
            self.requeue(now, task, false);
        }
    }

    /// Returns whether no former owner can still send a start of `epoch`.
    fn is_epoch_closed(&self, epoch: u64) -> bool {
        epoch == self.config.epoch || !self.state.open_epochs.contains_key(&epoch)
    }

    fn confirm(&mut self, now: Instant, task: Task) {
        if !self.presence[task].is_confirmed() {
            self.presence[task] = Presence::Confirmed { since: now };
        }
        let data = &self.state.tasks[task];
        let Some(started) = data.started() else {
            return;
        };
        if !started.is_confirmed {
            let (id, number) = (data.image.id, started.number);
            self.append(Record::Confirm { id, number });
        }
    }

    /// Returns the task whose current attempt is `attempt`.
    fn task_of_attempt(&self, attempt: AttemptId) -> Option<Task> {
        if attempt.shard != self.config.shard {
            return None;
        }
        let task = self.state.by_id(attempt.task)?;
        let current = self.state.attempt(self.config.shard, task)?;
        (current == attempt).then_some(task)
    }

    pub(crate) fn on_start_acked(&mut self, now: Instant, attempt: AttemptId) {
        if let Some(task) = self.task_of_attempt(attempt) {
            self.confirm(now, task);
        }
    }

    pub(crate) fn on_start_not_sent(&mut self, now: Instant, attempt: AttemptId) {
        let Some(task) = self.task_of_attempt(attempt) else {
            return;
        };
        if self.presence[task] == Presence::Sent {
            self.requeue(now, task, false);
        }
    }

    pub(crate) fn on_start_unconfirmed(&mut self, attempt: AttemptId) {
        let Some(task) = self.task_of_attempt(attempt) else {
            return;
        };
        if self.presence[task] == Presence::Sent {
            self.presence[task] = Presence::UNCONFIRMED;
        }
    }

    pub(crate) fn on_ended(&mut self, now: Instant, worker: Worker, ended: &Ended) {
        let Some(task) = self.task_of_attempt(ended.attempt) else {
            if self.is_past_attempt(ended.attempt) {
                let effect = Effect::Forget(worker, ended.attempt);
                self.forget_when_committed(effect);
            }
            return;
        };
        let is_cancelled = self.state.tasks[task].image.is_cancelled;
        match &ended.end {
            TaskEnd::Finished(result) => {
                self.end_task(now, task, TaskPhase::Finished, Some(result.clone()));
            }
            TaskEnd::Failed(reason) => self.handle_failure(now, task, reason),
            _ if is_cancelled => self.end_task(now, task, TaskPhase::Cancelled, None),
            TaskEnd::LeaseLapsed | TaskEnd::Stopped | TaskEnd::WorkerLost => {
                self.handle_lost_attempt(now, task)
            }
        }
        let effect = Effect::Forget(worker, ended.attempt);
        self.pending_effects.push(effect);
    }

    /// Returns whether `attempt` is over according to the state.
    fn is_past_attempt(&self, attempt: AttemptId) -> bool {
        if attempt.shard != self.config.shard {
            return false;
        }
        match self.state.by_id(attempt.task) {
            Some(task) => {
                let data = &self.state.tasks[task];
                let is_past = attempt.number < data.image.attempts_count;
                is_past || (data.started().is_none() && attempt.number == data.image.attempts_count)
            }
            None => attempt.task.0 < self.state.next_id,
        }
    }

    /// Lets a worker forget an attempt once every pending record is committed.
    fn forget_when_committed(&mut self, effect: Effect) {
        let Effect::Forget(worker, attempt) = effect else {
            return;
        };
        if self.inflight.is_some() || !self.pending.is_empty() {
            self.pending_effects.push(Effect::Forget(worker, attempt));
            return;
        }
        self.workers.update(worker, |data| {
            if !data.forget.contains(&attempt) {
                data.forget.push(attempt);
            }
        });
    }

    fn handle_failure(&mut self, now: Instant, task: Task, reason: &str) {
        let image = &self.state.tasks[task].image;
        let workload = self.workloads.get(self.workload_of(task));
        let may_retry = workload.repeat == Repeat::Repeatable
            && image.failures_count < workload.retry_limit_count;
        if may_retry && !image.is_cancelled {
            self.requeue(now, task, true);
        } else {
            self.end_task(now, task, TaskPhase::Failed, Some(reason.to_owned()));
        }
    }

    /// Handles an attempt that may have run in part and no longer runs.
    pub(crate) fn handle_lost_attempt(&mut self, now: Instant, task: Task) {
        let workload = self.workloads.get(self.workload_of(task));
        if self.state.tasks[task].image.is_cancelled {
            self.end_task(now, task, TaskPhase::Cancelled, None);
        } else if workload.repeat == Repeat::AtMostOnce {
            let reason = "its worker was lost and the work is unsafe to repeat";
            self.end_task(now, task, TaskPhase::Unknown, Some(reason.to_owned()));
        } else {
            self.requeue(now, task, false);
        }
    }

    /// Puts a task whose attempt is over back into its queue.
    pub(crate) fn requeue(&mut self, now: Instant, task: Task, is_failure: bool) {
        let Some(started) = self.state.tasks[task].started() else {
            return;
        };
        let number = started.number;
        let id = self.state.tasks[task].image.id;
        let workload = self.workload_of(task);
        self.release(task);
        self.append(Record::Requeue {
            id,
            number,
            is_failure,
        });
        self.counts.requeued_count += 1;
        self.waiting_since[task] = now;
        self.workloads.enqueue(workload, id, task, now);
    }

    /// Ends a task; it won't run again.
    pub(crate) fn end_task(
        &mut self,
        now: Instant,
        task: Task,
        phase: TaskPhase,
        result: Option<String>,
    ) {
        let id = self.state.tasks[task].image.id;
        if self.state.tasks[task].is_waiting() {
            let workload = self.workload_of(task);
            self.workloads.dequeue(workload, id);
        }
        self.release(task);
        self.append(Record::End { id, phase, result });
        self.counts.ended_count += 1;
        self.ended.push_back(Retained {
            since: now,
            item: task,
        });
    }

    /// Applies proofs 4 and 5 to workers without an open connection.
    pub(crate) fn resolve_disconnected(&mut self, now: Instant) {
        let workers: Vec<Worker> = self.workers.keys().collect();
        for worker in workers {
            if self.workers.get(worker).session.is_some() {
                continue;
            }
            let is_delisted = self.is_delisted(now, worker);
            for task in self.tasks_on(worker) {
                self.resolve_disconnected_task(now, worker, task, is_delisted);
            }
        }
    }

    /// Proof 5: the box left the box list and no former owner can act, both for at
    /// least the quarantine.
    fn is_delisted(&self, now: Instant, worker: Worker) -> bool {
        let Listing::Dropped(since) = self.workers.get(worker).listing else {
            return false;
        };
        let quarantine = self.config.unlisted_quarantine;
        self.sole_owner_since
            .is_some_and(|sole| now >= sole.max(since) + quarantine)
    }

    fn resolve_disconnected_task(
        &mut self,
        now: Instant,
        worker: Worker,
        task: Task,
        is_delisted: bool,
    ) {
        if matches!(self.presence[task], Presence::Recording | Presence::Sent) {
            return;
        }
        let started = self.state.tasks[task].started();
        let was_confirmed = started.is_some_and(|started| started.is_confirmed);
        let is_expired = was_confirmed && now >= self.lease_expires_at(worker, task);
        if is_delisted || is_expired {
            self.handle_lost_attempt(now, task);
        }
    }

    /// Proof 4: returns when the lease of a confirmed attempt on a worker without
    /// a connection has certainly expired.
    ///
    /// The daemon may hold an order for long before it sends it, but not beyond
    /// the end of the connection. A former owner that has not closed its epoch
    /// may renew leases for the row's hold after its ownership was last
    /// confirmed, which was before this owner's claim.
    fn lease_expires_at(&self, worker: Worker, task: Task) -> Instant {
        let hold = self.workloads.get(self.workload_of(task)).hold;
        let others_until = self.sole_owner_since.unwrap_or(self.claimed_at + hold);
        let renewed_until = self
            .workers
            .get(worker)
            .disconnected_since
            .max(others_until);
        renewed_until + self.config.max_lease_time()
    }

    /// Stops reported attempts that are over according to the state.
    fn stop_stray_attempts(&mut self, worker: Worker, report: &Report, actions: &mut Vec<Action>) {
        for &attempt in &report.running {
            if self.task_of_attempt(attempt).is_none() && self.is_past_attempt(attempt) {
                self.counts.stray_attempts_count += 1;
                actions.push(Action::Order {
                    worker: self.workers.get(worker).name.clone(),
                    order: Order::Stop(Stop { attempt }),
                });
            }
        }
    }
}
