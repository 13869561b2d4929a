//! Messages in flight, and their handling on arrival.

use super::{Message, Simulation, StartPath, LEASE_LIMIT_MS, RELAY_HOLD_LIMIT_MS};
use crate::support::worker::{FakeRun, FakeWorker, HeldStart};
use ospreywing_scheduler::{
    Change, ChangeKind, EndKind, Endpoint, Event, HoldReply, RefusedStart, StartOrder, StartReply,
    StopReply, StoredJob, TaskKey,
};
use rand::Rng;

/// The timeout of a call to a worker.
const CALL_TIMEOUT_MS: u64 = 700;
/// The reply to a start that was not written, since another incarnation is at the address.
const REPLY_TO_UNWRITTEN_START: StartReply = StartReply::Refused(RefusedStart::NotSent);
/// How soon a task that crashes its workers does so.
const CRASH_AFTER_MS: core::ops::Range<u64> = 0..20;

impl Simulation {
    pub(super) fn send_start(&mut self, term: u64, to: Endpoint, order: StartOrder) {
        assert_eq!(
            order.ticket.is_some(),
            self.has_advice,
            "a start has a ticket if and only if its queue needs advice"
        );
        let path = self.draw_start_path();
        let arrives_late = matches!(path, StartPath::Late | StartPath::InFlight);
        let after_ms = self.delay(arrives_late) + self.relay_hold_ms();
        if arrives_late {
            self.post_unanswered_start(term, &to, &order);
        }
        self.post(
            after_ms,
            Message::Start {
                term,
                to,
                order,
                path,
            },
        );
    }

    fn draw_start_path(&mut self) -> StartPath {
        let faults = self.faults;
        if self.draw_fault(faults.late_order) {
            StartPath::Late
        } else if faults.start_in_flight > 0 && self.draw_fault(faults.start_in_flight) {
            StartPath::InFlight
        } else if faults.start_held_by_worker > 0 && self.draw_fault(faults.start_held_by_worker) {
            StartPath::HeldByWorker
        } else {
            StartPath::Prompt
        }
    }

    fn post_unanswered_start(&mut self, term: u64, to: &Endpoint, order: &StartOrder) {
        let event = Event::StartAnswered {
            worker: to.worker,
            task: order.task,
            run: order.run,
            reply: StartReply::Unanswered,
        };
        self.post(CALL_TIMEOUT_MS, Message::HandleEvent { term, event });
    }

    pub(super) fn send_stop(&mut self, term: u64, to: Endpoint, task: TaskKey, run: u32) {
        let is_late = self.draw_fault(self.faults.late_order);
        let after_ms = self.delay(is_late);
        let is_answered = !is_late;
        self.post(
            after_ms,
            Message::Stop {
                term,
                to,
                task,
                run,
                is_answered,
            },
        );
    }

    /// Returns how long a relay delays a start.
    fn relay_hold_ms(&mut self) -> u64 {
        if self.faults.held_order > 0 && self.draw_fault(self.faults.held_order) {
            self.rng.random_range(0..RELAY_HOLD_LIMIT_MS)
        } else {
            0
        }
    }

    /// Returns a random time for which an order is in flight, in milliseconds.
    pub(super) fn delay(&mut self, is_late: bool) -> u64 {
        if is_late {
            self.rng.random_range(2_000..12_000)
        } else {
            self.rng.random_range(0..5)
        }
    }

    fn worker_index(&self, to: &Endpoint) -> usize {
        let found = self.workers.iter().position(|worker| worker.id == to.id);
        found.expect("a worker of this simulation")
    }

