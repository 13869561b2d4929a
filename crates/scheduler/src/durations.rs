//! Forecasts of task durations, learned by queue and by size of the estimate.
//!
//! A client's estimate is rough, and how rough it is differs between queues. For each queue,
//! and for each power of two of the estimate, two sketches are kept: one of the ratio of
//! duration to estimate, one of the duration itself. A forecast combines both, weighted by
//! their inverse variance. It is used only if past forecasts were closer than the estimates.

use crate::handover::{LearnedQuantiles, LearnedSize};
use core::cmp::Reverse;
use hdrhistogram::Histogram;
use ospreywing_types::{Duration, Instant};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Minimum number of steps in a size class for a forecast.
const CLASS_MIN_STEPS_COUNT: u64 = 8;
/// Minimum number of steps in a queue for a forecast, where the size class has too few.
const QUEUE_MIN_STEPS_COUNT: u64 = 16;
/// Once a window has this many steps, the quantiles are recomputed only for each
/// `UPDATE_PERIOD_COUNT`th step, since a single step hardly changes them.
const FREQUENT_UPDATE_LIMIT_COUNT: u64 = 64;
const UPDATE_PERIOD_COUNT: u64 = 8;
/// Duration of a window. A forecast reads the current and the previous one. This is long
/// enough for some dozens of steps of a queue that gets one every few seconds.
const WINDOW: Duration = Duration::from_s(120);
/// Sketches without a newer step than this are ignored: the queue's work may be different by
/// now.
const AGE_LIMIT: Duration = Duration::from_s(600);
/// Maximum number of size classes of all queues; each takes about 5 KB.
const CLASSES_LIMIT_COUNT: usize = 1024;
/// Maximum number of size classes that are sent to the next leader; about 20 KB.
const HANDOVER_LIMIT_COUNT: usize = 256;
/// Durations are recorded up to this, about 37 hours.
const MAX_DURATION_MS: u64 = 1 << 27;
/// Ratios of duration to estimate are recorded up to this, in thousandths.
const MAX_RATIO_MILLI: u64 = 64_000;
/// One significant digit gives a resolution of 6%; estimates are off by far more.
const SIGNIFICANT_DIGITS_COUNT: u8 = 1;
/// The quantiles of the durations of steps that `sure`, `likely` and `late` are.
const SURE_QUANTILE: f64 = 0.1;
const LIKELY_QUANTILE: f64 = 0.5;
const LATE_QUANTILE: f64 = 0.9;
/// The number of standard deviations between `sure` and `late` in a normal distribution.
const STD_DEVS_BETWEEN_BOUNDS: f64 = 2.56;
/// The quantiles one standard deviation below and above the median.
const STD_DEV_QUANTILES: [f64; 2] = [0.16, 0.84];
/// Minimum standard deviation of a logarithm that the resolution of the sketches can show.
const MIN_LOG_STD_DEV: f64 = 0.05;
/// Minimum weight of a new error in a queue's mean error.
const ERROR_GAIN: f64 = 0.05;
/// Minimum number of steps before a queue's mean errors are compared.
const MIN_ERRORS_COUNT: u64 = 8;

/// The expected duration of a step's tasks on a worker of typical speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DurationForecast {
    /// The 0.1 quantile: one step in ten takes less.
    pub sure: Duration,
    /// The median.
    pub likely: Duration,
    /// The 0.9 quantile: one step in ten takes longer.
    pub late: Duration,
    /// The number of steps from which this was learned.
    pub count: u64,
    /// The age of the newest of these steps.
    pub age: Duration,
}

impl DurationForecast {
    /// Returns the standard deviation of the logarithm of the actual durations.
    pub fn log_std_dev(&self) -> f64 {
        let ratio = self.late.as_ms().max(1) as f64 / self.sure.as_ms().max(1) as f64;
        ratio.ln() / STD_DEVS_BETWEEN_BOUNDS
    }
}

/// The mean errors of forecasts and estimates, each as a factor less 1, in percent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ForecastError {
    /// The error of the forecasts.
    pub forecast_percent: u64,
    /// The error of the clients' estimates.
    pub estimate_percent: u64,
}

