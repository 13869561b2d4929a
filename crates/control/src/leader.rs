//! A leader's term, from its election to its end.

use crate::caller::Caller;
use crate::client_limits::ClientLimits;
use crate::commit::CommitLane;
use crate::cordons;
use crate::election::LEADER_LEASE;
use crate::follow::Flow;
use crate::freshness::{max_view_age, Freshness, StoreViews};
use crate::job_room::{JobRoom, SMALL_JOB_BYTES};
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

/// The margin before the lease's end within which the leader sends nothing, for calls in
/// flight.
pub(crate) const LEASE_MARGIN: Duration = Duration::from_ms(150);
/// How long a resigning leader waits for its open commits.
const RESIGN_TIMEOUT: Duration = Duration::from_ms(400);

/// The state of one term of this node as leader.
pub struct Term<P: Platform> {
    /// The fencing token.
    pub fence: u64,
    pub(crate) started_at: Instant,
    pub(crate) lease: LeaseId,
    /// The instant until which the lease certainly holds, on this node's clock.
    pub(crate) valid_until: Cell<Instant>,
    /// When the first renewal was sent that has had no successful answer since; `None` if the
    /// last one succeeded.
    pub(crate) renewal_open_since: Cell<Option<Instant>>,
    pub(crate) is_over: Cell<bool>,
    pub(crate) is_resigned: Cell<bool>,
    pub(crate) ended: Notify,
    pub(crate) scheduler: RefCell<Scheduler>,
    pub(crate) job_room: RefCell<JobRoom>,
    pub(crate) events: mpsc::UnboundedSender<Event>,
    pub(crate) relays: RelayLinks,
    pub(crate) store_views: StoreViews,
    pub(crate) lanes: Vec<Rc<CommitLane<NodeStore<P>>>>,
    pub(crate) open_commits_count: Cell<usize>,
}

impl<P: Platform> Term<P> {
    /// Sends an event to the scheduler.
    pub fn send_event(&self, event: Event) {
        // Events after the term's end are dropped.
        let _ = self.events.send(event);
    }

    /// Sends a new configuration to the scheduler.
    pub fn configure(&self, configuration: Configuration) {
        self.send_event(Event::Configured(configuration));
    }

    /// Returns whether the leader may send orders now: its lease certainly still holds.
    pub fn may_send_orders(&self) -> bool {
        !self.is_over.get() && clock::now() < self.valid_until.get()
    }

    /// Returns whether the term is over.
    pub fn is_over(&self) -> bool {
        self.is_over.get()
    }

    /// Returns whether the term's followers of the store should continue.
    pub(crate) fn flow(&self) -> Flow {
        if self.is_over() {
            Flow::Stop
        } else {
            Flow::Continue
        }
    }

    /// Returns the state of a job, if the caller may see the job.
    pub fn job_for(&self, caller: &Caller, job: JobId) -> Option<JobView> {
        self.scheduler.borrow().job_for(caller.customer(), job)
    }

    /// Returns the state of a job.
    pub fn job(&self, job: JobId) -> Option<JobView> {
        self.scheduler.borrow().job(job)
    }

    /// Returns how many of a queue's jobs have not started.
    pub fn pending_count(&self, queue: &str) -> u64 {
        self.scheduler.borrow().pending_count(queue) as u64
    }

    /// Returns the forecast for jobs that are submitted now, if services are overloaded.
    pub fn forecast(&self, now: Instant) -> Option<Forecast> {
        self.scheduler.borrow().forecast(now)
    }

    /// Reserves room for a large job before it is accepted; returns whether there is room.
    pub fn reserve_room(&self, now: Instant, job: JobId, bytes: usize) -> bool {
        let scheduler = self.scheduler.borrow();
        let active_bytes = scheduler.large_jobs_bytes(SMALL_JOB_BYTES);
        let is_known = |job| scheduler.job(job).is_some();
        let mut room = self.job_room.borrow_mut();
        room.reserve(now, job, bytes, active_bytes, is_known)
    }

