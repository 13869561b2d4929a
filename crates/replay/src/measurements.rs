//! Measurements during a replay.

use crate::report::{Packing, Quantiles, ReplayReport, RowWait};
use hdrhistogram::Histogram;
use ospreywing_types::{Name, Resources};
use std::collections::BTreeMap;
use std::time::Duration;

const SIGNIFICANT_DIGITS: u8 = 3;
/// The longest waiting time that is recorded, a week. Longer waits count as this.
const MAX_WAIT_MS: u64 = 7 * 24 * 3600 * 1000;
/// The longest decision time that is recorded, a minute. Longer decisions count as this.
const MAX_DECISION_NS: u64 = 60_000_000_000;

fn histogram(max: u64) -> Histogram<u64> {
    // The bounds are constants and valid for the library.
    Histogram::new_with_max(max, SIGNIFICANT_DIGITS).expect("the bounds are sound")
}

/// Integrals of amounts over time, in units of the resource times milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    cores: f64,
    memory: f64,
    accelerators: f64,
}

impl Sums {
    fn add(&mut self, amount: &Amount, ms: f64) {
        self.cores += amount.cores * ms;
        self.memory += amount.memory * ms;
        self.accelerators += amount.accelerators * ms;
    }
}

/// An amount of resources that may exceed the capacity of one box.
#[derive(Clone, Copy, Debug, Default)]
struct Amount {
    cores: f64,
    memory: f64,
    accelerators: f64,
}

impl Amount {
    fn add(&mut self, part: &Resources, sign: f64) {
        self.cores += f64::from(part.cores_milli) * sign;
        self.memory += f64::from(part.memory_mib) * sign;
        self.accelerators += f64::from(part.accelerators_count) * sign;
    }

    fn min(&self, other: &Self) -> Self {
        Self {
            cores: self.cores.min(other.cores),
            memory: self.memory.min(other.memory),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }
}

/// The measurements of one replay.
pub(crate) struct Measurements {
    last_ms: u64,
    capacity: Amount,
    used: Amount,
    /// The demand of all running and waiting tasks.
    demand: Amount,
    capacity_sums: Sums,
    used_sums: Sums,
    bound_sums: Sums,
    wait_ms: Histogram<u64>,
    wait_by_row: BTreeMap<Name, Histogram<u64>>,
    decision_ns: Histogram<u64>,
    deciding_time: Duration,
    starts_count: u64,
    commits_count: u64,
    commit_bytes: u64,
}

impl Measurements {
    pub(crate) fn new() -> Self {
        Self {
            last_ms: 0,
            capacity: Amount::default(),
            used: Amount::default(),
            demand: Amount::default(),
            capacity_sums: Sums::default(),
            used_sums: Sums::default(),
            bound_sums: Sums::default(),
            wait_ms: histogram(MAX_WAIT_MS),
            wait_by_row: BTreeMap::new(),
            decision_ns: histogram(MAX_DECISION_NS),
            deciding_time: Duration::ZERO,
            starts_count: 0,
            commits_count: 0,
            commit_bytes: 0,
        }
    }

    /// Advances the time to `at_ms` and updates the sums.
    ///
    /// The sums grow only while there is work, so that idle time at the end of a trace does not
    /// lower the utilization.
    pub(crate) fn advance(&mut self, at_ms: u64) {
        let ms = at_ms.saturating_sub(self.last_ms) as f64;
        self.last_ms = at_ms.max(self.last_ms);
        if self.demand.cores > 0.0 {
            self.capacity_sums.add(&self.capacity, ms);
            self.used_sums.add(&self.used, ms);
            let bound = self.demand.min(&self.capacity);
            self.bound_sums.add(&bound, ms);
        }
    }

    pub(crate) fn add_worker(&mut self, resources: &Resources) {
        self.capacity.add(resources, 1.0);
    }

    pub(crate) fn remove_worker(&mut self, resources: &Resources) {
        self.capacity.add(resources, -1.0);
    }

    pub(crate) fn add_demand(&mut self, need: &Resources) {
        self.demand.add(need, 1.0);
    }

    pub(crate) fn remove_demand(&mut self, need: &Resources) {
        self.demand.add(need, -1.0);
    }

    pub(crate) fn add_used(&mut self, need: &Resources) {
        self.used.add(need, 1.0);
    }

    pub(crate) fn remove_used(&mut self, need: &Resources) {
        self.used.add(need, -1.0);
    }

    /// Records how long a task waited for its first start.
    pub(crate) fn record_wait(&mut self, row: &Name, ms: u64) {
        self.wait_ms.saturating_record(ms);
        let by_row = self.wait_by_row.entry(row.clone());
        let by_row = by_row.or_insert_with(|| histogram(MAX_WAIT_MS));
        by_row.saturating_record(ms);
    }

    /// Records a placement pass that took `elapsed` and decided `starts_count` starts.
    pub(crate) fn record_decisions(&mut self, elapsed: Duration, starts_count: u64) {
        if starts_count == 0 {
            return;
        }
        self.deciding_time += elapsed;
        self.starts_count += starts_count;
        let each_ns = elapsed.as_nanos() as u64 / starts_count;
        for _ in 0..starts_count {
            self.decision_ns.saturating_record(each_ns.max(1));
        }
    }

    pub(crate) fn record_commit(&mut self, size_bytes: usize) {
        self.commits_count += 1;
        self.commit_bytes += size_bytes as u64;
    }

    /// Writes the measurements to `report`.
    pub(crate) fn fill_report(&self, report: &mut ReplayReport) {
        report.length_ms = self.last_ms;
        report.wait_ms = Quantiles::new(&self.wait_ms, 1.0);
        let rows = self.wait_by_row.iter();
        report.wait_by_row = rows
            .map(|(row, waits)| RowWait {
                row: row.to_string(),
                started_count: waits.len(),
                wait_ms: Quantiles::new(waits, 1.0),
            })
            .collect();
        report.packing = Packing {
            cores: ratio(self.used_sums.cores, self.capacity_sums.cores),
            memory: ratio(self.used_sums.memory, self.capacity_sums.memory),
            accelerators: ratio(self.used_sums.accelerators, self.capacity_sums.accelerators),
        };
        report.packing_ratio = report.packing.cores;
        report.packing_bound_ratio = ratio(self.bound_sums.cores, self.capacity_sums.cores);
        report.decision_us = Quantiles::new(&self.decision_ns, 1000.0);
        report.decisions_per_s = ratio(self.starts_count as f64, self.deciding_time.as_secs_f64());
        let length_s = self.last_ms as f64 / 1000.0;
        report.store_calls_per_s = ratio(self.commits_count as f64, length_s);
        report.store_bytes_per_start = ratio(self.commit_bytes as f64, self.starts_count as f64);
    }
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        part / whole
    } else {
        0.0
    }
}
