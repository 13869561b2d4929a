//! What a leader learns while it leads: lengths of tasks, and speeds of machines.
//!
//! Only runs whose whole time was spent on the work and is known count: begun afresh by this
//! leader, answered at once, beside the step's data, not disturbed by tasks that share their
//! room, and ended well. A new leader learns anew; nothing of this is stored.

use crate::decision::{Decision, DecisionKind};
use crate::durations::{Durations, LengthKind};
use crate::event::{Action, EndKind, EndedRun};
use crate::features::Feature;
use crate::job::{StepKey, StepSpec, TaskKey};
use crate::scheduler::Scheduler;
use crate::sharing::RunRole;
use crate::speeds::{Speeds, USUAL_SPEED};
use crate::state::{Phase, TaskStatus};
use crate::step_pace::{DoneTask, SpeedSample, StepPace};
use crate::worker::{Run, RunPhase, Worker, WorkerKey};
use ospreywing_types::{Duration, Instant};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// An end may have been unknown for this part of a run's time at most: a third, as far as
/// tasks of one step differ anyway.
const LAG_PARTS: u64 = 3;
/// The time between two looks at all workers' speeds.
const REFRESH_PERIOD: Duration = Duration::from_ms(1000);
/// A run that takes twice what its step's tasks take, or what nearly all of its queue's do,
/// tells of its machine before it ends, since on one that stands still it may never. It
/// tells again each time that this has doubled, so that two such runs are enough.
const OVERDUE_FACTOR: u64 = 2;
/// The most doublings.
const OVERDUE_LIMIT_COUNT: u32 = 6;
/// How old the last word of such a run may be: a few renewals.
const OVERDUE_AGE_LIMIT: Duration = Duration::from_ms(5000);
/// Speeds of a service's workers are told apart only where the fastest and the slowest, but
/// for a twentieth at either end, differ by this factor: less is how tasks of a step differ.
const DIFFERENCE_FACTOR: f64 = 1.25;
/// The workers of which a speed must be known for that.
const KNOWN_LEAST_COUNT: usize = 4;
/// A twentieth at either end is left out.
const LEFT_OUT_PART: usize = 20;
/// A worker below this part of its service's median is slow: midway between the usual and
/// one that takes 1.3 times as long.
const SLOW_BELOW: f64 = 0.87;
/// One above this is fast.
const FAST_ABOVE: f64 = 1.25;

/// How a worker's speed compares with its service's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum SpeedClass {
    Slow,
    #[default]
    Usual,
    Fast,
}

/// What is believed of a worker's speed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerSpeed {
    /// As a factor on the usual one of its service.
    pub(crate) factor: f64,
    pub(crate) class: SpeedClass,
    /// Whether it comes last, since it is slow of late.
    pub(crate) is_ejected: bool,
}

impl WorkerSpeed {
    /// Returns whether it is known to differ from the usual one.
    pub(crate) fn is_known(&self) -> bool {
        self.factor != USUAL_SPEED
    }
}

impl Default for WorkerSpeed {
    fn default() -> Self {
        Self {
            factor: USUAL_SPEED,
            class: SpeedClass::Usual,
            is_ejected: false,
        }
    }
}

/// The speeds of a service's workers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceSpeeds {
    /// The lower end of them, as a factor on the median.
    pub(crate) slow: f64,
    median: f64,
}

impl ServiceSpeeds {
    /// Returns the speeds where enough are known and they differ.
    fn of(mut speeds: Vec<f64>) -> Option<Self> {
        if speeds.len() < KNOWN_LEAST_COUNT {
            return None;
        }
        speeds.sort_by(f64::total_cmp);
        let left_out = speeds.len() / LEFT_OUT_PART;
        let median = speeds[speeds.len() / 2];
        let slow = speeds[left_out] / median;
        let fast = speeds[speeds.len() - 1 - left_out] / median;
        let does_differ = fast / slow >= DIFFERENCE_FACTOR;
        does_differ.then_some(Self { slow, median })
    }

    fn speed_of(&self, known: Option<f64>) -> WorkerSpeed {
        let factor = known.map_or(USUAL_SPEED, |speed| speed / self.median);
        let class = if factor < SLOW_BELOW {
            SpeedClass::Slow
        } else if factor > FAST_ABOVE {
            SpeedClass::Fast
        } else {
            SpeedClass::Usual
        };
        WorkerSpeed {
            factor,
            class,
            is_ejected: false,
        }
    }
}

/// What this leader has learned.
#[derive(Default)]
pub(crate) struct Learning {
    pub(crate) durations: Durations,
    pub(crate) speeds: Speeds,
    /// The steps of which a task is done and others are not.
    pub(crate) paces: HashMap<StepKey, StepPace>,
    /// The services whose workers' speeds differ.
    pub(crate) services: HashMap<Arc<str>, ServiceSpeeds>,
    /// When this was looked at last.
    pub(crate) now: Instant,
    next_refresh_at: Instant,
}

