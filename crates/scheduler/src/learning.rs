//! What a leader learns while it leads: lengths of tasks, and speeds of machines.
//!
//! Only runs whose whole time was spent on the work and is known count: begun afresh by this
//! leader, answered at once, beside the step's data, not disturbed by tasks that share their
//! room, and ended well. A new leader learns anew; nothing of this is stored.

use crate::decision::{Decision, DecisionKind};
use crate::durations::{Durations, StepClass};
use crate::event::{Action, EndKind, EndedRun};
use crate::features::Feature;
use crate::interference::RunRole;
use crate::job::{StepKey, StepSpec, TaskKey};
use crate::scheduler::Scheduler;
use crate::speeds::{Speeds, TYPICAL_SPEED};
use crate::state::{Phase, TaskStatus};
use crate::step_durations::{FinishedTask, SpeedSample, StepDurations};
use crate::worker::{Run, RunPhase, Worker, WorkerKey};
use ospreywing_types::{Duration, Instant};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// An end may have been unknown for this part of a run's time at most: a third, as far as
/// tasks of one step differ anyway.
const MIN_DURATION_PER_END_LAG: u64 = 3;
/// The time between two looks at all workers' speeds.
const REFRESH_PERIOD: Duration = Duration::from_ms(1000);
/// A run that takes twice what its step's tasks take, or what nearly all of its queue's do,
/// tells of its machine before it ends, since on one that stands still it may never. It
/// tells again each time that this has doubled, so that two such runs are enough.
const OVERDUE_FACTOR: u64 = 2;
/// The most doublings.
const OVERDUE_SAMPLES_LIMIT_COUNT: u32 = 6;
/// How old the last word of such a run may be: a few renewals.
const OVERDUE_REPORT_AGE_LIMIT: Duration = Duration::from_ms(5000);
/// Speeds of a service's workers are told apart only where the fastest and the slowest, but
/// for a twentieth at either end, differ by this factor: less is how tasks of a step differ.
const MIN_SPEED_RATIO: f64 = 1.25;
/// The workers of which a speed must be known for that.
const MIN_KNOWN_SPEEDS_COUNT: usize = 4;
/// A twentieth at either end is left out.
const TRIM_DIVISOR: usize = 20;
/// A worker below this part of its service's median is slow: midway between the usual and
/// one that takes 1.3 times as long.
const SLOW_BELOW_FACTOR: f64 = 0.87;
/// One above this is fast.
const FAST_ABOVE_FACTOR: f64 = 1.25;

/// How a worker's speed compares with its service's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum SpeedClass {
    Slow,
    #[default]
    Typical,
    Fast,
}

/// What is estimated of a worker's speed.
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
        self.factor != TYPICAL_SPEED
    }
}

impl Default for WorkerSpeed {
    fn default() -> Self {
        Self {
            factor: TYPICAL_SPEED,
            class: SpeedClass::Typical,
            is_ejected: false,
        }
    }
}

/// The speeds of a service's workers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceSpeeds {
    /// The lower end of them, as a factor on the median.
    pub(crate) low_factor: f64,
    median: f64,
}

impl ServiceSpeeds {
    /// Returns the speeds where enough are known and they differ.
    fn of(mut speeds: Vec<f64>) -> Option<Self> {
        if speeds.len() < MIN_KNOWN_SPEEDS_COUNT {
            return None;
        }
        speeds.sort_by(f64::total_cmp);
        let trimmed = speeds.len() / TRIM_DIVISOR;
        let median = speeds[speeds.len() / 2];
        let low_factor = speeds[trimmed] / median;
        let fast = speeds[speeds.len() - 1 - trimmed] / median;
        let does_differ = fast / low_factor >= MIN_SPEED_RATIO;
        does_differ.then_some(Self { low_factor, median })
    }

