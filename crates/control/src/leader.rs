//! A leader's term, from its election to its end.

use crate::caller::Caller;
use crate::commit::CommitLane;
use crate::cordons;
use crate::election::LEADER_LEASE;
use crate::follow::Flow;
use crate::freshness::{belief_limit, Beliefs, Freshness};
use crate::node::{Node, NodeStore};
use crate::platform::Platform;
use crate::relay::RelayLinks;
use crate::store::{LeaseGrant, LeaseId, Store};
use crate::{
    cell_follow, clock, decision_loop, handover, leader_lease, recovery, step_down, watches,
};
use ospreywing_scheduler::{
    Configuration, Event, Forecast, JobId, JobView, Recovered, Scheduler, SchedulerConfig,
    LANES_COUNT,
};
use ospreywing_types::{Duration, Instant};
use slog::info;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::{mpsc, Notify};

/// What is taken off the leader's lease for calls on their way.
pub(crate) const LEASE_MARGIN: Duration = Duration::from_ms(150);
/// How long a resigning leader waits for its open commits.
const RESIGN_LIMIT: Duration = Duration::from_ms(400);

/// A term.
pub struct Leading<P: Platform> {
    /// The fencing token.
    pub fence: u64,
    pub(crate) begun_at: Instant,
    pub(crate) lease: LeaseId,
    /// Until when the lease certainly holds, on this node's clock.
    pub(crate) valid_until: Cell<Instant>,
    /// Since when renewals of the lease are sent without an answer.
    pub(crate) renewal_open_since: Cell<Option<Instant>>,
    pub(crate) is_over: Cell<bool>,
    pub(crate) is_resigned: Cell<bool>,
    pub(crate) ended: Notify,
    pub(crate) scheduler: RefCell<Scheduler>,
    pub(crate) events: mpsc::UnboundedSender<Event>,
    pub(crate) relays: RelayLinks,
    pub(crate) beliefs: Beliefs,
    pub(crate) lanes: Vec<Rc<CommitLane<NodeStore<P>>>>,
    pub(crate) open_commits_count: Cell<usize>,
}

impl<P: Platform> Leading<P> {
    /// Tells the scheduler of something that happened.
    pub fn tell(&self, event: Event) {
        // A term that is over needs to know nothing.
        let _ = self.events.send(event);
    }

    /// Brings a configuration into force.
    pub fn configure(&self, configuration: Configuration) {
        self.tell(Event::Configured(configuration));
    }

    /// Returns whether orders may be given now.
    pub fn may_order(&self) -> bool {
        !self.is_over.get() && clock::now() < self.valid_until.get()
    }

    /// Returns whether the term is over.
    pub fn is_over(&self) -> bool {
        self.is_over.get()
    }

    /// Returns whether to go on following what the store tells.
    pub(crate) fn flow(&self) -> Flow {
        if self.is_over() {
            Flow::Stop
        } else {
            Flow::Continue
        }
    }

    /// Returns the state of a job that a client is shown, where it is open to the client.
    pub fn job_for(&self, caller: &Caller, job: JobId) -> Option<JobView> {
        self.scheduler.borrow().job_for(caller.customer(), job)
    }

    /// Returns the state of a job.
    pub fn job(&self, job: JobId) -> Option<JobView> {
        self.scheduler.borrow().job(job)
    }

    /// Returns how many of a queue's jobs have not begun.
    pub fn pending_count(&self, queue: &str) -> u64 {
        self.scheduler.borrow().pending_count(queue) as u64
    }

    /// Returns what is forecast for jobs that are handed in now.
    pub fn forecast(&self, now: Instant) -> Option<Forecast> {
        self.scheduler.borrow().forecast(now)
    }

