//! Worker leases: polls that renew them, the runs that workers list, and leases that
//! expire.

use crate::decision::{Decision, DecisionKind};
use crate::event::{Action, EndedRun, HoldReply, RunningRun};
use crate::incarnation::Incarnation;
use crate::incarnations::ListedRuns;
use crate::interference::RunRole;
use crate::job::TaskKey;
use crate::scheduler::Scheduler;
use crate::state::{Phase, TaskStatus};
use crate::worker::{lease_bound, ClockReading, Run, RunPhase, Worker, WorkerKey};
use ospreywing_types::{Duration, Instant, Resources};

/// The consecutive unanswered polls after which a worker is unresponsive. A single answer
/// may be lost while the worker is healthy.
const UNRESPONSIVE_AFTER_COUNT: u32 = 2;
/// The timeout of a poll's answer, in addition to the time for which the worker holds the
/// poll. An answer takes a few milliseconds, and a repeated poll does no harm.
const POLL_TIMEOUT: Duration = Duration::from_ms(250);
/// How often the timeout is doubled, once for each further poll of an unresponsive worker.
/// With a fixed timeout, every answer would come too late where this node or a link is
/// slow.
const TIMEOUT_DOUBLINGS_COUNT: u32 = 2;
/// How long polls are shorter after a lost answer: about as long as a few polls of all
/// workers take.
const LOSSY_PERIOD: Duration = Duration::from_ms(3000);
/// How long a worker then holds a poll.
const LOSSY_POLL_WAIT: Duration = Duration::from_ms(250);
/// The maximum rate of polls, apart from those that an end cuts short; with more busy
/// workers each poll is held longer. Polling each of 1,100 workers every 0.9 s takes 1,200
/// calls a second of a leader on half a core, in addition to as many starts.
const POLLS_PER_S: u64 = 500;
/// The maximum rate of polls while answers are lost.
const LOSSY_POLLS_PER_S: u64 = 1000;
/// The interval between polls of an unresponsive worker.
const UNRESPONSIVE_RETRY: Duration = Duration::from_ms(250);

impl Worker {
    /// Marks runs as absent if their starts went unanswered and a poll sent afterwards did
    /// not list them.
    fn mark_absent_runs(&mut self, sent_at: Instant, listed: &ListedRuns) {
        for (task, run) in &mut self.runs {
            if run.was_unconfirmed_at(sent_at) && !listed.contains(&(*task, run.run)) {
                run.was_absent = true;
            }
        }
    }
}

impl Scheduler {
    /// Returns the duration of new leases.
    pub(crate) fn lease_duration(&self) -> Duration {
        if self.is_store_degraded {
            self.config.extended_lease
        } else {
            self.config.lease
        }
    }

    /// Sends the polls that are due.
    pub(crate) fn send_due_polls(&mut self, now: Instant, out: &mut Vec<Action>) {
        let lease_duration = self.lease_duration();
        let polled = |worker: &&Worker| !worker.runs.is_empty() || worker.has_start_at_risk(now);
        let polled_count = self.workers.values().filter(polled).count();
        let wait = self.poll_wait(now, polled_count);
        let interval_during_commit = self.config.poll_interval_during_commit;
        let may_watch_closely = self.may_watch_closely(now);
        for (key, worker) in self.workers.iter_mut() {
            if !is_poll_due(worker, now, interval_during_commit) {
                continue;
            }
            worker.is_poll_open = true;
            if worker.unanswered_polls_count == 0 {
                self.retries.polls.record_first_call();
            }
            // An unresponsive worker is polled without a lease: a lease that it may have
            // received would keep its runs from ever being released.
            let renews_lease = worker.is_synced && worker.unanswered_polls_count == 0;
            // A worker answers at once while it lists an end, so the poll isn't held.
            let has_listed_end = !worker.uncommitted_ends.is_empty();
            let is_immediate = !renews_lease
                || worker.runs.is_empty() && !worker.is_only_watched(now)
                || has_listed_end
                || may_watch_closely && worker.has_start_at_risk(now)
                || worker.unconfirmed_since.is_some();
            let until_ms = if renews_lease {
                worker.grant_lease(now, lease_duration)
            } else {
                None
            };
            let wait = if is_immediate { Duration::ZERO } else { wait };
            worker.poll_held_until = now + wait;
            out.push(Action::Hold {
                to: worker.endpoint(key),
                until_ms,
                last_seen: worker.acked_end,
                wait,
                patience: poll_timeout(worker.unanswered_polls_count),
            });
        }
    }

