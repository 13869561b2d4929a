//! The owner of a shard: its state and its handling of events.

use crate::action::{Action, Reply, Token};
use crate::closing::Closing;
use crate::config::OwnerConfig;
use crate::entity::{Task, Worker, Workload};
use crate::event::Event;
use crate::intake::Intake;
use crate::log::Log;
use crate::presence::Presence;
use crate::record::Record;
use crate::state::{State, TaskState};
use crate::worker::WorkerTable;
use crate::workload::WorkloadTable;
use cranelift_entity::{EntitySet, SecondaryMap};
use ospreywing_types::peer::TaskStatus;
use ospreywing_types::worker::{Order, Renew};
use ospreywing_types::{AttemptId, Instant, Key, Name, TaskPhase};
use std::collections::VecDeque;

/// Counters since the start of the ownership, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Tasks accepted.
    pub submitted_count: u64,
    /// Starts recorded, whether or not they were sent.
    pub started_count: u64,
    /// Tasks ended, whatever the phase.
    pub ended_count: u64,
    /// Attempts whose task was requeued.
    pub requeued_count: u64,
    /// Commits built.
    pub commits_count: u64,
    /// Bytes of these commits.
    pub commit_bytes: u64,
    /// Requests rejected.
    pub refused_count: u64,
    /// Reported attempts that were over according to the state.
    pub stray_attempts_count: u64,
}

/// What is done once the store has applied a commit.
#[derive(Clone, Debug)]
pub(crate) enum Effect {
    /// Reply to a caller.
    Reply(Token, Reply),
    /// Send the start of an attempt, given by its number.
    Start(Task, u32),
    /// Stop a task's current attempt.
    Stop(Task),
    /// Let a worker forget an attempt.
    Forget(Worker, AttemptId),
}

/// The effects of a commit whose outcome is not known yet.
#[derive(Clone, Debug)]
pub(crate) struct Inflight {
    pub(crate) since: Instant,
    pub(crate) effects: Vec<Effect>,
}

/// An entity that is removed from the state after its retention period.
#[derive(Clone, Debug)]
pub(crate) struct Retained<T> {
    pub(crate) since: Instant,
    pub(crate) item: T,
}

/// A daemon's ownership of one shard.
#[derive(Clone, Debug)]
pub struct Owner {
    pub(crate) config: OwnerConfig,
    pub(crate) state: State,
    pub(crate) log: Log,
    pub(crate) workers: WorkerTable,
    pub(crate) workloads: WorkloadTable,
    pub(crate) presence: SecondaryMap<Task, Presence>,
    pub(crate) waiting_since: SecondaryMap<Task, Instant>,
    pub(crate) intake: Intake,
    /// The records of the next commit, already applied to the state.
    pub(crate) pending: Vec<Record>,
    /// The effects of the next commit.
    pub(crate) pending_effects: Vec<Effect>,
    pub(crate) inflight: Option<Inflight>,
    /// Whether tasks may be placed: the daemon's table is known to be current.
    pub(crate) is_deciding: bool,
    pub(crate) is_handing_over: bool,
    /// When the latest read that confirmed the ownership was sent.
    pub(crate) confirmed_at: Instant,
    /// When the shard was claimed; no former owner's ownership was confirmed later.
    pub(crate) claimed_at: Instant,
    /// Since when no former owner can send orders; `None` while one may.
    pub(crate) sole_owner_since: Option<Instant>,
    /// Ended tasks, by the end of their retention.
    pub(crate) ended: VecDeque<Retained<Task>>,
    /// Granted request keys, by the end of their retention.
    pub(crate) keys: VecDeque<Retained<Key>>,
    /// Workloads whose first task could not be placed in the current commit.
    pub(crate) skipped: EntitySet<Workload>,
    /// Whether an event since tasks were last placed may allow further placements.
    pub(crate) may_place: bool,
    pub(crate) counts: Counts,
}

impl Owner {
    /// Creates the owner from the result of a recovery.
    pub(crate) fn new(config: OwnerConfig, state: State, log: Log, now: Instant) -> Self {
        let mut owner = Self {
            config,
            state,
            log,
            workers: WorkerTable::default(),
            workloads: WorkloadTable::default(),
            presence: SecondaryMap::new(),
            waiting_since: SecondaryMap::new(),
            intake: Intake::default(),
            pending: Vec::new(),
            pending_effects: Vec::new(),
            inflight: None,
            is_deciding: true,
            is_handing_over: false,
            confirmed_at: now,
            claimed_at: now,
            sole_owner_since: None,
            ended: VecDeque::new(),
            keys: VecDeque::new(),
            skipped: EntitySet::new(),
            may_place: true,
            counts: Counts::default(),
        };
        owner.index_tasks(now);
        owner.update_sole_ownership(now);
        owner.append(Record::Open {
            epoch: owner.config.epoch,
            owner: owner.config.identity.clone(),
        });
        owner
    }

