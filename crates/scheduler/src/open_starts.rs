//! Starts that were never answered and may still be carried out.
//!
//! A call without an answer may be done some seconds later, and by a life that follows under
//! the same id: that one has neither seen the leader's fence nor been told to stop the run.
//! So each life that follows is told to refuse these starts, until it answers.

use crate::job::TaskKey;
use ospreywing_types::{Duration, Instant};
use std::collections::VecDeque;

/// How late an order may be carried out: the longest seen is 12 s.
const LATE_LIMIT: Duration = Duration::from_s(15);
/// The most starts that are remembered for a worker, the latest ones. A worker holds some
/// tens of runs, and a start is sent three times at most.
const STARTS_LIMIT_COUNT: usize = 64;

/// Whether the worker's current life refuses a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopState {
    /// It does: its run ended there, or the stop was answered.
    Confirmed,
    /// A stop was sent at this instant and is not answered.
    SentAt(Instant),
}

/// An unanswered start whose run has ended or was given up.
#[derive(Clone, Copy, Debug)]
struct OpenStart {
    task: TaskKey,
    run: u32,
    sent_at: Instant,
    stop_state: StopState,
}

/// The starts sent to one worker that may still be carried out, though their runs have
/// ended or were given up.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenStarts {
    starts: VecDeque<OpenStart>,
}

impl OpenStarts {
    /// Remembers a start.
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

    /// Notes that another life has begun, which refuses none of the starts yet; returns
    /// those that it is to be told to refuse.
    pub(crate) fn begin_incarnation(&mut self, now: Instant) -> Vec<(TaskKey, u32)> {
        self.starts
            .retain(|start| now.since(start.sent_at) < LATE_LIMIT);
        for start in &mut self.starts {
            start.stop_state = StopState::SentAt(now);
        }
        self.starts.iter().map(OpenStart::run).collect()
    }

    /// Returns the starts whose stops were not answered within `retry`, and notes that these
    /// are sent again.
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

    /// Notes that the current life has answered the stop of a run.
    pub(crate) fn confirm_stop(&mut self, task: TaskKey, run: u32) {
        for start in &mut self.starts {
            if start.run() == (task, run) {
                start.stop_state = StopState::Confirmed;
            }
        }
    }

    /// Returns how many stops are not answered.
    pub(crate) fn unanswered_stops_count(&self) -> usize {
        let asked = self.starts.iter();
        let asked = asked.filter(|start| start.stop_state != StopState::Confirmed);
        asked.count()
    }
}

impl OpenStart {
    const fn run(&self) -> (TaskKey, u32) {
        (self.task, self.run)
    }
}
