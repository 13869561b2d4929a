//! Jobs: taken, cancelled, brought to their outcome, forgotten.

use crate::commits::Effect;
use crate::customers::CustomerKey;
use crate::decision::{Decision, DecisionKind};
use crate::event::Action;
use crate::job::{JobId, JobRecord, StepKey, TaskKey};
use crate::overloads::JobDemand;
use crate::placing::counted_demand;
use crate::resource_totals::ResourceTotals;
use crate::scheduler::Scheduler;
use crate::share_accounts::ServiceKey;
use crate::state::{JobState, Phase, RoundState, TaskState, TaskStatus};
use crate::worker::RunPhase;
use ospreywing_types::{Duration, Instant};
use std::collections::BTreeMap;
use std::sync::Arc;

/// How often a task may fail where the queue is no longer configured.
const DEFAULT_ATTEMPTS_COUNT: u32 = 3;
/// The priority of a queue that is no longer configured.
const DEFAULT_PRIORITY: u32 = 9;

/// A job in memory.
pub(crate) struct Job {
    pub(crate) record: Arc<JobRecord>,
    pub(crate) payload: Arc<str>,
    pub(crate) state: JobState,
    /// Counts the changes of the state.
    pub(crate) version: u64,
    /// Whether the job waits to be committed.
    pub(crate) is_dirty: bool,
    /// Whether an open transaction carries the job.
    pub(crate) is_in_flight: bool,
    /// What waits for a version to be in the store.
    pub(crate) effects: Vec<(u64, Effect)>,
    pub(crate) has_begun: bool,
    /// The phase that is in the store.
    pub(crate) committed_phase: Phase,
    pub(crate) ended_at: Option<Instant>,
    pub(crate) rank: (u32, u64),
    /// Whose job it is.
    pub(crate) customer: Option<CustomerKey>,
    /// The service in whose accounts of shares it is open, or was.
    pub(crate) service: Option<ServiceKey>,
    /// Whether its customer had handed in more than its rate when it came.
    pub(crate) is_beyond_rate: bool,
    /// Whether it was told that work of it is held back by its customer's limit.
    pub(crate) is_held_by_limit: bool,
    /// What the tasks of steps took that are done, where that was learned.
    pub(crate) done_lengths: BTreeMap<StepKey, Duration>,
    /// The time within which the job should be done, by what its steps take.
    pub(crate) objective: Duration,
    /// How long what is left of its longest chain should take, in milliseconds.
    pub(crate) remaining_ms: u64,
    /// What of that is surely needed, in milliseconds.
    pub(crate) min_remaining_ms: u64,
    /// When the job was accepted, on this node's clock.
    pub(crate) accepted_at: Instant,
    /// Until when its tasks that may have crashed a worker wait for one of their own.
    pub(crate) probation_until: Instant,
    /// The runs of gangs that were stopped for a checkpoint, which is newer than what their
    /// members tell that ended otherwise.
    pub(crate) gang_stops: BTreeMap<StepKey, u32>,
    /// The steps that may be started, where they have been worked out.
    pub(crate) ready: Option<Vec<StepKey>>,
    /// What the waiting tasks of these took together when its service counted them last.
    pub(crate) ready_demand: ResourceTotals,
    /// What it needs, where that has been worked out.
    pub(crate) demand: Option<JobDemand>,
}

