//! Placement: which waiting task goes to which worker.

use crate::asking::{claim_room, has_room};
use crate::commits::Effect;
use crate::config::AdvicePolicy;
use crate::decision::{Decision, DecisionKind};
use crate::event::Action;
use crate::job::{JobRecord, StepKey, StepSpec, TaskKey};
use crate::scheduler::Scheduler;
use crate::sharing::RunRole;
use crate::state::{StepState, TaskStatus};
use crate::worker::{Run, RunPhase, Worker, WorkerKey};
use ospreywing_types::{Duration, Instant, Resources};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The most steps that one pass looks at; the rest has its turn in the next.
const EXAMINED_LIMIT_COUNT: usize = 400;

/// A step with this much time to spare leaves room to gangs that wait.
const YIELD_SLACK: Duration = Duration::from_ms(4000);
/// Only where less than one of so many parts of the workers is free.
const YIELD_FREE_SHARE: u64 = 3;

/// Returns what a task counts against a worker's room.
pub(crate) fn counted_demand(spec: &StepSpec) -> Resources {
    let mut demand = spec.demand;
    if spec.is_filler {
        demand.cores_milli = 0;
    }
    demand
}

/// A worker that could take tasks of a step.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) worker: WorkerKey,
    pub(crate) free: Resources,
    /// How many more tasks of the step it may hold.
    pub(crate) left_count: u32,
    pub(crate) is_near: bool,
    rack: Option<Arc<str>>,
}

impl Candidate {
    /// Returns how many tasks of this demand fit.
    pub(crate) fn fit_count(&self, demand: &Resources) -> u32 {
        let by = |free: u32, need: u32| free.checked_div(need).unwrap_or(u32::MAX);
        by(self.free.cores_milli, demand.cores_milli)
            .min(by(self.free.memory_mib, demand.memory_mib))
            .min(by(self.free.accelerators_count, demand.accelerators_count))
            .min(self.left_count)
    }

    fn take(&mut self, demand: &Resources) {
        self.free -= *demand;
        self.left_count -= 1;
    }
}

/// A step that is being placed.
pub(crate) struct Turn {
    pub(crate) key: StepKey,
    pub(crate) record: Arc<JobRecord>,
    pub(crate) waiting: Vec<u32>,
    pub(crate) demand: Resources,
    pub(crate) advice: Option<AdvicePolicy>,
    /// The service whose workers run the step now.
    pub(crate) service: String,
}

impl Turn {
    pub(crate) fn spec(&self) -> &StepSpec {
        &self.record.spec.steps[self.key.step as usize]
    }
}

/// A worker as it was when a pass began.
#[derive(Clone, Copy, Debug)]
struct FreeWorker {
    worker: WorkerKey,
    /// Its free processors, in thousandths of a core.
    free_milli: u32,
}

impl Pass {
    /// Returns the workers that may take a run, those with most room first.
    pub(crate) fn workers(&self) -> impl Iterator<Item = WorkerKey> + '_ {
        self.by_room.iter().map(|free| free.worker)
    }

    /// Returns those of them that had room for a demand: a pass only takes room.
    pub(crate) fn workers_for(&self, demand: &Resources) -> impl Iterator<Item = WorkerKey> + '_ {
        let needed_milli = demand.cores_milli;
        let able = self
            .by_room
            .iter()
            .take_while(move |free| free.free_milli >= needed_milli);
        able.map(|free| free.worker)
    }

    /// Keeps room on a worker for a step that waits for it.
    pub(crate) fn keep_room(&mut self, worker: WorkerKey, room: Resources) {
        *self.kept.entry(worker).or_default() += room;
    }

    /// Returns the room that is kept on a worker.
    pub(crate) fn kept_room(&self, worker: WorkerKey) -> Resources {
        self.kept.get(&worker).copied().unwrap_or_default()
    }

    /// Returns whether room is kept on a worker.
    pub(crate) fn is_kept(&self, worker: WorkerKey) -> bool {
        self.kept.contains_key(&worker)
    }

    /// Returns on how many workers room is kept.
    pub(crate) fn kept_workers_count(&self) -> usize {
        self.kept.len()
    }

    /// Returns the most that any worker of a service holds.
    pub(crate) fn largest_of(&self, service: &str) -> Resources {
        self.largest.get(service).copied().unwrap_or_default()
    }

    /// Returns how many workers may take a run.
    pub(crate) const fn workers_count(&self) -> usize {
        self.by_room.len()
    }
}

