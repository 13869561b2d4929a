//! The relays of a leader's term.

use crate::leader::Leading;
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
const LOST_PAUSE: Duration = Duration::from_ms(3000);
/// For how long the orders to a worker that did not answer through its relay go
/// out directly: long enough for its repeats, so that no worker is taken for
/// silent because of its relay alone.
const DETOUR_TIME: Duration = Duration::from_ms(5000);

/// The relays that a leader uses.
#[derive(Default)]
pub(crate) struct RelayLinks {
    links: RefCell<Vec<Rc<RelayLink>>>,
    by_worker: RefCell<SecondaryMap<WorkerKey, Option<Rc<RelayLink>>>>,
    /// Until when the orders to a worker go out directly.
    detours: RefCell<HashMap<WorkerKey, Instant>>,
    /// Until when a node is not used.
    paused: RefCell<HashMap<Arc<str>, Instant>>,
    sessions_count: Cell<u64>,
    next_choice_at: Cell<Instant>,
}

impl RelayLinks {
    /// Returns the relay that carries the orders of a worker, where one does.
    pub(crate) fn link_of(&self, now: Instant, worker: WorkerKey) -> Option<Rc<RelayLink>> {
        let link = self.by_worker.borrow()[worker].clone()?;
        let detour = self.detours.borrow().get(&worker).copied();
        let is_detoured = detour.is_some_and(|until| now < until);
        (!is_detoured && !link.is_lost()).then_some(link)
    }

    /// Gives further orders to these relays alone. Others are kept until their last
    /// order is answered, since a node has one session at a time.
    fn use_only(&self, used: Vec<Rc<RelayLink>>) {
        let mut links = self.links.borrow_mut();
        let is_used = |link: &Rc<RelayLink>| used.iter().any(|other| Rc::ptr_eq(other, link));
        links.retain(|link| !link.is_lost() && !is_used(link));
        links.iter().for_each(|link| link.set_retired(true));
        used.iter().for_each(|link| link.set_retired(false));
        links.extend(used);
    }

    /// Takes in that a worker did not answer through its relay.
    pub(crate) fn note_unanswered(&self, now: Instant, worker: WorkerKey) {
        self.detours.borrow_mut().insert(worker, now + DETOUR_TIME);
    }

    /// Takes in that a relay does not answer.
    pub(crate) fn note_lost(&self, name: &Arc<str>) {
        let until = crate::clock::now() + LOST_PAUSE;
        self.paused.borrow_mut().insert(name.clone(), until);
    }

    fn link_to(&self, name: &str) -> Option<Rc<RelayLink>> {
        let links = self.links.borrow();
        let mut usable = links.iter().filter(|link| !link.is_lost());
        usable.find(|link| *link.name == *name).cloned()
    }
}

/// Chooses the relays anew, where that is due.
pub(crate) fn choose_where_due<P: Platform>(
    node: &Rc<Node<P>>,
    leading: &Rc<Leading<P>>,
    scheduler: &Scheduler,
    now: Instant,
) {
    if now >= leading.relays.next_choice_at.get() {
        choose(node, leading, scheduler, now);
    }
}

/// Chooses the relays anew, by the nodes and workers that there are.
pub(crate) fn choose<P: Platform>(
    node: &Rc<Node<P>>,
    leading: &Rc<Leading<P>>,
    scheduler: &Scheduler,
    now: Instant,
) {
    let relays = &leading.relays;
    relays.next_choice_at.set(now + CHOICE_PERIOD);
    relays.detours.borrow_mut().retain(|_, until| now < *until);
    relays.paused.borrow_mut().retain(|_, until| now < *until);
    let workers_counts = count_workers(scheduler);
    let assignment = Assignment::new(
        candidates(node, relays),
        &workers_counts,
        node.settings.relays_min_workers_count,
    );
    let links: Vec<Rc<RelayLink>> = assignment
        .relays
        .values()
        .map(|relay| link_for(node, leading, relay))
        .collect();
    node.metrics.note_relays(links.len());
    let mut by_worker = SecondaryMap::new();
    for (key, facts) in scheduler.listed_workers() {
        let relay = assignment.relay_of(&facts.id, &facts.data_centre);
        by_worker[key] = relay.map(|relay| links[relay.index()].clone());
    }
    *relays.by_worker.borrow_mut() = by_worker;
    relays.use_only(links);
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
    let paused = relays.paused.borrow();
    let others = cell
        .nodes
        .iter()
        .filter(|(name, _)| **name != node.settings.name && !paused.contains_key(name.as_str()));
    let candidates = others.map(|(name, record)| RelayCandidate {
        name: Arc::from(name.as_str()),
        address: Arc::from(record.address.as_str()),
        data_centre: Arc::from(record.data_centre.as_str()),
        cores_milli: record.cores_milli,
    });
    candidates.collect()
}

/// Returns the link to a relay, which is made where there is none.
fn link_for<P: Platform>(
    node: &Rc<Node<P>>,
    leading: &Rc<Leading<P>>,
    relay: &RelayCandidate,
) -> Rc<RelayLink> {
    if let Some(link) = leading.relays.link_to(&relay.name) {
        return link;
    }
    let number = leading.relays.sessions_count.get() + 1;
    leading.relays.sessions_count.set(number);
    let session = RelaySession {
        fence: leading.fence,
        number,
    };
    let link = RelayLink::new(relay.name.clone(), relay.address.clone(), session);
    link::open(node, leading, &link);
    link
}
