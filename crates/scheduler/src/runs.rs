//! The runs that occupy workers, and what they take of their customers' limits.

use crate::job::TaskKey;
use crate::scheduler::Scheduler;
use crate::worker::{Run, WorkerKey};

impl Scheduler {
    /// Adds a run that this leader starts or has inherited.
    pub(crate) fn add_run(&mut self, worker: WorkerKey, task: TaskKey, run: Run) {
        self.accounts.charge(run.charge);
        self.shares.charge(&run);
        self.workers[worker].insert_run(task, run);
    }

    /// Adds a run that an earlier leader started, when the worker may have held more.
    pub(crate) fn add_foreign_run(&mut self, worker: WorkerKey, task: TaskKey, run: Run) {
        self.accounts.charge(run.charge);
        self.shares.charge(&run);
        self.workers[worker].insert_foreign_run(task, run);
    }

    /// Removes a run that can't be alive any more.
    pub(crate) fn remove_run(&mut self, worker: WorkerKey, task: TaskKey) {
        if let Some(run) = self.workers[worker].remove_run(task) {
            self.accounts.refund(run.charge);
            self.shares.refund(&run);
            if run.has_open_start() {
                let open_starts = &mut self.workers[worker].open_starts;
                open_starts.remember(run.sent_at, task, run.run);
            }
        }
    }
}
