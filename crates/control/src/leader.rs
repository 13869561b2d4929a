//! A leader's term: the scheduler and the loops that feed it.

use crate::commit::{CommitLane, CommitOutcome};
use crate::election::{self, NodeRecord, LANES_COUNT, LEADER_LEASE};
use crate::follow::{follow, read_all, Flow, FollowPolicy, Update};
use crate::keys::IntakeKey;
use crate::node::Node;
use crate::orders;
use crate::peer::{self, PeerReply, PeerRequest};
use crate::platform::Platform;
use crate::store::{Item, LeaseGrant, LeaseId, Revision, Store, StoreError, WatchedChange};
use crate::{clock, keys, requests};
use ospreywing_scheduler::{
    Action, Configuration, Decision, DecisionKind, Event, JobId, JobRecord, JobState, JobView,
    Recovered, Scheduler, SchedulerConfig, WorkerFacts,
};
use ospreywing_types::{Duration, Instant};
use slog::{debug, info, warn, Logger};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{mpsc, Notify};

/// The time between two ticks.
const TICK: Duration = Duration::from_ms(20);
/// The time between two renewals of the leader's lease.
const RENEWAL: Duration = Duration::from_ms(350);
/// What is taken off the leader's lease for calls on their way.
const LEASE_MARGIN: Duration = Duration::from_ms(150);
/// The time without a renewal after which the store is in trouble.
const TROUBLE_AFTER: Duration = Duration::from_ms(800);
/// Failed attempts to recover after which another node may try.
const RECOVERIES_LIMIT_COUNT: usize = 3;
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

/// How the intake is followed: nodes tell the leader of what they took, so
/// this finds only what such a message did not bring.
const INTAKE_POLICY: FollowPolicy = FollowPolicy {
    wait: Duration::from_ms(1500),
    refresh: None,
    pace: Duration::from_ms(400),
};

/// How the list of workers is followed.
const WORKERS_POLICY: FollowPolicy = FollowPolicy {
    wait: Duration::from_ms(2000),
    refresh: Some(Duration::from_ms(10_000)),
    pace: Duration::from_ms(400),
};

