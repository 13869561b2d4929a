//! What tasks really take, learned by queue and size of the estimate.
//!
//! A client's estimate is rough, and how rough it is differs between queues. For each queue,
//! and for each power of two of the estimate, two sketches are kept: of the ratio of the
//! length to the estimate, and of the length alone. A forecast weighs both by how little
//! they scatter. It is given only where it has been nearer than the estimates themselves.

use crate::handover::{LearnedQuantiles, LearnedSize};
use core::cmp::Reverse;
use hdrhistogram::Histogram;
use ospreywing_types::{Duration, Instant};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The least steps of a size that tell what the next one takes.
const CLASS_MIN_STEPS_COUNT: u64 = 8;
/// The same of a all_steps queue, where those of the size are too few.
const QUEUE_MIN_STEPS_COUNT: u64 = 16;
/// From so many steps of a window on, the quantiles are worked out for each eighth alone: one
/// more hardly moves them.
const FREQUENT_UPDATE_LIMIT_COUNT: u64 = 64;
const UPDATE_PERIOD_COUNT: u64 = 8;
/// How long a sketch takes in steps before the next one begins; a forecast reads the last
/// two. Long enough for some dozens of steps of a queue that gets one every few seconds.
const WINDOW: Duration = Duration::from_s(120);
/// What is older than this tells nothing: the queue's work may be of another kind by now.
const AGE_LIMIT: Duration = Duration::from_s(600);
/// The sizes of all queues together: each takes some 5 KB.
const CLASSES_LIMIT_COUNT: usize = 1024;
/// The sizes that are handed on to the next leader: some 20 KB.
const HANDOVER_LIMIT_COUNT: usize = 256;
/// The longest that a task is forecast apart by its length.
const MAX_DURATION_MS: u64 = 1 << 27;
/// The largest ratio of length to estimate that is forecast apart, in thousandths.
const MAX_RATIO_MILLI: u64 = 64_000;
/// One significant digit: values are forecast apart by 6%, estimates are off by far more.
const SIGNIFICANT_DIGITS_COUNT: u8 = 1;
/// The parts of all steps that are shorter than `sure`, `likely` and `late`.
const SURE_QUANTILE: f64 = 0.1;
const LIKELY_QUANTILE: f64 = 0.5;
const LATE_QUANTILE: f64 = 0.9;
/// How many standard deviations `sure` and `late` are apart, for a logarithm that is spread
/// like the normal distribution.
const STD_DEVS_BETWEEN_BOUNDS: f64 = 2.56;
/// The quantiles that lie a standard deviation to either side of the median.
const STD_DEV_QUANTILES: [f64; 2] = [0.16, 0.84];
/// The least spread that is forecast apart, as a logarithm: that of the sketches themselves.
const MIN_LOG_STD_DEV: f64 = 0.05;
/// What a new error weighs in the mean error of a queue.
const ERROR_GAIN: f64 = 0.05;
/// The steps after which the mean errors of a queue are compared.
const MIN_ERRORS_COUNT: u64 = 8;

/// What a step's tasks should take on a worker of usual speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DurationForecast {
    /// The time that is surely needed: one step in ten takes less.
    pub sure: Duration,
    /// The median.
    pub likely: Duration,
    /// The time in which nine steps in ten are done.
    pub late: Duration,
    /// The steps from which this was learned.
    pub count: u64,
    /// The age of the newest of them.
    pub age: Duration,
}

impl DurationForecast {
    /// Returns the standard deviation of the logarithm of what steps really take.
    pub fn log_std_dev(&self) -> f64 {
        let ratio = self.late.as_ms().max(1) as f64 / self.sure.as_ms().max(1) as f64;
        ratio.ln() / STD_DEVS_BETWEEN_BOUNDS
    }
}

/// How far off forecasts and estimates were, each as a mean factor less 1 in percent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ForecastError {
    /// That of the forecasts.
    pub forecast_percent: u64,
    /// That of the clients' estimates.
    pub estimate_percent: u64,
}