    /// Derives the in-memory data of recovered tasks and request keys.
    fn index_tasks(&mut self, now: Instant) {
        let tasks: Vec<Task> = self.state.live_tasks().map(|(task, _)| task).collect();
        for task in tasks {
            let image = self.state.tasks[task].image.clone();
            let workload = self.workloads.intern(&image.row);
            match &image.state {
                TaskState::Waiting => {
                    self.waiting_since[task] = now;
                    self.workloads.enqueue(workload, image.id, task, now);
                }
                TaskState::Started(started) => {
                    let worker = self.workers.intern(&started.worker);
                    self.occupy(task, worker);
                    self.presence[task] = Presence::UNCONFIRMED;
                }
                TaskState::Ended { .. } => self.ended.push_back(Retained {
                    since: now,
                    item: task,
                }),
            }
        }
        for key in self.state.taken_keys.keys() {
            self.keys.push_back(Retained {
                since: now,
                item: key.clone(),
            });
        }
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        self.may_place |= !matches!(event, Event::Tick | Event::OwnershipConfirmed { .. });
        match event {
            Event::Boxes(boxes) => self.workers.set_boxes(&boxes, now),
            Event::Table(table) => {
                let config = &self.config;
                self.workloads
                    .set_table(&table, config.shard, config.shards_count);
            }
            Event::Submit {
                token,
                key,
                row,
                spec,
            } => self.on_submit(now, token, key, row, spec, actions),
            Event::Cancel { token, key } => self.on_cancel(now, token, &key, actions),
            Event::TakeKey { token, key, nonce } => {
                self.on_take_key(now, token, key, nonce, actions);
            }
            Event::CommitDone => self.on_commit_done(now, actions),
            Event::OwnershipConfirmed { asked_at } => {
                self.confirmed_at = self.confirmed_at.max(asked_at);
            }
            Event::SessionOpened {
                worker,
                session,
                report,
            } => self.on_session_opened(now, &worker, session, &report),
            Event::Reported {
                worker,
                session,
                asked_at,
                report,
            } => {
                if self.has_session(&worker, session) {
                    self.on_report(now, asked_at, &worker, &report, actions);
                }
            }
            Event::SessionClosed { worker, session } => {
                if self.has_session(&worker, session) {
                    self.on_session_closed(now, &worker);
                }
            }
            Event::StartAcked { attempt } => self.on_start_acked(now, attempt),
            Event::StartNotSent { attempt } => self.on_start_not_sent(now, attempt),
            Event::StartUnconfirmed { attempt } => self.on_start_unconfirmed(attempt),
            Event::Ended { worker, ended } => {
                let worker = self.workers.intern(&worker);
                self.on_ended(now, worker, &ended);
            }
            Event::EpochClosed { epoch } => self.on_epoch_closed(now, epoch),
            Event::Deciding(is_deciding) => self.is_deciding = is_deciding,
            Event::Tick => self.on_tick(now, actions),
        }
    }

    fn on_epoch_closed(&mut self, now: Instant, epoch: u64) {
        if epoch != self.config.epoch && self.state.open_epochs.contains_key(&epoch) {
            self.append(Record::Close { epoch });
            self.update_sole_ownership(now);
        }
    }

    /// Sets `sole_owner_since` once every former epoch is closed.
    fn update_sole_ownership(&mut self, now: Instant) {
        let own = self.config.epoch;
        let is_sole = self.state.open_epochs.keys().all(|&epoch| epoch == own);
        if is_sole && self.sole_owner_since.is_none() {
            self.sole_owner_since = Some(now);
        }
    }

