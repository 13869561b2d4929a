//! Shapes of the tasks that arrive at each service, and how often each arrived recently.

use crate::job::JobId;
use crate::scheduler::Scheduler;
use ospreywing_types::{Duration, Instant, Resources};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The half-life of arrival counts: several times the duration of a task, and short enough to
/// follow a load that changes within minutes.
const HALF_LIFE: Duration = Duration::from_ms(30_000);
/// Limits the shapes per service, so that iterating over them is cheap.
const SHAPES_LIMIT_COUNT: usize = 12;
/// Shapes with a lower count are removed.
const MIN_KEPT_COUNT: f64 = 0.1;
/// Limits the services, to the number that operators may configure.
const SERVICES_LIMIT_COUNT: usize = 256;

/// A shape, and the number of recent tasks with it, decaying exponentially.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shape {
    /// The element-wise maximum of the tasks' demands.
    pub(crate) demand: Resources,
    pub(crate) count: f64,
}

impl Shape {
    /// Returns the arrival rate of tasks with the shape, per second.
    pub(crate) fn per_s(&self) -> f64 {
        let lifetime_ms = HALF_LIFE.as_ms() as f64 / core::f64::consts::LN_2;
        self.count * 1000.0 / lifetime_ms
    }
}

/// Classifies demands by powers of two. Tasks of one class have the same shape.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ShapeClass {
    cores_log2: u32,
    accelerators_log2: u32,
}

impl ShapeClass {
    const fn of(demand: &Resources) -> Self {
        Self {
            cores_log2: ceil_log2(demand.cores_milli),
            accelerators_log2: ceil_log2(demand.accelerators_count),
        }
    }
}

/// Returns one more than the binary logarithm rounded up, or 0 for 0. A power of two is in the
/// class of the numbers just below it.
const fn ceil_log2(number: u32) -> u32 {
    match number.checked_sub(1) {
        None => 0,
        Some(less) => 1 + (u32::BITS - less.leading_zeros()),
    }
}

/// The shapes of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceShapes {
    shapes: Vec<Shape>,
    counted_at: Instant,
}

impl ServiceShapes {
    /// Counts tasks with a demand.
    pub(crate) fn record_tasks(&mut self, now: Instant, demand: Resources, tasks_count: u32) {
        self.decay(now);
        let class = ShapeClass::of(&demand);
        let mut shapes = self.shapes.iter_mut();
        if let Some(shape) = shapes.find(|it| ShapeClass::of(&it.demand) == class) {
            shape.count += f64::from(tasks_count);
            shape.demand = shape.demand.max(demand);
            return;
        }
        if self.shapes.len() >= SHAPES_LIMIT_COUNT {
            self.remove_rarest();
        }
        let count = f64::from(tasks_count);
        self.shapes.push(Shape { demand, count });
    }

    /// Decays the counts and removes rare shapes.
    fn decay(&mut self, now: Instant) {
        let passed_ms = now.since(self.counted_at).as_ms() as f64;
        let factor = (-passed_ms / HALF_LIFE.as_ms() as f64).exp2();
        for shape in &mut self.shapes {
            shape.count *= factor;
        }
        self.shapes.retain(|shape| shape.count >= MIN_KEPT_COUNT);
        self.counted_at = self.counted_at.max(now);
    }

    fn remove_rarest(&mut self) {
        let shapes = self.shapes.iter().enumerate();
        let rarest = shapes.min_by(|(_, one), (_, other)| one.count.total_cmp(&other.count));
        if let Some((index, _)) = rarest {
            self.shapes.swap_remove(index);
        }
    }
}

/// The shapes of all services.
#[derive(Debug, Default)]
pub(crate) struct Shapes {
    by_service: BTreeMap<Arc<str>, ServiceShapes>,
}

impl Shapes {
    /// Counts tasks with a demand that arrived at a service.
    pub(crate) fn record_tasks(
        &mut self,
        now: Instant,
        service: Arc<str>,
        demand: Resources,
        tasks_count: u32,
    ) {
        let is_full = self.by_service.len() >= SERVICES_LIMIT_COUNT;
        if demand.is_zero() || is_full && !self.by_service.contains_key(&service) {
            return;
        }
        let shapes = self.by_service.entry(service).or_default();
        shapes.record_tasks(now, demand, tasks_count);
    }

    /// Returns the shapes of a service.
    pub(crate) fn of(&self, service: &str) -> &[Shape] {
        let shapes = self.by_service.get(service);
        shapes.map_or(&[], |shapes| &shapes.shapes)
    }

    /// Returns whether the number of shapes and services is within its limits and all counts are
    /// valid.
    pub(crate) fn are_bounded(&self) -> bool {
        let is_sound = |shape: &Shape| {
            shape.count.is_finite() && shape.count >= 0.0 && !shape.demand.is_zero()
        };
        let is_bounded = |of_service: &ServiceShapes| {
            let shapes = &of_service.shapes;
            shapes.len() <= SHAPES_LIMIT_COUNT && shapes.iter().all(is_sound)
        };
        self.by_service.len() <= SERVICES_LIMIT_COUNT && self.by_service.values().all(is_bounded)
    }

    /// Decays all counts, and removes rare shapes and services without shapes.
    pub(crate) fn remove_stale(&mut self, now: Instant) {
        for shapes in self.by_service.values_mut() {
            shapes.decay(now);
        }
        self.by_service
            .retain(|_, shapes| !shapes.shapes.is_empty());
    }
}

impl Scheduler {
    /// Counts the tasks of an accepted job by shape. Fillers are not counted.
    pub(crate) fn record_shapes(&mut self, now: Instant, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let service = &job.queue(&self.configuration).service;
        let service = self.name_interner.intern(service);
        let steps = &job.record.spec.steps;
        for step in steps.iter().filter(|step| !step.is_filler) {
            let service = service.clone();
            self.shapes
                .record_tasks(now, service, step.demand, step.tasks_count);
        }
    }
}
