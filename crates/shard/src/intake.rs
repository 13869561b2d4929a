//! Accepts or rejects requests and holds accepted ones for the next commit.
//!
//! A request changes the state only when it becomes part of a commit. Until
//! then it can be rejected with certainty that it had no effect, and it is
//! rejected as soon as the store is slow to answer a commit.

use crate::action::{Action, Reply, Token};
use crate::owner::{Effect, Owner, Retained};
use crate::record::Record;
use crate::state::TaskState;
use ospreywing_types::peer::{SubmitReply, TakeKeyReply};
use ospreywing_types::{Duration, Instant, Key, Name, TaskId, TaskPhase, TaskSpec};
use std::collections::HashMap;

/// A submitted task that is not part of a commit yet.
#[derive(Clone, Debug)]
pub(crate) struct NewTask {
    pub(crate) tokens: Vec<Token>,
    pub(crate) row: Name,
    pub(crate) spec: TaskSpec,
}

/// A claim on a request key that is not part of a commit yet.
#[derive(Clone, Debug)]
pub(crate) struct NewKey {
    pub(crate) token: Token,
    pub(crate) nonce: u64,
}

/// Requests that are not part of a commit yet; tasks in the order of arrival.
#[derive(Clone, Debug, Default)]
pub(crate) struct Intake {
    pub(crate) tasks: HashMap<Key, NewTask>,
    pub(crate) order: Vec<Key>,
    pub(crate) keys: HashMap<Key, NewKey>,
}

impl Intake {
    /// Returns whether no request waits for the next commit.
    pub(crate) fn is_empty(&self) -> bool {
        self.order.is_empty() && self.keys.is_empty()
    }
}

/// When to retry a request rejected because the store is slow or down.
const STORE_RETRY_AFTER: Duration = Duration::from_s(2);
/// When to retry a task rejected because too many tasks wait.
const FULL_RETRY_AFTER: Duration = Duration::from_s(10);
/// The reason for a rejection during a handover.
const HANDOVER_REASON: &str = "the shard is changing hands";
/// When to retry a request rejected during or after a handover.
const HANDOVER_RETRY_AFTER: Duration = Duration::from_s(1);

fn rejected(reason: impl Into<String>, retry_after: Option<Duration>) -> Reply {
    Reply::Submit(SubmitReply::Refused {
        reason: reason.into(),
        retry_after_ms: retry_after.map(Duration::as_ms),
    })
}

impl Owner {
    pub(crate) fn on_submit(
        &mut self,
        now: Instant,
        token: Token,
        key: Key,
        row: Name,
        spec: TaskSpec,
        actions: &mut Vec<Action>,
    ) {
        if let Some(task) = self.state.by_key(&key) {
            if self.state.tasks[task].image.row != row {
                let reason = "key: in use by a task of another row";
                self.answer(token, rejected(reason, None), actions);
                return;
            }
            self.reply_when_committed(token, task, actions);
            return;
        }
        if let Some(task) = self.intake.tasks.get_mut(&key) {
            task.tokens.push(token);
            return;
        }
        if let Some(reply) = self.rejection(now, &row, &spec) {
            self.answer(token, reply, actions);
            return;
        }
        self.intake.order.push(key.clone());
        let tokens = vec![token];
        let task = NewTask { tokens, row, spec };
        self.intake.tasks.insert(key, task);
    }

    fn rejection(&self, now: Instant, row: &Name, spec: &TaskSpec) -> Option<Reply> {
        let workload = self.workloads.by_name(row);
        if !workload.is_some_and(|workload| self.workloads.get(workload).is_listed) {
            let reason = format!("row: the table has no batch row {row:?}");
            return Some(rejected(reason, None));
        }
        if spec.resources.is_zero() {
            return Some(rejected("spec.resources: all are zero", None));
        }
        if !self.workers.fits_any_worker(&spec.resources) {
            let reason = format!("spec.resources: no worker holds {}", spec.resources);
            return Some(rejected(reason, None));
        }
        let waiting_count = self.waiting_count() + self.intake.order.len();
        if waiting_count >= self.config.waiting_limit_count {
            let reason = format!("{waiting_count} tasks wait in the shard, the limit");
            return Some(rejected(reason, Some(FULL_RETRY_AFTER)));
        }
        self.intake_obstacle(now)
            .map(|(reason, retry_after)| rejected(reason, Some(retry_after)))
    }

