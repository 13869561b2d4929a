//! A leader's term: the scheduler and the loops that feed it.

use crate::commit::{CommitLane, CommitOutcome};
use crate::election::{self, LEADER_LEASE};
use crate::metered::MeteredStore;
use crate::node::Node;
use crate::orders;
use crate::peer::{self, PeerReply, PeerRequest};
use crate::platform::Platform;
use crate::store::{LeaseGrant, LeaseId, Store, StoreError};
use crate::{clock, feeds, recovery, requests};
use ospreywing_scheduler::{
    Action, Configuration, Decision, DecisionKind, Event, JobId, JobView, Recovered, Scheduler,
    SchedulerConfig, SchedulerStatus, LANES_COUNT,
};
use ospreywing_types::{Duration, Instant};
use slog::{debug, info, warn, Logger};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{mpsc, Notify};

/// The time between two lines with sizes.
const STATUS_PERIOD: Duration = Duration::from_s(5);
/// The time between two ticks.
const TICK: Duration = Duration::from_ms(20);
/// The time between two renewals of the leader's lease.
const RENEWAL: Duration = Duration::from_ms(350);
/// What is taken off the leader's lease for calls on their way.
const LEASE_MARGIN: Duration = Duration::from_ms(150);
/// The time without a renewal after which the store is in trouble.
const TROUBLE_AFTER: Duration = Duration::from_ms(800);
/// How long a node leads before it gives way to a much stronger one.
const GIVE_WAY_AFTER: Duration = Duration::from_ms(4000);
/// Failed renewals in a row after which the lead is handed over.
const HAND_OVER_AFTER_COUNT: u32 = 2;
/// Failed renewals after which that is tried again.
const HAND_OVER_PERIOD_COUNT: u32 = 6;
/// How long another node may take to end the lease.
const HAND_OVER_LIMIT: Duration = Duration::from_ms(300);
/// The time until something that failed is tried again.
const RETRY: Duration = Duration::from_ms(100);
/// How long a resigning leader waits for its open commits.
const RESIGN_LIMIT: Duration = Duration::from_ms(400);

/// A term.
pub struct Leading<P: Platform> {
    /// The fencing token.
    pub fence: u64,
    begun_at: Instant,
    lease: LeaseId,
    /// Until when the lease certainly holds, on this node's clock.
    valid_until: Cell<Instant>,
    renewed_at: Cell<Instant>,
    is_over: Cell<bool>,
    is_resigned: Cell<bool>,
    ended: Notify,
    scheduler: RefCell<Scheduler>,
    events: mpsc::UnboundedSender<Event>,
    lanes: Vec<Rc<CommitLane<MeteredStore<P::Store>>>>,
    open_commits_count: Cell<usize>,
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

    /// Returns a job as clients may see it.
    pub fn job(&self, job: JobId) -> Option<JobView> {
        self.scheduler.borrow().job(job)
    }

    /// Returns how many of a queue's jobs have not begun.
    pub fn pending_count(&self, queue: &str) -> u64 {
        self.scheduler.borrow().pending_count(queue) as u64
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

    fn end(&self) {
        self.is_over.set(true);
        self.ended.notify_waiters();
        self.ended.notify_one();
    }
}

/// Leads until the term is over; returns whether the node gave it up itself.
pub async fn lead<P: Platform>(
    node: &Rc<Node<P>>,
    grant: LeaseGrant,
    fence: u64,
    valid_until: Instant,
) -> bool {
    let Some(in_force) = node.in_force().filter(|_| !node.is_draining.get()) else {
        // The lease runs out by itself otherwise.
        let _ = node.store.end_lease(grant.id).await;
        return true;
    };
    let (events, received) = mpsc::unbounded_channel();
    let config = SchedulerConfig::new(fence, node.settings.grant_limit)
        .with_leader_lease(LEADER_LEASE)
        .with_retention(node.settings.retention);
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
        renewed_at: Cell::new(clock::now()),
        is_over: Cell::new(false),
        is_resigned: Cell::new(false),
        ended: Notify::new(),
        scheduler: RefCell::new(empty),
        events,
        lanes,
        open_commits_count: Cell::new(0),
    });
    tokio::task::spawn_local(keep_lease(node.clone(), leading.clone()));
    let recovered = tokio::select! {
        recovered = recovery::recover(node, &leading) => recovered,
        () = wait_to_give_way(node, &leading) => {
            log_given_up(node, fence, "recovering");
            leading.is_resigned.set(true);
            None
        }
    };
    if let Some((recovered, at)) = recovered {
        info!(node.log, "recovered";
            "jobs" => recovered.jobs.len(), "ended" => recovered.ended.len(), "states" => recovered.states.len(), "at" => at);
        let configuration = node.in_force().unwrap_or(in_force).configuration.clone();
        let scheduler = Scheduler::new(config, configuration, clock::now(), recovered);
        *leading.scheduler.borrow_mut() = scheduler;
        *node.leading.borrow_mut() = Some(leading.clone());
        node.metrics.note_term(true);
        if node.is_draining.get() {
            leading.resign().await;
        }
        tokio::task::spawn_local(feeds::follow_intake(node.clone(), leading.clone(), at));
        tokio::task::spawn_local(feeds::follow_workers(node.clone(), leading.clone()));
        run(node, &leading, received).await;
        *node.leading.borrow_mut() = None;
        node.metrics.note_term(false);
    }
    leading.is_over.set(true);
    // The lease runs out by itself otherwise.
    let _ = node.store.end_lease(grant.id).await;
    leading.is_resigned.get()
}

