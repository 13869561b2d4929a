//! Reasons why steps wait, as found by the last scheduling cycle that examined them.
//!
//! A step must not wait for an event that can't occur. Each reason therefore names the event that
//! ends the wait, and the verifier rejects reasons whose event is impossible.

use crate::advice::StepAdvice;
use crate::decision::{Decision, DecisionKind};
use crate::event::Action;
use crate::job::{JobId, StepKey, TaskKey};
use crate::scheduler::Scheduler;
use ospreywing_types::{Duration, Instant};
use std::collections::BTreeMap;

/// How long a step waits before its wait is logged, and the interval between further log lines.
const LOG_AFTER: Duration = Duration::from_ms(3000);
const LOG_PERIOD: Duration = Duration::from_ms(10_000);
/// Each waiting step is examined within this time: a cycle examines 400 steps, and 10,000 steps
/// take 25 cycles of about 20 ms.
const EXAMINED_PERIOD: Duration = Duration::from_ms(5000);
/// Limits the steps logged at once, ten times per second: a cell may have 10,000 waiting steps.
const LOGGED_STEPS_LIMIT_COUNT: usize = 4;

/// Why a step waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// No worker that may run the step has enough free capacity, until a run ends.
    Capacity,
    /// The customer's limit is used up, until one of its runs ends or an operator raises the limit.
    Limit,
    /// An advice request is pending, until it is answered or times out.
    Advice,
    /// The last advice request failed, and the retry delay has not passed.
    AdviceRetry,
    /// All nodes that may send advice requests are busy, until one of their requests ends.
    AdviserNodes,
    /// The rest of the customer's limit is reserved for another step, until that step starts or the
    /// reservation expires.
    Reserved,
    /// Members of the gang's previous run may be alive, until they end, are stopped or their leases
    /// expire.
    PreviousRun,
    /// Runs are being stopped for the step and have not ended.
    Stops,
    /// The step's task is suspected of crashing a worker and waits for a worker of its own, up to a
    /// time limit.
    Probation,
    /// The step has slack and yields to gangs that need much capacity at once.
    Gangs,
    /// All workers that may run the step are in cordoned data centres, until operators lift a
    /// cordon or other workers join.
    Cordon,
}

impl WaitReason {
    /// All reasons, in declaration order.
    pub const ALL: [Self; 11] = [
        Self::Capacity,
        Self::Limit,
        Self::Advice,
        Self::AdviceRetry,
        Self::AdviserNodes,
        Self::Reserved,
        Self::PreviousRun,
        Self::Stops,
        Self::Probation,
        Self::Gangs,
        Self::Cordon,
    ];

    /// Returns the text for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Capacity => "no room on workers that may run it",
            Self::Limit => "limit of its customer",
            Self::Advice => "advice asked",
            Self::AdviceRetry => "advice failed",
            Self::AdviserNodes => "no node free to ask for advice",
            Self::Reserved => "limit reserved for another step of its customer",
            Self::PreviousRun => "members of its last run",
            Self::Stops => "runs being stopped for it",
            Self::Probation => "worker of its own after a crash",
            Self::Gangs => "gangs first",
            Self::Cordon => "cordon on every data centre that may run it",
        }
    }
}

/// The wait of one step.
#[derive(Clone, Copy, Debug)]
struct Wait {
    since: Instant,
    reason: WaitReason,
    logged_at: Option<Instant>,
    /// The last cycle that examined the step, and its time.
    cycle: u64,
    examined_at: Instant,
}

/// Summary of the steps that wait for one reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitSummary {
    /// The number of steps.
    pub steps_count: usize,
    /// The longest time that any of them has waited, for this and earlier reasons together.
    pub oldest_wait: Duration,
}

/// All waiting steps.
#[derive(Debug, Default)]
pub(crate) struct Waits {
    by_step: BTreeMap<StepKey, Wait>,
    /// The number of the current or last cycle.
    cycle: u64,
}

impl Waits {
    /// Starts a new cycle.
    pub(crate) const fn begin_cycle(&mut self) {
        self.cycle += 1;
    }

    /// Sets why a step waits, or removes it if it no longer does (`None`).
    pub(crate) fn update(&mut self, now: Instant, step: StepKey, reason: Option<WaitReason>) {
        let Some(reason) = reason else {
            self.by_step.remove(&step);
            return;
        };
        let wait = self.by_step.entry(step).or_insert(Wait {
            since: now,
            reason,
            logged_at: None,
            cycle: 0,
            examined_at: now,
        });
        wait.reason = reason;
        wait.cycle = self.cycle;
        wait.examined_at = now;
    }