    /// Returns how long a worker holds a poll until a run ends. Ends stay unknown while an
    /// answer is missing, so after lost answers polls are short. They are longer the more
    /// workers are busy.
    fn poll_wait(&self, now: Instant, polled_count: usize) -> Duration {
        let is_lossy = self
            .last_lost_poll_at
            .is_some_and(|at| now.since(at) < LOSSY_PERIOD);
        let (least, limit_per_s) = if is_lossy {
            (LOSSY_POLL_WAIT, LOSSY_POLLS_PER_S)
        } else {
            (self.config.poll_wait, POLLS_PER_S)
        };
        let affordable = Duration::from_ms(polled_count as u64 * 1000 / limit_per_s);
        affordable.clamp(least, self.config.poll_wait_limit)
    }

    pub(crate) fn on_poll_answered(
        &mut self,
        now: Instant,
        key: WorkerKey,
        sent_at: Instant,
        reply: HoldReply,
        out: &mut Vec<Action>,
    ) {
        let worker = &mut self.workers[key];
        worker.is_poll_open = false;
        worker.next_poll_at = now + self.config.poll_interval;
        match reply {
            HoldReply::Listed {
                incarnation,
                clock_ms,
                running,
                ended,
            } => {
                let is_other = worker.is_other_incarnation(incarnation);
                if is_other && worker.is_gone {
                    return;
                }
                let key = if is_other {
                    let listed = listed_runs(&running, &ended);
                    self.begin_next_incarnation(now, key, incarnation, sent_at, &listed, out)
                } else {
                    self.retract_unresponsive(now, key, incarnation, out);
                    key
                };
                self.record_answer(now, key, sent_at, incarnation, clock_ms);
                self.handle_lists(now, key, sent_at, running, ended, out);
            }
            HoldReply::Fenced => out.push(Action::StepDown),
            HoldReply::OtherIncarnation => self.on_incarnation_over(now, key, out),
            HoldReply::Unanswered => self.on_poll_unanswered(now, key, out),
        }
    }

    fn record_answer(
        &mut self,
        now: Instant,
        key: WorkerKey,
        sent_at: Instant,
        incarnation: Option<Incarnation>,
        clock_ms: u64,
    ) {
        let worker = &mut self.workers[key];
        worker.set_incarnation(incarnation);
        worker.clock = Some(ClockReading {
            clock_ms,
            read_at: now,
        });
        worker.unanswered_polls_count = 0;
        worker.last_answer_at = now;
        worker.end_detection_delay = sent_at.since(worker.last_listed_at);
        worker.last_listed_at = now;
        // A poll that was sent before says nothing about the time since.
        worker.unconfirmed_since = worker.unconfirmed_since.filter(|since| sent_at < *since);
        if !core::mem::replace(&mut worker.is_reachable, true) {
            worker.next_poll_at = now;
        }
    }

    /// Polls again at once after the first unanswered poll, as far as the retry budget
    /// allows; after the next one the worker is unresponsive.
    fn on_poll_unanswered(&mut self, now: Instant, key: WorkerKey, out: &mut Vec<Action>) {
        let worker = &mut self.workers[key];
        worker.unanswered_polls_count += 1;
        if worker.unanswered_polls_count < UNRESPONSIVE_AFTER_COUNT {
            let is_retried = self.retries.polls.spend();
            worker.next_poll_at = if is_retried {
                now
            } else {
                now + UNRESPONSIVE_RETRY
            };
            self.next_poll_scan_at = now;
            self.last_lost_poll_at = Some(now);
            return;
        }
        worker.next_poll_at = now + UNRESPONSIVE_RETRY;
        if core::mem::replace(&mut worker.is_reachable, false) {
            let line = Decision::new(DecisionKind::WorkerUnresponsive, "renewal unanswered")
                .with_worker(&worker.facts.id)
                .with_figure(worker.runs.len() as u64);
            out.push(Action::Log(line));
        }
    }

