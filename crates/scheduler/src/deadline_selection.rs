//! Which of a service's jobs can be in time together, where its room is short.
//!
//! Work that is served by its due times alone is all a little late once there is too much
//! of it. So the jobs are gone through by their objectives, and as soon as those up to one
//! of them don't fit the room until then, the largest among the least important of them is
//! left out (Moore and Hodgson's rule for the fewest late jobs). The same is done once more
//! with what is left out, by the times until which late jobs are worth something.

use crate::resource_totals::ResourceTotals;
use ospreywing_types::{Duration, Resources};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The kinds of resources: processors, memory, accelerators.
const RESOURCE_KINDS_COUNT: usize = 3;
/// The part of a service's room that work can use, in percent: room lies in pieces that
/// not every task fits.
const USABLE_PERCENT: f64 = 90.0;
/// A service is overloaded from this load on, in percent of the usable room.
pub const ENTER_LOAD_PERCENT: u64 = 100;
/// It is so until its load is below this, so that the order does not change to and fro.
pub const LEAVE_LOAD_PERCENT: u64 = 70;
/// Loads are told up to this.
const MAX_LOAD_PERCENT: f64 = 1000.0;
/// What is late already should be done within this time, for a service not to be overloaded.
const LATE_WORK_WINDOW: Duration = Duration::from_ms(1000);
/// The lengths of runs are kept by powers of two of milliseconds, up to some days.
const DURATION_BUCKETS_COUNT: usize = 30;

/// Amounts of resources, each times milliseconds, or as usage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ResourceVector([f64; RESOURCE_KINDS_COUNT]);

impl ResourceVector {
    /// Creates amounts from resources.
    pub fn of(resources: &Resources) -> Self {
        Self([
            f64::from(resources.cores_milli),
            f64::from(resources.memory_mib),
            f64::from(resources.accelerators_count),
        ])
    }

    /// Creates amounts from the room of many workers.
    pub(crate) fn from_totals(room: &ResourceTotals) -> Self {
        Self(room.parts().map(|part| part as f64))
    }

    /// Returns so many times the amounts.
    pub fn times(self, factor: f64) -> Self {
        Self(self.0.map(|part| part * factor))
    }

    /// Adds others to them.
    pub fn add(&mut self, other: Self) {
        for (part, more) in self.0.iter_mut().zip(other.0) {
            *part += more;
        }
    }

    /// Returns whether each part is as much as another's or more, and any is more than nothing.
    pub fn covers(self, other: Self) -> bool {
        let mut parts = self.0.into_iter().zip(other.0);
        self != Self::default() && parts.all(|(part, least)| part >= least)
    }

    /// Returns the smaller of both in each part.
    pub fn min(self, other: Self) -> Self {
        let mut smaller = self;
        for (part, limit) in smaller.0.iter_mut().zip(other.0) {
            *part = part.min(limit);
        }
        smaller
    }

    fn plus(mut self, other: Self) -> Self {
        self.add(other);
        self
    }

    fn at_least_zero(self) -> Self {
        Self(self.0.map(|part| part.max(0.0)))
    }

    fn is_within(self, room: Self) -> bool {
        let mut parts = self.0.into_iter().zip(room.0);
        parts.all(|(part, whole)| part <= whole)
    }

    /// Returns the time until each part is there, where some is and more comes at a rate.
    fn time_to_reach(self, there: Self, usage: Self) -> f64 {
        let parts = self.0.into_iter().zip(there.0).zip(usage.0);
        let times = parts.map(|((part, there), usage)| match part - there {
            missing if missing > 0.0 => missing / usage,
            _ => 0.0,
        });
        times.fold(0.0, f64::max)
    }

    fn subtract(&mut self, other: Self) {
        for (part, less) in self.0.iter_mut().zip(other.0) {
            *part -= less;
        }
    }

    /// Returns the largest part that they are of a capacity.
    pub fn share_of(self, capacity: Self) -> f64 {
        self.dominant(capacity).0
    }

    /// Returns the largest part that they are of a capacity, and its kind.
    fn dominant(self, capacity: Self) -> (f64, usize) {
        let shares = self.0.into_iter().zip(capacity.0);
        let shares = shares.map(|(part, whole)| if part > 0.0 { part / whole } else { 0.0 });
        let shares = shares.enumerate().map(|(kind, share)| (share, kind));
        shares
            .max_by(|(one, _), (other, _)| one.total_cmp(other))
            .unwrap_or((0.0, 0))
    }
}

