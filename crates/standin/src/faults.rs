//! The faults that a stand-in can be told to have.

use serde::{Deserialize, Serialize};

/// Faults of the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// The store answers nobody.
    pub is_down: bool,
    /// The store answers nobody who calls at these ports.
    pub down_ports: Vec<u16>,
    /// Each answer of the store comes this much later.
    pub slow_ms: u64,
    /// Of a thousand writes, so many take effect and lose their answer.
    pub lose_answers_permille: u32,
    /// The box list stays as it is.
    pub is_box_list_frozen: bool,
}

/// Faults of a minion host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MinionFaults {
    /// Each answer comes this much later.
    pub slow_ms: u64,
    /// Of a thousand requests, so many run and lose their answer.
    pub lose_answers_permille: u32,
}

/// Faults of a worker host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaults {
    /// The workers of these names lose all their tasks and begin a new run.
    pub restart: Vec<String>,
    /// The workers of these names take calls and answer none, as cut off.
    pub cut_off: Vec<String>,
}