    fn handle_lists(
        &mut self,
        now: Instant,
        key: WorkerKey,
        sent_at: Instant,
        running: Vec<RunningRun>,
        mut ended: Vec<EndedRun>,
        out: &mut Vec<Action>,
    ) {
        let is_first = !core::mem::replace(&mut self.workers[key].is_synced, true);
        if is_first {
            let line = Decision::new(DecisionKind::WorkerSynced, "fence raised")
                .with_worker(&self.workers[key].facts.id)
                .with_figure(running.len() as u64);
            out.push(Action::Log(line));
            self.is_cycle_due = true;
            self.bound_recovered_lease(now, key);
        }
        let is_complete = ended.len() < self.config.listed_ends_limit_count;
        let listed = listed_runs(&running, &ended);
        // The worker discards ends by number.
        ended.sort_by_key(|end| end.number);
        for end in ended {
            self.handle_end(now, key, end, out);
        }
        self.record_lost_incarnations(now, key, &listed, out);
        // Unlisted runs come first: an earlier run of the same task may be listed.
        if is_complete {
            self.workers[key].mark_absent_runs(sent_at, &listed);
            self.release_unlisted(now, key, sent_at, &listed, out);
        }
        self.workers[key].has_unknown_run = false;
        for run in running {
            self.handle_running(now, key, run, out);
        }
    }

    /// Limits the lease that earlier leaders granted to a worker that has answered under
    /// this leader's fencing token: it no longer accepts anything from them.
    fn bound_recovered_lease(&mut self, now: Instant, key: WorkerKey) {
        let bound = lease_bound(now, self.config.lease_limit);
        let worker = &mut self.workers[key];
        worker.leased_until = worker.leased_until.min(bound);
    }

    /// Handles a run that a worker lists as alive.
    fn handle_running(
        &mut self,
        now: Instant,
        key: WorkerKey,
        listed: RunningRun,
        out: &mut Vec<Action>,
    ) {
        let task = listed.task;
        if self.unreadable.contains(&task.step.job) {
            // The run's demand is unknown.
            self.workers[key].has_unknown_run = true;
            return;
        }
        self.mark_begun(task.step.job);
        let worker = &mut self.workers[key];
        let to = worker.endpoint(key);
        if let Some(run) = worker.runs.get_mut(&task) {
            if run.run == listed.run {
                run.record_progress(now, listed.progress_percent);
                if matches!(run.phase, RunPhase::Recovered) {
                    run.phase = RunPhase::Running { since: now };
                }
                run.mark_begun(now);
                let begun_at = run.begun_at.unwrap_or(now);
                self.clear_suspect(now, task, begun_at);
                self.update_checkpoint(task, listed.checkpoint);
                if self.is_obsolete(task) {
                    // The earlier leader may have failed before it sent the stop.
                    self.stop_task(now, task, "job ended", out);
                }
                return;
            }
        }
        // This leader didn't place the run here: it is stopped, and its demand counts until
        // then.
        let demand = self.demand_of(task);
        match demand {
            Some(demand) if !self.workers[key].runs.contains_key(&task) => {
                let run = Run {
                    phase: RunPhase::Stopping {
                        sent_at: now,
                        accepted_at: None,
                    },
                    progress_percent: listed.progress_percent,
                    charge: self.charge_of(task.step),
                    ..Run::new(listed.run, demand, now)
                };
                self.add_foreign_run(key, task, run);
                self.place_where_alive(key, task);
            }
            _ => self.workers[key].has_unknown_run = true,
        }
        let worker = &self.workers[key];
        let line = Decision::new(DecisionKind::StopSent, "not ours")
            .with_run(task, listed.run)
            .with_worker(&worker.facts.id);
        out.push(Action::Log(line));
        out.push(Action::Stop {
            to,
            task,
            run: listed.run,
        });
    }

    /// Places a waiting task on the worker that has a run of it, so that it is not started
    /// anywhere before that run has ended.
    fn place_where_alive(&mut self, key: WorkerKey, task: TaskKey) {
        let job = self.jobs.get(&task.step.job);
        if job.is_none_or(|job| job.state.phase != Phase::Active) {
            return;
        }
        let worker = &self.workers[key];
        let placed = TaskStatus::Placed {
            worker: worker.facts.id.to_string(),
            incarnation: worker.incarnation,
        };
        let state = self.task_state_mut(task);
        if let Some(state) = state.filter(|state| state.status == TaskStatus::Waiting) {
            state.status = placed;
            self.placements.insert(task, key);
            self.queue_commit(task.step.job, None);
        }
    }