    pub(super) fn deliver(&mut self, message: Message) {
        match message {
            Message::HandleEvent { term, event } => self.send_to_leader(term, event),
            Message::Partition {
                worker,
                duration_ms,
            } => self.partition(worker, duration_ms),
            Message::Heal { worker } => self.workers[worker].is_partitioned = false,
            Message::ReplaceWorker { worker } => self.replace_worker(worker),
            Message::Crash { worker, task } => self.crash_by_task(worker, task),
            Message::StartReplacement { worker } => self.start_replacement(worker),
            Message::StartNextIncarnation { worker } => self.start_next_incarnation(worker),
            Message::WriteEntry { worker } => self.write_entry(worker),
            Message::Resize { worker, per_mille } => self.resize(worker, per_mille),
            Message::ResumeLeader { term } => self.resume_leader(term),
            Message::ListWorkers => self.list_workers(),
            Message::EndStoreDegradation => self.end_store_degradation(),
            Message::EndHistoryLoss => self.end_history_loss(),
            Message::Commit {
                term,
                lane,
                changes,
            } => self.deliver_commit(term, lane, changes),
            Message::Poll {
                term,
                to,
                until_ms,
                last_seen,
                sent_at,
            } => {
                let reply = self.deliver_poll(term, &to, until_ms, last_seen);
                let after_ms = if reply == HoldReply::Unanswered {
                    CALL_TIMEOUT_MS
                } else {
                    2
                };
                let event = Event::HoldAnswered {
                    worker: to.worker,
                    sent_at,
                    reply,
                };
                self.post(after_ms, Message::HandleEvent { term, event });
            }
            Message::Start {
                term,
                to,
                order,
                path,
            } => self.deliver_start(term, &to, order, path),
            Message::ExecuteHeldStart { worker, number } => {
                self.execute_held_start(worker, number);
            }
            Message::Stop {
                term,
                to,
                task,
                run,
                is_answered,
            } => self.deliver_stop(term, &to, task, run, is_answered),
        }
    }

    /// A commit of a leader that has been replaced has no effect.
    fn deliver_commit(&mut self, term: u64, lane: u32, changes: Vec<Change>) {
        if self.leaders.last().map(|leader| leader.fence) != Some(term) {
            if let Some(leader) = self.leaders.iter_mut().find(|l| l.fence == term) {
                leader.acts_until_ms = 0;
            }
            return;
        }
        for change in changes {
            match change.kind {
                ChangeKind::Progress(state) => {
                    self.states.insert(change.job, state);
                }
                ChangeKind::Outcome(bytes) => {
                    let ended = StoredJob::from_bytes(&bytes).expect("an outcome");
                    let StoredJob::Ended(outcome) = ended else {
                        panic!("a job's record was stored in place of its outcome");
                    };
                    self.states.remove(&change.job);
                    self.ended.insert(change.job, outcome);
                }
                ChangeKind::Forget => {
                    self.states.remove(&change.job);
                }
            }
        }
        self.send_to_leader(term, Event::Committed { lane });
    }

    fn is_lost(&self, index: usize) -> bool {
        let worker = &self.workers[index];
        !worker.is_alive || worker.is_partitioned
    }

    /// Returns whether another incarnation answers at the address of a worker that is gone.
    fn is_other_incarnation(&self, index: usize) -> bool {
        let lost = &self.workers[index];
        let is_next = |other: &FakeWorker| {
            other.is_alive && !other.is_partitioned && other.address == lost.address
        };
        !lost.is_alive && self.workers.iter().any(is_next)
    }

    fn deliver_poll(
        &mut self,
        term: u64,
        to: &Endpoint,
        until_ms: Option<u64>,
        last_seen: u64,
    ) -> HoldReply {
        let index = self.worker_index(to);
        if self.is_other_incarnation(index) {
            return HoldReply::OtherIncarnation;
        }
        if self.is_lost(index) {
            return HoldReply::Unanswered;
        }
        let now_ms = self.now_ms;
        self.workers[index].advance(now_ms);
        self.record_done();
        let worker = &mut self.workers[index];
        // Only the incarnation that the poll names gets the acknowledgement.
        let is_meant = to.incarnation.is_none() || to.incarnation == worker.incarnation;
        let last_seen = if is_meant {
            worker.accepted_ack(last_seen)
        } else {
            0
        };
        if term >= worker.fence {
            self.rules.record_acks(worker, now_ms, last_seen);
        }
        let reply = worker.answer_poll(now_ms, term, until_ms, last_seen, LEASE_LIMIT_MS);
        if self.draw_fault(self.faults.lost_answer) {
            return HoldReply::Unanswered;
        }
        reply
    }

