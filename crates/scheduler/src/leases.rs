//! Workers' leases and what they list: renewed, taken in, given up.

use crate::decision::{Decision, DecisionKind};
use crate::event::{Action, EndedRun, HoldReply, RunningRun};
use crate::interference::RunRole;
use crate::job::TaskKey;
use crate::life::LifeStart;
use crate::lives::ListedRuns;
use crate::scheduler::Scheduler;
use crate::state::{Phase, TaskStatus};
use crate::worker::{lease_bound, ClockReading, Run, RunPhase, Worker, WorkerKey};
use ospreywing_types::{Duration, Instant, Resources};

/// Renewals in a row without an answer after which a worker is taken for silent.
/// A single answer may be lost while the worker is well.
const SILENT_AFTER_COUNT: u32 = 2;
/// How long the answer to a look may take beyond the time that it waits: an
/// answer takes some milliseconds, and a look that is sent twice does no harm.
const LOOK_PATIENCE: Duration = Duration::from_ms(250);
/// How often that is doubled, once for each further look at a silent worker:
/// where this node or a link is slow, each answer would come too late for a
/// limit that stays the same.
const PATIENCE_DOUBLINGS_COUNT: u32 = 2;
/// For how long after a lost answer renewals wait less: about as long as a few
/// rounds of looks at all workers take.
const LOSSY_PERIOD: Duration = Duration::from_ms(3000);
/// How long a renewal then waits at the worker.
const LOSSY_HOLD_WAIT: Duration = Duration::from_ms(250);
/// The renewals that a leader sends in a second, besides those that ends cut
/// short: with more busy workers each renewal waits longer. A judgement: 1,100
/// workers that are asked each 0.9 s are 1,200 calls a second of a leader on half a
/// core, beside as many starts.
const RENEWALS_PER_S: u64 = 500;
/// The same while answers are lost.
const LOSSY_RENEWALS_PER_S: u64 = 1000;
/// The time until a worker that did not answer is asked again.
const SILENT_RETRY: Duration = Duration::from_ms(250);

impl Worker {
    /// Notes which runs a look did not find that was sent after their starts had gone
    /// unanswered.
    fn note_absent_runs(&mut self, sent_at: Instant, listed: &ListedRuns) {
        for (task, run) in &mut self.runs {
            if run.was_unknown_at(sent_at) && !listed.contains(&(*task, run.run)) {
                run.was_absent = true;
            }
        }
    }
}

impl Scheduler {
    /// Returns how long leases are granted now.
    pub(crate) fn grant_length(&self) -> Duration {
        if self.has_store_trouble {
            self.config.long_grant
        } else {
            self.config.grant
        }
    }

    /// Sends the renewals that are due.
    pub(crate) fn renew_leases(&mut self, now: Instant, out: &mut Vec<Action>) {
        let length = self.grant_length();
        let busy = self.workers.values().filter(|w| !w.runs.is_empty());
        let wait = self.hold_wait(now, busy.count());
        let pace_beside_commit = self.config.hold_pace_beside_commit;
        for (key, worker) in self.workers.iter_mut() {
            if !is_hold_due(worker, now, pace_beside_commit) {
                continue;
            }
            worker.is_hold_open = true;
            if worker.unanswered_holds_count == 0 {
                self.retries.looks.note_first();
            }
            // A silent worker is only asked: a grant that it may have received
            // would keep its runs from ever being given up.
            let is_granted = worker.is_synced && worker.unanswered_holds_count == 0;
            // A renewal would not wait while an end is listed.
            let has_listed_end = !worker.uncommitted_ends.is_empty();
            let is_quick = !is_granted
                || worker.runs.is_empty()
                || has_listed_end
                || worker.doubted_at.is_some();
            let until_ms = if is_granted {
                worker.grant(now, length)
            } else {
                None
            };
            out.push(Action::Hold {
                to: worker.endpoint(key),
                until_ms,
                last_seen: worker.acked_end,
                wait: if is_quick { Duration::ZERO } else { wait },
                patience: look_patience(worker.unanswered_holds_count),
            });
        }
    }

    /// Returns how long a renewal waits for an end. What a worker lists is not
    /// learned while an answer is missing, so where answers were lost lately
    /// the waits are short. They are longer where many workers are busy.
    fn hold_wait(&self, now: Instant, busy_count: usize) -> Duration {
        let is_lossy = self
            .last_lost_hold_at
            .is_some_and(|at| now.since(at) < LOSSY_PERIOD);
        let (least, per_s) = if is_lossy {
            (LOSSY_HOLD_WAIT, LOSSY_RENEWALS_PER_S)
        } else {
            (self.config.hold_wait, RENEWALS_PER_S)
        };
        let affordable = Duration::from_ms(busy_count as u64 * 1000 / per_s);
        affordable.clamp(least, self.config.hold_wait_limit)
    }