    /// Returns why no new request can be recorded now and when to retry it, or
    /// `None` if it can be.
    fn intake_obstacle(&self, now: Instant) -> Option<(&'static str, Duration)> {
        if self.is_handing_over {
            return Some((HANDOVER_REASON, HANDOVER_RETRY_AFTER));
        }
        let reason = "the platform's store does not answer";
        self.is_commit_overdue(now)
            .then_some((reason, STORE_RETRY_AFTER))
    }

    /// Returns whether the commit in flight has exceeded the commit timeout.
    fn is_commit_overdue(&self, now: Instant) -> bool {
        let inflight = self.inflight.as_ref();
        inflight.is_some_and(|it| now.since(it.since) >= self.config.commit_timeout)
    }

    /// Replies with a task's status once every pending record is committed.
    fn reply_when_committed(&mut self, token: Token, task: crate::Task, actions: &mut Vec<Action>) {
        let status = SubmitReply::Accepted(self.status_of(task));
        let reply = Reply::Submit(status);
        if self.is_all_committed() {
            self.answer(token, reply, actions);
        } else {
            self.pending_effects.push(Effect::Reply(token, reply));
        }
    }

    fn is_all_committed(&self) -> bool {
        self.inflight.is_none() && self.pending.is_empty()
    }

    pub(crate) fn on_cancel(
        &mut self,
        now: Instant,
        token: Token,
        key: &Key,
        actions: &mut Vec<Action>,
    ) {
        let Some(task) = self.state.by_key(key) else {
            let reason = "key: no task of this key is on record";
            self.answer(token, rejected(reason, None), actions);
            return;
        };
        let id = self.state.tasks[task].image.id;
        match &self.state.tasks[task].image.state {
            TaskState::Waiting => {
                self.end_task(now, task, TaskPhase::Cancelled, None);
            }
            TaskState::Started(_) => {
                self.append(Record::Cancel { id });
                self.pending_effects.push(Effect::Stop(task));
            }
            TaskState::Ended { .. } => {}
        }
        self.reply_when_committed(token, task, actions);
    }

    pub(crate) fn on_take_key(
        &mut self,
        now: Instant,
        token: Token,
        key: Key,
        nonce: u64,
        actions: &mut Vec<Action>,
    ) {
        if let Some(&holder) = self.state.taken_keys.get(&key) {
            let is_same = holder == nonce;
            let reply = if is_same {
                Reply::TakeKey(TakeKeyReply::Granted)
            } else {
                Reply::TakeKey(TakeKeyReply::Taken)
            };
            if is_same && !self.is_all_committed() {
                self.pending_effects.push(Effect::Reply(token, reply));
            } else {
                self.answer(token, reply, actions);
            }
            return;
        }
        if self.intake.keys.contains_key(&key) {
            self.answer(token, Reply::TakeKey(TakeKeyReply::Taken), actions);
            return;
        }
        if let Some((_, retry_after)) = self.intake_obstacle(now) {
            self.answer(token, rejected_key(retry_after), actions);
            return;
        }
        self.intake.keys.insert(key, NewKey { token, nonce });
    }

    /// Applies the waiting requests to the state and adds them to the next commit.
    pub(crate) fn apply_intake(&mut self, now: Instant) {
        for key in core::mem::take(&mut self.intake.order) {
            if let Some(new) = self.intake.tasks.remove(&key) {
                self.apply_new_task(now, key, new);
            }
        }
        for (key, new) in core::mem::take(&mut self.intake.keys) {
            self.append(Record::TakeKey {
                key: key.clone(),
                nonce: new.nonce,
            });
            self.keys.push_back(Retained {
                since: now,
                item: key,
            });
            let reply = Reply::TakeKey(TakeKeyReply::Granted);
            self.pending_effects.push(Effect::Reply(new.token, reply));
        }
    }

    fn apply_new_task(&mut self, now: Instant, key: Key, new: NewTask) {
        let id = TaskId(self.state.next_id);
        let workload = self.workloads.intern(&new.row);
        let record = Record::Submit {
            id,
            key,
            row: new.row,
            spec: new.spec,
        };
        let Some(task) = self.append(record) else {
            return;
        };
        self.counts.submitted_count += 1;
        self.waiting_since[task] = now;
        self.workloads.enqueue(workload, id, task, now);
        let status = self.status_of(task);
        for token in new.tokens {
            let reply = Reply::Submit(SubmitReply::Accepted(status.clone()));
            self.pending_effects.push(Effect::Reply(token, reply));
        }
    }

