//! A fake worker, with a fence, a lease on its own clock, a list of ends, and tombstones: the
//! highest run of each task that has ended or was stopped, so that late starts are refused.

use ospreywing_scheduler::{
    EndKind, EndedRun, HoldReply, Incarnation, RefusedStart, RunningRun, StartOrder, StartReply,
    StopReply, TaskKey, WorkerFacts,
};
use ospreywing_types::Resources;
use std::collections::BTreeMap;
use std::sync::Arc;

/// How long a reduced capacity takes to apply: three seconds and a heartbeat.
const SHRINK_EFFECTIVE_AFTER_MS: u64 = 4_500;

/// What the clock of a worker's first incarnation shows when the simulation's clock is at 0.
const CLOCK_BASE_MS: u64 = 7_000;

/// A run on a fake worker.
#[derive(Clone, Debug)]
pub struct FakeRun {
    pub run: u32,
    pub ends_at_ms: u64,
    pub kind: EndKind,
    pub demand: Resources,
    pub saves_checkpoints: bool,
}

impl FakeRun {
    /// Returns the run's last checkpoint, a text that names its task.
    fn checkpoint(&self, task: TaskKey) -> Option<String> {
        self.saves_checkpoints
            .then(|| format!("{task} run {}", self.run))
    }
}

/// A start that a worker has received and carries out later.
pub struct HeldStart {
    /// The term of the leader that sent it.
    pub term: u64,
    pub order: StartOrder,
}

/// A fake worker. Times ending in `_ms` are on the simulation's clock unless stated otherwise.
pub struct FakeWorker {
    pub id: Arc<str>,
    /// The start of its incarnation, and the start that its entry in the store names.
    pub incarnation: Option<Incarnation>,
    entry_incarnation_start: Option<Incarnation>,
    /// What its clock shows when the simulation's clock is at 0.
    clock_base_ms: u64,
    /// Whether it ignores acknowledgements of ends that it has not numbered yet.
    pub ignores_foreign_acks: bool,
    pub address: Arc<str>,
    pub service: Arc<str>,
    pub data_centre: Arc<str>,
    pub rack: Option<Arc<str>>,
    pub capacity: Resources,
    /// Its capacity while it isn't resized.
    pub full_capacity: Resources,
    /// Its capacity before it shrank last, and when it shrank.
    capacity_before_shrink: (Resources, u64),
    pub is_alive: bool,
    pub is_partitioned: bool,
    /// The rate of its clock, in thousandths.
    pub clock_per_mille: u64,
    /// Its speed, in thousandths of the typical speed.
    pub speed_per_mille: u64,
    pub fence: u64,
    pub lease_until_ms: u64,
    /// The start of its current lease without a gap, on the simulation's clock.
    leased_since_ms: u64,
    pub runs: BTreeMap<TaskKey, FakeRun>,
    /// Starts that its process has received and not carried out yet, by a number of the
    /// simulation. They end with the process.
    pub held_starts: BTreeMap<u64, HeldStart>,
    pub ended: Vec<EndedRun>,
    pub next_end: u64,
    /// When the listed ends occurred, on the simulation's clock, by the ends' numbers.
    ended_at_ms: BTreeMap<u64, u64>,
    /// Until when the platform lists it after its incarnation is over.
    pub listed_until_ms: u64,
    pub is_draining: bool,
    pub departs_at_clock_ms: Option<u64>,
    /// The highest run of each task that stopped or ended here.
    pub tombstones: BTreeMap<TaskKey, u32>,
}

impl FakeWorker {
    pub fn new(id: &str, clock_per_mille: u64) -> Self {
        Self {
            id: Arc::from(id),
            incarnation: None,
            entry_incarnation_start: None,
            clock_base_ms: CLOCK_BASE_MS,
            ignores_foreign_acks: false,
            address: Arc::from(format!("at {id}")),
            service: Arc::from(super::SERVICE),
            data_centre: Arc::from(""),
            rack: None,
            capacity: Resources::new(4000, 4000, 0),
            full_capacity: Resources::new(4000, 4000, 0),
            capacity_before_shrink: (Resources::ZERO, 0),
            is_alive: true,
            is_partitioned: false,
            clock_per_mille,
            speed_per_mille: 1000,
            fence: 0,
            lease_until_ms: 0,
            leased_since_ms: 0,
            runs: BTreeMap::new(),
            held_starts: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            ended_at_ms: BTreeMap::new(),
            listed_until_ms: 0,
            is_draining: false,
            departs_at_clock_ms: None,
            tombstones: BTreeMap::new(),
        }
    }