/// A term.
pub struct Leading<P: Platform> {
    /// The fencing token.
    pub fence: u64,
    lease: LeaseId,
    /// Until when the lease certainly holds, on this node's clock.
    valid_until: Cell<Instant>,
    renewed_at: Cell<Instant>,
    is_over: Cell<bool>,
    is_resigned: Cell<bool>,
    ended: Notify,
    scheduler: RefCell<Scheduler>,
    events: mpsc::UnboundedSender<Event>,
    lanes: Vec<Rc<CommitLane<P::Store>>>,
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
    if let Some((recovered, at)) = recover(node, &leading).await {
        info!(node.log, "recovered";
            "jobs" => recovered.jobs.len(), "states" => recovered.states.len(), "at" => at);
        let configuration = node.in_force().unwrap_or(in_force).configuration.clone();
        let scheduler = Scheduler::new(config, configuration, clock::now(), recovered);
        *leading.scheduler.borrow_mut() = scheduler;
        *node.leading.borrow_mut() = Some(leading.clone());
        if node.is_draining.get() {
            leading.resign().await;
        }
        tokio::task::spawn_local(follow_intake(node.clone(), leading.clone(), at));
        tokio::task::spawn_local(follow_workers(node.clone(), leading.clone()));
        run(node, &leading, received).await;
        *node.leading.borrow_mut() = None;
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

/// Reads what the store keeps; `None` where the term is over before.
async fn recover<P: Platform>(
    node: &Rc<Node<P>>,
    leading: &Rc<Leading<P>>,
) -> Option<(Recovered, Revision)> {
    for _ in 0..RECOVERIES_LIMIT_COUNT {
        if leading.is_over() {
            return None;
        }
        match read_recovered(node).await {
            Ok(found) => return Some(found),
            Err(error) => {
                warn!(node.log, "recovery failed"; "error" => error.to_string());
                tokio::time::sleep(RETRY.into()).await;
            }
        }
    }
    None
}

async fn read_recovered<P: Platform>(
    node: &Rc<Node<P>>,
) -> Result<(Recovered, Revision), StoreError> {
    // Both at once: a slow store makes each page long.
    let intake = read_all(&node.store, keys::INTAKE_PREFIX);
    let states = read_all(&node.store, keys::STATE_PREFIX);
    let (intake, states) = tokio::join!(intake, states);
    let ((mut intake, at), (states, _)) = (intake?, states?);
    // The order in which jobs were accepted.
    intake.sort_by_key(|item| item.revision);
    let mut recovered = Recovered {
        wall_ms: clock::wall_ms(),
        ..Recovered::default()
    };
    for item in &intake {
        match keys::parse_intake(&item.key) {
            Some(IntakeKey::Job(id)) => match JobRecord::from_bytes(&item.value) {
                Ok(record) => recovered.jobs.push((id, record)),
                Err(error) => damaged(&node.log, &item.key, &error.to_string()),
            },
            Some(IntakeKey::Cancel(id)) => recovered.cancels.push(id),
            None => damaged(&node.log, &item.key, "unknown key"),
        }
    }
    for item in &states {
        let state = JobState::from_bytes(&item.value);
        match (keys::parse_state(&item.key), state) {
            (Some(id), Ok(state)) => recovered.states.push((id, state)),
            (_, Err(error)) => damaged(&node.log, &item.key, &error.to_string()),
            (None, _) => damaged(&node.log, &item.key, "unknown key"),
        }
    }
    Ok((recovered, at))
}

fn damaged(log: &Logger, key: &str, error: &str) {
    warn!(log, "stored item can't be read"; "key" => key, "error" => error);
}

async fn follow_intake<P: Platform>(node: Rc<Node<P>>, leading: Rc<Leading<P>>, at: Revision) {
    let store = node.store.clone();
    follow(
        store,
        keys::INTAKE_PREFIX,
        INTAKE_POLICY,
        Some(at),
        |update| {
            match update {
                Update::Snapshot(items) => {
                    node.note_contact();
                    items.iter().for_each(|item| learn_intake(&leading, item));
                }
                Update::Changes(changes) => {
                    node.note_contact();
                    for change in &changes {
                        if let WatchedChange::Put(item) = change {
                            learn_intake(&leading, item);
                        }
                    }
                }
                Update::Unchanged => node.note_contact(),
                Update::Failed(error) => {
                    warn!(node.log, "store call failed";
                    "what" => "intake", "error" => error.to_string());
                }
            }
            flow_of(&leading)
        },
    )
    .await;
}

fn flow_of<P: Platform>(leading: &Leading<P>) -> Flow {
    if leading.is_over() {
        Flow::Stop
    } else {
        Flow::Continue
    }
}

fn learn_intake<P: Platform>(leading: &Leading<P>, item: &Item) {
    match keys::parse_intake(&item.key) {
        Some(IntakeKey::Job(job)) if leading.job(job).is_none() => {
            if let Ok(record) = JobRecord::from_bytes(&item.value) {
                let record = Box::new(record);
                leading.tell(Event::JobAccepted { job, record });
            }
        }
        Some(IntakeKey::Cancel(job)) => leading.tell(Event::CancelAccepted { job }),
        _ => {}
    }
}

async fn follow_workers<P: Platform>(node: Rc<Node<P>>, leading: Rc<Leading<P>>) {
    let mut known: BTreeMap<String, WorkerFacts> = BTreeMap::new();
    let store = node.store.clone();
    let prefix = node.platform.workers_prefix();
    follow(store, prefix, WORKERS_POLICY, None, |update| {
        let has_changed = match update {
            Update::Snapshot(items) => {
                let read = items.iter().filter_map(|item| read_worker(&node, item));
                let read: BTreeMap<_, _> = read.collect();
                let has_changed = read != known;
                known = read;
                has_changed
            }
            Update::Changes(changes) => {
                let before = known.clone();
                for change in changes {
                    match change {
                        WatchedChange::Put(item) => known.extend(read_worker(&node, &item)),
                        WatchedChange::Gone { key } => {
                            known.remove(&key);
                        }
                    }
                }
                before != known
            }
            Update::Unchanged => false,
            Update::Failed(error) => {
                warn!(node.log, "store call failed";
                    "what" => "workers", "error" => error.to_string());
                return flow_of(&leading);
            }
        };
        node.note_contact();
        if has_changed {
            leading.tell(Event::WorkersListed(known.values().cloned().collect()));
        }
        flow_of(&leading)
    })
    .await;
}

fn read_worker<P: Platform>(node: &Node<P>, item: &Item) -> Option<(String, WorkerFacts)> {
    match node.platform.parse_worker(&item.key, &item.value) {
        Ok(facts) => Some((item.key.clone(), facts)),
        Err(error) => {
            damaged(&node.log, &item.key, &error.to_string());
            None
        }
    }
}

/// What the loop of a term keeps from one batch of events to the next.
struct Feed {
    received: mpsc::UnboundedReceiver<Event>,
    actions: Vec<Action>,
    has_trouble: bool,
    nodes: Vec<Arc<str>>,
}

/// Feeds the scheduler until the term is over.
async fn run<P: Platform>(
    node: &Rc<Node<P>>,
    leading: &Rc<Leading<P>>,
    received: mpsc::UnboundedReceiver<Event>,
) {
    let mut ticks = tokio::time::interval(TICK.into());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let begun = clock::now();
    let mut feed = Feed {
        received,
        actions: Vec::new(),
        has_trouble: false,
        nodes: Vec::new(),
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
        if clock::now().since(begun) >= GIVE_WAY_AFTER && should_give_way(node, leading) {
            info!(node.log, "lead given up"; "reason" => "a much stronger node lives");
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
    let wall_clock = Event::WallClock(clock::wall_ms());
    scheduler.handle(now, wall_clock, &mut feed.actions);
    let nodes = node.names();
    if nodes != feed.nodes {
        feed.nodes.clone_from(&nodes);
        scheduler.handle(now, Event::NodesListed(nodes), &mut feed.actions);
    }
}

/// Returns whether a much stronger node should lead instead.
fn should_give_way<P: Platform>(node: &Rc<Node<P>>, leading: &Rc<Leading<P>>) -> bool {
    let own = NodeRecord {
        address: node.settings.peer_address.to_string(),
        cores_milli: node.settings.cores_milli,
    };
    leading.may_order() && election::is_much_weaker(&own, &node.cell.borrow().nodes)
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
        Action::Log(decision) => log_decision(&node.log, leading.fence, &decision),
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
