//! Placement: which waiting task goes to which worker, and whom to ask about.

use crate::commits::Effect;
use crate::config::AdvicePolicy;
use crate::decision::{Decision, DecisionKind};
use crate::event::{Action, AdviceReply};
use crate::job::{JobId, JobRecord, StepKey, StepSpec, TaskKey};
use crate::scheduler::Scheduler;
use crate::state::{StepState, TaskStatus};
use crate::worker::{Run, RunPhase, Worker, WorkerKey};
use ospreywing_types::{Duration, Instant, Resources};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The most workers that one call for advice names.
const NAMED_LIMIT_COUNT: usize = 100;
/// How many times the room that is needed the named workers should have.
const NAMED_ROOM_FACTOR: f64 = 1.5;
/// The share of good workers that is assumed before anything is known.
const FIRST_GOODNESS: f64 = 0.5;
/// The time until advice is asked for again after a call that failed.
const ADVICE_RETRY: Duration = Duration::from_ms(100);
/// The weight of what was learned before, so that the estimate can follow.
const GOODNESS_DECAY: f64 = 0.98;

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
struct Candidate {
    worker: WorkerKey,
    free: Resources,
    /// How many more tasks of the step it may hold.
    left_count: u32,
    is_near: bool,
    rack: Option<Arc<str>>,
}

