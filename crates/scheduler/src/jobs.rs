//! The lifecycle of jobs: acceptance, rounds, cancellation, completion and removal.

use crate::commits::Effect;
use crate::customers::CustomerKey;
use crate::decision::{Decision, DecisionKind};
use crate::event::Action;
use crate::job::{JobId, JobRecord, StepKey, StepSpec, TaskKey};
use crate::overloads::JobDemand;
use crate::placement::counted_demand;
use crate::resource_totals::ResourceTotals;
use crate::rounds::unstarted_rounds_limit_count;
use crate::scheduler::Scheduler;
use crate::share_accounts::ServiceKey;
use crate::state::{JobState, Phase, RoundState, TaskState, TaskStatus};
use crate::worker::RunPhase;
use ospreywing_types::{Duration, Instant};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A job in memory.
pub(crate) struct Job {
    pub(crate) record: Arc<JobRecord>,
    pub(crate) payload: Arc<str>,
    /// An estimate of the memory that it takes up; 0 once only its outcome is kept.
    pub(crate) memory_bytes: usize,
    pub(crate) state: JobState,
    /// The number of changes of the state.
    pub(crate) version: u64,
    /// Whether the policy in the state has changed since the last write of the state.
    pub(crate) is_policy_unsaved: bool,
    /// Whether the job waits to be committed.
    pub(crate) is_dirty: bool,
    /// Whether a transaction in flight contains the job.
    pub(crate) is_in_flight: bool,
    /// Effects that take place once a version of the state is committed.
    pub(crate) effects: Vec<(u64, Effect)>,
    /// Whether a run of the job has certainly begun.
    pub(crate) has_begun: bool,
    /// The phase in the store.
    pub(crate) committed_phase: Phase,
    pub(crate) ended_at: Option<Instant>,
    /// The priority of its queue, and its number in the order of acceptance.
    pub(crate) rank: (u32, u64),
    /// The customer that submitted it.
    pub(crate) customer: Option<CustomerKey>,
    /// The service in whose fair-share account the job is, or was last, open.
    pub(crate) service: Option<ServiceKey>,
    /// Whether its customer exceeded its rate with this job.
    pub(crate) is_beyond_rate: bool,
    /// Whether it has been logged that the customer's limit holds back some of its work.
    pub(crate) is_held_by_limit: bool,
    /// The actual duration of the tasks of finished steps, where it was learned.
    pub(crate) finished_step_durations: BTreeMap<StepKey, Duration>,
    /// The time from acceptance within which the job should complete, by the durations of its
    /// steps.
    pub(crate) objective: Duration,
    /// The expected remaining duration of its critical path, in milliseconds.
    pub(crate) remaining_ms: u64,
    /// The lower bound of the remaining duration of its critical path, in milliseconds.
    pub(crate) min_remaining_ms: u64,
    /// When the job was accepted, on this node's clock.
    pub(crate) accepted_at: Instant,
    /// Until when those of its tasks that may have crashed a worker wait for a worker of
    /// their own.
    pub(crate) probation_until: Instant,
    /// The last run of each gang that was stopped so that it saves a checkpoint. This is newer
    /// than a checkpoint of a member of the same run that ended otherwise.
    pub(crate) gang_stops: BTreeMap<StepKey, u32>,
    /// The steps that are ready to start, if cached.
    pub(crate) ready: Option<Vec<StepKey>>,
    /// The demand of the waiting tasks of ready steps, as last added to the fair-share
    /// account.
    pub(crate) ready_demand: ResourceTotals,
    /// The work and usage of its tasks, if cached.
    pub(crate) demand: Option<JobDemand>,
}

impl Job {
    pub(crate) fn new(record: JobRecord, state: JobState, accepted_at: Instant) -> Self {
        Self {
            payload: Arc::from(record.spec.payload.as_str()),
            memory_bytes: record.spec.memory_bytes(),
            record: Arc::new(record),
            version: 0,
            is_policy_unsaved: false,
            is_dirty: false,
            is_in_flight: false,
            effects: Vec::new(),
            has_begun: state.has_certainly_begun(),
            committed_phase: state.phase,
            ended_at: None,
            rank: (0, 0),
            customer: None,
            service: None,
            is_beyond_rate: false,
            is_held_by_limit: false,
            accepted_at,
            finished_step_durations: BTreeMap::new(),
            objective: Duration::ZERO,
            remaining_ms: 0,
            min_remaining_ms: 0,
            probation_until: Instant::default(),
            gang_stops: BTreeMap::new(),
            ready: None,
            ready_demand: ResourceTotals::default(),
            demand: None,
            state,
        }
    }

