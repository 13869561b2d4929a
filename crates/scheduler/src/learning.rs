//! What a leader learns during its term: durations of tasks and speeds of machines.
//!
//! Only runs count whose whole duration is known and was spent on the task's work: started
//! from the beginning by this leader, with the first start order acknowledged, on the rack of
//! the step's data, of a task that doesn't interfere with others, and successful. Nothing of
//! this is stored.

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

/// A run counts only if its duration is at least this many times the time for which its end
/// may have been unknown: tasks of one step differ by a third anyway.
const MIN_DURATION_PER_END_LAG: u64 = 3;
/// Interval between updates of all workers' speeds.
const REFRESH_PERIOD: Duration = Duration::from_ms(1000);
/// A run that takes twice its step's median, or twice its queue's 0.9 quantile, is a speed
/// sample of its machine before it ends, since on a hung machine it may never end. It is a
/// sample again each time that its duration has doubled, so that two such runs suffice.
const OVERDUE_FACTOR: u64 = 2;
/// Maximum number of samples per overdue run.
const OVERDUE_SAMPLES_LIMIT_COUNT: u32 = 6;
/// An overdue run counts only if its worker listed it within this time, a few lease renewals.
const OVERDUE_REPORT_AGE_LIMIT: Duration = Duration::from_ms(5000);
/// Speeds of a service's workers are used only if the fastest and the slowest differ by this
/// factor, without the outliers at either end: tasks of a step differ by less.
const MIN_SPEED_RATIO: f64 = 1.25;
/// Minimum number of workers whose speed must be known for that.
const MIN_KNOWN_SPEEDS_COUNT: usize = 4;
/// One in this many speeds is left out at either end.
const TRIM_DIVISOR: usize = 20;
/// A worker below this factor of its service's median is slow: midway between a typical one
/// and one that takes 1.3 times as long.
const SLOW_BELOW_FACTOR: f64 = 0.87;
/// A worker above this factor is fast.
const FAST_ABOVE_FACTOR: f64 = 1.25;

/// A worker's speed compared with the median of its service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum SpeedClass {
    Slow,
    #[default]
    Typical,
    Fast,
}

/// The estimated speed of a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerSpeed {
    /// The speed as a factor of the typical one of its service.
    pub(crate) factor: f64,
    pub(crate) class: SpeedClass,
    /// Whether it is placed on last, since it has been slow recently.
    pub(crate) is_ejected: bool,
}

impl WorkerSpeed {
    /// Returns whether the speed is known to differ from the typical one.
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
    /// The lower end of the speeds, as a factor of the median.
    pub(crate) low_factor: f64,
    median: f64,
}

impl ServiceSpeeds {
    /// Returns the service's speeds if enough are known and they differ.
    fn of(mut speeds: Vec<f64>) -> Option<Self> {
        if speeds.len() < MIN_KNOWN_SPEEDS_COUNT {
            return None;
        }
        speeds.sort_by(f64::total_cmp);
        let trimmed = speeds.len() / TRIM_DIVISOR;
        let median = speeds[speeds.len() / 2];
        let low_factor = speeds[trimmed] / median;
        let high_factor = speeds[speeds.len() - 1 - trimmed] / median;
        let are_different = high_factor / low_factor >= MIN_SPEED_RATIO;
        are_different.then_some(Self { low_factor, median })
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
    /// The steps that have some finished tasks and some unfinished ones.
    pub(crate) step_durations: HashMap<StepKey, StepDurations>,
    /// The services whose workers' speeds differ.
    pub(crate) services: HashMap<Arc<str>, ServiceSpeeds>,
    /// The time of the last update.
    pub(crate) now: Instant,
    next_refresh_at: Instant,
}

/// A finished run whose duration counts for its step.
pub(crate) struct FinishedRun {
    step: StepKey,
    tasks_count: usize,
    task: FinishedTask,
}

impl Worker {
    /// Returns the machine on which the worker runs, or the worker's id if the machine isn't
    /// known.
    pub(crate) fn machine(&self) -> &Arc<str> {
        self.facts.machine.as_ref().unwrap_or(&self.facts.id)
    }

    /// Returns whether a run's duration counts for its step: it is a speed sample and hasn't
    /// been one while it was overdue.
    fn is_duration_sample(&self, run: &Run, spec: &StepSpec) -> bool {
        run.overdue_count == 0 && self.is_speed_sample(run, spec)
    }

