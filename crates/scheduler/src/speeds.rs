//! The speeds of machines, learned from runs of the same step on different machines.
//!
//! Each machine has a baseline speed, which changes slowly, and a recent speed. One run
//! changes the baseline only by a bounded amount, so that a few wrong reports don't change it
//! much. Speeds are factors of the typical one and are compared as logarithms: twice as fast
//! and half as fast differ by the same amount.

use crate::handover::LearnedSpeed;
use ospreywing_types::{Duration, Instant};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// The speed of a machine of which nothing is known; one of 0.5 takes twice as long.
pub const TYPICAL_SPEED: f64 = 1.0;
/// Minimum sum of the weights of a machine's runs for its baseline to be used.
const BASELINE_MIN_WEIGHT: f64 = 4.0;
/// Minimum weight of a new run in a machine's baseline.
const BASELINE_MIN_GAIN: f64 = 0.1;
/// Number of earlier runs with which a run is compared if it has no others of its step: few
/// enough to follow a change of all machines within a second or two, and enough for a median.
const FORECAST_RATIOS_COUNT: usize = 15;
/// Standard deviation of the logarithm of the durations in one step.
const STEP_LOG_STD_DEV: f64 = 0.25;
/// Maximum deviation from the baseline that a run counts for, as a logarithm: a machine of
/// half the speed counts in full, anything beyond that is clipped as an outlier.
const MAX_DEVIATION_LN: f64 = core::f64::consts::LN_2;
/// The recent speed is the median of this many runs, so that two wrong ones don't change it
/// much.
const RECENT_RUNS_COUNT: usize = 5;
/// Minimum number of runs for a recent speed.
const RECENT_MIN_COUNT: usize = 3;
/// Maximum age of a run that counts for the recent speed.
const RECENT_AGE_LIMIT: Duration = Duration::from_s(30);
/// Minimum difference of the recent speed from the baseline for it to be used instead, as a
/// logarithm: tasks of one step differ by up to 30%.
const RECENT_MIN_DIFFERENCE_LN: f64 = 0.35;
/// A machine whose recent speed is below this factor of its baseline is ejected.
const SLOW_FACTOR: f64 = 0.6;
/// Duration of the first ejection; it doubles with each further one.
const EJECTION_BASE: Duration = Duration::from_s(5);
/// Maximum number of doublings.
const EJECTION_MAX_DOUBLINGS_COUNT: u32 = 4;
/// A machine whose last ejection ended longer ago than this starts over with the base
/// duration.
const EJECTION_MEMORY: Duration = Duration::from_s(120);
/// Maximum percentage of a service's machines that are ejected at a time, but at least one.
/// If more are slow, the cause isn't the machines.
const EJECTED_LIMIT_PERCENT: usize = 10;
/// Maximum number of machines in memory, twice that of the largest fleet. The machines whose
/// last run is the oldest are evicted first.
const MACHINES_LIMIT_COUNT: usize = 20_000;

/// Maximum number of machines whose speeds are sent to the next leader; about 100 KB.
const HANDOVER_LIMIT_COUNT: usize = 4_000;
/// Range of plausible speeds from an earlier leader, in thousandths; others are ignored.
const PLAUSIBLE_SPEEDS_MILLI: core::ops::RangeInclusive<u32> = 50..=20_000;

/// What has been learned of one machine.
#[derive(Clone, Debug, Default)]
struct MachineSpeed {
    /// The baseline speed, as a logarithm.
    baseline_ln: f64,
    runs_count: u32,
    /// The sum of the weights of the runs.
    weight: f64,
    /// The logarithms of the speeds in the last runs.
    recent: VecDeque<(Instant, f64)>,
    last_run_at: Instant,
    /// The end of the last ejection, and the number of ejections in a row.
    ejected_until: Instant,
    ejections_count: u32,
}

impl MachineSpeed {
    /// Records a run in the baseline; `weight` is 1 for a run that is compared with others of
    /// its step.
    fn record_baseline(&mut self, now: Instant, speed_ln: f64, weight: f64) {
        self.weight += weight;
        let gain = weight * BASELINE_MIN_GAIN.max(1.0 / (self.weight + 1.0));
        let step = (speed_ln - self.baseline_ln).clamp(-MAX_DEVIATION_LN, MAX_DEVIATION_LN);
        self.baseline_ln += gain * step;
        self.runs_count += 1;
        self.last_run_at = now;
    }

    fn record_recent(&mut self, now: Instant, speed_ln: f64) {
        if self.recent.len() == RECENT_RUNS_COUNT {
            self.recent.pop_front();
        }
        self.recent.push_back((now, speed_ln));
    }