/// What one pass over the waiting steps keeps in mind.
#[derive(Debug, Default)]
pub(crate) struct Pass {
    /// The processors that are free and not yet asked for, by service, in
    /// thousandths of a core.
    pub(crate) room_milli: BTreeMap<Arc<str>, i64>,
    /// The workers that may take a run, those with most room first, as they
    /// were when the pass began.
    by_room: Vec<FreeWorker>,
    /// Room that is kept on workers for steps that wait for it: steps that come
    /// later in the pass are less urgent and don't take it.
    kept: BTreeMap<WorkerKey, Resources>,
    /// The most that any worker of a service holds.
    largest: BTreeMap<Arc<str>, Resources>,
    /// The steps of single tasks that wait for workers so far.
    pub(crate) waiting_steps_count: usize,
    /// What all workers that may take a run hold, and what of it is free, in
    /// thousandths of a core.
    capacity_milli: u64,
    pub(crate) free_milli: u64,
    /// The gangs that wait for room so far.
    pub(crate) waiting_gangs_count: usize,
    examined_count: usize,
}

/// What a pass left, for metrics.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PassSummary {
    pub(crate) awaited_workers_count: usize,
    pub(crate) waiting_gangs_count: usize,
}

impl Scheduler {
    /// Places what can be placed.
    pub(crate) fn place(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut pass = self.new_pass(now);
        self.place_all(now, &mut pass, out);
        self.last_pass = PassSummary {
            awaited_workers_count: pass.kept_workers_count(),
            waiting_gangs_count: pass.waiting_gangs_count,
        };
    }

    fn place_all(&mut self, now: Instant, pass: &mut Pass, out: &mut Vec<Action>) {
        for id in self.service_order(now) {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            for step in job.ready_steps(id) {
                pass.examined_count += 1;
                self.place_step(now, step, pass, out);
            }
            if pass.examined_count >= EXAMINED_LIMIT_COUNT {
                return;
            }
        }
    }

    fn new_pass(&self, now: Instant) -> Pass {
        let mut pass = Pass::default();
        for (key, worker) in self.workers.iter() {
            if worker.is_placeable(now) {
                pass.by_room.push(FreeWorker {
                    worker: key,
                    free_milli: worker.free().cores_milli,
                });
                pass.capacity_milli += u64::from(worker.facts.capacity.cores_milli);
                pass.free_milli += u64::from(worker.free().cores_milli);
                let room = pass.room_milli.entry(worker.facts.service.clone());
                *room.or_default() += i64::from(worker.free().cores_milli);
                let largest = pass.largest.entry(worker.facts.service.clone());
                let largest = largest.or_default();
                *largest = largest.max(worker.facts.capacity);
            }
        }
        pass.by_room
            .sort_by_key(|free| (Reverse(free.free_milli), free.worker));
        pass
    }

    fn place_step(&mut self, now: Instant, key: StepKey, pass: &mut Pass, out: &mut Vec<Action>) {
        let Some(turn) = self.turn(key) else {
            return;
        };
        if self.yields_to_gangs(now, &turn, pass) {
            return;
        }
        let Some(policy) = turn.advice else {
            if has_room(pass, &turn) {
                let workers = pass.workers_for(&turn.demand);
                let candidates = self.candidates(now, &turn, pass, workers);
                self.allocate(now, &turn, candidates, out);
            }
            return;
        };
        if turn.spec().is_gang {
            self.place_gang(now, &turn, policy, pass, out);
        } else {
            self.place_tasks(now, &turn, policy, pass, out);
        }
    }

