//! Starts that were never answered and may still be carried out.
//!
//! A call without an answer may be done some seconds later, and by a life that follows under
//! the same id: that one has neither seen the leader's fence nor been told to stop the run.

use crate::job::TaskKey;
use ospreywing_types::{Duration, Instant};
use std::collections::VecDeque;

/// How late an order may be carried out: the longest seen is 12 s.
const LATE_LIMIT: Duration = Duration::from_s(15);
/// The most starts that are remembered for a worker, the latest ones. A worker holds some
/// tens of runs, and a start is sent three times at most.
const REMEMBERED_LIMIT_COUNT: usize = 64;

/// A start whose run was given up.
#[derive(Clone, Copy, Debug)]
struct OpenStart {
    task: TaskKey,
    run: u32,
    sent_at: Instant,
}

/// The starts sent to one worker that may still be carried out, though their runs were
/// given up.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenStarts {
    starts: VecDeque<OpenStart>,
}

impl OpenStarts {
    /// Remembers a start.
    pub(crate) fn remember(&mut self, sent_at: Instant, task: TaskKey, run: u32) {
        if self.starts.len() == REMEMBERED_LIMIT_COUNT {
            self.starts.pop_front();
        }
        self.starts.push_back(OpenStart { task, run, sent_at });
    }

    /// Forgets what can't be carried out any more.
    pub(crate) fn forget_old(&mut self, now: Instant) {
        self.starts
            .retain(|start| now.since(start.sent_at) < LATE_LIMIT);
    }

    /// Returns the tasks and their runs.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (TaskKey, u32)> + '_ {
        self.starts.iter().map(|start| (start.task, start.run))
    }
}
