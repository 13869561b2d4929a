//! Which node asks the adviser.
//!
//! The adviser works for each machine on one call at a time, so the calls are
//! spread over all nodes. Calls that take long would hold up the short ones
//! behind them, so they go to nodes of their own.

use ospreywing_types::{Duration, Instant};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A call that takes at least this long goes to the nodes for long calls.
const LONG_CALL: Duration = Duration::from_ms(150);
/// The part of the nodes that take long calls.
const LONG_NODES_NUMERATOR: usize = 5;
const LONG_NODES_DENOMINATOR: usize = 8;
/// The longest that a long call waits for its turn.
const LONG_BACKLOG: Duration = Duration::from_ms(900);
/// The longest that a short call waits for its turn: what waits can't be
/// overtaken by what is more urgent.
const SHORT_BACKLOG: Duration = Duration::from_ms(120);
/// How long a node that did not answer is passed over.
const PAUSE: Duration = Duration::from_ms(1500);

/// A node that has been given a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Assignment {
    /// The node's name.
    pub(crate) node: Arc<str>,
    /// How long the call will take, with what is before it.
    pub(crate) expected: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Load {
    busy_until: Instant,
    paused_until: Instant,
}

/// The nodes' loads with calls for advice.
#[derive(Debug, Default)]
pub(crate) struct Advisers {
    loads: BTreeMap<Arc<str>, Load>,
}

impl Advisers {
    /// Takes in which nodes there are.
    pub(crate) fn set_nodes(&mut self, nodes: Vec<Arc<str>>) {
        self.loads.retain(|name, _| nodes.contains(name));
        for node in nodes {
            self.loads.entry(node).or_default();
        }
    }

    /// Returns whether a node that takes such calls has nothing to do.
    pub(crate) fn is_idle(&self, now: Instant, cost: Duration) -> bool {
        let mut group = self.group(now, cost).into_iter();
        group.any(|name| self.loads[&name].busy_until <= now)
    }

    /// Gives a call to the node that will have answered first; `None` where
    /// all have too much before it.
    pub(crate) fn assign(&mut self, now: Instant, cost: Duration) -> Option<Assignment> {
        let group = self.group(now, cost);
        let begins = |name: &Arc<str>| self.loads[name].busy_until.max(now);
        let node = group.iter().min_by_key(|name| begins(name))?.clone();
        let begins = begins(&node);
        let backlog = if cost >= LONG_CALL {
            LONG_BACKLOG
        } else {
            SHORT_BACKLOG
        };
        if begins.since(now) > backlog {
            return None;
        }
        if let Some(load) = self.loads.get_mut(&node) {
            load.busy_until = begins + cost;
        }
        let expected = (begins + cost).since(now);
        Some(Assignment { node, expected })
    }

    /// Returns the nodes that take calls of this cost.
    fn group(&self, now: Instant, cost: Duration) -> Vec<Arc<str>> {
        let able: Vec<Arc<str>> = self
            .loads
            .iter()
            .filter(|(_, load)| now >= load.paused_until)
            .map(|(name, _)| name.clone())
            .collect();
        let long_count = able.len() * LONG_NODES_NUMERATOR / LONG_NODES_DENOMINATOR;
        match (able.len(), cost >= LONG_CALL) {
            (0 | 1, _) => able,
            (_, true) => able[..long_count].to_vec(),
            (_, false) => able[long_count..].to_vec(),
        }
    }

    /// Passes over a node that did not answer, for a while.
    pub(crate) fn note_failure(&mut self, now: Instant, node: &Arc<str>) {
        if let Some(load) = self.loads.get_mut(node) {
            load.paused_until = now + PAUSE;
            load.busy_until = now;
        }
    }
}