impl Job {
    pub(crate) fn new(
        record: JobRecord,
        state: JobState,
        rank: (u32, u64),
        accepted_at: Instant,
    ) -> Self {
        Self {
            payload: Arc::from(record.spec.payload.as_str()),
            record: Arc::new(record),
            version: 0,
            is_dirty: false,
            is_in_flight: false,
            effects: Vec::new(),
            has_begun: state.has_certainly_begun(),
            committed_phase: state.phase,
            ended_at: None,
            rank,
            customer: None,
            service: None,
            is_beyond_rate: false,
            is_held_by_limit: false,
            accepted_at,
            done_lengths: BTreeMap::new(),
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

    /// Drops what is of no use once the job has its outcome and no run of it
    /// can be alive.
    pub(crate) fn retain_outcome_only(&mut self) {
        self.record = Arc::new(JobRecord {
            queue: self.record.queue.clone(),
            customer: self.record.customer.clone(),
            ..JobRecord::default()
        });
        self.payload = Arc::from("");
        self.state.rounds = Vec::new();
        self.state.crashes = Vec::new();
        self.done_lengths.clear();
        self.clear_derived();
    }

    /// Forgets what was worked out from a state that has changed.
    pub(crate) fn clear_derived(&mut self) {
        self.ready = None;
        self.demand = None;
    }

    /// Returns whether the job has an objective that can be missed: no perpetual work, and no
    /// rounds at set times.
    pub(crate) fn has_objective(&self) -> bool {
        let spec = &self.record.spec;
        spec.schedule.is_none() && !spec.steps.iter().any(|step| step.is_perpetual)
    }

    /// Returns whether the job's next commit removes it.
    pub(crate) fn is_forgotten(&self) -> bool {
        self.effects.iter().any(|(_, e)| *e == Effect::Forget)
    }

    /// Returns the steps whose turn has come and that have a waiting task.
    pub(crate) fn ready_steps(&mut self, id: JobId) -> Vec<StepKey> {
        if let Some(ready) = &self.ready {
            return ready.clone();
        }
        let mut ready = Vec::new();
        if self.state.phase == Phase::Active {
            for round in &self.state.rounds {
                self.push_ready_steps(id, round, &mut ready);
            }
        }
        self.ready = Some(ready.clone());
        ready
    }

    /// Returns what the waiting tasks take whose turn has come.
    pub(crate) fn current_ready_demand(&mut self, id: JobId) -> ResourceTotals {
        let ready = self.ready_steps(id);
        self.waiting_demand(&ready)
    }

    /// Returns what the waiting tasks of steps take together.
    pub(crate) fn waiting_demand(&self, steps: &[StepKey]) -> ResourceTotals {
        let mut room = ResourceTotals::default();
        for key in steps {
            let spec = self.record.spec.steps.get(key.step as usize);
            let round = self.state.round(key.round);
            let step = round.and_then(|round| round.steps.get(key.step as usize));
            if let Some((spec, step)) = spec.zip(step) {
                let is_waiting = |task: &&TaskState| task.status == TaskStatus::Waiting;
                let waiting_count = step.tasks.iter().filter(is_waiting).count();
                room.add(&counted_demand(spec), waiting_count);
            }
        }
        room
    }

    /// Returns whether a step's turn has come and it has a waiting task.
    pub(crate) fn has_ready_step(&mut self, id: JobId) -> bool {
        match &self.ready {
            Some(ready) => !ready.is_empty(),
            None => !self.ready_steps(id).is_empty(),
        }
    }

    /// Returns whether no run of a step's tasks can be alive and none is done, or the tasks
    /// start one by one.
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
        let line = Decision::new(DecisionKind::JobTaken, "accepted")
            .with_job(id)
            .with_queue(&record.queue)
            .with_figure(self.estimated_objective(&record).as_ms());
        out.push(Action::Log(line));
        self.note_shapes(now, &record);
        self.insert_job(now, id, record, JobState::default());
    }

    /// Adds a job to the tables, with its first round where that is due.
    pub(crate) fn insert_job(
        &mut self,
        now: Instant,
        id: JobId,
        record: JobRecord,
        state: JobState,
    ) {
        let priority = self.configuration.queue(&record.queue);
        let priority = priority.map_or(DEFAULT_PRIORITY, |queue| queue.priority);
        let rank = (priority, self.next_order);
        self.next_order += 1;
        let age = Duration::from_ms(self.wall_ms.saturating_sub(record.accepted_ms));
        let mut job = Job::new(record, state, rank, now - age);
        if let Some(name) = &job.record.customer {
            let customer = self.accounts.key_or_insert(name);
            job.customer = Some(customer);
            job.is_beyond_rate = self.accounts.record_job(customer, job.accepted_at);
        }
        job.probation_until = now + self.config.crash_policy.trial_wait;
        if job.state.phase == Phase::Active {
            self.active.insert(rank, id);
            if job.record.spec.schedule.is_some() {
                self.scheduled.push(id);
            } else if job.state.next_round == 0 {
                job.state.rounds.push(RoundState::new(0, &job.record));
                job.state.next_round = 1;
            }
        }
        let is_active = job.state.phase == Phase::Active;
        self.jobs.insert(id, job);
        self.update_remaining(id);
        if is_active {
            self.open_in_share_account(id);
        }
        self.is_place_due = true;
        let wall_ms = self.wall_ms;
        self.begin_due_rounds(wall_ms);
    }

    pub(crate) fn begin_due_rounds(&mut self, wall_ms: u64) {
        self.wall_ms = wall_ms;
        let scheduled = core::mem::take(&mut self.scheduled);
        for id in scheduled {
            if self.begin_due_rounds_of(id, wall_ms) {
                self.scheduled.push(id);
            }
        }
    }

    /// Returns whether the job has rounds left to begin.
    fn begin_due_rounds_of(&mut self, id: JobId, wall_ms: u64) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        let Some(schedule) = job.record.spec.schedule else {
            return false;
        };
        if job.state.phase != Phase::Active {
            return false;
        }
        let due_ms = |round: u32| schedule.first_due_ms + u64::from(round) * schedule.interval_ms;
        while job.state.next_round < schedule.rounds_count
            && due_ms(job.state.next_round) <= wall_ms
        {
            let round = RoundState::new(job.state.next_round, &job.record);
            job.state.rounds.push(round);
            job.state.next_round += 1;
            job.clear_derived();
            self.stale_ready_demand.insert(id);
            self.is_place_due = true;
        }
        job.state.next_round < schedule.rounds_count
    }