    /// Returns whether a task's runs are no longer needed: its job was cancelled or has
    /// failed, or the task is done. The members of a gang that is done end by themselves.
    fn is_obsolete(&self, task: TaskKey) -> bool {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return false;
        };
        let is_over = matches!(job.state.phase, Phase::Canceled | Phase::Failed);
        let round = job.state.round(task.step.round);
        let step = round.and_then(|round| round.steps.get(task.step.step as usize));
        let state = step.and_then(|step| step.tasks.get(task.index as usize));
        let is_done = state.is_some_and(|state| state.status == TaskStatus::Done);
        is_over || is_done && !self.is_gang(task.step)
    }

    /// Keeps a run's newest checkpoint, which is stored with the job's next change.
    fn update_checkpoint(&mut self, task: TaskKey, checkpoint: Option<String>) {
        if checkpoint.is_none() {
            return;
        }
        let checkpoint_owner = if self.is_gang(task.step) {
            task.step.task(0)
        } else {
            task
        };
        if let Some(state) = self.task_state_mut(checkpoint_owner) {
            if state.checkpoint != checkpoint {
                state.checkpoint = checkpoint;
            }
        }
    }

    /// Releases the runs that the worker doesn't list and can no longer start.
    fn release_unlisted(
        &mut self,
        now: Instant,
        key: WorkerKey,
        sent_at: Instant,
        listed: &ListedRuns,
        out: &mut Vec<Action>,
    ) {
        let worker = &self.workers[key];
        let mut released = Vec::new();
        let mut vanished = Vec::new();
        for (task, run) in &worker.runs {
            if listed.contains(&(*task, run.run)) {
                continue;
            }
            match run.phase {
                RunPhase::Recovered => released.push((*task, "never begun")),
                RunPhase::Stopping {
                    accepted_at: Some(at),
                    ..
                } if at < sent_at => released.push((*task, "stopped before it began")),
                RunPhase::Running { since } if since < sent_at => vanished.push(*task),
                _ => {}
            }
        }
        for (task, reason) in released {
            if self.placements.get(&task) == Some(&key) {
                self.release_run(now, task, DecisionKind::NotStarted, reason, out);
            } else {
                self.remove_run(key, task);
            }
        }
        for task in vanished {
            self.stop_task(now, task, "vanished", out);
        }
    }

    /// Releases the runs of unresponsive workers whose leases have certainly expired.
    pub(crate) fn release_expired_runs(&mut self, now: Instant, out: &mut Vec<Action>) {
        let expired: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| {
                let is_unresponsive = !worker.is_reachable || !worker.is_synced;
                is_unresponsive
                    && !worker.is_gone
                    && !worker.runs.is_empty()
                    && now >= worker.leased_until
            })
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.record_unresponsive(now, key, out);
            self.release_all_runs(now, key, "lease over", out);
            self.workers[key].is_synced = false;
        }
    }

    /// Returns the role of a task's runs.
    pub(crate) fn role_of(&self, task: TaskKey) -> RunRole {
        let spec = self.step_spec(task.step);
        spec.map_or(RunRole::Plain, RunRole::of)
    }

    pub(crate) fn demand_of(&self, task: TaskKey) -> Option<Resources> {
        let spec = self.step_spec(task.step)?;
        Some(crate::placement::counted_demand(spec))
    }
}

fn listed_runs(running: &[RunningRun], ended: &[EndedRun]) -> ListedRuns {
    let mut listed = ListedRuns::new();
    listed.extend(ended.iter().map(|end| (end.task, end.run)));
    listed.extend(running.iter().map(|run| (run.task, run.run)));
    listed
}

/// Returns the timeout of the next poll after `unanswered_polls_count` consecutive
/// unanswered polls.
pub fn poll_timeout(unanswered_polls_count: u32) -> Duration {
    let doublings = unanswered_polls_count.saturating_sub(UNRESPONSIVE_AFTER_COUNT - 1);
    POLL_TIMEOUT.times(1 << doublings.min(TIMEOUT_DOUBLINGS_COUNT))
}

/// Returns whether a poll of the worker is due; `interval_during_commit` is the time
/// between two polls while an end waits for its commit.
fn is_poll_due(worker: &Worker, now: Instant, interval_during_commit: Duration) -> bool {
    if worker.is_gone || worker.is_poll_open || worker.facts.address.is_empty() {
        return false;
    }
    if now < worker.next_poll_at {
        return false;
    }
    if worker.unconfirmed_since.is_some() {
        return true;
    }
    let has_runs = worker
        .runs
        .values()
        .any(|run| run.phase != RunPhase::Recording);
    if !worker.uncommitted_ends.is_empty() {
        return has_runs && now.since(worker.lease_granted_at) >= interval_during_commit;
    }
    has_runs
        || worker.has_new_ack()
        || worker.has_start_at_risk(now)
        || worker.has_unknown_run
        || (worker.is_listed && worker.has_service && (!worker.is_synced || !worker.is_reachable))
}
