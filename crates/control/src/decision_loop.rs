//! The loop of a term: events go to the scheduler, its actions are carried out.

use crate::clock;
use crate::commit::CommitOutcome;
use crate::decision_log::{log_decision, log_status};
use crate::lateness::Lateness;
use crate::leader::Leading;
use crate::node::Node;
use crate::orders;
use crate::platform::{Look, Platform};
use crate::relay::links;
use crate::relay::message::Order;
use crate::step_down;
use ospreywing_scheduler::{Action, Change, Event, Scheduler, WorkerChange};
use ospreywing_types::{Duration, Instant};
use slog::{info, warn};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::mpsc;

/// The time between two lines with sizes.
const STATUS_PERIOD: Duration = Duration::from_s(5);
/// The time between two ticks.
const TICK: Duration = Duration::from_ms(20);
/// A process in which no tick came for so long stood still, or was starved of its processor.
const STANDSTILL: Duration = Duration::from_ms(250);
/// How long it then reads what has come before it decides: answers of some milliseconds.
const CATCH_UP: Duration = Duration::from_ms(10);
/// How long a renewal of the leader's lease may wait for its answer before the
/// store is taken to be in trouble: it answers within some milliseconds. What the
/// loop itself is late comes on top, twice: for the sending and for the answer.
const TROUBLE_AFTER: Duration = Duration::from_ms(100);
const LATENESS_FACTOR: u64 = 2;

/// What the loop of a term keeps from one batch of events to the next.
struct EventLoop {
    received: mpsc::UnboundedReceiver<Event>,
    actions: Vec<Action>,
    has_trouble: bool,
    lateness: Lateness,
    nodes: Vec<Arc<str>>,
    next_status_at: Instant,
    /// When events were last taken in.
    handled_at: Instant,
}

/// Feeds the scheduler until the term is over.
pub(crate) async fn run<P: Platform>(
    node: &Rc<Node<P>>,
    leading: &Rc<Leading<P>>,
    received: mpsc::UnboundedReceiver<Event>,
) {
    let mut ticks = tokio::time::interval(TICK.into());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut state = EventLoop {
        received,
        actions: Vec::new(),
        has_trouble: false,
        lateness: Lateness::new(clock::now(), TICK),
        nodes: Vec::new(),
        next_status_at: clock::now() + STATUS_PERIOD,
        handled_at: clock::now(),
    };
    while !leading.is_over() {
        let first = tokio::select! {
            event = state.received.recv() => event,
            _ = ticks.tick() => Some(Event::Tick),
            () = leading.ended.notified() => return,
        };
        let Some(first) = first else {
            return;
        };
        let is_tick = matches!(first, Event::Tick);
        if clock::now().since(state.handled_at) >= STANDSTILL {
            // What has come meanwhile is read first: a newer configuration may be in it.
            tokio::time::sleep(CATCH_UP.into()).await;
        }
        handle_batch(node, leading, &mut state, first);
        state.handled_at = clock::now();
        if is_tick && step_down::should_step_down(node, leading) {
            step_down::log_stepped_down(node, leading.fence, "leading");
            leading.resign().await;
        }
    }
}

/// Takes in an event and those that wait behind it, and carries out what follows.
fn handle_batch<P: Platform>(
    node: &Rc<Node<P>>,
    leading: &Rc<Leading<P>>,
    state: &mut EventLoop,
    first: Event,
) {
    let now = clock::now();
    let mut scheduler = leading.scheduler.borrow_mut();
    if matches!(first, Event::Tick) {
        tell_surroundings(node, leading, state, &mut scheduler);
    }
    let mut events = vec![first];
    while let Ok(event) = state.received.try_recv() {
        events.push(event);
    }
    let have_workers_joined = events.iter().any(may_tell_new_workers);
    if let Some(is_outdated) = leading.beliefs.take_change(now, &node.log) {
        events.push(Event::StartsPaused(is_outdated));
    }
    scheduler.handle_all(now, events, &mut state.actions);
    if have_workers_joined {
        // The first look at a worker goes through its relay too.
        links::choose(node, leading, &scheduler, now);
    }
    if leading.may_order() && !leading.is_resigned.get() {
        scheduler.run_due_work(now, &mut state.actions);
    }
    drop(scheduler);
    for action in state.actions.drain(..) {
        carry_out(node, leading, action);
    }
}