    fn deliver_start(&mut self, term: u64, to: &Endpoint, order: StartOrder, path: StartPath) {
        let index = self.worker_index(to);
        let (task, run) = (order.task, order.run);
        self.trace_arrival(index, to, &order, path);
        let mut reply = self.receive_start(term, to, order, path);
        if self.draw_fault(self.faults.lost_answer) {
            reply = StartReply::Unanswered;
        }
        if matches!(path, StartPath::Late | StartPath::InFlight) {
            return;
        }
        let after_ms = if reply == StartReply::Unanswered {
            CALL_TIMEOUT_MS
        } else {
            1
        };
        let event = Event::StartAnswered {
            worker: to.worker,
            task,
            run,
            reply,
        };
        self.post(after_ms, Message::HandleEvent { term, event });
    }

    fn trace_arrival(&self, index: usize, to: &Endpoint, order: &StartOrder, path: StartPath) {
        if matches!(path, StartPath::InFlight | StartPath::HeldByWorker) {
            let reached = (!self.is_lost(index)).then(|| &self.workers[index]);
            self.trace
                .print_arrival(self.now_ms, to, order, path, reached);
        }
    }

    /// Has the worker at the address carry out or hold a start; returns its answer.
    fn receive_start(
        &mut self,
        term: u64,
        to: &Endpoint,
        order: StartOrder,
        path: StartPath,
    ) -> StartReply {
        let index = self.worker_index(to);
        let mut reply = StartReply::Unanswered;
        if self.is_other_incarnation(index) {
            reply = StartReply::OtherIncarnation;
        } else if !self.is_lost(index) {
            if !self.is_written(to, index, path) {
                reply = REPLY_TO_UNWRITTEN_START;
            } else if path == StartPath::HeldByWorker {
                self.hold_start(index, HeldStart { term, order });
                return StartReply::Unanswered;
            } else {
                reply = self.start_at(term, index, &order, path != StartPath::Prompt);
            }
        }
        let worker = &self.workers[index];
        let is_late = path != StartPath::Prompt;
        self.trace
            .print_start(self.now_ms, worker, &order, is_late, reply);
        reply
    }

    /// Returns whether a start is written to the worker at its address. A start for a known
    /// incarnation is written only over a connection on which that incarnation has answered.
    ///
    /// This is the contract of `WorkerClient::start` (`platform/src/worker_client.rs`), tested in
    /// `platform/tests/platform/worker_client.rs`. [`StartPath::Late`] does not tell when a start
    /// was written, so it is exempt.
    fn is_written(&self, to: &Endpoint, index: usize, path: StartPath) -> bool {
        let is_meant =
            to.incarnation.is_none() || to.incarnation == self.workers[index].incarnation;
        is_meant || !self.binds_starts || path == StartPath::Late
    }

    /// Has a worker's process keep a start that it carries out later.
    fn hold_start(&mut self, index: usize, start: HeldStart) {
        // Unique over all processes, so that none finds another's start.
        let number = self.next_message;
        self.workers[index].held_starts.insert(number, start);
        let after_ms = self.delay(true);
        let worker = index;
        self.post(after_ms, Message::ExecuteHeldStart { worker, number });
    }

    /// Carries out a start that a process has held. It is gone if the process has ended.
    fn execute_held_start(&mut self, index: usize, number: u64) {
        let worker = &mut self.workers[index];
        let Some(start) = worker.held_starts.remove(&number) else {
            return;
        };
        if !worker.is_alive {
            return;
        }
        let reply = self.start_at(start.term, index, &start.order, true);
        let worker = &self.workers[index];
        self.trace
            .print_start(self.now_ms, worker, &start.order, true, reply);
    }