/// A run that takes room for a while.
#[derive(Clone, Copy, Debug)]
pub struct OccupyingRun {
    /// How important it is; 0 is most.
    pub priority: u32,
    /// What it takes.
    pub usage: ResourceVector,
    /// For how long it surely does.
    pub remaining: Duration,
}

/// What of a service's room is taken by what runs there, for how long.
#[derive(Clone, Debug, Default)]
pub struct Occupancy {
    /// What takes room, by the power of two of for how long.
    usage: [ResourceVector; DURATION_BUCKETS_COUNT],
    /// The same, times the lengths.
    work: [ResourceVector; DURATION_BUCKETS_COUNT],
}

impl Occupancy {
    /// Adds what takes room for so long; `None` for what does not end by itself.
    pub fn add(&mut self, usage: ResourceVector, remaining: Option<Duration>) {
        let remaining = remaining.unwrap_or(Duration::from_ms(u64::MAX));
        let index = duration_bucket(remaining);
        self.usage[index].add(usage);
        self.work[index].add(usage.times(remaining.as_ms() as f64));
    }

    fn into_sums(self) -> OccupancySums {
        let mut sums = OccupancySums::default();
        for index in 1..DURATION_BUCKETS_COUNT {
            sums.finished_work[index] = sums.finished_work[index - 1];
            sums.finished_work[index].add(self.work[index - 1]);
        }
        for index in (1..DURATION_BUCKETS_COUNT).rev() {
            sums.longer_usage[index - 1] = sums.longer_usage[index];
            sums.longer_usage[index - 1].add(self.usage[index]);
        }
        sums.occupancy = self;
        sums
    }
}

/// An occupancy, summed up by lengths.
#[derive(Clone, Debug, Default)]
struct OccupancySums {
    occupancy: Occupancy,
    /// What is over before each length, times the time that it takes.
    finished_work: [ResourceVector; DURATION_BUCKETS_COUNT],
    /// What takes longer than each length.
    longer_usage: [ResourceVector; DURATION_BUCKETS_COUNT],
}

impl OccupancySums {
    /// Returns what is taken within a time from now, in amounts times milliseconds.
    fn within(&self, time: Duration) -> ResourceVector {
        let index = duration_bucket(time);
        let time_ms = time.as_ms() as f64;
        let same_bucket = self.occupancy.usage[index].times(time_ms);
        let mut taken = same_bucket.min(self.occupancy.work[index]);
        taken.add(self.finished_work[index]);
        taken.add(self.longer_usage[index].times(time_ms));
        taken
    }
}

fn duration_bucket(length: Duration) -> usize {
    let power = length.as_ms().checked_ilog2();
    let index = power.map_or(0, |power| power as usize + 1);
    index.min(DURATION_BUCKETS_COUNT - 1)
}

/// A job that waits for room of a service.
#[derive(Clone, Copy, Debug)]
pub struct WaitingJob<K> {
    /// Whose it is for the caller.
    pub key: K,
    /// How unimportant it is; what is largest is left out first.
    pub priority: u32,
    /// What all of it that waits needs, times milliseconds.
    pub work: ResourceVector,
    /// How long its longest chain still takes.
    pub critical_path: Duration,
    /// The time until its objective is over; `None` where it is over.
    pub time_to_objective: Option<Duration>,
    /// The time until it is worth nothing; `None` where that is over.
    pub time_to_worthless: Option<Duration>,
}

/// What is to become of a job while its service is overloaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Selection {
    /// It is to be in time.
    OnTime,
    /// The same, also where all work that is late comes before it.
    OnTimeAfterLate,
    /// It is to be late.
    Late,
    /// It is to be later than it is worth anything.
    Last,
}

/// A contender, what is to become of it, and how much it needs.
#[derive(Clone, Copy, Debug)]
pub struct SelectedJob<K> {
    /// Whose it is for the caller.
    pub key: K,
    /// What is to become of it.
    pub selection: Selection,
    /// For how long it would take the whole service by the resource of which it needs the
    /// largest part, in microseconds.
    pub size_us: u64,
}