async fn keep_lease<P: Platform>(node: Rc<Node<P>>, leading: Rc<Leading<P>>) {
    let mut failures_count = 0;
    while !leading.is_over() {
        let pause = if failures_count == 0 { RENEWAL } else { RETRY };
        tokio::time::sleep(pause.into()).await;
        let sent_at = clock::now();
        match node.store.keep_lease(leading.lease).await {
            Ok(()) => {
                node.note_contact();
                failures_count = 0;
                leading.renewed_at.set(clock::now());
                leading
                    .valid_until
                    .set((sent_at + LEADER_LEASE) - LEASE_MARGIN);
            }
            Err(StoreError::LeaseOver) => {
                warn!(node.log, "leader's lease lost"; "fence" => leading.fence);
                leading.end();
            }
            Err(error) => {
                warn!(node.log, "leader's lease not renewed"; "error" => error.to_string());
                failures_count += 1;
                if failures_count % HAND_OVER_PERIOD_COUNT == HAND_OVER_AFTER_COUNT {
                    hand_over(&node, &leading).await;
                }
            }
        }
    }
}

/// Has another node end the lease, where the store answers that node: a
/// leader that can't commit is none, and the others need not wait for its
/// lease to run out.
async fn hand_over<P: Platform>(node: &Rc<Node<P>>, leading: &Rc<Leading<P>>) {
    let request = PeerRequest::EndLease(leading.lease);
    for address in requests::other_nodes(node) {
        let reply = peer::call(&node.peers, &address, &request, HAND_OVER_LIMIT).await;
        if matches!(reply, Ok(PeerReply::Ended)) {
            info!(node.log, "lead handed over"; "fence" => leading.fence, "through" => address);
            leading.end();
            return;
        }
    }
}

/// What the loop of a term keeps from one batch of events to the next.
struct Feed {
    received: mpsc::UnboundedReceiver<Event>,
    actions: Vec<Action>,
    has_trouble: bool,
    nodes: Vec<Arc<str>>,
    next_status_at: Instant,
}

/// Feeds the scheduler until the term is over.
async fn run<P: Platform>(
    node: &Rc<Node<P>>,
    leading: &Rc<Leading<P>>,
    received: mpsc::UnboundedReceiver<Event>,
) {
    let mut ticks = tokio::time::interval(TICK.into());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut feed = Feed {
        received,
        actions: Vec::new(),
        has_trouble: false,
        nodes: Vec::new(),
        next_status_at: clock::now() + STATUS_PERIOD,
    };
    while !leading.is_over() {
        let first = tokio::select! {
            event = feed.received.recv() => event,
            _ = ticks.tick() => Some(Event::Tick),
            () = leading.ended.notified() => return,
        };
        let Some(first) = first else {
            return;
        };
        handle_batch(node, leading, &mut feed, first);
        if should_give_way(node, leading) {
            log_given_up(node, leading.fence, "leading");
            leading.resign().await;
        }
    }
}

/// Takes in an event and those that wait behind it, and carries out what follows.
fn handle_batch<P: Platform>(
    node: &Rc<Node<P>>,
    leading: &Rc<Leading<P>>,
    feed: &mut Feed,
    first: Event,
) {
    let now = clock::now();
    let mut scheduler = leading.scheduler.borrow_mut();
    if matches!(first, Event::Tick) {
        tell_surroundings(node, leading, feed, &mut scheduler);
    }
    scheduler.handle(now, first, &mut feed.actions);
    while let Ok(event) = feed.received.try_recv() {
        scheduler.handle(now, event, &mut feed.actions);
    }
    if leading.may_order() && !leading.is_resigned.get() {
        scheduler.settle(now, &mut feed.actions);
    }
    drop(scheduler);
    for action in feed.actions.drain(..) {
        carry_out(node, leading, action);
    }
}