    /// Gives up the lead after the commits that are open.
    pub async fn resign(&self) {
        self.is_resigned.set(true);
        let begun = clock::now();
        while self.open_commits_count.get() > 0 && clock::now().since(begun) < RESIGN_LIMIT {
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
        self.end();
    }

    /// Ends the term.
    pub(crate) fn end(&self) {
        self.is_over.set(true);
        self.ended.notify_waiters();
        self.ended.notify_one();
    }
}

/// Returns the ages of a new leader's beliefs, none of which is confirmed.
fn new_beliefs<P: Platform>(node: &Node<P>) -> Beliefs {
    let cordons_limit = belief_limit(node.settings.cordon_limit);
    // A slow store's answers must not hold back what is started.
    let workers_limit = belief_limit(node.settings.drain_limit).max(LEADER_LEASE);
    Beliefs::new(
        Freshness::new("cordons", cordons_limit),
        Freshness::new("workers", workers_limit),
    )
}

/// Leads until the term is over; returns whether the node gave it up itself.
pub async fn lead<P: Platform>(
    node: &Rc<Node<P>>,
    grant: LeaseGrant,
    fence: u64,
    valid_until: Instant,
) -> bool {
    let Some(in_force) = node
        .configuration
        .in_force()
        .filter(|_| !node.is_draining.get())
    else {
        // The lease runs out by itself otherwise.
        let _ = node.store.end_lease(grant.id).await;
        return true;
    };
    let (events, received) = mpsc::unbounded_channel();
    let config = SchedulerConfig::new(fence, node.settings.lease_limit)
        .with_leader_lease(LEADER_LEASE)
        .with_departures(node.settings.stop_grace, node.settings.drain_limit)
        .with_retention(node.settings.retention)
        .with_features(node.settings.features);
    let lanes = (0..LANES_COUNT)
        .map(|lane| CommitLane::new(node.store.clone(), lane, fence, fence))
        .collect();
    let empty = Scheduler::new(
        config,
        in_force.configuration.clone(),
        clock::now(),
        Recovered::default(),
    );
    let leading = Rc::new(Leading::<P> {
        fence,
        begun_at: clock::now(),
        lease: grant.id,
        valid_until: Cell::new(valid_until - LEASE_MARGIN),
        renewal_open_since: Cell::new(None),
        is_over: Cell::new(false),
        is_resigned: Cell::new(false),
        ended: Notify::new(),
        scheduler: RefCell::new(empty),
        events,
        relays: RelayLinks::default(),
        beliefs: new_beliefs(node),
        lanes,
        open_commits_count: Cell::new(0),
    });
    tokio::task::spawn_local(leader_lease::keep_lease(node.clone(), leading.clone()));
    tokio::task::spawn_local(cell_follow::follow_nodes(node.clone(), leading.clone()));
    tokio::task::spawn_local(cell_follow::publish_candidates(
        node.clone(),
        leading.clone(),
    ));
    let recovered = tokio::select! {
        recovered = recovery::recover(node, &leading) => recovered,
        () = step_down::wait_to_step_down(node, &leading) => {
            step_down::log_stepped_down(node, fence, "recovering");
            leading.is_resigned.set(true);
            None
        }
    };
    if let Some((recovered, at)) = recovered {
        info!(node.log, "recovered";
            "jobs" => recovered.jobs.len(), "ended" => recovered.ended.len(), "states" => recovered.states.len(), "at" => at);
        for data_centre in &recovered.cordons {
            info!(node.log, "cordon"; "data_centre" => data_centre.as_ref(), "reason" => "stands");
        }
        let newest = node.configuration.in_force().unwrap_or(in_force);
        let configuration = newest.configuration.clone();
        let mut scheduler = Scheduler::new(config, configuration, clock::now(), recovered);
        let kept = node.learned.take();
        if let Some(learned) = kept.into_learned(clock::now()) {
            info!(node.log, "learned taken over";
                "sizes" => learned.sizes.len(), "speeds" => learned.speeds.len());
            scheduler.restore_learned(clock::now(), &learned);
        }
        *leading.scheduler.borrow_mut() = scheduler;
        *node.leading.borrow_mut() = Some(leading.clone());
        node.metrics.note_term(true);
        if node.is_draining.get() {
            leading.resign().await;
        }
        tokio::task::spawn_local(watches::follow_intake(node.clone(), leading.clone(), at));
        tokio::task::spawn_local(watches::follow_workers(node.clone(), leading.clone()));
        tokio::task::spawn_local(cordons::follow_cordons(node.clone(), leading.clone()));
        tokio::task::spawn_local(handover::hand_on(node.clone(), leading.clone()));
        decision_loop::run(node, &leading, received).await;
        *node.leading.borrow_mut() = None;
        node.metrics.note_term(false);
    }
    leading.is_over.set(true);
    // The lease runs out by itself otherwise.
    let _ = node.store.end_lease(grant.id).await;
    leading.is_resigned.get()
}