    /// Replies to waiting callers if a commit exceeds its timeout or the owner
    /// hands the shard over.
    ///
    /// Requests that are not part of a commit are rejected: they had no effect.
    /// If the commit in flight exceeds its timeout, the outcome of its requests
    /// is reported as unknown. A handover waits for the commit in flight.
    pub(crate) fn reject_overdue(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some((reason, retry_after)) = self.intake_obstacle(now) else {
            return;
        };
        self.reject_intake(reason, retry_after, actions);
        if self.is_commit_overdue(now) {
            self.answer_inflight(unconfirmed_reply, actions);
        }
    }

    /// Replies to every waiting caller at the end of the ownership.
    ///
    /// `is_refused` means that the store refused the commit in flight, so that it
    /// had no effect; otherwise its outcome is unknown.
    pub(crate) fn reject_all(&mut self, is_refused: bool, actions: &mut Vec<Action>) {
        self.reject_intake(HANDOVER_REASON, HANDOVER_RETRY_AFTER, actions);
        if is_refused {
            self.answer_inflight(not_run_reply, actions);
        } else {
            self.answer_inflight(unconfirmed_reply, actions);
        }
    }

    fn reject_intake(
        &mut self,
        reason: &'static str,
        retry_after: Duration,
        actions: &mut Vec<Action>,
    ) {
        self.intake.order.clear();
        for (_, new) in self.intake.tasks.drain() {
            for token in new.tokens {
                self.counts.refused_count += 1;
                let reply = rejected(reason, Some(retry_after));
                actions.push(Action::Reply { token, reply });
            }
        }
        for (_, new) in self.intake.keys.drain() {
            self.counts.refused_count += 1;
            let reply = rejected_key(retry_after);
            actions.push(Action::Reply {
                token: new.token,
                reply,
            });
        }
    }

    /// Answers the callers that wait for a commit, with `replacement` of the reply
    /// that they would have got.
    fn answer_inflight(&mut self, replacement: fn(&Reply) -> Reply, actions: &mut Vec<Action>) {
        let inflight = self.inflight.as_mut();
        let inflight_effects = inflight.map(|inflight| &mut inflight.effects);
        for effects in inflight_effects
            .into_iter()
            .chain([&mut self.pending_effects])
        {
            effects.retain(|effect| {
                let Effect::Reply(token, reply) = effect else {
                    return true;
                };
                let (token, reply) = (*token, replacement(reply));
                actions.push(Action::Reply { token, reply });
                false
            });
        }
    }

    pub(crate) fn answer(&mut self, token: Token, reply: Reply, actions: &mut Vec<Action>) {
        let is_rejection = matches!(
            reply,
            Reply::Submit(SubmitReply::Refused { .. })
                | Reply::TakeKey(TakeKeyReply::Refused { .. })
        );
        self.counts.refused_count += u64::from(is_rejection);
        actions.push(Action::Reply { token, reply });
    }
}

fn rejected_key(retry_after: Duration) -> Reply {
    Reply::TakeKey(TakeKeyReply::Refused {
        retry_after_ms: retry_after.as_ms(),
    })
}

/// Returns the reply that replaces `reply` if the commit's outcome is unknown.
///
/// A claim that may not be recorded is rejected: the claimant must not send the
/// request. If the claim is recorded after all, no other claimant gets the key.
fn unconfirmed_reply(reply: &Reply) -> Reply {
    match reply {
        Reply::Submit(_) => Reply::Submit(SubmitReply::Unknown),
        Reply::TakeKey(_) => rejected_key(STORE_RETRY_AFTER),
    }
}

/// Returns the reply that replaces `reply` if the commit had no effect.
fn not_run_reply(reply: &Reply) -> Reply {
    match reply {
        Reply::Submit(_) => rejected("the shard has another owner", Some(HANDOVER_RETRY_AFTER)),
        Reply::TakeKey(_) => rejected_key(HANDOVER_RETRY_AFTER),
    }
}
