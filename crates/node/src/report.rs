//! Reports to operators on a node and its view of the cell.

use crate::node::Node;
use ospreywing_membership::PeerState;
use ospreywing_routing::BurnReport;
use ospreywing_types::peer::TaskStatus;
use ospreywing_types::{BoxFacts, Instant};
use serde::{Deserialize, Serialize};

/// The state of a daemon in the view of the reporting daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// The daemon's name.
    pub name: String,
    /// `IP:port` of its endpoint for callers.
    pub http_addr: String,
    /// `me`, `live`, `silent` or `gone`.
    pub state: String,
    /// The seats that the daemon holds.
    pub seats: Vec<u32>,
    /// The shards that the daemon owns.
    pub shards: Vec<u32>,
    /// The revision of the daemon's table, as it last reported it.
    pub table_revision: u64,
}

/// A shard that the reporting daemon owns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardReport {
    /// The shard.
    pub shard: u32,
    /// The epoch of the ownership.
    pub epoch: u64,
    /// Connected workers.
    pub workers_count: usize,
    /// Waiting tasks.
    pub waiting_count: usize,
    /// Attempts with a recorded start and no recorded end.
    pub started_count: usize,
    /// Former epochs that may still have starts in flight.
    pub open_epochs_count: usize,
    /// Tasks accepted in this epoch.
    pub submitted_count: u64,
    /// Tasks ended in this epoch.
    pub ended_count: u64,
    /// Attempts requeued in this epoch.
    pub requeued_count: u64,
    /// Commits written in this epoch.
    pub commits_count: u64,
    /// Bytes committed in this epoch.
    pub commit_bytes: u64,
    /// Attempts that ran without a record in the log.
    pub stray_attempts_count: u64,
    /// The size of the log, in bytes.
    pub log_bytes: usize,
}

/// The state of a worker in the view of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxReport {
    /// The entry on the platform's box list.
    pub facts: BoxFacts,
    /// Whether the reporting daemon is connected to it; `None` if the daemon does
    /// not own the worker's shard.
    pub is_connected: Option<bool>,
}

/// The state of the cell in the view of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellReport {
    /// The reporting daemon's name.
    pub name: String,
    /// Whether the load balancer should send callers to the reporting daemon.
    pub is_ready: bool,
    /// The evidence that the reporting daemon's table is current.
    pub freshness: String,
    /// The revision of the reporting daemon's table.
    pub table_revision: u64,
    /// All daemons with an entry in the store.
    pub members: Vec<MemberReport>,
    /// The shards that the reporting daemon owns.
    pub shards: Vec<ShardReport>,
    /// Requests without a final reply or with a slot in use.
    pub requests_open_count: usize,
    /// Requests whose complete answer was delivered.
    pub requests_done_count: u64,
    /// Requests that certainly did not run.
    pub requests_not_run_count: u64,
    /// Requests that may or may not have run.
    pub requests_unknown_count: u64,
}

impl Node {
    /// Returns the report on the cell.
    pub fn report(&self, now: Instant) -> CellReport {
        let counts = self.router.counts();
        CellReport {
            name: self.membership.me().name.to_string(),
            is_ready: self.is_ready(),
            freshness: self.freshness().as_str().to_owned(),
            table_revision: self.table().revision,
            members: self.member_reports(now),
            shards: self.shard_reports(),
            requests_open_count: self.router.open_count(),
            requests_done_count: counts.done_count,
            requests_not_run_count: counts.not_run_count,
            requests_unknown_count: counts.unknown_count,
        }
    }

    fn member_reports(&self, now: Instant) -> Vec<MemberReport> {
        let control = self.membership.control();
        let members = control.members.values();
        let report = |member: &ospreywing_membership::Member| {
            let incarnation = member.identity.incarnation;
            let is_of = |identity: &Option<ospreywing_types::DaemonIdentity>| {
                identity
                    .as_ref()
                    .is_some_and(|i| i.incarnation == incarnation)
            };
            let seats = control.seats.iter().filter(|(_, s)| is_of(&s.value));
            let shards = control.owners.iter().filter(|(_, o)| is_of(&o.value));
            MemberReport {
                name: member.identity.name.to_string(),
                http_addr: member.http_addr.clone(),
                state: self.state_name(now, incarnation).to_owned(),
                seats: seats.map(|(&seat, _)| seat).collect(),
                shards: shards.map(|(&shard, _)| shard).collect(),
                table_revision: self.table_revision_of(incarnation),
            }
        };
        members.map(report).collect()
    }

    fn table_revision_of(&self, incarnation: u64) -> u64 {
        if incarnation == self.membership.me().incarnation {
            return self.table().revision;
        }
        let table = self.peer_tables.get(&incarnation);
        table.map_or(0, |table| table.revision)
    }

    fn state_name(&self, now: Instant, incarnation: u64) -> &'static str {
        if incarnation == self.membership.me().incarnation {
            return "me";
        }
        match self.membership.peer_state(now, incarnation) {
            PeerState::Live => "live",
            PeerState::Unresponsive => "silent",
            PeerState::Gone(_) => "gone",
        }
    }

    fn shard_reports(&self) -> Vec<ShardReport> {
        let owners = (0..self.shards_count()).filter_map(|shard| self.owner(shard));
        let report = |owner: &ospreywing_shard::Owner| {
            let counts = owner.counts();
            ShardReport {
                shard: owner.config().shard,
                epoch: owner.config().epoch,
                workers_count: owner.workers().iter().filter(|(_, is_up)| *is_up).count(),
                waiting_count: owner.waiting_count(),
                started_count: owner.started_count(),
                open_epochs_count: owner.open_epochs().len(),
                submitted_count: counts.submitted_count,
                ended_count: counts.ended_count,
                requeued_count: counts.requeued_count,
                commits_count: counts.commits_count,
                commit_bytes: counts.commit_bytes,
                stray_attempts_count: counts.stray_attempts_count,
                log_bytes: owner.log_bytes(),
            }
        };
        owners.map(report).collect()
    }

    /// Returns up to `limit_count` tasks of the shards that this node owns.
    pub fn tasks(&self, limit_count: usize) -> Vec<TaskStatus> {
        let owners = (0..self.shards_count()).filter_map(|shard| self.owner(shard));
        let tasks = owners.flat_map(|owner| owner.statuses(limit_count));
        tasks.take(limit_count).collect()
    }

    /// Returns the workers on the box list.
    pub fn box_reports(&self, _now: Instant) -> Vec<BoxReport> {
        let report = |facts: &BoxFacts| {
            let owner = self.owner(self.shard_of_worker(&facts.name));
            let workers = owner.map(ospreywing_shard::Owner::workers);
            let found = workers.and_then(|workers| {
                let mut same = workers.into_iter().filter(|(name, _)| *name == facts.name);
                same.next()
            });
            BoxReport {
                facts: facts.clone(),
                is_connected: found.map(|(_, is_connected)| is_connected),
            }
        };
        self.workers.values().map(report).collect()
    }

    /// Returns the error-budget reports.
    pub fn burn(&mut self, now: Instant) -> Vec<BurnReport> {
        self.router.burn(now)
    }
}
