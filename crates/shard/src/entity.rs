//! Dense keys of tasks, workers, workloads and teams.

use cranelift_entity::entity_impl;

/// A task of the shard.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Task(u32);
entity_impl!(Task, "task");

/// A worker of the shard.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Worker(u32);
entity_impl!(Worker, "worker");

/// A workload: a batch row of the table, to which tasks are submitted.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Workload(u32);
entity_impl!(Workload, "workload");

/// A team to which workloads belong.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Team(u32);
entity_impl!(Team, "team");
