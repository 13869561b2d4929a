//! Selects the jobs of an overloaded service that can be on time together.
//!
//! If there is more work than capacity, serving jobs by deadline alone makes all of them a
//! little late. Instead, jobs are added in the order of their objectives; as soon as those
//! added don't fit the capacity up to the current objective, the largest of the least
//! important jobs is dropped (the Moore-Hodgson rule, which minimizes the number of late
//! jobs). A second pass selects from the dropped jobs in the same way, by the time after
//! which a late job's result is worthless.

use crate::resource_totals::ResourceTotals;
use ospreywing_types::{Duration, Resources};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The kinds of resources: cores, memory, accelerators.
const RESOURCE_KINDS_COUNT: usize = 3;
/// Percentage of a service's capacity that work can use: free capacity is fragmented, and not
/// every task fits the fragments.
const USABLE_PERCENT: f64 = 90.0;
/// Load at which a service becomes overloaded, in percent of the usable capacity.
pub const ENTER_LOAD_PERCENT: u64 = 100;
/// Load below which a service is no longer overloaded, in percent. Lower than
/// [`ENTER_LOAD_PERCENT`], so that the scheduling order doesn't flap.
pub const LEAVE_LOAD_PERCENT: u64 = 70;
/// Upper bound of a reported load.
const MAX_LOAD_PERCENT: f64 = 1000.0;
/// Time within which jobs that are already late must fit, or the service counts as
/// overloaded.
const LATE_WORK_WINDOW: Duration = Duration::from_ms(1000);
/// Runs are counted by the power of two of their remaining milliseconds, up to some days.
const DURATION_BUCKETS_COUNT: usize = 30;

/// An amount of each kind of resource, as a usage or times milliseconds (as work).
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ResourceVector([f64; RESOURCE_KINDS_COUNT]);

impl ResourceVector {
    /// Creates a vector from the resources of one worker or task.
    pub fn of(resources: &Resources) -> Self {
        Self([
            f64::from(resources.cores_milli),
            f64::from(resources.memory_mib),
            f64::from(resources.accelerators_count),
        ])
    }

    /// Creates a vector from the resources of many workers.
    pub(crate) fn from_totals(totals: &ResourceTotals) -> Self {
        Self(totals.parts().map(|part| part as f64))
    }

    /// Returns the vector multiplied by `factor`.
    pub fn times(self, factor: f64) -> Self {
        Self(self.0.map(|part| part * factor))
    }

    /// Adds another vector.
    pub fn add(&mut self, other: Self) {
        for (part, more) in self.0.iter_mut().zip(other.0) {
            *part += more;
        }
    }

    /// Returns whether no component is smaller than that of `other`, and the vector isn't
    /// zero.
    pub fn covers(self, other: Self) -> bool {
        let mut parts = self.0.into_iter().zip(other.0);
        self != Self::default() && parts.all(|(part, least)| part >= least)
    }

    /// Returns the component-wise minimum.
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

    fn is_within(self, limit: Self) -> bool {
        let mut parts = self.0.into_iter().zip(limit.0);
        parts.all(|(part, limit)| part <= limit)
    }

    /// Returns the time until every component is reached, starting with `available` and adding
    /// `growth` per millisecond.
    fn time_to_reach(self, available: Self, growth: Self) -> f64 {
        let parts = self.0.into_iter().zip(available.0).zip(growth.0);
        let times = parts.map(|((part, available), growth)| match part - available {
            missing if missing > 0.0 => missing / growth,
            _ => 0.0,
        });
        times.fold(0.0, f64::max)
    }

    fn subtract(&mut self, other: Self) {
        for (part, less) in self.0.iter_mut().zip(other.0) {
            *part -= less;
        }
    }

    /// Returns the dominant share: the largest fraction of `capacity` over all kinds.
    pub fn share_of(self, capacity: Self) -> f64 {
        self.dominant(capacity).0
    }

    /// Returns the dominant share of `capacity` and the index of its kind.
    fn dominant(self, capacity: Self) -> (f64, usize) {
        let shares = self.0.into_iter().zip(capacity.0);
        let shares = shares.map(|(part, whole)| if part > 0.0 { part / whole } else { 0.0 });
        let shares = shares.enumerate().map(|(kind, share)| (share, kind));
        shares
            .max_by(|(one, _), (other, _)| one.total_cmp(other))
            .unwrap_or((0.0, 0))
    }
}

/// A run that occupies capacity for some time.
#[derive(Clone, Copy, Debug)]
pub struct OccupyingRun {
    /// The priority of its queue; 0 is the most important.
    pub priority: u32,
    /// The resources that it uses.
    pub usage: ResourceVector,
    /// The minimum time for which it still uses them.
    pub remaining: Duration,
}

/// The capacity of a service that its runs occupy, by remaining time.
#[derive(Clone, Debug, Default)]
pub struct Occupancy {
    /// Usage by the power of two of the remaining milliseconds.
    usage: [ResourceVector; DURATION_BUCKETS_COUNT],
    /// Usage times remaining milliseconds, by the same buckets.
    work: [ResourceVector; DURATION_BUCKETS_COUNT],
}

