//! Rules on tasks, checked independently of the scheduler at each start and acknowledgement.

use super::worker::FakeWorker;
use ospreywing_scheduler::{EndKind, JobId, JobRecord, StartOrder, StepKey, TaskKey};
use std::collections::{BTreeMap, BTreeSet};

/// The history of all tasks of a simulation.
#[derive(Default)]
pub struct Rules {
    /// Tasks with an end `done` that is recorded permanently: it was acknowledged to its worker,
    /// whose lease had held since the end.
    pub done_recorded: BTreeSet<TaskKey>,
    /// When each task was started last.
    started_at_ms: BTreeMap<TaskKey, u64>,
    /// When each task was started first.
    pub first_started_ms: BTreeMap<TaskKey, u64>,
    /// Tasks with any end `done`.
    pub done: BTreeSet<TaskKey>,
    /// Runs with any end `failed`, by task.
    pub failed: BTreeMap<TaskKey, BTreeSet<u32>>,
    /// Runs with an acknowledged end `failed`, by task.
    pub failed_recorded: BTreeMap<TaskKey, BTreeSet<u32>>,
    /// Acknowledged ends `done` that don't count, because the lease had expired since the end.
    pub expired_ends_count: usize,
    /// Tasks with an acknowledged end `done`, whether or not the lease had expired.
    pub done_acked: BTreeSet<TaskKey>,
    pub starts_count: usize,
    /// Starts from a checkpoint.
    pub resumed_count: usize,
    /// The checkpoint that the starts of each gang's run carry.
    gang_checkpoints: BTreeMap<(StepKey, u32), Option<String>>,
    /// How many workers each task has crashed, and its starts after the first crashes.
    pub crashes: BTreeMap<TaskKey, CrashCount>,
    /// How many workers were lost while a run of the task was on them, for any cause.
    worker_losses: BTreeMap<TaskKey, usize>,
}

/// The crashes that a task caused, and its starts after the first three.
#[derive(Clone, Copy, Debug, Default)]
pub struct CrashCount {
    pub crashes_count: usize,
    starts_after_count: usize,
}

/// The crashes of a task after which its starts are counted.
const UNCOUNTED_CRASHES_COUNT: usize = 3;
/// The workers that must have been lost under a task before its job may be failed.
const LOSSES_BEFORE_FAILURE_COUNT: usize = 2;
/// The number of counted starts that breaks the rule.
const STARTS_AFTER_LIMIT_COUNT: usize = 3;

/// Returns how often a task of the job may fail.
fn attempts_limit_of(record: &JobRecord) -> usize {
    let policy = record.policy.as_ref();
    let limit_count = policy.map_or(super::ATTEMPTS_COUNT, |policy| {
        policy.queue.attempts_limit_count
    });
    limit_count as usize
}

impl Rules {
    /// Checks that a job that is shown as failed has used up its attempts. The members of a gang
    /// use up one limit together.
    pub fn check_failed_job(&self, id: JobId, record: &JobRecord) {
        let limit_count = attempts_limit_of(record);
        let mut runs_of_steps: BTreeMap<StepKey, BTreeSet<u32>> = BTreeMap::new();
        let mut is_used_up = false;
        for (task, runs) in self.failed.iter().filter(|(task, _)| task.step.job == id) {
            let runs_of_step = runs_of_steps.entry(task.step).or_default();
            runs_of_step.extend(runs);
            let is_gang = record.spec.steps[task.step.step as usize].is_gang;
            let counted = if is_gang { &*runs_of_step } else { runs };
            is_used_up |= counted.len() >= limit_count;
        }
        assert!(
            is_used_up,
            "job {id} was failed before its attempts were used up"
        );
    }

    /// Records the ends that a worker is about to forget.
    ///
    /// A start after an end `done` breaks the rule even if the end is acknowledged only later.
    pub fn record_acks(&mut self, worker: &FakeWorker, now_ms: u64, last_seen: u64) {
        for end in worker.ended.iter().filter(|end| end.number <= last_seen) {
            let task = end.task;
            match end.kind {
                EndKind::Done => {
                    self.done_acked.insert(task);
                    let (ended_at_ms, is_lease_held) =
                        worker.end_time_and_lease(end.number, now_ms);
                    if !is_lease_held {
                        self.expired_ends_count += 1;
                        continue;
                    }
                    self.done_recorded.insert(task);
                    let started_at_ms = self.started_at_ms.get(&task).copied().unwrap_or(0);
                    assert!(
                        started_at_ms <= ended_at_ms,
                        "{task} started again at {started_at_ms} ms after its run {} had \
                         ended as done at {ended_at_ms} ms, which was recorded at {now_ms} ms",
                        end.run
                    );
                }
                EndKind::Failed => {
                    let runs = self.failed_recorded.entry(task).or_default();
                    runs.insert(end.run);
                }
                _ => {}
            }
        }
    }

