//! Workloads and teams: caps, usage, queues and the scheduling order.

use crate::entity::{Task, Team, Workload};
use crate::queue::{Queue, Waiting};
use cranelift_entity::{EntitySet, PrimaryMap};
use ospreywing_table::{part_of, part_of_resources, Caps, Policy, Repeat, RowKind, Table};
use ospreywing_types::{Duration, Instant, Name, Resources, TaskId};
use std::collections::HashMap;

/// The limits of a workload or a team in this shard; zero means no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Allowance {
    pub(crate) resources: Resources,
    pub(crate) running_count: u32,
}

impl Allowance {
    fn new(caps: &Caps, shard: u32, shards_count: u32) -> Self {
        Self {
            resources: part_of_resources(caps.resources(), shard, shards_count),
            running_count: part_of(caps.running_count, shard, shards_count),
        }
    }

    fn admits(&self, usage: &Usage, demand: &Resources) -> bool {
        let after = usage.resources + *demand;
        let limit = &self.resources;
        let is_under = |limit: u32, value: u32| limit == 0 || value <= limit;
        is_under(limit.cores_milli, after.cores_milli)
            && is_under(limit.memory_mib, after.memory_mib)
            && is_under(limit.accelerators_count, after.accelerators_count)
            && is_under(self.running_count, usage.running_count + 1)
    }
}

/// The usage of a workload or a team in this shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    pub(crate) resources: Resources,
    pub(crate) running_count: u32,
}

impl Usage {
    fn add(&mut self, demand: &Resources) {
        self.resources += *demand;
        self.running_count += 1;
    }

    fn sub(&mut self, demand: &Resources) {
        self.resources -= *demand;
        self.running_count = self.running_count.saturating_sub(1);
    }
}

/// A team and its quota in this shard.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamData {
    pub(crate) allowance: Allowance,
    pub(crate) usage: Usage,
}

/// A workload: a batch row of the table, with its usage and its queue.
#[derive(Clone, Debug)]
pub(crate) struct WorkloadData {
    /// Whether the current table has the row.
    pub(crate) is_listed: bool,
    pub(crate) team: Option<Team>,
    pub(crate) allowance: Allowance,
    pub(crate) usage: Usage,
    pub(crate) share: u32,
    pub(crate) priority: u32,
    pub(crate) repeat: Repeat,
    pub(crate) retry_limit_count: u32,
    /// How long leases are renewed while the ownership can't be confirmed.
    pub(crate) hold: Duration,
    pub(crate) queue: Queue,
}

impl WorkloadData {
    fn new(name: &Name) -> Self {
        let row = ospreywing_table::Row::new(name.clone(), RowKind::Batch);
        Self {
            is_listed: false,
            team: None,
            allowance: Allowance::default(),
            usage: Usage::default(),
            share: row.share,
            priority: row.priority,
            // The work of a row that the table lacks may be unsafe to repeat.
            repeat: Repeat::AtMostOnce,
            retry_limit_count: row.retry_limit_count,
            hold: row.hold(),
            queue: Queue::default(),
        }
    }
}

/// Every workload and team, and the scheduling order of workloads.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkloadTable {
    workloads: PrimaryMap<Workload, WorkloadData>,
    teams: PrimaryMap<Team, TeamData>,
    by_name: HashMap<Name, Workload>,
    teams_by_name: HashMap<Name, Team>,
    pub(crate) policy: Policy,
    waiting_count: usize,
}

/// The rank of a workload in the scheduling order; the greatest goes first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    priority: u64,
    /// The share divided by the usage of processors: among workloads of one
    /// priority, the one with the least usage for its share goes first.
    credit: u64,
    age_ms: u64,
}

/// Scales credits, which are integers, to keep the fraction of the division.
const CREDIT_SCALE: u64 = 1 << 32;

impl WorkloadTable {
    /// Returns the workload named `name`, adding it if it is new.
    pub(crate) fn intern(&mut self, name: &Name) -> Workload {
        if let Some(workload) = self.by_name.get(name) {
            return *workload;
        }
        let workload = self.workloads.push(WorkloadData::new(name));
        self.by_name.insert(name.clone(), workload);
        workload
    }

    /// Returns the workload named `name`, if it is known.
    pub(crate) fn by_name(&self, name: &Name) -> Option<Workload> {
        self.by_name.get(name).copied()
    }

    /// Returns a workload's data.
    pub(crate) fn get(&self, workload: Workload) -> &WorkloadData {
        &self.workloads[workload]
    }