    /// Places a gang whose queue needs advice, or brings it nearer to its room.
    fn place_gang(
        &mut self,
        now: Instant,
        turn: &Turn,
        policy: AdvicePolicy,
        pass: &mut Pass,
        out: &mut Vec<Action>,
    ) {
        let advice = self.advice.entry(turn.key).or_default();
        if advice.open.is_some() {
            claim_room(pass, turn, turn.waiting.len());
            if !self.reservations.contains_key(&turn.key) {
                self.await_workers_for_gang(now, turn, policy, pass, out);
            }
            return;
        }
        let ticketed = advice.ticketed(now);
        let placed_count = self.place_ticketed(now, turn, &ticketed, pass, out);
        if placed_count > 0 || self.awaits_stops(now, turn, &ticketed) {
            return;
        }
        // The answer has come: what was kept has been used, or is given back.
        self.release_room(turn.key);
        if now >= self.advice[&turn.key].retry_at {
            self.seek_for_gang(now, turn, policy, pass, out);
        }
    }

    /// Places tasks whose queue needs advice where tickets hold, and asks for
    /// more of them.
    fn place_tasks(
        &mut self,
        now: Instant,
        turn: &Turn,
        policy: AdvicePolicy,
        pass: &mut Pass,
        out: &mut Vec<Action>,
    ) {
        let advice = self.advice.entry(turn.key).or_default();
        let ticketed = advice.ticketed(now);
        let placed_count = self.place_ticketed(now, turn, &ticketed, pass, out);
        let missing_count = turn.waiting.len() - placed_count;
        if missing_count == 0 {
            return;
        }
        if self.advice[&turn.key].open.is_some() {
            claim_room(pass, turn, missing_count);
        } else {
            self.seek_for_tasks(now, turn, policy, missing_count, pass, out);
        }
        self.await_workers(now, turn, policy, missing_count, pass, out);
    }

    fn place_ticketed(
        &mut self,
        now: Instant,
        turn: &Turn,
        ticketed: &[WorkerKey],
        pass: &Pass,
        out: &mut Vec<Action>,
    ) -> usize {
        if ticketed.is_empty() {
            return 0;
        }
        let candidates = self.candidates(now, turn, pass, ticketed.iter().copied());
        self.allocate(now, turn, candidates, out)
    }

    /// Returns whether a gang that holds its tickets only waits for runs that
    /// are being stopped for it.
    fn awaits_stops(&self, now: Instant, turn: &Turn, ticketed: &[WorkerKey]) -> bool {
        turn.spec().is_gang
            && self.reservations.contains_key(&turn.key)
            && self.is_room_coming(now, turn, ticketed)
    }

    /// Returns whether a step leaves room to gangs that wait for it: a gang needs
    /// much room at once, which tasks that can wait would take away bit by bit.
    fn yields_to_gangs(&self, now: Instant, turn: &Turn, pass: &Pass) -> bool {
        let is_crowded = pass.free_milli * YIELD_FREE_SHARE < pass.capacity_milli;
        if pass.waiting_gangs_count == 0 || !is_crowded || turn.spec().is_gang {
            return false;
        }
        let Some(job) = self.jobs.get(&turn.key.job) else {
            return false;
        };
        let needed_until = now + Duration::from_ms(job.left_ms) + YIELD_SLACK;
        needed_until < job.accepted_at + job.objective
    }