    pub fn facts(&self) -> WorkerFacts {
        WorkerFacts {
            id: self.id.clone(),
            incarnation: self.entry_incarnation_start,
            address: self.address.clone(),
            service: self.service.clone(),
            machine: None,
            data_centre: self.data_centre.clone(),
            rack: self.rack.clone(),
            labels: Vec::new(),
            capacity: self.capacity,
            is_draining: self.is_draining,
            departs_at_clock_ms: self.departs_at_clock_ms,
        }
    }

    /// Sets its full and its current capacity.
    pub fn set_capacity(&mut self, capacity: Resources) {
        self.full_capacity = capacity;
        self.capacity = capacity;
    }

    /// Sets its incarnation's start, and reports it from now on, as workers that keep their ids
    /// do.
    pub fn set_incarnation_start(&mut self, wall_ms: u64) {
        self.incarnation = Some(Incarnation::from_ms(wall_ms));
        self.write_entry();
    }

    /// Updates its entry in the store.
    pub const fn write_entry(&mut self) {
        self.entry_incarnation_start = self.incarnation;
    }

    /// Starts its next incarnation under the same id: it has no runs, and its clock and the
    /// numbers of its ends start from the beginning. Its entry is updated later.
    pub fn restart(&mut self, wall_ms: u64, clock_base_ms: u64) {
        let fresh = Self::new(&self.id, self.clock_per_mille);
        let before = core::mem::replace(self, fresh);
        self.address = before.address;
        self.data_centre = before.data_centre;
        self.rack = before.rack;
        self.speed_per_mille = before.speed_per_mille;
        self.set_capacity(before.full_capacity);
        self.entry_incarnation_start = before.entry_incarnation_start;
        self.ignores_foreign_acks = before.ignores_foreign_acks;
        self.incarnation = Some(Incarnation::from_ms(wall_ms));
        self.clock_base_ms = clock_base_ms;
    }

    /// Returns the adviser's ticket, which is valid for this incarnation only.
    pub fn ticket(&self) -> Arc<str> {
        Arc::from(format!("ticket for {:?}", self.incarnation))
    }

    /// Returns the number up to which an acknowledgement of `last_seen` makes it discard ends.
    pub fn accepted_ack(&self, last_seen: u64) -> u64 {
        let is_foreign = last_seen >= self.next_end;
        if is_foreign && self.ignores_foreign_acks {
            0
        } else {
            last_seen
        }
    }

    /// Returns when a listed end occurred, and whether the worker has been leased ever since.
    pub fn end_time_and_lease(&self, number: u64, now_ms: u64) -> (u64, bool) {
        let ended_at_ms = self.ended_at_ms.get(&number).copied().unwrap_or(now_ms);
        let is_leased = self.clock_ms(now_ms) < self.lease_until_ms;
        (
            ended_at_ms,
            is_leased && self.leased_since_ms <= ended_at_ms,
        )
    }

    /// Sets its capacity to a part of its full one.
    pub fn resize(&mut self, now_ms: u64, per_mille: u32) {
        let part = |whole: u32| (u64::from(whole) * u64::from(per_mille) / 1000) as u32;
        let full = self.full_capacity;
        let capacity = Resources::new(
            part(full.cores_milli),
            part(full.memory_mib),
            part(full.accelerators_count),
        );
        self.capacity_before_shrink = (self.effective_capacity(now_ms), now_ms);
        self.capacity = capacity;
    }