    /// Returns whether a run's duration is known and was spent on the whole task,
    /// undisturbed.
    fn is_speed_sample(&self, run: &Run, spec: &StepSpec) -> bool {
        let is_whole = run.checkpoint.is_none() && !spec.is_perpetual;
        let is_start_known = run.start_sends_count == 1 && run.start_answers_count == 1;
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

    /// Returns the duration of a run that a worker lists as ended, if it counts for its step.
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
        // Only the first member of a gang that ends counts, for the whole gang.
        let is_counted = step.tasks.get(end.task.index as usize)?.status == TaskStatus::Done;
        let duration = now.since(run.begun_at?);
        let is_end_known = worker.end_detection_delay.times(MIN_DURATION_PER_END_LAG) <= duration;
        if is_counted || !is_end_known || !worker.is_duration_sample(run, spec) {
            return None;
        }
        // A gang is as slow as its slowest member, which isn't known.
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

    /// Records a finished run.
    pub(crate) fn record_finished_run(&mut self, now: Instant, finished: FinishedRun) {
        self.learning.now = now;
        let new = || StepDurations::new(finished.tasks_count);
        let step_durations = self
            .learning
            .step_durations
            .entry(finished.step)
            .or_insert_with(new);
        let samples = step_durations.record(finished.task);
        let should_update_estimates = step_durations.should_update_estimates();
        self.record_speed_samples(now, samples);
        if should_update_estimates {
            self.update_remaining(finished.step.job);
        }
    }

    /// Records a finished step.
    pub(crate) fn record_finished_step(&mut self, now: Instant, step: StepKey) {
        let Some(mut step_durations) = self.learning.step_durations.remove(&step) else {
            return;
        };
        self.record_speed_samples(now, step_durations.finish());
        let Some(job) = self.jobs.get(&step.job) else {
            return;
        };
        let spec = job.record.spec.steps.get(step.step as usize);
        let Some((spec, actual)) = spec.zip(step_durations.median()) else {
            return;
        };
        let Learning {
            durations, speeds, ..
        } = &mut self.learning;
        let (queue, class) = (&job.record.queue, StepClass::of(spec));
        // If the step has too few tasks to compare with each other, its tasks are compared
        // with the forecast, which comes from other jobs.
        let forecast = durations.forecast(now, queue, class);
        if let Some(forecast) = forecast.filter(|_| !spec.is_gang) {
            for task in step_durations.unsampled() {
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
        durations.record(now, queue, class, actual);
        if let Some(job) = self.jobs.get_mut(&step.job) {
            job.finished_step_durations.insert(step, actual);
        }
    }

    fn record_speed_samples(&mut self, now: Instant, samples: Vec<SpeedSample>) {
        for sample in samples {
            let speeds = &mut self.learning.speeds;
            speeds.record(now, &sample.machine, sample.speed);
        }
    }

    /// Updates the estimated speeds of workers, if that is due.
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
        // A machine may be listed with two incarnations of its worker.
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
                .with_figure(ejection.duration.as_ms());
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

    /// Records speed samples of runs that take far longer than others.
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

    /// Returns the upper bound that an overdue run gives for its machine's speed; `None` if the
    /// run isn't overdue.
    fn overdue_speed(
        &self,
        now: Instant,
        worker: &Worker,
        task: TaskKey,
        run: &Run,
    ) -> Option<f64> {
        let is_fresh = now.since(run.listed_at) <= OVERDUE_REPORT_AGE_LIMIT;
        let elapsed = run.listed_at.since(run.begun_at?);
        if !is_fresh || run.overdue_count >= OVERDUE_SAMPLES_LIMIT_COUNT {
            return None;
        }
        let job = self.jobs.get(&task.step.job)?;
        let spec = job.record.spec.steps.get(task.step.step as usize)?;
        if spec.is_gang || !worker.is_speed_sample(run, spec) {
            return None;
        }
        let step_durations = self.learning.step_durations.get(&task.step);
        let by_step = step_durations.and_then(StepDurations::likely);
        let by_queue = || {
            Some(
                self.learned_task_duration(&job.record.queue, task.step, spec)?
                    .late,
            )
        };
        let expected = scaled(by_step.or_else(by_queue)?, 1.0 / worker.speed.factor);
        let factor = OVERDUE_FACTOR << run.overdue_count;
        (elapsed >= expected.times(factor)).then(|| ratio(expected, elapsed) * worker.speed.factor)
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
        self.learning.speeds.evict_oldest();
    }
}

/// Returns a duration divided by another.
pub(crate) fn ratio(duration: Duration, other: Duration) -> f64 {
    duration.as_ms() as f64 / other.as_ms().max(1) as f64
}

/// Returns a duration multiplied by a factor.
pub(crate) fn scaled(duration: Duration, factor: f64) -> Duration {
    Duration::from_ms((duration.as_ms() as f64 * factor).round() as u64)
}