    /// Iterates over the workloads.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Workload, &WorkloadData)> {
        self.workloads.iter()
    }

    /// Iterates over the teams.
    pub(crate) fn teams(&self) -> impl Iterator<Item = (Team, &TeamData)> {
        self.teams.iter()
    }

    /// Returns the number of waiting tasks.
    pub(crate) const fn waiting_count(&self) -> usize {
        self.waiting_count
    }

    /// Applies a new table.
    pub(crate) fn set_table(&mut self, table: &Table, shard: u32, shards_count: u32) {
        self.policy = table.policy();
        for team in self.teams.values_mut() {
            team.allowance = Allowance::default();
        }
        for row in table.rows().filter(|row| row.kind == RowKind::Team) {
            let team = self.intern_team(&row.name);
            self.teams[team].allowance = Allowance::new(&row.caps, shard, shards_count);
        }
        for data in self.workloads.values_mut() {
            data.is_listed = false;
        }
        for row in table.rows().filter(|row| row.kind == RowKind::Batch) {
            let workload = self.intern(&row.name);
            let team = row.team.as_ref().map(|team| self.intern_team(team));
            self.set_team(workload, team);
            let data = &mut self.workloads[workload];
            data.is_listed = true;
            data.allowance = Allowance::new(&row.caps, shard, shards_count);
            data.share = row.share;
            data.priority = row.priority;
            data.repeat = row.repeat;
            data.retry_limit_count = row.retry_limit_count;
            data.hold = row.hold();
        }
    }

    fn intern_team(&mut self, name: &Name) -> Team {
        if let Some(team) = self.teams_by_name.get(name) {
            return *team;
        }
        let team = self.teams.push(TeamData::default());
        self.teams_by_name.insert(name.clone(), team);
        team
    }

    /// Moves a workload and its usage to another team.
    fn set_team(&mut self, workload: Workload, team: Option<Team>) {
        let data = &mut self.workloads[workload];
        if data.team == team {
            return;
        }
        let usage = data.usage;
        if let Some(before) = data.team {
            let before = &mut self.teams[before].usage;
            before.resources -= usage.resources;
            before.running_count -= usage.running_count;
        }
        if let Some(after) = team {
            let after = &mut self.teams[after].usage;
            after.resources += usage.resources;
            after.running_count += usage.running_count;
        }
        data.team = team;
    }

    /// Adds a recorded start to the usage of its workload and team.
    pub(crate) fn occupy(&mut self, workload: Workload, demand: &Resources) {
        let data = &mut self.workloads[workload];
        data.usage.add(demand);
        if let Some(team) = data.team {
            self.teams[team].usage.add(demand);
        }
    }

    /// Removes a start from the usage of its workload and team.
    pub(crate) fn release(&mut self, workload: Workload, demand: &Resources) {
        let data = &mut self.workloads[workload];
        data.usage.sub(demand);
        if let Some(team) = data.team {
            self.teams[team].usage.sub(demand);
        }
    }

    /// Adds a waiting task.
    pub(crate) fn enqueue(&mut self, workload: Workload, id: TaskId, task: Task, since: Instant) {
        self.workloads[workload].queue.push(id, task, since);
        self.waiting_count += 1;
    }

    /// Removes a waiting task.
    pub(crate) fn dequeue(&mut self, workload: Workload, id: TaskId) {
        if self.workloads[workload].queue.remove(id) {
            self.waiting_count -= 1;
        }
    }

    /// Returns whether the caps of a workload and its team admit one more task.
    pub(crate) fn admits(&self, workload: Workload, demand: &Resources) -> bool {
        let data = &self.workloads[workload];
        let team = data.team.map(|team| &self.teams[team]);
        let team_admits = team.is_none_or(|team| team.allowance.admits(&team.usage, demand));
        data.is_listed && team_admits && data.allowance.admits(&data.usage, demand)
    }

    /// Returns the highest-ranked workload with a waiting task that is not in
    /// `skipped`, and its first task.
    ///
    /// Waiting raises the priority by one every `ageing_step`.
    pub(crate) fn next(
        &self,
        skipped: &EntitySet<Workload>,
        now: Instant,
        ageing_step: Duration,
    ) -> Option<(Workload, Waiting)> {
        let mut best = None;
        for (workload, data) in self.workloads.iter() {
            let Some(first) = data.queue.first() else {
                continue;
            };
            if skipped.contains(workload) {
                continue;
            }
            let rank = rank(data, now.since(first.since), ageing_step);
            if best.is_none_or(|(greatest, _, _)| rank > greatest) {
                best = Some((rank, workload, first));
            }
        }
        best.map(|(_, workload, first)| (workload, first))
    }
}

fn rank(data: &WorkloadData, age: Duration, ageing_step: Duration) -> Rank {
    let steps = age.as_ms() / ageing_step.as_ms().max(1);
    let used = u64::from(data.usage.resources.cores_milli) + 1;
    Rank {
        priority: u64::from(data.priority) + steps,
        credit: u64::from(data.share) * CREDIT_SCALE / used,
        age_ms: age.as_ms(),
    }
}