    /// Returns the capacity that starts are checked against: a reduction applies after a delay.
    pub fn effective_capacity(&self, now_ms: u64) -> Resources {
        let (before, shrank_at_ms) = self.capacity_before_shrink;
        if now_ms < shrank_at_ms + SHRINK_EFFECTIVE_AFTER_MS {
            self.capacity.max(before)
        } else {
            self.capacity
        }
    }

    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        self.clock_base_ms + now_ms * self.clock_per_mille / 1000
    }

    /// Ends the runs that are due, or all of them once the lease has expired.
    pub fn advance(&mut self, now_ms: u64) {
        if !self.is_alive {
            return;
        }
        let has_expired = self.clock_ms(now_ms) >= self.lease_until_ms;
        let due: Vec<TaskKey> = self
            .runs
            .iter()
            .filter(|(_, run)| has_expired || run.ends_at_ms <= now_ms)
            .map(|(task, _)| *task)
            .collect();
        for task in due {
            let ends_at_ms = self.runs[&task].ends_at_ms.min(now_ms);
            let kind = match has_expired {
                true => EndKind::Lapsed,
                false => self.runs[&task].kind,
            };
            let at_ms = if has_expired { now_ms } else { ends_at_ms };
            self.end(at_ms, task, kind);
        }
    }

    pub fn end(&mut self, now_ms: u64, task: TaskKey, kind: EndKind) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        let highest = self.tombstones.entry(task).or_default();
        *highest = (*highest).max(run.run);
        self.ended.push(EndedRun {
            number: self.next_end,
            task,
            run: run.run,
            kind,
            checkpoint: run.checkpoint(task),
        });
        self.ended_at_ms.insert(self.next_end, now_ms);
        self.next_end += 1;
    }

    fn raise_fence(&mut self, fence: u64) -> bool {
        let is_accepted = fence >= self.fence;
        self.fence = self.fence.max(fence);
        is_accepted
    }

    fn lease(&mut self, now_ms: u64, until_ms: u64, limit_ms: u64) {
        let clock_ms = self.clock_ms(now_ms);
        if clock_ms >= self.lease_until_ms {
            self.leased_since_ms = now_ms;
        }
        let most_ms = clock_ms + limit_ms;
        self.lease_until_ms = self.lease_until_ms.max(until_ms.min(most_ms));
    }

    pub fn answer_poll(
        &mut self,
        now_ms: u64,
        fence: u64,
        until_ms: Option<u64>,
        last_seen: u64,
        limit_ms: u64,
    ) -> HoldReply {
        if !self.raise_fence(fence) {
            return HoldReply::Fenced;
        }
        if let Some(until_ms) = until_ms {
            self.lease(now_ms, until_ms, limit_ms);
        }
        let last_seen = self.accepted_ack(last_seen);
        self.ended.retain(|end| end.number > last_seen);
        self.ended_at_ms.retain(|number, _| *number > last_seen);
        let running = self.runs.iter().map(|(task, run)| RunningRun {
            task: *task,
            run: run.run,
            checkpoint: run.checkpoint(*task),
            progress_percent: 0,
            usage_figure: 0,
        });
        HoldReply::Listed {
            incarnation: self.incarnation,
            clock_ms: self.clock_ms(now_ms),
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }

    /// Answers a start. The caller checks the rules and then adds the run.
    pub fn admit_start(&mut self, now_ms: u64, fence: u64, order: &StartOrder) -> StartReply {
        if !self.raise_fence(fence) {
            return StartReply::Refused(RefusedStart::Fence);
        }
        let clock_ms = self.clock_ms(now_ms);
        if order.until_ms <= clock_ms {
            return StartReply::Refused(RefusedStart::Late);
        }
        let known = self.runs.get(&order.task).map(|run| run.run);
        if known == Some(order.run) {
            return StartReply::Started;
        }
        let ended = self.tombstones.get(&order.task).copied().unwrap_or(0);
        if order.run <= ended.max(known.unwrap_or(0)) {
            return StartReply::Refused(RefusedStart::Old);
        }
        StartReply::Started
    }

    pub fn stop(&mut self, now_ms: u64, fence: u64, task: TaskKey, run: u32) -> StopReply {
        if !self.raise_fence(fence) {
            return StopReply::Fenced;
        }
        if self.runs.get(&task).is_some_and(|known| known.run <= run) {
            self.end(now_ms, task, EndKind::Stopped);
        }
        let highest = self.tombstones.entry(task).or_default();
        *highest = (*highest).max(run);
        StopReply::Stopping
    }

    pub fn begin_run(&mut self, now_ms: u64, order: &StartOrder, run: FakeRun, limit_ms: u64) {
        self.lease(now_ms, order.until_ms, limit_ms);
        self.runs.insert(order.task, run);
    }
}