    /// Drops everything but the outcome, once no run of the job can be alive.
    pub(crate) fn retain_outcome_only(&mut self) {
        self.record = Arc::new(JobRecord {
            queue: self.record.queue.clone(),
            customer: self.record.customer.clone(),
            ..JobRecord::default()
        });
        self.payload = Arc::from("");
        self.memory_bytes = 0;
        self.state.rounds = Vec::new();
        self.state.crashes = Vec::new();
        self.state.policy = None;
        self.finished_step_durations.clear();
        self.clear_derived();
    }

    /// Clears the values that are derived from the state, which has changed.
    pub(crate) fn clear_derived(&mut self) {
        self.ready = None;
        self.demand = None;
    }

    /// Returns whether the job has an objective that it can miss: it has no perpetual work
    /// and no scheduled rounds.
    pub(crate) fn has_objective(&self) -> bool {
        let spec = &self.record.spec;
        spec.schedule.is_none() && !spec.steps.iter().any(|step| step.is_perpetual)
    }

    /// Returns whether the job's next commit removes it.
    pub(crate) fn is_forgotten(&self) -> bool {
        self.effects.iter().any(|(_, e)| *e == Effect::Forget)
    }

    /// Returns the steps that have a waiting task and whose dependencies are done, of the rounds
    /// up to the limit of unstarted ones.
    pub(crate) fn ready_steps(&mut self, id: JobId) -> Vec<StepKey> {
        if let Some(ready) = &self.ready {
            return ready.clone();
        }
        let mut ready = Vec::new();
        if self.state.phase == Phase::Active {
            // An earlier version of the leader may have begun any number of rounds.
            let limit_count = unstarted_rounds_limit_count(&self.record);
            let mut unstarted_count = 0;
            for round in &self.state.rounds {
                let is_unstarted = round.is_unstarted();
                unstarted_count += usize::from(is_unstarted);
                if !is_unstarted || unstarted_count <= limit_count {
                    self.push_ready_steps(id, round, &mut ready);
                }
            }
        }
        self.ready = Some(ready.clone());
        ready
    }

    /// Returns the demand of the waiting tasks of all ready steps.
    pub(crate) fn current_ready_demand(&mut self, id: JobId) -> ResourceTotals {
        let ready = self.ready_steps(id);
        self.waiting_demand(&ready)
    }

    /// Returns the demand of the waiting tasks of `steps`.
    pub(crate) fn waiting_demand(&self, steps: &[StepKey]) -> ResourceTotals {
        let mut demand = ResourceTotals::default();
        for key in steps {
            let spec = self.record.spec.steps.get(key.step as usize);
            let round = self.state.round(key.round);
            let step = round.and_then(|round| round.steps.get(key.step as usize));
            if let Some((spec, step)) = spec.zip(step) {
                let is_waiting = |task: &&TaskState| task.status == TaskStatus::Waiting;
                let waiting_count = step.tasks.iter().filter(is_waiting).count();
                demand.add(&counted_demand(spec), waiting_count);
            }
        }
        demand
    }

    /// Returns whether any step is ready.
    pub(crate) fn has_ready_step(&mut self, id: JobId) -> bool {
        match &self.ready {
            Some(ready) => !ready.is_empty(),
            None => !self.ready_steps(id).is_empty(),
        }
    }

    /// Returns whether all tasks of a gang are waiting; always true for other steps, whose
    /// tasks start one by one.
    pub(crate) fn is_whole_step_waiting(&self, step: StepKey) -> bool {
        let spec = self.record.spec.steps.get(step.step as usize);
        if spec.is_none_or(|spec| !spec.is_gang) {
            return true;
        }
        let round = self.state.round(step.round);
        let state = round.and_then(|round| round.steps.get(step.step as usize));
        let is_waiting = |task: &TaskState| task.status == TaskStatus::Waiting;
        state.is_some_and(|state| state.tasks.iter().all(is_waiting))
    }

