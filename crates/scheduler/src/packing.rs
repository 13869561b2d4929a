//! Packing: which of the workers that have room for a task lose least by it.
//!
//! Workers hold processors, memory and accelerators, and a task that fits leaves some of each
//! behind. Room is of use only where whole tasks fit into it, so a worker is chosen on which
//! room for the fewest larger tasks is lost; of equal ones, that with the least left of what
//! is scarce. Plain values in, plain values out.

use crate::resource_totals::ResourceTotals;
use crate::shapes::Shape;
use ospreywing_types::Resources;

/// What a whole share counts in costs, which are whole numbers so that they have an order.
const SHARE_UNIT: f64 = 1_000_000.0;
/// The least pressure on a resource, so that one that nobody uses yet still counts a little.
const PRESSURE_FLOOR: f64 = 0.01;

/// How much one unit of each resource is worth where a worker is left with it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scarcity {
    per_milli: f64,
    per_mib: f64,
    per_accelerator: f64,
}

impl Scarcity {
    /// Returns the worth of what is free, from what a service holds, what of it is free and
    /// what has come lately: a unit is worth its share of the whole times the pressure.
    pub(crate) fn new(capacity: &ResourceTotals, free: &ResourceTotals, shapes: &[Shape]) -> Self {
        let lately = |part: fn(&Resources) -> u32| -> f64 {
            let parts = shapes.iter();
            parts.map(|it| it.count * f64::from(part(&it.demand))).sum()
        };
        let worth = |capacity: u64, free: u64, lately: f64| {
            if capacity == 0 {
                return 0.0;
            }
            let needed = capacity.saturating_sub(free) as f64 + lately;
            (needed / capacity as f64).max(PRESSURE_FLOOR) / capacity as f64
        };
        Self {
            per_milli: worth(
                capacity.cores_milli,
                free.cores_milli,
                lately(|it| it.cores_milli),
            ),
            per_mib: worth(
                capacity.memory_mib,
                free.memory_mib,
                lately(|it| it.memory_mib),
            ),
            per_accelerator: worth(
                capacity.accelerators_count,
                free.accelerators_count,
                lately(|it| it.accelerators_count),
            ),
        }
    }

    /// Returns whether the service holds accelerators.
    const fn has_accelerators(&self) -> bool {
        self.per_accelerator > 0.0
    }

    /// Returns the worth of the part of a room that is worth most.
    pub(crate) fn dominant_worth(&self, room: &Resources) -> f64 {
        let cores = self.per_milli * f64::from(room.cores_milli);
        let memory = self.per_mib * f64::from(room.memory_mib);
        let accelerators = self.per_accelerator * f64::from(room.accelerators_count);
        cores.max(memory).max(accelerators)
    }
}

/// What placing a task on a worker costs; the least is best.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PackingCost {
    /// Whether it takes processors that free accelerators need.
    strands_accelerators: bool,
    /// The room for larger tasks that is lost, by how often such come.
    lost_room: u64,
    /// What is left unused.
    leftover: u64,
}

impl PackingCost {
    /// Creates a cost that only tells how much is left.
    pub(crate) fn of_leftover(leftover: u32) -> Self {
        Self {
            leftover: u64::from(leftover),
            ..Self::default()
        }
    }
}

/// A shape that needs room.
#[derive(Clone, Copy, Debug)]
struct WeighedShape {
    demand: Resources,
    /// What all of it counts that came lately, in whole units of a cost.
    weight: u64,
    worth: f64,
    per_s: f64,
}

/// The shape that takes most of what is scarce.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LargestShape {
    pub(crate) demand: Resources,
    /// How many tasks of it come in a second.
    pub(crate) per_s: f64,
}

/// What one service's tasks and workers look like, as a cycle begins.
#[derive(Clone, Debug)]
pub(crate) struct Packing {
    scarcity: Scarcity,
    shapes: Vec<WeighedShape>,
}

impl Packing {
    /// Creates the view of a service to which these shapes came lately.
    pub(crate) fn new(scarcity: Scarcity, shapes: &[Shape]) -> Self {
        let total: f64 = shapes
            .iter()
            .map(|it| it.count * scarcity.dominant_worth(&it.demand))
            .sum();
        let weighed = shapes.iter().map(|shape| {
            let worth = scarcity.dominant_worth(&shape.demand);
            let share = shape.count * worth / total.max(f64::MIN_POSITIVE);
            WeighedShape {
                demand: shape.demand,
                weight: (share * SHARE_UNIT) as u64,
                worth,
                per_s: shape.per_s(),
            }
        });
        Self {
            scarcity,
            shapes: weighed.collect(),
        }
    }

    /// Returns the shape that takes most of what is scarce.
    pub(crate) fn largest(&self) -> Option<LargestShape> {
        let shapes = self.shapes.iter();
        let largest = shapes.max_by(|one, other| one.worth.total_cmp(&other.worth));
        largest.map(|shape| LargestShape {
            demand: shape.demand,
            per_s: shape.per_s,
        })
    }

    /// Returns all shapes, those first that take most of what is scarce.
    pub(crate) fn largest_first(&self) -> Vec<Resources> {
        let mut shapes = self.shapes.clone();
        shapes.sort_by(|one, other| other.worth.total_cmp(&one.worth));
        shapes.into_iter().map(|shape| shape.demand).collect()
    }

    /// Returns whether a demand is smaller than another by what is scarce.
    pub(crate) fn is_smaller(&self, demand: &Resources, than: &Resources) -> bool {
        self.scarcity.dominant_worth(demand) < self.scarcity.dominant_worth(than)
    }

    /// Returns what a task costs on a worker with this room, into which it fits. Without
    /// accelerators, processors decide alone.
    pub(crate) fn cost(&self, free: &Resources, demand: &Resources) -> PackingCost {
        if !self.scarcity.has_accelerators() {
            return PackingCost::of_leftover(free.cores_milli);
        }
        let left = *free - *demand;
        let worth = self.scarcity.dominant_worth(demand);
        let larger = self.shapes.iter().filter(|shape| shape.worth > worth);
        let lost = larger.map(|shape| {
            let lost_count = fit_in(free, &shape.demand) - fit_in(&left, &shape.demand);
            shape.weight.saturating_mul(u64::from(lost_count))
        });
        PackingCost {
            strands_accelerators: demand.accelerators_count == 0 && free.accelerators_count > 0,
            lost_room: lost.fold(0, u64::saturating_add),
            leftover: (self.scarcity.dominant_worth(&left) * SHARE_UNIT * SHARE_UNIT) as u64,
        }
    }
}

/// Returns how many tasks of a demand fit into a room.
pub(crate) fn fit_in(room: &Resources, demand: &Resources) -> u32 {
    let by = |free: u32, need: u32| free.checked_div(need).unwrap_or(u32::MAX);
    by(room.cores_milli, demand.cores_milli)
        .min(by(room.memory_mib, demand.memory_mib))
        .min(by(room.accelerators_count, demand.accelerators_count))
}