    fn start_at(
        &mut self,
        term: u64,
        index: usize,
        order: &StartOrder,
        is_late: bool,
    ) -> StartReply {
        let now_ms = self.now_ms;
        for worker in &mut self.workers {
            worker.advance(now_ms);
        }
        self.record_done();
        let ticket = &order.ticket;
        if ticket.is_some() && *ticket != Some(self.workers[index].ticket()) {
            return StartReply::Refused(RefusedStart::Ticket);
        }
        let reply = self.workers[index].admit_start(now_ms, term, order);
        if reply != StartReply::Started {
            return reply;
        }
        self.rules
            .check_start(now_ms, &self.workers, index, order, &self.jobs);
        self.limit_rule.check_start(
            now_ms,
            &self.workers,
            index,
            order,
            &self.jobs,
            &self.rules.done,
        );
        if !is_late {
            self.cordon_rule
                .check_start(now_ms, &self.workers[index], order);
            self.rules
                .check_capacity(now_ms, &self.workers[index], order, &self.jobs);
        }
        let started = self.started_ms.entry(order.task.step.job);
        started.or_insert(now_ms);
        let fails = self.draw_fault(self.faults.failing_run);
        let own = self.job_run_durations_ms.get(&order.task.step.job);
        let durations_ms = own.unwrap_or(&self.run_durations_ms).clone();
        let spec = &self.jobs[&order.task.step.job].spec.steps[order.task.step.step as usize];
        let typical_ms = match &self.run_durations_percent {
            Some(percent) => spec.estimate_ms * self.rng.random_range(percent.clone()) / 100,
            None => self.rng.random_range(durations_ms),
        };
        let duration_ms = typical_ms * 1000 / self.workers[index].speed_per_mille;
        let run = FakeRun {
            run: order.run,
            ends_at_ms: now_ms + duration_ms,
            kind: if fails {
                EndKind::Failed
            } else {
                EndKind::Done
            },
            demand: spec.demand,
            saves_checkpoints: spec.saves_progress,
        };
        self.workers[index].begin_run(now_ms, order, run, LEASE_LIMIT_MS);
        let task = order.task;
        if task.index == 0 && self.crashing_jobs.contains(&task.step.job) {
            let after_ms = self.rng.random_range(CRASH_AFTER_MS);
            let worker = index;
            self.post(after_ms, Message::Crash { worker, task });
        }
        StartReply::Started
    }

    fn deliver_stop(
        &mut self,
        term: u64,
        to: &Endpoint,
        task: TaskKey,
        run: u32,
        is_answered: bool,
    ) {
        let index = self.worker_index(to);
        let mut reply = StopReply::Unanswered;
        if self.is_other_incarnation(index) {
            reply = StopReply::OtherIncarnation;
        } else if !self.is_lost(index) {
            let now_ms = self.now_ms;
            self.workers[index].advance(now_ms);
            reply = self.workers[index].stop(now_ms, term, task, run);
        }
        let worker = &self.workers[index];
        self.trace.print_stop(self.now_ms, worker, task, run, reply);
        if !is_answered
            || reply == StopReply::Unanswered
            || self.draw_fault(self.faults.lost_answer)
        {
            return;
        }
        let event = Event::StopAnswered {
            worker: to.worker,
            task,
            run,
            reply,
        };
        self.post(1, Message::HandleEvent { term, event });
    }

    pub(super) fn record_done(&mut self) {
        for worker in &self.workers {
            let done = worker.ended.iter().filter(|end| end.kind == EndKind::Done);
            self.rules.done.extend(done.map(|end| end.task));
            let failed = worker
                .ended
                .iter()
                .filter(|end| end.kind == EndKind::Failed);
            for end in failed {
                let runs = self.rules.failed.entry(end.task).or_default();
                runs.insert(end.run);
            }
        }
    }
}
