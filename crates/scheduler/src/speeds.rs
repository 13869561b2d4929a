//! How fast machines work, learned from runs of one step on different machines.
//!
//! A machine's baseline is followed slowly, and what it does of recent beside it. Each run moves
//! the estimate_ln by a bounded amount, so that a few wrong reports don't move it far. Speeds are
//! factors on the typical_change one and are compared as logarithms: twice as fast and half as fast
//! are equally far off.

use crate::handover::LearnedSpeed;
use ospreywing_types::{Duration, Instant};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// The speed of a machine of which nothing else is known; one of 0.5 takes twice as long.
pub const TYPICAL_SPEED: f64 = 1.0;
/// The runs after which a machine's baseline counts, by their weights.
const BASELINE_MIN_WEIGHT: f64 = 4.0;
/// The least that a further run weighs in a machine's baseline.
const BASELINE_MIN_GAIN: f64 = 0.1;
/// The runs beside which one counts that has no others of its step: as few as follow a
/// change of all machines within a second or two, and enough for a median.
const FORECAST_RATIOS_COUNT: usize = 15;
/// How far tasks of one step are spread, as a logarithm.
const STEP_LOG_STD_DEV: f64 = 0.25;
/// The most by which a run may differ from the estimate_ln, as a logarithm: a machine of half the
/// speed is still told in full, more is taken for an outlier.
const MAX_DEVIATION_LN: f64 = core::f64::consts::LN_2;
/// The runs that tell what a machine does of recent: the median of these, so that two wrong
/// ones of five do nothing.
const RECENT_RUNS_COUNT: usize = 5;
/// The least of them.
const RECENT_MIN_COUNT: usize = 3;
/// How old these may be.
const RECENT_AGE_LIMIT: Duration = Duration::from_s(30);
/// How far what a machine does of recent must be from its baseline to take its place, as a
/// logarithm: tasks of one step differ by up to 30%.
const RECENT_MIN_DIFFERENCE_LN: f64 = 0.35;
/// A machine that works below this part of its baseline is slow of recent.
const SLOW_FACTOR: f64 = 0.6;
/// How long a machine that is slow of recent comes last, at first; doubled with each time.
const EJECTION_BASE: Duration = Duration::from_s(5);
/// The most doublings.
const EJECTION_MAX_DOUBLINGS_COUNT: u32 = 4;
/// How long an ejection counts for the length of the next.
const EJECTION_MEMORY: Duration = Duration::from_s(120);
/// The part of a service's machines that may come last at a time, in percent; one at least.
/// Where more are slow it is not them.
const EJECTED_LIMIT_PERCENT: usize = 10;
/// The most machines that are kept, twice as many as the largest fleet has. Those that were
/// heard of longest ago are forgotten first.
const MACHINES_LIMIT_COUNT: usize = 20_000;

/// The machines whose speeds are handed on to the next leader: some 100 KB.
const HANDOVER_LIMIT_COUNT: usize = 4_000;
/// The speeds that are taken from an earlier leader, in thousandths: others can't be.
const PLAUSIBLE_SPEEDS_MILLI: core::ops::RangeInclusive<u32> = 50..=20_000;

/// What is known of one machine.
#[derive(Clone, Debug, Default)]
struct MachineSpeed {
    /// Its baseline, as a logarithm.
    baseline_ln: f64,
    runs_count: u32,
    /// The sum of their weights.
    weight: f64,
    /// The last runs, as logarithms.
    recent: VecDeque<(Instant, f64)>,
    last_at: Instant,
    /// Until when it comes last, and how often it did in a row.
    ejected_until: Instant,
    ejections_count: u32,
}

impl MachineSpeed {
    /// Takes in a run; `weight` is 1 for one that is told as well as beside its step's others.
    fn record_baseline(&mut self, now: Instant, speed_ln: f64, weight: f64) {
        self.weight += weight;
        let gain = weight * BASELINE_MIN_GAIN.max(1.0 / (self.weight + 1.0));
        let step = (speed_ln - self.baseline_ln).clamp(-MAX_DEVIATION_LN, MAX_DEVIATION_LN);
        self.baseline_ln += gain * step;
        self.runs_count += 1;
        self.last_at = now;
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

    /// Returns the median of what it did of recent.
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
        let length = EJECTION_BASE.times(1 << doublings);
        self.ejections_count += 1;
        self.ejected_until = now + length;
        // It is tried again on what it does then.
        self.recent.clear();
        length
    }
}

/// A machine that comes last for a while.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ejection {
    /// The machine.
    pub machine: Arc<str>,
    /// For how long it does.
    pub length: Duration,
}

/// How fast machines work.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    machines: HashMap<Arc<str>, MachineSpeed>,
    /// The last speeds of runs that have no others of their step beside them, by service, as
    /// logarithms: what all machines do now is no machine's own.
    forecast_ratios_ln: HashMap<Arc<str>, VecDeque<f64>>,
}

