//! Group commits: places tasks, builds the next commit and carries out its
//! effects once the store has applied it.

use crate::action::Action;
use crate::entity::{Task, Worker};
use crate::log::Commit;
use crate::owner::{Effect, Inflight, Owner};
use crate::presence::Presence;
use crate::record::Record;
use ospreywing_types::worker::{Order, Start, Stop};
use ospreywing_types::Instant;

/// The maximum number of starts in one commit; keeps batches small.
const STARTS_PER_COMMIT: usize = 1000;

impl Owner {
    /// Builds the next commit, if one is due and none is in flight.
    ///
    /// The caller writes it on condition that the store still names this owner
    /// and that the log has no batch of this number. It retries until the
    /// outcome is known, then reports [`crate::Event::CommitDone`] or calls
    /// [`Owner::close`].
    pub fn next_commit(&mut self, now: Instant) -> Option<Commit> {
        if self.inflight.is_some() {
            return None;
        }
        self.apply_intake(now);
        self.place_waiting(now);
        let is_idle = self.pending.iter().all(Record::is_deferrable);
        if is_idle && self.pending_effects.is_empty() {
            return None;
        }
        let records = core::mem::take(&mut self.pending);
        let config = &self.config;
        let commit = self
            .log
            .commit(config.shard, config.epoch, records, &self.state);
        self.counts.commits_count += 1;
        self.counts.commit_bytes += commit.value.len() as u64;
        self.inflight = Some(Inflight {
            since: now,
            effects: core::mem::take(&mut self.pending_effects),
        });
        Some(commit)
    }

    /// Records a start for each waiting task that fits a worker, in scheduling order.
    ///
    /// A workload whose first task is over a cap or fits no worker is skipped.
    fn place_waiting(&mut self, now: Instant) {
        if !self.is_deciding || self.is_handing_over {
            return;
        }
        self.may_place = false;
        self.skipped.clear();
        for _ in 0..STARTS_PER_COMMIT {
            let step = self.config.ageing_step;
            let next = self.workloads.next(&self.skipped, now, step);
            let Some((workload, waiting)) = next else {
                return;
            };
            let demand = self.state.tasks[waiting.task].resources();
            let is_admitted = self.workloads.admits(workload, &demand);
            let policy = self.workloads.policy;
            let worker = self.workers.find(&demand, policy).filter(|_| is_admitted);
            match worker {
                Some(worker) => self.record_start(waiting.task, worker),
                None => {
                    self.skipped.insert(workload);
                }
            }
        }
        self.may_place = true;
    }

    fn record_start(&mut self, task: Task, worker: Worker) {
        let image = &self.state.tasks[task].image;
        let (id, number) = (image.id, image.attempts_count + 1);
        let workload = self.workload_of(task);
        let data = self.workers.get(worker);
        let Some(session) = &data.session else { return };
        let record = Record::Start {
            id,
            number,
            worker: data.name.clone(),
            incarnation: session.incarnation,
            epoch: self.config.epoch,
        };
        self.workloads.dequeue(workload, id);
        self.append(record);
        self.occupy(task, worker);
        self.presence[task] = Presence::Recording;
        self.counts.started_count += 1;
        self.pending_effects.push(Effect::Start(task, number));
    }

    pub(crate) fn on_commit_done(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(inflight) = self.inflight.take() else {
            return;
        };
        for effect in inflight.effects {
            match effect {
                Effect::Reply(token, reply) => actions.push(Action::Reply { token, reply }),
                Effect::Start(task, number) => self.send_start(now, task, number, actions),
                Effect::Stop(task) => self.send_stop(task, actions),
                Effect::Forget(worker, attempt) => {
                    self.workers
                        .update(worker, |data| data.forget.push(attempt));
                }
            }
        }
    }

    /// Sends a recorded start, or requeues the task if the worker's session has
    /// closed.
    fn send_start(&mut self, now: Instant, task: Task, number: u32, actions: &mut Vec<Action>) {
        let Some(started) = self.state.tasks[task].started().cloned() else {
            return;
        };
        if started.number != number || self.presence[task] != Presence::Recording {
            return;
        }
        let worker = self.workers.intern(&started.worker);
        let session = self.workers.get(worker).session.as_ref();
        if session.is_none_or(|session| session.incarnation != started.incarnation) {
            // Only this owner could have sent the start, and it did not.
            self.requeue(now, task, false);
            return;
        }
        let Some(attempt) = self.state.attempt(self.config.shard, task) else {
            return;
        };
        let Some(spec) = self.state.tasks[task].image.spec.clone() else {
            return;
        };
        self.presence[task] = Presence::Sent;
        let start = Start {
            attempt,
            resources: spec.resources,
            command: spec.command,
            lease_ms: self.config.lease.as_ms(),
        };
        actions.push(Action::Order {
            worker: started.worker,
            order: Order::Start {
                incarnation: started.incarnation,
                start,
            },
        });
    }

    pub(crate) fn send_stop(&mut self, task: Task, actions: &mut Vec<Action>) {
        let Some(attempt) = self.state.attempt(self.config.shard, task) else {
            return;
        };
        let started = self.state.tasks[task].started();
        if let Some(started) = started {
            actions.push(Action::Order {
                worker: started.worker.clone(),
                order: Order::Stop(Stop { attempt }),
            });
        }
    }
}
