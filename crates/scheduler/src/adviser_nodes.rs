//! Which node asks the adviser.
//!
//! The adviser works for each machine on one call at a time, so the calls are
//! spread over all nodes. Calls that take long would hold up the short ones
//! behind them, so some nodes take short calls alone: as many as the short calls of the
//! last seconds need.

use crate::adviser_load::AdviserLoad;
use ospreywing_types::{Duration, Instant};
use std::sync::Arc;

/// A call that takes at least this long goes to the nodes for long calls.
const LONG_REQUEST: Duration = Duration::from_ms(150);
/// The part of the nodes that take short calls alone, at most.
const SHORT_NODES_NUMERATOR: usize = 3;
const SHORT_NODES_DENOMINATOR: usize = 8;
/// How busy the nodes for short calls may be, as a share: a short call seldom waits for
/// another then. With three of eight nodes always for short calls, gangs whose calls take
/// a second had 19 of 30 nodes, all busy, and earned 0.57 of their worth in place of 0.66
/// (mean of ten plays of five loads); the others were busy for a seventh of the time.
const SHORT_NODES_LOAD: f64 = 0.3;
/// The longest that a long call waits for its turn.
const LONG_BACKLOG_LIMIT: Duration = Duration::from_ms(900);
/// The longest that a short call waits for its turn: what waits can't be
/// overtaken by what is more urgent.
const SHORT_BACKLOG_LIMIT: Duration = Duration::from_ms(120);
/// How long a node that did not answer is passed over.
const FAILED_NODE_PAUSE: Duration = Duration::from_ms(1500);

/// A node that has been given a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Assignment {
    /// The node's name.
    pub(crate) node: Arc<str>,
    /// How long the call will take, with what is before it.
    pub(crate) expected: Duration,
}

/// A node, and the calls that it has been given.
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

/// The nodes' loads with calls for advice.
#[derive(Debug, Default)]
pub(crate) struct AdviserNodes {
    /// The nodes in the order of their names.
    nodes: Vec<AdviserNode>,
    /// What short calls take.
    short_load: AdviserLoad,
}

impl AdviserNodes {
    /// Takes in which nodes there are.
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

    /// Returns whether a node that takes such calls has nothing to do.
    pub(crate) fn has_idle_node(&self, now: Instant, cost: Duration) -> bool {
        let mut eligible_nodes = self.eligible_nodes(now, cost);
        eligible_nodes.any(|index| self.nodes[index].busy_until <= now)
    }

    /// Returns how many nodes that take such calls have nothing to do.
    pub(crate) fn idle_nodes_count(&self, now: Instant, cost: Duration) -> usize {
        let eligible_nodes = self.eligible_nodes(now, cost);
        eligible_nodes
            .filter(|index| self.nodes[*index].busy_until <= now)
            .count()
    }

    /// Returns whether a call of this cost is made only where a node has nothing to do, if
    /// it can wait, and none has.
    pub(crate) fn must_defer(&self, now: Instant, cost: Duration) -> bool {
        cost >= LONG_REQUEST && !self.has_idle_node(now, cost)
    }

    /// Gives a call to the node that will have answered first; `None` where
    /// all have too much before it.
    ///
    /// A long call that can wait is made only where a node has nothing to do: what waits at
    /// a node can't be overtaken by what is more urgent. Gangs earned 0.66 of their worth
    /// that way in place of 0.57, and patient work 0.87 in place of 0.94 (mean of ten plays
    /// of five loads).
    pub(crate) fn assign(
        &mut self,
        now: Instant,
        cost: Duration,
        can_wait: bool,
    ) -> Option<Assignment> {
        let is_long = cost >= LONG_REQUEST;
        // Of nodes that can begin at once, short calls take the last, where no long ones go.
        let preference = |index: &usize| {
            let starts_at = self.nodes[*index].busy_until.max(now);
            let position = if is_long { *index } else { usize::MAX - *index };
            (starts_at, position)
        };
        let index = self.eligible_nodes(now, cost).min_by_key(preference)?;
        let (starts_at, _) = preference(&index);
        if starts_at.since(now) > backlog_limit(cost, can_wait) {
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

    /// Returns the nodes that take calls of this cost, by their places in the
    /// list. Asked for each step of each cycle, so without making a list.
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

    /// Returns how many of so many nodes take short calls alone.
    fn short_nodes_count(&self, now: Instant, active_count: usize) -> usize {
        let most = (active_count * SHORT_NODES_NUMERATOR).div_ceil(SHORT_NODES_DENOMINATOR);
        let needed = (self.short_load.busy_nodes(now) / SHORT_NODES_LOAD).ceil() as usize;
        (needed + 1).min(most)
    }

    /// Passes over a node that did not answer, for a while.
    pub(crate) fn pause_node(&mut self, now: Instant, name: &Arc<str>) {
        let found = self.nodes.binary_search_by(|node| node.name.cmp(name));
        if let Ok(index) = found {
            self.nodes[index].paused_until = now + FAILED_NODE_PAUSE;
            self.nodes[index].busy_until = now;
        }
    }
}

/// Returns how long a call may wait at a node.
const fn backlog_limit(cost: Duration, can_wait: bool) -> Duration {
    if cost.as_ms() < LONG_REQUEST.as_ms() {
        SHORT_BACKLOG_LIMIT
    } else if can_wait {
        Duration::ZERO
    } else {
        LONG_BACKLOG_LIMIT
    }
}
