//! Dense keys of the entities that an owner decides about.

use cranelift_entity::entity_impl;

/// A task of the shard.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Task(u32);
entity_impl!(Task, "task");

/// A worker of the shard.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Worker(u32);
entity_impl!(Worker, "worker");

/// A row of the table that tasks are submitted to.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Workload(u32);
entity_impl!(Workload, "workload");

/// A team that workloads belong to.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Team(u32);
entity_impl!(Team, "team");
