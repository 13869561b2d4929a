//! Accounting of the runs that occupy workers: capacity, customers' limits and fair shares.

use crate::job::TaskKey;
use crate::scheduler::Scheduler;
use crate::worker::{Run, WorkerKey};

impl Scheduler {
    /// Adds a run that this leader starts or has recovered.
    pub(crate) fn add_run(&mut self, worker: WorkerKey, task: TaskKey, run: Run) {
        self.accounts.charge(run.charge);
        self.shares.charge(&run);
        self.workers[worker].insert_run(task, run);
    }

    /// Adds a run that this leader didn't place on the worker. It may exceed the worker's
    /// capacity, which may have been larger when an earlier leader started the run.
    pub(crate) fn add_foreign_run(&mut self, worker: WorkerKey, task: TaskKey, run: Run) {
        self.accounts.charge(run.charge);
        self.shares.charge(&run);
        self.workers[worker].insert_foreign_run(task, run);
    }

    /// Removes a run that can no longer be alive.
    pub(crate) fn remove_run(&mut self, worker: WorkerKey, task: TaskKey) {
        if let Some(run) = self.workers[worker].remove_run(task) {
            self.accounts.refund(run.charge);
            self.shares.refund(&run);
            if run.has_unanswered_start() {
                let open_starts = &mut self.workers[worker].open_starts;
                open_starts.add(run.sent_at, task, run.run);
            }
        }
    }
}
