//! Reading what the store keeps, at the start of a term.

use crate::follow::{read_all, Update};
use crate::keys::{self, IntakeKey};
use crate::leader::Term;
use crate::node::Node;
use crate::platform::Platform;
use crate::store::{Item, Revision, StoreError, UnreadableValue};
use crate::{cell_follow, clock, cordons};
use ospreywing_scheduler::{JobState, Recovered, StateError, StoredJob};
use ospreywing_types::Duration;
use slog::{warn, Logger};
use std::rc::Rc;

/// Failed attempts after which another node may try.
const ATTEMPTS_LIMIT_COUNT: usize = 3;
/// The time between two attempts.
const RETRY: Duration = Duration::from_ms(100);

/// Reads what the store keeps; `None` where the term is over before.
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
                tokio::time::sleep(RETRY.into()).await;
            }
        }
    }
    None
}

async fn read_recovered<P: Platform>(
    node: &Rc<Node<P>>,
    term: &Term<P>,
) -> Result<(Recovered, Revision), StoreError> {
    let begun_at = clock::now();
    // All at once: a slow store makes each page long.
    let intake = read_all(&node.store, keys::INTAKE_PREFIX);
    let states = read_all(&node.store, keys::STATE_PREFIX);
    let cordons = read_all(&node.store, node.platform.cordons_prefix());
    let nodes = read_all(&node.store, keys::NODES_PREFIX);
    let (intake, states, cordons, nodes) = tokio::join!(intake, states, cordons, nodes);
    let ((intake, at), (states, _), (cordons, _)) = (intake?, states?, cordons?);
    // The first looks at the workers go through relays.
    cell_follow::handle_nodes_update(node, Update::Snapshot(nodes?.0));
    let mut recovered = assemble(&node.log, intake, &states, clock::wall_ms());
    recovered.cordons = cordons::read_all(node, &cordons);
    term.store_views.cordons.confirm(begun_at);
    Ok((recovered, at))
}

/// Puts together what the store keeps of all jobs; what can't be read is logged.
///
/// A job whose state can't be read is none that has not begun: its tasks may
/// run, or may be done. It is kept apart.
pub fn assemble(log: &Logger, mut intake: Vec<Item>, states: &[Item], wall_ms: u64) -> Recovered {
    // The order in which jobs were accepted.
    intake.sort_by_key(|item| item.revision);
    let mut recovered = Recovered {
        wall_ms,
        ..Recovered::default()
    };
    for item in &intake {
        match keys::parse_intake(&item.key) {
            Some(IntakeKey::Job(id)) => match parse_stored_job(item) {
                Ok(StoredJob::Accepted(record)) => recovered.jobs.push((id, *record)),
                Ok(StoredJob::Ended(outcome)) => recovered.ended.push((id, outcome)),
                Err(error) => {
                    log_unreadable_item(log, &item.key, &error.to_string());
                    recovered.unreadable.push(id);
                }
            },
            Some(IntakeKey::Cancel(id)) => recovered.cancels.push(id),
            None => log_unreadable_item(log, &item.key, "unknown key"),
        }
    }
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

/// Reads what the store keeps under a job's key.
///
/// # Errors
///
/// Returns a [`StateError`] where that can't be read.
pub fn parse_stored_job(item: &Item) -> Result<StoredJob, StateError> {
    StoredJob::from_bytes(item.bytes().map_err(malformed)?)
}

/// Reads what the store keeps of a job's progress.
///
/// # Errors
///
/// Returns a [`StateError`] where that can't be read.
pub fn parse_stored_state(item: &Item) -> Result<JobState, StateError> {
    JobState::from_bytes(item.bytes().map_err(malformed)?)
}

fn malformed(error: UnreadableValue) -> StateError {
    StateError::Malformed(error.to_string())
}

/// Notes a stored item that can't be read.
pub fn log_unreadable_item(log: &Logger, key: &str, error: &str) {
    warn!(log, "stored item can't be read"; "key" => key, "error" => error);
}
