//! Entries of the platform's box list, and the identity of a daemon process.

use crate::{Name, Resources};
use core::fmt;
use serde::{Deserialize, Serialize};

/// The role of a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BoxKind {
    /// Runs a daemon.
    Entry,
    /// Runs tasks.
    Worker,
    /// Answers requests.
    Minion,
}

/// Whether a box accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BoxState {
    /// The box is in service.
    Live,
    /// The box is being removed and gets no new work.
    Leaving,
}

/// One entry of the platform's box list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxFacts {
    /// The box's name.
    pub name: Name,
    /// The role of the box.
    pub kind: BoxKind,
    /// Whether the box accepts new work.
    pub state: BoxState,
    /// `IP:port` of the service on the box.
    pub addr: String,
    /// The data centre of the box.
    pub data_centre: Name,
    /// The rack of the box.
    pub rack: Name,
    /// The capacity of a worker; zero for other kinds.
    #[serde(default)]
    pub resources: Resources,
    /// The workload rows that a minion serves.
    #[serde(default)]
    pub serves: Vec<Name>,
}

/// The identity of one daemon process.
///
/// A restarted daemon has a new identity: the incarnation is a random number
/// generated at each start.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DaemonIdentity {
    /// The daemon's configured name.
    pub name: Name,
    /// The random number generated when this process started.
    pub incarnation: u64,
    /// `IP:port` of the endpoint for other daemons.
    pub rpc_addr: String,
}

impl fmt::Display for DaemonIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{:08x}", self.name, self.incarnation as u32)
    }
}