    fn worker_speed(&self, known: Option<f64>) -> WorkerSpeed {
        let factor = known.map_or(TYPICAL_SPEED, |speed| speed / self.median);
        let class = if factor < SLOW_BELOW_FACTOR {
            SpeedClass::Slow
        } else if factor > FAST_ABOVE_FACTOR {
            SpeedClass::Fast
        } else {
            SpeedClass::Typical
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
    pub(crate) step_durations: HashMap<StepKey, StepDurations>,
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
    task: FinishedTask,
}

impl Worker {
    /// Returns the machine that it is a life of, or its id where that is not told.
    pub(crate) fn machine(&self) -> &Arc<str> {
        self.facts.machine.as_ref().unwrap_or(&self.facts.id)
    }

    /// Returns whether a run tells what its step's tasks take: it has told nothing else.
    fn is_duration_sample(&self, run: &Run, spec: &StepSpec) -> bool {
        run.overdue_count == 0 && self.is_speed_sample(run, spec)
    }

    /// Returns whether a run's time is known and was spent on the whole work alone.
    fn is_speed_sample(&self, run: &Run, spec: &StepSpec) -> bool {
        let is_whole = run.checkpoint.is_none() && !spec.is_perpetual;
        let is_start_known = run.sends_count == 1 && run.answers_count == 1;
        let data_rack = spec.data_rack.as_deref();
        let is_local = data_rack.is_none() || data_rack == self.facts.rack.as_deref();
        let is_plain = RunRole::of(spec) == RunRole::Plain;
        let is_running = matches!(run.phase, RunPhase::Running { .. });
        is_whole && is_start_known && is_local && is_plain && is_running
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
        let duration = now.since(run.begun_at?);
        let is_end_known = worker.end_lag.times(MIN_DURATION_PER_END_LAG) <= duration;
        if is_counted || !is_end_known || !worker.is_duration_sample(run, spec) {
            return None;
        }
        // A gang is as slow as its slowest member, which is not told.
        let factor = if spec.is_gang {
            TYPICAL_SPEED
        } else {
            worker.speed.factor
        };
        let task = FinishedTask {
            machine: worker.machine().clone(),
            service: worker.facts.service.clone(),
            duration,
            typical_duration: scaled(duration, factor),
        };
        Some(FinishedRun {
            step: end.task.step,
            tasks_count: step.tasks.len(),
            task,
        })
    }

    /// Learns from a run that has ended.
    pub(crate) fn record_finished_run(&mut self, now: Instant, finished: FinishedRun) {
        self.learning.now = now;
        let new = || StepDurations::new(finished.tasks_count);
        let pace = self
            .learning
            .step_durations
            .entry(finished.step)
            .or_insert_with(new);
        let samples = pace.record(finished.task);
        let should_update_estimates = pace.should_update_estimates();
        self.record_speed_samples(now, samples);
        if should_update_estimates {
            self.update_remaining(finished.step.job);
        }
    }

    /// Learns from a step that is done.
    pub(crate) fn record_finished_step(&mut self, now: Instant, step: StepKey) {
        let Some(mut pace) = self.learning.step_durations.remove(&step) else {
            return;
        };
        self.record_speed_samples(now, pace.finish());
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
        let (queue, kind) = (&job.record.queue, StepClass::of(spec));
        // Too few tasks to tell of one another are told by those of other jobs.
        let forecast = durations.forecast(now, queue, kind);
        if let Some(forecast) = forecast.filter(|_| !spec.is_gang) {
            for task in pace.unsampled() {
                let speed = ratio(forecast.likely, task.duration);
                let service = &task.service;
                speeds.record_against_forecast(
                    now,
                    service,
                    &task.machine,
                    speed,
                    forecast.log_std_dev(),
                );
            }
        }
        durations.record(now, queue, kind, actual);
        if let Some(job) = self.jobs.get_mut(&step.job) {
            job.done_lengths.insert(step, actual);
        }
    }

    fn record_speed_samples(&mut self, now: Instant, samples: Vec<SpeedSample>) {
        for sample in samples {
            let speeds = &mut self.learning.speeds;
            speeds.record(now, &sample.machine, sample.speed);
        }
    }

    /// Works out anew what is estimated of workers' speeds, now and then.
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
        self.prune_learned();
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
            let estimated = found.map_or_else(WorkerSpeed::default, |it| it.worker_speed(speed));
            let machine = self.workers[*key].machine();
            let is_ejected = self.learning.speeds.is_ejected(now, machine);
            self.workers[*key].speed = WorkerSpeed {
                is_ejected,
                ..estimated
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
        let is_fresh = now.since(run.listed_at) <= OVERDUE_REPORT_AGE_LIMIT;
        let spent = run.listed_at.since(run.begun_at?);
        if !is_fresh || run.overdue_count >= OVERDUE_SAMPLES_LIMIT_COUNT {
            return None;
        }
        let job = self.jobs.get(&task.step.job)?;
        let spec = job.record.spec.steps.get(task.step.step as usize)?;
        if spec.is_gang || !worker.is_speed_sample(run, spec) {
            return None;
        }
        let pace = self.learning.step_durations.get(&task.step);
        let by_step = pace.and_then(StepDurations::likely);
        let by_queue = || {
            Some(
                self.learned_task_duration(&job.record.queue, task.step, spec)?
                    .late,
            )
        };
        let expected = scaled(by_step.or_else(by_queue)?, 1.0 / worker.speed.factor);
        let factor = OVERDUE_FACTOR << run.overdue_count;
        (spent >= expected.times(factor)).then(|| ratio(expected, spent) * worker.speed.factor)
    }

    fn prune_learned(&mut self) {
        let jobs = &self.jobs;
        let is_active = |step: &StepKey| {
            let job = jobs.get(&step.job);
            job.is_some_and(|job| job.state.phase == Phase::Active)
        };
        self.learning
            .step_durations
            .retain(|step, _| is_active(step));
        self.learning.speeds.forget_old();
    }
}

/// Returns how many times a duration is another.
pub(crate) fn ratio(duration: Duration, other: Duration) -> f64 {
    duration.as_ms() as f64 / other.as_ms().max(1) as f64
}

/// Returns a duration by a factor.
pub(crate) fn scaled(duration: Duration, factor: f64) -> Duration {
    Duration::from_ms((duration.as_ms() as f64 * factor).round() as u64)
}