/// The room of one service, and what wants it.
#[derive(Clone, Debug)]
pub struct ServiceLoad<K> {
    capacity: ResourceVector,
    occupancy: OccupancySums,
    waiting_jobs: Vec<WaitingJob<K>>,
}

/// A contender that is in time so far, by what is left out first.
type DropCandidate = (u32, u64, Reverse<Duration>, usize);

impl<K: Copy> ServiceLoad<K> {
    /// Creates the demand on a service that holds so much.
    pub fn new(capacity: ResourceVector, occupancy: Occupancy) -> Self {
        Self {
            capacity,
            occupancy: occupancy.into_sums(),
            waiting_jobs: Vec::new(),
        }
    }

    /// Adds a job that waits.
    pub fn push(&mut self, waiting_job: WaitingJob<K>) {
        self.waiting_jobs.push(waiting_job);
    }

    /// Returns the jobs that wait, in the order in which they were selected.
    pub fn waiting_jobs(&self) -> &[WaitingJob<K>] {
        &self.waiting_jobs
    }

    /// Returns when so much could be done at the best beside runs that end one after the
    /// other, with all of the room; at most `latest`.
    pub fn earliest_completion<'a>(
        &self,
        runs: impl Iterator<Item = &'a OccupyingRun>,
        needed: ResourceVector,
        latest: Duration,
    ) -> Duration {
        let runs: Vec<&OccupyingRun> = runs.collect();
        let mut free = self.capacity;
        runs.iter().for_each(|run| free.subtract(run.usage));
        let mut room = ResourceVector::default();
        let mut from_ms = 0;
        for run in runs {
            let until_ms = run.remaining.as_ms();
            let more = free.at_least_zero().times((until_ms - from_ms) as f64);
            if needed.is_within(room.plus(more)) {
                break;
            }
            room = room.plus(more);
            free.add(run.usage);
            from_ms = until_ms;
        }
        let rest_ms = needed.time_to_reach(room, free.at_least_zero());
        let done_ms = from_ms as f64 + rest_ms;
        Duration::from_ms(done_ms.min(latest.as_ms() as f64) as u64)
    }

    /// Returns how much of the usable room is needed for all jobs, in percent, at the worst of
    /// the objectives. What is late already is due within a second.
    pub fn load_percent(&mut self) -> u64 {
        self.sort();
        let mut needed = ResourceVector::default();
        let late = self.waiting_jobs.iter().filter(|it| !it.can_be_on_time());
        late.for_each(|waiting_job| needed.add(waiting_job.work));
        let (mut worst, _) = needed.dominant(self.usable(LATE_WORK_WINDOW));
        for waiting_job in self.waiting_jobs.iter().filter(|it| it.can_be_on_time()) {
            needed.add(waiting_job.work);
            let usable = self.usable(waiting_job.time_to_objective.unwrap_or_default());
            let (load, _) = needed.dominant(usable);
            worst = worst.max(load);
        }
        (worst * 100.0).min(MAX_LOAD_PERCENT) as u64
    }

    /// Chooses which jobs are to be in time, and which to be late.
    pub fn select(&mut self) -> Vec<SelectedJob<K>> {
        self.sort();
        let on_time = self.select_feasible(&vec![false; self.waiting_jobs.len()], |it| {
            it.time_for_critical_path()
        });
        let before_worthless = self.select_feasible(&on_time, |it| it.worth_for_critical_path());
        let mut needed = self.work_excluding(&on_time);
        let mut selected = Vec::with_capacity(self.waiting_jobs.len());
        for (index, waiting_job) in self.waiting_jobs.iter().enumerate() {
            if on_time[index] {
                needed.add(waiting_job.work);
            }
            let selection = match (on_time[index], before_worthless[index]) {
                (true, _) if self.fits(needed, waiting_job) => Selection::OnTimeAfterLate,
                (true, _) => Selection::OnTime,
                (false, true) => Selection::Late,
                (false, false) => Selection::Last,
            };
            selected.push(SelectedJob {
                key: waiting_job.key,
                selection,
                size_us: self.size_us(waiting_job),
            });
        }
        selected
    }

    /// Returns for each contender whether it is among those that can be done together within
    /// their times beside those that are preselected already.
    fn select_feasible(
        &self,
        preselected: &[bool],
        time_of: impl Fn(&WaitingJob<K>) -> Option<Duration>,
    ) -> Vec<bool> {
        let mut is_selected = preselected.to_vec();
        let mut needed = ResourceVector::default();
        let mut drop_candidates: [BinaryHeap<DropCandidate>; RESOURCE_KINDS_COUNT] =
            Default::default();
        for (time, index) in self.by_deadline(preselected, time_of) {
            let waiting_job = &self.waiting_jobs[index];
            needed.add(waiting_job.work);
            if !preselected[index] {
                is_selected[index] = true;
                let (_, kind) = waiting_job.work.dominant(self.capacity);
                drop_candidates[kind].push(self.drop_candidate(index, waiting_job));
            }
            let usable = self.usable(time);
            loop {
                let (load, scarce) = needed.dominant(usable);
                if load <= 1.0 {
                    break;
                }
                let Some((.., dropped)) = drop_candidates[scarce].pop() else {
                    break;
                };
                is_selected[dropped] = false;
                needed.subtract(self.waiting_jobs[dropped].work);
            }
        }
        is_selected
    }

    /// Returns the contenders that can be done within their times, those that are preselected
    /// already by their objectives, the soonest first.
    fn by_deadline(
        &self,
        preselected: &[bool],
        time_of: impl Fn(&WaitingJob<K>) -> Option<Duration>,
    ) -> Vec<(Duration, usize)> {
        let waiting_jobs = self.waiting_jobs.iter().enumerate();
        let mut times: Vec<(Duration, usize)> = waiting_jobs
            .filter_map(|(index, waiting_job)| {
                let time = if preselected[index] {
                    waiting_job.time_to_objective
                } else {
                    time_of(waiting_job)
                };
                Some((time?, index))
            })
            .collect();
        times.sort_unstable();
        times
    }

    fn drop_candidate(&self, index: usize, waiting_job: &WaitingJob<K>) -> DropCandidate {
        let time_to_objective = waiting_job.time_to_objective.unwrap_or_default();
        let size_us = self.size_us(waiting_job);
        (
            waiting_job.priority,
            size_us,
            Reverse(time_to_objective),
            index,
        )
    }

    fn work_excluding(&self, is_selected: &[bool]) -> ResourceVector {
        let mut work = ResourceVector::default();
        let others = self
            .waiting_jobs
            .iter()
            .zip(is_selected)
            .filter(|(_, kept)| !**kept);
        others.for_each(|(waiting_job, _)| work.add(waiting_job.work));
        work
    }

    fn fits(&self, needed: ResourceVector, waiting_job: &WaitingJob<K>) -> bool {
        let usable = self.usable(waiting_job.time_to_objective.unwrap_or_default());
        needed.dominant(usable).0 <= 1.0
    }

    /// Returns what of the room is left for what waits until then.
    fn usable(&self, time: Duration) -> ResourceVector {
        let mut usable = self.capacity.times(time.as_ms() as f64);
        usable.subtract(self.occupancy.within(time));
        let usable = usable.times(USABLE_PERCENT / 100.0);
        ResourceVector(usable.0.map(|part| part.max(f64::MIN_POSITIVE)))
    }

    fn size_us(&self, waiting_job: &WaitingJob<K>) -> u64 {
        let (share_ms, _) = waiting_job.work.dominant(self.capacity);
        (share_ms * 1000.0) as u64
    }

    fn sort(&mut self) {
        let by_deadline = |waiting_job: &WaitingJob<K>| waiting_job.time_to_objective;
        self.waiting_jobs.sort_by_key(by_deadline);
    }
}

impl<K> WaitingJob<K> {
    /// Returns whether its chain ends within its objective where it begins now.
    fn can_be_on_time(&self) -> bool {
        self.time_for_critical_path().is_some()
    }

    /// Returns its time until the objective, where that is enough for its chain.
    fn time_for_critical_path(&self) -> Option<Duration> {
        self.time_to_objective
            .filter(|remaining| self.critical_path <= *remaining)
    }

    /// Returns its time until it is worth nothing, where that is enough for its chain.
    fn worth_for_critical_path(&self) -> Option<Duration> {
        self.time_to_worthless
            .filter(|remaining| self.critical_path <= *remaining)
    }
}
