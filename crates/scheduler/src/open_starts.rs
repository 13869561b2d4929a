//! Unanswered starts that may still be carried out.
//!
//! An unanswered call may be carried out some seconds later, possibly by the next
//! incarnation under the same id, which has neither seen the leader's fencing token nor
//! received a stop of the run. Each new incarnation is therefore sent stops for these
//! starts until it answers them.

use crate::job::TaskKey;
use ospreywing_types::{Duration, Instant};
use std::collections::VecDeque;

/// How late an order may be carried out; the longest delay observed is 12 s.
const LATE_LIMIT: Duration = Duration::from_s(15);
/// The maximum number of starts kept for a worker; the oldest are dropped. A worker holds a
/// few tens of runs, and a start is sent three times at most.
const STARTS_LIMIT_COUNT: usize = 64;

/// Whether the worker's current incarnation is known to refuse a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopState {
    /// It refuses the start: the run ended there, or the stop was answered.
    Confirmed,
    /// A stop was sent at this instant and is unanswered.
    SentAt(Instant),
}

/// An unanswered start whose run has ended or was released.
#[derive(Clone, Copy, Debug)]
struct OpenStart {
    task: TaskKey,
    run: u32,
    sent_at: Instant,
    stop_state: StopState,
}

/// The starts sent to one worker that may still be carried out, though their runs have
/// ended or were released.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenStarts {
    starts: VecDeque<OpenStart>,
}

impl OpenStarts {
    /// Adds a start.
    pub(crate) fn add(&mut self, sent_at: Instant, task: TaskKey, run: u32) {
        if self.starts.len() == STARTS_LIMIT_COUNT {
            self.starts.pop_front();
        }
        self.starts.push_back(OpenStart {
            task,
            run,
            sent_at,
            stop_state: StopState::Confirmed,
        });
    }

    /// Records that a new incarnation has begun, which does not refuse any of the starts
    /// yet; returns the runs to stop there.
    pub(crate) fn begin_incarnation(&mut self, now: Instant) -> Vec<(TaskKey, u32)> {
        self.starts
            .retain(|start| now.since(start.sent_at) < LATE_LIMIT);
        for start in &mut self.starts {
            start.stop_state = StopState::SentAt(now);
        }
        self.starts.iter().map(OpenStart::run).collect()
    }

    /// Returns the runs whose stops are unanswered for at least `retry`, and records that
    /// these are sent again.
    pub(crate) fn stops_to_repeat(&mut self, now: Instant, retry: Duration) -> Vec<(TaskKey, u32)> {
        let is_due = |start: &OpenStart| match start.stop_state {
            StopState::Confirmed => false,
            StopState::SentAt(at) => {
                now.since(at) >= retry && now.since(start.sent_at) < LATE_LIMIT
            }
        };
        let mut due = Vec::new();
        for start in self.starts.iter_mut().filter(|start| is_due(start)) {
            start.stop_state = StopState::SentAt(now);
            due.push(start.run());
        }
        due
    }

    /// Records that the current incarnation has answered the stop of a run.
    pub(crate) fn confirm_stop(&mut self, task: TaskKey, run: u32) {
        for start in &mut self.starts {
            if start.run() == (task, run) {
                start.stop_state = StopState::Confirmed;
            }
        }
    }

    /// Returns the number of unanswered stops.
    pub(crate) fn unanswered_stops_count(&self) -> usize {
        let unanswered = self.starts.iter();
        let unanswered = unanswered.filter(|start| start.stop_state != StopState::Confirmed);
        unanswered.count()
    }
}

impl OpenStart {
    const fn run(&self) -> (TaskKey, u32) {
        (self.task, self.run)
    }
}
