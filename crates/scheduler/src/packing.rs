//! Packing: ranks workers by how little capacity for other tasks is lost by placing a task there.
//!
//! Workers have cores, memory and accelerators, and a task leaves some of each. What is left
//! is only useful if whole tasks fit. The best worker is therefore the one that loses capacity for
//! the fewest larger tasks; of equal ones, the one with the least left of the scarce resources. The
//! functions here depend only on their arguments.

use crate::resource_totals::ResourceTotals;
use crate::shapes::Shape;
use ospreywing_types::Resources;

/// The cost of a share of 1. Costs are integers so that they are totally ordered.
const SHARE_UNIT: f64 = 1_000_000.0;
/// The lower bound of the pressure on a resource, so that an unused resource still has some weight.
const PRESSURE_FLOOR: f64 = 0.01;

/// The weight of one unit of each resource.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scarcity {
    per_milli: f64,
    per_mib: f64,
    per_accelerator: f64,
}

impl Scarcity {
    /// Computes weights from a service's capacity, its free part, and the shapes of recent tasks.
    /// The weight of a unit is its share of the capacity times the pressure on the resource.
    pub(crate) fn new(capacity: &ResourceTotals, free: &ResourceTotals, shapes: &[Shape]) -> Self {
        let recent_sum = |part: fn(&Resources) -> u32| -> f64 {
            let parts = shapes.iter();
            parts.map(|it| it.count * f64::from(part(&it.demand))).sum()
        };
        let unit_weight = |capacity: u64, free: u64, recent_sum: f64| {
            if capacity == 0 {
                return 0.0;
            }
            let needed = capacity.saturating_sub(free) as f64 + recent_sum;
            (needed / capacity as f64).max(PRESSURE_FLOOR) / capacity as f64
        };
        Self {
            per_milli: unit_weight(
                capacity.cores_milli,
                free.cores_milli,
                recent_sum(|it| it.cores_milli),
            ),
            per_mib: unit_weight(
                capacity.memory_mib,
                free.memory_mib,
                recent_sum(|it| it.memory_mib),
            ),
            per_accelerator: unit_weight(
                capacity.accelerators_count,
                free.accelerators_count,
                recent_sum(|it| it.accelerators_count),
            ),
        }
    }

    /// Returns whether the service has accelerators.
    const fn has_accelerators(&self) -> bool {
        self.per_accelerator > 0.0
    }

    /// Returns the highest weight among the resources of an amount.
    pub(crate) fn dominant_weight(&self, amount: &Resources) -> f64 {
        let cores = self.per_milli * f64::from(amount.cores_milli);
        let memory = self.per_mib * f64::from(amount.memory_mib);
        let accelerators = self.per_accelerator * f64::from(amount.accelerators_count);
        cores.max(memory).max(accelerators)
    }
}

/// The cost of placing a task on a worker. Lower is better.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PackingCost {
    /// Whether the task uses cores that free accelerators need.
    strands_accelerators: bool,
    /// The capacity lost for larger tasks, weighted by how often they arrive.
    lost_capacity: u64,
    /// The capacity left unused.
    leftover: u64,
}

impl PackingCost {
    /// Creates a cost that depends only on the capacity left unused.
    pub(crate) fn of_leftover(leftover: u32) -> Self {
        Self {
            leftover: u64::from(leftover),
            ..Self::default()
        }
    }
}

/// A shape with its weight.
#[derive(Clone, Copy, Debug)]
struct WeightedShape {
    demand: Resources,
    /// The shape's share of recent demand, in units of `1 / SHARE_UNIT`.
    demand_share: u64,
    weight: f64,
    per_s: f64,
}

/// The shape with the highest weight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LargestShape {
    pub(crate) demand: Resources,
    /// The arrival rate of its tasks, per second.
    pub(crate) per_s: f64,
}

/// The data for packing tasks of one service, from the start of a cycle.
#[derive(Clone, Debug)]
pub(crate) struct Packing {
    scarcity: Scarcity,
    shapes: Vec<WeightedShape>,
}

impl Packing {
    /// Creates the packing data of a service from the shapes of its recent tasks.
    pub(crate) fn new(scarcity: Scarcity, shapes: &[Shape]) -> Self {
        let total: f64 = shapes
            .iter()
            .map(|it| it.count * scarcity.dominant_weight(&it.demand))
            .sum();
        let weighted = shapes.iter().map(|shape| {
            let weight = scarcity.dominant_weight(&shape.demand);
            let share = shape.count * weight / total.max(f64::MIN_POSITIVE);
            WeightedShape {
                demand: shape.demand,
                demand_share: (share * SHARE_UNIT) as u64,
                weight,
                per_s: shape.per_s(),
            }
        });
        Self {
            scarcity,
            shapes: weighted.collect(),
        }
    }

    /// Returns the shape with the highest weight.
    pub(crate) fn largest(&self) -> Option<LargestShape> {
        let shapes = self.shapes.iter();
        let largest = shapes.max_by(|one, other| one.weight.total_cmp(&other.weight));
        largest.map(|shape| LargestShape {
            demand: shape.demand,
            per_s: shape.per_s,
        })
    }

    /// Returns the demands of all shapes, highest weight first.
    pub(crate) fn largest_first(&self) -> Vec<Resources> {
        let mut shapes = self.shapes.clone();
        shapes.sort_by(|one, other| other.weight.total_cmp(&one.weight));
        shapes.into_iter().map(|shape| shape.demand).collect()
    }

    /// Returns whether a demand has a lower weight than another.
    pub(crate) fn is_smaller(&self, demand: &Resources, than: &Resources) -> bool {
        self.scarcity.dominant_weight(demand) < self.scarcity.dominant_weight(than)
    }

    /// Returns the cost of a task on a worker with enough free capacity. Without accelerators, only
    /// cores count.
    pub(crate) fn cost(&self, free: &Resources, demand: &Resources) -> PackingCost {
        if !self.scarcity.has_accelerators() {
            return PackingCost::of_leftover(free.cores_milli);
        }
        let left = *free - *demand;
        let weight = self.scarcity.dominant_weight(demand);
        let larger = self.shapes.iter().filter(|shape| shape.weight > weight);
        let lost = larger.map(|shape| {
            let lost_count =
                count_fitting(free, &shape.demand) - count_fitting(&left, &shape.demand);
            shape.demand_share.saturating_mul(u64::from(lost_count))
        });
        PackingCost {
            strands_accelerators: demand.accelerators_count == 0 && free.accelerators_count > 0,
            lost_capacity: lost.fold(0, u64::saturating_add),
            leftover: (self.scarcity.dominant_weight(&left) * SHARE_UNIT * SHARE_UNIT) as u64,
        }
    }
}

/// Returns how many tasks with this demand fit into the free capacity.
pub(crate) fn count_fitting(free: &Resources, demand: &Resources) -> u32 {
    let by = |free: u32, need: u32| free.checked_div(need).unwrap_or(u32::MAX);
    by(free.cores_milli, demand.cores_milli)
        .min(by(free.memory_mib, demand.memory_mib))
        .min(by(free.accelerators_count, demand.accelerators_count))
}