    fn baseline(&self) -> Option<f64> {
        (self.weight >= BASELINE_MIN_WEIGHT).then_some(self.baseline_ln)
    }

    /// Returns the median of the recent runs.
    fn recent(&self, now: Instant) -> Option<f64> {
        let fresh = self.recent.iter();
        let fresh = fresh.filter(|(at, _)| now.since(*at) <= RECENT_AGE_LIMIT);
        let speeds: Vec<f64> = fresh.map(|(_, speed)| *speed).collect();
        (speeds.len() >= RECENT_MIN_COUNT).then(|| median(speeds))
    }

    fn estimate_ln(&self, now: Instant) -> Option<f64> {
        let baseline = self.baseline()?;
        let recent = self.recent(now);
        Some(
            recent
                .filter(|it| (it - baseline).abs() > RECENT_MIN_DIFFERENCE_LN)
                .unwrap_or(baseline),
        )
    }

    fn eject(&mut self, now: Instant) -> Duration {
        if now.since(self.ejected_until) > EJECTION_MEMORY {
            self.ejections_count = 0;
        }
        let doublings = self.ejections_count.min(EJECTION_MAX_DOUBLINGS_COUNT);
        let duration = EJECTION_BASE.times(1 << doublings);
        self.ejections_count += 1;
        self.ejected_until = now + duration;
        // After the ejection only new runs count for the recent speed.
        self.recent.clear();
        duration
    }
}

/// The ejection of a machine: for its duration, tasks are placed on other machines first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ejection {
    /// The machine.
    pub machine: Arc<str>,
    /// The duration of the ejection.
    pub duration: Duration,
}

/// The speeds of machines.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    machines: HashMap<Arc<str>, MachineSpeed>,
    /// The logarithms of the ratios of forecast to duration in the last runs that had no
    /// others of their step, by service. Their median is the change that all machines share.
    forecast_ratios_ln: HashMap<Arc<str>, VecDeque<f64>>,
}

impl Speeds {
    /// Records the speed of a machine in a run, relative to the other runs of its step.
    pub fn record(&mut self, now: Instant, machine: &Arc<str>, speed: f64) {
        if !speed.is_finite() || speed <= 0.0 {
            return;
        }
        let entry = self.machines.entry(machine.clone()).or_default();
        entry.record_baseline(now, speed.ln(), 1.0);
        entry.record_recent(now, speed.ln());
    }

    /// Records the speed of a machine in a run, relative to the forecast for its queue, whose
    /// logarithm has the standard deviation `log_std_dev`, and to the last runs of the
    /// service that were recorded in the same way. This counts only for the baseline, with
    /// less weight for a larger standard deviation, and not for the recent speed.
    pub fn record_against_forecast(
        &mut self,
        now: Instant,
        service: &Arc<str>,
        machine: &Arc<str>,
        speed: f64,
        log_std_dev: f64,
    ) {
        if !speed.is_finite() || speed <= 0.0 {
            return;
        }
        let others = self.forecast_ratios_ln.entry(service.clone()).or_default();
        let is_known = others.len() == FORECAST_RATIOS_COUNT;
        let typical_ln = is_known.then(|| median(others.iter().copied().collect()));
        if is_known {
            others.pop_front();
        }
        others.push_back(speed.ln());
        let Some(typical_ln) = typical_ln else {
            return;
        };
        let weight = (STEP_LOG_STD_DEV / log_std_dev.max(STEP_LOG_STD_DEV)).powi(2);
        let entry = self.machines.entry(machine.clone()).or_default();
        entry.record_baseline(now, speed.ln() - typical_ln, weight);
    }

    /// Returns a machine's speed as a factor of the typical one; `None` if too little is
    /// known.
    pub fn speed(&self, now: Instant, machine: &str) -> Option<f64> {
        let machine = self.machines.get(machine)?;
        machine.estimate_ln(now).map(f64::exp)
    }

    /// Returns the number of runs behind a machine's speed, and the age of the last one.
    pub fn evidence(&self, now: Instant, machine: &str) -> Option<(u32, Duration)> {
        let machine = self.machines.get(machine)?;
        Some((machine.runs_count, now.since(machine.last_run_at)))
    }

    /// Returns whether a machine is ejected because it has been slow recently.
    pub fn is_ejected(&self, now: Instant, machine: &str) -> bool {
        let machine = self.machines.get(machine);
        machine.is_some_and(|machine| now < machine.ejected_until)
    }