    fn on_tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.reject_overdue(now, actions);
        self.resolve_disconnected(now);
        self.drop_expired(now);
        let workers: Vec<Worker> = self.workers.keys().collect();
        for worker in workers {
            self.renew(now, worker, actions);
            self.request_report(now, worker, actions);
        }
    }

    /// Renews the leases on a worker if the renewal interval has passed.
    fn renew(&mut self, now: Instant, worker: Worker, actions: &mut Vec<Action>) {
        let data = self.workers.get(worker);
        let Some(session) = &data.session else { return };
        if now.since(session.renewed_at) < self.config.renew_every {
            return;
        }
        let attempts = data.tasks.iter().filter(|&&task| self.may_renew(now, task));
        let attempts: Vec<AttemptId> = attempts
            .filter_map(|&task| self.state.attempt(self.config.shard, task))
            .collect();
        let is_idle = attempts.is_empty() && data.forget.is_empty();
        let worker_name = data.name.clone();
        let forget = self.workers.update(worker, |data| {
            if let Some(session) = &mut data.session {
                session.renewed_at = now;
            }
            core::mem::take(&mut data.forget)
        });
        if !is_idle {
            actions.push(Action::Order {
                worker: worker_name,
                order: Order::Renew(Renew {
                    attempts,
                    lease_ms: self.config.lease.as_ms(),
                    forget,
                }),
            });
        }
    }

    /// Returns whether the owner may renew the lease of a task.
    ///
    /// It stops renewing once its ownership has not been confirmed for the row's
    /// hold. A start that is not committed yet has no lease.
    fn may_renew(&self, now: Instant, task: Task) -> bool {
        let is_recording = self.presence[task] == Presence::Recording;
        let hold = self.workloads.get(self.workload_of(task)).hold;
        !is_recording && now.since(self.confirmed_at) < hold
    }

    fn request_report(&mut self, now: Instant, worker: Worker, actions: &mut Vec<Action>) {
        let data = self.workers.get(worker);
        let Some(session) = &data.session else { return };
        let is_unconfirmed =
            |task: &Task| matches!(self.presence[*task], Presence::Unconfirmed { .. });
        let every = if data.tasks.iter().any(is_unconfirmed) {
            self.config.unconfirmed_report_every
        } else {
            self.config.report_every
        };
        if now.since(session.asked_at) < every {
            return;
        }
        let name = data.name.clone();
        self.workers.update(worker, |data| {
            if let Some(session) = &mut data.session {
                session.asked_at = now;
            }
        });
        actions.push(Action::Order {
            worker: name,
            order: Order::Report,
        });
    }

    /// Removes ended tasks and request keys whose retention period is over.
    fn drop_expired(&mut self, now: Instant) {
        while let Some(first) = self.ended.front() {
            if now.since(first.since) < self.config.result_retention {
                break;
            }
            let id = self.state.tasks[first.item].image.id;
            self.ended.pop_front();
            self.append(Record::Forget { id });
        }
        while let Some(first) = self.keys.front() {
            if now.since(first.since) < self.config.key_retention {
                break;
            }
            let key = first.item.clone();
            self.keys.pop_front();
            self.append(Record::ForgetKey { key });
        }
    }

    /// Adds a record to the next commit and applies it to the state.
    pub(crate) fn append(&mut self, record: Record) -> Option<Task> {
        let task = self.state.apply(&record);
        self.pending.push(record);
        task
    }

    /// Adds a recorded start to the usage of its worker and its workload.
    pub(crate) fn occupy(&mut self, task: Task, worker: Worker) {
        let demand = self.state.tasks[task].resources();
        let workload = self.workload_of(task);
        self.workers.update(worker, |data| {
            data.used += demand;
            data.tasks.insert(task);
        });
        self.workloads.occupy(workload, &demand);
    }

    /// Reverts [`Self::occupy`]; to be called before the state drops the start.
    pub(crate) fn release(&mut self, task: Task) {
        let data = &self.state.tasks[task];
        let demand = data.resources();
        let Some(started) = data.started() else {
            return;
        };
        let Some(worker) = self.workers.by_name(&started.worker) else {
            return;
        };
        let workload = self.workload_of(task);
        self.workers.update(worker, |data| {
            data.used -= demand;
            data.tasks.remove(&task);
        });
        self.workloads.release(workload, &demand);
        self.presence[task] = Presence::None;
    }

    /// Returns the workload that a task was submitted to.
    ///
    /// # Panics
    ///
    /// Panics if the task's row was never interned; every code path that adds a
    /// task interns its row.
    pub(crate) fn workload_of(&self, task: Task) -> Workload {
        let row = &self.state.tasks[task].image.row;
        self.workloads
            .by_name(row)
            .expect("the row of every task is interned")
    }

    /// Returns the status of a task, as reported to callers.
    pub fn status(&self, key: &Key) -> Option<TaskStatus> {
        let task = self.state.by_key(key)?;
        Some(self.status_of(task))
    }

    pub(crate) fn status_of(&self, task: Task) -> TaskStatus {
        let image = &self.state.tasks[task].image;
        let (phase, worker, result) = match &image.state {
            TaskState::Waiting => (TaskPhase::Waiting, None, None),
            TaskState::Started(started) => {
                let is_confirmed = self.presence[task].is_confirmed();
                let phase = if is_confirmed {
                    TaskPhase::Running
                } else {
                    TaskPhase::Starting
                };
                (phase, Some(started.worker.clone()), None)
            }
            TaskState::Ended { phase, result } => (*phase, None, result.clone()),
        };
        TaskStatus {
            key: image.key.clone(),
            row: image.row.clone(),
            phase,
            attempts_count: image.attempts_count,
            worker,
            result,
        }
    }

    /// Returns the statuses of up to `limit_count` tasks.
    pub fn statuses(&self, limit_count: usize) -> Vec<TaskStatus> {
        let tasks = self.state.live_tasks().take(limit_count);
        tasks.map(|(task, _)| self.status_of(task)).collect()
    }

    /// Returns the names of all known workers, each with whether it is connected.
    pub fn workers(&self) -> Vec<(Name, bool)> {
        let workers = self.workers.iter();
        workers
            .map(|(_, data)| (data.name.clone(), data.session.is_some()))
            .collect()
    }

    /// Returns the former epochs that may still have starts in flight.
    pub fn open_epochs(&self) -> Vec<crate::Epoch> {
        let own = self.config.epoch;
        let former = self.state.open_epochs.iter().filter(|(&e, _)| e != own);
        former
            .map(|(&epoch, owner)| crate::Epoch {
                epoch,
                owner: owner.clone(),
            })
            .collect()
    }

    /// Returns the settings.
    pub const fn config(&self) -> &OwnerConfig {
        &self.config
    }

    /// Returns the state, including records that are not committed yet.
    pub const fn state(&self) -> &State {
        &self.state
    }

    /// Returns the counters.
    pub const fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the number of waiting tasks.
    pub const fn waiting_count(&self) -> usize {
        self.workloads.waiting_count()
    }

    /// Returns the number of recorded starts that are not over.
    pub fn started_count(&self) -> usize {
        self.workers.iter().map(|(_, data)| data.tasks.len()).sum()
    }

    /// Returns the number of workers on which tasks may be placed.
    pub fn placeable_count(&self) -> usize {
        self.workers.placeable_count()
    }

    /// Returns the log's size in bytes.
    pub const fn log_bytes(&self) -> usize {
        self.log.size_bytes()
    }

    /// Returns whether [`Self::next_commit`] should be called.
    pub fn needs_commit(&self) -> bool {
        let is_asked = !self.intake.is_empty() || !self.pending_effects.is_empty();
        let is_due = !self.pending.iter().all(Record::is_deferrable);
        let has_room = self.may_place && self.is_deciding && self.waiting_count() > 0;
        self.inflight.is_none() && (is_asked || is_due || has_room)
    }

    /// Records that no start of this epoch is in flight.
    ///
    /// To be called once [`Self::is_settled`] holds; the next commit is the last.
    pub fn finish(&mut self) {
        let epoch = self.config.epoch;
        self.append(Record::Close { epoch });
    }

    /// Rejects new work and places no more tasks, so that the starts in flight can
    /// be resolved.
    pub fn begin_handover(&mut self) {
        self.is_handing_over = true;
    }

    /// Returns whether no start and no commit is in flight.
    pub fn is_settled(&self) -> bool {
        let mut tasks = self.state.live_tasks();
        let is_on_its_way = |presence| matches!(presence, Presence::Sent | Presence::Recording);
        !tasks.any(|(task, _)| is_on_its_way(self.presence[task])) && self.inflight.is_none()
    }

    /// Ends the ownership, after the store refused a commit or named another owner.
    ///
    /// Uncommitted records are dropped, and waiting callers are answered.
    /// `is_refused` means that the commit in flight had no effect; otherwise its
    /// callers are told that the outcome is unknown.
    pub fn close(mut self, is_refused: bool, actions: &mut Vec<Action>) -> Closing {
        self.reject_all(is_refused, actions);
        let mut attempts = Vec::new();
        for (task, _) in self.state.live_tasks() {
            if self.presence[task] == Presence::Sent {
                attempts.extend(self.state.attempt(self.config.shard, task));
            }
        }
        Closing::new(self.config.shard, self.config.epoch, attempts)
    }
}
