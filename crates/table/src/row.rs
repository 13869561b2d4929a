//! One row of the table.

use ospreywing_types::{Duration, Name, Resources};
use serde::{Deserialize, Serialize};

/// What a row is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowKind {
    /// The policy of the whole cell.
    Cell,
    /// A team and its quota.
    Team,
    /// A workload of requests that must be answered at once.
    Service,
    /// A workload of tasks that may wait but must finish.
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

/// What the cell weighs most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Short waiting first: tasks are spread over the emptiest workers.
    #[default]
    Waiting,
    /// Packing and control cost first: tasks go to the fullest worker with room.
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

/// Whether work may be run again when its first run is in doubt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// A run in doubt is never repeated.
    AtMostOnce,
    /// A run in doubt is repeated.
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

/// Upper limits; zero stands for no limit.
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
    /// Requests a second.
    pub rate_per_s: u32,
}

impl Caps {
    /// Returns the caps of processors, memory and accelerators.
    pub const fn resources(&self) -> Resources {
        Resources::new(self.cores_milli, self.memory_mib, self.accelerators_count)
    }
}

/// One row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// The row's name.
    pub name: Name,
    /// What the row is about.
    pub kind: RowKind,
    /// The team that a workload belongs to.
    #[serde(default)]
    pub team: Option<Name>,
    /// The cell's policy.
    #[serde(default)]
    pub policy: Policy,
    /// The workload's weight against others of its priority.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Higher goes first.
    #[serde(default)]
    pub priority: u32,
    /// Upper limits of a workload, or a team's quota.
    #[serde(default)]
    pub caps: Caps,
    /// How long a request or task may take in all, in milliseconds; zero for none.
    #[serde(default)]
    pub deadline_ms: u64,
    /// Whether a run in doubt may be repeated.
    #[serde(default)]
    pub repeat: Repeat,
    /// How often a failed run is tried again.
    #[serde(default = "default_retry_limit")]
    pub retry_limit_count: u32,
    /// The part of requests or tasks to be done by their deadline, in thousandths.
    #[serde(default = "default_objective")]
    pub objective_permille: u32,
    /// How long a running task goes on while its owner can't reach the store.
    #[serde(default = "default_hold")]
    pub hold_ms: u64,
}

const DEFAULT_SHARE: u32 = 100;
const DEFAULT_RETRY_LIMIT_COUNT: u32 = 2;
const DEFAULT_OBJECTIVE_PERMILLE: u32 = 990;
/// Two hours: longer than the hour for which a store or a region may be cut off.
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
    /// Creates a row with every other column at its default.
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

    /// Returns the deadline, or `None` where there is none.
    pub fn deadline(&self) -> Option<Duration> {
        (self.deadline_ms > 0).then(|| Duration::from_ms(self.deadline_ms))
    }

    /// Returns how long a task goes on without the store.
    pub const fn hold(&self) -> Duration {
        Duration::from_ms(self.hold_ms)
    }
}