    pub(crate) fn on_hold_answered(
        &mut self,
        now: Instant,
        key: WorkerKey,
        sent_at: Instant,
        reply: HoldReply,
        out: &mut Vec<Action>,
    ) {
        let worker = &mut self.workers[key];
        worker.is_hold_open = false;
        worker.next_hold_at = now + self.config.hold_pace;
        match reply {
            HoldReply::Listed {
                life_start,
                clock_ms,
                running,
                ended,
            } => {
                let is_other = worker.is_other_life(life_start);
                if is_other && worker.is_gone {
                    return;
                }
                let key = if is_other {
                    let listed = listed_runs(&running, &ended);
                    self.begin_next_life(now, key, life_start, sent_at, &listed, out)
                } else {
                    self.retract_silence(now, key, life_start, out);
                    key
                };
                self.note_answer(now, key, sent_at, life_start, clock_ms);
                self.take_lists(now, key, sent_at, running, ended, out);
            }
            HoldReply::Fenced => out.push(Action::StepDown),
            HoldReply::OtherLife => self.mark_gone(now, key, out),
            HoldReply::Unanswered => self.note_unanswered_hold(now, key, out),
        }
    }

    fn note_answer(
        &mut self,
        now: Instant,
        key: WorkerKey,
        sent_at: Instant,
        life_start: Option<LifeStart>,
        clock_ms: u64,
    ) {
        let worker = &mut self.workers[key];
        worker.note_life(life_start);
        worker.clock = Some(ClockReading {
            clock_ms,
            read_at: now,
        });
        worker.unanswered_holds_count = 0;
        worker.answered_at = now;
        worker.end_lag = sent_at.since(worker.lists_at);
        worker.lists_at = now;
        // A look that was on its way before tells nothing of what came since.
        worker.doubted_at = worker.doubted_at.filter(|since| sent_at < *since);
        if !core::mem::replace(&mut worker.is_reachable, true) {
            worker.next_hold_at = now;
        }
    }

    /// Asks again at once after the first renewal without an answer, as far as the budget
    /// allows; after a further one the worker is silent.
    fn note_unanswered_hold(&mut self, now: Instant, key: WorkerKey, out: &mut Vec<Action>) {
        let worker = &mut self.workers[key];
        worker.unanswered_holds_count += 1;
        if worker.unanswered_holds_count < SILENT_AFTER_COUNT {
            let is_retried = self.retries.looks.spend();
            worker.next_hold_at = if is_retried { now } else { now + SILENT_RETRY };
            self.next_renewal_at = now;
            self.last_lost_hold_at = Some(now);
            return;
        }
        worker.next_hold_at = now + SILENT_RETRY;
        if core::mem::replace(&mut worker.is_reachable, false) {
            let line = Decision::new(DecisionKind::WorkerSilent, "renewal unanswered")
                .with_worker(&worker.facts.id)
                .with_figure(worker.runs.len() as u64);
            out.push(Action::Log(line));
        }
    }