/// The properties of a step by which its duration is forecast.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepClass {
    /// Whether it is a gang, whose duration is that of its slowest member.
    pub is_gang: bool,
    /// The client's estimate; zero if there is none.
    pub estimate: Duration,
}

impl StepClass {
    /// Returns the size class: the binary logarithm of the estimate in milliseconds, rounded
    /// down.
    const fn size(self) -> u32 {
        match self.estimate.as_ms().checked_ilog2() {
            Some(size) => size,
            None => 0,
        }
    }
}

/// The logarithms of a sketch's quantiles and their standard deviation.
#[derive(Clone, Copy, Debug, Default)]
struct Quantiles {
    sure: f64,
    likely: f64,
    late: f64,
    log_std_dev: f64,
}

impl Quantiles {
    fn learned(&self) -> LearnedQuantiles {
        let rounded = |ln: f64| ln.exp().round().max(1.0) as u64;
        LearnedQuantiles {
            sure: rounded(self.sure),
            likely: rounded(self.likely),
            late: rounded(self.late),
            spread_milli: (self.log_std_dev * 1000.0).round() as u32,
        }
    }

    fn from_learned(learned: &LearnedQuantiles) -> Self {
        let ln = |value: u64| (value.min(MAX_DURATION_MS) as f64).ln();
        Self {
            sure: ln(learned.sure),
            likely: ln(learned.likely),
            late: ln(learned.late),
            log_std_dev: (f64::from(learned.spread_milli) / 1000.0).max(MIN_LOG_STD_DEV),
        }
    }
}

/// The histogram of the current window and that of the previous one.
#[derive(Clone, Debug)]
struct RotatingHistogram {
    current: Histogram<u32>,
    previous: Histogram<u32>,
}

impl RotatingHistogram {
    fn new(limit: u64) -> Option<Self> {
        let current = Histogram::new_with_bounds(1, limit, SIGNIFICANT_DIGITS_COUNT).ok()?;
        let previous = current.clone();
        Some(Self { current, previous })
    }

    fn rotate(&mut self) {
        core::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
    }

    fn count(&self) -> u64 {
        self.current.len() + self.previous.len()
    }

    fn quantiles(&self) -> Quantiles {
        let mut both = self.current.clone();
        // This can't fail: both histograms have the same bounds.
        let _ = both.add(&self.previous);
        let ln_at = |quantile: f64| (both.value_at_quantile(quantile).max(1) as f64).ln();
        let [low, high] = STD_DEV_QUANTILES.map(ln_at);
        Quantiles {
            sure: ln_at(SURE_QUANTILE),
            likely: ln_at(LIKELY_QUANTILE),
            late: ln_at(LATE_QUANTILE),
            log_std_dev: ((high - low) / 2.0).max(MIN_LOG_STD_DEV),
        }
    }
}

/// The sketches of a queue's steps, or of those of one size class.
#[derive(Clone, Debug)]
struct ClassSketches {
    ratios: RotatingHistogram,
    durations: RotatingHistogram,
    began_at: Instant,
    last_step_at: Instant,
    ratio_quantiles: Quantiles,
    duration_quantiles: Quantiles,
    /// The number of steps behind the quantiles of an earlier leader; 0 once this leader's
    /// own steps have replaced these.
    handover_steps_count: u64,
    has_handover_ratios: bool,
}

impl ClassSketches {
    fn new(now: Instant) -> Option<Self> {
        Some(Self {
            ratios: RotatingHistogram::new(MAX_RATIO_MILLI)?,
            durations: RotatingHistogram::new(MAX_DURATION_MS)?,
            began_at: now,
            last_step_at: now,
            ratio_quantiles: Quantiles::default(),
            duration_quantiles: Quantiles::default(),
            handover_steps_count: 0,
            has_handover_ratios: false,
        })
    }