    /// Returns what is to be placed of a step, where anything is.
    fn turn(&self, key: StepKey) -> Option<Turn> {
        let job = self.jobs.get(&key.job)?;
        let spec = job.record.spec.steps.get(key.step as usize)?;
        let step = job.state.round(key.round)?.steps.get(key.step as usize)?;
        let waiting = waiting_tasks(step);
        if waiting.is_empty() || (spec.is_gang && waiting.len() < step.tasks.len()) {
            return None;
        }
        let queue = self.configuration.queue(&job.record.queue);
        let service = queue.map_or(&job.record.service, |queue| &queue.service);
        Some(Turn {
            service: service.clone(),
            key,
            waiting,
            demand: counted_demand(spec),
            advice: queue.and_then(|queue| queue.advice),
            record: job.record.clone(),
        })
    }

    pub(crate) fn needs_ticket(&self, step: StepKey) -> bool {
        let job = self.jobs.get(&step.job);
        let queue = job.and_then(|job| self.configuration.queue(&job.record.queue));
        queue.is_some_and(|queue| queue.advice.is_some())
    }

    /// Returns whether a worker may ever run tasks of the step.
    pub(crate) fn is_eligible(turn: &Turn, worker: &Worker) -> bool {
        let label = turn.spec().required_label.as_ref();
        *worker.facts.service == *turn.service
            && label.is_none_or(|label| worker.facts.labels.contains(label))
            && turn.demand.fits_in(&worker.facts.capacity)
    }

    /// Returns those of the workers that could take at least one task, the
    /// fullest first.
    pub(crate) fn candidates(
        &self,
        now: Instant,
        turn: &Turn,
        pass: &Pass,
        workers: impl Iterator<Item = WorkerKey>,
    ) -> Vec<Candidate> {
        let mut found = Vec::new();
        for key in workers {
            let worker = &self.workers[key];
            if !worker.is_placeable(now) || !turn.demand.fits_in(&worker.free()) {
                continue;
            }
            if let Some(mut candidate) = self.candidate(turn, key, worker) {
                candidate.free -= pass.kept_room(key);
                if turn.demand.fits_in(&candidate.free) && candidate.left_count > 0 {
                    found.push(candidate);
                }
            }
        }
        // A filler works on what is left unused, others leave large rooms whole.
        let by_room = |free_milli: u32| match RunRole::of(turn.spec()) {
            RunRole::Filler => u32::MAX - free_milli,
            RunRole::Plain | RunRole::Serving => free_milli,
        };
        found.sort_by_key(|c| (!c.is_near, by_room(c.free.cores_milli), c.worker));
        found
    }

    /// Returns what a worker has for a step, where it may run the step at all.
    pub(crate) fn candidate(
        &self,
        turn: &Turn,
        key: WorkerKey,
        worker: &Worker,
    ) -> Option<Candidate> {
        let role = RunRole::of(turn.spec());
        if !Self::is_eligible(turn, worker) || (role == RunRole::Filler && worker.is_serving()) {
            return None;
        }
        let near = turn.spec().data_rack.as_deref();
        Some(Candidate {
            worker: key,
            free: worker.free() - worker.reserved(turn.key),
            left_count: left_count(worker, turn.key, turn.spec()),
            is_near: near.is_none() || near == worker.facts.rack.as_deref(),
            rack: worker.facts.rack.clone(),
        })
    }

    /// Places as many waiting tasks as fit, or a whole gang or nothing;
    /// returns how many.
    fn allocate(
        &mut self,
        now: Instant,
        turn: &Turn,
        mut candidates: Vec<Candidate>,
        out: &mut Vec<Action>,
    ) -> usize {
        let spec = turn.spec();
        if spec.is_gang {
            if spec.is_same_rack {
                candidates = one_rack_first(candidates, &turn.demand, turn.waiting.len());
            }
            if fit_sum(&candidates, &turn.demand) < turn.waiting.len() as u64 {
                return 0;
            }
        }
        let mut chosen = Vec::new();
        for &index in &turn.waiting {
            let fitting = candidates
                .iter_mut()
                .find(|c| c.left_count > 0 && turn.demand.fits_in(&c.free));
            let Some(candidate) = fitting else {
                break;
            };
            candidate.take(&turn.demand);
            chosen.push((turn.key.task(index), candidate.worker));
        }
        let count = chosen.len();
        let run = self.next_run(turn);
        for (task, worker) in chosen {
            self.record_start(now, turn, task, worker, run, out);
        }
        if count > 0 {
            self.release_room(turn.key);
            // What broke was an earlier run.
            self.broken_gangs.remove(&turn.key);
        }
        count
    }

