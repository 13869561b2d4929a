//! Boxes as the platform's list gives them.

use crate::{Name, Resources};
use core::fmt;
use serde::{Deserialize, Serialize};

/// What a box is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BoxKind {
    /// An entry box, which runs a daemon.
    Entry,
    /// A worker, which runs tasks.
    Worker,
    /// A minion, which answers requests.
    Minion,
}

/// Whether a box stays in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BoxState {
    /// In service.
    Live,
    /// Leaving: it gets no new work.
    Leaving,
}

/// One entry of the platform's box list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxFacts {
    /// The box's name.
    pub name: Name,
    /// What it is for.
    pub kind: BoxKind,
    /// Whether it stays.
    pub state: BoxState,
    /// `IP:port` of its service.
    pub addr: String,
    /// The data centre it stands in.
    pub data_centre: Name,
    /// The rack it stands in.
    pub rack: Name,
    /// What a worker holds; zero for other kinds.
    #[serde(default)]
    pub resources: Resources,
    /// The workload rows that a minion serves.
    #[serde(default)]
    pub serves: Vec<Name>,
}

/// Which process of which box a daemon is.
///
/// Two processes never share an identity: the incarnation is drawn at random
/// when a daemon starts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DaemonIdentity {
    /// The daemon's name from its settings.
    pub name: Name,
    /// The random number of this process.
    pub incarnation: u64,
    /// `IP:port` of its endpoint for other daemons.
    pub rpc_addr: String,
}

impl fmt::Display for DaemonIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{:08x}", self.name, self.incarnation as u32)
    }
}