impl Speeds {
    /// Takes in how fast a machine did a run beside the other runs of its step.
    pub fn record(&mut self, now: Instant, machine: &Arc<str>, speed: f64) {
        if !speed.is_finite() || speed <= 0.0 {
            return;
        }
        let entry = self.machines.entry(machine.clone()).or_default();
        entry.record_baseline(now, speed.ln(), 1.0);
        entry.record_recent(now, speed.ln());
    }

    /// Takes in how fast a machine did a run beside what its queue's steps take, which are
    /// spread by `log_std_dev` as a logarithm, and beside what such runs of its service were like
    /// just before. That tells its baseline, the less the wider the spread, and nothing of what
    /// it does of recent.
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

    /// Returns a machine's speed as a factor on the typical_change one; `None` where too little is
    /// known.
    pub fn speed(&self, now: Instant, machine: &str) -> Option<f64> {
        let machine = self.machines.get(machine)?;
        machine.estimate_ln(now).map(f64::exp)
    }

    /// Returns how many runs told a machine's speed, and the age of the last.
    pub fn evidence(&self, now: Instant, machine: &str) -> Option<(u32, Duration)> {
        let machine = self.machines.get(machine)?;
        Some((machine.runs_count, now.since(machine.last_at)))
    }

    /// Returns whether a machine comes last since it is slow of recent.
    pub fn is_ejected(&self, now: Instant, machine: &str) -> bool {
        let machine = self.machines.get(machine);
        machine.is_some_and(|machine| now < machine.ejected_until)
    }

    /// Has those of a service's machines come last for a while that are slow of recent, beside
    /// their baseline and beside the others: the slowest first, up to a part of all.
    pub fn eject_slow(&mut self, now: Instant, service: &[Arc<str>]) -> Vec<Ejection> {
        let mut changes: Vec<(f64, &Arc<str>)> = Vec::new();
        let mut ejected_count = 0;
        for id in service {
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
        // Where all have become slower, none is slow.
        let typical_change = median(changes.iter().map(|(change, _)| *change).collect());
        changes.retain(|(change, _)| {
            change - typical_change < SLOW_FACTOR.ln() && *change < SLOW_FACTOR.ln()
        });
        changes.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
        let limit_count = (service.len() * EJECTED_LIMIT_PERCENT / 100).max(1);
        changes.truncate(limit_count.saturating_sub(ejected_count));
        let slow = changes.into_iter().map(|(_, id)| id.clone());
        let slow: Vec<Arc<str>> = slow.collect();
        let mut ejections = Vec::with_capacity(slow.len());
        for id in slow {
            if let Some(machine) = self.machines.get_mut(&id) {
                let length = machine.eject(now);
                ejections.push(Ejection {
                    machine: id,
                    length,
                });
            }
        }
        ejections
    }

    /// Returns what is known of machines' baseline, in the form in which it is handed on; of
    /// those that are farthest from typical_change first, as far as the limit goes.
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
            age_ms: now.since(it.last_at).as_ms(),
        });
        learned.collect()
    }

    /// Creates them from what an earlier leader has learned. What can't be is left out, and
    /// the first runs that this leader sees weigh as much as all before.
    pub(crate) fn from_learned(now: Instant, learned: &[LearnedSpeed]) -> Self {
        let mut speeds = Self::default();
        let known = learned.iter().take(HANDOVER_LIMIT_COUNT);
        for it in known.filter(|it| PLAUSIBLE_SPEEDS_MILLI.contains(&it.speed_milli)) {
            let machine = MachineSpeed {
                baseline_ln: (f64::from(it.speed_milli) / 1000.0).ln(),
                runs_count: it.runs_count,
                weight: BASELINE_MIN_WEIGHT,
                last_at: now - Duration::from_ms(it.age_ms),
                ..MachineSpeed::default()
            };
            speeds.machines.insert(it.machine.clone(), machine);
        }
        speeds
    }

    /// Forgets the machines that were heard of longest ago, where there are too many.
    pub fn forget_old(&mut self) {
        let excess_count = self.machines.len().saturating_sub(MACHINES_LIMIT_COUNT);
        if excess_count == 0 {
            return;
        }
        let ages = self
            .machines
            .iter()
            .map(|(id, it)| (it.last_at, id.clone()));
        let mut ages: Vec<(Instant, Arc<str>)> = ages.collect();
        ages.sort();
        for (_, id) in ages.into_iter().take(excess_count) {
            self.machines.remove(&id);
        }
    }

    /// Returns how many machines are kept.
    pub fn machines_count(&self) -> usize {
        self.machines.len()
    }
}

/// Returns the middle one; the upper of the two middle ones of an even number.
///
/// # Panics
///
/// Panics without any value.
fn median(mut values: Vec<f64>) -> f64 {
    let middle = values.len() / 2;
    *values.select_nth_unstable_by(middle, f64::total_cmp).1
}
