//! The event loop of a term: passes events to the scheduler and executes its actions.

use crate::clock;
use crate::commit::CommitOutcome;
use crate::decision_log::{log_decision, log_status};
use crate::lateness::Lateness;
use crate::leader::Term;
use crate::node::Node;
use crate::orders;
use crate::platform::{Platform, WorkerPoll};
use crate::relay::links;
use crate::relay::message::Order;
use crate::step_down;
use ospreywing_scheduler::{Action, Change, Event, Scheduler, WorkerChange};
use ospreywing_types::{Duration, Instant};
use slog::{info, warn};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::mpsc;

/// The time between two log lines with the scheduler's status.
const STATUS_PERIOD: Duration = Duration::from_s(5);
/// The time between two ticks.
const TICK: Duration = Duration::from_ms(20);
/// The time without a tick after which the process is taken to have been suspended or
/// starved of its processor.
const STALL_THRESHOLD: Duration = Duration::from_ms(250);
/// How long the loop then waits for pending input before it decides; answers take some
/// milliseconds.
const CATCH_UP_TIME: Duration = Duration::from_ms(10);
/// How long a renewal of the leader lease may be unanswered before the store is taken
/// to be degraded. The store usually answers within some milliseconds. The loop's own
/// lateness is added twice: for the request and for the answer.
const RENEWAL_TROUBLE_AFTER: Duration = Duration::from_ms(100);
const LATENESS_FACTOR: u64 = 2;

/// The state of the event loop between two batches of events.
struct EventLoop {
    received: mpsc::UnboundedReceiver<Event>,
    actions: Vec<Action>,
    is_store_degraded: bool,
    lateness: Lateness,
    nodes: Vec<Arc<str>>,
    next_status_at: Instant,
    /// When the last batch of events was handled.
    handled_at: Instant,
}

/// Passes events to the scheduler until the term is over.
pub(crate) async fn run<P: Platform>(
    node: &Rc<Node<P>>,
    term: &Rc<Term<P>>,
    received: mpsc::UnboundedReceiver<Event>,
) {
    let mut ticks = tokio::time::interval(TICK.into());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut state = EventLoop {
        received,
        actions: Vec::new(),
        is_store_degraded: false,
        lateness: Lateness::new(clock::now(), TICK),
        nodes: Vec::new(),
        next_status_at: clock::now() + STATUS_PERIOD,
        handled_at: clock::now(),
    };
    while !term.is_over() {
        let first = tokio::select! {
            event = state.received.recv() => event,
            _ = ticks.tick() => Some(Event::Tick),
            () = term.ended.notified() => return,
        };
        let Some(first) = first else {
            return;
        };
        let is_tick = matches!(first, Event::Tick);
        if clock::now().since(state.handled_at) >= STALL_THRESHOLD {
            // Pending input is read before deciding: it may hold a newer configuration.
            tokio::time::sleep(CATCH_UP_TIME.into()).await;
        }
        handle_batch(node, term, &mut state, first);
        state.handled_at = clock::now();
        if is_tick && step_down::should_step_down(node, term) {
            step_down::log_stepped_down(node, term.fence, "leading");
            term.resign().await;
        }
    }
}

/// Handles an event and all that are queued behind it, and executes the resulting actions.
fn handle_batch<P: Platform>(
    node: &Rc<Node<P>>,
    term: &Rc<Term<P>>,
    state: &mut EventLoop,
    first: Event,
) {
    let now = clock::now();
    let mut scheduler = term.scheduler.borrow_mut();
    if matches!(first, Event::Tick) {
        update_environment(node, term, state, &mut scheduler);
    }
    let mut events = vec![first];
    while let Ok(event) = state.received.try_recv() {
        events.push(event);
    }
    let have_workers_joined = events.iter().any(may_list_new_workers);
    if let Some(is_outdated) = term.store_views.update_starts_paused(now, &node.log) {
        events.push(Event::StartsHeld(is_outdated));
    }
    scheduler.handle_all(now, events, &mut state.actions);
    if have_workers_joined {
        // The first poll of a worker goes through its relay too.
        links::choose_relays(node, term, &scheduler, now);
    }
    if term.may_send_orders() && !term.is_resigned.get() {
        scheduler.settle(now, &mut state.actions);
    }
    drop(scheduler);
    for action in state.actions.drain(..) {
        execute_action(node, term, action);
    }
}