impl Occupancy {
    /// Adds a usage for a remaining time; `None` for a run that doesn't end by itself.
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

/// An occupancy with sums over its buckets.
#[derive(Clone, Debug, Default)]
struct OccupancySums {
    occupancy: Occupancy,
    /// Work of all runs in shorter buckets: these end before.
    finished_work: [ResourceVector; DURATION_BUCKETS_COUNT],
    /// Usage of all runs in longer buckets.
    longer_usage: [ResourceVector; DURATION_BUCKETS_COUNT],
}

impl OccupancySums {
    /// Returns the work of the runs within `time` from now, as resources times milliseconds.
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

fn duration_bucket(duration: Duration) -> usize {
    let power = duration.as_ms().checked_ilog2();
    let index = power.map_or(0, |power| power as usize + 1);
    index.min(DURATION_BUCKETS_COUNT - 1)
}

/// A job that waits for capacity of a service.
#[derive(Clone, Copy, Debug)]
pub struct WaitingJob<K> {
    /// The caller's key of the job.
    pub key: K,
    /// The priority; jobs with the largest number are dropped first.
    pub priority: u32,
    /// The work of its waiting tasks, as resources times milliseconds.
    pub work: ResourceVector,
    /// The remaining duration of its critical path, the longest chain of dependent steps.
    pub critical_path: Duration,
    /// Time until its objective; `None` if that has passed.
    pub time_to_objective: Option<Duration>,
    /// Time until its result is worthless; `None` if that has passed.
    pub time_to_worthless: Option<Duration>,
}

/// The outcome that is planned for a job while its service is overloaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Selection {
    /// It completes within its objective.
    OnTime,
    /// It completes within its objective even if all late work is served before it.
    OnTimeAfterLate,
    /// It completes after its objective, but before its result is worthless.
    Late,
    /// It completes only after its result is worthless; it is served last.
    Last,
}

/// A waiting job and its selection.
#[derive(Clone, Copy, Debug)]
pub struct SelectedJob<K> {
    /// The caller's key of the job.
    pub key: K,
    /// The outcome that is planned.
    pub selection: Selection,
    /// The time for which the job would need the whole service's capacity of its dominant
    /// resource, in microseconds.
    pub size_us: u64,
}

/// The capacity of a service, its occupancy and the jobs that wait for it.
#[derive(Clone, Debug)]
pub struct ServiceLoad<K> {
    capacity: ResourceVector,
    occupancy: OccupancySums,
    waiting_jobs: Vec<WaitingJob<K>>,
}

/// A job that is on time so far: priority, size in microseconds, time to its objective,
/// index. The maximum is dropped first.
type DropCandidate = (u32, u64, Reverse<Duration>, usize);

impl<K: Copy> ServiceLoad<K> {
    /// Creates the load of a service with this capacity and occupancy, without waiting jobs.
    pub fn new(capacity: ResourceVector, occupancy: Occupancy) -> Self {
        Self {
            capacity,
            occupancy: occupancy.into_sums(),
            waiting_jobs: Vec::new(),
        }
    }

    /// Adds a waiting job.
    pub fn push(&mut self, waiting_job: WaitingJob<K>) {
        self.waiting_jobs.push(waiting_job);
    }

    /// Returns the waiting jobs, in the order of [`Self::select`]'s result.
    pub fn waiting_jobs(&self) -> &[WaitingJob<K>] {
        &self.waiting_jobs
    }

    /// Returns the earliest time at which the work `needed` can be completed with all the
    /// capacity that `runs`, sorted by remaining time, leave free; at most `latest`.
    pub fn earliest_completion<'a>(
        &self,
        runs: impl Iterator<Item = &'a OccupyingRun>,
        needed: ResourceVector,
        latest: Duration,
    ) -> Duration {
        let runs: Vec<&OccupyingRun> = runs.collect();
        let mut free = self.capacity;
        runs.iter().for_each(|run| free.subtract(run.usage));
        let mut completed = ResourceVector::default();
        let mut from_ms = 0;
        for run in runs {
            let until_ms = run.remaining.as_ms();
            let more = free.at_least_zero().times((until_ms - from_ms) as f64);
            if needed.is_within(completed.plus(more)) {
                break;
            }
            completed = completed.plus(more);
            free.add(run.usage);
            from_ms = until_ms;
        }
        let rest_ms = needed.time_to_reach(completed, free.at_least_zero());
        let done_ms = from_ms as f64 + rest_ms;
        Duration::from_ms(done_ms.min(latest.as_ms() as f64) as u64)
    }

    /// Returns the load in percent of the usable capacity: the largest over the objectives of
    /// all jobs. Jobs that can't be on time are counted as due within `LATE_WORK_WINDOW`.
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

    /// Selects the jobs that are to be on time, late or last.
    pub fn select(&mut self) -> Vec<SelectedJob<K>> {
        self.sort();
        let on_time = self.select_feasible(&vec![false; self.waiting_jobs.len()], |it| {
            it.time_for_critical_path()
        });
        let before_worthless =
            self.select_feasible(&on_time, |it| it.late_time_for_critical_path());
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

    /// Returns for each job whether it is preselected, or selected to complete within its
    /// time together with the preselected ones.
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

    /// Returns the jobs with their deadlines, earliest first: the objective for preselected
    /// jobs, otherwise `time_of`, without jobs that have no such time.
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

    /// Returns the work that fits the usable capacity within `time` alongside the runs.
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
    /// Returns whether the critical path ends within the objective if it starts now.
    fn can_be_on_time(&self) -> bool {
        self.time_for_critical_path().is_some()
    }

    /// Returns the time to the objective, if that is long enough for the critical path.
    fn time_for_critical_path(&self) -> Option<Duration> {
        self.time_to_objective
            .filter(|remaining| self.critical_path <= *remaining)
    }

    /// Returns the time until the result is worthless, if that is long enough for the
    /// critical path.
    fn late_time_for_critical_path(&self) -> Option<Duration> {
        self.time_to_worthless
            .filter(|remaining| self.critical_path <= *remaining)
    }
}