    fn record(&mut self, now: Instant, estimate: Duration, actual: Duration) {
        if now.since(self.began_at) >= WINDOW {
            self.ratios.rotate();
            self.durations.rotate();
            self.began_at = now;
        }
        self.last_step_at = now;
        let actual_ms = actual.as_ms().max(1);
        self.durations.current.saturating_record(actual_ms);
        if let Some(ratio_milli) = (actual_ms * 1000).checked_div(estimate.as_ms()) {
            self.ratios.current.saturating_record(ratio_milli.max(1));
        }
        if self.handover_steps_count > self.durations.count() {
            return;
        }
        self.handover_steps_count = 0;
        self.has_handover_ratios = false;
        let count = self.durations.current.len();
        if count < FREQUENT_UPDATE_LIMIT_COUNT || count.is_multiple_of(UPDATE_PERIOD_COUNT) {
            self.duration_quantiles = self.durations.quantiles();
            self.ratio_quantiles = self.ratios.quantiles();
        }
    }

    fn learned(
        &self,
        now: Instant,
        queue: &Arc<str>,
        is_gang: bool,
        size: Option<u32>,
    ) -> Option<LearnedSize> {
        let count = self.count();
        let age = now.since(self.last_step_at);
        (count >= CLASS_MIN_STEPS_COUNT && age <= AGE_LIMIT).then(|| LearnedSize {
            queue: queue.clone(),
            is_gang,
            size,
            ratios: self
                .has_ratios(CLASS_MIN_STEPS_COUNT)
                .then(|| self.ratio_quantiles.learned()),
            lengths: self.duration_quantiles.learned(),
            count,
            age_ms: age.as_ms(),
        })
    }

    fn from_learned(now: Instant, learned: &LearnedSize) -> Option<Self> {
        let ratios = learned.ratios.unwrap_or(learned.lengths);
        let is_ordered = learned.lengths.is_ordered() && ratios.is_ordered();
        let age = Duration::from_ms(learned.age_ms);
        if !is_ordered || age > AGE_LIMIT {
            return None;
        }
        let mut sketches = Self::new(now)?;
        sketches.last_step_at = now - age;
        sketches.handover_steps_count = learned.count.min(QUEUE_MIN_STEPS_COUNT);
        sketches.duration_quantiles = Quantiles::from_learned(&learned.lengths);
        if let Some(ratios) = &learned.ratios {
            sketches.has_handover_ratios = true;
            sketches.ratio_quantiles = Quantiles::from_learned(ratios);
        }
        Some(sketches)
    }

    /// Returns the number of steps behind the quantiles.
    fn count(&self) -> u64 {
        self.durations.count().max(self.handover_steps_count)
    }

    fn has_ratios(&self, min_count: u64) -> bool {
        self.has_handover_ratios || self.ratios.count() >= min_count
    }

    fn forecast(
        &self,
        now: Instant,
        estimate: Duration,
        min_count: u64,
    ) -> Option<DurationForecast> {
        let count = self.count();
        let age = now.since(self.last_step_at);
        if count < min_count || age > AGE_LIMIT {
            return None;
        }
        let (ratio, duration) = (&self.ratio_quantiles, &self.duration_quantiles);
        let has_ratios = estimate > Duration::ZERO && self.has_ratios(min_count);
        let ratio_weight = if has_ratios {
            ratio.log_std_dev.powi(-2)
        } else {
            0.0
        };
        let duration_weight = duration.log_std_dev.powi(-2);
        // Ratios are in thousandths.
        let estimate_ln = (estimate.as_ms().max(1) as f64 / 1000.0).ln();
        let blend = |ratio_ln: f64, duration_ln: f64| {
            let by_ratio = ratio_weight * (estimate_ln + ratio_ln);
            let blended =
                (by_ratio + duration_weight * duration_ln) / (ratio_weight + duration_weight);
            Duration::from_ms(blended.exp().round() as u64)
        };
        Some(DurationForecast {
            sure: blend(ratio.sure, duration.sure),
            likely: blend(ratio.likely, duration.likely),
            late: blend(ratio.late, duration.late),
            count,
            age,
        })
    }
}

