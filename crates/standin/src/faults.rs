//! The faults that can be injected into a stand-in.

use serde::{Deserialize, Serialize};

/// Faults of the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// The store answers no calls.
    pub is_down: bool,
    /// The store answers no calls at these ports.
    pub down_ports: Vec<u16>,
    /// Additional latency of each answer of the store, in milliseconds.
    pub slow_ms: u64,
    /// Writes per thousand that take effect but whose answer is lost.
    pub lose_answers_permille: u32,
    /// The box list is frozen.
    pub is_box_list_frozen: bool,
    /// The JSON texts of entries that another program has added to the box list.
    pub foreign_boxes: Vec<String>,
}

/// Faults of a minion host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MinionFaults {
    /// Additional duration of each request, in milliseconds.
    pub slow_ms: u64,
    /// Requests per thousand that run but whose answer is lost.
    pub lose_answers_permille: u32,
}

/// Faults of a worker host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaults {
    /// Names of workers to restart: they lose all tasks and get a new incarnation.
    pub restart: Vec<String>,
    /// Names of workers to partition: they accept calls but delay each one by an hour.
    pub cut_off: Vec<String>,
}