/// A run that has ended and tells what its step's tasks take.
pub(crate) struct FinishedRun {
    step: StepKey,
    tasks_count: usize,
    done: DoneTask,
}

impl Worker {
    /// Returns the machine that it is a life of, or its id where that is not told.
    pub(crate) fn machine(&self) -> &Arc<str> {
        self.facts.machine.as_ref().unwrap_or(&self.facts.id)
    }

    /// Returns whether a run tells what its step's tasks take: it has told nothing else.
    fn tells_length(&self, run: &Run, spec: &StepSpec) -> bool {
        run.overdue_count == 0 && self.tells_speed(run, spec)
    }

    /// Returns whether a run's time is known and was spent on the whole work alone.
    fn tells_speed(&self, run: &Run, spec: &StepSpec) -> bool {
        let is_whole = run.checkpoint.is_none() && !spec.is_perpetual;
        let is_begin_known = run.sends_count == 1 && run.answers_count == 1;
        let near = spec.data_rack.as_deref();
        let is_near = near.is_none() || near == self.facts.rack.as_deref();
        let is_alone = RunRole::of(spec) == RunRole::Plain;
        let is_running = matches!(run.phase, RunPhase::Running { .. });
        is_whole && is_begin_known && is_near && is_alone && is_running
    }
}

impl Scheduler {
    pub(crate) fn is_learning(&self) -> bool {
        self.config.features.has(Feature::Learning)
    }

    /// Returns what a run that a worker lists as ended tells of lengths, where it does.
    pub(crate) fn finished_run(
        &self,
        now: Instant,
        key: WorkerKey,
        end: &EndedRun,
    ) -> Option<FinishedRun> {
        if !self.is_learning() || end.kind != EndKind::Done {
            return None;
        }
        let worker = &self.workers[key];
        let run = worker
            .runs
            .get(&end.task)
            .filter(|run| run.run == end.run)?;
        let job = self.jobs.get(&end.task.step.job)?;
        let spec = job.record.spec.steps.get(end.task.step.step as usize)?;
        let round = job.state.round(end.task.step.round)?;
        let step = round.steps.get(end.task.step.step as usize)?;
        // Of a gang the first member that ends tells of all.
        let is_counted = step.tasks.get(end.task.index as usize)?.status == TaskStatus::Done;
        let length = now.since(run.begun_at?);
        let is_end_known = worker.end_lag.times(LAG_PARTS) <= length;
        if is_counted || !is_end_known || !worker.tells_length(run, spec) {
            return None;
        }
        // A gang is as slow as its slowest member, which is not told.
        let factor = if spec.is_gang {
            USUAL_SPEED
        } else {
            worker.speed.factor
        };
        let done = DoneTask {
            machine: worker.machine().clone(),
            service: worker.facts.service.clone(),
            length,
            usual_length: scaled(length, factor),
        };
        Some(FinishedRun {
            step: end.task.step,
            tasks_count: step.tasks.len(),
            done,
        })
    }

    /// Learns from a run that has ended.
    pub(crate) fn learn(&mut self, now: Instant, finished: FinishedRun) {
        self.learning.now = now;
        let new = || StepPace::new(finished.tasks_count);
        let pace = self.learning.paces.entry(finished.step).or_insert_with(new);
        let samples = pace.record(finished.done);
        let has_news = pace.has_news();
        self.learn_speeds(now, samples);
        if has_news {
            self.note_left(finished.step.job);
        }
    }

    /// Learns from a step that is done.
    pub(crate) fn learn_step(&mut self, now: Instant, step: StepKey) {
        let Some(mut pace) = self.learning.paces.remove(&step) else {
            return;
        };
        self.learn_speeds(now, pace.finish());
        let Some(job) = self.jobs.get(&step.job) else {
            return;
        };
        let spec = job.record.spec.steps.get(step.step as usize);
        let Some((spec, actual)) = spec.zip(pace.median()) else {
            return;
        };
        let Learning {
            durations, speeds, ..
        } = &mut self.learning;
        let (queue, kind) = (&job.record.queue, LengthKind::of(spec));
        // Too few tasks to tell of one another are told by those of other jobs.
        let forecast = durations.forecast(now, queue, kind);
        if let Some(forecast) = forecast.filter(|_| !spec.is_gang) {
            for task in pace.untold() {
                let speed = ratio(forecast.likely, task.length);
                let service = &task.service;
                speeds.record_alone(now, service, &task.machine, speed, forecast.spread());
            }
        }
        durations.record(now, queue, kind, actual);
        if let Some(job) = self.jobs.get_mut(&step.job) {
            job.done_lengths.insert(step, actual);
        }
    }

    fn learn_speeds(&mut self, now: Instant, samples: Vec<SpeedSample>) {
        for sample in samples {
            let speeds = &mut self.learning.speeds;
            speeds.record(now, &sample.machine, sample.speed);
        }
    }