/// The mean errors of a queue's forecasts and estimates, as logarithms.
#[derive(Clone, Copy, Debug, Default)]
struct MeanErrors {
    forecast: f64,
    estimate: f64,
    count: u64,
}

impl MeanErrors {
    fn record(&mut self, forecast: Duration, estimate: Duration, actual: Duration) {
        let gain = ERROR_GAIN.max(1.0 / (self.count + 1) as f64);
        self.count += 1;
        self.forecast += gain * (log_error(forecast, actual) - self.forecast);
        self.estimate += gain * (log_error(estimate, actual) - self.estimate);
    }

    /// Returns whether forecasts were further off than estimates.
    fn is_worse(&self) -> bool {
        self.count >= MIN_ERRORS_COUNT && self.forecast > self.estimate
    }
}

fn log_error(forecast: Duration, actual: Duration) -> f64 {
    let ratio = forecast.as_ms().max(1) as f64 / actual.as_ms().max(1) as f64;
    ratio.ln().abs()
}

/// Returns the sketches for a key, creating them if there are none.
fn class_entry<K: Ord>(
    classes: &mut BTreeMap<K, ClassSketches>,
    key: K,
    now: Instant,
) -> Option<&mut ClassSketches> {
    match classes.entry(key) {
        Entry::Occupied(entry) => Some(entry.into_mut()),
        Entry::Vacant(entry) => Some(entry.insert(ClassSketches::new(now)?)),
    }
}

/// The sketches of a queue's steps.
#[derive(Clone, Debug, Default)]
struct QueueSketches {
    /// Sketches of all steps, by whether they are gangs.
    all_steps: BTreeMap<bool, ClassSketches>,
    /// Sketches by whether the steps are gangs, and by size class.
    sizes: BTreeMap<(bool, u32), ClassSketches>,
    errors: MeanErrors,
    last_step_at: Instant,
}

impl QueueSketches {
    fn classes_count(&self) -> usize {
        self.all_steps.len() + self.sizes.len()
    }

    /// Returns a forecast, even if past forecasts were worse than the estimates.
    fn unchecked_forecast(&self, now: Instant, class: StepClass) -> Option<DurationForecast> {
        let by_size = self.sizes.get(&(class.is_gang, class.size()));
        let by_size =
            by_size.and_then(|it| it.forecast(now, class.estimate, CLASS_MIN_STEPS_COUNT));
        by_size.or_else(|| {
            let all_steps = self.all_steps.get(&class.is_gang)?;
            all_steps.forecast(now, class.estimate, QUEUE_MIN_STEPS_COUNT)
        })
    }

    fn record(&mut self, now: Instant, class: StepClass, actual: Duration) {
        self.last_step_at = now;
        let forecast = self.unchecked_forecast(now, class);
        if let Some(forecast) = forecast.filter(|_| class.estimate > Duration::ZERO) {
            self.errors.record(forecast.likely, class.estimate, actual);
        }
        let all_steps = class_entry(&mut self.all_steps, class.is_gang, now);
        let by_size = class_entry(&mut self.sizes, (class.is_gang, class.size()), now);
        for sketches in all_steps.into_iter().chain(by_size) {
            sketches.record(now, class.estimate, actual);
        }
    }
}

/// The durations of tasks, by queue.
#[derive(Clone, Debug, Default)]
pub struct Durations {
    queues: HashMap<Arc<str>, QueueSketches>,
    classes_count: usize,
}

impl Durations {
    /// Records the duration of a step's tasks on a worker of typical speed. A step is
    /// recorded once, however many tasks it has, since these share its estimate.
    pub fn record(&mut self, now: Instant, queue: &str, class: StepClass, actual: Duration) {
        if !self.queues.contains_key(queue) {
            self.queues
                .insert(Arc::from(queue), QueueSketches::default());
        }
        let Some(sketches) = self.queues.get_mut(queue) else {
            return;
        };
        let before_count = sketches.classes_count();
        sketches.record(now, class, actual);
        self.classes_count += sketches.classes_count() - before_count;
        while self.classes_count > CLASSES_LIMIT_COUNT && self.queues.len() > 1 {
            self.evict_oldest_queue();
        }
    }

