//! Why steps wait, as the last scheduling cycle that looked at them found.
//!
//! A step that waits for something that nothing ends would wait for ever, so each reason
//! names what ends it, and the verifier refuses one whose end can't come.

use crate::advice::StepAdvice;
use crate::decision::{Decision, DecisionKind};
use crate::event::Action;
use crate::job::{JobId, StepKey, TaskKey};
use crate::scheduler::Scheduler;
use ospreywing_types::{Duration, Instant};
use std::collections::BTreeMap;

/// How long a step waits before that is told, and how often it is told again.
const LOG_AFTER: Duration = Duration::from_ms(3000);
const LOG_PERIOD: Duration = Duration::from_ms(10_000);
/// A step that waits is looked at within this time: a cycle looks at 400 steps, and ten
/// thousand take 25 cycles of 20 ms or so.
const EXAMINED_PERIOD: Duration = Duration::from_ms(5000);
/// The steps that are told of at a time, ten times a second, at most: a cell may have ten
/// thousand that wait.
const LOGGED_STEPS_LIMIT_COUNT: usize = 4;

/// Why a step waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// No worker that may run it has room; a run that ends makes some.
    Capacity,
    /// Its customer has as much running as it may; an end, or the operators, change that.
    Limit,
    /// A call for advice is open; it is answered, or given up after its time.
    Advice,
    /// The last call for advice failed; the next one may be made after a while.
    AdviceRetry,
    /// All nodes that may ask the adviser are busy; one is free after its call.
    AdviserNodes,
    /// What is left of its customer's limit is reserved for another step; that one starts, or
    /// its reservation lapses.
    Reserved,
    /// Members of its gang's last run may be alive; they end, are stopped, or their leases
    /// lapse.
    PreviousRun,
    /// Runs that are stopped for it have not ended.
    Stops,
    /// It may have crashed a worker and waits for one of its own, up to a time.
    Probation,
    /// Gangs that need much room at once are served first, as long as it has time to spare.
    Gangs,
    /// All workers that may run it are in cordoned data centres; the operators lift cordons,
    /// and other workers may join.
    Cordon,
}

impl WaitReason {
    /// All reasons, in the order of their indices.
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

    /// Returns the words for logs and metrics.
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
    /// The last cycle that looked at the step, and when that was.
    cycle: u64,
    examined_at: Instant,
}

/// How many steps wait for one reason, and for how long the first of them does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitSummary {
    /// The steps.
    pub steps_count: usize,
    /// How long the one has waited that has waited longest, for whichever reasons.
    pub oldest: Duration,
}

/// The steps that wait.
#[derive(Debug, Default)]
pub(crate) struct Waits {
    by_step: BTreeMap<StepKey, Wait>,
    /// The number of the last cycle.
    cycle: u64,
}

impl Waits {
    /// Notes that a cycle begins.
    pub(crate) const fn begin_cycle(&mut self) {
        self.cycle += 1;
    }

    /// Notes why a step waits since the last cycle that looked at it, or that it does not.
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

    /// Returns since when a step has waited, for whichever reasons.
    pub(crate) fn since(&self, step: StepKey) -> Option<Instant> {
        self.by_step.get(&step).map(|wait| wait.since)
    }

    /// Forgets steps that no cycle has looked at lately: nothing of them waits any more.
    pub(crate) fn remove_stale(&mut self, now: Instant) {
        self.by_step
            .retain(|_, wait| now.since(wait.examined_at) < EXAMINED_PERIOD);
    }

    /// Forgets a job's steps.
    pub(crate) fn remove_job(&mut self, job: JobId) {
        let steps = self.by_step.range(first_step(job)..);
        let steps = steps.take_while(|(step, _)| step.job == job);
        for step in steps.map(|(step, _)| *step).collect::<Vec<StepKey>>() {
            self.by_step.remove(&step);
        }
    }

    /// Returns the steps to be told of, with their reasons and how long they wait.
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

    /// Returns how many steps wait for each reason.
    pub(crate) fn summaries(&self, now: Instant) -> [WaitSummary; WaitReason::ALL.len()] {
        let mut summaries = [WaitSummary::default(); WaitReason::ALL.len()];
        for wait in self.by_step.values() {
            let summary = &mut summaries[wait.reason as usize];
            summary.steps_count += 1;
            summary.oldest = summary.oldest.max(now.since(wait.since));
        }
        summaries
    }

    /// Returns the steps that the last cycle has looked at, and why they wait.
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
    /// Tells of steps that have waited for long.
    pub(crate) fn log_waits(&mut self, now: Instant, out: &mut Vec<Action>) {
        for (step, reason, age) in self.waits.mark_due_logged(now) {
            let line = Decision::new(DecisionKind::StepWaits, reason.as_str())
                .with_job(step.job)
                .with_figure(age.as_ms());
            out.push(Action::Log(line));
        }
    }

    /// Returns whether what ends a step's wait can still come.
    pub(crate) fn can_wait_end(&self, step: StepKey, reason: WaitReason) -> bool {
        match reason {
            // Ends of other runs, workers that join, operators, and times that pass.
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
        let job = self.jobs.get(&step.job);
        let spec = job.and_then(|job| job.record.spec.steps.get(step.step as usize));
        let tasks_count = spec.map_or(0, |spec| spec.tasks_count);
        (0..tasks_count).map(move |index| step.task(index))
    }
}