    /// Ends the term after waiting for the open commits.
    pub async fn resign(&self) {
        self.is_resigned.set(true);
        let started_at = clock::now();
        while self.open_commits_count.get() > 0 && clock::now().since(started_at) < RESIGN_TIMEOUT {
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

/// Creates a new leader's store views, none of which is confirmed yet.
fn new_store_views<P: Platform>(node: &Node<P>) -> StoreViews {
    let cordons_limit = max_view_age(node.settings.cordon_limit);
    // The limit is at least the leader lease: a slow store's answers must not pause starts.
    let workers_limit = max_view_age(node.settings.drain_limit).max(LEADER_LEASE);
    StoreViews::new(
        Freshness::new("cordons", cordons_limit),
        Freshness::new("workers", workers_limit),
    )
}

/// Leads until the term is over; returns whether the node resigned.
pub async fn run_term<P: Platform>(
    node: &Rc<Node<P>>,
    grant: LeaseGrant,
    fence: u64,
    valid_until: Instant,
) -> bool {
    let Some(active) = node
        .configuration
        .active()
        .filter(|_| !node.is_draining.get())
    else {
        // If the call fails, the lease expires by itself.
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
        active.configuration.clone(),
        clock::now(),
        Recovered::default(),
    );
    let client_limits = ClientLimits::of_box(node.settings.box_size);
    let term = Rc::new(Term::<P> {
        fence,
        started_at: clock::now(),
        lease: grant.id,
        valid_until: Cell::new(valid_until - LEASE_MARGIN),
        renewal_open_since: Cell::new(None),
        is_over: Cell::new(false),
        is_resigned: Cell::new(false),
        ended: Notify::new(),
        scheduler: RefCell::new(empty),
        job_room: RefCell::new(JobRoom::new(client_limits.jobs_bytes)),
        events,
        relays: RelayLinks::default(),
        store_views: new_store_views(node),
        lanes,
        open_commits_count: Cell::new(0),
    });
    tokio::task::spawn_local(leader_lease::renew_lease(node.clone(), term.clone()));
    tokio::task::spawn_local(cell_follow::follow_nodes(node.clone(), term.clone()));
    tokio::task::spawn_local(cell_follow::publish_candidates(node.clone(), term.clone()));
    let recovered = tokio::select! {
        recovered = recovery::recover(node, &term) => recovered,
        () = step_down::wait_to_step_down(node, &term) => {
            step_down::log_stepped_down(node, fence, "recovering");
            term.is_resigned.set(true);
            None
        }
    };
    if let Some((recovered, at)) = recovered {
        info!(node.log, "recovered";
            "jobs" => recovered.jobs.len(), "ended" => recovered.ended.len(), "states" => recovered.states.len(), "at" => at);
        for data_centre in &recovered.cordons {
            info!(node.log, "cordon"; "data_centre" => data_centre.as_ref(), "reason" => "stands");
        }
        let newest = node.configuration.active().unwrap_or(active);
        let configuration = newest.configuration.clone();
        let mut scheduler = Scheduler::new(config, configuration, clock::now(), recovered);
        let snapshot = node.learned.take();
        if let Some(learned) = snapshot.into_learned(clock::now()) {
            info!(node.log, "learned statistics restored";
                "sizes" => learned.sizes.len(), "speeds" => learned.speeds.len());
            scheduler.restore_learned(clock::now(), &learned);
        }
        *term.scheduler.borrow_mut() = scheduler;
        *node.term.borrow_mut() = Some(term.clone());
        node.metrics.set_leading(true);
        if node.is_draining.get() {
            term.resign().await;
        }
        tokio::task::spawn_local(watches::follow_intake(node.clone(), term.clone(), at));
        tokio::task::spawn_local(watches::follow_workers(node.clone(), term.clone()));
        tokio::task::spawn_local(cordons::follow_cordons(node.clone(), term.clone()));
        tokio::task::spawn_local(handover::send_learned(node.clone(), term.clone()));
        decision_loop::run(node, &term, received).await;
        *node.term.borrow_mut() = None;
        node.metrics.set_leading(false);
    }
    term.is_over.set(true);
    // If the call fails, the lease expires by itself.
    let _ = node.store.end_lease(grant.id).await;
    term.is_resigned.get()
}
