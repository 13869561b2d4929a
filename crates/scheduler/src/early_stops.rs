//! Stops of unanswered starts that the next incarnation of a worker may carry out.
//!
//! An incarnation refuses a start if a stop of the run reaches it first. So stops are sent to
//! each new incarnation until it answers them. They are also sent at short intervals while a
//! worker leaves polls unanswered, since an incarnation that the leader has not heard of may be
//! there soon; and a worker with such starts is polled often enough to notice.

use crate::decision::{Decision, DecisionKind};
use crate::event::Action;
use crate::scheduler::Scheduler;
use crate::token_bucket::TokenBucket;
use crate::worker::{Worker, WorkerKey};
use cranelift_entity::EntityRef;
use ospreywing_types::{Duration, Instant};

/// The time after which the answer to a poll is overdue; it normally takes a few milliseconds.
const ANSWER_OVERDUE_AFTER: Duration = Duration::from_ms(40);
/// The maximum rate of these stops. A leader on half a core sends some 1,200 polls a second.
const STOPS_PER_S: f64 = 200.0;
/// The maximum number of workers with unanswered starts that are polled without a wait, so that
/// these polls add at most 200 calls a second.
const CLOSELY_WATCHED_LIMIT_COUNT: usize = 16;

/// Returns the budget of stops of unanswered starts.
pub(crate) fn stop_budget() -> TokenBucket {
    let mut budget = TokenBucket::default();
    budget.set_rate(STOPS_PER_S);
    budget
}

impl Worker {
    /// Returns whether the worker's next incarnation may carry out an unanswered start. Where
    /// incarnations are not reported, each has an id of its own and refuses such a start.
    pub(crate) fn has_start_at_risk(&self, now: Instant) -> bool {
        self.incarnation.is_some() && self.open_starts.has_pending(now)
    }

    /// Returns whether an idle worker is polled only because of an unanswered start.
    pub(crate) fn is_only_watched(&self, now: Instant) -> bool {
        self.runs.is_empty()
            && self.has_start_at_risk(now)
            && !self.has_new_ack()
            && !self.has_unknown_run
    }

    /// Returns whether the worker may be restarting: the answer to a poll is overdue or missing,
    /// or another incarnation may be there.
    fn may_be_restarting(&self, now: Instant) -> bool {
        let is_answer_overdue =
            self.is_poll_open && now.since(self.poll_held_until) >= ANSWER_OVERDUE_AFTER;
        is_answer_overdue
            || self.unanswered_polls_count > 0
            || !self.is_reachable
            || self.unconfirmed_since.is_some()
    }
}

impl Scheduler {
    /// Returns whether workers with unanswered starts may be polled without a wait.
    pub(crate) fn may_watch_closely(&self, now: Instant) -> bool {
        let workers = self.workers.values();
        let watched = workers.filter(|it| !it.is_gone && it.has_start_at_risk(now));
        watched.count() <= CLOSELY_WATCHED_LIMIT_COUNT
    }

    /// Moves the unanswered starts to the next incarnation, which may carry them out.
    pub(crate) fn move_open_starts(&mut self, from: WorkerKey, to: WorkerKey) {
        let mut open_starts = core::mem::take(&mut self.workers[from].open_starts);
        open_starts.begin_incarnation();
        self.workers[to].open_starts = open_starts;
    }

    /// Sends the stops of unanswered starts that are due, as far as the budget allows. The next
    /// round begins with the first worker that got none.
    pub(crate) fn stop_open_starts(&mut self, now: Instant, out: &mut Vec<Action>) {
        let count = self.workers.len();
        let first = self.first_to_stop;
        for offset in 0..count {
            let index = (first + offset) % count;
            if !self.send_due_stops_of_open_starts(now, WorkerKey::new(index), out) {
                self.first_to_stop = index;
                return;
            }
        }
    }

    /// Sends one worker the stops of unanswered starts that are due; returns whether the budget
    /// allowed all of them.
    pub(crate) fn send_due_stops_of_open_starts(
        &mut self,
        now: Instant,
        key: WorkerKey,
        out: &mut Vec<Action>,
    ) -> bool {
        let worker = &mut self.workers[key];
        worker.open_starts.remove_expired(now);
        if worker.is_gone || !worker.has_start_at_risk(now) {
            return true;
        }
        let may_be_restarting = worker.may_be_restarting(now);
        for stop in worker.open_starts.stops_due(now, may_be_restarting) {
            if !self.stop_budget.try_take(now) {
                return false;
            }
            let to = worker.endpoint(key);
            let (task, run) = (stop.task, stop.run);
            if stop.is_first {
                let line = Decision::new(
                    DecisionKind::StopSent,
                    "start of an earlier life unanswered",
                );
                let line = line.with_run(task, run).with_worker(&to.id);
                out.push(Action::Log(line));
            }
            out.push(Action::Stop { to, task, run });
        }
        true
    }
}