/// Steps whose lengths are alike enough to be forecast together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepClass {
    /// Whether they are gangs: the slowest member tells how long one takes.
    pub is_gang: bool,
    /// The client's estimate; zero without.
    pub estimate: Duration,
}

impl StepClass {
    /// Returns the power of two that the estimate lies above.
    const fn size(self) -> u32 {
        match self.estimate.as_ms().checked_ilog2() {
            Some(size) => size,
            None => 0,
        }
    }
}

/// Quantiles of a sketch, as logarithms.
#[derive(Clone, Copy, Debug, Default)]
struct Quantiles {
    sure: f64,
    likely: f64,
    late: f64,
    log_std_dev: f64,
}

impl Quantiles {
    fn learned(&self) -> LearnedQuantiles {
        let all_steps = |ln: f64| ln.exp().round().max(1.0) as u64;
        LearnedQuantiles {
            sure: all_steps(self.sure),
            likely: all_steps(self.likely),
            late: all_steps(self.late),
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

/// The sketch that takes in what comes, and the one before it.
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
        // Both have the same bounds.
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

/// What is known of the steps of a queue, or of those of one size.
#[derive(Clone, Debug)]
struct ClassSketches {
    ratios: RotatingHistogram,
    lengths: RotatingHistogram,
    began_at: Instant,
    last_at: Instant,
    ratio_quantiles: Quantiles,
    duration_quantiles: Quantiles,
    /// The steps that an earlier leader's quantiles come from, while these count.
    recovered_count: u64,
    has_recovered_ratios: bool,
}

impl ClassSketches {
    fn new(now: Instant) -> Option<Self> {
        Some(Self {
            ratios: RotatingHistogram::new(MAX_RATIO_MILLI)?,
            lengths: RotatingHistogram::new(MAX_DURATION_MS)?,
            began_at: now,
            last_at: now,
            ratio_quantiles: Quantiles::default(),
            duration_quantiles: Quantiles::default(),
            recovered_count: 0,
            has_recovered_ratios: false,
        })
    }

    fn record(&mut self, now: Instant, estimate: Duration, actual: Duration) {
        if now.since(self.began_at) >= WINDOW {
            self.ratios.rotate();
            self.lengths.rotate();
            self.began_at = now;
        }
        self.last_at = now;
        let actual_ms = actual.as_ms().max(1);
        self.lengths.current.saturating_record(actual_ms);
        if let Some(ratio_milli) = (actual_ms * 1000).checked_div(estimate.as_ms()) {
            self.ratios.current.saturating_record(ratio_milli.max(1));
        }
        if self.recovered_count > self.lengths.count() {
            return;
        }
        self.recovered_count = 0;
        self.has_recovered_ratios = false;
        let count = self.lengths.current.len();
        if count < FREQUENT_UPDATE_LIMIT_COUNT || count.is_multiple_of(UPDATE_PERIOD_COUNT) {
            self.duration_quantiles = self.lengths.quantiles();
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
        let age = now.since(self.last_at);
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
        let is_possible = learned.lengths.is_possible() && ratios.is_possible();
        let age = Duration::from_ms(learned.age_ms);
        if !is_possible || age > AGE_LIMIT {
            return None;
        }
        let mut class = Self::new(now)?;
        class.last_at = now - age;
        class.recovered_count = learned.count.min(QUEUE_MIN_STEPS_COUNT);
        class.duration_quantiles = Quantiles::from_learned(&learned.lengths);
        if let Some(ratios) = &learned.ratios {
            class.has_recovered_ratios = true;
            class.ratio_quantiles = Quantiles::from_learned(ratios);
        }
        Some(class)
    }

    /// Returns the steps that the quantiles come from.
    fn count(&self) -> u64 {
        self.lengths.count().max(self.recovered_count)
    }

    fn has_ratios(&self, least_count: u64) -> bool {
        self.has_recovered_ratios || self.ratios.count() >= least_count
    }

    fn forecast(
        &self,
        now: Instant,
        estimate: Duration,
        least_count: u64,
    ) -> Option<DurationForecast> {
        let count = self.count();
        let age = now.since(self.last_at);
        if count < least_count || age > AGE_LIMIT {
            return None;
        }
        let (ratio, length) = (&self.ratio_quantiles, &self.duration_quantiles);
        let has_ratios = estimate > Duration::ZERO && self.has_ratios(least_count);
        let ratio_weight = if has_ratios {
            ratio.log_std_dev.powi(-2)
        } else {
            0.0
        };
        let duration_weight = length.log_std_dev.powi(-2);
        // Ratios are in thousandths.
        let estimate_ln = (estimate.as_ms().max(1) as f64 / 1000.0).ln();
        let blend = |ratio_ln: f64, duration_ln: f64| {
            let by_ratio = ratio_weight * (estimate_ln + ratio_ln);
            let blended =
                (by_ratio + duration_weight * duration_ln) / (ratio_weight + duration_weight);
            Duration::from_ms(blended.exp().round() as u64)
        };
        Some(DurationForecast {
            sure: blend(ratio.sure, length.sure),
            likely: blend(ratio.likely, length.likely),
            late: blend(ratio.late, length.late),
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
    fn note(&mut self, forecast: Duration, estimate: Duration, actual: Duration) {
        let gain = ERROR_GAIN.max(1.0 / (self.count + 1) as f64);
        self.count += 1;
        self.forecast += gain * (log_error(forecast, actual) - self.forecast);
        self.estimate += gain * (log_error(estimate, actual) - self.estimate);
    }

    /// Returns whether forecasts have been farther off than estimates.
    fn is_worse(&self) -> bool {
        self.count >= MIN_ERRORS_COUNT && self.forecast > self.estimate
    }
}

fn log_error(forecast: Duration, actual: Duration) -> f64 {
    let ratio = forecast.as_ms().max(1) as f64 / actual.as_ms().max(1) as f64;
    ratio.ln().abs()
}

/// Returns the class under a key; a new one where there is none.
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

/// What is known of a queue's steps.
#[derive(Clone, Debug, Default)]
struct QueueSketches {
    /// All steps, by whether they are gangs.
    all_steps: BTreeMap<bool, ClassSketches>,
    /// The same by size.
    sizes: BTreeMap<(bool, u32), ClassSketches>,
    errors: MeanErrors,
    last_at: Instant,
}

impl QueueSketches {
    fn classes_count(&self) -> usize {
        self.all_steps.len() + self.sizes.len()
    }

    /// Returns a forecast whether or not those before were any good.
    fn unchecked_forecast(&self, now: Instant, kind: StepClass) -> Option<DurationForecast> {
        let of_class_size = self.sizes.get(&(kind.is_gang, kind.size()));
        let of_class_size =
            of_class_size.and_then(|it| it.forecast(now, kind.estimate, CLASS_MIN_STEPS_COUNT));
        of_class_size.or_else(|| {
            let all_steps = self.all_steps.get(&kind.is_gang)?;
            all_steps.forecast(now, kind.estimate, QUEUE_MIN_STEPS_COUNT)
        })
    }

    fn record(&mut self, now: Instant, kind: StepClass, actual: Duration) {
        self.last_at = now;
        let forecast = self.unchecked_forecast(now, kind);
        if let Some(forecast) = forecast.filter(|_| kind.estimate > Duration::ZERO) {
            self.errors.note(forecast.likely, kind.estimate, actual);
        }
        let all_steps = class_entry(&mut self.all_steps, kind.is_gang, now);
        let of_class_size = class_entry(&mut self.sizes, (kind.is_gang, kind.size()), now);
        for class in all_steps.into_iter().chain(of_class_size) {
            class.record(now, kind.estimate, actual);
        }
    }
}

/// What tasks take, by queue.
#[derive(Clone, Debug, Default)]
pub struct Durations {
    queues: HashMap<Arc<str>, QueueSketches>,
    classes_count: usize,
}

impl Durations {
    /// Takes in what a step's tasks took on a worker of usual speed. A step counts once,
    /// however many tasks it has: they share its estimate.
    pub fn record(&mut self, now: Instant, queue: &str, kind: StepClass, actual: Duration) {
        if !self.queues.contains_key(queue) {
            self.queues
                .insert(Arc::from(queue), QueueSketches::default());
        }
        let Some(lengths) = self.queues.get_mut(queue) else {
            return;
        };
        let before_count = lengths.classes_count();
        lengths.record(now, kind, actual);
        self.classes_count += lengths.classes_count() - before_count;
        while self.classes_count > CLASSES_LIMIT_COUNT && self.queues.len() > 1 {
            self.evict_oldest_queue();
        }
    }

    /// Returns what a step's tasks should take; `None` where too little is known, or where
    /// what was forecast before was farther off than the estimates.
    pub fn forecast(&self, now: Instant, queue: &str, kind: StepClass) -> Option<DurationForecast> {
        let lengths = self.queues.get(queue)?;
        if lengths.errors.is_worse() {
            return None;
        }
        lengths.unchecked_forecast(now, kind)
    }

    /// Returns what is known, in the form in which it is handed on; of the queues heard of
    /// last, as far as the limit goes.
    pub(crate) fn learned(&self, now: Instant) -> Vec<LearnedSize> {
        let mut queues: Vec<(&Arc<str>, &QueueSketches)> = self.queues.iter().collect();
        queues.sort_by_key(|(name, lengths)| (Reverse(lengths.last_at), *name));
        let mut sizes = Vec::new();
        for (queue, lengths) in queues {
            let all_steps = lengths
                .all_steps
                .iter()
                .map(|(gang, it)| ((*gang, None), it));
            let of_class_size = lengths.sizes.iter();
            let of_class_size = of_class_size.map(|((gang, size), it)| ((*gang, Some(*size)), it));
            for ((is_gang, size), class) in all_steps.chain(of_class_size) {
                sizes.extend(class.learned(now, queue, is_gang, size));
            }
        }
        sizes.truncate(HANDOVER_LIMIT_COUNT);
        sizes
    }

    /// Creates them from what an earlier leader has learned. What can't be is left out.
    pub(crate) fn from_learned(now: Instant, sizes: &[LearnedSize]) -> Self {
        let mut durations = Self::default();
        for learned in sizes.iter().take(HANDOVER_LIMIT_COUNT) {
            let Some(class) = ClassSketches::from_learned(now, learned) else {
                continue;
            };
            let lengths = durations.queues.entry(learned.queue.clone()).or_default();
            lengths.last_at = lengths.last_at.max(class.last_at);
            let before_count = lengths.classes_count();
            match learned.size {
                Some(size) => lengths.sizes.insert((learned.is_gang, size), class),
                None => lengths.all_steps.insert(learned.is_gang, class),
            };
            durations.classes_count += lengths.classes_count() - before_count;
        }
        durations
    }

    /// Returns how many sizes of steps are kept.
    pub fn classes_count(&self) -> usize {
        self.classes_count
    }

    /// Returns the bytes that the sketches take.
    pub fn sketches_bytes(&self) -> usize {
        let cells_count = |sketch: &RotatingHistogram| {
            sketch.current.distinct_values() + sketch.previous.distinct_values()
        };
        let queues = self.queues.values();
        let classes = queues.flat_map(|it| it.all_steps.values().chain(it.sizes.values()));
        let cells = classes.map(|it| cells_count(&it.ratios) + cells_count(&it.lengths));
        cells.sum::<usize>() * size_of::<u32>()
    }

    /// Returns the mean errors over the queues that have forecasts.
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
            .min_by_key(|(name, it)| (it.last_at, *name));
        let Some(name) = oldest.map(|(name, _)| name.clone()) else {
            return;
        };
        let forgotten = self.queues.remove(&name);
        self.classes_count -= forgotten.map_or(0, |it| it.classes_count());
    }
}
