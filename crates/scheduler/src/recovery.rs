//! Recovery of the scheduler's state from the store at the start of a term.

use crate::config::{Configuration, SchedulerConfig};
use crate::cordons::Cordons;
use crate::forecast::Forecasts;
use crate::incarnation::Incarnation;
use crate::job::{JobId, JobRecord, StepKey, TaskKey};
use crate::jobs::Job;
use crate::scheduler::Scheduler;
use crate::state::{JobOutcome, JobState, Phase, TaskStatus};
use crate::worker::{lease_bound, Run, RunPhase, Worker, WorkerFacts, WorkerKey};
use ospreywing_types::{Instant, Resources};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

/// The stored state at the start of a term.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    /// The accepted jobs, in order of acceptance.
    pub jobs: Vec<(JobId, JobRecord)>,
    /// The ended jobs, of which only the outcome is stored.
    pub ended: Vec<(JobId, JobOutcome)>,
    /// The cancelled jobs.
    pub cancels: Vec<JobId>,
    /// The progress of jobs that have any.
    pub states: Vec<(JobId, JobState)>,
    /// The jobs with a stored value that can't be read, because its format is newer or it
    /// is damaged.
    pub unreadable: Vec<JobId>,
    /// The cordoned data centres.
    pub cordons: BTreeSet<Arc<str>>,
    /// The wall-clock time in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

/// A run that an earlier leader recorded.
struct RecoveredRun {
    task: TaskKey,
    run: u32,
    worker: String,
    incarnation: Option<Incarnation>,
}

impl Scheduler {
    /// Creates the scheduler of a term from the stored state.
    ///
    /// A recorded run may be alive, or its start may still be in transit, until its worker
    /// has answered under this leader's fencing token or every lease that an earlier leader
    /// may have granted has expired.
    pub fn new(
        config: SchedulerConfig,
        configuration: Configuration,
        now: Instant,
        recovered: Recovered,
    ) -> Self {
        let mut scheduler = Self::empty(config, configuration);
        scheduler.recovered_leases_until = lease_bound(now, config.recovered_lease_limit);
        scheduler.forecasts = Forecasts::new(now);
        scheduler.wall_ms = recovered.wall_ms;
        scheduler.cordons = Cordons::new(recovered.cordons);
        scheduler.unreadable = recovered.unreadable.into_iter().collect();
        let mut states: HashMap<JobId, JobState> = recovered.states.into_iter().collect();
        let cancelled: HashSet<JobId> = recovered.cancels.into_iter().collect();
        for (id, record) in recovered.jobs {
            let state = states.remove(&id).unwrap_or_default();
            scheduler.recover_job(now, id, record, state);
        }
        for (id, outcome) in recovered.ended {
            scheduler.recover_outcome(now, id, outcome);
        }
        let mut ignored = Vec::new();
        for id in cancelled {
            scheduler.cancel_job(now, id, &mut ignored);
        }
        scheduler
    }

    fn recover_outcome(&mut self, now: Instant, id: JobId, outcome: JobOutcome) {
        let state = JobState {
            phase: outcome.phase,
            ..JobState::default()
        };
        let record = JobRecord {
            customer: outcome.customer,
            ..JobRecord::default()
        };
        let mut job = Job::new(record, state, now);
        job.ended_at = Some(now);
        self.jobs.insert(id, job);
    }

    fn recover_job(&mut self, now: Instant, id: JobId, record: JobRecord, state: JobState) {
        let runs = recovered_runs(id, &state);
        let phase = state.phase;
        self.insert_job(now, id, record, state);
        if phase != Phase::Active {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.ended_at = Some(now);
            }
            self.unsettled.insert(id);
        }
        for run in runs {
            self.recover_run(now, run);
        }
    }

    fn recover_run(&mut self, now: Instant, recovered: RecoveredRun) {
        let key = self.placeholder(&recovered.worker);
        let demand = self.demand_of(recovered.task).unwrap_or_default();
        let run = Run {
            phase: RunPhase::Recovered,
            recorded_incarnation: recovered.incarnation,
            role: self.role_of(recovered.task),
            is_on_probation: self.is_suspect(recovered.task),
            charge: self.charge_of(recovered.task.step),
            ..Run::new(recovered.run, demand, now)
        };
        self.add_run(key, recovered.task, run);
        self.placements.insert(recovered.task, key);
    }

    /// Returns the worker with this id; adds one of which only the id is known if there is
    /// none.
    fn placeholder(&mut self, id: &str) -> WorkerKey {
        if let Some(&key) = self.workers_by_id.get(id) {
            return key;
        }
        let id: Arc<str> = Arc::from(id);
        let facts = WorkerFacts {
            id: id.clone(),
            incarnation: None,
            address: Arc::from(""),
            service: Arc::from(""),
            machine: None,
            data_centre: Arc::from(""),
            rack: None,
            labels: Vec::new(),
            capacity: Resources::ZERO,
            is_draining: false,
            departs_at_clock_ms: None,
        };
        let mut worker = Worker::new(facts, self.recovered_leases_until);
        worker.is_listed = false;
        let key = self.workers.push(worker);
        self.workers_by_id.insert(id, key);
        key
    }
}

fn recovered_runs(id: JobId, state: &JobState) -> Vec<RecoveredRun> {
    let mut runs = Vec::new();
    for round in &state.rounds {
        for (number, step) in round.steps.iter().enumerate() {
            let key = StepKey {
                job: id,
                round: round.number,
                step: number as u32,
            };
            for (index, task) in step.tasks.iter().enumerate() {
                if let TaskStatus::Placed {
                    worker,
                    incarnation,
                } = &task.status
                {
                    runs.push(RecoveredRun {
                        task: key.task(index as u32),
                        run: task.last_run,
                        worker: worker.clone(),
                        incarnation: *incarnation,
                    });
                }
            }
        }
    }
    runs
}