    fn push_ready_steps(&self, id: JobId, round: &RoundState, ready: &mut Vec<StepKey>) {
        for (number, spec) in self.record.spec.steps.iter().enumerate() {
            let is_done = |step: &u32| round.steps.get(*step as usize).is_none_or(|s| s.is_done());
            let has_waiting = round.steps.get(number).is_some_and(|step| {
                step.tasks
                    .iter()
                    .any(|task| task.status == TaskStatus::Waiting)
            });
            if has_waiting && spec.depends_on.iter().all(is_done) {
                ready.push(StepKey {
                    job: id,
                    round: round.number,
                    step: number as u32,
                });
            }
        }
    }
}

impl Scheduler {
    pub(crate) fn accept_job(
        &mut self,
        now: Instant,
        id: JobId,
        record: JobRecord,
        out: &mut Vec<Action>,
    ) {
        if self.jobs.contains_key(&id) || self.unreadable.contains(&id) {
            return;
        }
        self.insert_job(now, id, record, JobState::default());
        self.record_shapes(now, id);
        if let Some(job) = self.jobs.get(&id) {
            let line = Decision::new(DecisionKind::JobAccepted, "accepted")
                .with_job(id)
                .with_queue(&job.record.queue)
                .with_figure(self.estimated_objective(job).as_ms());
            out.push(Action::Log(line));
        }
        self.apply_early_cancel(now, id, out);
    }

    /// Adds a job to the tables; begins the first round if it is due.
    pub(crate) fn insert_job(
        &mut self,
        now: Instant,
        id: JobId,
        record: JobRecord,
        state: JobState,
    ) {
        let age = Duration::from_ms(self.wall_ms.saturating_sub(record.accepted_ms));
        let mut job = Job::new(record, state, now - age);
        job.update_policy(&self.configuration);
        job.rank = (job.queue(&self.configuration).priority, self.next_order);
        self.next_order += 1;
        if let Some(name) = &job.record.customer {
            let customer = self.accounts.key_or_insert(name);
            job.customer = Some(customer);
            if let Some(policy) = job.known_policy() {
                self.accounts.apply_policy(customer, policy);
            }
            job.is_beyond_rate = self.accounts.record_job(customer, job.accepted_at);
        }
        job.probation_until = now + self.config.crash_policy.probation_wait;
        if job.state.phase == Phase::Active {
            self.active.insert(job.rank, id);
            if job.record.spec.schedule.is_none() && job.state.next_round == 0 {
                job.state.rounds.push(RoundState::new(0, &job.record));
                job.state.next_round = 1;
            }
        }
        let is_active = job.state.phase == Phase::Active;
        self.jobs.insert(id, job);
        self.save_policy_if_unconfigured(id);
        self.update_remaining(id);
        if is_active {
            self.open_in_share_account(id);
        }
        self.is_cycle_due = true;
        self.begin_due_rounds_of(id);
    }

    /// Cancels a job, or keeps the cancel until the job is accepted.
    pub(crate) fn cancel_job(&mut self, now: Instant, id: JobId, out: &mut Vec<Action>) {
        if self.jobs.contains_key(&id) {
            self.end_job(now, id, Phase::Canceled, "cancelled", out);
        } else {
            self.keep_early_cancel(now, id, out);
        }
    }

