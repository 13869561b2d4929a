//! Generates traces for replay from distributions and a seed.
//!
//! Arrivals are a Poisson process whose rate rises to a peak in the middle of the
//! trace and falls again. Durations are log-normal for each row, so that a few tasks
//! take most of the time. In the `letter` trace a rack is lost at the peak.

use ospreywing_types::Resources;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;
use std::fmt::Write;

/// The distribution of one row's tasks.
#[derive(Clone, Debug)]
pub struct RowShape {
    /// The workload row.
    pub row: &'static str,
    /// The row's relative share of the arrivals.
    pub weight: u32,
    /// The resources of each task.
    pub demand: Resources,
    /// The median duration, in milliseconds.
    pub median_ms: f64,
    /// The standard deviation of the logarithm of the duration.
    pub log_std_dev: f64,
}

/// The parameters of a trace.
#[derive(Clone, Debug)]
pub struct TraceShape {
    /// The number of workers; consecutive ones share a rack.
    pub workers_count: u32,
    /// The number of workers with accelerators.
    pub accelerated_count: u32,
    /// The capacity of each worker.
    pub capacity: Resources,
    /// The number of workers per rack.
    pub rack_size: u32,
    /// The duration of the trace, in milliseconds.
    pub duration_ms: u64,
    /// Arrivals per second at the peak, in the middle of the trace.
    pub peak_per_s: f64,
    /// The rate at both ends, as a fraction of the peak rate.
    pub floor_fraction: f64,
    /// Whether a rack is lost at the peak and returns after a tenth of the duration.
    pub loses_rack: bool,
    /// The rows.
    pub rows: Vec<RowShape>,
}

/// Returns the parameters for a deployment: `swaramala`, `gallery` or `letter`.
pub fn shape(name: &str) -> Option<TraceShape> {
    match name {
        "swaramala" => Some(swaramala()),
        "gallery" => Some(gallery()),
        "letter" => Some(letter()),
        _ => None,
    }
}

const fn row(
    row: &'static str,
    weight: u32,
    demand: Resources,
    median_ms: f64,
    log_std_dev: f64,
) -> RowShape {
    RowShape {
        row,
        weight,
        demand,
        median_ms,
        log_std_dev,
    }
}

/// An evening when leaders submit season plans and a venue cancels.
fn swaramala() -> TraceShape {
    TraceShape {
        workers_count: 50,
        accelerated_count: 0,
        capacity: Resources::new(64_000, 131_072, 0),
        rack_size: 8,
        duration_ms: 2 * 3600 * 1000,
        peak_per_s: 1.0,
        floor_fraction: 0.2,
        loses_rack: false,
        rows: vec![
            row(
                "season-plan",
                3,
                Resources::new(8000, 16_384, 0),
                900_000.0,
                0.8,
            ),
            row(
                "weekly-reshuffle",
                7,
                Resources::new(2000, 4096, 0),
                60_000.0,
                1.0,
            ),
        ],
    }
}

/// A Saturday evening with album and bundle jobs after many weddings.
fn gallery() -> TraceShape {
    TraceShape {
        workers_count: 50,
        accelerated_count: 30,
        capacity: Resources::new(64_000, 262_144, 4),
        rack_size: 6,
        duration_ms: 2 * 3600 * 1000,
        peak_per_s: 0.75,
        floor_fraction: 0.1,
        loses_rack: false,
        rows: vec![
            row(
                "album-render",
                4,
                Resources::new(4000, 16_384, 1),
                300_000.0,
                1.0,
            ),
            row(
                "guest-bundle",
                6,
                Resources::new(2000, 8192, 0),
                120_000.0,
                1.2,
            ),
        ],
    }
}

