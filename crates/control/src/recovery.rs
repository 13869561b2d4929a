//! Recovery of the scheduler's state from the store at the start of a term.

use crate::follow::{read_all, Update};
use crate::intake_snapshot::IntakeSnapshot;
use crate::keys;
use crate::leader::Term;
use crate::node::Node;
use crate::platform::Platform;
use crate::store::{Item, Revision, StoreError, UnreadableValue};
use crate::{cell_follow, clock, cordons};
use ospreywing_scheduler::{JobState, Recovered, StateError, StoredJob};
use ospreywing_types::Duration;
use slog::{warn, Logger};
use std::rc::Rc;

/// Failed attempts after which the leader ends its term, so that another node may try.
const ATTEMPTS_LIMIT_COUNT: usize = 3;
/// The pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_ms(100);

/// Reads the state of all jobs from the store, and returns it with the intake's revision.
///
/// Returns `None` if the term ends first or all attempts fail.
pub async fn recover<P: Platform>(
    node: &Rc<Node<P>>,
    term: &Rc<Term<P>>,
) -> Option<(Recovered, Revision)> {
    for _ in 0..ATTEMPTS_LIMIT_COUNT {
        if term.is_over() {
            return None;
        }
        match read_recovered(node, term).await {
            Ok(found) => return Some(found),
            Err(error) => {
                warn!(node.log, "recovery failed"; "error" => error.to_string());
                tokio::time::sleep(RETRY_PAUSE.into()).await;
            }
        }
    }
    None
}

async fn read_recovered<P: Platform>(
    node: &Rc<Node<P>>,
    term: &Term<P>,
) -> Result<(Recovered, Revision), StoreError> {
    let started_at = clock::now();
    // Read concurrently, since a slow store delays each page.
    let intake = read_all(&node.store, keys::INTAKE_PREFIX);
    let states = read_all(&node.store, keys::STATE_PREFIX);
    let cordons = read_all(&node.store, node.platform.cordons_prefix());
    let nodes = read_all(&node.store, keys::NODES_PREFIX);
    let (intake, states, cordons, nodes) = tokio::join!(intake, states, cordons, nodes);
    let ((intake, at), (states, _), (cordons, _)) = (intake?, states?, cordons?);
    // The nodes are needed to choose relays for the first polls of the workers.
    cell_follow::handle_nodes_update(node, Update::Snapshot(nodes?.0));
    let mut recovered = assemble_recovered(&node.log, intake, &states, clock::wall_ms());
    recovered.cordons = cordons::parse_all(node, &cordons);
    term.store_views.cordons.confirm(started_at);
    Ok((recovered, at))
}

/// Assembles the recovered state from the stored items; items that can't be parsed are
/// logged.
///
/// A job whose state can't be parsed must not be treated as one that has not started: its
/// tasks may be running or finished. Such jobs are listed in `unreadable` instead.
pub fn assemble_recovered(
    log: &Logger,
    intake: Vec<Item>,
    states: &[Item],
    wall_ms: u64,
) -> Recovered {
    let intake = IntakeSnapshot::new(log, intake);
    let accepted = intake.accepted.into_iter().map(|job| (job.id, job.record));
    let ended = intake.ended.into_iter().map(|job| (job.id, job.outcome));
    let mut recovered = Recovered {
        jobs: accepted.collect(),
        ended: ended.collect(),
        cancels: intake.cancelled,
        unreadable: intake.unreadable,
        wall_ms,
        ..Recovered::default()
    };
    for item in states {
        let state = parse_stored_state(item);
        match (keys::parse_state(&item.key), state) {
            (Some(id), Ok(state)) => recovered.states.push((id, state)),
            (Some(id), Err(error)) => {
                log_unreadable_item(log, &item.key, &error.to_string());
                recovered.unreadable.push(id);
            }
            (None, _) => log_unreadable_item(log, &item.key, "unknown key"),
        }
    }
    let unreadable = &recovered.unreadable;
    recovered.jobs.retain(|(id, _)| !unreadable.contains(id));
    recovered
}

/// Parses the item under a job's key.
///
/// # Errors
///
/// Returns a [`StateError`] if the item can't be parsed.
pub fn parse_stored_job(item: &Item) -> Result<StoredJob, StateError> {
    StoredJob::from_bytes(item.bytes().map_err(malformed)?)
}

/// Parses a job's progress.
///
/// # Errors
///
/// Returns a [`StateError`] if the item can't be parsed.
pub fn parse_stored_state(item: &Item) -> Result<JobState, StateError> {
    JobState::from_bytes(item.bytes().map_err(malformed)?)
}

fn malformed(error: UnreadableValue) -> StateError {
    StateError::Malformed(error.to_string())
}

/// Logs a stored item that can't be parsed.
pub fn log_unreadable_item(log: &Logger, key: &str, error: &str) {
    warn!(log, "stored item can't be parsed"; "key" => key, "error" => error);
}
