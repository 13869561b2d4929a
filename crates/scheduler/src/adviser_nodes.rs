//! Chooses the node that sends each advice request.
//!
//! The adviser processes one request per node at a time, so requests are spread over all nodes.
//! Long requests would delay short ones behind them, so some nodes only take short requests: as
//! many as the short requests of the last seconds need.

use crate::adviser_load::AdviserLoad;
use ospreywing_types::{Duration, Instant};
use std::sync::Arc;

/// A request that takes at least this long is a long request.
const LONG_REQUEST: Duration = Duration::from_ms(150);
/// The largest share of the nodes that only take short requests.
const SHORT_NODES_NUMERATOR: usize = 3;
const SHORT_NODES_DENOMINATOR: usize = 8;
/// The target load of the nodes that only take short requests, at which these seldom wait for each
/// other. With three of eight nodes always taking only short requests, gangs whose requests take a
/// second had 19 of 30 nodes, all of them busy, and achieved 0.57 of their value instead of 0.66
/// (mean of ten simulated runs of five loads). The other nodes were busy a seventh of the time.
const SHORT_NODES_LOAD: f64 = 0.3;
/// The longest time that a long request waits at a node.
const LONG_BACKLOG_LIMIT: Duration = Duration::from_ms(900);
/// The longest time that a short request waits at a node. More urgent requests can't overtake those
/// that wait there.
const SHORT_BACKLOG_LIMIT: Duration = Duration::from_ms(120);
/// How long a node gets no requests after one that failed.
const FAILED_NODE_PAUSE: Duration = Duration::from_ms(1500);

/// A node chosen for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Assignment {
    /// The node's name.
    pub(crate) node: Arc<str>,
    /// How long the request will take, including the ones before it.
    pub(crate) expected: Duration,
}

/// A node and its load with requests.
#[derive(Clone, Debug)]
struct AdviserNode {
    name: Arc<str>,
    busy_until: Instant,
    paused_until: Instant,
}

impl AdviserNode {
    const fn new(name: Arc<str>) -> Self {
        Self {
            name,
            busy_until: Instant::from_ms(0),
            paused_until: Instant::from_ms(0),
        }
    }
}

/// The nodes that send advice requests, with their load.
#[derive(Debug, Default)]
pub(crate) struct AdviserNodes {
    /// The nodes, sorted by name.
    nodes: Vec<AdviserNode>,
    /// The load by short requests.
    short_load: AdviserLoad,
}

impl AdviserNodes {
    /// Replaces the set of nodes, keeping the state of those that stay.
    pub(crate) fn set_nodes(&mut self, mut names: Vec<Arc<str>>) {
        names.sort_unstable();
        let known = core::mem::take(&mut self.nodes);
        let find = |name: &Arc<str>| {
            let found = known.binary_search_by(|node| node.name.cmp(name));
            found.ok().map(|index| known[index].clone())
        };
        let nodes = names
            .into_iter()
            .map(|name| find(&name).unwrap_or(AdviserNode::new(name)));
        self.nodes = nodes.collect();
    }

    /// Returns whether a node eligible for requests of this cost is idle.
    pub(crate) fn has_idle_node(&self, now: Instant, cost: Duration) -> bool {
        let mut eligible_nodes = self.eligible_nodes(now, cost);
        eligible_nodes.any(|index| self.nodes[index].busy_until <= now)
    }

    /// Returns how many nodes eligible for requests of this cost are idle.
    pub(crate) fn idle_nodes_count(&self, now: Instant, cost: Duration) -> usize {
        let eligible_nodes = self.eligible_nodes(now, cost);
        eligible_nodes
            .filter(|index| self.nodes[*index].busy_until <= now)
            .count()
    }

    /// Returns whether a deferrable request of this cost must wait: it is long and no eligible node
    /// is idle.
    pub(crate) fn must_defer(&self, now: Instant, cost: Duration) -> bool {
        cost >= LONG_REQUEST && !self.has_idle_node(now, cost)
    }

    /// Assigns a request to the node that will finish it first. Returns `None` if the backlog of
    /// all nodes is too long.
    ///
    /// A long deferrable request is only sent by an idle node, because more urgent requests can't
    /// overtake those that wait at a node. This way gangs achieved 0.66 of their value instead of
    /// 0.57, and deferrable work 0.87 instead of 0.94 (mean of ten simulated runs of five loads).
    pub(crate) fn assign(
        &mut self,
        now: Instant,
        cost: Duration,
        is_deferrable: bool,
    ) -> Option<Assignment> {
        let is_long = cost >= LONG_REQUEST;
        // Of nodes that can start at once, short requests prefer the last, which take no long ones.
        let preference = |index: &usize| {
            let starts_at = self.nodes[*index].busy_until.max(now);
            let position = if is_long { *index } else { usize::MAX - *index };
            (starts_at, position)
        };
        let index = self.eligible_nodes(now, cost).min_by_key(preference)?;
        let (starts_at, _) = preference(&index);
        if starts_at.since(now) > backlog_limit(cost, is_deferrable) {
            return None;
        }
        if !is_long {
            self.short_load.add(now, cost);
        }
        let node = &mut self.nodes[index];
        node.busy_until = starts_at + cost;
        Some(Assignment {
            node: node.name.clone(),
            expected: (starts_at + cost).since(now),
        })
    }

    /// Returns the indices of the nodes that may take a request of this cost. This runs for each
    /// step of each cycle and therefore doesn't allocate.
    fn eligible_nodes(&self, now: Instant, cost: Duration) -> impl Iterator<Item = usize> + '_ {
        let is_active = move |node: &AdviserNode| now >= node.paused_until;
        let active_count = self.nodes.iter().filter(|node| is_active(node)).count();
        let count = if cost >= LONG_REQUEST && active_count > 1 {
            active_count - self.short_nodes_count(now, active_count)
        } else {
            active_count
        };
        let nodes = self.nodes.iter().enumerate();
        let active = nodes.filter(move |(_, node)| is_active(node));
        active.map(|(index, _)| index).take(count)
    }

    /// Returns how many of the active nodes only take short requests.
    fn short_nodes_count(&self, now: Instant, active_count: usize) -> usize {
        let max_count = (active_count * SHORT_NODES_NUMERATOR).div_ceil(SHORT_NODES_DENOMINATOR);
        let needed_count = (self.short_load.busy_nodes(now) / SHORT_NODES_LOAD).ceil() as usize;
        (needed_count + 1).min(max_count)
    }

    /// Pauses a node after a failed request.
    pub(crate) fn pause_node(&mut self, now: Instant, name: &Arc<str>) {
        let found = self.nodes.binary_search_by(|node| node.name.cmp(name));
        if let Ok(index) = found {
            self.nodes[index].paused_until = now + FAILED_NODE_PAUSE;
            self.nodes[index].busy_until = now;
        }
    }
}

/// Returns how long a request may wait at a node.
const fn backlog_limit(cost: Duration, is_deferrable: bool) -> Duration {
    if cost.as_ms() < LONG_REQUEST.as_ms() {
        SHORT_BACKLOG_LIMIT
    } else if is_deferrable {
        Duration::ZERO
    } else {
        LONG_BACKLOG_LIMIT
    }
}