    fn take_lists(
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
            self.is_place_due = true;
            self.bound_inherited_lease(now, key);
        }
        let is_whole = ended.len() < self.config.listed_ends_limit_count;
        let listed = listed_runs(&running, &ended);
        // What a worker may forget is told by number.
        ended.sort_by_key(|end| end.number);
        for end in ended {
            self.take_end(now, key, end, out);
        }
        self.record_lost_lives(now, key, &listed, out);
        self.workers[key].has_unknown_run = false;
        for run in running {
            self.take_running(now, key, run, out);
        }
        if is_whole {
            self.workers[key].note_absent_runs(sent_at, &listed);
            self.release_unlisted(now, key, sent_at, &listed, out);
        }
    }

    /// Bounds what earlier leaders granted to a worker that has answered under
    /// this term's fence: it takes nothing from them any more.
    fn bound_inherited_lease(&mut self, now: Instant, key: WorkerKey) {
        let bound = lease_bound(now, self.config.grant_limit);
        let worker = &mut self.workers[key];
        worker.leased_until = worker.leased_until.min(bound);
    }

    /// Takes in a run that a worker lists as alive.
    fn take_running(
        &mut self,
        now: Instant,
        key: WorkerKey,
        listed: RunningRun,
        out: &mut Vec<Action>,
    ) {
        let task = listed.task;
        if self.unreadable.contains(&task.step.job) {
            // How much room it takes is not known.
            self.workers[key].has_unknown_run = true;
            return;
        }
        self.mark_begun(task.step.job);
        let worker = &mut self.workers[key];
        let to = worker.endpoint(key);
        if let Some(run) = worker.runs.get_mut(&task) {
            if run.run == listed.run {
                run.note_progress(now, listed.progress_percent);
                if matches!(run.phase, RunPhase::Inherited) {
                    run.phase = RunPhase::Running { since: now };
                }
                run.mark_begun(now);
                let begun_at = run.begun_at.unwrap_or(now);
                self.clear_suspect(now, task, begun_at);
                self.take_checkpoint(task, listed.checkpoint);
                if self.is_unwanted(task) {
                    // An earlier leader may not have lived to send the stop.
                    self.stop_task(now, task, "job ended", out);
                }
                return;
            }
        }
        // The run is no run of ours: it is stopped, and its room counts until then.
        let demand = self.demand_of(task);
        match demand {
            Some(demand) if !self.workers[key].runs.contains_key(&task) => {
                let run = Run {
                    phase: RunPhase::Stopping {
                        sent_at: now,
                        taken_at: None,
                    },
                    progress_percent: listed.progress_percent,
                    charge: self.charge_of(task.step),
                    ..Run::new(listed.run, demand, now)
                };
                self.add_foreign_run(key, task, run);
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

    /// Returns whether a task's runs serve nobody: its job was cancelled or has
    /// failed, or the task is done. Members of a gang that is done end by themselves.
    fn is_unwanted(&self, task: TaskKey) -> bool {
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

    /// Keeps a run's newest checkpoint; it goes to the store with the job's
    /// next change.
    fn take_checkpoint(&mut self, task: TaskKey, checkpoint: Option<String>) {
        if checkpoint.is_none() {
            return;
        }
        let keeper = if self.is_gang(task.step) {
            task.step.task(0)
        } else {
            task
        };
        if let Some(state) = self.task_state_mut(keeper) {
            if state.checkpoint != checkpoint {
                state.checkpoint = checkpoint;
            }
        }
    }

    /// Takes back runs that the worker neither lists nor can begin any more.
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
                RunPhase::Inherited => released.push((*task, "never begun")),
                RunPhase::Stopping {
                    taken_at: Some(at), ..
                } if at < sent_at => released.push((*task, "stopped before it began")),
                RunPhase::Running { since } if since < sent_at => vanished.push(*task),
                _ => {}
            }
        }
        for (task, reason) in released {
            if self.placements.get(&task) == Some(&key) {
                self.release(now, task, DecisionKind::NotStarted, reason, out);
            } else {
                self.remove_run(key, task);
            }
        }
        for task in vanished {
            self.stop_task(now, task, "vanished", out);
        }
    }

    /// Gives up the runs of silent workers whose leases are certainly over.
    pub(crate) fn give_up_lapsed(&mut self, now: Instant, out: &mut Vec<Action>) {
        let lapsed: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| {
                let is_silent = !worker.is_reachable || !worker.is_synced;
                is_silent
                    && !worker.is_gone
                    && !worker.runs.is_empty()
                    && now >= worker.leased_until
            })
            .map(|(key, _)| key)
            .collect();
        for key in lapsed {
            self.record_silence(now, key, out);
            self.release_all(now, key, "lease over", out);
            self.workers[key].is_synced = false;
        }
    }

    /// Returns the role of a task's runs.
    pub(crate) fn role_of(&self, task: TaskKey) -> RunRole {
        let job = self.jobs.get(&task.step.job);
        let spec = job.and_then(|job| job.record.spec.steps.get(task.step.step as usize));
        spec.map_or(RunRole::Plain, RunRole::of)
    }

    pub(crate) fn demand_of(&self, task: TaskKey) -> Option<Resources> {
        let job = self.jobs.get(&task.step.job)?;
        let spec = job.record.spec.steps.get(task.step.step as usize)?;
        Some(crate::placing::counted_demand(spec))
    }
}

fn listed_runs(running: &[RunningRun], ended: &[EndedRun]) -> ListedRuns {
    let mut listed = ListedRuns::new();
    listed.extend(ended.iter().map(|end| (end.task, end.run)));
    listed.extend(running.iter().map(|run| (run.task, run.run)));
    listed
}

/// Returns how long the next answer may take, after so many looks in a row
/// without one.
pub fn look_patience(unanswered_holds_count: u32) -> Duration {
    let doublings = unanswered_holds_count.saturating_sub(SILENT_AFTER_COUNT - 1);
    LOOK_PATIENCE.times(1 << doublings.min(PATIENCE_DOUBLINGS_COUNT))
}

/// Returns whether a worker is to be asked; `pace_beside_commit` is the time
/// between two renewals while an end waits for its commit.
fn is_hold_due(worker: &Worker, now: Instant, pace_beside_commit: Duration) -> bool {
    if worker.is_gone || worker.is_hold_open || worker.facts.address.is_empty() {
        return false;
    }
    if now < worker.next_hold_at {
        return false;
    }
    if worker.doubted_at.is_some() {
        return true;
    }
    let has_runs = worker
        .runs
        .values()
        .any(|run| run.phase != RunPhase::Recording);
    if !worker.uncommitted_ends.is_empty() {
        return has_runs && now.since(worker.granted_at) >= pace_beside_commit;
    }
    let has_news = worker.ackable_end() > worker.acked_end;
    has_runs
        || has_news
        || worker.has_unknown_run
        || (worker.is_listed && worker.has_service && (!worker.is_synced || !worker.is_reachable))
}
