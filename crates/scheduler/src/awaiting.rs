//! Steps of single tasks that wait for room on workers known to be good.
//!
//! Who may run a step never changes, so a step whose tasks fill much of a worker
//! learns once which workers are good for it. It then keeps later work off those
//! that will have room first, and renews its tickets for them shortly before, so
//! that a task starts as soon as its room is there.

use crate::asking::fit_in;
use crate::config::AdvicePolicy;
use crate::event::Action;
use crate::job::TaskKey;
use crate::placing::{Pass, Turn};
use crate::scheduler::Scheduler;
use crate::worker::{Run, RunPhase, Worker, WorkerKey};
use ospreywing_types::{Duration, Instant, Resources};

/// A step waits for workers only where so few of its tasks fill one: room for
/// smaller tasks comes up all the time.
const FILLING_TASKS_COUNT: u32 = 4;
/// The steps that may wait for workers at a time in a pass.
const WAITING_STEPS_LIMIT_COUNT: usize = 6;
/// The gangs that may wait for workers at a time; the others have their turn later.
pub(crate) const WAITING_GANGS_LIMIT_COUNT: usize = 4;
/// The part of the workers on which room is kept for gangs that wait, at most.
const AWAITED_PERCENT: usize = 60;
/// Tickets are asked for so long before the room is expected, besides the time
/// that the call takes: expectations come from rough estimates.
const TICKET_LEAD: Duration = Duration::from_ms(700);
/// Less urgent runs are stopped for room that would come later than this: a stop
/// itself takes some hundred milliseconds.
const PREEMPT_DELAY: Duration = Duration::from_ms(500);
/// How many times the room that is needed the known good workers should hold.
const KNOWN_ROOM_FACTOR: u32 = 2;

/// A worker that will have room for tasks of a step.
#[derive(Clone, Copy, Debug)]
struct ExpectedRoom {
    worker: WorkerKey,
    delay: Duration,
}

impl Scheduler {
    /// Keeps later work off the workers on which the step's tasks will have room
    /// first, and asks for tickets for them where the room is near.
    pub(crate) fn await_workers(
        &mut self,
        now: Instant,
        turn: &Turn,
        policy: AdvicePolicy,
        missing_count: usize,
        pass: &mut Pass,
        out: &mut Vec<Action>,
    ) {
        if pass.waiting_steps_count >= WAITING_STEPS_LIMIT_COUNT || !fills_workers(turn, pass) {
            return;
        }
        let mut expected = self.expected_rooms(now, turn, pass);
        expected.truncate(missing_count);
        let Some(soonest) = expected.first().map(|room| room.delay) else {
            return;
        };
        pass.waiting_steps_count += 1;
        if expected.iter().any(|room| room.delay > PREEMPT_DELAY) {
            self.preempt_for_tasks(now, turn, pass, missing_count, out);
        }
        for room in &expected {
            pass.keep_room(room.worker, turn.demand);
        }
        self.renew_tickets(now, turn, policy, &expected, soonest, out);
    }

    /// Keeps later work off the workers on which a gang will have room first, and
    /// asks for tickets for them where the room of all members is near.
    pub(crate) fn await_workers_for_gang(
        &mut self,
        now: Instant,
        turn: &Turn,
        policy: AdvicePolicy,
        pass: &mut Pass,
        out: &mut Vec<Action>,
    ) {
        if pass.waiting_gangs_count >= WAITING_GANGS_LIMIT_COUNT {
            return;
        }
        pass.waiting_gangs_count += 1;
        let needed_count = turn.waiting.len();
        let mut expected = self.expected_rooms(now, turn, pass);
        expected.truncate(needed_count);
        let limit_count = pass.workers_count() * AWAITED_PERCENT / 100;
        for room in &expected {
            if pass.kept_workers_count() < limit_count || pass.is_kept(room.worker) {
                pass.keep_room(room.worker, turn.demand);
            }
        }
        if expected.len() == needed_count {
            let last = expected.last().map_or(Duration::ZERO, |room| room.delay);
            self.renew_tickets(now, turn, policy, &expected, last, out);
        }
    }

