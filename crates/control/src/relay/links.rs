//! The links to all relays of a leader's term, and the choice of relays.

use crate::leader::Term;
use crate::node::Node;
use crate::platform::Platform;
use crate::relay::assignment::{Assignment, RelayCandidate};
use crate::relay::link::{self, RelayLink};
use crate::relay::message::RelaySession;
use cranelift_entity::{EntityRef, SecondaryMap};
use ospreywing_scheduler::{Scheduler, WorkerKey};
use ospreywing_types::{Duration, Instant};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;

/// The time between two choices of relays.
const CHOICE_PERIOD: Duration = Duration::from_ms(500);
/// How long a relay is not used after it did not answer.
const LOST_RELAY_PAUSE: Duration = Duration::from_ms(3000);
/// How long orders to a worker are sent directly after it did not answer through its
/// relay. It is long enough for the repeated calls, so that no worker is taken to be
/// unresponsive only because of its relay.
const BYPASS_TIME: Duration = Duration::from_ms(5000);

/// The links to the relays that a leader uses.
#[derive(Default)]
pub(crate) struct RelayLinks {
    links: RefCell<Vec<Rc<RelayLink>>>,
    by_worker: RefCell<SecondaryMap<WorkerKey, Option<Rc<RelayLink>>>>,
    /// The instants until which orders to a worker are sent directly.
    bypassed_until: RefCell<HashMap<WorkerKey, Instant>>,
    /// The instants until which a node is not used as a relay.
    paused_until: RefCell<HashMap<Arc<str>, Instant>>,
    sessions_count: Cell<u64>,
    next_choice_at: Cell<Instant>,
}

impl RelayLinks {
    /// Returns the link for a worker's orders; `None` if they are sent directly.
    pub(crate) fn link_for_worker(&self, now: Instant, worker: WorkerKey) -> Option<Rc<RelayLink>> {
        let link = self.by_worker.borrow()[worker].clone()?;
        let bypass_until = self.bypassed_until.borrow().get(&worker).copied();
        let is_bypassed = bypass_until.is_some_and(|until| now < until);
        (!is_bypassed && !link.is_lost()).then_some(link)
    }

    /// Sends further orders through these links only. The others stay until their last
    /// order is answered, since a node has only one session at a time.
    fn set_active(&self, used: Vec<Rc<RelayLink>>) {
        let mut links = self.links.borrow_mut();
        let is_used = |link: &Rc<RelayLink>| used.iter().any(|other| Rc::ptr_eq(other, link));
        links.retain(|link| !link.is_lost() && !is_used(link));
        links.iter().for_each(|link| link.set_retired(true));
        used.iter().for_each(|link| link.set_retired(false));
        links.extend(used);
    }

    /// Has orders to a worker sent directly for a while, since it did not answer through its
    /// relay.
    pub(crate) fn bypass_relay(&self, now: Instant, worker: WorkerKey) {
        self.bypassed_until
            .borrow_mut()
            .insert(worker, now + BYPASS_TIME);
    }

    /// Excludes a node from the choice of relays for a while, since it did not answer.
    pub(crate) fn pause_relay(&self, name: &Arc<str>) {
        let until = crate::clock::now() + LOST_RELAY_PAUSE;
        self.paused_until.borrow_mut().insert(name.clone(), until);
    }

    fn usable_link(&self, name: &str) -> Option<Rc<RelayLink>> {
        let links = self.links.borrow();
        let mut usable = links.iter().filter(|link| !link.is_lost());
        usable.find(|link| *link.name == *name).cloned()
    }
}

/// Chooses the relays again if the choice period has passed.
pub(crate) fn choose_if_due<P: Platform>(
    node: &Rc<Node<P>>,
    term: &Rc<Term<P>>,
    scheduler: &Scheduler,
    now: Instant,
) {
    if now >= term.relays.next_choice_at.get() {
        choose_relays(node, term, scheduler, now);
    }
}

/// Chooses the relays for the current nodes and workers.
pub(crate) fn choose_relays<P: Platform>(
    node: &Rc<Node<P>>,
    term: &Rc<Term<P>>,
    scheduler: &Scheduler,
    now: Instant,
) {
    let relays = &term.relays;
    relays.next_choice_at.set(now + CHOICE_PERIOD);
    relays
        .bypassed_until
        .borrow_mut()
        .retain(|_, until| now < *until);
    relays
        .paused_until
        .borrow_mut()
        .retain(|_, until| now < *until);
    let workers_counts = count_workers(scheduler);
    let assignment = Assignment::new(
        relay_candidates(node, relays),
        &workers_counts,
        node.settings.relays_min_workers_count,
    );
    let links: Vec<Rc<RelayLink>> = assignment
        .relays
        .values()
        .map(|relay| get_or_open_link(node, term, relay))
        .collect();
    node.metrics.set_relays_count(links.len());
    let mut by_worker = SecondaryMap::new();
    for (key, facts) in scheduler.listed_workers() {
        let relay = assignment.relay_for_worker(&facts.id, &facts.data_centre);
        by_worker[key] = relay.map(|relay| links[relay.index()].clone());
    }
    *relays.by_worker.borrow_mut() = by_worker;
    relays.set_active(links);
}

/// Counts the listed workers of each data centre.
fn count_workers(scheduler: &Scheduler) -> BTreeMap<Arc<str>, usize> {
    let mut counts: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    for (_, facts) in scheduler.listed_workers() {
        match counts.get_mut(&facts.data_centre) {
            Some(count) => *count += 1,
            None => {
                counts.insert(facts.data_centre.clone(), 1);
            }
        }
    }
    counts
}

/// Returns the nodes that may be relays.
fn relay_candidates<P: Platform>(node: &Node<P>, relays: &RelayLinks) -> Vec<RelayCandidate> {
    let cell = node.cell.borrow();
    let paused_until = relays.paused_until.borrow();
    let others = cell.nodes.iter().filter(|(name, _)| {
        **name != node.settings.name && !paused_until.contains_key(name.as_str())
    });
    let relay_candidates = others.map(|(name, record)| RelayCandidate {
        name: Arc::from(name.as_str()),
        address: Arc::from(record.address.as_str()),
        data_centre: Arc::from(record.data_centre.as_str()),
        cores_milli: record.cores_milli,
    });
    relay_candidates.collect()
}

/// Returns the link to a relay, and opens one if there is none.
fn get_or_open_link<P: Platform>(
    node: &Rc<Node<P>>,
    term: &Rc<Term<P>>,
    relay: &RelayCandidate,
) -> Rc<RelayLink> {
    if let Some(link) = term.relays.usable_link(&relay.name) {
        return link;
    }
    let number = term.relays.sessions_count.get() + 1;
    term.relays.sessions_count.set(number);
    let session = RelaySession {
        fence: term.fence,
        number,
    };
    let link = RelayLink::new(relay.name.clone(), relay.address.clone(), session);
    link::open(node, term, &link);
    link
}