    /// Checks a start that worker `index` is about to carry out.
    pub fn check_start(
        &mut self,
        now_ms: u64,
        workers: &[FakeWorker],
        index: usize,
        order: &StartOrder,
        jobs: &BTreeMap<JobId, JobRecord>,
    ) {
        self.starts_count += 1;
        let task = order.task;
        self.started_at_ms.insert(task, now_ms);
        self.first_started_ms.entry(task).or_insert(now_ms);
        let record = jobs.get(&task.step.job).expect("a job that was accepted");
        let spec = &record.spec.steps[task.step.step as usize];
        assert!(
            !self.done_recorded.contains(&task),
            "{task} starts after its end was noted"
        );
        assert!(
            !self.done_acked.contains(&task),
            "{task} starts after its end was acknowledged, lease expired or not"
        );
        let failed_count = self.failed_recorded.get(&task).map_or(0, BTreeSet::len);
        assert!(
            failed_count < attempts_limit_of(record),
            "{task} starts after its attempts were used up"
        );
        for (other, worker) in workers.iter().enumerate() {
            let is_same =
                other == index && worker.runs.get(&task).is_some_and(|r| r.run == order.run);
            let runs = worker.is_alive && worker.runs.contains_key(&task);
            assert!(!runs || is_same, "{task} runs twice, on {}", worker.id);
        }
        for earlier in &spec.depends_on {
            let earlier_step = &record.spec.steps[*earlier as usize];
            for number in 0..earlier_step.tasks_count {
                let mut key = task;
                key.step.step = *earlier;
                key.index = number;
                let is_done = self.done.contains(&key) || earlier_step.is_gang;
                assert!(is_done, "{task} starts before {key} is done");
            }
        }
        self.check_crashes(task);
        self.check_checkpoint(order, spec.is_gang);
    }

    /// Checks that a start carries a checkpoint of its own task or gang, and that all members
    /// of a gang's run carry the same one.
    fn check_checkpoint(&mut self, order: &StartOrder, is_gang: bool) {
        let task = order.task;
        if let Some(checkpoint) = &order.checkpoint {
            self.resumed_count += 1;
            let owner = if is_gang {
                format!("{}.", task.step)
            } else {
                format!("{task} ")
            };
            assert!(
                checkpoint.starts_with(&owner),
                "{task} starts from the checkpoint {checkpoint}"
            );
        }
        if is_gang {
            let of_run = self.gang_checkpoints.entry((task.step, order.run));
            let first = of_run.or_insert_with(|| order.checkpoint.clone());
            assert_eq!(
                first, &order.checkpoint,
                "{task}: the members of a gang start from different checkpoints"
            );
        }
    }

    /// Records a worker crash that a task caused.
    pub fn record_worker_crash(&mut self, task: TaskKey) {
        self.crashes.entry(task).or_default().crashes_count += 1;
    }

    /// Records the loss of a worker and the runs on it.
    pub fn record_worker_loss(&mut self, worker: &FakeWorker) {
        for task in worker.runs.keys() {
            *self.worker_losses.entry(*task).or_default() += 1;
        }
    }

    /// Returns whether a job may be failed for the workers that were lost under one of its
    /// tasks.
    pub fn may_be_failed(&self, job: JobId) -> bool {
        let mut lost = self.worker_losses.iter();
        lost.any(|(task, count)| task.step.job == job && *count >= LOSSES_BEFORE_FAILURE_COUNT)
    }

    /// Checks that the starts of a task that crashes its workers are bounded.
    fn check_crashes(&mut self, task: TaskKey) {
        let Some(count) = self.crashes.get_mut(&task) else {
            return;
        };
        if count.crashes_count >= UNCOUNTED_CRASHES_COUNT {
            count.starts_after_count += 1;
            assert!(
                count.starts_after_count < STARTS_AFTER_LIMIT_COUNT,
                "{task} is started too often after it has crashed {} workers",
                count.crashes_count
            );
        }
    }

    /// Checks that a worker's runs fit its capacity with the start included.
    pub fn check_capacity(
        &self,
        now_ms: u64,
        worker: &FakeWorker,
        order: &StartOrder,
        jobs: &BTreeMap<JobId, JobRecord>,
    ) {
        let step = order.task.step;
        let mut used = jobs[&step.job].spec.steps[step.step as usize].demand;
        for (task, run) in &worker.runs {
            if *task != order.task {
                used += run.demand;
            }
        }
        let id = &worker.id;
        assert!(
            used.fits_in(&worker.effective_capacity(now_ms)),
            "{id} gets starts beyond its capacity"
        );
    }
}