    /// Ejects those of a service's machines that are slow compared both with their baseline and
    /// with the change of the other machines: the slowest first, up to `EJECTED_LIMIT_PERCENT`.
    pub fn eject_slow(&mut self, now: Instant, machines: &[Arc<str>]) -> Vec<Ejection> {
        let mut changes: Vec<(f64, &Arc<str>)> = Vec::new();
        let mut ejected_count = 0;
        for id in machines {
            let Some(machine) = self.machines.get(id) else {
                continue;
            };
            ejected_count += usize::from(now < machine.ejected_until);
            if let Some((recent, baseline)) = machine.recent(now).zip(machine.baseline()) {
                changes.push((recent - baseline, id));
            }
        }
        if changes.is_empty() {
            return Vec::new();
        }
        // If all machines have become slower, none is ejected.
        let typical_change = median(changes.iter().map(|(change, _)| *change).collect());
        changes.retain(|(change, _)| {
            change - typical_change < SLOW_FACTOR.ln() && *change < SLOW_FACTOR.ln()
        });
        changes.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
        let limit_count = (machines.len() * EJECTED_LIMIT_PERCENT / 100).max(1);
        changes.truncate(limit_count.saturating_sub(ejected_count));
        let slow = changes.into_iter().map(|(_, id)| id.clone());
        let slow: Vec<Arc<str>> = slow.collect();
        let mut ejections = Vec::with_capacity(slow.len());
        for id in slow {
            if let Some(machine) = self.machines.get_mut(&id) {
                let duration = machine.eject(now);
                ejections.push(Ejection {
                    machine: id,
                    duration,
                });
            }
        }
        ejections
    }

    /// Returns the baselines for the next leader: those furthest from the typical speed
    /// first, up to the limit.
    pub(crate) fn learned(&self, now: Instant) -> Vec<LearnedSpeed> {
        let known = self.machines.iter();
        let known = known.filter_map(|(id, it)| Some((it.baseline()?, id, it)));
        let mut known: Vec<(f64, &Arc<str>, &MachineSpeed)> = known.collect();
        known.sort_by(|a, b| b.0.abs().total_cmp(&a.0.abs()).then(a.1.cmp(b.1)));
        known.truncate(HANDOVER_LIMIT_COUNT);
        let learned = known.into_iter().map(|(baseline_ln, id, it)| LearnedSpeed {
            machine: id.clone(),
            speed_milli: (baseline_ln.exp() * 1000.0).round() as u32,
            runs_count: it.runs_count,
            age_ms: now.since(it.last_run_at).as_ms(),
        });
        learned.collect()
    }

    /// Creates the speeds from what an earlier leader has learned, without implausible
    /// values. All earlier runs of a machine together have the minimum weight, so that this
    /// leader's first runs weigh as much.
    pub(crate) fn from_learned(now: Instant, learned: &[LearnedSpeed]) -> Self {
        let mut speeds = Self::default();
        let known = learned.iter().take(HANDOVER_LIMIT_COUNT);
        for it in known.filter(|it| PLAUSIBLE_SPEEDS_MILLI.contains(&it.speed_milli)) {
            let machine = MachineSpeed {
                baseline_ln: (f64::from(it.speed_milli) / 1000.0).ln(),
                runs_count: it.runs_count,
                weight: BASELINE_MIN_WEIGHT,
                last_run_at: now - Duration::from_ms(it.age_ms),
                ..MachineSpeed::default()
            };
            speeds.machines.insert(it.machine.clone(), machine);
        }
        speeds
    }

    /// Evicts the machines whose last run is the oldest if there are too many.
    pub fn evict_oldest(&mut self) {
        let excess_count = self.machines.len().saturating_sub(MACHINES_LIMIT_COUNT);
        if excess_count == 0 {
            return;
        }
        let ages = self
            .machines
            .iter()
            .map(|(id, it)| (it.last_run_at, id.clone()));
        let mut ages: Vec<(Instant, Arc<str>)> = ages.collect();
        ages.sort();
        for (_, id) in ages.into_iter().take(excess_count) {
            self.machines.remove(&id);
        }
    }

    /// Returns the number of machines in memory.
    pub fn machines_count(&self) -> usize {
        self.machines.len()
    }
}

/// Returns the median; of an even number of values the upper one of the two in the middle.
///
/// # Panics
///
/// Panics if `values` is empty.
fn median(mut values: Vec<f64>) -> f64 {
    let middle = values.len() / 2;
    *values.select_nth_unstable_by(middle, f64::total_cmp).1
}