    /// Works out anew what is believed of workers' speeds, now and then.
    pub(crate) fn refresh_speeds(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.learning.now = now;
        if !self.is_learning() || now < self.learning.next_refresh_at {
            return;
        }
        self.learning.next_refresh_at = now + REFRESH_PERIOD;
        self.learn_from_overdue(now);
        let mut services: BTreeMap<Arc<str>, Vec<WorkerKey>> = BTreeMap::new();
        let listed = self.workers.iter();
        for (key, worker) in listed.filter(|(_, worker)| worker.is_listed && !worker.is_gone) {
            let workers = services.entry(worker.facts.service.clone()).or_default();
            workers.push(key);
        }
        for (service, workers) in services {
            self.eject_slow(now, &workers, out);
            self.refresh_service(now, service, &workers);
        }
        self.forget_learned();
    }

    fn eject_slow(&mut self, now: Instant, workers: &[WorkerKey], out: &mut Vec<Action>) {
        // A machine may be listed with two of its lives.
        let by_machine = workers
            .iter()
            .map(|key| (self.workers[*key].machine(), *key));
        let by_machine: BTreeMap<Arc<str>, WorkerKey> = by_machine
            .map(|(machine, key)| (machine.clone(), key))
            .collect();
        let machines: Vec<Arc<str>> = by_machine.keys().cloned().collect();
        for ejection in self.learning.speeds.eject_slow(now, &machines) {
            let key = by_machine[&ejection.machine];
            let line = Decision::new(DecisionKind::WorkerAvoided, "slow of late")
                .with_worker(&self.workers[key].facts.id)
                .with_figure(ejection.length.as_ms());
            out.push(Action::Log(line));
        }
    }

    fn refresh_service(&mut self, now: Instant, service: Arc<str>, workers: &[WorkerKey]) {
        let learning = &self.learning;
        let known = |key: &WorkerKey| learning.speeds.speed(now, self.workers[*key].machine());
        let speeds: Vec<Option<f64>> = workers.iter().map(known).collect();
        let found = ServiceSpeeds::of(speeds.iter().copied().flatten().collect());
        for (key, speed) in workers.iter().zip(speeds) {
            let believed = found.map_or_else(WorkerSpeed::default, |it| it.speed_of(speed));
            let machine = self.workers[*key].machine();
            let is_ejected = self.learning.speeds.is_ejected(now, machine);
            self.workers[*key].speed = WorkerSpeed {
                is_ejected,
                ..believed
            };
        }
        match found {
            Some(found) => self.learning.services.insert(service, found),
            None => self.learning.services.remove(&service),
        };
    }

    /// Learns from runs that take far longer than others.
    fn learn_from_overdue(&mut self, now: Instant) {
        let mut overdue = Vec::new();
        for (key, worker) in self.workers.iter().filter(|(_, it)| it.is_reachable) {
            for (task, run) in &worker.runs {
                if let Some(speed) = self.overdue_speed(now, worker, *task, run) {
                    overdue.push((key, *task, speed));
                }
            }
        }
        for (key, task, speed) in overdue {
            let worker = &mut self.workers[key];
            if let Some(run) = worker.runs.get_mut(&task) {
                run.overdue_count += 1;
            }
            self.learning.speeds.record(now, worker.machine(), speed);
        }
    }

    /// Returns the speed that a run tells of its machine, where it takes far too long.
    fn overdue_speed(
        &self,
        now: Instant,
        worker: &Worker,
        task: TaskKey,
        run: &Run,
    ) -> Option<f64> {
        let is_fresh = now.since(run.listed_at) <= OVERDUE_AGE_LIMIT;
        let spent = run.listed_at.since(run.begun_at?);
        if !is_fresh || run.overdue_count >= OVERDUE_LIMIT_COUNT {
            return None;
        }
        let job = self.jobs.get(&task.step.job)?;
        let spec = job.record.spec.steps.get(task.step.step as usize)?;
        if spec.is_gang || !worker.tells_speed(run, spec) {
            return None;
        }
        let pace = self.learning.paces.get(&task.step);
        let by_step = pace.and_then(StepPace::likely);
        let by_queue = || Some(self.step_length(&job.record.queue, task.step, spec)?.late);
        let expected = scaled(by_step.or_else(by_queue)?, 1.0 / worker.speed.factor);
        let factor = OVERDUE_FACTOR << run.overdue_count;
        (spent >= expected.times(factor)).then(|| ratio(expected, spent) * worker.speed.factor)
    }

    fn forget_learned(&mut self) {
        let jobs = &self.jobs;
        let is_active = |step: &StepKey| {
            let job = jobs.get(&step.job);
            job.is_some_and(|job| job.state.phase == Phase::Active)
        };
        self.learning.paces.retain(|step, _| is_active(step));
        self.learning.speeds.remove_stale();
    }
}

/// Returns how many times a length is another.
pub(crate) fn ratio(length: Duration, other: Duration) -> f64 {
    length.as_ms() as f64 / other.as_ms().max(1) as f64
}

/// Returns a length by a factor.
pub(crate) fn scaled(length: Duration, factor: f64) -> Duration {
    Duration::from_ms((length.as_ms() as f64 * factor).round() as u64)
}
