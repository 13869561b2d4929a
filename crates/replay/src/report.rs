//! The results of a replay.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Quantiles of a duration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The maximum.
    pub max: f64,
}

impl Quantiles {
    /// Reads the quantiles of `histogram` and divides each by `scale`.
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

/// The waiting time of the tasks of one row, from arrival to first start.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RowWait {
    /// The name of the row.
    pub row: String,
    /// The number of tasks that started.
    pub started_count: u64,
    /// The waiting time, in milliseconds.
    pub wait_ms: Quantiles,
}

/// The fraction of the workers' capacity that was used while there was work, by resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Packing {
    /// Processors.
    pub cores: f64,
    /// Memory.
    pub memory: f64,
    /// Accelerators.
    pub accelerators: f64,
}

/// The measurements of a replay.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ReplayReport {
    /// The number of tasks that arrived.
    pub tasks: u64,
    /// The number of tasks that were refused.
    pub refused: u64,
    /// The number of tasks that had neither ended nor been refused when the replay ended.
    pub lost: u64,
    /// The number of starts of a task that was already running.
    pub run_twice: u64,
    /// The number of starts that exceeded the capacity of their worker.
    pub overcommits: u64,
    /// The number of restarts after the loss of a worker.
    pub restarted: u64,
    /// The duration of the replay, in milliseconds of the trace's time.
    pub length_ms: u64,
    /// The waiting time from arrival to first start, in milliseconds.
    pub wait_ms: Quantiles,
    /// The waiting time of each row.
    pub wait_by_row: Vec<RowWait>,
    /// The fraction of the available cores that was used while there was work.
    pub packing_ratio: f64,
    /// The fraction of the cores that any policy could have used at most, if tasks were
    /// divisible.
    pub packing_bound_ratio: f64,
    /// The fraction of each resource that was used.
    pub packing: Packing,
    /// Starts decided per second of decision time, which is real time.
    pub decisions_per_s: f64,
    /// The real time of one decision, in microseconds. Each decision counts as the mean of its
    /// commit.
    pub decision_us: Quantiles,
    /// Commits per second of the trace's time.
    pub store_calls_per_s: f64,
    /// Bytes committed per start.
    pub store_bytes_per_start: f64,
}