    pub(crate) fn cancel_job(&mut self, now: Instant, id: JobId, out: &mut Vec<Action>) {
        self.end_job(now, id, Phase::Canceled, "cancelled", out);
    }

    /// Brings a job to its outcome, once.
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
        self.touch(id, Some(Effect::Show(phase)));
        if phase != Phase::Complete {
            // The other members of a gang that is done end by themselves.
            self.stop_job(now, id, out);
        }
        for step in self.steps_of(id) {
            self.forget_advice(step);
        }
        self.waits.forget_job(id);
        self.release_room_of(id);
        // What it took or kept may be room for others now.
        self.is_place_due = true;
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

    /// Ends the job where every round is done.
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
        // The rounds of a finished job stay until its members have been heard of.
        if job.state.rounds.len() > 1 {
            job.state.rounds.retain(|round| !round.is_done());
        }
        if is_over && job.state.rounds.iter().all(RoundState::is_done) {
            self.end_job(now, id, Phase::Complete, "complete", out);
        }
    }

    /// Notes that a task of the job has begun.
    pub(crate) fn mark_begun(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.has_begun = true;
        }
    }

    /// Returns how often a task of the job may fail.
    pub(crate) fn attempts_limit(&self, id: JobId) -> u32 {
        let queue = self.jobs.get(&id).map(|job| job.record.queue.as_str());
        let queue = queue.and_then(|name| self.configuration.queue(name));
        queue.map_or(DEFAULT_ATTEMPTS_COUNT, |queue| queue.attempts_limit_count)
    }

    /// Removes jobs whose outcome has been kept long enough.
    pub(crate) fn remove_expired_jobs(&mut self, now: Instant) {
        let retention = self.config.retention;
        let is_old = |job: &Job| {
            let ended = job.ended_at.is_some_and(|at| now.since(at) > retention);
            ended && !job.is_dirty && job.effects.is_empty()
        };
        let old: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| is_old(job))
            .map(|(id, _)| *id)
            .collect();
        for id in old {
            if !self.has_runs(id) {
                self.touch(id, Some(Effect::Forget));
            }
        }
    }

    /// Returns the task's place in the job's state.
    pub(crate) fn task_state_mut(&mut self, task: TaskKey) -> Option<&mut crate::state::TaskState> {
        let job = self.jobs.get_mut(&task.step.job)?;
        let round = job.state.round_mut(task.step.round)?;
        let step = round.steps.get_mut(task.step.step as usize)?;
        step.tasks.get_mut(task.index as usize)
    }

    /// Stops a task's run, or takes it back where nothing was sent.
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
            RunPhase::Recording => self.take_back(task),
            RunPhase::Stopping { .. } => {}
            // Whether it is there is not known: it is stopped once it is listed.
            RunPhase::Inherited => {}
            RunPhase::Starting | RunPhase::Running { .. } => {
                run.phase = RunPhase::Stopping {
                    sent_at: now,
                    taken_at: None,
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
