//! The relays of a leader's term.

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
/// How long a relay that did not answer is not used again.
const LOST_RELAY_PAUSE: Duration = Duration::from_ms(3000);
/// For how long the orders to a worker that did not answer through its relay go
/// out directly: long enough for its repeats, so that no worker is taken for
/// silent because of its relay alone.
const BYPASS_TIME: Duration = Duration::from_ms(5000);

/// The relays that a leader uses.
#[derive(Default)]
pub(crate) struct RelayLinks {
    links: RefCell<Vec<Rc<RelayLink>>>,
    by_worker: RefCell<SecondaryMap<WorkerKey, Option<Rc<RelayLink>>>>,
    /// Until when the orders to a worker go out directly.
    bypassed_until: RefCell<HashMap<WorkerKey, Instant>>,
    /// Until when a node is not used.
    paused_until: RefCell<HashMap<Arc<str>, Instant>>,
    sessions_count: Cell<u64>,
    next_choice_at: Cell<Instant>,
}

impl RelayLinks {
    /// Returns the relay that carries the orders of a worker, where one does.
    pub(crate) fn link_for_worker(&self, now: Instant, worker: WorkerKey) -> Option<Rc<RelayLink>> {
        let link = self.by_worker.borrow()[worker].clone()?;
        let detour = self.bypassed_until.borrow().get(&worker).copied();
        let is_detoured = detour.is_some_and(|until| now < until);
        (!is_detoured && !link.is_lost()).then_some(link)
    }

    /// Gives further orders to these relays alone. Others are kept until their last
    /// order is answered, since a node has one session at a time.
    fn set_active(&self, used: Vec<Rc<RelayLink>>) {
        let mut links = self.links.borrow_mut();
        let is_used = |link: &Rc<RelayLink>| used.iter().any(|other| Rc::ptr_eq(other, link));
        links.retain(|link| !link.is_lost() && !is_used(link));
        links.iter().for_each(|link| link.set_retired(true));
        used.iter().for_each(|link| link.set_retired(false));
        links.extend(used);
    }

    /// Takes in that a worker did not answer through its relay.
    pub(crate) fn bypass_relay(&self, now: Instant, worker: WorkerKey) {
        self.bypassed_until
            .borrow_mut()
            .insert(worker, now + BYPASS_TIME);
    }

    /// Takes in that a relay does not answer.
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

/// Chooses the relays anew, where that is due.
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

/// Chooses the relays anew, by the nodes and workers that there are.
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
        candidates(node, relays),
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

/// Returns how many workers each data centre has.
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
fn candidates<P: Platform>(node: &Node<P>, relays: &RelayLinks) -> Vec<RelayCandidate> {
    let cell = node.cell.borrow();
    let paused_until = relays.paused_until.borrow();
    let others = cell.nodes.iter().filter(|(name, _)| {
        **name != node.settings.name && !paused_until.contains_key(name.as_str())
    });
    let candidates = others.map(|(name, record)| RelayCandidate {
        name: Arc::from(name.as_str()),
        address: Arc::from(record.address.as_str()),
        data_centre: Arc::from(record.data_centre.as_str()),
        cores_milli: record.cores_milli,
    });
    candidates.collect()
}

/// Returns the link to a relay, which is made where there is none.
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
