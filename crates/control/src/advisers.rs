//! Which node asks the adviser.
//!
//! The adviser works for each machine on one call at a time, so the calls are
//! spread over all nodes. Calls that take long would hold up the short ones
//! behind them, so they go to nodes of their own.

use crate::election::CellView;
use ospreywing_types::{Duration, Instant};
use std::cell::RefCell;
use std::collections::BTreeMap;

/// A call that takes at least this long goes to the nodes for long calls.
const LONG_CALL: Duration = Duration::from_ms(150);
/// The longest that a long call waits for its turn.
const LONG_BACKLOG: Duration = Duration::from_ms(2500);
/// The longest that a short call waits for its turn.
const SHORT_BACKLOG: Duration = Duration::from_ms(600);
/// How long a node that did not answer is passed over.
const PAUSE: Duration = Duration::from_ms(1500);

/// A node that has been given a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The node's name.
    pub name: String,
    /// Where it is called; `None` for this node itself.
    pub address: Option<String>,
    /// How long the call will take, with what is before it.
    pub expected: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Load {
    busy_until: Instant,
    paused_until: Instant,
}

/// The nodes' loads with calls for advice.
#[derive(Debug, Default)]
pub struct Advisers {
    loads: RefCell<BTreeMap<String, Load>>,
}

impl Advisers {
    /// Creates the loads of nodes that have no calls.
    pub fn new() -> Self {
        Self::default()
    }

    /// Picks the node that will have answered first; `None` where all have
    /// too much before it.
    pub fn assign(
        &self,
        now: Instant,
        cell: &CellView,
        own_name: &str,
        cost: Duration,
    ) -> Option<Assignment> {
        let mut loads = self.loads.borrow_mut();
        let mut names: Vec<&str> = cell.nodes.keys().map(String::as_str).collect();
        if !names.contains(&own_name) {
            names.push(own_name);
        }
        names.retain(|name| {
            let load = loads.get(*name).copied().unwrap_or_default();
            now >= load.paused_until
        });
        let is_long = cost >= LONG_CALL;
        let long_count = names.len() / 2;
        let group = if names.len() < 2 {
            &names[..]
        } else if is_long {
            &names[..long_count]
        } else {
            &names[long_count..]
        };
        let until = |name: &str| loads.get(name).map_or(now, |load| load.busy_until.max(now));
        let name = *group.iter().min_by_key(|name| until(name))?;
        let begins = until(name);
        let backlog = if is_long { LONG_BACKLOG } else { SHORT_BACKLOG };
        if begins.since(now) > backlog {
            return None;
        }
        loads.entry(name.to_owned()).or_default().busy_until = begins + cost;
        let is_own = name == own_name;
        let address = cell.nodes.get(name).map(|node| node.address.clone());
        Some(Assignment {
            name: name.to_owned(),
            address: address.filter(|_| !is_own),
            expected: (begins + cost).since(now),
        })
    }

    /// Passes over a node that did not answer, for a while.
    pub fn note_failure(&self, now: Instant, assignment: &Assignment) {
        let mut loads = self.loads.borrow_mut();
        let load = loads.entry(assignment.name.clone()).or_default();
        load.paused_until = now + PAUSE;
        load.busy_until = now;
    }
}
