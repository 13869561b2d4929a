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

/// The time after which a stop is repeated if the worker does not refuse the start yet; an
/// answer normally takes a few milliseconds.
const STOP_RETRY: Duration = Duration::from_ms(40);
/// The interval between stops sent to a worker that may be restarting, one of which should be
/// the first call that the next incarnation reads.
const EARLY_STOP_INTERVAL: Duration = Duration::from_ms(20);
/// The maximum number of stops that are due at once for a worker, so that one with many starts
/// leaves some of the leader's budget to the others.
const STOPS_DUE_LIMIT_COUNT: usize = 4;

/// An unanswered start whose run has ended or was released.
#[derive(Clone, Copy, Debug)]
struct OpenStart {
    task: TaskKey,
    run: u32,
    sent_at: Instant,
    /// Whether the worker's current incarnation refuses the start: the run ended there, or a
    /// stop was answered.
    is_refused: bool,
    /// When a stop was last sent, if ever.
    stop_sent_at: Option<Instant>,
}

/// A stop to send because a start may still be carried out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopDue {
    pub(crate) task: TaskKey,
    pub(crate) run: u32,
    /// Whether it is the first stop for this start.
    pub(crate) is_first: bool,
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
            is_refused: true,
            stop_sent_at: None,
        });
    }

    /// Returns whether any start may still be carried out.
    pub(crate) fn has_pending(&self, now: Instant) -> bool {
        self.starts.iter().any(|start| start.is_pending(now))
    }

    /// Removes the starts that can't be carried out any more.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        self.starts.retain(|start| start.is_pending(now));
    }

    /// Records that a new incarnation has begun, which refuses none of the starts yet.
    pub(crate) fn begin_incarnation(&mut self) {
        for start in &mut self.starts {
            start.is_refused = false;
            start.stop_sent_at = None;
        }
    }

    /// Returns the stops that are due, the least recently repeated first, and records that they
    /// are sent.
    ///
    /// A worker that may be restarting is sent stops for all starts, since the incarnation that
    /// reads them may be one that refuses none.
    pub(crate) fn stops_due(&mut self, now: Instant, may_be_restarting: bool) -> Vec<StopDue> {
        let interval = if may_be_restarting {
            EARLY_STOP_INTERVAL
        } else {
            STOP_RETRY
        };
        let is_due = |start: &&mut OpenStart| {
            let is_wanted = may_be_restarting || !start.is_refused;
            is_wanted && start.is_interval_over(now, interval)
        };
        let mut due: Vec<&mut OpenStart> = self.starts.iter_mut().filter(is_due).collect();
        due.sort_by_key(|start| start.stop_sent_at);
        let due = due.into_iter().take(STOPS_DUE_LIMIT_COUNT);
        due.map(|start| start.send_stop(now)).collect()
    }

    /// Records that the current incarnation has answered the stop of a run.
    pub(crate) fn confirm_stop(&mut self, task: TaskKey, run: u32) {
        for start in &mut self.starts {
            if (start.task, start.run) == (task, run) {
                start.is_refused = true;
            }
        }
    }

    /// Returns the number of starts that the current incarnation is not known to refuse.
    pub(crate) fn unrefused_count(&self) -> usize {
        self.starts.iter().filter(|start| !start.is_refused).count()
    }
}

impl OpenStart {
    fn is_pending(&self, now: Instant) -> bool {
        now.since(self.sent_at) < LATE_LIMIT
    }

    fn is_interval_over(&self, now: Instant, interval: Duration) -> bool {
        self.stop_sent_at
            .is_none_or(|sent_at| now.since(sent_at) >= interval)
    }

    const fn send_stop(&mut self, now: Instant) -> StopDue {
        StopDue {
            task: self.task,
            run: self.run,
            is_first: self.stop_sent_at.replace(now).is_none(),
        }
    }
}