/// Returns whether an event may list workers that were not listed before.
fn may_list_new_workers(event: &Event) -> bool {
    let may_be_new = |change: &WorkerChange| match change {
        WorkerChange::Listed(facts) => !facts.is_draining,
        WorkerChange::Unlisted(_) => false,
    };
    match event {
        Event::WorkersListed(_) => true,
        Event::WorkersChanged(changes) => changes.iter().any(may_be_new),
        _ => false,
    }
}

/// Updates the scheduler's view of the store's health, the clock and the live nodes, and
/// periodically the metrics and the status log.
fn update_environment<P: Platform>(
    node: &Rc<Node<P>>,
    term: &Rc<Term<P>>,
    state: &mut EventLoop,
    scheduler: &mut Scheduler,
) {
    let now = clock::now();
    state.lateness.record_tick(now);
    let is_store_degraded = is_store_degraded(now, term, state.lateness.current());
    if is_store_degraded != state.is_store_degraded {
        state.is_store_degraded = is_store_degraded;
        info!(node.log, "store health changed"; "has_trouble" => is_store_degraded);
        scheduler.handle(
            now,
            Event::StoreTrouble(is_store_degraded),
            &mut state.actions,
        );
    }
    if now >= state.next_status_at {
        state.next_status_at = now + STATUS_PERIOD;
        let status = scheduler.status(now);
        node.metrics.set_status(&status);
        node.metrics.set_forecast(scheduler.forecast(now).as_ref());
        node.metrics
            .set_worker_list_age(term.store_views.workers.age(now));
        node.metrics.set_lateness(state.lateness.current());
        log_status(&node.log, &status);
    }
    let wall_clock = Event::WallClock(clock::wall_ms());
    scheduler.handle(now, wall_clock, &mut state.actions);
    links::choose_if_due(node, term, scheduler, now);
    if !node.matches_node_names(&state.nodes) {
        state.nodes = node.names();
        let listed = Event::NodesListed(state.nodes.clone());
        scheduler.handle(now, listed, &mut state.actions);
    }
}

/// Returns whether the store has left a renewal unanswered for longer than this node's
/// own lateness explains.
fn is_store_degraded<P: Platform>(now: Instant, term: &Term<P>, lateness: Duration) -> bool {
    let limit = RENEWAL_TROUBLE_AFTER + lateness.times(LATENESS_FACTOR);
    let unanswered = term.renewal_open_since.get();
    unanswered.is_some_and(|since| now.since(since) > limit)
}

fn execute_action<P: Platform>(node: &Rc<Node<P>>, term: &Rc<Term<P>>, action: Action) {
    match action {
        Action::Commit { lane, changes } => commit(node, term, lane, changes),
        Action::Start { to, order } => orders::send_order(node, term, to, Order::Start(order)),
        Action::Stop { to, task, run } => {
            orders::send_order(node, term, to, Order::Stop { task, run });
        }
        Action::Hold {
            to,
            until_ms,
            last_seen,
            wait,
            patience,
        } => {
            let poll = WorkerPoll {
                until_ms,
                last_seen,
                wait,
                patience,
            };
            orders::send_order(node, term, to, Order::Hold(poll));
        }
        Action::Advise {
            step,
            workers,
            node: adviser_node,
            expected,
        } => orders::request_advice(node, term, step, workers, &adviser_node, expected),
        Action::StepDown => {
            warn!(node.log, "fenced by a newer leader"; "fence" => term.fence);
            term.end();
        }
        Action::Log(decision) => {
            node.metrics.count_decision(&decision);
            log_decision(&node.log, term.fence, &decision);
        }
    }
}

/// Writes changes to the store in a spawned task.
fn commit<P: Platform>(node: &Rc<Node<P>>, term: &Rc<Term<P>>, lane: u32, changes: Vec<Change>) {
    let commits_count = &term.open_commits_count;
    commits_count.set(commits_count.get() + 1);
    let (node, term) = (node.clone(), term.clone());
    tokio::task::spawn_local(async move {
        let writer = term.lanes[lane as usize].clone();
        let outcome = writer.commit(changes, || term.is_over()).await;
        let commits_count = &term.open_commits_count;
        commits_count.set(commits_count.get() - 1);
        match outcome {
            CommitOutcome::Done => term.send_event(Event::Committed { lane }),
            CommitOutcome::Lost => {
                warn!(node.log, "commit lost"; "lane" => lane, "fence" => term.fence);
                term.end();
            }
        }
    });
}