/// Returns whether workers may be among what an event tells that were not listed before.
fn may_tell_new_workers(event: &Event) -> bool {
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

/// Tells the scheduler of the store, the clock and the nodes, where they changed.
fn tell_surroundings<P: Platform>(
    node: &Rc<Node<P>>,
    leading: &Rc<Leading<P>>,
    state: &mut EventLoop,
    scheduler: &mut Scheduler,
) {
    let now = clock::now();
    state.lateness.note_tick(now);
    let has_trouble = has_trouble(now, leading, state.lateness.current());
    if has_trouble != state.has_trouble {
        state.has_trouble = has_trouble;
        info!(node.log, "store trouble"; "has_trouble" => has_trouble);
        scheduler.handle(now, Event::StoreDegraded(has_trouble), &mut state.actions);
    }
    if now >= state.next_status_at {
        state.next_status_at = now + STATUS_PERIOD;
        let status = scheduler.status(now);
        node.metrics.note_status(&status);
        node.metrics.note_forecast(scheduler.forecast(now).as_ref());
        node.metrics
            .note_worker_list_age(leading.beliefs.workers.age(now));
        node.metrics.note_lateness(state.lateness.current());
        log_status(&node.log, &status);
    }
    let wall_clock = Event::WallClock(clock::wall_ms());
    scheduler.handle(now, wall_clock, &mut state.actions);
    links::choose_where_due(node, leading, scheduler, now);
    if !node.has_names(&state.nodes) {
        state.nodes = node.names();
        let listed = Event::NodesListed(state.nodes.clone());
        scheduler.handle(now, listed, &mut state.actions);
    }
}

/// Returns whether the store leaves a renewal unanswered, by more than this node's
/// own lateness explains.
fn has_trouble<P: Platform>(now: Instant, leading: &Leading<P>, lateness: Duration) -> bool {
    let limit = TROUBLE_AFTER + lateness.times(LATENESS_FACTOR);
    let unanswered = leading.renewal_open_since.get();
    unanswered.is_some_and(|since| now.since(since) > limit)
}

fn carry_out<P: Platform>(node: &Rc<Node<P>>, leading: &Rc<Leading<P>>, action: Action) {
    match action {
        Action::Commit { lane, changes } => commit(node, leading, lane, changes),
        Action::Start { to, order } => orders::give(node, leading, to, Order::Start(order)),
        Action::Stop { to, task, run } => {
            orders::give(node, leading, to, Order::Stop { task, run });
        }
        Action::Hold {
            to,
            until_ms,
            last_seen,
            wait,
            patience,
        } => {
            let look = Look {
                until_ms,
                last_seen,
                wait,
                patience,
            };
            orders::give(node, leading, to, Order::Hold(look));
        }
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

/// Writes changes to the store, in a task of its own.
fn commit<P: Platform>(
    node: &Rc<Node<P>>,
    leading: &Rc<Leading<P>>,
    lane: u32,
    changes: Vec<Change>,
) {
    let commits_count = &leading.open_commits_count;
    commits_count.set(commits_count.get() + 1);
    let (node, leading) = (node.clone(), leading.clone());
    tokio::task::spawn_local(async move {
        let writer = leading.lanes[lane as usize].clone();
        let outcome = writer.commit(changes, || leading.is_over()).await;
        let commits_count = &leading.open_commits_count;
        commits_count.set(commits_count.get() - 1);
        match outcome {
            CommitOutcome::Done => leading.tell(Event::Committed { lane }),
            CommitOutcome::Lost => {
                warn!(node.log, "commit lost"; "lane" => lane, "fence" => leading.fence);
                leading.end();
            }
        }
    });
}
