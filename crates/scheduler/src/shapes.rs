//! The shapes of the tasks that come to a service, and how often each has come lately.

use crate::job::JobRecord;
use crate::scheduler::Scheduler;
use ospreywing_types::{Duration, Instant, Resources};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The time in which what has come counts half: several times the length of a task, and
/// short enough to follow a load that changes within minutes.
const HALF_LIFE: Duration = Duration::from_ms(30_000);
/// The shapes that are kept of a service, so that looking at them costs next to nothing.
const SHAPES_LIMIT_COUNT: usize = 12;
/// What came less often than this is forgotten.
const MIN_KEPT_COUNT: f64 = 0.1;
/// The services that are kept, as many as operators set.
const SERVICES_LIMIT_COUNT: usize = 256;

/// A shape, and how many tasks of it have come lately, older ones counting less.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shape {
    /// The most that any of them needed.
    pub(crate) demand: Resources,
    pub(crate) count: f64,
}

impl Shape {
    /// Returns how many of it come in a second.
    pub(crate) fn per_s(&self) -> f64 {
        let lifetime_ms = HALF_LIFE.as_ms() as f64 / core::f64::consts::LN_2;
        self.count * 1000.0 / lifetime_ms
    }
}

/// What tasks of one shape have in common: powers of two of their needs.
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

/// Returns the bits of a number less one, so that a power of two is in the class below it;
/// nothing at all has a class of its own.
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
    /// Counts tasks of a demand.
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

    /// Lets what has come before count less.
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
    /// Counts tasks of a demand that came to a service.
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

    /// Returns whether what is kept is within its bounds.
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

    /// Forgets shapes that have not come for long, and services without any.
    pub(crate) fn remove_stale(&mut self, now: Instant) {
        for shapes in self.by_service.values_mut() {
            shapes.decay(now);
        }
        self.by_service
            .retain(|_, shapes| !shapes.shapes.is_empty());
    }
}

impl Scheduler {
    /// Counts the tasks of a job that has come, by their shapes.
    pub(crate) fn record_shapes(&mut self, now: Instant, record: &JobRecord) {
        let queue = self.configuration.queue(&record.queue);
        let service = queue.map_or(&record.service, |queue| &queue.service);
        let service = self.names.keep(service);
        for step in record.spec.steps.iter().filter(|step| !step.is_filler) {
            let service = service.clone();
            self.shapes
                .record_tasks(now, service, step.demand, step.tasks_count);
        }
    }
}
