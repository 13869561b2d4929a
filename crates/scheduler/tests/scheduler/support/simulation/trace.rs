//! An optional trace of a simulation: decisions, orders as they arrive, and workers'
//! incarnations.

use super::StartPath;
use crate::support::worker::FakeWorker;
use ospreywing_scheduler::{
    Decision, Endpoint, Incarnation, StartOrder, StartReply, StopReply, TaskKey,
};

/// If set to any value, each simulation prints its trace.
const TRACE_VARIABLE: &str = "OSPREYWING_SEARCH_TRACE";

/// Prints the events of a simulation, or nothing.
pub(super) struct Trace {
    is_on: bool,
}

impl Trace {
    pub(super) fn from_env() -> Self {
        Self {
            is_on: std::env::var_os(TRACE_VARIABLE).is_some(),
        }
    }

    pub(super) fn print_decision(&self, now_ms: u64, term: u64, decision: &Decision) {
        if !self.is_on {
            return;
        }
        let worker = decision.worker.as_deref().unwrap_or("");
        let task = decision.task.map(|task| task.to_string());
        println!(
            "{now_ms:>6} term {term}: {}, {}: {} run {} {worker}",
            decision.kind.as_str(),
            decision.reason,
            task.unwrap_or_default(),
            decision.run
        );
    }

    /// Prints the arrival of a start, with the incarnation that it was meant for and the worker
    /// that it has reached, if any.
    pub(super) fn print_arrival(
        &self,
        now_ms: u64,
        to: &Endpoint,
        order: &StartOrder,
        path: StartPath,
        reached: Option<&FakeWorker>,
    ) {
        if !self.is_on {
            return;
        }
        let name = |incarnation: Option<Incarnation>| {
            incarnation.map_or("unknown".to_owned(), |start| start.as_ms().to_string())
        };
        let reached = reached.map_or("nobody".to_owned(), |worker| name(worker.incarnation));
        println!(
            "{now_ms:>6} {} gets a start of {} run {}, {path:?}: meant for {}, reaches {reached}",
            to.id,
            order.task,
            order.run,
            name(to.incarnation)
        );
    }

    pub(super) fn print_start(
        &self,
        now_ms: u64,
        worker: &FakeWorker,
        order: &StartOrder,
        is_late: bool,
        reply: StartReply,
    ) {
        if self.is_on {
            println!(
                "{now_ms:>6} {} answers a start of {} run {}, late {is_late}: {reply:?}",
                worker.id, order.task, order.run
            );
        }
    }

    pub(super) fn print_stop(
        &self,
        now_ms: u64,
        worker: &FakeWorker,
        task: TaskKey,
        run: u32,
        reply: StopReply,
    ) {
        if self.is_on {
            println!(
                "{now_ms:>6} {} answers a stop of {task} run {run}: {reply:?}",
                worker.id
            );
        }
    }

    pub(super) fn print_incarnation(&self, now_ms: u64, worker: &FakeWorker, what: &str) {
        if self.is_on {
            println!("{now_ms:>6} {} {what}", worker.id);
        }
    }
}