    /// Returns the expected duration of a step's tasks; `None` if too little is known, or if
    /// past forecasts were further off than the estimates.
    pub fn forecast(
        &self,
        now: Instant,
        queue: &str,
        class: StepClass,
    ) -> Option<DurationForecast> {
        let sketches = self.queues.get(queue)?;
        if sketches.errors.is_worse() {
            return None;
        }
        sketches.unchecked_forecast(now, class)
    }

    /// Returns what has been learned, for the next leader: the queues with the most recent
    /// steps first, up to the limit.
    pub(crate) fn learned(&self, now: Instant) -> Vec<LearnedSize> {
        let mut queues: Vec<(&Arc<str>, &QueueSketches)> = self.queues.iter().collect();
        queues.sort_by_key(|(name, sketches)| (Reverse(sketches.last_step_at), *name));
        let mut sizes = Vec::new();
        for (queue, sketches) in queues {
            let all_steps = sketches
                .all_steps
                .iter()
                .map(|(gang, it)| ((*gang, None), it));
            let by_size = sketches.sizes.iter();
            let by_size = by_size.map(|((gang, size), it)| ((*gang, Some(*size)), it));
            for ((is_gang, size), class_sketches) in all_steps.chain(by_size) {
                sizes.extend(class_sketches.learned(now, queue, is_gang, size));
            }
        }
        sizes.truncate(HANDOVER_LIMIT_COUNT);
        sizes
    }

    /// Creates the sketches from what an earlier leader has learned, without implausible
    /// values.
    pub(crate) fn from_learned(now: Instant, sizes: &[LearnedSize]) -> Self {
        let mut durations = Self::default();
        for learned in sizes.iter().take(HANDOVER_LIMIT_COUNT) {
            let Some(class_sketches) = ClassSketches::from_learned(now, learned) else {
                continue;
            };
            let sketches = durations.queues.entry(learned.queue.clone()).or_default();
            sketches.last_step_at = sketches.last_step_at.max(class_sketches.last_step_at);
            let before_count = sketches.classes_count();
            match learned.size {
                Some(size) => sketches
                    .sizes
                    .insert((learned.is_gang, size), class_sketches),
                None => sketches.all_steps.insert(learned.is_gang, class_sketches),
            };
            durations.classes_count += sketches.classes_count() - before_count;
        }
        durations
    }

    /// Returns the number of size classes.
    pub fn classes_count(&self) -> usize {
        self.classes_count
    }

    /// Returns the size of the sketches in bytes.
    pub fn sketches_bytes(&self) -> usize {
        let cells_count = |sketch: &RotatingHistogram| {
            sketch.current.distinct_values() + sketch.previous.distinct_values()
        };
        let queues = self.queues.values();
        let classes = queues.flat_map(|it| it.all_steps.values().chain(it.sizes.values()));
        let cells = classes.map(|it| cells_count(&it.ratios) + cells_count(&it.durations));
        cells.sum::<usize>() * size_of::<u32>()
    }

    /// Returns the mean errors of all queues that had forecasts.
    pub fn error(&self) -> ForecastError {
        let errors = self.queues.values().map(|it| it.errors);
        let errors: Vec<MeanErrors> = errors.filter(|errors| errors.count > 0).collect();
        let percent = |error: fn(&MeanErrors) -> f64| {
            let sum: f64 = errors.iter().map(error).sum();
            let mean = sum / errors.len().max(1) as f64;
            (mean.exp_m1() * 100.0).round() as u64
        };
        ForecastError {
            forecast_percent: percent(|errors| errors.forecast),
            estimate_percent: percent(|errors| errors.estimate),
        }
    }

    fn evict_oldest_queue(&mut self) {
        let oldest = self
            .queues
            .iter()
            .min_by_key(|(name, it)| (it.last_step_at, *name));
        let Some(name) = oldest.map(|(name, _)| name.clone()) else {
            return;
        };
        let forgotten = self.queues.remove(&name);
        self.classes_count -= forgotten.map_or(0, |it| it.classes_count());
    }
}
