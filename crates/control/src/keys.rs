//! The keys under which a cell's state is stored.

use ospreywing_scheduler::JobId;

/// Accepted jobs and cancels, written by any node.
pub const INTAKE_PREFIX: &str = "ospreywing/intake/";
/// The prefix that every node follows: the leader, with its lease, and the candidates.
pub const LEADER_PREFIX: &str = "ospreywing/cell/leader";
/// The leader item.
pub const LEADER: &str = "ospreywing/cell/leader";
/// The nodes that campaign first, written by the leader.
pub const CANDIDATES: &str = "ospreywing/cell/leader-candidates";
/// The live nodes, each item with its node's lease; only the leader follows them.
pub const NODES_PREFIX: &str = "ospreywing/cell/node/";
/// The jobs' progress, written by the leader.
pub const STATE_PREFIX: &str = "ospreywing/state/";
/// One key for each lane of the leader's commits.
pub const LANE_PREFIX: &str = "ospreywing/lane/";

const JOB_PART: &str = "job/";
const CANCEL_PART: &str = "cancel/";

/// A parsed intake key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntakeKey {
    /// An accepted job.
    Job(JobId),
    /// A cancel.
    Cancel(JobId),
}

/// Returns the key of an accepted job.
pub fn job(id: JobId) -> String {
    format!("{INTAKE_PREFIX}{JOB_PART}{id}")
}

/// Returns the key of a cancel.
pub fn cancel(id: JobId) -> String {
    format!("{INTAKE_PREFIX}{CANCEL_PART}{id}")
}

/// Returns the key of a job's progress.
pub fn state(id: JobId) -> String {
    format!("{STATE_PREFIX}{id}")
}

/// Returns the key of a commit lane.
pub fn lane(number: u32) -> String {
    format!("{LANE_PREFIX}{number}")
}

/// Returns the key of a node's item.
pub fn node(name: &str) -> String {
    format!("{NODES_PREFIX}{name}")
}

/// Parses an intake key.
pub fn parse_intake(key: &str) -> Option<IntakeKey> {
    let rest = key.strip_prefix(INTAKE_PREFIX)?;
    if let Some(id) = rest.strip_prefix(JOB_PART) {
        return id.parse().ok().map(IntakeKey::Job);
    }
    let id = rest.strip_prefix(CANCEL_PART)?;
    id.parse().ok().map(IntakeKey::Cancel)
}

/// Parses the key of a job's progress.
pub fn parse_state(key: &str) -> Option<JobId> {
    key.strip_prefix(STATE_PREFIX)?.parse().ok()
}