    /// Returns unknown workers to ask about, with or without room, where those
    /// known to be good hold too few of the step's tasks.
    pub(crate) fn workers_to_learn_of(
        &self,
        now: Instant,
        turn: &Turn,
        policy: AdvicePolicy,
        needed_count: usize,
        pass: &Pass,
    ) -> Vec<WorkerKey> {
        if !fills_workers(turn, pass) || !self.advisers.is_idle(now, policy.cost(1)) {
            return Vec::new();
        }
        let good = self.advice[&turn.key].good();
        let able = good
            .iter()
            .filter(|key| self.workers[**key].is_placeable(now));
        let known_count: u32 = able
            .map(|key| fit_in(&self.workers[*key].facts.capacity, &turn.demand))
            .sum();
        let wanted_count = needed_count as u32 * KNOWN_ROOM_FACTOR;
        if known_count >= wanted_count {
            return Vec::new();
        }
        let unknown = self.unknown_workers(turn, pass);
        let missing = f64::from(wanted_count - known_count);
        self.choose_unknown(now, turn, policy, unknown, missing)
    }

    /// Returns the good workers with when they will have room for one more task,
    /// the soonest first; a worker is there once for each task.
    fn expected_rooms(&self, now: Instant, turn: &Turn, pass: &Pass) -> Vec<ExpectedRoom> {
        let mut found = Vec::new();
        for key in self.advice[&turn.key].good() {
            let worker = &self.workers[key];
            if !worker.is_placeable(now) || !Self::is_eligible(turn, worker) {
                continue;
            }
            let taken = worker.reserved(turn.key) + pass.kept_room(key);
            let delays = self.room_delays(worker, taken, &turn.demand);
            found.extend(
                delays
                    .into_iter()
                    .map(|delay| ExpectedRoom { worker: key, delay }),
            );
        }
        found.sort_by_key(|room| (room.delay, room.worker));
        found
    }

    /// Returns when a worker will have room for a first, a second task and so on
    /// beside what is taken besides its runs, by the estimates of its runs.
    fn room_delays(&self, worker: &Worker, taken: Resources, demand: &Resources) -> Vec<Duration> {
        let mut runs: Vec<(Duration, Resources)> = worker
            .runs
            .iter()
            .filter_map(|(task, run)| Some((self.time_left(*task, run)?, run.demand)))
            .collect();
        runs.sort_by_key(|(left, _)| *left);
        let mut used = worker.used + taken;
        let mut delays = Vec::new();
        let mut fit_count = fit_in(&(worker.facts.capacity - used), demand);
        delays.extend((0..fit_count).map(|_| Duration::ZERO));
        for (left, freed) in runs {
            used -= freed;
            let count = fit_in(&(worker.facts.capacity - used), demand);
            delays.extend((fit_count..count).map(|_| left));
            fit_count = fit_count.max(count);
        }
        delays
    }

    /// Returns how long a run should still take, by its estimate; `None` where it
    /// does not end by itself.
    fn time_left(&self, task: TaskKey, run: &Run) -> Option<Duration> {
        let job = self.jobs.get(&task.step.job)?;
        let spec = job.record.spec.steps.get(task.step.step as usize)?;
        if matches!(run.phase, RunPhase::Stopping { .. }) {
            return Some(Duration::ZERO);
        }
        if spec.is_perpetual {
            return None;
        }
        let left_percent = u64::from(100 - run.progress_percent.min(100));
        Some(Duration::from_ms(spec.estimate_ms * left_percent / 100))
    }

    /// Asks for tickets for workers that will soon have room, where none holds
    /// until then.
    fn renew_tickets(
        &mut self,
        now: Instant,
        turn: &Turn,
        policy: AdvicePolicy,
        expected: &[ExpectedRoom],
        delay: Duration,
        out: &mut Vec<Action>,
    ) {
        let mut named: Vec<WorkerKey> = expected.iter().map(|room| room.worker).collect();
        named.sort_unstable();
        named.dedup();
        let cost = policy.cost(named.len());
        let is_near = delay <= cost + TICKET_LEAD;
        let advice = &self.advice[&turn.key];
        let holds = |key: &WorkerKey| advice.ticket(now + cost, *key).is_some();
        let is_held = named.iter().all(holds);
        if advice.open.is_some() || now < advice.retry_at || !is_near || is_held {
            return;
        }
        if self.advisers.is_idle(now, policy.cost(1)) {
            self.ask(now, turn, policy, named, out);
        }
    }
}

/// Returns whether few of the step's tasks fill a worker of its service.
fn fills_workers(turn: &Turn, pass: &Pass) -> bool {
    let largest = pass.largest_of(&turn.service);
    fit_in(&largest, &turn.demand) <= FILLING_TASKS_COUNT
}