/// One region of the design size at its peak, with the loss of a rack.
fn letter() -> TraceShape {
    TraceShape {
        workers_count: 340,
        accelerated_count: 175,
        capacity: Resources::new(64_000, 262_144, 4),
        rack_size: 8,
        duration_ms: 3 * 60 * 1000,
        peak_per_s: 60.0,
        floor_fraction: 0.7,
        loses_rack: true,
        rows: vec![
            row(
                "album-render",
                3,
                Resources::new(4000, 16_384, 1),
                20_000.0,
                1.0,
            ),
            row(
                "guest-bundle",
                7,
                Resources::new(2000, 8192, 0),
                40_000.0,
                1.2,
            ),
        ],
    }
}

/// Generates a trace.
///
/// # Panics
///
/// Panics if the shape has no rows or no arrivals.
pub fn make(shape: &TraceShape, seed: u64) -> String {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut text = format!("ospreywing-trace 1\n# made with seed {seed}\n");
    for index in 0..shape.workers_count {
        let mut capacity = shape.capacity;
        if index >= shape.accelerated_count {
            capacity.accelerators_count = 0;
        }
        let rack = index / shape.rack_size;
        let line = format!(
            "0 worker w{index:03} rack{rack} {}",
            format_resources(&capacity)
        );
        push_line(&mut text, &line);
    }
    let interarrival = Exp::new(shape.peak_per_s / 1000.0).expect("there are arrivals");
    let middle_ms = shape.duration_ms / 2;
    let back_ms = middle_ms + shape.duration_ms / 10;
    let mut rack_events = if shape.loses_rack {
        vec![(back_ms, "back"), (middle_ms, "lost")]
    } else {
        Vec::new()
    };
    let mut at_ms = 0.0;
    let mut number = 0;
    loop {
        at_ms += interarrival.sample(&mut rng);
        while rack_events
            .last()
            .is_some_and(|&(ms, _)| ms as f64 <= at_ms)
        {
            if let Some((ms, event)) = rack_events.pop() {
                push_rack_event(&mut text, shape, ms, event);
            }
        }
        if at_ms >= shape.duration_ms as f64 {
            return text;
        }
        // Thinning: keep each arrival of the peak rate with a probability equal to the
        // relative rate.
        let probability = relative_rate(shape, at_ms);
        if rng.random_range(0.0..1.0) < probability {
            number += 1;
            push_task(&mut text, shape, at_ms as u64, number, &mut rng);
        }
    }
}

/// Returns the rate at a time as a fraction of the peak rate: a triangle above the
/// floor.
fn relative_rate(shape: &TraceShape, at_ms: f64) -> f64 {
    let position = at_ms / shape.duration_ms as f64;
    let from_peak = (position - 0.5).abs() * 2.0;
    shape.floor_fraction + (1.0 - shape.floor_fraction) * (1.0 - from_peak)
}

fn push_task(text: &mut String, shape: &TraceShape, at_ms: u64, number: u64, rng: &mut Pcg64Mcg) {
    let weights: u32 = shape.rows.iter().map(|row| row.weight).sum();
    let mut pick = rng.random_range(0..weights);
    let row = shape.rows.iter().find(|row| {
        let is_picked = pick < row.weight;
        pick = pick.saturating_sub(row.weight);
        is_picked
    });
    let row = row.expect("there are rows");
    let durations =
        LogNormal::new(row.median_ms.ln(), row.log_std_dev).expect("the spread is sound");
    let duration_ms = durations.sample(rng).max(1.0) as u64;
    let demand = format_resources(&row.demand);
    let line = format!("{at_ms} task t{number} {} {demand} {duration_ms}", row.row);
    push_line(text, &line);
}

/// Writes an event for every worker of the first rack.
fn push_rack_event(text: &mut String, shape: &TraceShape, at_ms: u64, event: &str) {
    for index in 0..shape.rack_size {
        push_line(text, &format!("{at_ms} {event} w{index:03}"));
    }
}

fn format_resources(resources: &Resources) -> String {
    let Resources {
        cores_milli,
        memory_mib,
        accelerators_count,
    } = resources;
    format!("{cores_milli} {memory_mib} {accelerators_count}")
}

fn push_line(text: &mut String, line: &str) {
    // Writing to a `String` can't fail.
    let _ = writeln!(text, "{line}");
}