impl Candidate {
    /// Returns how many tasks of this demand fit.
    fn fit_count(&self, demand: &Resources) -> u32 {
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
struct Turn {
    key: StepKey,
    record: Arc<JobRecord>,
    waiting: Vec<u32>,
    demand: Resources,
    advice: Option<AdvicePolicy>,
}

impl Turn {
    fn spec(&self) -> &StepSpec {
        &self.record.spec.steps[self.key.step as usize]
    }
}

impl Scheduler {
    /// Places what can be placed, in the order of the queues' priorities.
    pub(crate) fn place(&mut self, now: Instant, out: &mut Vec<Action>) {
        let jobs: Vec<JobId> = self.active.values().copied().collect();
        for id in jobs {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            for step in job.ready_steps(id) {
                self.place_step(now, step, out);
            }
        }
    }

    fn place_step(&mut self, now: Instant, key: StepKey, out: &mut Vec<Action>) {
        let Some(turn) = self.turn(key) else {
            return;
        };
        let mut candidates = self.candidates(now, &turn);
        if candidates.is_empty() {
            return;
        }
        let Some(policy) = turn.advice else {
            self.allocate(now, &turn, candidates, out);
            return;
        };
        let advice = self.advice.entry(key).or_default();
        candidates.retain(|candidate| !advice.is_bad(candidate.worker));
        let ticketed: Vec<Candidate> = candidates
            .iter()
            .filter(|candidate| advice.ticket(now, candidate.worker).is_some())
            .cloned()
            .collect();
        let placed_count = self.allocate(now, &turn, ticketed, out);
        if placed_count < turn.waiting.len() {
            self.ask_advice(now, &turn, policy, candidates, placed_count, out);
        }
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
        Some(Turn {
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

    /// Returns the workers that could take at least one task, the fullest first.
    fn candidates(&self, now: Instant, turn: &Turn) -> Vec<Candidate> {
        let spec = turn.spec();
        let queue = self.configuration.queue(&turn.record.queue);
        let service = queue.map_or(&turn.record.service, |queue| &queue.service);
        let mut found = Vec::new();
        for (key, worker) in self.workers.iter() {
            if !worker.is_placeable(now) || *worker.facts.service != **service {
                continue;
            }
            let label = spec.required_label.as_ref();
            if label.is_some_and(|label| !worker.facts.labels.contains(label)) {
                continue;
            }
            if !turn.demand.fits_in(&worker.free()) {
                continue;
            }
            let left_count = left_count(worker, turn.key, spec);
            if left_count == 0 {
                continue;
            }
            let near = spec.data_rack.as_deref();
            found.push(Candidate {
                worker: key,
                free: worker.free(),
                left_count,
                is_near: near.is_none() || near == worker.facts.rack.as_deref(),
                rack: worker.facts.rack.clone(),
            });
        }
        found.sort_by_key(|c| (!c.is_near, c.free.cores_milli, c.worker));
        found
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
            let room: u64 = candidates
                .iter()
                .map(|c| u64::from(c.fit_count(&turn.demand)))
                .sum();
            if room < turn.waiting.len() as u64 {
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
            ticket: None,
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

    /// Asks for advice on workers that have room.
    fn ask_advice(
        &mut self,
        now: Instant,
        turn: &Turn,
        policy: AdvicePolicy,
        mut candidates: Vec<Candidate>,
        placed_count: usize,
        out: &mut Vec<Action>,
    ) {
        let goodness = self.goodness_of(&turn.record.queue);
        let Some(advice) = self.advice.get_mut(&turn.key) else {
            return;
        };
        if advice.asked_at.is_some() || now < advice.retry_at {
            return;
        }
        // What was just placed has taken room that the candidates still show.
        candidates.retain(|c| turn.demand.fits_in(&self.workers[c.worker].free()));
        candidates.sort_by_key(|c| {
            let is_known = advice.is_good(c.worker);
            (
                !is_known,
                !c.is_near,
                core::cmp::Reverse(c.free.cores_milli),
            )
        });
        let needed = (turn.waiting.len() - placed_count) as f64;
        let is_gang = turn.spec().is_gang;
        let mut expected = 0.0;
        let mut named = Vec::new();
        for candidate in &candidates {
            if expected >= needed * NAMED_ROOM_FACTOR || named.len() >= NAMED_LIMIT_COUNT {
                break;
            }
            let chance = if advice.is_good(candidate.worker) {
                1.0
            } else {
                goodness
            };
            expected += chance * f64::from(candidate.fit_count(&turn.demand).min(1000));
            named.push(candidate.worker);
        }
        if named.is_empty() || (is_gang && expected < needed) {
            return;
        }
        advice.asked_at = Some(now);
        let cost = policy.cost(named.len());
        let line = Decision::new(DecisionKind::AdviceAsked, "workers with room");
        let line = line.with_job(turn.key.job).with_figure(named.len() as u64);
        out.push(Action::Log(line));
        out.push(Action::Advise {
            step: turn.key,
            workers: named
                .iter()
                .map(|&worker| self.workers[worker].endpoint(worker))
                .collect(),
            cost,
        });
    }

    fn goodness_of(&self, queue: &str) -> f64 {
        let known = self.goodness.get(queue);
        let (good, named) = known.copied().unwrap_or((FIRST_GOODNESS, 1.0));
        (good / named).max(0.05)
    }

    pub(crate) fn on_advice_answered(
        &mut self,
        now: Instant,
        step: StepKey,
        named: &[WorkerKey],
        reply: AdviceReply,
        out: &mut Vec<Action>,
    ) {
        self.is_place_due = true;
        let Some(advice) = self.advice.get_mut(&step) else {
            return;
        };
        let asked_at = advice.asked_at.take().unwrap_or(now);
        let waited_ms = now.since(asked_at).as_ms();
        let AdviceReply::Good { tickets, validity } = reply else {
            advice.retry_at = now + ADVICE_RETRY;
            let line = Decision::new(DecisionKind::AdviceAnswered, "no answer");
            out.push(Action::Log(line.with_job(step.job).with_figure(waited_ms)));
            return;
        };
        let good: Vec<(WorkerKey, Arc<str>)> = tickets
            .into_iter()
            .filter_map(|ticket| {
                let worker = self.workers_by_id.get(&ticket.worker)?;
                Some((*worker, ticket.text))
            })
            .collect();
        advice.take_in(now, named, &good, validity);
        let line = Decision::new(DecisionKind::AdviceAnswered, "answered");
        out.push(Action::Log(line.with_job(step.job).with_figure(waited_ms)));
        let queue = self.jobs.get(&step.job).map(|job| job.record.queue.clone());
        if let Some(queue) = queue {
            let known = self.goodness.entry(queue).or_insert((FIRST_GOODNESS, 1.0));
            known.0 = known.0 * GOODNESS_DECAY + good.len() as f64;
            known.1 = known.1 * GOODNESS_DECAY + named.len() as f64;
        }
    }
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
    let mut by_rack: BTreeMap<Option<Arc<str>>, u64> = BTreeMap::new();
    for candidate in &candidates {
        let room = by_rack.entry(candidate.rack.clone()).or_default();
        *room += u64::from(candidate.fit_count(demand));
    }
    let fitting = by_rack
        .into_iter()
        .filter(|(rack, room)| rack.is_some() && *room >= needed as u64)
        .min_by_key(|(_, room)| *room);
    match fitting {
        Some((rack, _)) => candidates.into_iter().filter(|c| c.rack == rack).collect(),
        None => candidates,
    }
}