/// Tells the scheduler of the store, the clock and the nodes, where they changed.
fn tell_surroundings<P: Platform>(
    node: &Rc<Node<P>>,
    leading: &Rc<Leading<P>>,
    feed: &mut Feed,
    scheduler: &mut Scheduler,
) {
    let now = clock::now();
    let has_trouble = now.since(leading.renewed_at.get()) > TROUBLE_AFTER;
    if has_trouble != feed.has_trouble {
        feed.has_trouble = has_trouble;
        info!(node.log, "store trouble"; "has_trouble" => has_trouble);
        scheduler.handle(now, Event::StoreTrouble(has_trouble), &mut feed.actions);
    }
    if now >= feed.next_status_at {
        feed.next_status_at = now + STATUS_PERIOD;
        let status = scheduler.status(now);
        node.metrics.note_status(&status);
        log_status(&node.log, &status);
    }
    let wall_clock = Event::WallClock(clock::wall_ms());
    scheduler.handle(now, wall_clock, &mut feed.actions);
    let nodes = node.names();
    if nodes != feed.nodes {
        feed.nodes.clone_from(&nodes);
        scheduler.handle(now, Event::NodesListed(nodes), &mut feed.actions);
    }
}

fn log_status(log: &Logger, status: &SchedulerStatus) {
    info!(log, "status";
        "active_jobs" => status.active_jobs_count,
        "jobs" => status.jobs_count,
        "runs" => status.runs_count,
        "workers" => status.listed_workers_count,
        "placeable_workers" => status.placeable_workers_count,
        "capacity_milli" => status.capacity_milli,
        "used_milli" => status.used_milli,
        "waiting_gangs" => status.waiting_gangs_count,
        "awaited_workers" => status.awaited_workers_count);
}

/// Returns whether a much stronger node should lead instead: one that has come
/// since the election, or after a while one that is still there.
fn should_give_way<P: Platform>(node: &Rc<Node<P>>, leading: &Rc<Leading<P>>) -> bool {
    let own = election::membership_record(node);
    let view = node.cell.borrow();
    let is_settled = clock::now().since(leading.begun_at) >= GIVE_WAY_AFTER;
    let is_weaker = election::has_stronger_joined(&own, &view, leading.fence)
        || is_settled && election::is_much_weaker(&own, &view.nodes);
    leading.may_order() && is_weaker
}

/// Returns once the lead should be given up to a much stronger node.
async fn wait_to_give_way<P: Platform>(node: &Rc<Node<P>>, leading: &Rc<Leading<P>>) {
    loop {
        let changed = node.cell_changed.notified();
        if should_give_way(node, leading) {
            return;
        }
        // A view that grows old is noticed by the clock.
        let _ = tokio::time::timeout(RETRY.into(), changed).await;
    }
}

fn log_given_up<P: Platform>(node: &Node<P>, fence: u64, stage: &'static str) {
    info!(node.log, "lead given up";
        "reason" => "a much stronger node lives", "stage" => stage, "fence" => fence);
}

fn carry_out<P: Platform>(node: &Rc<Node<P>>, leading: &Rc<Leading<P>>, action: Action) {
    match action {
        Action::Commit { lane, changes } => {
            let commits = leading.open_commits_count.get();
            leading.open_commits_count.set(commits + 1);
            let (node, leading) = (node.clone(), leading.clone());
            tokio::task::spawn_local(async move {
                let writer = leading.lanes[lane as usize].clone();
                let outcome = writer.commit(changes, || leading.is_over()).await;
                let commits = leading.open_commits_count.get();
                leading.open_commits_count.set(commits - 1);
                match outcome {
                    CommitOutcome::Done => leading.tell(Event::Committed { lane }),
                    CommitOutcome::Lost => {
                        warn!(node.log, "commit lost"; "lane" => lane, "fence" => leading.fence);
                        leading.end();
                    }
                }
            });
        }
        Action::Start { to, order } => orders::start(node, leading, to, order),
        Action::Stop { to, task, run } => orders::stop(node, leading, to, task, run),
        Action::Hold {
            to,
            until_ms,
            last_seen,
            wait,
        } => orders::hold(node, leading, to, until_ms, last_seen, wait),
        Action::Advise {
            step,
            workers,
            node: asker,
            expected,
        } => orders::advise(node, leading, step, workers, &asker, expected),
        Action::StepDown => {
            warn!(node.log, "fenced by a newer leader"; "fence" => leading.fence);
            leading.end();
        }
        Action::Log(decision) => {
            node.metrics.note_decision(&decision);
            log_decision(&node.log, leading.fence, &decision);
        }
    }
}

fn log_decision(log: &Logger, fence: u64, decision: &Decision) {
    let kind = decision.kind.as_str();
    let worker: &str = decision
        .worker
        .as_ref()
        .map_or("", |worker: &Arc<str>| worker);
    match (decision.task, decision.job) {
        (Some(task), _) => info!(log, "{}", kind;
            "task" => %task, "run" => decision.run, "worker" => worker,
            "reason" => decision.reason, "figure" => decision.figure, "fence" => fence),
        (None, Some(job)) => info!(log, "{}", kind;
            "job" => %job, "worker" => worker, "reason" => decision.reason, "figure" => decision.figure),
        (None, None) if decision.kind == DecisionKind::WorkerListed => {
            debug!(log, "{}", kind; "worker" => worker, "reason" => decision.reason);
        }
        (None, None) => info!(log, "{}", kind;
            "worker" => worker, "reason" => decision.reason, "figure" => decision.figure),
    }
}
