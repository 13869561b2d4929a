//! Decides when a leader on a weak node steps down.

use crate::clock;
use crate::leader::Term;
use crate::node::Node;
use crate::platform::Platform;
use crate::{election, membership};
use ospreywing_types::Duration;
use slog::info;
use std::rc::Rc;

/// How long a node leads before it steps down for a much stronger node that was already
/// registered when it was elected.
const STEP_DOWN_AFTER: Duration = Duration::from_ms(4000);
/// The longest time between two checks during recovery.
const CHECK_PERIOD: Duration = Duration::from_ms(100);

/// Returns whether a much stronger node should lead instead: at once if it registered
/// after the election, otherwise after [`STEP_DOWN_AFTER`] if it is still registered.
pub(crate) fn should_step_down<P: Platform>(node: &Rc<Node<P>>, term: &Rc<Term<P>>) -> bool {
    let own = membership::own_node_record(node);
    let view = node.cell.borrow();
    let is_settled = clock::now().since(term.started_at) >= STEP_DOWN_AFTER;
    let is_weaker = election::has_stronger_joined(&own, &view, term.fence)
        || is_settled && election::is_much_weaker(&own, &view.nodes);
    term.may_send_orders() && is_weaker
}

/// Waits until the leader should step down for a much stronger node.
pub(crate) async fn wait_to_step_down<P: Platform>(node: &Rc<Node<P>>, term: &Rc<Term<P>>) {
    loop {
        let changed = node.cell_changed.notified();
        if should_step_down(node, term) {
            return;
        }
        // The answer also changes with time, without a notification.
        let _ = tokio::time::timeout(CHECK_PERIOD.into(), changed).await;
    }
}

/// Logs that the leader steps down for a much stronger node.
pub(crate) fn log_stepped_down<P: Platform>(node: &Node<P>, fence: u64, stage: &'static str) {
    info!(node.log, "stepped down";
        "reason" => "a much stronger node lives", "stage" => stage, "fence" => fence);
}