    /// Returns the run that all members of a gang will share.
    fn next_run(&self, turn: &Turn) -> Option<u32> {
        if !turn.spec().is_gang {
            return None;
        }
        let job = self.jobs.get(&turn.key.job)?;
        let step = job.state.round(turn.key.round)?;
        let step = step.steps.get(turn.key.step as usize)?;
        step.tasks.iter().map(|task| task.last_run + 1).max()
    }

    /// Records a start; it is sent once the record is in the store.
    fn record_start(
        &mut self,
        now: Instant,
        turn: &Turn,
        task: TaskKey,
        key: WorkerKey,
        gang_run: Option<u32>,
        out: &mut Vec<Action>,
    ) {
        let id = self.workers[key].facts.id.clone();
        let Some(state) = self.task_state_mut(task) else {
            return;
        };
        let number = gang_run.unwrap_or(state.last_run + 1);
        state.last_run = number;
        state.status = TaskStatus::Placed {
            worker: id.to_string(),
        };
        let run = Run {
            run: number,
            phase: RunPhase::Recording,
            demand: turn.demand,
            role: RunRole::of(turn.spec()),
            ticket: None,
            checkpoint: None,
            sends_count: 0,
            placed_at: now,
            progress_percent: 0,
        };
        self.workers[key].insert_run(task, run);
        self.placements.insert(task, key);
        let free = self.workers[key].free().cores_milli;
        let line = Decision::new(DecisionKind::Placed, "fullest that fits")
            .with_run(task, number)
            .with_worker(&id)
            .with_figure(u64::from(free));
        out.push(Action::Log(line));
        let effect = Effect::Start {
            worker: key,
            task,
            run: number,
        };
        self.touch(task.step.job, Some(effect));
    }
}

/// Returns how many tasks of a demand fit on all candidates together.
pub(crate) fn fit_sum(candidates: &[Candidate], demand: &Resources) -> u64 {
    candidates
        .iter()
        .map(|c| u64::from(c.fit_count(demand)))
        .sum()
}

fn waiting_tasks(step: &StepState) -> Vec<u32> {
    let tasks = step.tasks.iter().enumerate();
    tasks
        .filter(|(_, task)| task.status == TaskStatus::Waiting)
        .map(|(index, _)| index as u32)
        .collect()
}

/// Returns how many more tasks of a step the worker may hold.
fn left_count(worker: &Worker, step: StepKey, spec: &StepSpec) -> u32 {
    if spec.per_worker_limit_count == 0 {
        return u32::MAX;
    }
    let held = worker
        .runs
        .range(step.task(0)..=step.task(u32::MAX))
        .count();
    spec.per_worker_limit_count.saturating_sub(held as u32)
}

/// Puts the workers of one rack first, where the whole gang fits into it.
fn one_rack_first(candidates: Vec<Candidate>, demand: &Resources, needed: usize) -> Vec<Candidate> {
    let racks: BTreeSet<Arc<str>> = candidates.iter().filter_map(|c| c.rack.clone()).collect();
    let in_rack = |rack: &Arc<str>| -> Vec<Candidate> {
        let here = candidates.iter().filter(|c| c.rack.as_ref() == Some(rack));
        here.cloned().collect()
    };
    let fitting = racks
        .iter()
        .map(in_rack)
        .filter(|here| fit_sum(here, demand) >= needed as u64)
        .min_by_key(|here| fit_sum(here, demand));
    fitting.unwrap_or(candidates)
}
