//! The figures of a replay.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Quantiles of a length of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Half took at most this.
    pub p50: f64,
    /// Of a hundred, ninety-nine took at most this.
    pub p99: f64,
    /// The longest.
    pub max: f64,
}

impl Quantiles {
    /// Reads the quantiles, each divided by `scale`.
    pub(crate) fn new(histogram: &Histogram<u64>, scale: f64) -> Self {
        if histogram.is_empty() {
            return Self::default();
        }
        let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / scale;
        Self {
            p50: at(0.5),
            p99: at(0.99),
            max: histogram.max() as f64 / scale,
        }
    }
}

/// The waiting time of one row's tasks, from arrival to first start.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RowWait {
    /// The row.
    pub row: String,
    /// Tasks that started.
    pub started_count: u64,
    /// The waiting time, in milliseconds.
    pub wait_ms: Quantiles,
}

/// The part of the workers that was in use while work was there, by resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Packing {
    /// Processors.
    pub cores: f64,
    /// Memory.
    pub memory: f64,
    /// Accelerators.
    pub accelerators: f64,
}

/// What a replay measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ReplayReport {
    /// Tasks that arrived.
    pub tasks: u64,
    /// Tasks that were refused.
    pub refused: u64,
    /// Tasks that neither ended nor were refused by the end of the replay.
    pub lost: u64,
    /// Tasks that ran in two places at once or finished twice.
    pub run_twice: u64,
    /// Starts that gave a worker more than it holds.
    pub overcommits: u64,
    /// Attempts that began again after a worker was lost.
    pub restarted: u64,
    /// The length of the replay, in milliseconds of the trace.
    pub length_ms: u64,
    /// Waiting, from arrival to first start, in milliseconds.
    pub wait_ms: Quantiles,
    /// The same by row.
    pub wait_by_row: Vec<RowWait>,
    /// The part of the processors in use, of what was there.
    pub packing_ratio: f64,
    /// The most that any policy could have used, were tasks divisible.
    pub packing_bound_ratio: f64,
    /// The part of each resource in use.
    pub packing: Packing,
    /// Starts decided for each second of deciding.
    pub decisions_per_s: f64,
    /// What one decision took, in microseconds, as the mean of its commit.
    pub decision_us: Quantiles,
    /// Commits for each second of the trace.
    pub store_calls_per_s: f64,
    /// Bytes committed for each start.
    pub store_bytes_per_start: f64,
}