    /// Ends a job with an outcome, unless it has one already.
    pub(crate) fn end_job(
        &mut self,
        now: Instant,
        id: JobId,
        phase: Phase,
        reason: &'static str,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.state.phase != Phase::Active {
            return;
        }
        job.state.phase = phase;
        job.ended_at = Some(now);
        job.clear_derived();
        let rank = job.rank;
        self.active.remove(&rank);
        self.close_in_share_account(id);
        let line = Decision::new(DecisionKind::JobEnded, reason).with_job(id);
        out.push(Action::Log(line));
        self.unsettled.insert(id);
        self.queue_commit(id, Some(Effect::PublishPhase(phase)));
        if phase != Phase::Complete {
            // If a gang is done, its other members end by themselves.
            self.stop_job(now, id, out);
        }
        for step in self.steps_of(id) {
            self.remove_advice(step);
        }
        self.waits.remove_job(id);
        self.failing_steps.remove_job(id);
        self.release_reservations_of_job(id);
        // The capacity that the job used or reserved may be free for others now.
        self.is_cycle_due = true;
    }

    /// Returns the definition of a step of a known job.
    pub(crate) fn step_spec(&self, step: StepKey) -> Option<&StepSpec> {
        let job = self.jobs.get(&step.job)?;
        job.record.spec.steps.get(step.step as usize)
    }

    /// Returns the steps of a job's rounds that have begun.
    fn steps_of(&self, id: JobId) -> Vec<StepKey> {
        let Some(job) = self.jobs.get(&id) else {
            return Vec::new();
        };
        let key = |round: &RoundState, step: usize| StepKey {
            job: id,
            round: round.number,
            step: step as u32,
        };
        let rounds = job.state.rounds.iter();
        let steps = rounds.flat_map(|round| (0..round.steps.len()).map(move |it| key(round, it)));
        steps.collect()
    }

    /// Stops every run of a job.
    fn stop_job(&mut self, now: Instant, id: JobId, out: &mut Vec<Action>) {
        for task in self.placed_tasks(id) {
            self.stop_task(now, task, "job ended", out);
        }
    }

    /// Returns the tasks of a job that have a run.
    pub(crate) fn placed_tasks(&self, id: JobId) -> Vec<TaskKey> {
        let Some(job) = self.jobs.get(&id) else {
            return Vec::new();
        };
        let mut tasks = Vec::new();
        for round in &job.state.rounds {
            for (number, step) in round.steps.iter().enumerate() {
                let key = StepKey {
                    job: id,
                    round: round.number,
                    step: number as u32,
                };
                let indices = 0..step.tasks.len() as u32;
                tasks.extend(indices.map(|index| key.task(index)));
            }
        }
        tasks.retain(|task| self.placements.contains_key(task));
        tasks
    }

    /// Returns whether a run of the job may be alive.
    pub(crate) fn has_runs(&self, id: JobId) -> bool {
        !self.placed_tasks(id).is_empty()
    }

    /// Ends the job if all rounds are done.
    pub(crate) fn complete_if_done(&mut self, now: Instant, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let rounds_count = job
            .record
            .spec
            .schedule
            .map_or(1, |schedule| schedule.rounds_count);
        let is_over = job.state.next_round >= rounds_count;
        // The last round of a finished job stays until its members' ends have been reported.
        if job.state.rounds.len() > 1 {
            job.state.rounds.retain(|round| !round.is_done());
        }
        if is_over && job.state.rounds.iter().all(RoundState::is_done) {
            self.end_job(now, id, Phase::Complete, "complete", out);
        }
    }

    /// Records that a task of the job has begun.
    pub(crate) fn mark_begun(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.has_begun = true;
        }
    }

    /// Queues the removal of jobs whose outcome has been kept for the retention time.
    pub(crate) fn remove_expired_jobs(&mut self, now: Instant) {
        let retention = self.config.retention;
        let is_expired = |job: &Job| {
            let ended = job.ended_at.is_some_and(|at| now.since(at) > retention);
            ended && !job.is_dirty && job.effects.is_empty()
        };
        let expired: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| is_expired(job))
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            if !self.has_runs(id) {
                self.queue_commit(id, Some(Effect::Forget));
            }
        }
    }

    /// Returns a task's entry in its job's state.
    pub(crate) fn task_state_mut(&mut self, task: TaskKey) -> Option<&mut crate::state::TaskState> {
        let job = self.jobs.get_mut(&task.step.job)?;
        let round = job.state.round_mut(task.step.round)?;
        let step = round.steps.get_mut(task.step.step as usize)?;
        step.tasks.get_mut(task.index as usize)
    }

    /// Stops a task's run, or unplaces the task if its start hasn't been sent.
    pub(crate) fn stop_task(
        &mut self,
        now: Instant,
        task: TaskKey,
        reason: &'static str,
        out: &mut Vec<Action>,
    ) {
        let Some(&key) = self.placements.get(&task) else {
            return;
        };
        let worker = &mut self.workers[key];
        let Some(run) = worker.runs.get_mut(&task) else {
            return;
        };
        match run.phase {
            RunPhase::Recording => self.unplace(task),
            RunPhase::Stopping { .. } => {}
            // It isn't known whether the run is there; it is stopped once the worker lists
            // it.
            RunPhase::Recovered => {}
            RunPhase::Starting | RunPhase::Running { .. } => {
                run.phase = RunPhase::Stopping {
                    sent_at: now,
                    accepted_at: None,
                };
                let number = run.run;
                let line = Decision::new(DecisionKind::StopSent, reason)
                    .with_run(task, number)
                    .with_worker(&worker.facts.id);
                out.push(Action::Log(line));
                out.push(Action::Stop {
                    to: worker.endpoint(key),
                    task,
                    run: number,
                });
            }
        }
    }
}
