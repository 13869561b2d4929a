//! The rows of the table.

use ospreywing_types::{Duration, Name, Resources};
use serde::{Deserialize, Serialize};

/// The kind of a row: what it configures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowKind {
    /// The policy of the whole cell.
    Cell,
    /// A team and its quota.
    Team,
    /// A workload of requests that must be answered immediately.
    Service,
    /// A workload of tasks that may wait but must be completed.
    Batch,
}

impl RowKind {
    /// Returns the word used in the table.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Cell => "cell",
            Self::Team => "team",
            Self::Service => "service",
            Self::Batch => "batch",
        }
    }
}

/// The cell's placement policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Favours short waiting times: tasks go to the workers with the most free
    /// capacity.
    #[default]
    Waiting,
    /// Favours dense packing and a low control cost: tasks go to the worker with
    /// the least free capacity that fits them.
    Packing,
}

impl Policy {
    /// Returns the word used in the table.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Packing => "packing",
        }
    }
}

/// Whether work may be run again if the outcome of its first run is unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// A run with an unknown outcome is never repeated.
    AtMostOnce,
    /// A run with an unknown outcome is repeated.
    #[default]
    Repeatable,
}

impl Repeat {
    /// Returns the word used in the table.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::AtMostOnce => "at_most_once",
            Self::Repeatable => "repeatable",
        }
    }
}

/// Upper limits; zero means no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Caps {
    /// Processors, in thousandths of a core.
    pub cores_milli: u32,
    /// Memory, in mebibytes.
    pub memory_mib: u32,
    /// Accelerators.
    pub accelerators_count: u32,
    /// Tasks running at once.
    pub running_count: u32,
    /// Requests in flight at once.
    pub inflight_count: u32,
    /// Requests per second.
    pub rate_per_s: u32,
}

impl Caps {
    /// Returns the caps of processors, memory and accelerators.
    pub const fn resources(&self) -> Resources {
        Resources::new(self.cores_milli, self.memory_mib, self.accelerators_count)
    }
}

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// The row's name.
    pub name: Name,
    /// The row's kind.
    pub kind: RowKind,
    /// The team to which a workload belongs.
    #[serde(default)]
    pub team: Option<Name>,
    /// The cell's policy.
    #[serde(default)]
    pub policy: Policy,
    /// The workload's weight relative to others of its priority.
    #[serde(default = "default_share")]
    pub share: u32,
    /// The priority; workloads with a higher one go first.
    #[serde(default)]
    pub priority: u32,
    /// The limits of a workload, or a team's quota.
    #[serde(default)]
    pub caps: Caps,
    /// The longest total time for a request or task, in milliseconds; zero means
    /// no deadline.
    #[serde(default)]
    pub deadline_ms: u64,
    /// Whether a run with an unknown outcome may be repeated.
    #[serde(default)]
    pub repeat: Repeat,
    /// The maximum number of retries of a failed run.
    #[serde(default = "default_retry_limit")]
    pub retry_limit_count: u32,
    /// The fraction of requests or tasks that should be done by their deadline, in
    /// thousandths.
    #[serde(default = "default_objective")]
    pub objective_permille: u32,
    /// How long a task keeps running while its owner can't reach the store, in
    /// milliseconds.
    #[serde(default = "default_hold")]
    pub hold_ms: u64,
}

const DEFAULT_SHARE: u32 = 100;
const DEFAULT_RETRY_LIMIT_COUNT: u32 = 2;
const DEFAULT_OBJECTIVE_PERMILLE: u32 = 990;
/// Two hours. A store or a region may be unreachable for an hour.
const DEFAULT_HOLD_MS: u64 = 2 * 3600 * 1000;

const fn default_share() -> u32 {
    DEFAULT_SHARE
}

const fn default_retry_limit() -> u32 {
    DEFAULT_RETRY_LIMIT_COUNT
}

const fn default_objective() -> u32 {
    DEFAULT_OBJECTIVE_PERMILLE
}

const fn default_hold() -> u64 {
    DEFAULT_HOLD_MS
}

impl Row {
    /// Creates a row with all other columns at their defaults.
    pub const fn new(name: Name, kind: RowKind) -> Self {
        Self {
            name,
            kind,
            team: None,
            policy: Policy::Waiting,
            share: DEFAULT_SHARE,
            priority: 0,
            caps: Caps {
                cores_milli: 0,
                memory_mib: 0,
                accelerators_count: 0,
                running_count: 0,
                inflight_count: 0,
                rate_per_s: 0,
            },
            deadline_ms: 0,
            repeat: Repeat::Repeatable,
            retry_limit_count: DEFAULT_RETRY_LIMIT_COUNT,
            objective_permille: DEFAULT_OBJECTIVE_PERMILLE,
            hold_ms: DEFAULT_HOLD_MS,
        }
    }

    /// Returns the deadline, or `None` if there is none.
    pub fn deadline(&self) -> Option<Duration> {
        (self.deadline_ms > 0).then(|| Duration::from_ms(self.deadline_ms))
    }

    /// Returns how long a task keeps running while its owner can't reach the store.
    pub const fn hold(&self) -> Duration {
        Duration::from_ms(self.hold_ms)
    }
}