    /// Returns when a step began to wait, for its current and earlier reasons together.
    pub(crate) fn since(&self, step: StepKey) -> Option<Instant> {
        self.by_step.get(&step).map(|wait| wait.since)
    }

    /// Removes steps that no recent cycle has examined: they no longer have waiting tasks.
    pub(crate) fn remove_stale(&mut self, now: Instant) {
        self.by_step
            .retain(|_, wait| now.since(wait.examined_at) < EXAMINED_PERIOD);
    }

    /// Removes a job's steps.
    pub(crate) fn remove_job(&mut self, job: JobId) {
        let steps = self.by_step.range(first_step(job)..);
        let steps = steps.take_while(|(step, _)| step.job == job);
        for step in steps.map(|(step, _)| *step).collect::<Vec<StepKey>>() {
            self.by_step.remove(&step);
        }
    }

    /// Returns the steps whose wait is due to be logged, with the reason and time waited, and marks
    /// them as logged.
    fn mark_due_logged(&mut self, now: Instant) -> Vec<(StepKey, WaitReason, Duration)> {
        let is_due = |wait: &Wait| {
            let is_long = now.since(wait.since) >= LOG_AFTER;
            is_long && wait.logged_at.is_none_or(|at| now.since(at) >= LOG_PERIOD)
        };
        let due = self.by_step.iter_mut().filter(|(_, wait)| is_due(wait));
        due.take(LOGGED_STEPS_LIMIT_COUNT)
            .map(|(step, wait)| {
                wait.logged_at = Some(now);
                (*step, wait.reason, now.since(wait.since))
            })
            .collect()
    }

    /// Returns a summary for each reason.
    pub(crate) fn summaries(&self, now: Instant) -> [WaitSummary; WaitReason::ALL.len()] {
        let mut summaries = [WaitSummary::default(); WaitReason::ALL.len()];
        for wait in self.by_step.values() {
            let summary = &mut summaries[wait.reason as usize];
            summary.steps_count += 1;
            summary.oldest_wait = summary.oldest_wait.max(now.since(wait.since));
        }
        summaries
    }

    /// Returns the steps that the last cycle examined and why they wait.
    pub(crate) fn of_last_cycle(&self) -> impl Iterator<Item = (StepKey, WaitReason)> + '_ {
        let waits = self.by_step.iter();
        let waits = waits.filter(|(_, wait)| wait.cycle == self.cycle);
        waits.map(|(step, wait)| (*step, wait.reason))
    }
}

const fn first_step(job: JobId) -> StepKey {
    StepKey {
        job,
        round: 0,
        step: 0,
    }
}

impl Scheduler {
    /// Logs steps that have waited for long.
    pub(crate) fn log_waits(&mut self, now: Instant, out: &mut Vec<Action>) {
        for (step, reason, age) in self.waits.mark_due_logged(now) {
            let line = Decision::new(DecisionKind::StepWaits, reason.as_str())
                .with_job(step.job)
                .with_figure(age.as_ms());
            out.push(Action::Log(line));
        }
    }

    /// Returns whether the event that ends a step's wait can still occur.
    pub(crate) fn can_wait_end(&self, step: StepKey, reason: WaitReason) -> bool {
        match reason {
            // Ended by other runs, new workers, operators or elapsed time.
            WaitReason::Capacity
            | WaitReason::Gangs
            | WaitReason::Cordon
            | WaitReason::AdviceRetry
            | WaitReason::AdviserNodes
            | WaitReason::Probation => true,
            WaitReason::Limit => self.is_limit_reached(step),
            WaitReason::Reserved => self.is_limit_reserved(step),
            WaitReason::Advice => {
                let advice = self.advice.get(&step);
                advice.is_some_and(StepAdvice::has_pending_request)
            }
            WaitReason::Stops => self.reservations.contains_key(&step),
            WaitReason::PreviousRun => {
                let mut tasks = self.tasks_of(step);
                tasks.any(|task| self.placements.contains_key(&task))
            }
        }
    }

    fn tasks_of(&self, step: StepKey) -> impl Iterator<Item = TaskKey> + use<> {
        let spec = self.step_spec(step);
        let tasks_count = spec.map_or(0, |spec| spec.tasks_count);
        (0..tasks_count).map(move |index| step.task(index))
    }
}
