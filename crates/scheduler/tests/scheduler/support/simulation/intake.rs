//! How the leaders learn of accepted jobs and of cancels.

use super::{Message, Simulation};
use ospreywing_scheduler::{Event, JobId, TaskKey};
use rand::seq::SliceRandom;
use rand::Rng;

/// How long the store's watches return nothing before its history is lost.
const HISTORY_LOSS_MS: core::ops::Range<u64> = 300..3_000;
/// How long a message of another node takes: longer than some jobs take to be cancelled.
const MESSAGE_MS: core::ops::Range<u64> = 1..800;
/// The messages that reach the leader, in thousandths.
const DELIVERED_MESSAGES_PER_MILLE: u32 = 600;

/// Returns the job that an event cancels.
pub(super) const fn cancelled_job(event: &Event) -> Option<JobId> {
    match event {
        Event::CancelAccepted { job } => Some(*job),
        _ => None,
    }
}

impl Simulation {
    /// Has the leaders learn of a job or a cancel that is in the store.
    pub(super) fn announce(&mut self, event: Event) {
        if self.faults.lost_history > 0 {
            self.send_message(event.clone());
        }
        if !self.is_history_lost {
            self.send_to_leaders(event);
        }
    }

    /// Sends the newest leader a message of another node, which may be lost or overtaken.
    fn send_message(&mut self, event: Event) {
        let after_ms = self.rng.random_range(MESSAGE_MS);
        let is_delivered = self.rng.random_range(0..1000) < DELIVERED_MESSAGES_PER_MILLE;
        if let Some(leader) = self.leaders.last().filter(|_| is_delivered) {
            let term = leader.fence;
            self.post(after_ms, Message::HandleEvent { term, event });
        }
    }

    pub(super) fn lose_history(&mut self) {
        if !core::mem::replace(&mut self.is_history_lost, true) {
            let duration_ms = self.rng.random_range(HISTORY_LOSS_MS);
            self.post(duration_ms, Message::EndHistoryLoss);
        }
    }

    /// Has the leaders read the intake whole, in any order of its items.
    pub(super) fn end_history_loss(&mut self) {
        self.is_history_lost = false;
        let is_open = |id: &&JobId| !self.ended.contains_key(id);
        let jobs = self.submitted_jobs.iter().filter(is_open);
        let jobs = jobs.map(|id| Event::JobAccepted {
            job: *id,
            record: Box::new(self.jobs[id].clone()),
        });
        let cancels = self.cancels.iter().filter(is_open);
        let cancels = cancels.map(|id| Event::CancelAccepted { job: *id });
        let mut items: Vec<Event> = jobs.chain(cancels).collect();
        items.shuffle(&mut self.rng);
        let fences: Vec<u64> = self.leaders.iter().map(|leader| leader.fence).collect();
        for fence in fences {
            self.send_batch_to_leader(fence, items.clone());
        }
    }

    /// Checks that a leader starts no task of a job of whose cancel it has learned.
    pub(super) fn check_not_cancelled(&self, term: u64, task: TaskKey) {
        let leader = self.leaders.iter().find(|leader| leader.fence == term);
        let is_cancelled =
            leader.is_some_and(|leader| leader.cancelled_jobs.contains(&task.step.job));
        assert!(
            !is_cancelled,
            "term {term}, at {} ms: starts {task} of a cancelled job",
            self.now_ms
        );
    }
}
