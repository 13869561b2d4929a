//! Begins the rounds of scheduled jobs when they are due.
//!
//! Any number of a job's rounds may be due at once: the first may be due long before the job is
//! submitted, and rounds become due while no worker is free. The state of a round is kept in memory
//! and written with each commit of its job, and each scheduling cycle examines its steps. So only a
//! limited number of rounds is begun ahead of the starts of their tasks.

use crate::job::{JobId, JobRecord, Schedule};
use crate::scheduler::Scheduler;
use crate::state::{JobState, Phase, RoundState};

/// Limits the steps of a job's rounds without a recorded start; one such round may have more. The
/// rounds of a job have the same steps, so later rounds wait for the same capacity.
const UNSTARTED_STEPS_LIMIT_COUNT: usize = 32;
/// Limits the tasks of a job's unfinished rounds, so that its progress fits in one value of the
/// store. The platform sets 1 MiB, and a task with a checkpoint takes some hundred bytes.
const UNFINISHED_TASKS_LIMIT_COUNT: usize = 4096;

/// The next round of a scheduled job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct NextRound {
    /// When the round is due, in milliseconds since 1970.
    due_ms: u64,
    job: JobId,
}

impl Schedule {
    /// Returns when a round is due, in milliseconds since 1970. A time beyond the range of the
    /// clock is never reached.
    const fn due_ms(&self, round: u32) -> u64 {
        let offset_ms = self.interval_ms.saturating_mul(round as u64);
        self.first_due_ms.saturating_add(offset_ms)
    }

    /// Returns how many rounds from `next` on are due.
    fn overdue_count(&self, next: u32, wall_ms: u64) -> usize {
        let remaining_count = self.rounds_count.saturating_sub(next) as usize;
        let Some(overdue_ms) = wall_ms.checked_sub(self.due_ms(next)) else {
            return 0;
        };
        let due_count = overdue_ms.checked_div(self.interval_ms);
        due_count.map_or(remaining_count, |count| {
            remaining_count.min((count as usize).saturating_add(1))
        })
    }
}

/// Returns how many rounds of a job may be without a recorded start.
pub(crate) fn unstarted_rounds_limit_count(record: &JobRecord) -> usize {
    let steps_count = record.spec.steps.len().max(1);
    (UNSTARTED_STEPS_LIMIT_COUNT / steps_count).max(1)
}

impl JobState {
    /// Returns whether the next round may begin beside the unfinished ones.
    fn may_begin_round(&self, record: &JobRecord) -> bool {
        let latest = self.rounds.iter().rev();
        let unstarted_count = latest.take_while(|round| round.is_unstarted()).count();
        let round_tasks_count: usize = record
            .spec
            .steps
            .iter()
            .map(|step| step.tasks_count as usize)
            .sum();
        let tasks_count = round_tasks_count * (self.rounds.len() + 1);
        self.rounds.is_empty()
            || unstarted_count < unstarted_rounds_limit_count(record)
                && tasks_count <= UNFINISHED_TASKS_LIMIT_COUNT
    }
}

impl Scheduler {
    /// Returns the number of due rounds that have not begun.
    pub(crate) fn overdue_rounds_count(&self) -> usize {
        let rounds = self.next_rounds.iter();
        let due = rounds.take_while(|round| round.due_ms <= self.wall_ms);
        let counts = due.filter_map(|round| {
            let job = self.jobs.get(&round.job)?;
            let schedule = job.record.spec.schedule?;
            Some(schedule.overdue_count(job.state.next_round, self.wall_ms))
        });
        counts.sum()
    }

    /// Sets the wall-clock time and begins the rounds that are due.
    pub(crate) fn begin_due_rounds(&mut self, wall_ms: u64) {
        self.wall_ms = wall_ms;
        let rounds = self.next_rounds.iter();
        let due: Vec<NextRound> = rounds
            .take_while(|round| round.due_ms <= wall_ms)
            .copied()
            .collect();
        for round in due {
            self.next_rounds.remove(&round);
            self.begin_due_rounds_of(round.job);
        }
    }

    /// Begins the due rounds of a job, as far as they may begin, and queues the next one.
    pub(crate) fn begin_due_rounds_of(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(schedule) = job.record.spec.schedule else {
            return;
        };
        if job.state.phase != Phase::Active {
            return;
        }
        while job.state.next_round < schedule.rounds_count {
            let due_ms = schedule.due_ms(job.state.next_round);
            if due_ms > self.wall_ms || !job.state.may_begin_round(&job.record) {
                self.next_rounds.insert(NextRound { due_ms, job: id });
                return;
            }
            let round = RoundState::new(job.state.next_round, &job.record);
            job.state.rounds.push(round);
            job.state.next_round += 1;
            job.clear_derived();
            self.stale_demands.insert(id);
            self.is_cycle_due = true;
        }
    }
}
