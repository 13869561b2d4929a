//! Waiting for room on workers that are known to be good for a step.
//!
//! Who may run a step never changes, so a step whose tasks fill much of a worker
//! learns early which workers are good for it. Such a step, and every gang, keeps
//! later work off as much room as it needs where that will be free first, and
//! renews its tickets shortly before, so that tasks start as soon as their room is
//! there.

use crate::asking::NAMED_LIMIT_COUNT;
use crate::candidate::left_count;
use crate::config::AdvicePolicy;
use crate::cycle::SchedulingCycle;
use crate::event::Action;
use crate::packing::fit_in;
use crate::placing::PendingStep;
use crate::scheduler::Scheduler;
use crate::worker::{Worker, WorkerKey};
use ospreywing_types::{Duration, Instant, Resources};

/// A step waits for workers only where so few of its tasks fill one: room for
/// smaller tasks comes up all the time. A judgement, not measured against others.
const FILLING_TASKS_COUNT: u32 = 4;
/// The steps that may wait for workers at a time. A judgement: more would keep too
/// much of a small site's room.
const WAITING_STEPS_LIMIT_COUNT: usize = 6;
/// The gangs that may wait for workers at a time; the others have their turn later.
/// With ten, worth fell on two grown sites (docs/worth.md).
pub(crate) const WAITING_GANGS_LIMIT_COUNT: usize = 4;
/// The part of the workers on which room is kept for gangs that wait, at most: the
/// rest stays for work that is no gang's.
const AWAITED_PERCENT: usize = 60;
/// Tickets are asked for so long before the room is expected, besides the time
/// that the call takes: expectations come from estimates that are off by half.
const TICKET_LEAD: Duration = Duration::from_ms(700);
/// Less urgent runs are stopped for room that would come later than this: a stop
/// itself takes up to 400 ms (the platform's bound at the first deployments).
const PREEMPT_DELAY: Duration = Duration::from_ms(500);
/// How many times the room that is needed the known good workers should hold, as
/// for gangs.
const KNOWN_ROOM_FACTOR: u32 = 2;
/// The workers beyond one for each task that a step without advice weighs, those with most
/// room: estimates of all runs of thousands of workers would take longer than a cycle.
const SPARE_WORKERS_COUNT: usize = 64;

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
        pending: &PendingStep,
        policy: AdvicePolicy,
        missing_count: usize,
        cycle: &mut SchedulingCycle,
        out: &mut Vec<Action>,
    ) {
        if cycle.waiting_steps_count >= WAITING_STEPS_LIMIT_COUNT || !fills_workers(pending, cycle)
        {
            return;
        }
        let good = self.advice[&pending.key].good();
        let expected = self.expected_rooms(now, pending, good, missing_count, cycle);
        let Some(soonest) = expected.first().map(|room| room.delay) else {
            return;
        };
        cycle.waiting_steps_count += 1;
        if expected.iter().any(|room| room.delay > PREEMPT_DELAY) {
            self.preempt_for_tasks(now, pending, cycle, missing_count, out);
        }
        for room in &expected {
            cycle.keep_room(room.worker, pending.demand);
        }
        self.renew_tickets(now, pending, policy, &expected, soonest, out);
    }

    /// Keeps later work off the workers on which a gang will have room first, and
    /// asks for tickets for them where the room of all members is near.
    pub(crate) fn await_workers_for_gang(
        &mut self,
        now: Instant,
        pending: &PendingStep,
        policy: AdvicePolicy,
        cycle: &mut SchedulingCycle,
        out: &mut Vec<Action>,
    ) {
        if cycle.waiting_gangs_count >= WAITING_GANGS_LIMIT_COUNT {
            return;
        }
        cycle.waiting_gangs_count += 1;
        let needed_count = pending.waiting.len();
        let good = self.advice[&pending.key].good();
        let expected = self.expected_rooms(now, pending, good, needed_count, cycle);
        keep_for_gang(pending, &expected, cycle);
        if expected.len() == needed_count {
            let last = expected.last().map_or(Duration::ZERO, |room| room.delay);
            self.renew_tickets(now, pending, policy, &expected, last, out);
        }
    }

    /// Keeps later work off the workers on which a step that needs no advice will have room
    /// first, where its tasks fill workers of a service that is packed and half used.
    pub(crate) fn await_room(
        &self,
        now: Instant,
        pending: &PendingStep,
        missing_count: usize,
        cycle: &mut SchedulingCycle,
    ) {
        if !cycle.keeps_room(&pending.service) || !fills_workers(pending, cycle) {
            return;
        }
        let is_gang = pending.spec().is_gang;
        let (waiting_count, limit_count) = if is_gang {
            (&mut cycle.waiting_gangs_count, WAITING_GANGS_LIMIT_COUNT)
        } else {
            (&mut cycle.waiting_steps_count, WAITING_STEPS_LIMIT_COUNT)
        };
        if *waiting_count >= limit_count {
            return;
        }
        *waiting_count += 1;
        let able = cycle.workers().filter(|key| {
            let worker = &self.workers[*key];
            Self::is_eligible(pending, worker)
        });
        let able = able.take(missing_count + SPARE_WORKERS_COUNT).collect();
        let expected = self.expected_rooms(now, pending, able, missing_count, cycle);
        if is_gang {
            return keep_for_gang(pending, &expected, cycle);
        }
        for room in &expected {
            cycle.keep_room(room.worker, pending.demand);
        }
    }

    /// Returns unknown workers to ask about, with or without room, where those
    /// known to be good hold too few of the step's tasks.
    pub(crate) fn workers_to_learn_of(
        &self,
        now: Instant,
        pending: &PendingStep,
        policy: AdvicePolicy,
        needed_count: usize,
        cycle: &SchedulingCycle,
    ) -> Vec<WorkerKey> {
        if !fills_workers(pending, cycle) || !self.advisers.is_idle(now, policy.cost(1)) {
            return Vec::new();
        }
        let good = self.advice[&pending.key].good();
        let able = good
            .iter()
            .filter(|key| self.workers[**key].is_placeable(now));
        let known_count: u32 = able
            .map(|key| fit_in(&self.workers[*key].facts.capacity, &pending.demand))
            .sum();
        let wanted_count = needed_count as u32 * KNOWN_ROOM_FACTOR;
        if known_count >= wanted_count {
            return Vec::new();
        }
        let unknown = self.unknown_workers(pending, cycle);
        let missing = f64::from(wanted_count - known_count);
        self.choose_unknown(now, pending, policy, unknown, missing, NAMED_LIMIT_COUNT)
    }

    /// Returns where and when so many tasks will have room on these workers, the
    /// soonest first; a worker is there once for each task.
    fn expected_rooms(
        &self,
        now: Instant,
        pending: &PendingStep,
        workers: Vec<WorkerKey>,
        tasks_count: usize,
        cycle: &SchedulingCycle,
    ) -> Vec<ExpectedRoom> {
        let mut found = Vec::new();
        for key in workers {
            let worker = &self.workers[key];
            if !worker.is_placeable(now) || !Self::is_eligible(pending, worker) {
                continue;
            }
            let taken = worker.reserved(pending.key) + cycle.kept_room(key);
            let left_count = left_count(worker, pending.key, pending.spec());
            let limit_count = left_count.min(tasks_count as u32);
            let delays = self.room_delays(worker, taken, &pending.demand, limit_count);
            let rooms = delays.into_iter();
            found.extend(rooms.map(|delay| ExpectedRoom { worker: key, delay }));
        }
        found.sort_by_key(|room| (room.delay, room.worker));
        found.truncate(tasks_count);
        found
    }

    /// Returns when a worker will have room for a first, a second task and so on,
    /// up to a limit, by the estimates of its runs. `taken` is what is kept for
    /// others on it.
    fn room_delays(
        &self,
        worker: &Worker,
        taken: Resources,
        demand: &Resources,
        limit_count: u32,
    ) -> Vec<Duration> {
        let mut runs: Vec<(Duration, Resources)> = worker
            .runs
            .iter()
            .filter_map(|(task, run)| Some((self.remaining_time(*task, run)?, run.demand)))
            .collect();
        runs.sort_by_key(|(left, _)| *left);
        let mut used = worker.used + taken;
        let mut fit_count = fit_in(&(worker.facts.capacity - used), demand).min(limit_count);
        let mut delays = vec![Duration::ZERO; fit_count as usize];
        for (left, freed) in runs {
            used -= freed;
            let count = fit_in(&(worker.facts.capacity - used), demand).min(limit_count);
            delays.extend((fit_count..count).map(|_| left));
            fit_count = fit_count.max(count);
        }
        delays
    }

    /// Asks for tickets for workers that will soon have room, where none holds
    /// until then.
    fn renew_tickets(
        &mut self,
        now: Instant,
        pending: &PendingStep,
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
        let advice = &self.advice[&pending.key];
        let holds = |key: &WorkerKey| advice.ticket(now + cost, *key).is_some();
        let is_held = named.iter().all(holds);
        if advice.is_open() || now < advice.retry_at || !is_near || is_held {
            return;
        }
        if self.advisers.is_idle(now, policy.cost(1)) {
            self.ask(now, pending, policy, named, out);
        }
    }
}

/// Keeps room for a gang where it will be free first, on a part of the workers at most.
fn keep_for_gang(pending: &PendingStep, expected: &[ExpectedRoom], cycle: &mut SchedulingCycle) {
    let limit_count = cycle.workers_count() * AWAITED_PERCENT / 100;
    for room in expected {
        if cycle.kept_workers_count() < limit_count || cycle.is_kept(room.worker) {
            cycle.keep_room(room.worker, pending.demand);
        }
    }
}

/// Returns whether few of the step's tasks fill a worker of its service.
pub(crate) fn fills_workers(pending: &PendingStep, cycle: &SchedulingCycle) -> bool {
    let largest = cycle.largest_of(&pending.service);
    fit_in(&largest, &pending.demand) <= FILLING_TASKS_COUNT
}
